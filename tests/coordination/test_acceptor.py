"""The acceptor's replies, and the state that it records."""

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


def make_acceptor(**changes: object) -> Acceptor:
    acceptor = Acceptor(C, VIEW)
    for name, value in changes.items():
        setattr(acceptor, name, value)
    return acceptor


@pytest.mark.parametrize(
    ("acceptor", "message", "expected"),
    [
        (make_acceptor(), Prepare(A, 2, LOW), Promise(C, 2, LOW, None, None)),
        (make_acceptor(promised=HIGH), Prepare(A, 2, LOW), Refusal(C, 2, LOW, HIGH)),
        (make_acceptor(promised=LOW), Prepare(A, 2, LOW), Promise(C, 2, LOW, None, None)),
        (
            make_acceptor(promised=LOW, accepted=LOW, proposal=ONE),
            Prepare(B, 2, HIGH),
            Promise(C, 2, HIGH, LOW, ONE),
        ),
        (make_acceptor(), Prepare(A, 3, LOW), None),
        (make_acceptor(), Prepare(A, 1, LOW), None),
        (make_acceptor(voter=OUTSIDER), Prepare(A, 2, LOW), None),
        (make_acceptor(voter=Voter("c", 8)), Prepare(A, 2, LOW), None),
        (make_acceptor(view=None), Prepare(A, 1, LOW), None),
    ],
)
def test_reply_to_prepare(acceptor: Acceptor, message: Prepare, expected: object) -> None:
    assert acceptor.prepare(message) == expected


@pytest.mark.parametrize(
    ("acceptor", "message", "expected"),
    [
        (make_acceptor(), Accept(A, LOW, ONE), Accepted(C, 2, LOW)),
        (make_acceptor(promised=LOW), Accept(A, LOW, ONE), Accepted(C, 2, LOW)),
        (make_acceptor(promised=HIGH), Accept(A, LOW, ONE), Refusal(C, 2, LOW, HIGH)),
        (make_acceptor(promised=LOW), Accept(B, HIGH, TWO), Accepted(C, 2, HIGH)),
        (make_acceptor(voter=OUTSIDER), Accept(A, LOW, ONE), None),
        (make_acceptor(view=ONE), Accept(A, LOW, ONE), None),
    ],
)
def test_reply_to_accept(acceptor: Acceptor, message: Accept, expected: object) -> None:
    assert acceptor.accept(message) == expected


@pytest.mark.parametrize(
    ("acceptor", "epoch", "expected"),
    [
        (make_acceptor(), 1, True),
        (make_acceptor(promised=HIGH), 1, True),
        (make_acceptor(accepted=LOW, proposal=ONE), 1, False),
        (make_acceptor(), 2, False),
        (make_acceptor(view=ONE), 1, False),
        (make_acceptor(view=ONE), 2, True),
        (make_acceptor(voter=OUTSIDER), 1, False),
    ],
)
def test_epoch_is_newest_without_acceptance_or_later_view(
    *, acceptor: Acceptor, epoch: int, expected: bool
) -> None:
    assert acceptor.is_newest(epoch) is expected


def test_version_grows_with_each_change_and_not_with_repeated_requests() -> None:
    acceptor = make_acceptor()
    versions = [acceptor.version]
    for step in (Prepare(A, 2, LOW), Prepare(A, 2, LOW), Accept(A, LOW, ONE), Accept(A, LOW, ONE)):
        _ = acceptor.prepare(step) if isinstance(step, Prepare) else acceptor.accept(step)
        versions.append(acceptor.version)
    assert versions == [0, 1, 1, 2, 2]


def test_newer_view_clears_votes_and_older_view_is_ignored() -> None:
    acceptor = make_acceptor(promised=HIGH, accepted=LOW, proposal=ONE)
    assert acceptor.enter(ONE)
    assert acceptor.to_record() == AcceptorState(C, ONE, None, None, None)
    assert not acceptor.enter(TWO)
    assert acceptor.view == ONE
