"""The state machine of peer sampling: a small, shuffled view of other gateways.

Two gateways exchange subsets of their views (CYCLON's enhanced shuffling; the paper is named in
`roselink.protocol.gossip`). A gateway that reaches no core member learns the core's current
addresses from peers, and every gateway learns of newer versions. Exchanges are rare while pulls are
confirmed, which deliver the same information, and frequent otherwise.

This module reads no clock and performs no I/O: `now` is in seconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from roselink.model.fleet import Member, VersionVector
from roselink.protocol.gossip import GossipDigest, ShuffleReply, ShuffleRequest, ViewEntry

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

# Entries of a view. A larger view stays connected when more gateways fail; a smaller one drops
# entries of failed gateways sooner.
VIEW_SIZE = 8
# Entries of a shuffle message; those of a request include the sender's own.
SHUFFLE_SIZE = 4
# Interval of exchanges while pulls are confirmed. A larger value sends less, a smaller one
# refreshes the view more often.
CONFIRMED_INTERVAL_S = 10.0
# Interval of exchanges without a confirmed pull. A smaller value finds the core sooner and sends
# more.
UNCONFIRMED_INTERVAL_S = 1.0
# Age from which a confirmation no longer counts; also by how much a peer's must be newer than the
# own one before its core addresses are adopted.
CONFIRMATION_MAX_AGE_S = 1.0
# Time-out of an exchange.
TIMEOUT_S = 0.5
# Largest random deviation of an interval, as a fraction of it. It spreads exchanges over time.
JITTER = 0.2
# The age of a digest whose sender knows no core member.
UNKNOWN_AGE_MS = 10**9


@dataclass(frozen=True, slots=True)
class SendShuffleRequest:
    """Effect: call a peer; `PeerSampling.reply_received` takes the outcome."""

    address: str
    shuffle: ShuffleRequest


@dataclass(frozen=True, slots=True)
class CoreAddressesLearned:
    """Effect: a peer knows more recent core addresses ("ip:port") than this gateway."""

    cores: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NewerVersionLearned:
    """Effect: a peer has a newer version in force."""


Effect = SendShuffleRequest | CoreAddressesLearned | NewerVersionLearned


@dataclass(frozen=True, slots=True)
class _PendingExchange:
    """This gateway's exchange in flight; `sent` are the names of the entries sent."""

    sent: list[str]


class PeerSampling:
    """One gateway's view. It has at most one exchange of its own in flight."""

    def __init__(self, own: Member, rng: random.Random) -> None:
        """`own` is this gateway; it is never part of its view."""
        self.due_at = 0.0
        self._own = own
        self._rng = rng
        self._view: dict[str, ViewEntry] = {}
        self._vector = VersionVector()
        self._cores: tuple[str, ...] = ()
        self._confirmed_at = float("-inf")
        self._pending: _PendingExchange | None = None

    @property
    def view(self) -> tuple[ViewEntry, ...]:
        """The gateways in the view."""
        return tuple(self._view.values())

    def add_members(self, members: Iterable[Member]) -> None:
        """Fill free slots of the view with random members of the given ones."""
        others = [member for member in members if member.name not in (self._own.name, *self._view)]
        self._rng.shuffle(others)
        for member in others[: VIEW_SIZE - len(self._view)]:
            self._view[member.name] = ViewEntry(member, 0)

    def pull_confirmed(self, vector: VersionVector, cores: tuple[str, ...], at: float) -> None:
        """Record the versions in force and the core addresses confirmed by a pull sent at `at`."""
        self._vector = vector
        self._cores = cores or self._cores
        self._confirmed_at = max(at, self._confirmed_at)

    def wake(self, now: float) -> list[Effect]:
        """Start an exchange if one is due; call this about twice a second."""
        unconfirmed = now - self._confirmed_at > CONFIRMATION_MAX_AGE_S
        if unconfirmed:
            self.due_at = min(self.due_at, now + UNCONFIRMED_INTERVAL_S)
        if now < self.due_at:
            return []
        interval_s = UNCONFIRMED_INTERVAL_S if unconfirmed else CONFIRMED_INTERVAL_S
        self.due_at = now + interval_s * (1 + JITTER * (2 * self._rng.random() - 1))
        if self._pending is not None or not self._view:
            return []
        self._view = {name: replace(entry, age=entry.age + 1) for name, entry in self._view.items()}
        partner = max(self._view.values(), key=lambda entry: (entry.age, entry.member.name))
        # Frees a slot for the reply's entries; the partner's own entry returns in later exchanges.
        del self._view[partner.member.name]
        subset = self._subset(SHUFFLE_SIZE - 1)
        self._pending = _PendingExchange([entry.member.name for entry in subset])
        shuffle = ShuffleRequest((ViewEntry(self._own, 0), *subset), self._digest(now))
        return [SendShuffleRequest(partner.member.address, shuffle)]

    def request_received(
        self, shuffle: ShuffleRequest, now: float
    ) -> tuple[ShuffleReply, list[Effect]]:
        """Process a peer's request; return the reply and the effects of its digest."""
        subset = self._subset(SHUFFLE_SIZE)
        self._merge(shuffle.entries, [entry.member.name for entry in subset])
        return ShuffleReply(subset, self._digest(now)), self._process_digest(shuffle.digest, now)

    def reply_received(self, reply: ShuffleReply | None, now: float) -> list[Effect]:
        """Process the outcome of this gateway's exchange.

        The partner stays removed from the view, whether it replies or not.
        """
        if self._pending is None:
            return []
        sent = self._pending.sent
        self._pending = None
        if reply is None:
            return []
        self._merge(reply.entries, sent)
        return self._process_digest(reply.digest, now)

    def _subset(self, size: int) -> tuple[ViewEntry, ...]:
        return tuple(self._rng.sample(list(self._view.values()), min(size, len(self._view))))

    def _digest(self, now: float) -> GossipDigest:
        age_ms = UNKNOWN_AGE_MS
        if self._cores:
            age_ms = int(min(UNKNOWN_AGE_MS, (now - self._confirmed_at) * 1000))
        return GossipDigest(self._vector, self._cores, age_ms)

    def _merge(self, entries: tuple[ViewEntry, ...], sent: list[str]) -> None:
        """Merge a peer's entries into the view.

        A younger entry replaces an older one of the same gateway. Entries of unknown gateways fill
        free slots first, then replace those that were sent to the peer.
        """
        for entry in entries[:VIEW_SIZE]:
            name = entry.member.name
            if name == self._own.name:
                continue
            known = self._view.get(name)
            if known is not None:
                if entry.age < known.age:
                    self._view[name] = entry
                continue
            while len(self._view) >= VIEW_SIZE and sent:
                self._view.pop(sent.pop(), None)
            if len(self._view) < VIEW_SIZE:
                self._view[name] = entry

    def _process_digest(self, digest: GossipDigest, now: float) -> list[Effect]:
        effects: list[Effect] = []
        confirmed_at = now - digest.age_ms / 1000
        if digest.cores and confirmed_at > self._confirmed_at + CONFIRMATION_MAX_AGE_S:
            effects.append(CoreAddressesLearned(digest.cores))
        peer = digest.vector
        own = self._vector
        if (
            peer.configuration > own.configuration
            or peer.hosts > own.hosts
            or peer.roster > own.roster
        ):
            effects.append(NewerVersionLearned())
        return effects
