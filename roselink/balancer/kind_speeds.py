"""The speed of each kind of machine, learned from the latencies of its warm servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from roselink.balancer.payoff import EWMA_WEIGHT

if TYPE_CHECKING:
    from roselink.balancer.request_state import Attempt

# Weight of an answer slower than its kind of machine: waits are no slowness of the machine.
SLOWDOWN_WEIGHT = 0.5
# Answers over which the mean is smoothed where the work of a request is only known as a mean.
MEAN_SAMPLES = 64
# Least latency over cost that an answer counts with: its logarithm stays finite.
MIN_SLOWNESS = 0.01


class KindSpeeds:
    """Of each kind of machine: the base-2 logarithm of its latency over the cost of a request."""

    def __init__(self) -> None:
        """No kind is known."""
        self.log2_slowness: dict[int, float] = {}

    def add(self, kind: int) -> None:
        """Adds a kind, if it is new, as neither quick nor slow."""
        self.log2_slowness.setdefault(kind, 0.0)

    def speed(self, kind: int) -> float:
        """Work done in a unit of time; 1 for a machine that needs a request's cost for it."""
        return float(2.0 ** -self.log2_slowness[kind])

    def learn(self, attempt: Attempt, latency_us: int) -> None:
        """Learns from the latency of one success of a warm server."""
        kind = attempt.server.spec.kind
        known = self.log2_slowness[kind]
        slowness = max(latency_us / attempt.cost_us, MIN_SLOWNESS)
        if attempt.has_work_hint:
            step = math.log2(slowness) - known
            weight = EWMA_WEIGHT * (SLOWDOWN_WEIGHT if step > 0.0 else 1.0)
            self.log2_slowness[kind] += step * weight
        else:
            # Over a mean cost: most are under it, and the few far over it make up for them.
            mean = 2.0**known
            self.log2_slowness[kind] = math.log2(mean + (slowness - mean) / MEAN_SAMPLES)
