"""The servers that a balancer draws from: a window of the fleet, or lanes for blocking requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.load_shedding import IN_TIME_TARGET

if TYPE_CHECKING:
    from roselink.balancer.request_state import RouteState
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.state import BalancerState

# Recent outcomes that make a fresh record of a server: knowledge, connections kept against a wide
# choice.
OUTCOMES_PER_SERVER = 6.0
# Servers in the smallest window: one bad server must leave a choice.
MIN_WINDOW_SIZE = 8
# Local servers take all while one is filled under this fraction of its limit: crossings or waits.
LOCAL_FRACTION = 0.5
# Weight of the request of mean work in the fraction of blocking work: one over these many.
LONG_WORK_SAMPLES = 256


def candidate_window(state: BalancerState) -> list[ServerState] | None:
    """The servers to draw from, as many as own traffic keeps a fresh record of; None for all.

    They begin in the common order at a position set by the balancer's own number. Guards against
    knowing none of them where many balancers share a fleet, and against connections that grow as
    balancers times servers.
    """
    settings = state.settings
    count = len(state.candidates)
    window_size = max(MIN_WINDOW_SIZE, int(state.recent_arrivals / OUTCOMES_PER_SERVER))
    if window_size >= count:
        return None
    rotated = (state.candidates * 2)[count * settings.number // settings.balancers :][:count]
    # Local ones come in by the price of a crossing, against the misses that load shedding would
    # bear.
    local_fraction = min(LOCAL_FRACTION, settings.price_cross_zone / (1.0 - IN_TIME_TARGET))
    max_local = round(window_size * local_fraction)
    local = [server for server in rotated if server.spec.zone == settings.zone][:max_local]
    return local + [server for server in rotated if server not in local][: window_size - len(local)]


class LongRequestPartition:
    """Keeps requests that run long apart from short ones, which would miss their aim behind them.

    Blocking requests keep to a fraction of the common order of servers, in proportion to their
    fraction of the work.
    """

    def __init__(self, state: BalancerState) -> None:
        """No blocking request has been seen."""
        self._state = state
        # Fraction of the work that comes in blocking requests.
        self.long_work_fraction = 0.0

    def is_long(self, route: RouteState) -> bool:
        """Whether a route's requests run longer than another route's aim."""
        shortest_us = min(other.target_latency_us for other in self._state.routes)
        return route.samples > 0 and route.cost_us > shortest_us

    def observe(self, route: RouteState, cost_us: float) -> None:
        """Learns from the work of one arrived request."""
        weight = min(1.0, cost_us / self._state.mean_cost_us / LONG_WORK_SAMPLES)
        self.long_work_fraction += (self.is_long(route) - self.long_work_fraction) * weight

    def servers_for(self, route: RouteState) -> list[ServerState]:
        """The servers for requests of a route."""
        candidates = self._state.candidates
        count = len(candidates)
        reserved = 0
        if count > 1 and self.long_work_fraction > 0.0:
            reserved = min(count - 1, max(1, round(count * self.long_work_fraction)))
        if self.is_long(route):
            return candidates[:reserved] or candidates
        return candidates[reserved:]
