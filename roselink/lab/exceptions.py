"""Errors of the lab: malformed messages, failed starts and refused configurations."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class LabError(RoselinkError):
    """Base of the errors of this package."""

    code = "LAB-000"


class MalformedMessageError(LabError):
    """An HTTP message ended early or can't be parsed.

    Attributes:
        element: `HEAD` or `BODY` of `http_messages`.
        reason: why it can't be read.
    """

    code = "LAB-001"

    def __init__(self, element: str, reason: object) -> None:
        """Store the element and the reason."""
        super().__init__(f"can't read the {element}: {reason}")
        self.element = element
        self.reason = reason


class StartError(LabError):
    """A process of the fleet ended with an exit status after which it is not restarted.

    Attributes:
        name: the name of its machine.
        status: its exit status.
        log_tail: the end of its log.
    """

    code = "LAB-002"

    def __init__(self, name: str, status: int, log_tail: str) -> None:
        """Store the machine, the exit status and the end of the log."""
        super().__init__(f"{name} ended with exit status {status}; end of its log: {log_tail}")
        self.name = name
        self.status = status
        self.log_tail = log_tail


class RouterCountError(LabError, ValueError):
    """The number of routers is out of range.

    Attributes:
        routers: the requested number.
        maximum: the largest allowed number.
    """

    code = "LAB-003"

    def __init__(self, routers: int, maximum: int) -> None:
        """Store the requested number and the limit."""
        super().__init__(f"the number of routers must be between 1 and {maximum}")
        self.routers = routers
        self.maximum = maximum


class ConfigurationRefusedError(LabError):
    """A controller refused a configuration.

    Attributes:
        status: the HTTP status of the response.
        body: the body of the response.
    """

    code = "LAB-004"

    def __init__(self, status: int, body: str) -> None:
        """Store the status and the body of the response."""
        super().__init__(f"configuration refused with HTTP status {status}: {body}")
        self.status = status
        self.body = body
