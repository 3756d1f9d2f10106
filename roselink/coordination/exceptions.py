"""The exceptions of the coordination library."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class CoordinationError(RoselinkError):
    """Base class of the library's exceptions."""


class DriverContractError(CoordinationError, AssertionError):
    """A state machine was called when it may not be: a fault of the program that embeds it.

    Attributes:
        operation: what was called.
        requirement: what has to hold for that, and did not.
    """

    def __init__(self, operation: str, requirement: str) -> None:
        """Name the call and the condition that it breaks."""
        super().__init__(f"{operation}: {requirement}")
        self.operation = operation
        self.requirement = requirement
