"""The policy of each request, and the recent latencies of each route."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.routing.latency_tracker import LatencyTracker

if TYPE_CHECKING:
    from roselink.routing.events_and_actions import RequestFacts

# The route's name.
PolicyKey = str

# Latencies kept for each route. More of them give a steadier percentile, fewer a more recent one.
MAX_LATENCIES = 128
MAX_ROUTES = 1024
# Latency percentile of the route after which a request may be hedged. A higher one hedges fewer
# requests; a lower one cuts tail latency earlier, for more load.
HEDGE_PERCENTILE = 0.95
MIN_HEDGE_WAIT_S = 0.01
# New latencies after which the percentile is recomputed. More of them save sorting; fewer follow
# changes of the latency sooner.
LATENCIES_PER_RECOMPUTE = 32
# Lowest attempt limit of a route with hedges: a hedge is a second attempt.
MIN_HEDGE_ATTEMPTS = 2
# Whether streams are hedged: only long after the percentile and the target latency, and only when
# the host seems unresponsive, as each hedge costs the prefill of a full prompt.
HEDGE_STREAMS = True
# Factor of the percentile after which a stream may be hedged. A larger one saves prefills; a
# smaller one hedges streams earlier.
STREAM_HEDGE_FACTOR = 2.0
MICROSECONDS_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class EffectivePolicy:
    """The limits that apply to one request.

    Attributes:
        key: The route's name.
        repeatable: Whether the request may run more than once.
        streaming: Whether its response is a stream of events.
        max_attempts: At least 1.
        target_latency_s: Target latency in seconds; 0 for none.
    """

    key: PolicyKey
    repeatable: bool
    streaming: bool
    max_attempts: int
    target_latency_s: float

    @staticmethod
    def of(facts: RequestFacts) -> EffectivePolicy:
        """The policy of a request, normalized: at least one attempt, no negative target."""
        return EffectivePolicy(
            facts.route,
            facts.repeatable,
            facts.streaming,
            max(1, facts.max_attempts),
            max(0.0, facts.target_latency_s),
        )


class RouteLatencies:
    """Recent latencies of one route, to the first event or the complete response; bounded."""

    def __init__(self) -> None:
        """Start without latencies."""
        self._latencies = LatencyTracker(maxlen=MAX_LATENCIES)
        self._hedge_wait_s: float | None = None
        self._new_latencies = 0

    def record_latency(self, elapsed_s: float) -> None:
        """Add the latency of one success."""
        self._latencies.append(int(elapsed_s * MICROSECONDS_PER_S))
        self._new_latencies += 1

    def is_in_time(self, policy: EffectivePolicy, elapsed_s: float) -> bool:
        """Whether a latency meets the target or, without a target, the route's median."""
        if policy.target_latency_s > 0:
            return elapsed_s <= policy.target_latency_s
        median = self._latencies.percentile(0.5)
        return median is None or elapsed_s * MICROSECONDS_PER_S <= median

    def hedge_wait_s(self, policy: EffectivePolicy) -> float | None:
        """The delay before a hedge, in seconds; None if the request must not be hedged.

        The percentile is recomputed only after every `LATENCIES_PER_RECOMPUTE` new latencies.
        """
        if (
            not policy.repeatable
            or policy.max_attempts < MIN_HEDGE_ATTEMPTS
            or (policy.streaming and not HEDGE_STREAMS)
        ):
            return None
        if self._new_latencies >= LATENCIES_PER_RECOMPUTE:
            percentile_us = self._latencies.percentile(HEDGE_PERCENTILE) or 0
            self._hedge_wait_s = max(MIN_HEDGE_WAIT_S, percentile_us / MICROSECONDS_PER_S)
            self._new_latencies = 0
        if not policy.streaming:
            return self._hedge_wait_s
        stream_wait_s = STREAM_HEDGE_FACTOR * (self._hedge_wait_s or 0.0)
        return max(stream_wait_s, policy.target_latency_s) or None


class RouteLatencyTable:
    """The latencies of the most recently added routes; bounded."""

    def __init__(self) -> None:
        """Start without routes."""
        self._routes: OrderedDict[PolicyKey, RouteLatencies] = OrderedDict()

    def find(self, key: PolicyKey) -> RouteLatencies:
        """The latencies of a route, which is added if it is new."""
        latencies = self._routes.get(key)
        if latencies is None:
            latencies = self._routes[key] = RouteLatencies()
            while len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        return latencies
