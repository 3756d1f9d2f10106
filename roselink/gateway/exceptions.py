"""Errors of `roselink.gateway`."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class GatewayError(RoselinkError):
    """Base of the errors of `roselink.gateway`."""

    code = "GTW-000"


class ConfigError(GatewayError):
    """The configuration is invalid; the message is a single line.

    Attributes:
        field: The setting or environment variable.
        problem: What is wrong with it.
    """

    code = "GTW-001"

    def __init__(self, field: str, problem: str) -> None:
        """Names the field and what is wrong with it."""
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class MalformedListError(GatewayError):
    """Discovery's response holds no valid host list; the message says why."""

    code = "GTW-002"

    def __init__(self, *, reason: str) -> None:
        """Keeps the reason, which is logged."""
        super().__init__(reason)
        self.reason = reason
