"""What the core member's state machines hand to their driver, and how calls to them end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.protocol.chain import View


@dataclass(frozen=True, slots=True)
class ChangeCommitted:
    """The order is in force or was: every disk of the chain has it. `sequence`: its place in the
    history.
    """

    sequence: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The order builds on another generation than the current one. It will never come into
    force.
    """

    current: int


@dataclass(frozen=True, slots=True)
class StaleGeneration:
    """The order's generation isn't above the current one. It will never come into force."""

    current: int


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Nothing is promised: the order may come into force or not."""


SubmitOutcome = ChangeCommitted | Conflict | StaleGeneration | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A committed state that is no older than anything acknowledged before the question.

    `document` is None before the first change.
    """

    epoch: int
    sequence: int
    document: bytes | None
    generation: int


class Store(Enum):
    """The two things on a member's disk."""

    ACCEPTOR = "votes"
    STATE = "state"


@dataclass(frozen=True, slots=True)
class Send:
    """Send a notice to a peer address ("ip:port")."""

    to: str
    message: object


@dataclass(frozen=True, slots=True)
class Persist:
    """Write `payload` durably; `persisted` or `persist_failed` with this store must follow, in
    order.
    """

    store: Store
    payload: bytes


@dataclass(frozen=True, slots=True)
class SubmitDone:
    """The end of the order that was submitted under `number`."""

    number: int
    outcome: SubmitOutcome


@dataclass(frozen=True, slots=True)
class ReadDone:
    """The end of the read that was asked under `number`."""

    number: int
    confirmation: Confirmation | None


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The member follows a new view, or the view's chain has become active."""

    view: View


Effect = Send | Persist | SubmitDone | ReadDone | ViewChanged
Emit = Callable[[Effect], None]
