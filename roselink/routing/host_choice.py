"""Host choice: power of two choices by payoff and load, with exploration and prefix affinity.

Of two random hosts the one with the higher score is picked (Mitzenmacher, The Power of Two Choices
in Randomized Load Balancing, 2001). The score is payoff / (1 + own requests in flight there), where
the payoff is this gateway's own times the one pooled over all gateways. One pick in twenty
explores: it goes to the lower-scored host. On a route with affinity prompt tokens count as load,
see `affinity`; on one without, hosts of the gateway's zone have a slight advantage.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from roselink.routing.affinity import PrefixCacheTracker
    from roselink.routing.events_and_actions import PromptSegment, RequestFacts
    from roselink.routing.host_record import HostRecord
    from roselink.routing.ready_hosts import HostPredicate, ReadyHosts

# Fraction of picks that go to the lower-scored of the two. A larger one notices recovered hosts
# sooner; a smaller one sends fewer requests to hosts that look worse.
EXPLORATION_RATE = 0.05
# Additional shared tokens to prefill up to which exploring with a pick counts as cheap. A larger
# bound defers fewer explorations, a smaller one recomputes fewer tokens.
CHEAP_RECOMPUTE_TOKENS = 1000.0
# Explorations that may be deferred to cheaper picks; beyond it the next pick explores at any cost.
MAX_EXPLORATION_CREDIT = 2.0
# Bound on the probability that a cheap pick explores while explorations are deferred.
MAX_EXPLORATION_PROBABILITY = 0.25
# Weight of a shared token to prefill, relative to a pending prompt token: prefilling it again is
# wasted work. A larger weight follows the cached prefix, a smaller one spreads the load.
RECOMPUTE_WEIGHT = 3.0
# Prompt tokens to prefill that count as one request in flight. A smaller number gives prefill more
# weight relative to the number of requests, a larger one less.
TOKENS_PER_REQUEST_LOAD = 2000.0
# Factor of the score of a host in another zone. A smaller one keeps more traffic in the zone; one
# nearer to 1 balances load and payoff across zones.
OTHER_ZONE_FACTOR = 0.95
# Hosts in a key's ring order that are considered before a random draw.
RANKED_CANDIDATES = 4
# Hosts that are compared in each pick.
CANDIDATES_PER_PICK = 2


class _RankedHost(NamedTuple):
    """A host in a key's ring order, and whether it is the first."""

    host: HostRecord
    is_home: bool


class HostChooser:
    """Picks the hosts of one gateway's attempts."""

    def __init__(self, zone: str, rng: random.Random, prefix_cache: PrefixCacheTracker) -> None:
        """Start without exploration credit.

        Args:
            zone: The gateway's zone.
            rng: Source of all random draws.
            prefix_cache: What the hosts have probably cached.
        """
        self._zone = zone
        self._rng = rng
        self._prefix_cache = prefix_cache
        # Explorations that are due according to the rate and have not taken place.
        self._exploration_credit = 0.0

    def pick(
        self,
        ready: ReadyHosts,
        facts: RequestFacts,
        excluded: Collection[HostRecord],
        now: float,
    ) -> HostRecord | None:
        """Pick a host.

        Args:
            ready: The ready hosts of the request's service.
            facts: The request.
            excluded: Hosts that must not be picked, such as those attempted before.
            now: The current time, in seconds.

        Returns:
            None if no host was found.
        """
        if facts.affinity and facts.prompt:
            shared_segments = self._prefix_cache.shared_segments(facts)
            ranked = self._ranked_pair(ready, shared_segments, excluded, now)
            if ranked:
                scores = [self._affinity_score(each, shared_segments, now) for each in ranked]
                uncached_tokens = [
                    self._prefix_cache.uncached_tokens(
                        host.spec.id, shared_segments, now, is_home=is_home
                    )
                    for host, is_home in ranked
                ]
                return self._compare([each.host for each in ranked], scores, uncached_tokens)
        hosts = self._random_pair(ready, excluded, now)
        return self._compare(hosts, [self.score(host) for host in hosts]) if hosts else None

    def tokens_to_prefill(
        self, ready: ReadyHosts, facts: RequestFacts, host: HostRecord, now: float
    ) -> int:
        """Prompt tokens that a host is expected to prefill for a request."""
        if not facts.prompt:
            return facts.tokens_in
        shared_segments = self._prefix_cache.shared_segments(facts)
        home = next(iter(ready.ranked(shared_segments[-1].id, 1)), None) if facts.affinity else None
        uncached_tokens = self._prefix_cache.uncached_tokens(
            host.spec.id, shared_segments, now, is_home=host is home
        )
        cached = sum(segment.tokens for segment in shared_segments) - uncached_tokens
        return max(0, int(facts.tokens_in - cached))

    def score(self, host: HostRecord) -> float:
        """The payoff discounted by own requests in flight, and for hosts in another zone."""
        zone_factor = 1.0 if host.spec.zone == self._zone else OTHER_ZONE_FACTOR
        return zone_factor * host.effective_payoff() / (1.0 + host.in_flight)

    def _affinity_score(
        self, ranked: _RankedHost, shared_segments: tuple[PromptSegment, ...], now: float
    ) -> float:
        host = ranked.host
        uncached_tokens = self._prefix_cache.uncached_tokens(
            host.spec.id, shared_segments, now, is_home=ranked.is_home
        )
        tokens = host.pending_prompt_tokens + RECOMPUTE_WEIGHT * uncached_tokens
        load = host.request_weight() * host.in_flight + tokens / TOKENS_PER_REQUEST_LOAD
        return host.effective_payoff() / (1.0 + load)

    def _ranked_pair(
        self,
        ready: ReadyHosts,
        shared_segments: tuple[PromptSegment, ...],
        excluded: Collection[HostRecord],
        now: float,
    ) -> list[_RankedHost]:
        """The first two hosts in the key's ring order that are available and not saturated."""
        pair: list[_RankedHost] = []
        for rank, host in enumerate(ready.ranked(shared_segments[-1].id, RANKED_CANDIDATES)):
            if host not in excluded and host.is_available(now) and not host.is_saturated():
                pair.append(_RankedHost(host, is_home=rank == 0))
                if len(pair) == CANDIDATES_PER_PICK:
                    break
        return pair

    def _random_pair(
        self, ready: ReadyHosts, excluded: Collection[HostRecord], now: float
    ) -> list[HostRecord]:
        """Two random hosts below their limits; else two available ones; else two not excluded."""
        predicates: tuple[HostPredicate, ...] = (
            lambda host: host not in excluded and host.is_available(now) and host.below_limit(),
            lambda host: host not in excluded and host.is_available(now),
            lambda host: host not in excluded,
        )
        for predicate in predicates:
            first = ready.draw(predicate, self._rng)
            if first is not None:
                second = ready.draw(_excluding(predicate, first), self._rng)
                return [first] if second is None else [first, second]
        return []

    def _compare(
        self,
        pair: list[HostRecord],
        scores: list[float],
        uncached_tokens: list[float] | None = None,
    ) -> HostRecord:
        """The higher-scored host, or the other one when the pick explores.

        Args:
            pair: One host or two.
            scores: The score of each host.
            uncached_tokens: Shared tokens that each host would have to prefill; None without
                affinity.
        """
        if len(pair) == 1:
            return pair[0]
        better_index = 0 if scores[0] >= scores[1] else 1
        recomputed = (
            0.0
            if uncached_tokens is None
            else uncached_tokens[1 - better_index] - uncached_tokens[better_index]
        )
        return pair[1 - better_index if self._should_explore(recomputed) else better_index]

    def _should_explore(self, recomputed_tokens: float) -> bool:
        """Whether this pick goes to the lower-scored host, at the rate `EXPLORATION_RATE`.

        A pick that would prefill many more shared tokens defers its exploration to a cheaper pick,
        up to `MAX_EXPLORATION_CREDIT`.
        """
        self._exploration_credit += EXPLORATION_RATE
        if recomputed_tokens > CHEAP_RECOMPUTE_TOKENS:
            if self._exploration_credit <= MAX_EXPLORATION_CREDIT:
                return False
            self._exploration_credit -= 1.0
            return True
        probability = min(MAX_EXPLORATION_PROBABILITY, self._exploration_credit)
        self._exploration_credit -= probability
        return self._rng.random() < probability


def _excluding(predicate: HostPredicate, first: HostRecord) -> HostPredicate:
    return lambda host: host is not first and predicate(host)
