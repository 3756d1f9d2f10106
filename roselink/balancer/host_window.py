"""Candidate servers of a request: a window of the fleet, or a partition by request duration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.load_shedding import IN_TIME_TARGET

if TYPE_CHECKING:
    from roselink.balancer.request_state import RouteState
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.state import BalancerState

# Recent outcomes per server of a window. Higher: fresher payoffs and fewer connections; lower: more
# servers to choose from.
OUTCOMES_PER_SERVER = 6.0
# Servers in the smallest window: with one bad server there must still be a choice.
MIN_WINDOW_SIZE = 8
# Local servers take all requests while one is below this fraction of its limit; also the largest
# local fraction of a window. Higher: longer waits; lower: more cross-zone requests.
LOCAL_FRACTION = 0.5
# Requests of mean work over which the fraction of long-running work is smoothed.
LONG_WORK_SAMPLES = 256


def candidate_window(state: BalancerState) -> list[ServerState] | None:
    """Returns the servers for which own traffic can keep fresh payoffs; None means all.

    The window starts in the common order at a position given by the balancer's number. Without it,
    many balancers that share a fleet would know too little of each server, and connections would
    grow as balancers times servers.
    """
    settings = state.settings
    count = len(state.candidates)
    window_size = max(MIN_WINDOW_SIZE, int(state.recent_arrivals / OUTCOMES_PER_SERVER))
    if window_size >= count:
        return None
    rotated = (state.candidates * 2)[count * settings.number // settings.balancers :][:count]
    # The local fraction is the price of a cross-zone request over the fraction of misses that load
    # shedding tolerates.
    local_fraction = min(LOCAL_FRACTION, settings.price_cross_zone / (1.0 - IN_TIME_TARGET))
    max_local = round(window_size * local_fraction)
    local = [server for server in rotated if server.spec.zone == settings.zone][:max_local]
    return local + [server for server in rotated if server not in local][: window_size - len(local)]


class LongRequestPartition:
    """Separates long requests from short ones, which would miss their objective behind them.

    Long requests use the first servers of the common order, in proportion to their fraction of
    the work.
    """

    def __init__(self, state: BalancerState) -> None:
        """Starts without long requests."""
        self._state = state
        # Fraction of the work that comes in long requests.
        self.long_work_fraction = 0.0

    def is_long(self, route: RouteState) -> bool:
        """Whether a route's requests run longer than the shortest target latency of any route."""
        shortest_us = min(other.target_latency_us for other in self._state.routes)
        return route.samples > 0 and route.cost_us > shortest_us

    def observe(self, route: RouteState, cost_us: float) -> None:
        """Updates the fraction from the work of one arrived request."""
        weight = min(1.0, cost_us / self._state.mean_cost_us / LONG_WORK_SAMPLES)
        self.long_work_fraction += (self.is_long(route) - self.long_work_fraction) * weight

    def servers_for(self, route: RouteState) -> list[ServerState]:
        """Returns the servers for requests of a route."""
        candidates = self._state.candidates
        count = len(candidates)
        reserved = 0
        if count > 1 and self.long_work_fraction > 0.0:
            reserved = min(count - 1, max(1, round(count * self.long_work_fraction)))
        if self.is_long(route):
            return candidates[:reserved] or candidates
        return candidates[reserved:]
