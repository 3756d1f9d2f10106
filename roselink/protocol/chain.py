"""Records between the core's members: heartbeats, votes on views, the chain, confirmed reads.

Every message between members names its sender. Chain messages (`Sync`, `Write`, `Ack`) and
submitted changes include the epoch of the view in which they were sent; a member handles them only
in that epoch.

The messages of phase 1 and 2 (`Prepare`, `Promise`, `Accept`, `Accepted`) are those of Paxos
(Lamport, "Paxos Made Simple", 2001); `Sync`, `Write` and `Ack` are those of chain replication
(van Renesse and Schneider, OSDI 2004) under views that are agreed on outside the chain, as in
Vertical Paxos (Lamport, Malkhi and Zhou, PODC 2009).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from roselink.protocol.records import record


@dataclass(frozen=True, slots=True)
class Voter:
    """One voter of a view.

    Attributes:
        address: its peer address ("ip:port").
        incarnation: a random number that a machine draws whenever it starts with an empty disk.
    """

    address: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ChainReplica:
    """One replica of a view's chain.

    Attributes:
        voter: the voter that holds the replica.
        since: the epoch from which the voter has been in every view's chain.
        session: identifies the process that participates. A process that the same voter starts
            later has another number and does not. 0 in the first view, in which the processes that
            made that view participate.
    """

    voter: Voter
    since: int
    session: int


@record(32)
@dataclass(frozen=True, slots=True)
class View:
    """An agreed membership: the voters that decide the next view, and the chain, head first."""

    epoch: int
    voters: tuple[Voter, ...]
    chain: tuple[ChainReplica, ...]


@dataclass(frozen=True, slots=True)
class Ballot:
    """A proposal's number in Paxos; no two proposals have the same.

    Attributes:
        round: a counter; each proposer chooses one above every round that it knows of.
        address: the proposer's peer address.
        session: identifies the proposer's process by a random number.
    """

    round: int
    address: str
    session: int

    @property
    def sort_key(self) -> tuple[int, str, int]:
        """The key by which ballots are ordered."""
        return self.round, self.address, self.session


@record(33)
@dataclass(frozen=True, slots=True)
class AcceptorState:
    """An acceptor's durable state.

    Attributes:
        voter: its identity.
        view: the newest decided view that it knows.
        promised: the highest ballot that it has promised for the next view.
        accepted: the ballot whose proposal it has accepted, if any.
        proposal: the view that it has accepted with that ballot.
    """

    voter: Voter
    view: View | None
    promised: Ballot | None
    accepted: Ballot | None
    proposal: View | None


@record(34)
@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A change that the operator submits: a complete document, based on generation `base`.

    Attributes:
        base: the generation on which the change is based.
        generation: the generation that it creates.
        document: the new document; empty if it could not be built because the base was not current
            (`coordination.state.validate`).
        digest: the digest of the base and the bytes as the operator sent them; identifies the
            change if it is sent again.
    """

    base: int
    generation: int
    document: bytes
    digest: bytes


@record(35)
@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The replicated state.

    Attributes:
        sequence: the number of writes applied so far.
        generation: the document's generation.
        document: the current document; empty before the first change.
        history: packed entries of the newest changes (`coordination.state`).
    """

    sequence: int
    generation: int
    document: bytes
    history: bytes


@record(36)
@dataclass(frozen=True, slots=True)
class StoredState:
    """A member's durable state, with the epoch in which it was written."""

    epoch: int
    state: ConfigurationState


@record(37)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A member's own status, sent to every known core machine.

    Attributes:
        sender: the sending member.
        session: identifies its process.
        epoch: the epoch of the newest view that it knows; 0 without one.
        state_epoch: the epoch of the state on its disk.
        sequence: the sequence of that state.
        participating: whether it participates in the chain of `epoch`.
        disk_ok: whether its disk completes saves in time.
        leaving: whether its process is about to end.
        chain_is_complete: whether it participates in the chain of `epoch` and considers each
            replica of that chain eligible and participating.
        reachable: the addresses from which it has recently received heartbeats.
    """

    sender: Voter
    session: int
    epoch: int
    state_epoch: int
    sequence: int
    participating: bool
    disk_ok: bool
    leaving: bool
    chain_is_complete: bool
    reachable: tuple[str, ...]


@record(38)
@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1a of the vote on the view `epoch`."""

    sender: Voter
    epoch: int
    ballot: Ballot


@record(39)
@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1b: the acceptor refuses every ballot below this one.

    `accepted` and `proposal` are the ballot and view that it has accepted before, if any.
    """

    sender: Voter
    epoch: int
    ballot: Ballot
    accepted: Ballot | None
    proposal: View | None


@record(40)
@dataclass(frozen=True, slots=True)
class Refusal:
    """The acceptor has promised a higher ballot."""

    sender: Voter
    epoch: int
    ballot: Ballot
    promised: Ballot


@record(41)
@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2a: the proposed view."""

    sender: Voter
    ballot: Ballot
    proposal: View


@record(42)
@dataclass(frozen=True, slots=True)
class Accepted:
    """Phase 2b: the acceptor has accepted the ballot's proposal."""

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
    """The complete state with which the epoch begins, from predecessor to successor.

    It includes the view, so that a successor that has not received the decision yet enters the view
    at once.
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
    """One change, from predecessor to successor.

    `refused`: whether the change is only recorded as permanently refused.
    """

    sender: Voter
    epoch: int
    sequence: int
    refused: bool
    change: ConfigurationChange


@record(46)
@dataclass(frozen=True, slots=True)
class Ack:
    """From successor to predecessor: every disk of the epoch's chain has all up to `sequence`."""

    sender: Voter
    epoch: int
    sequence: int


@record(47)
@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """The tail's question whether a voter has accepted, or learned of, a view after `epoch`."""

    sender: Voter
    epoch: int
    round: int


@record(48)
@dataclass(frozen=True, slots=True)
class ConfirmReply:
    """`is_newest`: the voter has accepted nothing and learned of nothing after `epoch`."""

    sender: Voter
    epoch: int
    round: int
    is_newest: bool


class OutcomeKind(IntEnum):
    """The outcome of a submitted change."""

    COMMITTED = 1
    CONFLICT = 2
    STALE_GENERATION = 3
    UNKNOWN = 4


@record(49)
@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """A change, sent to the head of the epoch's chain by the member that the operator called."""

    sender: Voter
    epoch: int
    number: int
    change: ConfigurationChange


@record(50)
@dataclass(frozen=True, slots=True)
class SubmitReply:
    """The outcome of the change with this number.

    `value`: the sequence of its write if committed, else the current generation.
    """

    number: int
    kind: OutcomeKind
    value: int


@record(51)
@dataclass(frozen=True, slots=True)
class ReadRequest:
    """A request for the tail's confirmed state.

    `known_sequence`: the sequence whose document the requester already has; -1 for none.
    """

    sender: Voter
    number: int
    known_sequence: int


@record(52)
@dataclass(frozen=True, slots=True)
class ReadReply:
    """The confirmed state; `document` is None if the requester already has it."""

    number: int
    epoch: int
    sequence: int
    generation: int
    document: bytes | None


ChainMessage = (
    Heartbeat
    | Prepare
    | Promise
    | Refusal
    | Accept
    | Accepted
    | Decided
    | Sync
    | Write
    | Ack
    | ConfirmRequest
    | ConfirmReply
    | SubmitRequest
    | SubmitReply
    | ReadRequest
    | ReadReply
)
"""All messages that core members send to each other."""
