"""What the operator's interface and the replicated chain say to each other.

An order ends with exactly one outcome. `OutcomeUnknown` says nothing about whether the order
was or will be taken: the caller may send it again unchanged, to any member.
"""

from __future__ import annotations

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
from roselink.protocol.peers import Address

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "Address",
    "ChangeCommitted",
    "ConfigurationChange",
    "Confirmation",
    "Conflict",
    "OutcomeUnknown",
    "ReplicatedChain",
    "StaleGeneration",
    "SubmitOutcome",
]


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

    def submit(self, order: ConfigurationChange, done: Callable[[SubmitOutcome], None]) -> None:
        """Have an order decided; `done` is called once."""

    def confirm(self, done: Callable[[Confirmation | None], None]) -> None:
        """Read linearizably, begun after this call; `done` gets None when nothing could be
        confirmed.
        """

    def on_view(self, callback: Callable[[], None]) -> None:
        """Have `callback` called after each change of the active view."""
