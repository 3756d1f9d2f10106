"""Peer sampling: each gateway keeps a small, shuffled view of others, and exchanges parts of it.

A gateway that reaches no core member learns from peers where the core is now; all learn that
something newer is in force. Exchanges are rare in calm times, for pulls bring the same, and
frequent without a confirmed pull.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from roselink.model.fleet import Member, VersionVector
from roselink.protocol.gossip import GossipDigest, ShuffleReply, ShuffleRequest, ViewEntry

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

VIEW_SIZE = 8
SHUFFLE_SIZE = 4
CALM_EVERY_S = 10.0
TROUBLED_EVERY_S = 1.0
TROUBLED_S = 1.0  # without a confirmation for so long
TIMEOUT_S = 0.5
JITTER = 0.2


@dataclass(frozen=True, slots=True)
class SendShuffleRequest:
    """Effect: call a peer; `PeerSampling.reply_received` wants the outcome."""

    address: str
    shuffle: ShuffleRequest


@dataclass(frozen=True, slots=True)
class CoreAddressesLearned:
    """Effect: a peer learned more lately than this gateway where the core is."""

    cores: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NewerVersionLearned:
    """Effect: a peer has something newer in force."""


Effect = SendShuffleRequest | CoreAddressesLearned | NewerVersionLearned


class PeerSampling:
    """One gateway's view. One exchange of its own is under way at a time."""

    def __init__(self, own: Member, chance: random.Random) -> None:
        self.due_at = 0.0
        self._own, self._chance = own, chance
        self._view: dict[str, ViewEntry] = {}
        self._vector = VersionVector()
        self._cores: tuple[str, ...] = ()
        self._cores_at = float("-inf")
        self._open: tuple[str, list[str]] | None = None  # whom it asked, and what names it sent

    @property
    def view(self) -> tuple[ViewEntry, ...]:
        """Who is known here."""
        return tuple(self._view.values())

    def add_members(self, members: Iterable[Member]) -> None:
        """Members that another source names; they fill free places only."""
        others = [member for member in members if member.name not in (self._own.name, *self._view)]
        self._chance.shuffle(others)
        for member in others[: VIEW_SIZE - len(self._view)]:
            self._view[member.name] = ViewEntry(member, 0)

    def pull_confirmed(self, vector: VersionVector, cores: tuple[str, ...], at: float) -> None:
        """A pull that was sent at `at` confirmed what is in force here, and where the core is."""
        self._vector, self._cores, self._cores_at = (
            vector,
            cores or self._cores,
            max(at, self._cores_at),
        )

    def wake(self, now: float) -> list[Effect]:
        """Time has passed: an exchange may be due. To be called twice a second or so."""
        troubled = now - self._cores_at > TROUBLED_S
        if troubled:
            self.due_at = min(self.due_at, now + TROUBLED_EVERY_S)
        if now < self.due_at:
            return []
        every_s = TROUBLED_EVERY_S if troubled else CALM_EVERY_S
        self.due_at = now + every_s * (1 + JITTER * (2 * self._chance.random() - 1))
        if self._open is not None or not self._view:
            return []
        self._view = {name: replace(seen, age=seen.age + 1) for name, seen in self._view.items()}
        partner = max(self._view.values(), key=lambda seen: (seen.age, seen.member.name))
        del self._view[partner.member.name]  # comes back with its answer
        part = self._part(SHUFFLE_SIZE - 1)
        self._open = partner.member.name, [seen.member.name for seen in part]
        shuffle = ShuffleRequest((ViewEntry(self._own, 0), *part), self._news(now))
        return [SendShuffleRequest(partner.member.address, shuffle)]

    def request_received(
        self, shuffle: ShuffleRequest, now: float
    ) -> tuple[ShuffleReply, list[Effect]]:
        """A peer's exchange: the answer, and what this gateway learns."""
        part = self._part(SHUFFLE_SIZE)
        self._merge(shuffle.entries, [seen.member.name for seen in part])
        return ShuffleReply(part, self._news(now)), self._learn(shuffle.digest, now)

    def reply_received(self, answer: ShuffleReply | None, now: float) -> list[Effect]:
        """The outcome of the own exchange; a partner that doesn't answer stays out of the view."""
        if self._open is None:
            return []
        (_, sent), self._open = self._open, None
        if answer is None:
            return []
        self._merge(answer.entries, sent)
        return self._learn(answer.digest, now)

    def _part(self, size: int) -> tuple[ViewEntry, ...]:
        return tuple(self._chance.sample(list(self._view.values()), min(size, len(self._view))))

    def _news(self, now: float) -> GossipDigest:
        age_ms = int(min(1e9, (now - self._cores_at) * 1000)) if self._cores else int(1e9)
        return GossipDigest(self._vector, self._cores, age_ms)

    def _merge(self, entries: tuple[ViewEntry, ...], sent: list[str]) -> None:
        """Newer words replace older ones; new names take free places, then those of what was sent
        away.
        """
        for seen in entries[:VIEW_SIZE]:
            name = seen.member.name
            if name == self._own.name:
                continue
            known = self._view.get(name)
            if known is not None:
                if seen.age < known.age:
                    self._view[name] = seen
                continue
            while len(self._view) >= VIEW_SIZE and sent:
                self._view.pop(sent.pop(), None)
            if len(self._view) < VIEW_SIZE:
                self._view[name] = seen

    def _learn(self, news: GossipDigest, now: float) -> list[Effect]:
        effects: list[Effect] = []
        at = now - news.age_ms / 1000
        if news.cores and at > self._cores_at + TROUBLED_S:
            effects.append(CoreAddressesLearned(news.cores))
        told, held = news.vector, self._vector
        if (
            told.configuration > held.configuration
            or told.hosts > held.hosts
            or told.roster > held.roster
        ):
            effects.append(NewerVersionLearned())
        return effects
