"""What gateways receive beside the configuration: hosts, and which gateways are live.

These are fields of records (`roselink.protocol`), never records of their own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.model.configuration import Configuration


class HostState(IntEnum):
    """A host's state in the platform's list."""

    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class Host:
    """One host of the platform's list. `id` is new with each start; `address` is "ip:port"."""

    id: str
    service: str
    address: str
    zone: str
    generation: str
    capacity: int
    state: HostState
    warmup_left_ms: float
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Member:
    """One live gateway.

    Attributes:
        name: its name.
        address: its address for peers, "ip:port".
        incarnation: a number drawn at random at its start.
    """

    name: str
    address: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class VersionVector:
    """The versions of a gateway's state; 0 where it has none. Each only rises.

    The roster's version is the fencing token of every role that is assigned over the roster.

    Attributes:
        configuration: the sequence number of a committed write in the chain.
        hosts: (view epoch << 32) + a counter of the member that published the list, so that a later
            view's are always newer.
        roster: likewise, of the roster.
    """

    configuration: int = 0
    hosts: int = 0
    roster: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All state that a gateway has in force at one moment."""

    vector: VersionVector
    configuration: Configuration
    hosts: tuple[Host, ...]
    roster: tuple[Member, ...]
