"""The speed of each kind of machine, learned from the latencies of its warm servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from roselink.balancer.payoff import EWMA_WEIGHT

if TYPE_CHECKING:
    from roselink.balancer.request_state import Attempt

# Relative weight of an answer slower than usual for its kind: it may have waited in a queue.
SLOWDOWN_WEIGHT = 0.5
# Answers over which the mean slowness is smoothed where the work of a request is not known.
MEAN_SAMPLES = 64
# Lower bound of latency over cost, so that its logarithm stays finite.
MIN_SLOWNESS = 0.01


class KindSpeeds:
    """Base-2 logarithm of latency over request cost, for each kind of machine."""

    def __init__(self) -> None:
        """Starts without kinds."""
        self.log2_slowness: dict[int, float] = {}

    def add(self, kind: int) -> None:
        """Adds a new kind with speed 1; a known one is left unchanged."""
        self.log2_slowness.setdefault(kind, 0.0)

    def speed(self, kind: int) -> float:
        """Work per unit of time; 1 for a kind whose latency equals the cost of the request."""
        return float(2.0 ** -self.log2_slowness[kind])

    def learn(self, attempt: Attempt, latency_us: int) -> None:
        """Learns from the latency of one success of a warm server."""
        kind = attempt.server.spec.kind
        previous = self.log2_slowness[kind]
        slowness = max(latency_us / attempt.cost_us, MIN_SLOWNESS)
        if attempt.has_work_hint:
            step = math.log2(slowness) - previous
            weight = EWMA_WEIGHT * (SLOWDOWN_WEIGHT if step > 0.0 else 1.0)
            self.log2_slowness[kind] += step * weight
        else:
            # The cost is a mean, with most requests below it and a few far above: an average of
            # logarithms would make machines look too fast.
            mean = 2.0**previous
            self.log2_slowness[kind] = math.log2(mean + (slowness - mean) / MEAN_SAMPLES)
