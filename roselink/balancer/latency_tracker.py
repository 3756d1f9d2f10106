"""Percentiles of recent latencies."""

from __future__ import annotations

from collections import deque


class LatencyTracker(deque[int]):
    """The most recent latencies in microseconds, as many as `maxlen`."""

    def percentile(self, q: float) -> int | None:
        """The latency below which the fraction `q` lies; None while nothing is known."""
        return sorted(self)[int(q * len(self))] if self else None
