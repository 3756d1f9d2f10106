"""Effects that a member's state machines emit for their driver; outcomes of changes and reads."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.protocol.chain import ChainMessage, View


@dataclass(frozen=True, slots=True)
class ChangeCommitted:
    """The change is committed: every disk of the chain has it. A newer one may have replaced it.

    `sequence`: the sequence of its write.
    """

    sequence: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The change is based on another generation than `current`. It is never committed."""

    current: int


@dataclass(frozen=True, slots=True)
class StaleGeneration:
    """The change's generation isn't above `current`. It is never committed."""

    current: int


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may or may not be committed, now or later."""


SubmitOutcome = ChangeCommitted | Conflict | StaleGeneration | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A committed state that includes everything acknowledged before the read began.

    Attributes:
        epoch: the epoch of the view that confirmed it.
        sequence: the state's sequence.
        document: the state's document; None before the first change.
        generation: the document's generation.
    """

    epoch: int
    sequence: int
    document: bytes | None
    generation: int


class Store(Enum):
    """The two records on a member's disk; the values are their names in the disk format."""

    ACCEPTOR = "votes"
    STATE = "state"


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer address ("ip:port")."""

    to: str
    message: ChainMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Write `payload` durably.

    `persisted` or `persist_failed` with this store must follow, in the order of the requests.
    """

    store: Store
    payload: bytes


class VerificationOutcome(Enum):
    """The result of reading a record back."""

    INTACT = 1
    # The record is torn, or its checksum is wrong.
    DAMAGED = 2
    # The read failed, so the record's condition is unknown.
    UNREADABLE = 3


@dataclass(frozen=True, slots=True)
class VerifyRecord:
    """Read the newest durable generation of a record, and check it.

    `verified` with this store must follow. Saves that were requested earlier are completed first.
    """

    store: Store


@dataclass(frozen=True, slots=True)
class RecordDamaged:
    """A record was found damaged, and is rewritten.

    `times`: the number of damaged records that this process has found so far.
    """

    store: Store
    times: int


@dataclass(frozen=True, slots=True)
class SubmitDone:
    """The outcome of the submitted change with this number."""

    number: int
    outcome: SubmitOutcome


@dataclass(frozen=True, slots=True)
class ReadDone:
    """The result of the read with this number; None if no majority confirmed it in time."""

    number: int
    confirmation: Confirmation | None


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The member has entered a new view, or the view's chain has become active."""

    view: View


@dataclass(frozen=True, slots=True)
class RemovalEvidence:
    """What a proposer knows of a machine that its proposal removes from the chain.

    Attributes:
        address: the machine's peer address.
        silent_s: the time since its last heartbeat to the proposer; infinite if there was none.
        live: whether it and the proposer receive each other's heartbeats.
        disk_ok: whether it reports that its disk is healthy.
        leaving: whether it reports that its process is about to end.
        broken_links: the members of the former chain that it doesn't reach, or that don't reach it.
    """

    address: str
    silent_s: float
    live: bool
    disk_ok: bool
    leaving: bool
    broken_links: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ViewProposed:
    """The member begins a round that proposes this view.

    `removed`: the evidence against each machine of the current chain that is not in the proposed
    one.
    """

    view: View
    removed: tuple[RemovalEvidence, ...]


Effect = (
    Send
    | Persist
    | VerifyRecord
    | RecordDamaged
    | SubmitDone
    | ReadDone
    | ViewChanged
    | ViewProposed
)
Emit = Callable[[Effect], None]
