"""The pull service of one core member: what each gateway misses, and which gateways live. Sans I/O.

The tail of the active view answers; any other member sends a pull on to the tail, one hop only.
Every answer waits for a confirmation that was begun after its pull came. What the tail knows beside
the configuration (hosts, live gateways) is collected anew in every view: a newer view's version is
never older in content.

Inputs are methods with `now` in seconds of a steady clock; each returns its effects.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.controller.host_versions import HostVersions
from roselink.controller.payoffs import PayoffPool
from roselink.model.fleet import Host, Member, VersionVector
from roselink.protocol.pull import DeltaPullReply, PullReply, PullRequest
from roselink.protocol.records import record

if TYPE_CHECKING:
    from roselink.controller.chain_interface import Address, Confirmation

EPOCH_SHIFT = 32
COMPRESSION = 1  # zlib's fastest: documents repeat themselves so much that more effort gains little
FORMER_INCARNATIONS = (
    8  # kept of each gateway, so that a late pull of a former start changes nothing
)


@record(64)
@dataclass(frozen=True, slots=True)
class ForwardedPull:
    """A pull that a member sends on to the tail; answered like the pull itself, and never sent on
    again.
    """

    pull: PullRequest


@record(65)
@dataclass(frozen=True, slots=True)
class ForwardedChangesPull:
    """The same for a `DeltaPullRequest`."""

    pull: PullRequest


@dataclass(frozen=True, slots=True)
class PullTimes:
    """Bounds of the service, in seconds.

    `silence_s`: a gateway that has not pulled for so long is gone. `collect_s`: how long a new
    view's tail waits for pulls before its first roster. `pause_s`: with no input for so long the
    member itself stood still, and no gateway's silence counts.
    """

    silence_s: float = 1.2
    collect_s: float = 0.6
    pause_s: float = 0.6


@dataclass(frozen=True, slots=True)
class Confirm:
    """Begin a confirmed read; its end comes back as `confirmed` with this number."""

    number: int


@dataclass(frozen=True, slots=True)
class Forward:
    """Ask the tail; its reply, or None, comes back as `forwarded` with this number."""

    number: int
    tail: Address
    message: ForwardedPull | ForwardedChangesPull


@dataclass(frozen=True, slots=True)
class Answer:
    """The reply to the pull that came with this number."""

    number: int
    reply: PullReply


@dataclass(frozen=True, slots=True)
class AnswerChanges:
    """The reply to the `DeltaPullRequest` that came with this number."""

    number: int
    reply: DeltaPullReply


AnyReply = PullReply | DeltaPullReply
PullEffect = Confirm | Forward | Answer | AnswerChanges


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A pull without its answer. `changes`: it came as a `DeltaPullRequest`."""

    pull: PullRequest
    changes: bool


@dataclass(slots=True)
class _Gateway:
    """What the tail knows of a gateway."""

    member: Member
    serving: bool
    heard_at: float
    vector: VersionVector
    former: deque[int] = field(default_factory=lambda: deque(maxlen=FORMER_INCARNATIONS))


@dataclass(frozen=True, slots=True)
class GatewayLag:
    """A gateway as the tail sees it, for people: versions it misses, and how long it has been
    silent.
    """

    name: str
    address: str
    serving: bool
    silent_s: float
    configuration: int
    hosts: int
    roster: int


class PullServer:
    """The state of the pull service in one member."""

    def __init__(self, times: PullTimes | None = None) -> None:
        self._times = times or PullTimes()
        self._epoch = 0
        self._is_tail = False
        self._tail: Address | None = None
        self._cores: tuple[str, ...] = ()
        self._waiting: dict[int, _Waiting] = {}
        self._gateways: dict[str, _Gateway] = {}
        self._collect_until = 0.0
        self._last_input = 0.0
        self._roster: tuple[Member, ...] | None = None
        self._roster_version = 0
        self._hosts = HostVersions()
        self._payoffs = PayoffPool()
        self._newest: tuple[int, bytes] | None = (
            None  # a configuration's sequence and compressed document
        )

    @property
    def versions(self) -> VersionVector:
        """The versions that this member has published in its view; the configuration's is the
        chain's.
        """
        return VersionVector(0, self._hosts.version, self._roster_version)

    def view_changed(
        self, now: float, epoch: int, is_tail: bool, tail: Address | None, cores: tuple[str, ...]
    ) -> list[PullEffect]:
        """The active view, or what is known of it, is another. Open questions end at their own
        time-outs.
        """
        self._note(now)
        self._tail, self._cores = tail, cores
        if epoch == self._epoch and is_tail == self._is_tail:
            return []
        self._epoch, self._is_tail = epoch, is_tail
        self._hosts = HostVersions()
        self._roster, self._roster_version = None, 0
        self._payoffs = PayoffPool()
        self._collect_until = now + self._times.collect_s
        if not is_tail:
            self._gateways.clear()
        return []

    def cores_changed(self, cores: tuple[str, ...]) -> None:
        """The members of the core are others, in the same view."""
        self._cores = cores

    def pull(
        self,
        now: float,
        number: int,
        pull: PullRequest,
        forwarded: bool = False,
        changes: bool = False,
    ) -> list[PullEffect]:
        """A pull came, from a gateway or `forwarded` by another member; `changes`: as a
        `DeltaPullRequest`.
        """
        self._note(now)
        if self._is_tail:
            self._heard(now, pull)
            self._payoffs.heard(now, pull.outcomes)
            self._waiting[number] = _Waiting(pull, changes)
            return [Confirm(number)]
        if forwarded or self._tail is None:
            return [self._unconfirmed(number, changes)]
        self._waiting[number] = _Waiting(pull, changes)
        message = ForwardedChangesPull(pull) if changes else ForwardedPull(pull)
        return [Forward(number, self._tail, message)]

    def forwarded(
        self, now: float, number: int, reply: PullReply | DeltaPullReply | None
    ) -> list[PullEffect]:
        """The tail's reply to a pull that was sent on, or None."""
        self._note(now)
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return []
        if waiting.changes and isinstance(reply, DeltaPullReply):
            return [AnswerChanges(number, reply)]
        if not waiting.changes and isinstance(reply, PullReply):
            return [Answer(number, reply)]
        return [self._unconfirmed(number, waiting.changes)]

    def confirmed(
        self, now: float, number: int, confirmation: Confirmation | None
    ) -> list[PullEffect]:
        """The end of a confirmed read."""
        self._note(now)
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return []
        if confirmation is None or not self._is_tail or confirmation.epoch != self._epoch:
            return [self._unconfirmed(number, waiting.changes)]
        self._publish_roster(now)
        if waiting.changes:
            return [
                AnswerChanges(number, self._changes_reply(now, waiting.pull.vector, confirmation))
            ]
        return [Answer(number, self._reply(now, waiting.pull.vector, confirmation))]

    def hosts_listed(self, now: float, epoch: int, hosts: tuple[Host, ...]) -> list[PullEffect]:
        """A whole list of hosts, read from its first page on in view `epoch`."""
        self._note(now)
        if not self._is_tail or epoch != self._epoch:
            return []
        self._hosts.publish(hosts, self._next_version)
        return []

    def lags(self, now: float) -> tuple[GatewayLag, ...]:
        """The gateways that the tail hears, and how far behind each was at its last pull."""
        return tuple(
            GatewayLag(
                gateway.member.name,
                gateway.member.address,
                gateway.serving,
                round(now - gateway.heard_at, 3),
                gateway.vector.configuration,
                max(0, self._hosts.version - gateway.vector.hosts),
                max(0, self._roster_version - gateway.vector.roster),
            )
            for gateway in sorted(self._gateways.values(), key=lambda gateway: gateway.member.name)
        )

    def _note(self, now: float) -> None:
        """Time in which this member stood still is no silence of the gateways."""
        pause = now - self._last_input
        self._last_input = now
        if pause > self._times.pause_s:
            for gateway in self._gateways.values():
                gateway.heard_at += pause

    def _heard(self, now: float, pull: PullRequest) -> None:
        member = pull.member
        known = self._gateways.get(member.name)
        if known is None:
            self._gateways[member.name] = _Gateway(member, pull.serving, now, pull.vector)
            return
        if member.incarnation != known.member.incarnation:
            if member.incarnation in known.former:
                return
            known.former.append(known.member.incarnation)
        known.member, known.serving, known.heard_at, known.vector = (
            member,
            pull.serving,
            now,
            pull.vector,
        )

    def _publish_roster(self, now: float) -> None:
        silent = [
            name
            for name, gateway in self._gateways.items()
            if now - gateway.heard_at > self._times.silence_s
        ]
        for name in silent:
            del self._gateways[name]
        if now < self._collect_until:
            return
        serving = [gateway.member for gateway in self._gateways.values() if gateway.serving]
        roster = tuple(sorted(serving, key=lambda member: member.name))
        if roster != self._roster:
            self._roster = roster
            self._roster_version = self._next_version(self._roster_version)

    def _next_version(self, version: int) -> int:
        return max(version, self._epoch << EPOCH_SHIFT) + 1

    def _reply(self, now: float, held: VersionVector, confirmation: Confirmation) -> PullReply:
        return PullReply(
            confirmed=True,
            vector=self._vector(confirmation),
            configuration=_missed(held, confirmation),
            hosts=self._hosts.hosts if self._hosts.version > held.hosts else None,
            roster=self._roster if self._roster_version > held.roster else None,
            cores=self._cores,
            payoffs=self._payoffs.told(now),
        )

    def _changes_reply(
        self, now: float, held: VersionVector, confirmation: Confirmation
    ) -> DeltaPullReply:
        newer = self._hosts.version > held.hosts
        changes = self._hosts.since(held.hosts) if newer else None
        return DeltaPullReply(
            confirmed=True,
            vector=self._vector(confirmation),
            configuration=self._compressed(held, confirmation),
            host_list=self._hosts.whole() if newer and changes is None else None,
            host_changes=changes,
            roster=self._roster if self._roster_version > held.roster else None,
            cores=self._cores,
            payoffs=self._payoffs.told(now),
        )

    def _compressed(self, held: VersionVector, confirmation: Confirmation) -> bytes | None:
        document = _missed(held, confirmation)
        if document is None:
            return None
        if self._newest is None or self._newest[0] != confirmation.sequence:
            self._newest = confirmation.sequence, zlib.compress(document, COMPRESSION)
        return self._newest[1]

    def _vector(self, confirmation: Confirmation) -> VersionVector:
        return VersionVector(confirmation.sequence, self._hosts.version, self._roster_version)

    def _unconfirmed(self, number: int, changes: bool) -> PullEffect:
        if changes:
            nothing = DeltaPullReply(False, VersionVector(), None, None, None, None, self._cores)
            return AnswerChanges(number, nothing)
        return Answer(number, PullReply(False, VersionVector(), None, None, None, self._cores))


def _missed(held: VersionVector, confirmation: Confirmation) -> bytes | None:
    return confirmation.document if confirmation.sequence != held.configuration else None
