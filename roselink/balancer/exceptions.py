"""Errors of the decider's settings and of the simulator's wire."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class BalancerError(RoselinkError):
    """Base of the errors of `roselink.balancer`."""

    code = "BAL-000"


class SettingsError(BalancerError, ValueError):
    """A setting cannot work.

    Attributes:
        field: The setting's name in its source.
        problem: What is wrong with it.
    """

    code = "BAL-001"

    def __init__(self, field: str, problem: str) -> None:
        """Names the field and what is wrong with it."""
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class BatchError(BalancerError):
    """A line of the simulator is no legal batch; the text says what is wrong and where.

    Attributes:
        problem: What is wrong.
        path: Where in the batch, from the outside in.
    """

    code = "BAL-002"

    def __init__(self, *, problem: str, path: tuple[str, ...] = ()) -> None:
        """Joins the path and the problem to the text."""
        super().__init__(": ".join((*path, problem)))
        self.problem = problem
        self.path = path

    def within(self, element: str) -> BatchError:
        """The same error, one step further outside."""
        return BatchError(problem=self.problem, path=(element, *self.path))
