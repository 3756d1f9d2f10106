"""The EffectivePolicy of each route, found by PolicyKey, and what was learned of its latencies."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.routing.latency_tracker import LatencyTracker

if TYPE_CHECKING:
    from roselink.routing.events_and_actions import RequestFacts

PolicyKey = str  # the route's name

TRACKED = 128  # latencies kept for a route
KEPT_ROUTES = 1024
HEDGE_AT = 0.95  # a request slower than this percentile of its route may be hedged
HEDGE_LEAST_S = 0.01
HEDGE_SAMPLES = 32  # latencies that a percentile needs
# A hedged stream costs a whole prompt: only far past the percentile and the aim, at a host that
# seems dark.
HEDGE_STREAMS = True
STREAM_PATIENCE = 2.0
MICROSECONDS = 1e6


@dataclass(frozen=True, slots=True)
class EffectivePolicy:
    """What binds one call. Seconds; an aim of 0: none told."""

    key: PolicyKey
    repeatable: bool
    streaming: bool
    max_attempts: int
    aim_s: float

    @staticmethod
    def of(facts: RequestFacts) -> EffectivePolicy:
        """The policy that a request's facts tell, normalized: one attempt at least."""
        return EffectivePolicy(
            facts.route,
            facts.repeatable,
            facts.streaming,
            max(1, facts.max_attempts),
            max(0.0, facts.aim_s),
        )


class RouteRecord:
    """What one route's calls took (to the first event, or to the whole answer); bounded."""

    def __init__(self) -> None:
        self._latencies = LatencyTracker(maxlen=TRACKED)
        self._hedge_s: float | None = None
        self._fresh = 0

    def learn(self, elapsed_s: float) -> None:
        """One success."""
        self._latencies.append(int(elapsed_s * MICROSECONDS))
        self._fresh += 1

    def in_time(self, policy: EffectivePolicy, elapsed_s: float) -> bool:
        """Whether that is within the aim; with none told, within the route's own median."""
        if policy.aim_s > 0:
            return elapsed_s <= policy.aim_s
        median = self._latencies.percentile(0.5)
        return median is None or elapsed_s * MICROSECONDS <= median

    def hedge_after_s(self, policy: EffectivePolicy) -> float | None:
        """How long to wait before a second copy; None: never. The percentile is taken anew now and
        then.
        """
        if (
            not policy.repeatable
            or policy.max_attempts < 2
            or (policy.streaming and not HEDGE_STREAMS)
        ):
            return None
        if self._fresh >= HEDGE_SAMPLES:
            self._hedge_s = max(
                HEDGE_LEAST_S, (self._latencies.percentile(HEDGE_AT) or 0) / MICROSECONDS
            )
            self._fresh = 0
        if not policy.streaming:
            return self._hedge_s
        return max(STREAM_PATIENCE * (self._hedge_s or 0.0), policy.aim_s) or None


class RouteTable:
    """The routes that were asked for, the newest of them; bounded."""

    def __init__(self) -> None:
        self._routes: OrderedDict[PolicyKey, RouteRecord] = OrderedDict()

    def find(self, key: PolicyKey) -> RouteRecord:
        """The record of a route."""
        record = self._routes.get(key)
        if record is None:
            record = self._routes[key] = RouteRecord()
            while len(self._routes) > KEPT_ROUTES:
                self._routes.popitem(last=False)
        return record
