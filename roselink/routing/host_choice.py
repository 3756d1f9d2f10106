"""Host choice: of two drawn hosts the one with the higher discounted payoff, sometimes the other.

Two random choices (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001), by
payoff / (1 + own requests in flight there); the payoff is this gateway's own times the one over all
gateways. One pick in twenty explores: it goes to the lower-scored host. On a route with affinity
prompt tokens are counted as requests, see `affinity`; on one without, hosts of the own zone have a
slight advantage.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from roselink.routing.affinity import PrefixCacheTracker
    from roselink.routing.events_and_actions import PromptSegment, RequestFacts
    from roselink.routing.host_record import HostRecord
    from roselink.routing.ready_hosts import Condition, ReadyHosts

# Fraction of picks that go to the lower-scored of the two.
EXPLORATION_RATE = 0.05
# Shared tokens read again up to which a pick is a cheap one to explore with.
CHEAP_REREAD_TOKENS = 1000.0
# Explorations deferred to cheaper picks; past this the next pick explores, whatever it costs.
MAX_DEFERRED_EXPLORATIONS = 2.0
# Bound on a cheap pick's chance to explore while explorations are deferred.
MAX_EXPLORATION_CHANCE = 0.25
# Weight of a shared token read again against one that is read anyway: it is wasted work.
REREAD_WEIGHT = 3.0
# Prompt tokens to read that weigh as one request in flight.
TOKENS_PER_REQUEST = 2000.0
# Factor on the score of a host of another zone.
OTHER_ZONE_FACTOR = 0.95
# Hosts of a key that are considered before a random draw.
RANKED_CANDIDATES = 4
# Hosts that are compared.
PAIR = 2


class _Ranked(NamedTuple):
    """A host of a key, and whether it is the first of the ring for it."""

    host: HostRecord
    is_home: bool


class HostChooser:
    """Picks hosts for one gateway."""

    def __init__(self, zone: str, randomness: random.Random, memory: PrefixCacheTracker) -> None:
        """Start with no exploration deferred.

        Args:
            zone: The gateway's zone.
            randomness: All draws come from it.
            memory: The prompt parts that hosts have read.
        """
        self._zone = zone
        self._random = randomness
        self._memory = memory
        # Explorations that picks so far have earned and not had.
        self._deferred = 0.0

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
            excluded: Hosts that must not be picked: those that it went to before.
            now: Seconds.

        Returns:
            None if no other host was found.
        """
        if facts.affinity and facts.prompt:
            shared = self._memory.shared_segments(facts)
            ranked = self._ranked_pair(ready, shared, excluded, now)
            if ranked:
                scores = [self._affinity_score(each, shared, now) for each in ranked]
                uncached = [
                    self._memory.uncached_tokens(host.spec.id, shared, now, is_home=is_home)
                    for host, is_home in ranked
                ]
                return self._compare([each.host for each in ranked], scores, uncached)
        hosts = self._random_pair(ready, excluded, now)
        return self._compare(hosts, [self.score(host) for host in hosts]) if hosts else None

    def tokens_to_read(
        self, ready: ReadyHosts, facts: RequestFacts, host: HostRecord, now: float
    ) -> int:
        """Prompt tokens that a host is expected to read for a request."""
        if not facts.prompt:
            return facts.tokens_in
        shared = self._memory.shared_segments(facts)
        home = next(iter(ready.ranked(shared[-1].id, 1)), None) if facts.affinity else None
        uncached = self._memory.uncached_tokens(host.spec.id, shared, now, is_home=host is home)
        cached = sum(part.tokens for part in shared) - uncached
        return max(0, int(facts.tokens_in - cached))

    def score(self, host: HostRecord) -> float:
        """The design's discounted payoff."""
        zone_factor = 1.0 if host.spec.zone == self._zone else OTHER_ZONE_FACTOR
        return zone_factor * host.effective_payoff() / (1.0 + host.in_flight)

    def _affinity_score(
        self, ranked: _Ranked, shared: tuple[PromptSegment, ...], now: float
    ) -> float:
        host = ranked.host
        uncached = self._memory.uncached_tokens(host.spec.id, shared, now, is_home=ranked.is_home)
        tokens = host.pending_prompt_tokens + REREAD_WEIGHT * uncached
        load = host.request_weight() * host.in_flight + tokens / TOKENS_PER_REQUEST
        return host.effective_payoff() / (1.0 + load)

    def _ranked_pair(
        self,
        ready: ReadyHosts,
        shared: tuple[PromptSegment, ...],
        excluded: Collection[HostRecord],
        now: float,
    ) -> list[_Ranked]:
        """The key's first two hosts that are available and not saturated."""
        pair: list[_Ranked] = []
        for rank, host in enumerate(ready.ranked(shared[-1].id, RANKED_CANDIDATES)):
            if host not in excluded and host.is_available(now) and not host.is_saturated():
                pair.append(_Ranked(host, is_home=rank == 0))
                if len(pair) == PAIR:
                    break
        return pair

    def _random_pair(
        self, ready: ReadyHosts, excluded: Collection[HostRecord], now: float
    ) -> list[HostRecord]:
        """Two random hosts below their limits, or any available, or any not excluded."""
        conditions: tuple[Condition, ...] = (
            lambda host: host not in excluded and host.is_available(now) and host.below_limit(),
            lambda host: host not in excluded and host.is_available(now),
            lambda host: host not in excluded,
        )
        for condition in conditions:
            first = ready.draw(condition, self._random)
            if first is not None:
                second = ready.draw(_another(condition, first), self._random)
                return [first] if second is None else [first, second]
        return []

    def _compare(
        self, pair: list[HostRecord], scores: list[float], uncached: list[float] | None = None
    ) -> HostRecord:
        """The better of the two, or the other when the pick explores.

        Args:
            pair: One host or two.
            scores: Of each.
            uncached: Shared tokens that each would read; None on a route without affinity.
        """
        if len(pair) == 1:
            return pair[0]
        better = 0 if scores[0] >= scores[1] else 1
        reread = 0.0 if uncached is None else uncached[1 - better] - uncached[better]
        return pair[1 - better if self._explores(reread) else better]

    def _explores(self, reread_tokens: float) -> bool:
        """Whether this pick goes to the lower-scored host: one in twenty of all.

        A pick by which many more shared tokens would be read defers its exploration to a cheaper
        pick, as long as such picks come.
        """
        self._deferred += EXPLORATION_RATE
        if reread_tokens > CHEAP_REREAD_TOKENS:
            if self._deferred <= MAX_DEFERRED_EXPLORATIONS:
                return False
            self._deferred -= 1.0
            return True
        chance = min(MAX_EXPLORATION_CHANCE, self._deferred)
        self._deferred -= chance
        return self._random.random() < chance


def _another(condition: Condition, first: HostRecord) -> Condition:
    return lambda host: host is not first and condition(host)
