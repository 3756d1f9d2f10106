"""Records between gateways and the core: pulls by version vector.

`PullRequest` goes to any core member, which replies through the chain's tail. A reply is
`confirmed` when, after the request arrived, a majority of the core's voters replied that the tail's
view is still the newest: then all that was acknowledged before the request was sent is in it, and
the gateway may count the confirmation from the moment at which it sent the request, on its own
clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from roselink.model.fleet import Host, Member, VersionVector
from roselink.protocol.payoffs import HostOutcomes
from roselink.protocol.records import record


@record(16)
@dataclass(frozen=True, slots=True)
class PullRequest:
    """A gateway's request for what is newer than its `vector`; also its heartbeat.

    `serving`: it may hold roles. `outcomes`: its attempts at hosts since the pull before; they are
    lost with a pull that fails.
    """

    member: Member
    vector: VersionVector
    serving: bool
    outcomes: tuple[HostOutcomes, ...] = ()


@record(17)
@dataclass(frozen=True, slots=True)
class PullReply:
    """What the gateway lacks; each part is None when its version is the newest, or none exists.

    `configuration` is the operator's document as sent (JSON). `cores` are the peer addresses
    ("ip:port") of the core's members, for the next pulls. With `confirmed` false only `cores`
    counts, and the gateway pulls from another member. `payoffs` is an encoded `PooledPayoffs`, or
    empty: encoded once for all gateways.
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
    """A full list of hosts, by id; encoded once for all gateways and sent in `DeltaPullReply`."""

    hosts: tuple[Host, ...]


@record(19)
@dataclass(frozen=True, slots=True)
class HostChanges:
    """The difference between the list of version `base` and a newer one.

    `removed` are the ids of hosts to take out first; `updated` are hosts that are new or differ.
    The time left of a warm-up makes no difference.
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
    """A `PullReply` with a compressed configuration and, where possible, changes of hosts only.

    `configuration` is compressed (zlib). Hosts come as an encoded `HostList`, or as encoded
    `HostChanges` from the version in the request; both are None when that is the newest. All three
    are encoded once for all gateways.
    """

    confirmed: bool
    vector: VersionVector
    configuration: bytes | None
    host_list: bytes | None
    host_changes: bytes | None
    roster: tuple[Member, ...] | None
    cores: tuple[str, ...]
    payoffs: bytes = b""
