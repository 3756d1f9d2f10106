"""One view an epoch is decided, whatever is lost, doubled or restarted."""

from __future__ import annotations

import random

import pytest

from roselink.coordination.views import first_view
from roselink.coordination.votes import Acceptor, ProposalRound
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

VIEW = first_view("abc")
A, B, C = VIEW.voters
OUTSIDER = Voter("d", 0)
LOW, HIGH = Ballot(1, "a", 5), Ballot(2, "b", 6)
ONE, TWO = View(2, VIEW.voters, VIEW.chain[:2]), View(2, VIEW.voters, VIEW.chain[1:])


def voting(**changes: object) -> Acceptor:
    own = Acceptor(C, VIEW)
    for name, value in changes.items():
        setattr(own, name, value)
    return own


@pytest.mark.parametrize(
    ("own", "asked", "expected"),
    [
        (voting(), Prepare(A, 2, LOW), Promise(C, 2, LOW, None, None)),
        (voting(promised=HIGH), Prepare(A, 2, LOW), Refusal(C, 2, LOW, HIGH)),
        (voting(promised=LOW), Prepare(A, 2, LOW), Promise(C, 2, LOW, None, None)),
        (
            voting(promised=LOW, accepted=LOW, proposal=ONE),
            Prepare(B, 2, HIGH),
            Promise(C, 2, HIGH, LOW, ONE),
        ),
        (voting(), Prepare(A, 3, LOW), None),
        (voting(), Prepare(A, 1, LOW), None),
        (voting(voter=OUTSIDER), Prepare(A, 2, LOW), None),
        (voting(voter=Voter("c", 8)), Prepare(A, 2, LOW), None),
        (voting(view=None), Prepare(A, 1, LOW), None),
    ],
)
def test_phase_one(own: Acceptor, asked: Prepare, expected: object) -> None:
    assert own.prepare(asked) == expected


@pytest.mark.parametrize(
    ("own", "asked", "expected"),
    [
        (voting(), Accept(A, LOW, ONE), Accepted(C, 2, LOW)),
        (voting(promised=LOW), Accept(A, LOW, ONE), Accepted(C, 2, LOW)),
        (voting(promised=HIGH), Accept(A, LOW, ONE), Refusal(C, 2, LOW, HIGH)),
        (voting(promised=LOW), Accept(B, HIGH, TWO), Accepted(C, 2, HIGH)),
        (voting(voter=OUTSIDER), Accept(A, LOW, ONE), None),
        (voting(view=ONE), Accept(A, LOW, ONE), None),
    ],
)
def test_phase_two(own: Acceptor, asked: Accept, expected: object) -> None:
    assert own.accept(asked) == expected


@pytest.mark.parametrize(
    ("own", "epoch", "expected"),
    [
        (voting(), 1, True),
        (voting(promised=HIGH), 1, True),
        (voting(accepted=LOW, proposal=ONE), 1, False),
        (voting(), 2, False),
        (voting(view=ONE), 1, False),
        (voting(view=ONE), 2, True),
        (voting(voter=OUTSIDER), 1, False),
    ],
)
def test_newest(own: Acceptor, epoch: int, expected: bool) -> None:
    assert own.newest(epoch) is expected


def test_each_change_has_a_version_and_an_answer_given_again_has_none() -> None:
    own = voting()
    versions = [own.version]
    for step in (Prepare(A, 2, LOW), Prepare(A, 2, LOW), Accept(A, LOW, ONE), Accept(A, LOW, ONE)):
        _ = own.prepare(step) if isinstance(step, Prepare) else own.accept(step)
        versions.append(own.version)
    assert versions == [0, 1, 1, 2, 2]


def test_a_new_view_clears_the_votes_and_an_old_one_is_passed_over() -> None:
    own = voting(promised=HIGH, accepted=LOW, proposal=ONE)
    assert own.adopt(ONE)
    assert own.record() == AcceptorState(C, ONE, None, None, None)
    assert not own.adopt(TWO)
    assert own.view == ONE


def test_an_attempt_takes_up_what_may_be_decided() -> None:
    attempt = ProposalRound(VIEW, Ballot(9, "a", 5), ONE, 0.0)
    assert attempt.unanswered() == [A, B, C]
    assert not attempt.promise(Promise(A, 2, attempt.ballot, None, None))
    assert attempt.unanswered() == [B, C]
    assert attempt.promise(Promise(C, 2, attempt.ballot, HIGH, TWO))
    assert attempt.value == TWO and attempt.unanswered() == [A, B, C]
    assert attempt.accepted(Accepted(A, 2, attempt.ballot)) is None
    assert attempt.unanswered() == [B, C]


@pytest.mark.parametrize(
    "answer",
    [
        Promise(B, 3, Ballot(9, "a", 5), None, None),
        Promise(B, 2, LOW, None, None),
        Promise(OUTSIDER, 2, Ballot(9, "a", 5), None, None),
        Promise(Voter("b", 8), 2, Ballot(9, "a", 5), None, None),
        Promise(A, 2, Ballot(9, "a", 5), None, None),
    ],
)
def test_promises_that_do_not_count(answer: Promise) -> None:
    attempt = ProposalRound(VIEW, Ballot(9, "a", 5), ONE, 0.0)
    assert not attempt.promise(Promise(A, 2, attempt.ballot, None, None))
    assert not attempt.promise(answer)
    assert attempt.value is None


@pytest.mark.parametrize("seed", range(300))
def test_one_value_is_decided_in_any_order_of_messages(seed: int) -> None:
    draw = random.Random(seed)
    view = first_view("abcde"[: draw.choice([3, 4, 5])])
    voters = {voter: Acceptor(voter, view) for voter in view.voters}
    attempts: list[ProposalRound] = []
    flying: list[tuple[Voter, ProposalRound, Prepare | Accept]] = []
    decided: set[View] = set()
    for step in range(400):
        if step % 40 == 0:
            voter = draw.choice(view.voters)
            wanted = View(2, view.voters, tuple(draw.sample(view.chain, 2)))
            attempt = ProposalRound(
                view, Ballot(step // 80 + 1, voter.address, step + 1), wanted, 0.0
            )
            attempts.append(attempt)
            flying += [(to, attempt, Prepare(voter, 2, attempt.ballot)) for to in view.voters]
        if not flying:
            continue
        place = draw.randrange(len(flying))
        to, attempt, message = flying[place] if draw.random() < 0.1 else flying.pop(place)
        if draw.random() < 0.1:
            continue
        if draw.random() < 0.1:
            voters[to] = Acceptor.restored(voters[to].record())
        own = voters[to]
        answer = own.prepare(message) if isinstance(message, Prepare) else own.accept(message)
        if isinstance(answer, Promise):
            if attempt.promise(answer) and attempt.value is not None:
                accept = Accept(answer.sender, attempt.ballot, attempt.value)
                flying += [(voter, attempt, accept) for voter in view.voters]
        elif isinstance(answer, Accepted):
            value = attempt.accepted(answer)
            if value is not None:
                decided.add(value)
    assert len(decided) <= 1
