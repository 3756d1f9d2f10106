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
    """This member's disk.

    Attributes:
        healthy: whether it took the last saves, in time.
        checks: how many records the scrub has read back.
        damaged: how many of them were damaged, and written anew.
        checked_s: the time since the last read in seconds; None before the first.
    """

    healthy: bool
    checks: int
    damaged: int
    checked_s: float | None


class ReplicatedChain(Protocol):
    """The replicated chain as the rest of a core process sees it."""

    @property
    def is_tail(self) -> bool:
        """Whether this member is the tail of its active view."""

    @property
    def tail(self) -> Address | None:
        """The peer address of the active view's tail, if one is known."""

    @property
    def epoch(self) -> int:
        """The number of the active view; 0 before the first."""

    def core_addresses(self) -> tuple[str, ...]:
        """The peer addresses ("ip:port") of the core's members."""

    def chain_addresses(self) -> tuple[str, ...]:
        """The peer addresses of the newest known view's chain, from head to tail."""

    def submit(self, change: ConfigurationChange, done: Callable[[SubmitOutcome], None]) -> None:
        """Have a configuration change decided; `done` is called once."""

    def confirm(self, done: Callable[[Confirmation | None], None]) -> None:
        """Read linearizably, begun after this call.

        `done` gets None when nothing could be confirmed.
        """

    def disk_status(self) -> DiskStatus:
        """The disk's health, and what the scrub has found on it."""

    def on_view_change(self, callback: Callable[[], None]) -> None:
        """Have `callback` called after each change of the active view."""


class RunnableChain(ReplicatedChain, Protocol):
    """The chain's driver as the process's assembly sees it."""

    def start(self) -> None:
        """Read the disk and begin to join the core."""

    async def stop(self) -> None:
        """Leave the chain in order; what is acknowledged is on disk."""

    def handle(self, peer: Address, message: object, reply: ReplySender) -> bool:
        """Handle a record of the chain; False for any other."""

    def set_seeds(self, settings: ProcessSettings) -> None:
        """The settings name other seeds: members that may be queried for the core's state."""

    @property
    def forming(self) -> bool:
        """Whether enough members are there to agree on a view, and none is active here yet."""
