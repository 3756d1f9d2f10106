"""The exceptions of the coordination library."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class CoordinationError(RoselinkError):
    """Base class of the library's exceptions."""

    code = "CRD-000"


class BrokenInvariantError(CoordinationError, AssertionError):
    """A state that cannot be, by the proofs of this package: the process must not go on in it."""

    code = "CRD-001"


class UnreachableMessageError(BrokenInvariantError):
    """A message that no member can have sent in the state of this one.

    Attributes:
        message: the message's class.
        invariant: what it contradicts.
    """

    code = "CRD-002"

    def __init__(self, message: type[object], invariant: str) -> None:
        """Name the message and the invariant that it contradicts."""
        super().__init__(f"{message.__name__}: {invariant}")
        self.message = message
        self.invariant = invariant


class DriverContractError(BrokenInvariantError):
    """A state machine was called when it may not be: a fault of the program that embeds it.

    Attributes:
        operation: what was called.
        requirement: what has to hold for that, and did not.
    """

    code = "CRD-003"

    def __init__(self, operation: str, requirement: str) -> None:
        """Name the call and the condition that it breaks."""
        super().__init__(f"{operation}: {requirement}")
        self.operation = operation
        self.requirement = requirement
