"""Errors of the lab: messages, processes and configurations that can't be used."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class LabError(RoselinkError):
    """Base of the errors of this package."""

    code = "LAB-000"


class MalformedMessageError(LabError):
    """An HTTP message ended early or can't be parsed.

    Attributes:
        part: the part that can't be read, as `http_messages` names it.
        reason: what is wrong with it.
    """

    code = "LAB-001"

    def __init__(self, element: str, reason: object) -> None:
        """Note the part and what is wrong with it."""
        super().__init__(f"no {element}: {reason}")
        self.element = element
        self.reason = reason


class StartError(LabError):
    """A process of the fleet can't run: it ended with a status after which it is not restarted.

    Attributes:
        name: the name of its machine.
        status: its exit status.
        log_tail: the end of its log.
    """

    code = "LAB-002"

    def __init__(self, name: str, status: int, log_tail: str) -> None:
        """Note the machine, the exit status and the end of the log."""
        super().__init__(f"{name}: exit status {status}: {log_tail}")
        self.name = name
        self.status = status
        self.log_tail = log_tail


class RouterCountError(LabError, ValueError):
    """A fleet can't have so many routers.

    Attributes:
        routers: the number that was asked for.
        most: the largest number.
    """

    code = "LAB-003"

    def __init__(self, routers: int, most: int) -> None:
        """Note the number of routers and the limit."""
        super().__init__(f"routers: 1 to {most}")
        self.routers = routers
        self.most = most


class ConfigurationRefusedError(LabError):
    """The fleet refused a configuration.

    Attributes:
        status: the HTTP status of the response.
        body: the body of the response.
    """

    code = "LAB-004"

    def __init__(self, status: int, body: str) -> None:
        """Note the status and the body of the response."""
        super().__init__(f"status {status}: {body}")
        self.status = status
        self.body = body
