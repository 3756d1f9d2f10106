"""A sliding window of latencies and its percentiles."""

from __future__ import annotations

from collections import deque


class LatencyTracker(deque[int]):
    """Latencies in microseconds, the newest last; `maxlen` bounds their number."""

    def percentile(self, fraction: float) -> int | None:
        """The nearest-rank percentile at `fraction` (0 to below 1); None without latencies."""
        return sorted(self)[int(fraction * len(self))] if self else None
