"""Host choice: the better of two random servers that may take the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.host_window import LOCAL_FRACTION, candidate_window
from roselink.balancer.interface import Effect, State
from roselink.balancer.outcome_classifier import may_repeat_at

if TYPE_CHECKING:
    from roselink.balancer.concurrency_limit import ConcurrencyLimit
    from roselink.balancer.host_window import LongRequestPartition
    from roselink.balancer.interface import Route, Settings
    from roselink.balancer.payoff import PayoffEstimator
    from roselink.balancer.request_state import Request
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.slow_start import SlowStart
    from roselink.balancer.state import BalancerState

# Fraction of choices that take the lower-scored server. Higher keeps payoffs fresher; lower sends
# fewer requests to worse servers.
EXPLORATION_FRACTION = 0.05


def may_run_parallel(settings: Settings, route: Route) -> bool:
    """Whether a request of a route may have two attempts in flight."""
    return settings.parallel_tries and route.effect is not Effect.UNSAFE


class HostChooser:
    """Chooses the server of an attempt."""

    def __init__(
        self,
        state: BalancerState,
        payoffs: PayoffEstimator,
        slow_start: SlowStart,
        limit: ConcurrencyLimit,
        partition: LongRequestPartition,
    ) -> None:
        """Reads the state of the balancer and of its modules; keeps none of its own."""
        self._state = state
        self._payoffs = payoffs
        self._speeds = slow_start.speeds
        self._slow_start = slow_start
        self._limit = limit
        self._partition = partition

    def choose(self, request: Request) -> ServerState | None:
        """Returns the server for the next attempt; None while none may take it.

        Of two random servers the one with the higher payoff / (1 + in flight) is taken, at times
        the lower, so that its payoff stays fresh ("The Power of Two Choices in Randomized Load
        Balancing", Mitzenmacher 2001).
        """
        state = self._state
        # Cold servers first: an unused send slot is lost, and a deploy makes a whole fleet cold.
        for server in state.cold:
            if (
                self._slow_start.is_cold(server)
                and server.is_available(state.now_us)
                and self._can_send(request, server)
            ):
                return server
        window = candidate_window(state)
        # No partition in a window: the fraction of long work is known only with traffic for all.
        partition = state.candidates if window else self._partition.servers_for(request.route)
        limit_fraction = 1.0 if window else LOCAL_FRACTION
        local = [
            server for server in window or partition if server.spec.zone == state.settings.zone
        ]
        pool = window or local
        first = self._draw(request, local, limit_fraction) or self._draw(
            request, pool, limit_fraction
        )
        if not first:
            pool = partition
            limit_fraction = 1.0
            # Ejected servers are used when no server is available, as in a fleet ejected entirely.
            panic = not any(server.is_available(state.now_us) for server in partition)
            first = self._draw(request, partition, panic=panic)
            if not first:
                return None
        second = self._draw(request, pool, limit_fraction, excluded=first) or first
        if self.score(first) >= self.score(second):
            better = first
            worse = second
        else:
            better = second
            worse = first
        return worse if state.random.random() < EXPLORATION_FRACTION else better

    def score(self, server: ServerState) -> float:
        """Payoff minus the cross-zone price, divided by the load of attempts in flight."""
        settings = self._state.settings
        cross_zone_price = settings.price_cross_zone * (server.spec.zone != settings.zone)
        load = 1.0 + server.in_flight / max(1.0, self._limit.server_limit)
        return (self._payoffs.payoff(server) - cross_zone_price) / load

    def may_send(self, request: Request, server: ServerState) -> bool:
        """Checks rules 2, 3 and 4 (see `decider`) before every send."""
        settings = self._state.settings
        if request.closed or len(request.attempts) >= settings.max_attempts:
            return False
        if request.in_flight and not may_run_parallel(settings, request.route.spec):
            return False
        spec = server.spec
        if not may_repeat_at(request, spec.zone, spec.cell, self._state.now_us):
            return False
        return spec.state is State.READY and self._slow_start.allows(request, server)

    def _draw(
        self,
        request: Request,
        pool: list[ServerState],
        limit_fraction: float = 1.0,
        *,
        excluded: ServerState | None = None,
        panic: bool = False,
    ) -> ServerState | None:
        """Returns the first server, from a random position on, that can take the request.

        A server that had an attempt of the request counts only if it is the only server. `panic`
        includes ejected servers.
        """
        state = self._state
        count = len(pool)
        tried = [attempt.server for attempt in request.attempts]
        start = int(state.random.random() * count)
        if len(self._speeds.log2_slowness) > 1 and 0 < count < len(state.candidates):
            # Weighted by the speed of the kind of machine: a window has too few attempts in flight
            # for the score to show it.
            weights = [self._speeds.speed(server.spec.kind) for server in pool]
            start = state.random.choices(range(count), weights)[0]
        for index in range(start, start + count):
            server = pool[index % count]
            untried = server not in tried or (len(state.candidates) == 1 and not request.in_flight)
            if (
                server is not excluded
                and untried
                and (panic or server.is_available(state.now_us))
                and self._can_send(request, server, limit_fraction)
            ):
                return server
        return None

    def _can_send(self, request: Request, server: ServerState, limit_fraction: float = 1.0) -> bool:
        """Whether the concurrency limit and `may_send` allow a send now."""
        return self._limit.allows(server, limit_fraction) and self.may_send(request, server)
