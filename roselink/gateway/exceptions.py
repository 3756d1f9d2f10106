"""Errors of the gateway in service."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class GatewayError(RoselinkError):
    """Base of the errors of `roselink.gateway`."""

    code = "GTW-000"


class ConfigError(GatewayError):
    """The configuration cannot work; its text is one plain line.

    Attributes:
        field: The setting or variable.
        problem: What is wrong with it.
    """

    code = "GTW-001"

    def __init__(self, field: str, problem: str) -> None:
        """Names the field and what is wrong with it."""
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class MalformedListError(GatewayError):
    """What discovery sent is no list of hosts; the text says why."""

    code = "GTW-002"

    def __init__(self, *, reason: str) -> None:
        """Keeps the reason, which the log shows."""
        super().__init__(reason)
        self.reason = reason
