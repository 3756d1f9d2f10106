"""Errors of the tools."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class ToolError(RoselinkError):
    """Base of the errors of the tools."""


class DegenerateFitError(ToolError, ValueError):
    """A line can't be fitted because all points have the same x.

    Attributes:
        points: points that the line should fit.
    """

    def __init__(self, points: list[tuple[float, float]]) -> None:
        """Store the points."""
        super().__init__(f"a line fit needs points with different x values: {points}")
        self.points = points


class MeasurementError(ToolError):
    """A measured operation did not have the result that its measurement expects.

    Attributes:
        subject: name of the measured operation.
        result: actual result of the operation.
    """

    def __init__(self, subject: str, result: object) -> None:
        """Store the name of the operation and its result."""
        super().__init__(f"unexpected result of {subject}: {result}")
        self.subject = subject
        self.result = result
