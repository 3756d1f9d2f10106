"""At most one view per epoch is decided, despite lost or duplicated messages and restarts."""

from __future__ import annotations

import random

import pytest

from roselink.coordination.acceptor import Acceptor
from roselink.coordination.proposal_round import ProposalRound
from roselink.coordination.views import first_view
from roselink.protocol.chain import (
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    View,
    Voter,
)

VIEW = first_view("abc")
A, B, C = VIEW.voters
OUTSIDER = Voter("d", 0)
LOW, HIGH = Ballot(1, "a", 5), Ballot(2, "b", 6)
ONE, TWO = View(2, VIEW.voters, VIEW.chain[:2]), View(2, VIEW.voters, VIEW.chain[1:])


def test_round_proposes_a_value_that_may_be_decided() -> None:
    current = ProposalRound(VIEW, Ballot(9, "a", 5), ONE, 0.0)
    assert current.pending_voters() == [A, B, C]
    assert not current.on_promise(Promise(A, 2, current.ballot, None, None))
    assert current.pending_voters() == [B, C]
    assert current.on_promise(Promise(C, 2, current.ballot, HIGH, TWO))
    assert current.value == TWO
    assert current.pending_voters() == [A, B, C]
    assert current.on_accepted(Accepted(A, 2, current.ballot)) is None
    assert current.pending_voters() == [B, C]


@pytest.mark.parametrize(
    "reply",
    [
        Promise(B, 3, Ballot(9, "a", 5), None, None),
        Promise(B, 2, LOW, None, None),
        Promise(OUTSIDER, 2, Ballot(9, "a", 5), None, None),
        Promise(Voter("b", 8), 2, Ballot(9, "a", 5), None, None),
        Promise(A, 2, Ballot(9, "a", 5), None, None),
    ],
)
def test_invalid_promise_is_not_counted(reply: Promise) -> None:
    current = ProposalRound(VIEW, Ballot(9, "a", 5), ONE, 0.0)
    assert not current.on_promise(Promise(A, 2, current.ballot, None, None))
    assert not current.on_promise(reply)
    assert current.value is None


def test_promise_in_phase_2_is_ignored() -> None:
    """Otherwise one ballot could propose two views, whose acceptances are counted together."""
    current = ProposalRound(VIEW, Ballot(9, "a", 5), ONE, 0.0)
    current.on_promise(Promise(A, 2, current.ballot, None, None))
    assert current.on_promise(Promise(B, 2, current.ballot, None, None))
    assert current.on_accepted(Accepted(A, 2, current.ballot)) is None
    assert not current.on_promise(Promise(C, 2, current.ballot, HIGH, TWO))
    assert current.value == ONE
    assert current.on_accepted(Accepted(B, 2, current.ballot)) == ONE


@pytest.mark.parametrize("seed", range(300))
def test_at_most_one_value_is_decided_for_any_message_order(seed: int) -> None:
    draw = random.Random(seed)
    view = first_view("abcde"[: draw.choice([3, 4, 5])])
    voters = {voter: Acceptor(voter, view) for voter in view.voters}
    rounds: list[ProposalRound] = []
    in_flight: list[tuple[Voter, ProposalRound, Prepare | Accept]] = []
    decided: set[View] = set()
    for step in range(400):
        if step % 40 == 0:
            voter = draw.choice(view.voters)
            preferred = View(2, view.voters, tuple(draw.sample(view.chain, 2)))
            current = ProposalRound(
                view, Ballot(step // 80 + 1, voter.address, step + 1), preferred, 0.0
            )
            rounds.append(current)
            in_flight += [(to, current, Prepare(voter, 2, current.ballot)) for to in view.voters]
        if not in_flight:
            continue
        index = draw.randrange(len(in_flight))
        to, current, message = in_flight[index] if draw.random() < 0.1 else in_flight.pop(index)
        if draw.random() < 0.1:
            continue
        if draw.random() < 0.1:
            voters[to] = Acceptor.from_record(voters[to].to_record())
        acceptor = voters[to]
        reply = (
            acceptor.prepare(message) if isinstance(message, Prepare) else acceptor.accept(message)
        )
        if isinstance(reply, Promise):
            if current.on_promise(reply) and current.value is not None:
                accept = Accept(reply.sender, current.ballot, current.value)
                in_flight += [(voter, current, accept) for voter in view.voters]
        elif isinstance(reply, Accepted):
            value = current.on_accepted(reply)
            if value is not None:
                decided.add(value)
    assert len(decided) <= 1
