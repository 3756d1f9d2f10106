"""Payoff: how well a server has served of late, between 0 and 1."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from roselink.balancer.server_state import INITIAL_PAYOFF

if TYPE_CHECKING:
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.state import BalancerState

# Weight of the newest outcome in a payoff: quick to learn against steady.
EWMA_WEIGHT = 0.12


class PayoffEstimator:
    """The payoffs of all servers, and the mean that stands for those seldom seen."""

    def __init__(self, state: BalancerState) -> None:
        """Nothing is known yet."""
        self._state = state
        self.mean = INITIAL_PAYOFF

    def freshness(self, server: ServerState) -> float:
        """How much the last outcome of a server still counts, between 0 and 1."""
        age_us = self._state.now_us - server.observed_us
        return math.exp(-max(0, age_us) / self._state.decay_time_us)

    def payoff(self, server: ServerState) -> float:
        """What is known of a server. With age it fades to the mean of all, and so does blame."""
        return self.mean + (server.payoff - self.mean) * self.freshness(server)

    def observe(self, server: ServerState, value: float) -> None:
        """Learns from one outcome: 1 if it was in time, else 0; more of a server seldom seen."""
        known = self.payoff(server)
        weight = max(EWMA_WEIGHT, 1.0 - self.freshness(server))
        server.payoff = known + (value - known) * weight
        server.observed_us = self._state.now_us
        self.mean += (value - self.mean) * EWMA_WEIGHT
