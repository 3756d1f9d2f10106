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
MAX_WAITING = 1.0
# What the limit gains or loses by one answer, as a fraction: quick to learn against steady.
LIMIT_STEP = 0.001
# Answers over which the crowding is smoothed.
CROWDING_SAMPLES = 64
# Time between two counts of the available servers: work for each request against old counts.
RECOUNT_US = 50_000


class ConcurrencyLimit:
    """This balancer's share of the limit of every server, learned from latencies.

    Guards against crowding machines that lose speed by it long before a request misses its aim.
    """

    def __init__(self, state: BalancerState, slow_start: SlowStart) -> None:
        """An even share of the initial limit."""
        self._state = state
        self._slow_start = slow_start
        # Own share of a server's limit, in attempts in flight.
        self.share = INITIAL_LIMIT / state.settings.balancers
        # Latency in a full server over that in an idle one, smoothed.
        self.crowding = 1.0
        self._total = 1.0
        self._recount_us = 0

    def learn(self, crowding: float) -> None:
        """Learns from the latency in a full server, as a multiple of that in an idle one."""
        self.crowding += (crowding - self.crowding) / CROWDING_SAMPLES
        balancers = self._state.settings.balancers
        waiting = self.share * balancers * (1.0 - 1.0 / max(1.0, self.crowding))
        if waiting > MAX_WAITING:
            self.share = max(1.0 / balancers, self.share * (1.0 - LIMIT_STEP))
        elif self._state.queued:
            self.share *= 1.0 + LIMIT_STEP

    def total(self) -> float:
        """The limit of own attempts in flight at all warm servers.

        Where an own share of one server is less than a request, the shares of all available ones
        are the limit. Guards against many balancers with a request each at a server that has
        capacity for a few. (Cold servers have a limit of their own.)
        """
        if self.share >= 1.0:
            return math.inf
        state = self._state
        if state.now_us >= self._recount_us:
            warm = sum(
                server.is_available(state.now_us) and not self._slow_start.is_cold(server)
                for server in state.candidates
            )
            self._total = max(1.0, self.share * warm)
            self._recount_us = state.now_us + RECOUNT_US
        return self._total

    def allows(self, server: ServerState, fraction: float) -> bool:
        """Whether one more attempt at a server keeps to this fraction of its share, and to all."""
        if server.in_flight + 1 > max(1.0, fraction * self.share):
            return False
        return self._slow_start.is_cold(server) or self._state.in_flight < self.total()

    def is_reached(self, server: ServerState) -> bool:
        """Whether one more attempt at a server would exceed its share or that of all."""
        return (
            server.in_flight + 1 > max(1.0, self.share) or self._state.in_flight + 1 > self.total()
        )
