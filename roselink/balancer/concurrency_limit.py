"""Concurrency limit: how many attempts a balancer has in flight, at a server and in all."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.slow_start import SlowStart
    from roselink.balancer.state import BalancerState

# Initial limit of a server over all balancers: low, as the capacity of large machines is learned.
INITIAL_LIMIT = 3.0
# Requests queued in a full server above which its limit falls. Higher uses servers more fully;
# lower keeps these queues, which no balancer sees, shorter.
MAX_SERVER_QUEUE = 1.0
# Relative change of the limit per answer. Higher adapts sooner; lower is steadier.
LIMIT_STEP = 0.001
# Answers over which the latency ratio is smoothed.
LATENCY_RATIO_SAMPLES = 64
# Time between counts of the available servers. Higher costs less CPU; lower counts more recently.
RECOUNT_INTERVAL_US = 50_000


class ConcurrencyLimit:
    """This balancer's share of the limit of every server, learned from latencies.

    Avoids overload of machines that slow down long before a request misses its objective.
    """

    def __init__(self, state: BalancerState, slow_start: SlowStart) -> None:
        """Starts with an even share of the initial limit."""
        self._state = state
        self._slow_start = slow_start
        # This balancer's share of a server's limit, in attempts in flight.
        self.server_limit = INITIAL_LIMIT / state.settings.balancers
        # Latency in a full server over that in an idle one, smoothed.
        self.latency_ratio = 1.0
        self._total_limit = 1.0
        self._next_recount_us = 0

    def learn(self, latency_ratio: float) -> None:
        """Learns from the latency in a full server, as a multiple of that in an idle one."""
        self.latency_ratio += (latency_ratio - self.latency_ratio) / LATENCY_RATIO_SAMPLES
        balancers = self._state.settings.balancers
        server_queue = self.server_limit * balancers * (1.0 - 1.0 / max(1.0, self.latency_ratio))
        if server_queue > MAX_SERVER_QUEUE:
            self.server_limit = max(1.0 / balancers, self.server_limit * (1.0 - LIMIT_STEP))
        elif self._state.queued:
            self.server_limit *= 1.0 + LIMIT_STEP

    def total_limit(self) -> float:
        """Limit of this balancer's attempts in flight at all warm servers together.

        Where the share of one server is less than one request, the sum of the shares of all
        available servers is the limit. Otherwise many balancers would each send one request to a
        server with capacity for a few. (Cold servers have their own limit.)
        """
        if self.server_limit >= 1.0:
            return math.inf
        state = self._state
        if state.now_us >= self._next_recount_us:
            warm = sum(
                server.is_available(state.now_us) and not self._slow_start.is_cold(server)
                for server in state.candidates
            )
            self._total_limit = max(1.0, self.server_limit * warm)
            self._next_recount_us = state.now_us + RECOUNT_INTERVAL_US
        return self._total_limit

    def allows(self, server: ServerState, limit_fraction: float) -> bool:
        """Whether one more attempt fits this fraction of the server's limit and the total."""
        if server.in_flight + 1 > max(1.0, limit_fraction * self.server_limit):
            return False
        return self._slow_start.is_cold(server) or self._state.in_flight < self.total_limit()

    def is_reached(self, server: ServerState) -> bool:
        """Whether one more attempt would exceed the server's limit or the total limit."""
        return (
            server.in_flight + 1 > max(1.0, self.server_limit)
            or self._state.in_flight + 1 > self.total_limit()
        )
