"""Host choice: of two drawn hosts the one with the higher discounted payoff, one time in twenty the
other.

Payoff / (1 + own requests in flight there), where the payoff is this gateway's own times the one
over all gateways. Where the route has affinity, prompt tokens are counted as requests, see
`affinity`; where it has none, hosts of the own zone have a slight advantage.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from roselink.routing.affinity import PrefixMemory
    from roselink.routing.events_and_actions import PromptPart, RequestFacts
    from roselink.routing.host_record import HostRecord
    from roselink.routing.ready_hosts import ReadyHosts

EXPLORE = 0.05  # share of picks that go to the lower-scored of the two
CHEAP_TOKENS = 1000.0  # shared tokens read again up to which a pick is a cheap one to explore with
MOST_OWED = (
    2.0  # explorations put off for cheaper picks; past it the next pick explores, whatever it costs
)
MOST_CHANCE = 0.25  # of a cheap pick, while explorations are owed
AGAIN_WEIGHT = (
    3.0  # of a shared token read again, against one that is read anyway: it is work for nothing
)
REQUEST_TOKENS = 2000.0  # prompt tokens to read that weigh as one request in flight
FOREIGN = 0.95  # of its score, for a host of another zone
RANKED = 4  # hosts of a key that are considered before a random draw


class HostChooser:
    """Picks hosts for one gateway."""

    def __init__(self, zone: str, randomness: random.Random, memory: PrefixMemory) -> None:
        self._zone, self._random, self._memory = zone, randomness, memory
        self._owed = 0.0  # explorations that picks so far have earned and not had

    def pick(
        self, pool: ReadyHosts, facts: RequestFacts, tried: Collection[HostRecord], now: float
    ) -> HostRecord | None:
        """A host not tried before, or None when there is no other."""
        if facts.affinity and facts.prompt:
            shared = self._memory.shared(facts)
            pair = self._ranked_pair(pool, shared, tried, now)
            if pair:
                scores = [self._affine_score(*entry, shared, now) for entry in pair]
                tokens = [
                    self._memory.to_read(host.spec.id, shared, home, now) for host, home in pair
                ]
                return self._compare([host for host, _ in pair], scores, tokens)
        hosts = self._random_pair(pool, tried, now)
        return self._compare(hosts, [self.score(host) for host in hosts]) if hosts else None

    def tokens_to_read(
        self, pool: ReadyHosts, facts: RequestFacts, host: HostRecord, now: float
    ) -> int:
        """Prompt tokens that a host is expected to read for a request."""
        if not facts.prompt:
            return facts.tokens_in
        shared = self._memory.shared(facts)
        home = next(iter(pool.ranked(shared[-1].id, 1)), None) if facts.affinity else None
        kept = sum(part.tokens for part in shared) - self._memory.to_read(
            host.spec.id, shared, host is home, now
        )
        return max(0, int(facts.tokens_in - kept))

    def score(self, host: HostRecord) -> float:
        """The design's discounted payoff."""
        near = 1.0 if host.spec.zone == self._zone else FOREIGN
        return near * host.expected() / (1.0 + host.in_flight)

    def _affine_score(
        self, host: HostRecord, home: bool, shared: tuple[PromptPart, ...], now: float
    ) -> float:
        to_read = self._memory.to_read(host.spec.id, shared, home, now)
        tokens = host.reading + AGAIN_WEIGHT * to_read
        load = host.weight() * host.in_flight + tokens / REQUEST_TOKENS
        return host.expected() / (1.0 + load)

    def _ranked_pair(
        self,
        pool: ReadyHosts,
        shared: tuple[PromptPart, ...],
        tried: Collection[HostRecord],
        now: float,
    ) -> list[tuple[HostRecord, bool]]:
        """The key's first two hosts that have room, each with whether it is the key's home."""
        pair = []
        for place, host in enumerate(pool.ranked(shared[-1].id, RANKED)):
            if host not in tried and host.available(now) and not host.saturated():
                pair.append((host, place == 0))
                if len(pair) == 2:
                    break
        return pair

    def _random_pair(
        self, pool: ReadyHosts, tried: Collection[HostRecord], now: float
    ) -> list[HostRecord]:
        for fits in (
            lambda host: host not in tried and host.available(now) and host.has_room(),
            lambda host: host not in tried and host.available(now),
            lambda host: host not in tried,
        ):
            first = pool.draw(fits, self._random)
            if first is not None:
                second = pool.draw(lambda h, f=fits, o=first: h is not o and f(h), self._random)  # type: ignore[misc]
                return [first] if second is None else [first, second]
        return []

    def _compare(
        self, pair: list[HostRecord], scores: list[float], to_read: list[float] | None = None
    ) -> HostRecord:
        """The better of the two, or the other in its turn. `to_read`: shared tokens that each would
        read.
        """
        if len(pair) == 1:
            return pair[0]
        better = 0 if scores[0] >= scores[1] else 1
        again = 0.0 if to_read is None else to_read[1 - better] - to_read[better]
        return pair[1 - better if self._explores(again) else better]

    def _explores(self, again: float) -> bool:
        """Whether this pick goes to the lower: one in twenty of all. A pick by which `again` shared
        tokens more would be read leaves its turn to a cheaper one, as long as such picks come.
        """
        self._owed += EXPLORE
        if again > CHEAP_TOKENS:
            if self._owed <= MOST_OWED:
                return False
            self._owed -= 1.0
            return True
        chance = min(MOST_CHANCE, self._owed)
        self._owed -= chance
        return self._random.random() < chance
