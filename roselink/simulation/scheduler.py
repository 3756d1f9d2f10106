"""Virtual time: scheduled steps run in time order, and only they advance the clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Step = Callable[[], None]

# How often `run_until` checks its condition, in virtual seconds.
POLL_INTERVAL_S = 0.01


class Scheduler:
    """Runs steps in the order of their times, and simultaneous ones in the order of scheduling.

    Attributes:
        now: the virtual time, in seconds.
    """

    def __init__(self, now: float = 100.0) -> None:
        """Start the virtual clock at a time, in seconds."""
        self.now = now
        self._steps: list[tuple[float, int, Step]] = []
        self._sequence = itertools.count()

    def after(self, delay_s: float, step: Step) -> None:
        """Schedule a step, `delay_s` seconds from now."""
        heapq.heappush(self._steps, (self.now + delay_s, next(self._sequence), step))

    def run(self, duration_s: float) -> None:
        """Run all steps that are due within a duration, in seconds."""
        until = self.now + duration_s
        while self._steps and self._steps[0][0] <= until:
            self.now, _, step = heapq.heappop(self._steps)
            step()
        self.now = until

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Run until a condition holds; False if it does not within the time-out."""
        deadline = self.now + timeout_s
        while not condition():
            if self.now >= deadline:
                return False
            self.run(POLL_INTERVAL_S)
        return True
