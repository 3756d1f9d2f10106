"""The exceptions of the coordination library."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class CoordinationError(RoselinkError):
    """Base class of the library's exceptions."""

    code = "CRD-000"


class BrokenInvariantError(CoordinationError, AssertionError):
    """A state that the proofs of this package exclude; the process must not continue."""

    code = "CRD-001"


class UnreachableMessageError(BrokenInvariantError):
    """A message that no member can have sent, given the state of this one.

    Attributes:
        message: the message's class.
        invariant: the invariant that it violates.
    """

    code = "CRD-002"

    def __init__(self, message: type[object], invariant: str) -> None:
        """`message` is the message's class, `invariant` what it violates."""
        super().__init__(f"{message.__name__}: {invariant}")
        self.message = message
        self.invariant = invariant


class DriverContractError(BrokenInvariantError):
    """A method was called in a state that doesn't allow it: a fault of the embedding program.

    Attributes:
        operation: the method that was called.
        requirement: the precondition that did not hold.
    """

    code = "CRD-003"

    def __init__(self, operation: str, requirement: str) -> None:
        """`operation` is the method's name, `requirement` its violated precondition."""
        super().__init__(f"{operation}: {requirement}")
        self.operation = operation
        self.requirement = requirement
