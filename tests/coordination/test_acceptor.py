"""One acceptor's replies and the state that it keeps."""

from __future__ import annotations

import pytest

from roselink.coordination.acceptor import Acceptor
from roselink.coordination.views import first_view
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


def acceptor(**changes: object) -> Acceptor:
    own = Acceptor(C, VIEW)
    for name, value in changes.items():
        setattr(own, name, value)
    return own


@pytest.mark.parametrize(
    ("own", "message", "expected"),
    [
        (acceptor(), Prepare(A, 2, LOW), Promise(C, 2, LOW, None, None)),
        (acceptor(promised=HIGH), Prepare(A, 2, LOW), Refusal(C, 2, LOW, HIGH)),
        (acceptor(promised=LOW), Prepare(A, 2, LOW), Promise(C, 2, LOW, None, None)),
        (
            acceptor(promised=LOW, accepted=LOW, proposal=ONE),
            Prepare(B, 2, HIGH),
            Promise(C, 2, HIGH, LOW, ONE),
        ),
        (acceptor(), Prepare(A, 3, LOW), None),
        (acceptor(), Prepare(A, 1, LOW), None),
        (acceptor(voter=OUTSIDER), Prepare(A, 2, LOW), None),
        (acceptor(voter=Voter("c", 8)), Prepare(A, 2, LOW), None),
        (acceptor(view=None), Prepare(A, 1, LOW), None),
    ],
)
def test_phase_one(own: Acceptor, message: Prepare, expected: object) -> None:
    assert own.prepare(message) == expected


@pytest.mark.parametrize(
    ("own", "message", "expected"),
    [
        (acceptor(), Accept(A, LOW, ONE), Accepted(C, 2, LOW)),
        (acceptor(promised=LOW), Accept(A, LOW, ONE), Accepted(C, 2, LOW)),
        (acceptor(promised=HIGH), Accept(A, LOW, ONE), Refusal(C, 2, LOW, HIGH)),
        (acceptor(promised=LOW), Accept(B, HIGH, TWO), Accepted(C, 2, HIGH)),
        (acceptor(voter=OUTSIDER), Accept(A, LOW, ONE), None),
        (acceptor(view=ONE), Accept(A, LOW, ONE), None),
    ],
)
def test_phase_two(own: Acceptor, message: Accept, expected: object) -> None:
    assert own.accept(message) == expected


@pytest.mark.parametrize(
    ("own", "epoch", "expected"),
    [
        (acceptor(), 1, True),
        (acceptor(promised=HIGH), 1, True),
        (acceptor(accepted=LOW, proposal=ONE), 1, False),
        (acceptor(), 2, False),
        (acceptor(view=ONE), 1, False),
        (acceptor(view=ONE), 2, True),
        (acceptor(voter=OUTSIDER), 1, False),
    ],
)
def test_newest(*, own: Acceptor, epoch: int, expected: bool) -> None:
    assert own.is_newest(epoch) is expected


def test_each_change_has_a_version_and_a_repeated_reply_has_none() -> None:
    own = acceptor()
    versions = [own.version]
    for step in (Prepare(A, 2, LOW), Prepare(A, 2, LOW), Accept(A, LOW, ONE), Accept(A, LOW, ONE)):
        _ = own.prepare(step) if isinstance(step, Prepare) else own.accept(step)
        versions.append(own.version)
    assert versions == [0, 1, 1, 2, 2]


def test_a_new_view_clears_the_votes_and_an_old_one_is_ignored() -> None:
    own = acceptor(promised=HIGH, accepted=LOW, proposal=ONE)
    assert own.enter(ONE)
    assert own.to_record() == AcceptorState(C, ONE, None, None, None)
    assert not own.enter(TWO)
    assert own.view == ONE
