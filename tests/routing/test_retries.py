"""Retries, shared budget, deadlines and final responses."""

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
    ATTEMPT_SENT,
    MAY_HAVE_RUN,
    NO_ACTION,
    NOT_RUN,
    DeciderHarness,
    after_backoff,
    hosts,
    new_harness,
    of_type,
    result_of,
)


@pytest.mark.parametrize(
    ("outcome", "repeatable", "streaming", "expected"),
    [
        (Outcome.SUCCESS, True, False, NO_ACTION),
        (Outcome.SUCCESS, False, False, NO_ACTION),
        (Outcome.ERROR, True, False, ATTEMPT_SENT),
        (Outcome.ERROR, False, False, MAY_HAVE_RUN),
        (Outcome.ERROR, True, True, ATTEMPT_SENT),
        (Outcome.ERROR, False, True, MAY_HAVE_RUN),
        (Outcome.TIMEOUT, True, False, ATTEMPT_SENT),
        (Outcome.TIMEOUT, False, False, MAY_HAVE_RUN),
        (Outcome.TIMEOUT, True, True, ATTEMPT_SENT),
        (Outcome.TIMEOUT, False, True, MAY_HAVE_RUN),
        (Outcome.RESET, True, False, ATTEMPT_SENT),
        (Outcome.RESET, False, False, MAY_HAVE_RUN),
        (Outcome.RESET, True, True, ATTEMPT_SENT),
        (Outcome.RESET, False, True, MAY_HAVE_RUN),
        (Outcome.FULL, True, False, ATTEMPT_SENT),
        (Outcome.FULL, False, False, ATTEMPT_SENT),
        (Outcome.FULL, False, True, ATTEMPT_SENT),
        (Outcome.CONNECT_FAILED, True, False, ATTEMPT_SENT),
        (Outcome.CONNECT_FAILED, False, False, ATTEMPT_SENT),
        (Outcome.CONNECT_FAILED, False, True, ATTEMPT_SENT),
        (Outcome.MOOT, False, False, ATTEMPT_SENT),
    ],
)
def test_retry_decision_by_outcome_and_kind_of_route(
    outcome: Outcome, *, repeatable: bool, streaming: bool, expected: str
) -> None:
    harness = new_harness()
    first = of_type(SendAttempt, harness.arrive(repeatable=repeatable, streaming=streaming))[0]
    actions = after_backoff(harness, harness.end_attempt(outcome), until=0.1)
    assert result_of(actions) == expected
    for retry in of_type(SendAttempt, actions):
        assert (retry.attempt, retry.resume) == (1, False)
        assert retry.host != first.host


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [
        (Outcome.FULL, NOT_RUN),
        (Outcome.ERROR, MAY_HAVE_RUN),
        (Outcome.TIMEOUT, MAY_HAVE_RUN),
        (Outcome.RESET, MAY_HAVE_RUN),
    ],
)
def test_route_with_one_attempt_gets_the_final_response_without_retry(
    outcome: Outcome, reason: str
) -> None:
    harness = new_harness()
    harness.arrive(max_attempts=1)
    (final,) = of_type(FinalResponse, harness.end_attempt(outcome))
    assert final.reason.value == reason
    assert (0.03 < final.retry_after_s < 0.25) == (reason == NOT_RUN)


def test_retry_after_grows_with_the_rejection_rate() -> None:
    harness = new_harness(tokens=False)
    waits = []
    for number in range(60):
        harness.arrive(number=number, max_attempts=1)
        waits += [
            f.retry_after_s
            for f in of_type(FinalResponse, harness.end_attempt(Outcome.FULL, number=number))
        ]
    assert sum(waits[:5]) < sum(waits[-5:])
    assert max(waits) <= 0.25


@pytest.mark.parametrize("max_attempts", [1, 2, 3, 5])
@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT])
def test_attempts_stop_at_the_limit(max_attempts: int, outcome: Outcome) -> None:
    harness = new_harness(count=8)
    actions = harness.arrive(max_attempts=max_attempts)
    for attempt in range(10):
        if of_type(FinalResponse, actions):
            break
        actions += after_backoff(harness, harness.end_attempt(outcome, attempt))
    assert len(of_type(SendAttempt, actions)) == max_attempts
    assert len(of_type(FinalResponse, actions)) == 1
    assert len({sent.host for sent in of_type(SendAttempt, actions)}) == max_attempts


def test_three_unsent_attempts_do_not_count_against_the_limit() -> None:
    harness = new_harness(count=8)
    actions = harness.arrive(max_attempts=1)
    for attempt in range(10):
        if of_type(FinalResponse, actions):
            break
        actions += after_backoff(harness, harness.end_attempt(Outcome.CONNECT_FAILED, attempt))
    assert len(of_type(SendAttempt, actions)) == 4
    assert of_type(FinalResponse, actions)[0].reason is FailureReason.NOT_RUN


def test_backoff_grows_with_each_failed_retry_group() -> None:
    total_delays_s = [0.0] * 4
    for seed in range(40):
        harness = DeciderHarness(FleetDecider("z", seed, 0.2, 10.0))
        harness.set_hosts(*hosts(8))
        harness.earn_tokens()
        harness.arrive(max_attempts=5, target_latency_s=0.64)
        for attempt in range(4):
            failed_at = harness.now
            harness.end_attempt(Outcome.ERROR, attempt)
            while not of_type(SendAttempt, harness.advance(min(at for at, _ in harness.timers))):
                pass
            total_delays_s[attempt] += harness.now - failed_at
    for earlier, later in itertools.pairwise(total_delays_s):
        assert later > earlier * 1.5


def test_no_retry_that_would_pass_the_deadline() -> None:
    harness = new_harness()
    harness.arrive(deadline=1.0)
    harness.now = 0.9999
    assert result_of(harness.end_attempt(Outcome.ERROR)) == MAY_HAVE_RUN


@pytest.mark.parametrize("repeatable", [True, False])
def test_request_without_response_ends_at_the_deadline(*, repeatable: bool) -> None:
    harness = new_harness(tokens=False)
    harness.arrive(repeatable=repeatable, streaming=True, deadline=2.0)
    actions = harness.advance(5.0)
    assert of_type(FinalResponse, actions) == [FinalResponse(1, FailureReason.OUT_OF_TIME)]
    assert of_type(CancelAttempt, actions) == [CancelAttempt(1, 0)]
    assert harness.end_attempt(Outcome.CANCELLED) == []


def test_running_stream_continues_past_the_deadline_and_is_not_resumed_after_it() -> None:
    harness = new_harness()
    harness.arrive(streaming=True, deadline=2.0)
    harness.handle(FirstEvent(1, 0))
    assert harness.advance(5.0) == []
    (final,) = harness.end_attempt(Outcome.RESET, progressed=True)
    assert final == FinalResponse(1, FailureReason.OUT_OF_TIME)


def test_partly_relayed_response_that_is_not_a_stream_is_not_retried() -> None:
    harness = new_harness()
    harness.arrive()
    harness.handle(FirstEvent(1, 0))
    assert result_of(harness.end_attempt(Outcome.RESET, progressed=True)) == MAY_HAVE_RUN


def test_resumed_stream_raises_the_payoff_of_its_host_on_success_only() -> None:
    harness = new_harness()
    harness.arrive(streaming=True)
    harness.handle(FirstEvent(1, 0))
    (retry,) = of_type(
        SendAttempt,
        after_backoff(harness, harness.end_attempt(Outcome.RESET, progressed=True), until=0.1),
    )
    record = harness.decider._topology._hosts[retry.host]
    before = record.payoff
    # Past the target latency, which does not apply: a resumed stream has no first event.
    harness.advance(harness.now + 3.0)
    assert record.payoff == before
    harness.end_attempt(Outcome.SUCCESS, 1, progressed=True)
    assert record.payoff > before or before == 1.0


def test_first_send_needs_no_token_and_retry_without_tokens_requests_shared_budget() -> None:
    harness = new_harness(tokens=False)
    assert len(of_type(SendAttempt, harness.arrive())) == 1
    actions = after_backoff(harness, harness.end_attempt(Outcome.ERROR), until=0.1)
    assert actions == [AcquireSharedBudget(1, "s")]
    (sent,) = of_type(SendAttempt, harness.handle(BudgetDecided(1, allowed=True)))
    assert sent.attempt == 1
    assert harness.handle(BudgetDecided(1, allowed=True)) == []  # a second reply is ignored


@pytest.mark.parametrize(
    ("outcome", "reason"), [(Outcome.FULL, NOT_RUN), (Outcome.RESET, MAY_HAVE_RUN)]
)
def test_denied_shared_budget_ends_the_request(outcome: Outcome, reason: str) -> None:
    harness = new_harness(tokens=False)
    harness.arrive()
    after_backoff(harness, harness.end_attempt(outcome), until=0.1)
    assert result_of(harness.handle(BudgetDecided(1, allowed=False))) == reason


def test_shared_budget_granted_after_the_deadline_is_not_used() -> None:
    harness = new_harness(tokens=False)
    harness.arrive(deadline=1.0)
    after_backoff(harness, harness.end_attempt(Outcome.ERROR), until=0.1)
    harness.now = 1.0
    actions = harness.handle(BudgetDecided(1, allowed=True))
    assert not of_type(SendAttempt, actions)
    assert of_type(FinalResponse, actions)[0].reason is FailureReason.OUT_OF_TIME


def test_request_is_cancelled_and_removed_when_its_client_disconnects() -> None:
    harness = new_harness()
    harness.arrive()
    assert harness.handle(RequestClosed(1)) == [CancelAttempt(1, 0)]
    assert harness.handle(RequestClosed(1)) == []
    assert harness.end_attempt(Outcome.CANCELLED) == []
    assert harness.advance(10.0) == []


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT])
@pytest.mark.parametrize(("repeatable", "expected"), [(True, ATTEMPT_SENT), (False, MAY_HAVE_RUN)])
def test_interrupted_stream_is_resumed_at_another_host_if_repeatable(
    outcome: Outcome, *, repeatable: bool, expected: str
) -> None:
    harness = new_harness()
    first = of_type(SendAttempt, harness.arrive(repeatable=repeatable, streaming=True))[0]
    harness.handle(FirstEvent(1, 0))
    actions = after_backoff(harness, harness.end_attempt(outcome, progressed=True), until=0.1)
    assert result_of(actions) == expected
    for retry in of_type(SendAttempt, actions):
        assert retry.resume
        assert retry.host != first.host


def test_relayed_error_response_is_final() -> None:
    harness = new_harness()
    harness.arrive()
    assert harness.end_attempt(Outcome.ERROR, relayed=True) == []
    assert harness.advance(10.0) == []


def test_host_at_the_wrong_address_is_ejected_and_the_request_retried() -> None:
    harness = new_harness()
    first = of_type(SendAttempt, harness.arrive(repeatable=False))[0]
    actions = after_backoff(harness, harness.end_attempt(Outcome.FULL, wrong_host=True), until=0.1)
    assert result_of(actions) == ATTEMPT_SENT
    picks = {of_type(SendAttempt, harness.arrive(number=n))[0].host for n in range(2, 40)}
    assert first.host not in picks
