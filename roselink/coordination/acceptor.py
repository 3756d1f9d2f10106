"""The acceptor of single-decree Paxos, on the view that follows. No I/O, no clock.

Paxos as in Lamport, "Paxos Made Simple" (2001). Each epoch is an instance of its own among the
voters of the view before. What an acceptor has to keep for its safety:

A1. Promises and acceptances outlive a restart: a reply may leave only once the `AcceptorState` that
    it rests on is on the disk. `Acceptor.version` counts changes, and `reply_gate` buffers each
    reply until its version is durable.
A2. A ballot below the promised one is neither promised nor accepted.
A3. An acceptor that has learned the decided view replies nothing new about that instance. A reply
    that was buffered before may still leave once the newer state is durable: it was true when it
    was made, and an acceptor that makes no further promise in the instance can't break it, so it
    is as one that was delayed on its way.
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
        voter: whose it is.
        view: the newest decided view that it knows; the rest is about its successor.
        promised: the highest ballot that it has promised.
        accepted: the ballot that it has accepted, if any.
        proposal: the view that it has accepted with that ballot.
        version: counts the changes of all this, for saves.
    """

    voter: Voter
    view: View | None = None
    promised: Ballot | None = None
    accepted: Ballot | None = None
    proposal: View | None = None
    version: int = 0

    @staticmethod
    def from_record(state: AcceptorState) -> Acceptor:
        """The acceptor as it was on the disk."""
        return Acceptor(state.voter, state.view, state.promised, state.accepted, state.proposal)

    def to_record(self) -> AcceptorState:
        """What has to be on the disk before a reply leaves."""
        return AcceptorState(self.voter, self.view, self.promised, self.accepted, self.proposal)

    @property
    def is_voter(self) -> bool:
        """Whether this member votes on the next view."""
        return self.view is not None and self.voter in self.view.voters

    def is_newest(self, epoch: int) -> bool:
        """Whether this voter has accepted nothing, and knows of nothing, after `epoch`."""
        in_epoch = self.view is not None and self.view.epoch == epoch
        return in_epoch and self.is_voter and self.accepted is None

    def enter(self, view: View) -> bool:
        """Enter a decided view; False if it isn't newer than the present one."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return False
        self.view = view
        self.promised = None
        self.accepted = None
        self.proposal = None
        self.version += 1
        return True

    def prepare(self, request: Prepare) -> Promise | Refusal | None:
        """Phase 1; None where this member has no vote."""
        if not self._votes_on(request.epoch):
            return None
        if self.promised is not None and request.ballot.sort_key < self.promised.sort_key:
            return Refusal(self.voter, request.epoch, request.ballot, self.promised)
        if request.ballot != self.promised:
            self.promised = request.ballot
            self.version += 1
        return Promise(self.voter, request.epoch, request.ballot, self.accepted, self.proposal)

    def accept(self, request: Accept) -> Accepted | Refusal | None:
        """Phase 2; None where this member has no vote."""
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
