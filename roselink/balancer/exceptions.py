"""Errors of the balancer's settings and of the simulator protocol."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class BalancerError(RoselinkError):
    """Base of the errors of `roselink.balancer`."""

    code = "BAL-000"


class SettingsError(BalancerError, ValueError):
    """A setting has an invalid value.

    Attributes:
        field: Name of the setting in its source.
        problem: What is wrong with it.
    """

    code = "BAL-001"

    def __init__(self, field: str, problem: str) -> None:
        """Builds the message from the field and the problem."""
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class BatchError(BalancerError):
    """A line from the simulator is not a valid batch; the message says what is wrong and where.

    Attributes:
        problem: What is wrong.
        path: Location in the batch, outermost element first.
    """

    code = "BAL-002"

    def __init__(self, *, problem: str, path: tuple[str, ...] = ()) -> None:
        """Builds the message from the path and the problem."""
        super().__init__(": ".join((*path, problem)))
        self.problem = problem
        self.path = path

    def within(self, element: str) -> BatchError:
        """Returns the same error with an outer element added to its path."""
        return BatchError(problem=self.problem, path=(element, *self.path))
