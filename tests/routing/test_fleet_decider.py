"""The decider as a whole: sequences of events and the actions they bring."""

from __future__ import annotations

import itertools
import random

import pytest

from roselink.routing.events_and_actions import (
    AcquireSharedBudget,
    Action,
    AttemptEnded,
    BudgetDecided,
    CancelAttempt,
    FailureReason,
    FinalResponse,
    FirstEvent,
    RequestArrived,
    RequestClosed,
    RequestFacts,
    SendAttempt,
    TopologyChanged,
)
from roselink.routing.fleet_decider import FleetDecider
from roselink.routing.host_record import new_host_record
from roselink.routing.outcome import Outcome
from roselink.routing.ready_hosts import ReadyHosts
from tests.routing.builders import FACTS, DeciderHarness, host, hosts, only

AGAIN, NOT_RUN, MAY_HAVE_RUN, NOTHING = "again", "not_run", "may_have_run", "nothing"


def new_harness(count: int = 3, tokens: bool = True) -> DeciderHarness:
    harness = DeciderHarness()
    harness.list_hosts(*hosts(count))
    if tokens:
        harness.earn_tokens()
    return harness


def with_backoff(
    harness: DeciderHarness, actions: list[Action], until: float = 1.0
) -> list[Action]:
    """These actions and those of the backoff that follows."""
    return (
        actions + harness.advance(harness.now + until)
        if not only(FinalResponse, actions)
        else actions
    )


def result_of(actions: list[Action]) -> str:
    if finals := only(FinalResponse, actions):
        return finals[0].reason.value
    return AGAIN if only(SendAttempt, actions) else NOTHING


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
    outcome: Outcome, repeatable: bool, streaming: bool, expected: str
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
def test_an_attempt_without_response_ends_at_the_deadline(repeatable: bool) -> None:
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
    (sent,) = only(SendAttempt, harness.handle(BudgetDecided(1, True)))
    assert sent.attempt == 1
    assert harness.handle(BudgetDecided(1, True)) == []  # answered once


@pytest.mark.parametrize(
    ("outcome", "reason"), [(Outcome.FULL, NOT_RUN), (Outcome.RESET, MAY_HAVE_RUN)]
)
def test_a_denied_budget_is_final(outcome: Outcome, reason: str) -> None:
    harness = new_harness(tokens=False)
    harness.arrive()
    with_backoff(harness, harness.end_attempt(outcome), until=0.1)
    assert result_of(harness.handle(BudgetDecided(1, False))) == reason


def test_a_grant_past_the_deadline_sends_nothing() -> None:
    harness = new_harness(tokens=False)
    harness.arrive(deadline=1.0)
    with_backoff(harness, harness.end_attempt(Outcome.ERROR), until=0.1)
    harness.now = 1.0
    actions = harness.handle(BudgetDecided(1, True))
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
    outcome: Outcome, repeatable: bool, expected: str
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


# --- hedges


def slow_route(harness: DeciderHarness, **changes: object) -> None:
    """Teach the route a latency of 10 ms."""
    for number in range(100, 200):
        harness.arrive(number=number, **changes)
        harness.now += 0.01
        harness.end_attempt(Outcome.SUCCESS, number=number)


def test_a_slow_repeatable_request_is_hedged_and_the_first_success_cancels_the_other() -> None:
    harness = new_harness()
    slow_route(harness)
    first = only(SendAttempt, harness.arrive(number=1))[0]
    (hedge,) = only(SendAttempt, harness.advance(harness.now + 0.3))
    assert (hedge.attempt, hedge.resume) == (1, False)
    assert hedge.host != first.host
    assert harness.end_attempt(Outcome.SUCCESS, 1) == [CancelAttempt(1, 0)]
    assert harness.end_attempt(Outcome.CANCELLED, 0) == []
    assert harness.advance(harness.now + 10.0) == []


def test_a_failed_hedge_leaves_the_other_attempt_running() -> None:
    harness = new_harness()
    slow_route(harness)
    harness.arrive(number=1)
    harness.advance(harness.now + 0.3)
    assert harness.end_attempt(Outcome.RESET, 1) == []
    assert harness.end_attempt(Outcome.SUCCESS, 0) == []


@pytest.mark.parametrize(
    "changes", [{"repeatable": False}, {"max_attempts": 1}], ids=["may not run twice", "one host"]
)
def test_no_hedge_of_what_may_not_run_twice(changes: dict[str, object]) -> None:
    harness = new_harness()
    slow_route(harness, **changes)
    harness.arrive(number=1, **changes)
    assert harness.advance(harness.now + 3.0) == []


def test_no_hedge_without_plenty_of_budget() -> None:
    harness = new_harness(tokens=False)
    harness.arrive(streaming=True)
    assert harness.advance(harness.now + 3.0) == []


def send_streams(harness: DeciderHarness, numbers: range) -> list[SendAttempt]:
    """Streams, of which h0 serves none and the others all; returns those that went to h0."""
    unresponsive: list[SendAttempt] = []
    for number in numbers:
        sent = only(SendAttempt, harness.arrive(number=number, streaming=True))[0]
        if sent.host == "h0":
            unresponsive.append(sent)
        else:
            harness.end_attempt(Outcome.SUCCESS, number=number)
    return unresponsive


def test_a_stream_is_hedged_when_its_host_is_unresponsive_and_the_first_event_wins() -> None:
    harness = new_harness()
    unresponsive = send_streams(harness, range(100, 300))
    assert len(unresponsive) >= 2
    hedges = only(SendAttempt, harness.advance(0.7))
    assert hedges
    number = hedges[0].number
    assert hedges[0].host != "h0"
    assert (hedges[0].attempt, hedges[0].resume) == (1, False)
    assert harness.handle(FirstEvent(number, 1)) == [CancelAttempt(number, 0)]
    assert harness.handle(FirstEvent(number, 0)) == [CancelAttempt(number, 0)]  # too late: it lost
    assert harness.end_attempt(Outcome.CANCELLED, 0, number) == []
    assert harness.end_attempt(Outcome.SUCCESS, 1, number) == []


def test_a_stream_is_not_hedged_when_its_host_has_responded() -> None:
    harness = new_harness()
    unresponsive = send_streams(harness, range(100, 300))
    harness.now = 0.5
    harness.handle(FirstEvent(unresponsive[0].number, 0))
    assert only(SendAttempt, harness.advance(3.0)) == []


@pytest.mark.parametrize(("sure", "resting"), [(True, 5), (False, 3)])
def test_half_of_the_hosts_are_left_when_failures_are_uncertain(sure: bool, resting: int) -> None:
    pool = ReadyHosts()
    pool.replace([new_host_record(one) for one in hosts(6)])
    assert sum(pool.eject(state, 0.0, certain=sure) for state in pool.hosts) == resting


def test_no_hedge_after_the_first_event() -> None:
    harness = new_harness()
    harness.arrive(streaming=True)
    harness.handle(FirstEvent(1, 0))
    assert harness.advance(3.9) == []


# --- hosts


def test_with_no_host_a_request_waits_shortly_then_gets_retry_after() -> None:
    harness = DeciderHarness()
    assert harness.arrive() == []
    harness.now = 0.05
    (sent,) = only(SendAttempt, harness.list_hosts(host("new")))
    assert sent.host == "new"
    harness = DeciderHarness()
    harness.arrive()
    assert harness.advance(0.5) == [FinalResponse(1, FailureReason.NOT_RUN, 0.3)]
    assert harness.now <= 0.5


def test_draining_and_missing_hosts_take_nothing_new() -> None:
    harness = DeciderHarness()
    harness.list_hosts(host("a"), host("b"), host("c", ready=False), host("d", "other"))
    picks = {only(SendAttempt, harness.arrive(number=n))[0].host for n in range(200)}
    assert picks == {"a", "b"}
    harness.list_hosts(host("a", ready=False), host("b"))
    assert {only(SendAttempt, harness.arrive(number=n))[0].host for n in range(300, 400)} == {"b"}


def test_a_retry_due_with_the_event_that_takes_its_host_goes_elsewhere() -> None:
    harness = new_harness(2)
    first = only(SendAttempt, harness.arrive())[0]
    harness.end_attempt(Outcome.ERROR)
    harness.now = 1.0  # the backoff is over
    actions = harness.list_hosts(host(first.host))
    assert {sent.host for sent in only(SendAttempt, actions)} <= {first.host}


def test_the_only_host_is_retried_when_it_did_not_run() -> None:
    harness = new_harness(1)
    harness.arrive()
    assert result_of(with_backoff(harness, harness.end_attempt(Outcome.FULL), until=0.1)) == AGAIN


def test_requests_of_low_priority_are_rejected_at_once_where_every_host_is_full() -> None:
    harness = DeciderHarness()
    harness.list_hosts(host("a", capacity=2), host("b", capacity=2))
    for number in range(4):
        assert result_of(harness.arrive(number=number, priority=2)) == AGAIN
    assert result_of(harness.arrive(number=5, priority=2)) == NOT_RUN
    assert result_of(harness.arrive(number=6, priority=1)) == AGAIN
    harness.end_attempt(Outcome.SUCCESS, number=0)
    assert result_of(harness.arrive(number=7, priority=2)) == AGAIN


# --- ejection


def test_a_broken_host_is_ejected_and_gets_one_probe_request_at_a_time() -> None:
    harness = new_harness(4)
    for number in range(400):
        sent = only(SendAttempt, harness.arrive(number=number, max_attempts=1, repeatable=False))
        harness.end_attempt(
            Outcome.CONNECT_FAILED if sent[0].host == "h0" else Outcome.SUCCESS, number=number
        )
    harness.now = 1.0  # past the first ejection
    picked = [only(SendAttempt, harness.arrive(number=n))[0].host for n in range(500, 700)]
    assert picked.count("h0") == 1
    trial = 500 + picked.index("h0")
    harness.end_attempt(Outcome.SUCCESS, number=trial)
    assert "h0" in [only(SendAttempt, harness.arrive(number=n))[0].host for n in range(700, 900)]


def test_ejections_grow_and_stay_short() -> None:
    harness = new_harness(2)
    ejections_s: list[float] = []
    failed_at = 0.0
    for number in range(20_000):
        harness.now += 0.005
        sent = only(SendAttempt, harness.arrive(number=number, max_attempts=1, repeatable=False))
        if sent[0].host == "h0":
            ejections_s.append(harness.now - failed_at)
            failed_at = harness.now
            harness.end_attempt(Outcome.RESET, number=number)
        else:
            harness.end_attempt(Outcome.SUCCESS, number=number)
    long = [each for each in ejections_s if each >= 0.2]
    assert long[0] < 1.0
    assert long[-1] > 2.0


@pytest.mark.parametrize("seed", range(5))
def test_ejection_never_empties_a_service(seed: int) -> None:
    draw = random.Random(seed)
    harness = new_harness(3, tokens=False)
    for number in range(500):
        harness.now += draw.random() * 0.1
        sent = only(SendAttempt, harness.arrive(number=number, max_attempts=1))
        assert [attempt.attempt for attempt in sent if attempt.number == number] == [0]
        harness.end_attempt(
            draw.choice([Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.SUCCESS]),
            number=number,
        )


def test_an_unresponsive_host_is_ejected() -> None:
    harness = new_harness(3)
    unresponsive = 0
    for number in range(300):
        harness.advance(harness.now + 0.05)
        sent = only(SendAttempt, harness.arrive(number=number, repeatable=False, max_attempts=1))[0]
        if sent.host == "h0":
            unresponsive += 1
        else:
            harness.end_attempt(Outcome.SUCCESS, number=number)
    assert unresponsive < 30


# --- determinism


def test_the_same_seed_and_events_bring_the_same_actions() -> None:
    def play(seed: int) -> list[list[Action]]:
        decider, draw, log = FleetDecider("z", seed, 0.2, 10.0), random.Random(7), []
        log.append(decider.handle(0.0, TopologyChanged(hosts(5), ())))
        for number in range(300):
            now = number * 0.02
            facts = RequestArrived(
                RequestFacts(
                    number, "r", "s", True, False, now, now + 2, 0.5, 3, 0, False, (), 0, 0
                )
            )
            log.append(decider.handle(now, facts))
            ended = AttemptEnded(number, 0, draw.choice(list(Outcome)), 0.01)
            log.append(decider.handle(now + 0.01, ended))
        return log

    assert play(3) == play(3)
    assert play(3) != play(4)


def test_state_is_bounded_by_requests_in_flight() -> None:
    harness = new_harness()
    for number in range(20_000, 20_500):
        harness.arrive(number=number)
        harness.end_attempt(Outcome.SUCCESS, number=number)
    harness.advance(harness.now + 10.0)
    assert harness.decider._lifecycle.requests == {}
    assert harness.decider._timers._timers == []
    assert FACTS.number not in harness.decider._lifecycle.awaiting_host


def test_a_call_keeps_the_policy_of_its_arrival() -> None:
    harness = new_harness(count=8)
    harness.arrive(number=1, repeatable=True, max_attempts=3)
    harness.arrive(number=2, repeatable=False, max_attempts=1)  # a new configuration
    assert (
        result_of(with_backoff(harness, harness.end_attempt(Outcome.ERROR, number=1), until=0.1))
        == AGAIN
    )
    assert result_of(harness.end_attempt(Outcome.ERROR, number=2)) == MAY_HAVE_RUN
