"""Time that only steps move, and the steps that are due."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Step = Callable[[], None]
WATCH_S = 0.01  # how often a condition is looked at


class Timeline:
    """Steps in the order of their times; those of one moment in the order in which they were asked
    for.
    """

    def __init__(self, now: float = 100.0) -> None:
        self.now = now
        self._steps: list[tuple[float, int, Step]] = []
        self._order = itertools.count()

    def after(self, seconds: float, step: Step) -> None:
        """Take a step so many seconds from now."""
        heapq.heappush(self._steps, (self.now + seconds, next(self._order), step))

    def run(self, seconds: float) -> None:
        """Take all steps that are due within a time."""
        until = self.now + seconds
        while self._steps and self._steps[0][0] <= until:
            self.now, _, step = heapq.heappop(self._steps)
            step()
        self.now = until

    def run_until(self, reached: Callable[[], bool], most_s: float) -> bool:
        """Run until something holds; False if it doesn't within the time."""
        until = self.now + most_s
        while not reached():
            if self.now >= until:
                return False
            self.run(WATCH_S)
        return True
