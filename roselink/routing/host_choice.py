"""Host choice: of two drawn hosts the one with the higher discounted payoff, one time in twenty the other.

Payoff / (1 + own requests in flight there), where the payoff is this gateway's own times the one over all
gateways. Where the route has affinity, prompt tokens are counted as
requests, see `affinity`; where it has none, hosts of the own zone have a slight advantage.
"""

from __future__ import annotations

import random
from collections.abc import Collection

from roselink.routing.affinity import PrefixMemory
from roselink.routing.decisions import PromptPart, RequestFacts
from roselink.routing.host_state import HostState
from roselink.routing.pool import Pool

EXPLORE = 0.05  # share of picks that go to the lower-scored of the two
REQUEST_TOKENS = 2000.0  # prompt tokens to read that weigh as one request in flight
FOREIGN = 0.95  # of its score, for a host of another zone
RANKED = 4  # hosts of a key that are considered before a random draw


class HostChooser:
    """Picks hosts for one gateway."""

    def __init__(self, zone: str, randomness: random.Random, memory: PrefixMemory) -> None:
        self._zone, self._random, self._memory = zone, randomness, memory

    def pick(
        self, pool: Pool, facts: RequestFacts, tried: Collection[HostState], now: float
    ) -> HostState | None:
        """A host not tried before, or None when there is no other."""
        if facts.affinity and facts.prompt:
            shared = self._memory.shared(facts)
            pair = self._ranked_pair(pool, shared, tried, now)
            if pair:
                return self._compare(pair, [self._affine_score(*entry, shared, now) for entry in pair])
        hosts = self._random_pair(pool, tried, now)
        return self._compare([(h, False) for h in hosts], [self.score(h) for h in hosts]) if hosts else None

    def tokens_to_read(self, pool: Pool, facts: RequestFacts, host: HostState, now: float) -> int:
        """Prompt tokens that a host is expected to read for a request."""
        if not facts.prompt:
            return facts.tokens_in
        shared = self._memory.shared(facts)
        home = next(iter(pool.ranked(shared[-1].id, 1)), None) if facts.affinity else None
        kept = sum(part.tokens for part in shared) - self._memory.to_read(
            host.spec.id, shared, host is home, now
        )
        return max(0, int(facts.tokens_in - kept))

    def score(self, host: HostState) -> float:
        """The design's discounted payoff."""
        near = 1.0 if host.spec.zone == self._zone else FOREIGN
        return near * host.expected() / (1.0 + host.in_flight)

    def _affine_score(self, host: HostState, home: bool, shared: tuple[PromptPart, ...], now: float) -> float:
        to_read = self._memory.to_read(host.spec.id, shared, home, now)
        load = host.weight() * host.in_flight + (host.reading + to_read) / REQUEST_TOKENS
        return host.expected() / (1.0 + load)

    def _ranked_pair(
        self, pool: Pool, shared: tuple[PromptPart, ...], tried: Collection[HostState], now: float
    ) -> list[tuple[HostState, bool]]:
        """The key's first two hosts that have room, each with whether it is the key's home."""
        pair = []
        for place, host in enumerate(pool.ranked(shared[-1].id, RANKED)):
            if host not in tried and host.available(now) and not host.saturated():
                pair.append((host, place == 0))
                if len(pair) == 2:
                    break
        return pair

    def _random_pair(self, pool: Pool, tried: Collection[HostState], now: float) -> list[HostState]:
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

    def _compare(self, pair: list[tuple[HostState, bool]], scores: list[float]) -> HostState:
        if len(pair) == 1:
            return pair[0][0]
        better = 0 if scores[0] >= scores[1] else 1
        return pair[1 - better if self._random.random() < EXPLORE else better][0]
