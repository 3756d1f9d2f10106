"""What gateways receive in addition to the configuration: the hosts and the live gateways.

These types are fields of records (`roselink.protocol`), not records themselves.
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
    """One host in the platform's list. Each start has a new `id`; `address` is "ip:port"."""

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
        incarnation: a random number drawn at its start.
    """

    name: str
    address: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class VersionVector:
    """The versions of a gateway's state, which never decrease; 0 where it has none.

    The roster's version is the fencing token of the budgets that the roster's gateways own.

    Attributes:
        configuration: the sequence number of a committed write in the chain.
        hosts: (view epoch << 32) + a counter of the member that published the list, so that the
            versions of a later view are always greater.
        roster: the same for the roster.
    """

    configuration: int = 0
    hosts: int = 0
    roster: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All state that a gateway applies at one moment."""

    vector: VersionVector
    configuration: Configuration
    hosts: tuple[Host, ...]
    roster: tuple[Member, ...]
