"""Errors of the tools."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class ToolError(RoselinkError):
    """Base of the errors of the tools."""


class DegenerateFitError(ToolError, ValueError):
    """A line can't be fitted, since all points have the same x.

    Attributes:
        points: the points.
    """

    def __init__(self, points: list[tuple[float, float]]) -> None:
        """Note the points."""
        super().__init__(f"a line needs two sizes: {points}")
        self.points = points


class MeasurementError(ToolError):
    """What is measured did not do what its measurement relies on.

    Attributes:
        subject: what was measured.
        result: what it did.
    """

    def __init__(self, subject: str, result: object) -> None:
        """Note what was measured, and what it did."""
        super().__init__(f"{subject}: {result}")
        self.subject = subject
        self.result = result
