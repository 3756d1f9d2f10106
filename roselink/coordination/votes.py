"""Single-decree Paxos on the view that follows: one voter's vote, and one proposer's attempt. No
I/O, no clock.

Each epoch is an instance of its own among the voters of the view before. A voter's answers may
leave only once `AcceptorState` is on its disk: `Acceptor.version` counts changes, and the member holds each
answer until its version is durable. A voter that has learned the decided view answers nothing about
that instance any more.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from roselink.coordination.views import majority
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
    """A voter's own part. `view` is the newest decided view it knows; the votes are on its
    successor.
    """

    voter: Voter
    view: View | None = None
    promised: Ballot | None = None
    accepted: Ballot | None = None
    proposal: View | None = None
    version: int = 0

    @staticmethod
    def restored(votes: AcceptorState) -> Acceptor:
        """The part as it was on the disk."""
        return Acceptor(votes.voter, votes.view, votes.promised, votes.accepted, votes.proposal)

    def record(self) -> AcceptorState:
        """What has to be on the disk before an answer leaves."""
        return AcceptorState(self.voter, self.view, self.promised, self.accepted, self.proposal)

    @property
    def entitled(self) -> bool:
        """Whether this member votes on the next view."""
        return self.view is not None and self.voter in self.view.voters

    def newest(self, epoch: int) -> bool:
        """Whether this voter has accepted nothing, and knows of nothing, after `epoch`."""
        known = self.view is not None and self.view.epoch == epoch
        return known and self.entitled and self.accepted is None

    def adopt(self, view: View) -> bool:
        """Follow a decided view; False if it isn't newer."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return False
        self.view = view
        self.promised = self.accepted = self.proposal = None
        self.version += 1
        return True

    def prepare(self, asked: Prepare) -> Promise | Refusal | None:
        """Phase 1; None where this member has no vote."""
        if not self._votes_on(asked.epoch):
            return None
        if self.promised is not None and asked.ballot.order < self.promised.order:
            return Refusal(self.voter, asked.epoch, asked.ballot, self.promised)
        if asked.ballot != self.promised:
            self.promised = asked.ballot
            self.version += 1
        return Promise(self.voter, asked.epoch, asked.ballot, self.accepted, self.proposal)

    def accept(self, asked: Accept) -> Accepted | Refusal | None:
        """Phase 2; None where this member has no vote."""
        epoch = asked.proposal.epoch
        if not self._votes_on(epoch):
            return None
        if self.promised is not None and asked.ballot.order < self.promised.order:
            return Refusal(self.voter, epoch, asked.ballot, self.promised)
        if self.accepted != asked.ballot:
            self.promised = self.accepted = asked.ballot
            self.proposal = asked.proposal
            self.version += 1
        return Accepted(self.voter, epoch, asked.ballot)

    def _votes_on(self, epoch: int) -> bool:
        return self.entitled and self.view is not None and epoch == self.view.epoch + 1


@dataclass(slots=True)
class ProposalRound:
    """One ballot of a proposer: promises, then acceptances, each from a majority of the voters."""

    view: View
    ballot: Ballot
    wanted: View
    began: float
    value: View | None = None
    _promises: dict[Voter, Promise] = field(default_factory=dict)
    _accepted: set[Voter] = field(default_factory=set)

    def promise(self, answer: Promise) -> bool:
        """Count a promise; whether phase 2 begins by it: then `value` is what to propose."""
        if not self._concerns(answer) or self.value is not None:
            return False
        self._promises[answer.sender] = answer
        if len(self._promises) < majority(self.view):
            return False
        self.value = self._choose()
        return True

    def unanswered(self) -> list[Voter]:
        """The voters who have not answered in this phase."""
        answered = set(self._promises) if self.value is None else self._accepted
        return [voter for voter in self.view.voters if voter not in answered]

    def _concerns(self, answer: Promise | Accepted) -> bool:
        """Whether this very ballot of this epoch is meant; rounds begin anew in each epoch."""
        same = answer.ballot == self.ballot and answer.epoch == self.view.epoch + 1
        return same and answer.sender in self.view.voters

    def _choose(self) -> View:
        """The value of the highest ballot that was accepted before; else the one that is wanted."""
        before = [
            (answer.accepted.order, answer.proposal)
            for answer in self._promises.values()
            if answer.accepted is not None and answer.proposal is not None
        ]
        if not before:
            return self.wanted
        return max(before, key=lambda pair: pair[0])[1]

    def accepted(self, answer: Accepted) -> View | None:
        """Count an acceptance; the decided view once a majority has accepted."""
        if not self._concerns(answer) or self.value is None:
            return None
        self._accepted.add(answer.sender)
        return self.value if len(self._accepted) >= majority(self.view) else None
