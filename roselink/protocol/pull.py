"""Records between gateways and the core: pulls by version vector.

A `PullRequest` is sent to any core member, which gets the reply from the chain's tail. A reply is
`confirmed` if, after the request arrived, a majority of the core's voters replied that the tail's
view is still the newest. It then includes everything that was acknowledged before the request was
sent, and the gateway may date the confirmation from the time at which it sent the request, on its
own clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from roselink.model.fleet import Host, Member, VersionVector
from roselink.protocol.payoffs import HostOutcomes
from roselink.protocol.records import record


@record(16)
@dataclass(frozen=True, slots=True)
class PullRequest:
    """A gateway's request for everything newer than its `vector`; also its heartbeat.

    `serving`: whether it may be in the roster, whose members own the shared budgets. `outcomes`:
    its attempts at hosts since the previous pull; they are lost if the pull fails.
    """

    member: Member
    vector: VersionVector
    serving: bool
    outcomes: tuple[HostOutcomes, ...] = ()


@record(17)
@dataclass(frozen=True, slots=True)
class PullReply:
    """The updates for the gateway; a field is None if the gateway is up to date or none exists.

    `configuration` is the operator's document as sent (JSON). `cores` are the peer addresses
    ("ip:port") of the core's members, for the next pulls. If `confirmed` is false, only `cores` is
    valid, and the gateway pulls from another member. `payoffs` is an encoded `PooledPayoffs`, or
    empty; it is encoded once for all gateways.
    """

    confirmed: bool
    vector: VersionVector
    configuration: bytes | None
    hosts: tuple[Host, ...] | None
    roster: tuple[Member, ...] | None
    cores: tuple[str, ...]
    payoffs: bytes = b""


@record(18)
@dataclass(frozen=True, slots=True)
class HostList:
    """A full list of hosts, sorted by id; encoded once for all `DeltaPullReply` messages."""

    hosts: tuple[Host, ...]


@record(19)
@dataclass(frozen=True, slots=True)
class HostChanges:
    """The difference between the list of version `base` and a newer one.

    `removed` are the ids of hosts to remove first; `updated` are hosts that are new or have
    changed. A change of the remaining warm-up time alone doesn't count.
    """

    base: int
    removed: tuple[str, ...]
    updated: tuple[Host, ...]


@record(20)
@dataclass(frozen=True, slots=True)
class DeltaPullRequest:
    """A `PullRequest` whose reply is a `DeltaPullReply`."""

    pull: PullRequest


@record(21)
@dataclass(frozen=True, slots=True)
class DeltaPullReply:
    """A `PullReply` with a compressed configuration and, if possible, only the changed hosts.

    `configuration` is compressed (zlib). Hosts are sent as an encoded `HostList`, or as encoded
    `HostChanges` from the version in the request; both are None if that version is the newest. All
    three are encoded once for all gateways.
    """

    confirmed: bool
    vector: VersionVector
    configuration: bytes | None
    host_list: bytes | None
    host_changes: bytes | None
    roster: tuple[Member, ...] | None
    cores: tuple[str, ...]
    payoffs: bytes = b""
