"""One ballot of a proposer in single-decree Paxos. No I/O, no clock.

Paxos as in Lamport, "Paxos Made Simple" (2001); `acceptor` is the other side. The safety rules of a
round, by which two rounds never decide different values:

R1. Phase 2 begins after a majority of the voters has promised the ballot.
R2. Its value is that of the highest ballot among the acceptances that those promises report; only
    if there are none is it the view that this proposer prefers.
R3. The value is decided once a majority of the voters has accepted it with this ballot.
R4. Only replies to exactly this ballot and epoch from voters of this epoch count: a proposer's
    rounds restart at 1 in each epoch, so the same ballot may occur in two epochs.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.coordination.views import majority

if TYPE_CHECKING:
    from roselink.protocol.chain import Accepted, Ballot, Promise, View, Voter


@dataclass(slots=True)
class ProposalRound:
    """Promises, then acceptances, each from a majority of the voters.

    Attributes:
        view: the view whose voters decide.
        ballot: the round's ballot.
        preferred: the view to propose if nothing was accepted before.
        started_at: when the round began, in seconds of the member's clock.
        value: the proposed view; None in phase 1.
    """

    view: View
    ballot: Ballot
    preferred: View
    started_at: float
    value: View | None = None
    _promises: dict[Voter, Promise] = field(default_factory=dict)
    _accepted_by: set[Voter] = field(default_factory=set)

    def on_promise(self, reply: Promise) -> bool:
        """Count a promise; returns whether phase 2 begins, to propose `value`."""
        if not self._concerns(reply) or self.value is not None:
            return False
        self._promises[reply.sender] = reply
        if len(self._promises) < majority(self.view):
            return False
        self.value = self._choose()
        return True

    def pending_voters(self) -> list[Voter]:
        """The voters who have not replied in this phase."""
        replied = set(self._promises) if self.value is None else self._accepted_by
        return [voter for voter in self.view.voters if voter not in replied]

    def _concerns(self, reply: Promise | Accepted) -> bool:
        """Whether the reply is from a voter and to this ballot and epoch (R4)."""
        is_current = reply.ballot == self.ballot and reply.epoch == self.view.epoch + 1
        return is_current and reply.sender in self.view.voters

    def _choose(self) -> View:
        """The value of the highest ballot accepted before, else the preferred view (R2)."""
        accepted = [
            (reply.accepted.sort_key, reply.proposal)
            for reply in self._promises.values()
            if reply.accepted is not None and reply.proposal is not None
        ]
        if not accepted:
            return self.preferred
        return max(accepted, key=lambda pair: pair[0])[1]

    def on_accepted(self, reply: Accepted) -> View | None:
        """Count an acceptance; returns the decided view once a majority has accepted (R3)."""
        if not self._concerns(reply) or self.value is None:
            return None
        self._accepted_by.add(reply.sender)
        return self.value if len(self._accepted_by) >= majority(self.view) else None
