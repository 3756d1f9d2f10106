"""The acceptor of single-decree Paxos, which decides the next view. No I/O, no clock.

Paxos as in Lamport, "Paxos Made Simple" (2001). Each epoch is a separate instance among the voters
of the previous view. The safety rules of an acceptor:

A1. Promises and acceptances survive a restart: a reply may be sent only once the `AcceptorState` on
    which it depends is on the disk. `Acceptor.version` counts changes, and `reply_gate` buffers
    each reply until its version is durable.
A2. A ballot below the promised one is neither promised nor accepted.
A3. An acceptor that has learned the decided view makes no new reply in that instance. A reply that
    was buffered before may still be sent once the newer state is durable: it was true when it was
    made, and an acceptor that makes no further promise in the instance can't violate it, so it is
    equivalent to a message that was delayed in transit.
"""

from __future__ import annotations

from dataclasses import dataclass

from roselink.protocol.chain import (
    Accept,
    Accepted,
    AcceptorState,
    Ballot,
    Prepare,
    Promise,
    Refusal,
    View,
    Voter,
)


@dataclass(slots=True)
class Acceptor:
    """One voter's acceptor.

    Attributes:
        voter: the voter whose acceptor this is.
        view: the newest decided view that it knows; the fields below concern its successor.
        promised: the highest ballot that it has promised.
        accepted: the ballot that it has accepted, if any.
        proposal: the view that it has accepted with that ballot.
        version: counts the changes of these fields, to match replies with saves.
    """

    voter: Voter
    view: View | None = None
    promised: Ballot | None = None
    accepted: Ballot | None = None
    proposal: View | None = None
    version: int = 0

    @staticmethod
    def from_record(state: AcceptorState) -> Acceptor:
        """Restore an acceptor from its durable state."""
        return Acceptor(state.voter, state.view, state.promised, state.accepted, state.proposal)

    def to_record(self) -> AcceptorState:
        """The state that must be on the disk before a reply is sent (A1)."""
        return AcceptorState(self.voter, self.view, self.promised, self.accepted, self.proposal)

    @property
    def is_voter(self) -> bool:
        """Whether this member votes on the next view."""
        return self.view is not None and self.voter in self.view.voters

    def is_newest(self, epoch: int) -> bool:
        """Whether this voter has neither accepted nor learned of a view after `epoch`."""
        in_epoch = self.view is not None and self.view.epoch == epoch
        return in_epoch and self.is_voter and self.accepted is None

    def enter(self, view: View) -> bool:
        """Enter a decided view; returns False if it isn't newer than the current one."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return False
        self.view = view
        self.promised = None
        self.accepted = None
        self.proposal = None
        self.version += 1
        return True

    def prepare(self, request: Prepare) -> Promise | Refusal | None:
        """Reply to phase 1; None if this member has no vote on the view."""
        if not self._votes_on(request.epoch):
            return None
        if self.promised is not None and request.ballot.sort_key < self.promised.sort_key:
            return Refusal(self.voter, request.epoch, request.ballot, self.promised)
        if request.ballot != self.promised:
            self.promised = request.ballot
            self.version += 1
        return Promise(self.voter, request.epoch, request.ballot, self.accepted, self.proposal)

    def accept(self, request: Accept) -> Accepted | Refusal | None:
        """Reply to phase 2; None if this member has no vote on the view."""
        epoch = request.proposal.epoch
        if not self._votes_on(epoch):
            return None
        if self.promised is not None and request.ballot.sort_key < self.promised.sort_key:
            return Refusal(self.voter, epoch, request.ballot, self.promised)
        if self.accepted != request.ballot:
            self.promised = request.ballot
            self.accepted = request.ballot
            self.proposal = request.proposal
            self.version += 1
        return Accepted(self.voter, epoch, request.ballot)

    def _votes_on(self, epoch: int) -> bool:
        return self.is_voter and self.view is not None and epoch == self.view.epoch + 1
