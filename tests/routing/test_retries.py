"""Retries, shared budget, deadlines and final responses: sequences of events and their actions."""

from __future__ import annotations

import itertools

import pytest

from roselink.routing.events_and_actions import (
    AcquireSharedBudget,
    BudgetDecided,
    CancelAttempt,
    FailureReason,
    FinalResponse,
    FirstEvent,
    RequestClosed,
    SendAttempt,
)
from roselink.routing.fleet_decider import FleetDecider
from roselink.routing.outcome import Outcome
from tests.routing.builders import (
    AGAIN,
    MAY_HAVE_RUN,
    NOT_RUN,
    NOTHING,
    DeciderHarness,
    hosts,
    new_harness,
    only,
    result_of,
    with_backoff,
)


@pytest.mark.parametrize(
    ("outcome", "repeatable", "streaming", "expected"),
    [
        (Outcome.SUCCESS, True, False, NOTHING),
        (Outcome.SUCCESS, False, False, NOTHING),
        (Outcome.ERROR, True, False, AGAIN),
        (Outcome.ERROR, False, False, MAY_HAVE_RUN),
        (Outcome.ERROR, True, True, AGAIN),
        (Outcome.ERROR, False, True, MAY_HAVE_RUN),
        (Outcome.TIMEOUT, True, False, AGAIN),
        (Outcome.TIMEOUT, False, False, MAY_HAVE_RUN),
        (Outcome.TIMEOUT, True, True, AGAIN),
        (Outcome.TIMEOUT, False, True, MAY_HAVE_RUN),
        (Outcome.RESET, True, False, AGAIN),
        (Outcome.RESET, False, False, MAY_HAVE_RUN),
        (Outcome.RESET, True, True, AGAIN),
        (Outcome.RESET, False, True, MAY_HAVE_RUN),
        (Outcome.FULL, True, False, AGAIN),
        (Outcome.FULL, False, False, AGAIN),
        (Outcome.FULL, False, True, AGAIN),
        (Outcome.CONNECT_FAILED, True, False, AGAIN),
        (Outcome.CONNECT_FAILED, False, False, AGAIN),
        (Outcome.CONNECT_FAILED, False, True, AGAIN),
        (Outcome.MOOT, False, False, AGAIN),
    ],
)
def test_outcome_by_kind_of_route(
    outcome: Outcome, *, repeatable: bool, streaming: bool, expected: str
) -> None:
    harness = new_harness()
    first = only(SendAttempt, harness.arrive(repeatable=repeatable, streaming=streaming))[0]
    actions = with_backoff(harness, harness.end_attempt(outcome), until=0.1)
    assert result_of(actions) == expected
    for again in only(SendAttempt, actions):
        assert (again.attempt, again.resume) == (1, False)
        assert again.host != first.host


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [
        (Outcome.FULL, NOT_RUN),
        (Outcome.ERROR, MAY_HAVE_RUN),
        (Outcome.TIMEOUT, MAY_HAVE_RUN),
        (Outcome.RESET, MAY_HAVE_RUN),
    ],
)
def test_a_route_of_one_attempt_gets_its_response_at_once(outcome: Outcome, reason: str) -> None:
    harness = new_harness()
    harness.arrive(max_attempts=1)
    (final,) = only(FinalResponse, harness.end_attempt(outcome))
    assert final.reason.value == reason
    assert (0.03 < final.retry_after_s < 0.25) == (reason == NOT_RUN)


def test_retry_after_grows_with_the_rejection_rate() -> None:
    harness = new_harness(tokens=False)
    waits = []
    for number in range(60):
        harness.arrive(number=number, max_attempts=1)
        waits += [
            f.retry_after_s
            for f in only(FinalResponse, harness.end_attempt(Outcome.FULL, number=number))
        ]
    assert sum(waits[:5]) < sum(waits[-5:])
    assert max(waits) <= 0.25


@pytest.mark.parametrize("most", [1, 2, 3, 5])
@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT])
def test_attempts_are_bounded(most: int, outcome: Outcome) -> None:
    harness = new_harness(count=8)
    actions = harness.arrive(max_attempts=most)
    for attempt in range(10):
        if only(FinalResponse, actions):
            break
        actions += with_backoff(harness, harness.end_attempt(outcome, attempt))
    assert len(only(SendAttempt, actions)) == most
    assert len(only(FinalResponse, actions)) == 1
    assert len({sent.host for sent in only(SendAttempt, actions)}) == most


def test_three_unsent_attempts_do_not_count_against_the_bound() -> None:
    harness = new_harness(count=8)
    actions = harness.arrive(max_attempts=1)
    for attempt in range(10):
        if only(FinalResponse, actions):
            break
        actions += with_backoff(harness, harness.end_attempt(Outcome.CONNECT_FAILED, attempt))
    assert len(only(SendAttempt, actions)) == 4
    assert only(FinalResponse, actions)[0].reason is FailureReason.NOT_RUN


def test_backoff_grows_with_each_failed_group() -> None:
    totals = [0.0] * 4
    for seed in range(40):
        harness = DeciderHarness(FleetDecider("z", seed, 0.2, 10.0))
        harness.list_hosts(*hosts(8))
        harness.earn_tokens()
        harness.arrive(max_attempts=5, target_latency_s=0.64)
        for attempt in range(4):
            failed_at = harness.now
            harness.end_attempt(Outcome.ERROR, attempt)
            while not only(SendAttempt, harness.advance(min(at for at, _ in harness.timers))):
                pass
            totals[attempt] += harness.now - failed_at
    for earlier, later in itertools.pairwise(totals):
        assert later > earlier * 1.5


def test_no_retry_past_the_deadline() -> None:
    harness = new_harness()
    harness.arrive(deadline=1.0)
    harness.now = 0.9999
    assert result_of(harness.end_attempt(Outcome.ERROR)) == MAY_HAVE_RUN


@pytest.mark.parametrize("repeatable", [True, False])
def test_an_attempt_without_response_ends_at_the_deadline(*, repeatable: bool) -> None:
    harness = new_harness(tokens=False)
    harness.arrive(repeatable=repeatable, streaming=True, deadline=2.0)
    actions = harness.advance(5.0)
    assert only(FinalResponse, actions) == [FinalResponse(1, FailureReason.OUT_OF_TIME)]
    assert only(CancelAttempt, actions) == [CancelAttempt(1, 0)]
    assert harness.end_attempt(Outcome.CANCELLED) == []


def test_a_running_stream_is_not_ended_at_the_deadline_nor_resumed_after_it() -> None:
    harness = new_harness()
    harness.arrive(streaming=True, deadline=2.0)
    harness.handle(FirstEvent(1, 0))
    assert harness.advance(5.0) == []
    (final,) = harness.end_attempt(Outcome.RESET, progressed=True)
    assert final == FinalResponse(1, FailureReason.OUT_OF_TIME)


def test_a_partial_response_that_is_no_stream_is_not_retried() -> None:
    harness = new_harness()
    harness.arrive()
    harness.handle(FirstEvent(1, 0))
    assert result_of(harness.end_attempt(Outcome.RESET, progressed=True)) == MAY_HAVE_RUN


def test_a_resumed_stream_raises_its_hosts_payoff_when_it_succeeds() -> None:
    harness = new_harness()
    harness.arrive(streaming=True)
    harness.handle(FirstEvent(1, 0))
    (again,) = only(
        SendAttempt,
        with_backoff(harness, harness.end_attempt(Outcome.RESET, progressed=True), until=0.1),
    )
    state = harness.decider._topology._hosts[again.host]
    before = state.payoff
    harness.advance(harness.now + 3.0)  # past the aim: no first event tells of it
    assert state.payoff == before
    harness.end_attempt(Outcome.SUCCESS, 1, progressed=True)
    assert state.payoff > before or before == 1.0


def test_first_sends_need_no_token_and_an_empty_bucket_requests_shared_budget() -> None:
    harness = new_harness(tokens=False)
    assert len(only(SendAttempt, harness.arrive())) == 1
    actions = with_backoff(harness, harness.end_attempt(Outcome.ERROR), until=0.1)
    assert actions == [AcquireSharedBudget(1, "s")]
    (sent,) = only(SendAttempt, harness.handle(BudgetDecided(1, allowed=True)))
    assert sent.attempt == 1
    assert harness.handle(BudgetDecided(1, allowed=True)) == []  # answered once


@pytest.mark.parametrize(
    ("outcome", "reason"), [(Outcome.FULL, NOT_RUN), (Outcome.RESET, MAY_HAVE_RUN)]
)
def test_a_denied_budget_is_final(outcome: Outcome, reason: str) -> None:
    harness = new_harness(tokens=False)
    harness.arrive()
    with_backoff(harness, harness.end_attempt(outcome), until=0.1)
    assert result_of(harness.handle(BudgetDecided(1, allowed=False))) == reason


def test_a_grant_past_the_deadline_sends_nothing() -> None:
    harness = new_harness(tokens=False)
    harness.arrive(deadline=1.0)
    with_backoff(harness, harness.end_attempt(Outcome.ERROR), until=0.1)
    harness.now = 1.0
    actions = harness.handle(BudgetDecided(1, allowed=True))
    assert not only(SendAttempt, actions)
    assert only(FinalResponse, actions)[0].reason is FailureReason.OUT_OF_TIME


def test_a_request_whose_client_left_is_cancelled_and_dropped() -> None:
    harness = new_harness()
    harness.arrive()
    assert harness.handle(RequestClosed(1)) == [CancelAttempt(1, 0)]
    assert harness.handle(RequestClosed(1)) == []
    assert harness.end_attempt(Outcome.CANCELLED) == []
    assert harness.advance(10.0) == []


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT])
@pytest.mark.parametrize(("repeatable", "expected"), [(True, AGAIN), (False, MAY_HAVE_RUN)])
def test_a_broken_stream_is_resumed_at_another_host_if_repeatable(
    outcome: Outcome, *, repeatable: bool, expected: str
) -> None:
    harness = new_harness()
    first = only(SendAttempt, harness.arrive(repeatable=repeatable, streaming=True))[0]
    harness.handle(FirstEvent(1, 0))
    actions = with_backoff(harness, harness.end_attempt(outcome, progressed=True), until=0.1)
    assert result_of(actions) == expected
    for again in only(SendAttempt, actions):
        assert again.resume
        assert again.host != first.host


def test_a_relayed_failure_is_final() -> None:
    harness = new_harness()
    harness.arrive()
    assert harness.end_attempt(Outcome.ERROR, relayed=True) == []
    assert harness.advance(10.0) == []


def test_a_host_at_the_wrong_address_is_ejected_and_the_request_retried() -> None:
    harness = new_harness()
    first = only(SendAttempt, harness.arrive(repeatable=False))[0]
    actions = with_backoff(harness, harness.end_attempt(Outcome.FULL, wrong_host=True), until=0.1)
    assert result_of(actions) == AGAIN
    picks = {only(SendAttempt, harness.arrive(number=n))[0].host for n in range(2, 40)}
    assert first.host not in picks
