"""Records between the core's members: heartbeats, votes on views, the chain itself, and confirmed
reads.

Every message names its sender. Chain messages (`Sync`, `Write`, `Ack`) and orders under way carry
the epoch of the view in which they were sent; a member takes them in that epoch only.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from roselink.protocol.records import record


@dataclass(frozen=True, slots=True)
class Voter:
    """One voter: its peer address ("ip:port") and a number that is new whenever its disk is
    empty.
    """

    address: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ChainReplica:
    """One place of the chain.

    `since` is the epoch from which the voter has been in every view's chain. `session` is the
    process that takes part: a process with another number, started later, does not (0 in the first
    view).
    """

    voter: Voter
    since: int
    session: int


@record(32)
@dataclass(frozen=True, slots=True)
class View:
    """One agreed membership: who votes on the next view, and the chain from head to tail."""

    epoch: int
    voters: tuple[Voter, ...]
    chain: tuple[ChainReplica, ...]


@dataclass(frozen=True, slots=True)
class Ballot:
    """A proposal's number: no two proposals have the same, as each process draws its own
    session.
    """

    round: int
    address: str
    session: int

    @property
    def order(self) -> tuple[int, str, int]:
        """What ballots are compared by."""
        return self.round, self.address, self.session


@record(33)
@dataclass(frozen=True, slots=True)
class AcceptorState:
    """What a voter keeps on its disk: its identity, its newest view, its vote on the view that
    follows.
    """

    voter: Voter
    view: View | None
    promised: Ballot | None
    accepted: Ballot | None
    proposal: View | None


@record(34)
@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """One change of the operator's: a whole document on top of the generation `base`.

    `digest` is taken over base and bytes as the operator sent them; it names the order when it
    comes again. `document` is empty where it could not be made, as the base was not in place
    (`coordination.state.validate`).
    """

    base: int
    generation: int
    document: bytes
    digest: bytes


@record(35)
@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The replicated state. `history`: packed entries of the newest orders
    (`coordination.state`).
    """

    sequence: int
    generation: int
    document: bytes
    history: bytes


@record(36)
@dataclass(frozen=True, slots=True)
class StoredState:
    """The state as a member keeps it on its disk, with the epoch in which it was written."""

    epoch: int
    state: ConfigurationState


@record(37)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent to every known core machine. `heard`: the addresses that the sender heard of late.

    `state_epoch` is the epoch of the state on its disk; `settled`: it takes part in the chain of
    `epoch`, and finds that chain whole.
    """

    sender: Voter
    session: int
    epoch: int
    state_epoch: int
    sequence: int
    participating: bool
    disk_ok: bool
    leaving: bool
    settled: bool
    heard: tuple[str, ...]


@record(38)
@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1 of the vote on the view `epoch`."""

    sender: Voter
    epoch: int
    ballot: Ballot


@record(39)
@dataclass(frozen=True, slots=True)
class Promise:
    """The voter takes part in no ballot below this one, and tells what it accepted before."""

    sender: Voter
    epoch: int
    ballot: Ballot
    accepted: Ballot | None
    proposal: View | None


@record(40)
@dataclass(frozen=True, slots=True)
class Refusal:
    """The voter has promised a higher ballot."""

    sender: Voter
    epoch: int
    ballot: Ballot
    promised: Ballot


@record(41)
@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2: the proposed view."""

    sender: Voter
    ballot: Ballot
    proposal: View


@record(42)
@dataclass(frozen=True, slots=True)
class Accepted:
    """The voter has accepted the ballot's proposal."""

    sender: Voter
    epoch: int
    ballot: Ballot


@record(43)
@dataclass(frozen=True, slots=True)
class Decided:
    """A view that a majority of the voters before it has accepted."""

    sender: Voter
    view: View


@record(44)
@dataclass(frozen=True, slots=True)
class Sync:
    """The whole state with which the epoch begins, from predecessor to successor.

    It names the view, so that a successor that has not heard of the decision yet follows it at
    once.
    """

    sender: Voter
    view: View
    state: ConfigurationState

    @property
    def epoch(self) -> int:
        """The epoch of its view."""
        return self.view.epoch


@record(45)
@dataclass(frozen=True, slots=True)
class Write:
    """One change, from predecessor to successor. `refused`: the order is only noted as refused for
    good.
    """

    sender: Voter
    epoch: int
    sequence: int
    refused: bool
    order: ConfigurationChange


@record(46)
@dataclass(frozen=True, slots=True)
class Ack:
    """All up to `sequence` is on every disk of the epoch's chain, from successor to predecessor."""

    sender: Voter
    epoch: int
    sequence: int


@record(47)
@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """The tail's question: has the voter accepted, or heard of, a view after `epoch`?"""

    sender: Voter
    epoch: int
    round: int


@record(48)
@dataclass(frozen=True, slots=True)
class ConfirmReply:
    """`newest`: the voter has accepted nothing and heard of nothing after `epoch`."""

    sender: Voter
    epoch: int
    round: int
    newest: bool


class OutcomeKind(IntEnum):
    """How an order ended."""

    ACCEPTED = 1
    CONFLICT = 2
    NOT_NEWER = 3
    UNSETTLED = 4


@record(49)
@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """An order for the head of the epoch's chain, from the member that the operator called."""

    sender: Voter
    epoch: int
    number: int
    order: ConfigurationChange


@record(50)
@dataclass(frozen=True, slots=True)
class SubmitReply:
    """How the order ended. `value`: the sequence of the write, or the generation that is
    current.
    """

    number: int
    kind: OutcomeKind
    value: int


@record(51)
@dataclass(frozen=True, slots=True)
class ReadRequest:
    """A question for the tail's confirmed state. `known`: the sequence whose document the asker
    holds.
    """

    sender: Voter
    number: int
    known: int


@record(52)
@dataclass(frozen=True, slots=True)
class ReadReply:
    """The confirmed state; `document` is None when the asker holds it."""

    number: int
    epoch: int
    sequence: int
    generation: int
    document: bytes | None
