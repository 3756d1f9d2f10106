"""When a process that leaves may end. No I/O, no clock.

D1. A process that has left is needed by no later view, read or change. It ends only once it knows a
    view that is on the disks of a majority of that view's voters, whose chain is without it, and
    whose voters are without it too unless the view has only `required_voters`.

  Argument. Every view after this one is decided by this one's voters. A majority of them has the
  view on disk, so they need nobody to tell them of it, even if all processes are killed, or up to
  `tolerated` of the disks are lost, at the moment at which this process ends: a majority of 2t + 1
  voters is at least t + 1. What was acknowledged is on the disks of t + 1 members of the new chain
  (V6 in `views`).

  It isn't enough that this process knows the view. It may be the one that decided it, and the only
  one: its peers would then still count it among the voters whose majority they need.

D2. A process that can't leave ends `LEAVE_TIMEOUT_S` after it was asked to, and counts as lost. It
    stays longer, within the time that its driver allows, only while the voters that stay would lack
    a majority without it, and enough machines stay for a chain.

  Reason: several processes that leave together would otherwise end together, and none of the rest
  could drop them. If too few machines stay for a chain, all of the core is being restarted: the
  processes return with their disks, and have the majority that they had.

D3. A process ends in order only if none of the voters that replied had promised a round of a
    proposal.

  Reason: a machine that was about to join is in the next view if that view was planned before its
  planner learned that the machine leaves, and would be one of its voters after its end. A voter
  learns that the machine leaves before it gets the question, by the same connection, and plans no
  view with it afterwards. A promise that led to no view delays the process until D2.

  This doesn't exclude every such view: a planner that has not replied may propose one that it
  planned before, and the others may promise it after their replies. The machine then counts as a
  lost voter until it is absent, as any machine does that ends so soon after its start.

The question whether a voter has the view on disk is the first phase of Paxos for the next epoch, at
a round below that of every proposal. An acceptor replies to it, with a promise or a refusal, only
once its view is on disk (A1 in `acceptor`), and the promise excludes no proposal.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.coordination.effects import Emit, Send
from roselink.coordination.views import majority, replica_of
from roselink.coordination.voter_plan import required_voters
from roselink.protocol.chain import Ballot, Prepare, Promise, Refusal, View, Voter

if TYPE_CHECKING:
    from roselink.coordination.peer_status import ViewPolicy

# A leaving process waits for this time at least.
LEAVE_TIMEOUT_S = 1.0

# Interval at which the voters that have not replied are asked again.
QUESTION_INTERVAL_S = 0.1

# The round of the questions. The rounds of proposals begin at 1.
QUESTION_ROUND = 0


@dataclass(slots=True)
class Departure:
    """Asks the voters of the newest view, while this process leaves, whether they have it on disk.

    Attributes:
        voter: this member.
        session: identifies its process.
        policy: tells how many voters a view has at least.
        emit: called with each effect.
        requested: whether the process is to leave.
    """

    voter: Voter
    session: int
    policy: ViewPolicy
    emit: Emit
    requested: bool = False
    _requested_at: float = 0.0
    _epoch: int = 0
    _stored_by: set[Voter] = field(default_factory=set)
    _rounds_at: set[Voter] = field(default_factory=set)
    _asked_at: float = float("-inf")

    def request(self, now: float) -> None:
        """Begin to leave."""
        if not self.requested:
            self.requested = True
            self._requested_at = now

    def is_overdue(self, now: float) -> bool:
        """Whether the process has tried to leave for `LEAVE_TIMEOUT_S`."""
        return self.requested and now - self._requested_at >= LEAVE_TIMEOUT_S

    def advance(self, view: View | None, now: float) -> None:
        """Ask the voters that have not replied, if a question is due."""
        if not self.requested or view is None or not self._is_dropped_by(view):
            return
        if view.epoch != self._epoch:
            self._epoch = view.epoch
            self._stored_by = set()
            self._rounds_at = set()
            self._asked_at = float("-inf")
        if now - self._asked_at < QUESTION_INTERVAL_S:
            return
        self._asked_at = now
        ballot = Ballot(QUESTION_ROUND, self.voter.address, self.session)
        for voter in view.voters:
            if voter not in self._stored_by:
                self.emit(Send(voter.address, Prepare(self.voter, view.epoch + 1, ballot)))

    def on_reply(self, reply: Promise | Refusal) -> None:
        """Count a voter of the view that was asked about: it has that view on disk.

        A refusal for the sake of another question counts like a promise.
        """
        if not self.requested or reply.epoch != self._epoch + 1:
            return
        self._stored_by.add(reply.sender)
        if isinstance(reply, Refusal) and reply.promised.round != QUESTION_ROUND:
            self._rounds_at.add(reply.sender)

    def is_complete(self, view: View | None) -> bool:
        """Whether the process may end (D1); `view` is the newest that it knows."""
        if view is None:
            return True
        if not self._is_dropped_by(view) or view.epoch != self._epoch:
            return False
        return not self._rounds_at and (
            len(self._stored_by.intersection(view.voters)) >= majority(view)
        )

    def _is_dropped_by(self, view: View) -> bool:
        if replica_of(view, self.voter) is not None:
            return False
        return self.voter not in view.voters or len(view.voters) <= required_voters(self.policy)
