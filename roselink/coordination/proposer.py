"""Schedules a voter's proposals of the next view, and runs their rounds. No I/O, no clock.

A voter proposes the result of `views.plan` after a delay by its rank, so that two voters rarely
propose at once. A round that another voter began and didn't finish is finished by the first voter
that detects it: while an accepted proposal is undecided, no read can be confirmed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.coordination.effects import Emit, Send, ViewProposed
from roselink.coordination.proposal_round import ProposalRound
from roselink.coordination.views import (
    majority,
    plan,
    removal_evidence,
    should_await_joiners,
)
from roselink.protocol.chain import Accept, Accepted, Ballot, Prepare, Promise, Refusal, View, Voter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from roselink.coordination.acceptor import Acceptor
    from roselink.coordination.peer_status import PeerStatus, ViewPolicy

# Delay for each live voter of a lower rank. A larger value makes competing rounds rarer; with a
# smaller one the next voter proposes sooner if the first doesn't.
RANK_DELAY_S = 0.12

# Another voter's proposal is taken over after it has been accepted and undecided for this time.
UNDECIDED_TIMEOUT_S = 0.25

# A round without a majority is abandoned after this time, multiplied by the growth factor for each
# round begun, up to the maximum.
ROUND_TIMEOUT_S = 0.4
ROUND_TIMEOUT_GROWTH = 1.5
MAX_ROUND_TIMEOUT_S = 1.6

# Interval at which the request is sent again to voters that have not replied.
REQUEST_RETRY_INTERVAL_S = 0.15

# The pseudo-random backoff between rounds is a fraction of a delay, which grows by this step with
# each round, up to the maximum number of steps. The session's bits select the fraction: one of
# `BACKOFF_VALUES` values, from one of `BACKOFF_SHIFTS` bit positions.
BACKOFF_STEP_S = 0.1
MAX_BACKOFF_STEPS = 4
BACKOFF_VALUES = 97
BACKOFF_SHIFTS = 8

# A view is recent for this time. In a recent view a suspected replica may still return and forward
# the state to a new one after it in the chain (V3 in `views`).
NEW_VIEW_PERIOD_S = 1.0

# A proposal that only adds members to a complete chain is delayed by up to this time if other
# machines will soon be able to join. A larger value adds more of them in one view change; with a
# smaller one each joins sooner.
JOIN_BATCH_WINDOW_S = 0.6

# Additional delay of a member that isn't in the chain, while its members report it complete.
NON_MEMBER_DELAY_S = 1.0


@dataclass(slots=True)
class Proposer:
    """The proposer role of one voter."""

    voter: Voter
    session: int
    policy: ViewPolicy
    emit: Emit
    _current_round: ProposalRound | None = None
    _requested_at: float = 0.0
    _ballot_round: int = 0
    _rounds_begun: int = 0
    _planned_since: float | None = None
    _undecided_since: float | None = None
    _next_round_at: float = float("-inf")
    _view_entered_at: float = float("-inf")

    def view_changed(self, now: float) -> None:
        """Abandon the round, because a newer view is known."""
        self._view_entered_at = now
        self._current_round = None
        self._ballot_round = 0
        self._rounds_begun = 0
        self._planned_since = None
        self._undecided_since = None
        self._next_round_at = float("-inf")

    def advance(
        self,
        acceptor: Acceptor,
        peers: Mapping[str, PeerStatus],
        now: float,
        *,
        outside_complete_chain: bool,
    ) -> None:
        """Begin a round if one is due, or abandon one that has timed out.

        Args:
            acceptor: this member's acceptor, which has the current view.
            peers: the membership snapshot.
            now: seconds of the member's clock.
            outside_complete_chain: whether this member isn't in the chain, whose
                members report it complete.
        """
        view = acceptor.view
        if view is None:
            return
        if self._current_round is not None:
            if now - self._current_round.started_at < self._round_timeout_s():
                self._retry_requests(self._current_round, now)
                return
            self._current_round = None
            self._next_round_at = now + self._backoff_s(self._rounds_begun)
        planned = self._view_to_propose(
            acceptor, view, peers, now, outside_complete_chain=outside_complete_chain
        )
        if planned is not None and now >= self._next_round_at and _reaches_majority(view, peers):
            self.emit(ViewProposed(planned, removal_evidence(view, planned, peers)))
            self.propose(acceptor, view, planned, now)

    def _round_timeout_s(self) -> float:
        grown_s = ROUND_TIMEOUT_S * ROUND_TIMEOUT_GROWTH**self._rounds_begun
        return min(grown_s, MAX_ROUND_TIMEOUT_S)

    def _view_to_propose(
        self,
        acceptor: Acceptor,
        view: View,
        peers: Mapping[str, PeerStatus],
        now: float,
        *,
        outside_complete_chain: bool,
    ) -> View | None:
        """The view to propose now, or None."""
        planned = plan(
            view, peers, self.policy, is_recent=now - self._view_entered_at < NEW_VIEW_PERIOD_S
        )
        self._planned_since = _true_since(self._planned_since, now, holds=planned is not None)
        self._undecided_since = _true_since(
            self._undecided_since, now, holds=acceptor.accepted is not None
        )
        delay_s = self._rank(view, peers) * RANK_DELAY_S
        if (
            self._undecided_since is not None
            and now - self._undecided_since >= UNDECIDED_TIMEOUT_S + delay_s
        ):
            return planned or acceptor.proposal
        if planned is None or self._planned_since is None:
            return None
        planned_for_s = now - self._planned_since
        if planned_for_s < JOIN_BATCH_WINDOW_S and should_await_joiners(view, planned, peers):
            return None
        return (
            None
            if planned_for_s < delay_s + (NON_MEMBER_DELAY_S if outside_complete_chain else 0.0)
            else planned
        )

    def _rank(self, view: View, peers: Mapping[str, PeerStatus]) -> int:
        """The number of live voters ranked before this one: the chain, head first, then others."""
        chain = [replica.voter for replica in view.chain]
        ranked = [*chain, *(voter for voter in view.voters if voter not in chain)]
        before = ranked[: ranked.index(self.voter)] if self.voter in ranked else ranked
        return sum(_is_live(voter, peers) for voter in before)

    def _backoff_s(self, rounds: int) -> float:
        """A delay that differs between proposers, so that they don't collide again."""
        fraction = ((self.session >> (rounds % BACKOFF_SHIFTS)) % BACKOFF_VALUES) / BACKOFF_VALUES
        return fraction * BACKOFF_STEP_S * min(rounds + 1, MAX_BACKOFF_STEPS)

    def propose(self, acceptor: Acceptor, view: View, preferred: View, now: float) -> None:
        """Begin a round that proposes `preferred` as the next view."""
        promised = acceptor.promised.round if acceptor.promised is not None else 0
        self._ballot_round = max(self._ballot_round, promised) + 1
        self._rounds_begun += 1
        ballot = Ballot(self._ballot_round, self.voter.address, self.session)
        self._current_round = ProposalRound(view, ballot, preferred, now)
        self._send_requests(self._current_round, now)

    def _send_requests(self, current: ProposalRound, now: float) -> None:
        """Send the phase's request to the voters that have not replied to it."""
        self._requested_at = now
        request: Prepare | Accept = Prepare(self.voter, current.view.epoch + 1, current.ballot)
        if current.value is not None:
            request = Accept(self.voter, current.ballot, current.value)
        for voter in current.pending_voters():
            self.emit(Send(voter.address, request))

    def _retry_requests(self, current: ProposalRound, now: float) -> None:
        if now - self._requested_at >= REQUEST_RETRY_INTERVAL_S:
            self._send_requests(current, now)

    def on_promise(self, reply: Promise, now: float) -> None:
        """Count a voter's promise."""
        if self._current_round is not None and self._current_round.on_promise(reply):
            self._send_requests(self._current_round, now)

    def on_refusal(self, reply: Refusal, now: float) -> None:
        """Handle a refusal: back off, then begin a round with a higher ballot."""
        if self._current_round is None or reply.epoch != self._current_round.view.epoch + 1:
            return
        self._ballot_round = max(self._ballot_round, reply.promised.round)
        if reply.ballot == self._current_round.ballot:
            self._current_round = None
            self._next_round_at = now + ROUND_TIMEOUT_S / 2 + self._backoff_s(self._rounds_begun)

    def on_accepted(self, reply: Accepted) -> View | None:
        """Count a voter's acceptance; returns the decided view once a majority has accepted."""
        return None if self._current_round is None else self._current_round.on_accepted(reply)


def _is_live(voter: Voter, peers: Mapping[str, PeerStatus]) -> bool:
    peer = peers.get(voter.address)
    return peer is not None and peer.live and peer.voter == voter and peer.disk_ok


def _true_since(before: float | None, now: float, *, holds: bool) -> float | None:
    """The time since which a condition has held without interruption, or None."""
    if not holds:
        return None
    return now if before is None else before


def _reaches_majority(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    return sum(_is_live(voter, peers) for voter in view.voters) >= majority(view)
