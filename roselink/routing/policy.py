"""The policy of each call, and what was learned of each route's latencies."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.routing.latency_tracker import LatencyTracker

if TYPE_CHECKING:
    from roselink.routing.events_and_actions import RequestFacts

# The route's name.
PolicyKey = str

# Latencies kept for a route.
MAX_LATENCIES = 128
MAX_ROUTES = 1024
# A request slower than this percentile of its route may be hedged.
HEDGE_PERCENTILE = 0.95
MIN_HEDGE_WAIT_S = 0.01
# New latencies after which the percentile is computed again.
LATENCIES_PER_RECOMPUTE = 32
# A hedge needs an attempt beyond the first.
MIN_HEDGE_ATTEMPTS = 2
# A hedged stream costs a full prompt: only far past the percentile and the target latency, at a
# host that seems unresponsive.
HEDGE_STREAMS = True
# Multiple of the percentile after which a stream may be hedged.
STREAM_HEDGE_FACTOR = 2.0
MICROSECONDS_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class EffectivePolicy:
    """What binds one call.

    Attributes:
        key: The route's name.
        repeatable: Whether the call may run more than once.
        streaming: Whether its response is a stream of events.
        max_attempts: At least 1.
        target_latency_s: Seconds; 0 for none.
    """

    key: PolicyKey
    repeatable: bool
    streaming: bool
    max_attempts: int
    target_latency_s: float

    @staticmethod
    def of(facts: RequestFacts) -> EffectivePolicy:
        """The policy in a request's facts, normalized: at least one attempt, no negative time."""
        return EffectivePolicy(
            facts.route,
            facts.repeatable,
            facts.streaming,
            max(1, facts.max_attempts),
            max(0.0, facts.target_latency_s),
        )


class RouteLatencies:
    """Latencies of one route's calls, to the first event or the complete response; bounded."""

    def __init__(self) -> None:
        """Start with no latency known."""
        self._latencies = LatencyTracker(maxlen=MAX_LATENCIES)
        self._hedge_wait_s: float | None = None
        self._new_latencies = 0

    def record_latency(self, elapsed_s: float) -> None:
        """Take the latency of one success."""
        self._latencies.append(int(elapsed_s * MICROSECONDS_PER_S))
        self._new_latencies += 1

    def is_in_time(self, policy: EffectivePolicy, elapsed_s: float) -> bool:
        """Whether that is within the target latency, or without one, the route's own median."""
        if policy.target_latency_s > 0:
            return elapsed_s <= policy.target_latency_s
        median = self._latencies.percentile(0.5)
        return median is None or elapsed_s * MICROSECONDS_PER_S <= median

    def hedge_wait_s(self, policy: EffectivePolicy) -> float | None:
        """How long to wait before a hedge; None: never.

        The percentile is computed again after every `LATENCIES_PER_RECOMPUTE` new latencies only.
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
    """The latencies of the routes that were added last; bounded."""

    def __init__(self) -> None:
        """Start with no route known."""
        self._routes: OrderedDict[PolicyKey, RouteLatencies] = OrderedDict()

    def find(self, key: PolicyKey) -> RouteLatencies:
        """The latencies of a route, added if it is new."""
        latencies = self._routes.get(key)
        if latencies is None:
            latencies = self._routes[key] = RouteLatencies()
            while len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        return latencies
