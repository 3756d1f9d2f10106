"""Records between gateways and the core: pulls by version vector.

`Pull` goes to any core member, which answers through the chain's tail. A reply is `confirmed` when,
after the pull arrived, a majority of the core's voters said that the tail's view is still the
newest: then all that was acknowledged before the pull was sent is in it, and the gateway may count
the confirmation from the moment at which it sent the pull, on its own clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from roselink.model.fleet import Host, Member, VersionVector
from roselink.protocol.payoffs import HostOutcomes
from roselink.protocol.records import record


@record(16)
@dataclass(frozen=True, slots=True)
class Pull:
    """A gateway's question for what it misses; also the sign that it lives. `serving`: it may hold
    roles. `outcomes`: what it saw of hosts since the pull before; lost with a pull that fails.
    """

    member: Member
    vector: VersionVector
    serving: bool
    outcomes: tuple[HostOutcomes, ...] = ()


@record(17)
@dataclass(frozen=True, slots=True)
class PullReply:
    """What the gateway misses: each part is None when its version is the newest, or none exists
    yet.

    `configuration` is the operator's document as sent (JSON). `cores` are the peer addresses
    ("ip:port") of the core's members, for the next pulls. With `confirmed` false nothing else
    counts, and the gateway asks another member. `payoffs` is an encoded `PooledPayoffs`, or empty:
    made once for all gateways.
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
    """A whole list of hosts, by id. A `ChangesReply` holds it encoded, so that this is done once
    for all.
    """

    hosts: tuple[Host, ...]


@record(19)
@dataclass(frozen=True, slots=True)
class HostChanges:
    """What leads from the list of version `base` to another: hosts that are gone, and then those
    that are new or otherwise different. How much of a warm-up is left is no difference.
    """

    base: int
    gone: tuple[str, ...]
    put: tuple[Host, ...]


@record(20)
@dataclass(frozen=True, slots=True)
class ChangesPull:
    """A `Pull` that is answered by a `ChangesReply`."""

    pull: Pull


@record(21)
@dataclass(frozen=True, slots=True)
class ChangesReply:
    """As `PullReply`, but the configuration is compressed (zlib), and hosts come as an encoded
    `HostList`, or as encoded `HostChanges` from the version that the pull named; both are None when
    it is the newest. All three are made once for all gateways.
    """

    confirmed: bool
    vector: VersionVector
    configuration: bytes | None
    host_list: bytes | None
    host_changes: bytes | None
    roster: tuple[Member, ...] | None
    cores: tuple[str, ...]
    payoffs: bytes = b""
