"""What the operator's interface and the replicated chain say to each other.

An order ends with exactly one outcome. `Unsettled` says nothing about whether the order was or will be taken:
the caller may send it again unchanged, to any member.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ConfigurationOrder:
    """A checked configuration to be put in place of version `base` (a generation; 0: none).

    `digest` covers the base and the document's bytes: the same order sent again has the same one.
    """

    base: int
    generation: int
    document: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class TakenOrder:
    """The order is committed, now or before, at this place in the chain's order."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another version than the order's base is in place; `current` is its generation (0: none)."""

    current: int


@dataclass(frozen=True, slots=True)
class NotNewer:
    """The order's generation is not above the current one."""

    current: int


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Nobody could say in time whether the order is committed."""


SubmitOutcome = TakenOrder | Conflict | NotNewer | Unsettled


@dataclass(frozen=True, slots=True)
class Confirmation:
    """What the tail holds, once a majority has said that its view is still the newest (linearizable).

    `document` is None, and `sequence` and `generation` are 0, before the first configuration.
    """

    epoch: int
    sequence: int
    document: bytes | None
    generation: int


class ControlNode(Protocol):
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

    def submit(self, order: ConfigurationOrder, done: Callable[[SubmitOutcome], None]) -> None:
        """Have an order decided; `done` is called once."""

    def confirm(self, done: Callable[[Confirmation | None], None]) -> None:
        """Read linearizably, begun after this call; `done` gets None when nothing could be confirmed."""

    def on_view(self, callback: Callable[[], None]) -> None:
        """Have `callback` called after each change of the active view."""
