"""When a process that leaves may end: its peers have a view without it on their disks."""

from __future__ import annotations

from dataclasses import replace

import pytest

from roselink.coordination.departure import (
    LEAVE_TIMEOUT_S,
    QUESTION_INTERVAL_S,
    QUESTION_ROUND,
    Departure,
)
from roselink.coordination.effects import Effect, Persist, Send
from roselink.coordination.peer_status import ViewPolicy
from roselink.coordination.views import first_view
from roselink.protocol.chain import (
    AcceptorState,
    Ballot,
    Decided,
    Prepare,
    Promise,
    Refusal,
    View,
    Voter,
)
from tests.coordination.test_member import SEEDS, STORED, A, B, C, Harness, heartbeat_of

FOUR = first_view((*SEEDS, "d:1"))
D = FOUR.voters[3]
WITHOUT_A = View(2, (B, C, D), FOUR.chain[1:])
WITHOUT_REPLICA_OF_A = View(2, (A, B, C), FOUR.chain[1:3])
QUESTION = Ballot(QUESTION_ROUND, "a:1", 40)


def leaving() -> tuple[Departure, list[Effect]]:
    effects: list[Effect] = []
    departure = Departure(A, 40, ViewPolicy(1), effects.append)
    departure.request(0.0)
    return departure, effects


def stored_by(voter: Voter, epoch: int = 3) -> Promise:
    return Promise(voter, epoch, QUESTION, None, None)


def complete_saves(harness: Harness) -> None:
    while any(isinstance(effect, Persist) for effect in harness.effects):
        harness.save()


def test_process_has_left_once_a_majority_of_the_voters_has_the_view_on_disk() -> None:
    departure, _ = leaving()
    departure.advance(WITHOUT_A, 0.0)
    assert not departure.is_complete(WITHOUT_A)
    departure.on_reply(stored_by(B))
    assert not departure.is_complete(WITHOUT_A)
    departure.on_reply(Refusal(C, 3, QUESTION, replace(QUESTION, address="d:1")))
    assert departure.is_complete(WITHOUT_A)


def test_process_stays_while_a_view_is_in_flight_that_may_add_it() -> None:
    """Four machines that were joining ended before they knew that they had become voters."""
    departure, _ = leaving()
    departure.advance(WITHOUT_A, 0.0)
    for reply in (stored_by(B), stored_by(D), Refusal(C, 3, QUESTION, Ballot(4, "c:1", 1))):
        departure.on_reply(reply)
    assert not departure.is_complete(WITHOUT_A)
    with_a = replace(WITHOUT_A, epoch=3, voters=FOUR.voters)
    departure.advance(with_a, 0.1)
    assert not departure.is_complete(with_a)
    without_a = replace(WITHOUT_A, epoch=4)
    departure.advance(without_a, 0.2)
    for voter in (B, C):
        departure.on_reply(stored_by(voter, 5))
    assert departure.is_complete(without_a)


def test_replies_of_others_than_the_voters_and_of_other_epochs_do_not_count() -> None:
    departure, _ = leaving()
    departure.advance(WITHOUT_A, 0.0)
    for reply in (stored_by(A), stored_by(Voter("b:1", 9)), stored_by(B, 2), stored_by(C, 4)):
        departure.on_reply(reply)
    departure.on_reply(stored_by(D))
    assert not departure.is_complete(WITHOUT_A)


def test_replies_about_a_former_view_do_not_count() -> None:
    departure, _ = leaving()
    departure.advance(WITHOUT_A, 0.0)
    departure.on_reply(stored_by(B))
    newer = replace(WITHOUT_A, epoch=3)
    assert not departure.is_complete(newer)
    departure.advance(newer, 0.01)
    departure.on_reply(stored_by(C, 4))
    assert not departure.is_complete(newer)


@pytest.mark.parametrize(
    ("view", "asks"),
    [
        pytest.param(FOUR, False, id="still in the chain"),
        pytest.param(View(2, FOUR.voters, FOUR.chain[1:]), False, id="still one of four voters"),
        pytest.param(WITHOUT_REPLICA_OF_A, True, id="one of as few voters as required"),
        pytest.param(WITHOUT_A, True, id="dropped"),
    ],
)
def test_only_a_view_that_drops_the_member_ends_its_process(*, view: View, asks: bool) -> None:
    departure, effects = leaving()
    departure.advance(view, 0.0)
    assert bool(effects) is asks
    for voter in (B, C, D):
        departure.on_reply(stored_by(voter, view.epoch + 1))
    assert departure.is_complete(view) is asks


def test_voters_that_have_not_replied_are_asked_again() -> None:
    departure, effects = leaving()
    departure.advance(WITHOUT_A, 0.0)
    assert effects == [Send(voter.address, Prepare(A, 3, QUESTION)) for voter in (B, C, D)]
    effects.clear()
    departure.on_reply(stored_by(C))
    departure.advance(WITHOUT_A, QUESTION_INTERVAL_S / 2)
    assert not effects
    departure.advance(WITHOUT_A, QUESTION_INTERVAL_S)
    assert [effect.to for effect in effects if isinstance(effect, Send)] == ["b:1", "d:1"]


def test_process_that_does_not_leave_asks_nothing() -> None:
    effects: list[Effect] = []
    departure = Departure(A, 40, ViewPolicy(1), effects.append)
    departure.advance(WITHOUT_A, 0.0)
    assert not effects
    assert not departure.is_overdue(100.0)


def test_voter_replies_only_once_its_view_is_on_disk() -> None:
    voter = Harness(replace(STORED, acceptor_state=AcceptorState(B, FOUR, None, None, None)))
    voter.sent()
    voter.deliver(Decided(A, WITHOUT_A))
    question = Prepare(A, 3, QUESTION)
    assert not [m for m in voter.deliver(question) if isinstance(m, Promise)]
    complete_saves(voter)
    assert [m for m in voter.sent() if isinstance(m, Promise)] == [stored_by(B)]


def test_question_excludes_no_proposal() -> None:
    voter = Harness(replace(STORED, acceptor_state=AcceptorState(B, WITHOUT_A, None, None, None)))
    voter.deliver(Prepare(A, 3, QUESTION))
    proposal = Prepare(C, 3, Ballot(1, "c:1", 7))
    voter.deliver(proposal)
    complete_saves(voter)
    assert voter.member.acceptor.promised == proposal.ballot


def test_leaving_process_ends_in_time_if_its_peers_can_decide_without_it() -> None:
    leaver = Harness(STORED)
    leaver.member.leave(0.0)
    for voter in (A, C):
        leaver.deliver(heartbeat_of(voter), LEAVE_TIMEOUT_S - 0.1)
    assert not leaver.member.may_end(LEAVE_TIMEOUT_S - 0.01)
    assert leaver.member.may_end(LEAVE_TIMEOUT_S)


def test_leaving_process_stays_while_its_peers_lack_a_majority_without_it() -> None:
    """Two voters of four that stay can't agree on a view; this one's vote lets them."""
    leaver = Harness(replace(STORED, acceptor_state=AcceptorState(B, FOUR, None, None, None)))
    leaver.member.leave(0.0)
    for voter in (C, D):
        leaver.deliver(heartbeat_of(voter), LEAVE_TIMEOUT_S)
    leaver.deliver(replace(heartbeat_of(A), leaving=True), LEAVE_TIMEOUT_S)
    assert not leaver.member.may_end(LEAVE_TIMEOUT_S + 0.1)
    assert leaver.member.may_end(LEAVE_TIMEOUT_S + 1.0)  # no peer has been heard since
