"""When a voter proposes the next view, and its rounds to have it decided. No I/O, no clock.

A voter proposes what `views.plan` wants, after a delay by its rank, so that two rarely propose at
once. A round that another began and did not finish is finished by whoever notices it first: while
an accepted proposal is undecided, no read can be confirmed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.coordination.effects import Emit, Send
from roselink.coordination.proposal_round import ProposalRound
from roselink.coordination.views import (
    PeerStatus,
    ViewPolicy,
    majority,
    plan,
    should_await_joiners,
)
from roselink.protocol.chain import Accept, Accepted, Ballot, Prepare, Promise, Refusal, View, Voter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from roselink.coordination.acceptor import Acceptor

# Delay for each live voter of a lower rank, so that one proposes before the next does.
RANK_DELAY_S = 0.12

# Another's proposal that is accepted and undecided for so long is taken over.
UNDECIDED_TIMEOUT_S = 0.25

# A round without a majority is given up after this time, times the growth for each round before it.
ROUND_TIMEOUT_S = 0.4
ROUND_TIMEOUT_GROWTH = 1.5
MAX_ROUND_TIMEOUT_S = 1.6

# Voters that have not replied are sent the request again.
REQUEST_RETRY_INTERVAL_S = 0.15

# The random-like delay between rounds: the session's bits choose a fraction of the step, which
# grows with the number of rounds up to the limit.
BACKOFF_STEP_S = 0.1
MAX_BACKOFF_STEPS = 4
BACKOFF_VALUES = 97
BACKOFF_SHIFTS = 8

# In a view no older than this, a replica before one that is new to the chain may come back in time
# to pass the state on (V3 in `views`).
NEW_VIEW_PERIOD_S = 1.0

# Who may join a complete chain waits so long for others that are about to be able to.
JOIN_BATCH_WINDOW_S = 0.6

# The added delay of a member outside the chain, while the chain's members report it complete.
NON_MEMBER_DELAY_S = 1.0


@dataclass(slots=True)
class Proposer:
    """The proposer's side of one voter."""

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
        """A newer view is known: the round is over."""
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
        """Begin a round if one is due, or give up one that has taken too long.

        Args:
            acceptor: this member's acceptor, which knows the view.
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
        """The view to propose now."""
        planned = plan(
            view, peers, self.policy, is_recent=now - self._view_entered_at < NEW_VIEW_PERIOD_S
        )
        self._planned_since = _held_since(self._planned_since, now, holds=planned is not None)
        self._undecided_since = _held_since(
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
        """How many live voters come before this one: the chain from its head, then the rest."""
        chain = [replica.voter for replica in view.chain]
        ranked = [*chain, *(voter for voter in view.voters if voter not in chain)]
        before = ranked[: ranked.index(self.voter)] if self.voter in ranked else ranked
        return sum(_is_live(voter, peers) for voter in before)

    def _backoff_s(self, rounds: int) -> float:
        """A delay that differs between proposers."""
        fraction = ((self.session >> (rounds % BACKOFF_SHIFTS)) % BACKOFF_VALUES) / BACKOFF_VALUES
        return fraction * BACKOFF_STEP_S * min(rounds + 1, MAX_BACKOFF_STEPS)

    def propose(self, acceptor: Acceptor, view: View, preferred: View, now: float) -> None:
        """Begin a round to have `preferred` follow the present view."""
        promised = acceptor.promised.round if acceptor.promised is not None else 0
        self._ballot_round = max(self._ballot_round, promised) + 1
        self._rounds_begun += 1
        ballot = Ballot(self._ballot_round, self.voter.address, self.session)
        self._current_round = ProposalRound(view, ballot, preferred, now)
        self._send_requests(self._current_round, now)

    def _send_requests(self, current: ProposalRound, now: float) -> None:
        """Send the phase's request to those who have not replied to it."""
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
        """A voter has promised another ballot: back off, then begin a round with a higher one."""
        if self._current_round is None or reply.epoch != self._current_round.view.epoch + 1:
            return
        self._ballot_round = max(self._ballot_round, reply.promised.round)
        if reply.ballot == self._current_round.ballot:
            self._current_round = None
            self._next_round_at = now + ROUND_TIMEOUT_S / 2 + self._backoff_s(self._rounds_begun)

    def on_accepted(self, reply: Accepted) -> View | None:
        """Count a voter's acceptance; the decided view once a majority has accepted."""
        return None if self._current_round is None else self._current_round.on_accepted(reply)


def _is_live(voter: Voter, peers: Mapping[str, PeerStatus]) -> bool:
    peer = peers.get(voter.address)
    return peer is not None and peer.live and peer.voter == voter and peer.disk_ok


def _held_since(before: float | None, now: float, *, holds: bool) -> float | None:
    """From when a condition has held."""
    if not holds:
        return None
    return now if before is None else before


def _reaches_majority(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    return sum(_is_live(voter, peers) for voter in view.voters) >= majority(view)
