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
MIN_WINDOW = 8
# Local servers take all while one is filled under this fraction of its limit: crossings or waits.
LOCAL_FRACTION = 0.5
# Weight of the request of mean work in the fraction of blocking work: one over these many.
BLOCKING_SAMPLES = 256


def window(state: BalancerState) -> list[ServerState] | None:
    """The servers to draw from, as many as own traffic keeps a fresh record of; None for all.

    They begin in the common order at a position set by the balancer's own number. Guards against
    knowing none of them where many balancers share a fleet, and against connections that grow as
    balancers times servers.
    """
    settings = state.settings
    count = len(state.candidates)
    width = max(MIN_WINDOW, int(state.recent / OUTCOMES_PER_SERVER))
    if width >= count:
        return None
    ring = (state.candidates * 2)[count * settings.number // settings.balancers :][:count]
    # Local ones come in by the price of a crossing, against the misses that load shedding would
    # bear.
    local_fraction = min(LOCAL_FRACTION, settings.price_cross_zone / (1.0 - IN_TIME_TARGET))
    max_local = round(width * local_fraction)
    local = [server for server in ring if server.spec.zone == settings.zone][:max_local]
    return local + [server for server in ring if server not in local][: width - len(local)]


class BlockingLanes:
    """Keeps requests that run long apart from short ones, which would miss their aim behind them.

    Blocking requests keep to a fraction of the common order of servers, in proportion to their
    fraction of the work.
    """

    def __init__(self, state: BalancerState) -> None:
        """No blocking request has been seen."""
        self._state = state
        # Fraction of the work that comes in blocking requests.
        self.blocking_fraction = 0.0

    def blocks(self, route: RouteState) -> bool:
        """Whether a route's requests run longer than another route's aim."""
        shortest_us = min(other.patience_us for other in self._state.routes)
        return route.samples > 0 and route.cost_us > shortest_us

    def observe(self, route: RouteState, cost_us: float) -> None:
        """Learns from the work of one arrived request."""
        weight = min(1.0, cost_us / self._state.mean_cost_us / BLOCKING_SAMPLES)
        self.blocking_fraction += (self.blocks(route) - self.blocking_fraction) * weight

    def lane(self, route: RouteState) -> list[ServerState]:
        """The servers for requests of a route."""
        candidates = self._state.candidates
        count = len(candidates)
        blocking = 0
        if count > 1 and self.blocking_fraction > 0.0:
            blocking = min(count - 1, max(1, round(count * self.blocking_fraction)))
        if self.blocks(route):
            return candidates[:blocking] or candidates
        return candidates[blocking:]
