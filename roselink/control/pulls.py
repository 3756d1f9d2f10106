"""The pull service of one core member: what each gateway misses, and which gateways live. Sans I/O.

The tail of the active view answers; any other member sends a pull on to the tail, one hop only. Every answer
waits for a confirmation that was begun after its pull came. What the tail knows beside the configuration
(hosts, live gateways) is collected anew in every view: a newer view's version is never older in content.

Inputs are methods with `now` in seconds of a steady clock; each returns its effects.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from roselink.control.contract import Address, Confirmation
from roselink.control.payoffs import PayoffPool
from roselink.model.fleet import Host, Member, VersionVector
from roselink.protocol.pull import Pull, PullReply
from roselink.protocol.records import record

EPOCH_SHIFT = 32
FORMER_INCARNATIONS = 8  # kept of each gateway, so that a late pull of a former start changes nothing


@record(64)
@dataclass(frozen=True, slots=True)
class ForwardedPull:
    """A pull that a member sends on to the tail; answered like the pull itself, and never sent on again."""

    pull: Pull


@dataclass(frozen=True, slots=True)
class PullTimes:
    """Bounds of the service, in seconds.

    `silence_s`: a gateway that has not pulled for so long is gone. `collect_s`: how long a new view's tail
    waits for pulls before its first roster. `pause_s`: with no input for so long the member itself stood
    still, and no gateway's silence counts.
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
    message: ForwardedPull


@dataclass(frozen=True, slots=True)
class Answer:
    """The reply to the pull that came with this number."""

    number: int
    reply: PullReply


PullEffect = Confirm | Forward | Answer


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
    """A gateway as the tail sees it, for people: versions it misses, and how long it has been silent."""

    name: str
    address: str
    serving: bool
    silent_s: float
    configuration: int
    hosts: int
    roster: int


class PullDesk:
    """The state of the pull service in one member."""

    def __init__(self, times: PullTimes | None = None) -> None:
        self._times = times or PullTimes()
        self._epoch = 0
        self._is_tail = False
        self._tail: Address | None = None
        self._cores: tuple[str, ...] = ()
        self._waiting: dict[int, Pull] = {}
        self._gateways: dict[str, _Gateway] = {}
        self._collect_until = 0.0
        self._last_input = 0.0
        self._roster: tuple[Member, ...] | None = None
        self._roster_version = 0
        self._hosts: tuple[Host, ...] | None = None
        self._hosts_identity: tuple[object, ...] = ()
        self._hosts_version = 0
        self._payoffs = PayoffPool()

    @property
    def versions(self) -> VersionVector:
        """The versions that this member has published in its view; the configuration's is the chain's."""
        return VersionVector(0, self._hosts_version, self._roster_version)

    def view_changed(
        self, now: float, epoch: int, is_tail: bool, tail: Address | None, cores: tuple[str, ...]
    ) -> list[PullEffect]:
        """The active view, or what is known of it, is another. Open questions end at their own time-outs."""
        self._note(now)
        self._tail, self._cores = tail, cores
        if epoch == self._epoch and is_tail == self._is_tail:
            return []
        self._epoch, self._is_tail = epoch, is_tail
        self._hosts, self._hosts_identity, self._hosts_version = None, (), 0
        self._roster, self._roster_version = None, 0
        self._payoffs = PayoffPool()
        self._collect_until = now + self._times.collect_s
        if not is_tail:
            self._gateways.clear()
        return []

    def cores_changed(self, cores: tuple[str, ...]) -> None:
        """The members of the core are others, in the same view."""
        self._cores = cores

    def pull(self, now: float, number: int, pull: Pull, forwarded: bool = False) -> list[PullEffect]:
        """A pull came, straight from a gateway or `forwarded` by another member."""
        self._note(now)
        if self._is_tail:
            self._heard(now, pull)
            self._payoffs.heard(now, pull.outcomes)
            self._waiting[number] = pull
            return [Confirm(number)]
        if forwarded or self._tail is None:
            return [Answer(number, self._unconfirmed())]
        self._waiting[number] = pull
        return [Forward(number, self._tail, ForwardedPull(pull))]

    def forwarded(self, now: float, number: int, reply: PullReply | None) -> list[PullEffect]:
        """The tail's reply to a pull that was sent on, or None."""
        self._note(now)
        if self._waiting.pop(number, None) is None:
            return []
        return [Answer(number, reply if reply is not None else self._unconfirmed())]

    def confirmed(self, now: float, number: int, confirmation: Confirmation | None) -> list[PullEffect]:
        """The end of a confirmed read."""
        self._note(now)
        pull = self._waiting.pop(number, None)
        if pull is None:
            return []
        if confirmation is None or not self._is_tail or confirmation.epoch != self._epoch:
            return [Answer(number, self._unconfirmed())]
        self._publish_roster(now)
        return [Answer(number, self._reply(now, pull.vector, confirmation))]

    def hosts_listed(self, now: float, epoch: int, hosts: tuple[Host, ...]) -> list[PullEffect]:
        """A whole list of hosts, read from its first page on in view `epoch`."""
        self._note(now)
        if not self._is_tail or epoch != self._epoch:
            return []
        ordered = tuple(sorted(hosts, key=lambda host: host.id))
        identity = tuple(_host_identity(host) for host in ordered)
        if self._hosts is None or identity != self._hosts_identity:
            self._hosts, self._hosts_identity = ordered, identity
            self._hosts_version = self._next_version(self._hosts_version)
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
                max(0, self._hosts_version - gateway.vector.hosts),
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

    def _heard(self, now: float, pull: Pull) -> None:
        member = pull.member
        known = self._gateways.get(member.name)
        if known is None:
            self._gateways[member.name] = _Gateway(member, pull.serving, now, pull.vector)
            return
        if member.incarnation != known.member.incarnation:
            if member.incarnation in known.former:
                return
            known.former.append(known.member.incarnation)
        known.member, known.serving, known.heard_at, known.vector = member, pull.serving, now, pull.vector

    def _publish_roster(self, now: float) -> None:
        silent = [
            name for name, gateway in self._gateways.items() if now - gateway.heard_at > self._times.silence_s
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
        sequence = confirmation.sequence
        return PullReply(
            confirmed=True,
            vector=VersionVector(sequence, self._hosts_version, self._roster_version),
            configuration=confirmation.document if sequence != held.configuration else None,
            hosts=self._hosts if self._hosts_version > held.hosts else None,
            roster=self._roster if self._roster_version > held.roster else None,
            cores=self._cores,
            payoffs=self._payoffs.told(now),
        )

    def _unconfirmed(self) -> PullReply:
        return PullReply(False, VersionVector(), None, None, None, self._cores)


def _host_identity(host: Host) -> tuple[object, ...]:
    """What makes a host another one to a gateway: all but how much of its warm-up is left."""
    return (
        host.id,
        host.service,
        host.address,
        host.zone,
        host.generation,
        host.capacity,
        host.state,
        host.warmup_left_ms > 0,
        host.models,
    )
