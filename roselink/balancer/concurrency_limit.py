"""Concurrency limit: how many attempts a balancer has in flight, at a server and in all."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.slow_start import SlowStart
    from roselink.balancer.state import BalancerState

# Limit of a server, over all balancers, at first: capacity of large machines is learned.
INITIAL_LIMIT = 3.0
# Requests in a full server that wait for others: a busy machine against jams that no one sees.
MAX_SERVER_QUEUE = 1.0
# What the limit gains or loses by one answer, as a fraction: quick to learn against steady.
LIMIT_STEP = 0.001
# Answers over which the latency ratio is smoothed.
LATENCY_RATIO_SAMPLES = 64
# Time between two counts of the available servers: work for each request against old counts.
RECOUNT_INTERVAL_US = 50_000


class ConcurrencyLimit:
    """This balancer's share of the limit of every server, learned from latencies.

    Guards against crowding machines that lose speed by it long before a request misses its aim.
    """

    def __init__(self, state: BalancerState, slow_start: SlowStart) -> None:
        """An even share of the initial limit."""
        self._state = state
        self._slow_start = slow_start
        # Own share of a server's limit, in attempts in flight.
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
        """The limit of own attempts in flight at all warm servers.

        Where an own share of one server is less than a request, the shares of all available ones
        are the limit. Guards against many balancers with a request each at a server that has
        capacity for a few. (Cold servers have a limit of their own.)
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
        """Whether one more attempt at a server keeps to this fraction of its share, and to all."""
        if server.in_flight + 1 > max(1.0, limit_fraction * self.server_limit):
            return False
        return self._slow_start.is_cold(server) or self._state.in_flight < self.total_limit()

    def is_reached(self, server: ServerState) -> bool:
        """Whether one more attempt at a server would exceed its share or that of all."""
        return (
            server.in_flight + 1 > max(1.0, self.server_limit)
            or self._state.in_flight + 1 > self.total_limit()
        )
