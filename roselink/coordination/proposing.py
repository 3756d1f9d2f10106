"""When a voter proposes the next view, and its attempt to have it decided. No I/O, no clock.

A voter proposes what `views.plan` wants, after a delay by its place, so that two rarely propose at
once. A vote that was begun by another and not ended is ended by whoever sees it first: while an
accepted proposal is open, no read can be confirmed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.coordination.effects import Emit, Send
from roselink.coordination.views import PeerStatus, ViewPolicy, majority, plan, waits_for_joiners
from roselink.coordination.votes import Acceptor, ProposalRound
from roselink.protocol.chain import Accept, Accepted, Ballot, Prepare, Promise, Refusal, View, Voter

if TYPE_CHECKING:
    from collections.abc import Mapping

RANK_S = 0.12  # delay for each live voter that comes before
OPEN_S = 0.25  # a vote of another that stays open for so long is taken up
ATTEMPT_S = 0.4  # an attempt without a majority for so long is given up; longer with each next one
ATTEMPT_MOST_S = 1.6
ASK_AGAIN_S = 0.15  # voters without an answer are asked again
SETTLING_S = (
    1.0  # in a view so young, members that are new to the chain may still take over its state
)
JOIN_TOGETHER_S = 0.6  # who may join a whole chain waits so long for others that soon may
OUTSIDE_S = 1.0  # how much later members propose that see others content with the chain


@dataclass(slots=True)
class Proposer:
    """The proposer's side of one voter."""

    voter: Voter
    session: int
    rules: ViewPolicy
    emit: Emit
    _attempt: ProposalRound | None = None
    _asked_at: float = 0.0
    _round: int = 0
    _tries: int = 0
    _wanted_since: float | None = None
    _open_since: float | None = None
    _not_before: float = float("-inf")
    _view_since: float = float("-inf")

    def view_changed(self, now: float) -> None:
        """A newer view is known: the attempt is over."""
        self._view_since = now
        self._attempt = None
        self._round = self._tries = 0
        self._wanted_since = self._open_since = None
        self._not_before = float("-inf")

    def consider(
        self, voting: Acceptor, peers: Mapping[str, PeerStatus], outside: bool, now: float
    ) -> None:
        """Begin an attempt if one is due, or give up one that has taken too long."""
        view = voting.view
        if view is None:
            return
        if self._attempt is not None:
            if now - self._attempt.began < min(ATTEMPT_S * 1.5**self._tries, ATTEMPT_MOST_S):
                self._ask_again(self._attempt, now)
                return
            self._attempt = None
            self._not_before = now + self._spread(self._tries)
        wanted = self._due(voting, view, peers, outside, now)
        if wanted is not None and now >= self._not_before and _reaches_majority(view, peers):
            self.propose(voting, view, wanted, now)

    def _due(
        self,
        voting: Acceptor,
        view: View,
        peers: Mapping[str, PeerStatus],
        outside: bool,
        now: float,
    ) -> View | None:
        """The view to propose now."""
        wanted = plan(view, peers, self.rules, now - self._view_since < SETTLING_S)
        self._wanted_since = _since(self._wanted_since, wanted is not None, now)
        self._open_since = _since(self._open_since, voting.accepted is not None, now)
        delay = self._rank(view, peers) * RANK_S
        if self._open_since is not None and now - self._open_since >= OPEN_S + delay:
            return wanted or voting.proposal
        if wanted is None or self._wanted_since is None:
            return None
        wanted_s = now - self._wanted_since
        if wanted_s < JOIN_TOGETHER_S and waits_for_joiners(view, wanted, peers):
            return None
        return None if wanted_s < delay + (OUTSIDE_S if outside else 0.0) else wanted

    def _rank(self, view: View, peers: Mapping[str, PeerStatus]) -> int:
        """How many live voters come before this one: the chain from its head, then the rest."""
        chain = [link.voter for link in view.chain]
        order = [*chain, *(voter for voter in view.voters if voter not in chain)]
        before = order[: order.index(self.voter)] if self.voter in order else order
        return sum(_alive(voter, peers) for voter in before)

    def _spread(self, tries: int) -> float:
        """A delay that differs between proposers."""
        return ((self.session >> (tries % 8)) % 97) / 97 * 0.1 * min(tries + 1, 4)

    def propose(self, voting: Acceptor, view: View, wanted: View, now: float) -> None:
        """Begin an attempt to have a view follow the present one."""
        promised = voting.promised.round if voting.promised is not None else 0
        self._round = max(self._round, promised) + 1
        self._tries += 1
        ballot = Ballot(self._round, self.voter.address, self.session)
        self._attempt = ProposalRound(view, ballot, wanted, now)
        self._ask(self._attempt, now)

    def _ask(self, attempt: ProposalRound, now: float) -> None:
        """Send the attempt's question to those who have not answered it."""
        self._asked_at = now
        question: Prepare | Accept = Prepare(self.voter, attempt.view.epoch + 1, attempt.ballot)
        if attempt.value is not None:
            question = Accept(self.voter, attempt.ballot, attempt.value)
        for voter in attempt.unanswered():
            self.emit(Send(voter.address, question))

    def _ask_again(self, attempt: ProposalRound, now: float) -> None:
        if now - self._asked_at >= ASK_AGAIN_S:
            self._ask(attempt, now)

    def promised(self, answer: Promise, now: float) -> None:
        """A voter's promise."""
        if self._attempt is not None and self._attempt.promise(answer):
            self._ask(self._attempt, now)

    def refused(self, answer: Refusal, now: float) -> None:
        """A voter has promised another ballot: wait, and come with a higher one."""
        if self._attempt is None or answer.epoch != self._attempt.view.epoch + 1:
            return
        self._round = max(self._round, answer.promised.round)
        if answer.ballot == self._attempt.ballot:
            self._attempt = None
            self._not_before = now + ATTEMPT_S / 2 + self._spread(self._tries)

    def accepted(self, answer: Accepted) -> View | None:
        """A voter's acceptance; the decided view once a majority has accepted."""
        return None if self._attempt is None else self._attempt.accepted(answer)


def _alive(voter: Voter, peers: Mapping[str, PeerStatus]) -> bool:
    peer = peers.get(voter.address)
    return peer is not None and peer.live and peer.voter == voter and peer.disk_ok


def _since(before: float | None, holds: bool, now: float) -> float | None:
    """From when a condition has held."""
    if not holds:
        return None
    return now if before is None else before


def _reaches_majority(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    return sum(_alive(voter, peers) for voter in view.voters) >= majority(view)
