"""The replicated chain as the rest of a core process sees it.

A configuration change ends with exactly one outcome. After `OutcomeUnknown` the change may or may
not be committed, now or later: the caller may send it again unchanged, to any member.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from roselink.coordination.effects import (
    ChangeCommitted,
    Confirmation,
    Conflict,
    OutcomeUnknown,
    StaleGeneration,
    SubmitOutcome,
)
from roselink.protocol.chain import ConfigurationChange
from roselink.protocol.peer_connection import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.model.settings import ProcessSettings
    from roselink.protocol.peer_connection import ReplySender

__all__ = [
    "Address",
    "ChangeCommitted",
    "ConfigurationChange",
    "Confirmation",
    "Conflict",
    "DiskStatus",
    "OutcomeUnknown",
    "ReplicatedChain",
    "RunnableChain",
    "StaleGeneration",
    "SubmitOutcome",
]


@dataclass(frozen=True, slots=True)
class DiskStatus:
    """Health of this member's disk.

    Attributes:
        healthy: whether the last saves succeeded in time.
        checks: number of records that the scrub has read back.
        damaged: number of those records that were damaged, and written again.
        checked_s: time since the scrub's last read, in seconds; None before the first.
    """

    healthy: bool
    checks: int
    damaged: int
    checked_s: float | None


class ReplicatedChain(Protocol):
    """The replicated chain as the rest of a core process sees it."""

    @property
    def is_tail(self) -> bool:
        """Whether this member is the tail of an active view, to its knowledge."""

    @property
    def tail(self) -> Address | None:
        """The peer address of the newest known view's tail; None before the first view."""

    @property
    def epoch(self) -> int:
        """The newest known view's epoch; 0 before the first."""

    def core_addresses(self) -> tuple[str, ...]:
        """The peer addresses ("ip:port") of the newest known view's voters."""

    def chain_addresses(self) -> tuple[str, ...]:
        """The peer addresses of the newest known view's chain, from head to tail."""

    def submit(self, change: ConfigurationChange, done: Callable[[SubmitOutcome], None]) -> None:
        """Submit a configuration change; `done` is called once with its outcome."""

    def confirm(self, done: Callable[[Confirmation | None], None]) -> None:
        """Read the committed state linearizably, as of a moment after this call.

        `done` gets None if nothing could be confirmed.
        """

    def disk_status(self) -> DiskStatus:
        """The disk's health, and what the scrub has found on it."""

    def on_view_change(self, callback: Callable[[], None]) -> None:
        """Register a callback, called when the view changes or its chain becomes active."""


class RunnableChain(ReplicatedChain, Protocol):
    """The chain's driver as the process's assembly sees it."""

    def start(self) -> None:
        """Read the disk and start to join the core."""

    async def stop(self) -> None:
        """Leave the chain in order; every acknowledged change is on disk then."""

    def handle(self, peer: Address, message: object, reply: ReplySender) -> bool:
        """Handle a chain record; return False for any other record."""

    def set_seeds(self, settings: ProcessSettings) -> None:
        """Use other seeds: members that may be queried for the core's state."""

    @property
    def forming(self) -> bool:
        """Whether enough members are live to agree on a view, and none is active here yet."""
