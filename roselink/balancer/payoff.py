"""Payoff: moving average of a server's outcomes, between 0 (late or failed) and 1 (in time)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from roselink.balancer.server_state import INITIAL_PAYOFF

if TYPE_CHECKING:
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.state import BalancerState

# Weight of the newest outcome in a moving average. Higher learns sooner; lower is steadier.
EWMA_WEIGHT = 0.12


class PayoffEstimator:
    """The payoffs of all servers, and their mean, used for servers without recent outcomes."""

    def __init__(self, state: BalancerState) -> None:
        """Starts with the payoff of a server without outcomes."""
        self._state = state
        self.mean = INITIAL_PAYOFF

    def freshness(self, server: ServerState) -> float:
        """Weight that the last outcome of a server still has, between 0 and 1."""
        age_us = self._state.now_us - server.last_outcome_us
        return math.exp(-max(0, age_us) / self._state.decay_time_us)

    def payoff(self, server: ServerState) -> float:
        """Payoff of a server; without new outcomes it decays to the mean of all servers."""
        return self.mean + (server.payoff - self.mean) * self.freshness(server)

    def observe(self, server: ServerState, value: float) -> None:
        """Learns from one outcome: 1 if in time, else 0. It weighs more if the last one is old."""
        previous = self.payoff(server)
        weight = max(EWMA_WEIGHT, 1.0 - self.freshness(server))
        server.payoff = previous + (value - previous) * weight
        server.last_outcome_us = self._state.now_us
        self.mean += (value - self.mean) * EWMA_WEIGHT
