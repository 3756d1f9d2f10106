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
from tests.routing.builders import FACTS, Bench, host, hosts, only

O = Outcome  # noqa: E741
AGAIN, NOT_RUN, MAY_HAVE_RUN, NOTHING = "again", "not_run", "may_have_run", "nothing"


def bench(count: int = 3, tokens: bool = True) -> Bench:
    made = Bench()
    made.list_hosts(*hosts(count))
    if tokens:
        made.earn()
    return made


def settle(made: Bench, actions: list[Action], until: float = 1.0) -> list[Action]:
    """These actions and those of the backoff that follows."""
    return actions + made.wait(made.now + until) if not only(FinalResponse, actions) else actions


def verdict(actions: list[Action]) -> str:
    if finals := only(FinalResponse, actions):
        return finals[0].reason.value
    return AGAIN if only(SendAttempt, actions) else NOTHING


@pytest.mark.parametrize(
    ("outcome", "repeatable", "streaming", "expected"),
    [
        (O.SUCCESS, True, False, NOTHING),
        (O.SUCCESS, False, False, NOTHING),
        (O.ERROR, True, False, AGAIN),
        (O.ERROR, False, False, MAY_HAVE_RUN),
        (O.ERROR, True, True, AGAIN),
        (O.ERROR, False, True, MAY_HAVE_RUN),
        (O.TIMEOUT, True, False, AGAIN),
        (O.TIMEOUT, False, False, MAY_HAVE_RUN),
        (O.TIMEOUT, True, True, AGAIN),
        (O.TIMEOUT, False, True, MAY_HAVE_RUN),
        (O.RESET, True, False, AGAIN),
        (O.RESET, False, False, MAY_HAVE_RUN),
        (O.RESET, True, True, AGAIN),
        (O.RESET, False, True, MAY_HAVE_RUN),
        (O.FULL, True, False, AGAIN),
        (O.FULL, False, False, AGAIN),
        (O.FULL, False, True, AGAIN),
        (O.CONNECT_FAILED, True, False, AGAIN),
        (O.CONNECT_FAILED, False, False, AGAIN),
        (O.CONNECT_FAILED, False, True, AGAIN),
        (O.MOOT, False, False, AGAIN),
    ],
)
def test_outcome_by_kind_of_route(
    outcome: O, repeatable: bool, streaming: bool, expected: str
) -> None:
    made = bench()
    first = only(SendAttempt, made.arrive(repeatable=repeatable, streaming=streaming))[0]
    actions = settle(made, made.end(outcome), until=0.1)
    assert verdict(actions) == expected
    for again in only(SendAttempt, actions):
        assert (again.attempt, again.resume) == (1, False)
        assert again.host != first.host


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [
        (O.FULL, NOT_RUN),
        (O.ERROR, MAY_HAVE_RUN),
        (O.TIMEOUT, MAY_HAVE_RUN),
        (O.RESET, MAY_HAVE_RUN),
    ],
)
def test_a_route_of_one_attempt_gets_its_answer_at_once(outcome: O, reason: str) -> None:
    made = bench()
    made.arrive(max_attempts=1)
    (final,) = only(FinalResponse, made.end(outcome))
    assert final.reason.value == reason
    assert (0.03 < final.retry_after_s < 0.25) == (reason == NOT_RUN)


def test_advice_grows_with_refusals() -> None:
    made = bench(tokens=False)
    waits = []
    for number in range(60):
        made.arrive(number=number, max_attempts=1)
        waits += [f.retry_after_s for f in only(FinalResponse, made.end(O.FULL, number=number))]
    assert sum(waits[:5]) < sum(waits[-5:])
    assert max(waits) <= 0.25


@pytest.mark.parametrize("most", [1, 2, 3, 5])
@pytest.mark.parametrize("outcome", [O.FULL, O.ERROR, O.RESET, O.TIMEOUT])
def test_attempts_are_bounded(most: int, outcome: O) -> None:
    made = bench(count=8)
    actions = made.arrive(max_attempts=most)
    for attempt in range(10):
        if only(FinalResponse, actions):
            break
        actions += settle(made, made.end(outcome, attempt))
    assert len(only(SendAttempt, actions)) == most
    assert len(only(FinalResponse, actions)) == 1
    assert len({sent.host for sent in only(SendAttempt, actions)}) == most


def test_attempts_that_never_left_are_free_up_to_three() -> None:
    made = bench(count=8)
    actions = made.arrive(max_attempts=1)
    for attempt in range(10):
        if only(FinalResponse, actions):
            break
        actions += settle(made, made.end(O.CONNECT_FAILED, attempt))
    assert len(only(SendAttempt, actions)) == 4
    assert only(FinalResponse, actions)[0].reason is FailureReason.NOT_RUN


def test_waits_grow_between_groups() -> None:
    totals = [0.0] * 4
    for seed in range(40):
        made = Bench(FleetDecider("z", seed, 0.2, 10.0))
        made.list_hosts(*hosts(8))
        made.earn()
        made.arrive(max_attempts=5, target_latency_s=0.64)
        for attempt in range(4):
            failed_at = made.now
            made.end(O.ERROR, attempt)
            while not only(SendAttempt, made.wait(min(at for at, _ in made.timers))):
                pass
            totals[attempt] += made.now - failed_at
    for earlier, later in itertools.pairwise(totals):
        assert later > earlier * 1.5


def test_spent_time_aborts() -> None:
    made = bench()
    made.arrive(deadline=1.0)
    made.now = 0.9999
    assert verdict(made.end(O.ERROR)) == MAY_HAVE_RUN


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_silent_attempt_ends_with_the_time(repeatable: bool) -> None:
    made = bench(tokens=False)
    made.arrive(repeatable=repeatable, streaming=True, deadline=2.0)
    actions = made.wait(5.0)
    assert only(FinalResponse, actions) == [FinalResponse(1, FailureReason.OUT_OF_TIME)]
    assert only(CancelAttempt, actions) == [CancelAttempt(1, 0)]
    assert made.end(O.CANCELLED) == []


def test_a_running_stream_is_not_cut_by_us_and_not_taken_up_after_its_time() -> None:
    made = bench()
    made.arrive(streaming=True, deadline=2.0)
    made.tell(FirstEvent(1, 0))
    assert made.wait(5.0) == []
    (final,) = made.end(O.RESET, progressed=True)
    assert final == FinalResponse(1, FailureReason.OUT_OF_TIME)


def test_half_an_answer_that_is_no_stream_is_not_repeated() -> None:
    made = bench()
    made.arrive()
    made.tell(FirstEvent(1, 0))
    assert verdict(made.end(O.RESET, progressed=True)) == MAY_HAVE_RUN


def test_a_resumed_stream_counts_for_its_host_when_it_ends_well() -> None:
    made = bench()
    made.arrive(streaming=True)
    made.tell(FirstEvent(1, 0))
    (again,) = only(SendAttempt, settle(made, made.end(O.RESET, progressed=True), until=0.1))
    state = made.decider._topology._hosts[again.host]
    before = state.payoff
    made.wait(made.now + 3.0)  # past the aim: no first event tells of it
    assert state.payoff == before
    made.end(O.SUCCESS, 1, progressed=True)
    assert state.payoff > before or before == 1.0


def test_first_sends_pass_ungated_and_an_empty_bucket_asks_the_owner() -> None:
    made = bench(tokens=False)
    assert len(only(SendAttempt, made.arrive())) == 1
    actions = settle(made, made.end(O.ERROR), until=0.1)
    assert actions == [AcquireSharedBudget(1, "s")]
    (sent,) = only(SendAttempt, made.tell(BudgetDecided(1, True)))
    assert sent.attempt == 1
    assert made.tell(BudgetDecided(1, True)) == []  # answered once


@pytest.mark.parametrize(("outcome", "reason"), [(O.FULL, NOT_RUN), (O.RESET, MAY_HAVE_RUN)])
def test_a_denial_is_final(outcome: O, reason: str) -> None:
    made = bench(tokens=False)
    made.arrive()
    settle(made, made.end(outcome), until=0.1)
    assert verdict(made.tell(BudgetDecided(1, False))) == reason


def test_a_grant_after_the_time_sends_nothing() -> None:
    made = bench(tokens=False)
    made.arrive(deadline=1.0)
    settle(made, made.end(O.ERROR), until=0.1)
    made.now = 1.0
    actions = made.tell(BudgetDecided(1, True))
    assert not only(SendAttempt, actions)
    assert only(FinalResponse, actions)[0].reason is FailureReason.OUT_OF_TIME


def test_a_client_that_left_is_forgotten() -> None:
    made = bench()
    made.arrive()
    assert made.tell(RequestClosed(1)) == [CancelAttempt(1, 0)]
    assert made.tell(RequestClosed(1)) == []
    assert made.end(O.CANCELLED) == []
    assert made.wait(10.0) == []


@pytest.mark.parametrize("outcome", [O.RESET, O.ERROR, O.TIMEOUT])
@pytest.mark.parametrize(("repeatable", "expected"), [(True, AGAIN), (False, MAY_HAVE_RUN)])
def test_a_cut_stream_goes_on_elsewhere_if_it_may(
    outcome: O, repeatable: bool, expected: str
) -> None:
    made = bench()
    first = only(SendAttempt, made.arrive(repeatable=repeatable, streaming=True))[0]
    made.tell(FirstEvent(1, 0))
    actions = settle(made, made.end(outcome, progressed=True), until=0.1)
    assert verdict(actions) == expected
    for again in only(SendAttempt, actions):
        assert again.resume
        assert again.host != first.host


def test_a_relayed_failure_is_the_answer() -> None:
    made = bench()
    made.arrive()
    assert made.end(O.ERROR, relayed=True) == []
    assert made.wait(10.0) == []


def test_another_host_has_the_address() -> None:
    made = bench()
    first = only(SendAttempt, made.arrive(repeatable=False))[0]
    actions = settle(made, made.end(O.FULL, wrong_host=True), until=0.1)
    assert verdict(actions) == AGAIN
    picks = {only(SendAttempt, made.arrive(number=n))[0].host for n in range(2, 40)}
    assert first.host not in picks


# --- hedges


def slow_route(made: Bench, **changes: object) -> None:
    """Teach the route a latency of 10 ms."""
    for number in range(100, 200):
        made.arrive(number=number, **changes)
        made.now += 0.01
        made.end(O.SUCCESS, number=number)


def test_a_slow_repeatable_request_gets_a_copy_and_the_first_to_end_stops_the_other() -> None:
    made = bench()
    slow_route(made)
    first = only(SendAttempt, made.arrive(number=1))[0]
    (copy,) = only(SendAttempt, made.wait(made.now + 0.3))
    assert (copy.attempt, copy.resume) == (1, False)
    assert copy.host != first.host
    assert made.end(O.SUCCESS, 1) == [CancelAttempt(1, 0)]
    assert made.end(O.CANCELLED, 0) == []
    assert made.wait(made.now + 10.0) == []


def test_a_failed_copy_leaves_the_other_running() -> None:
    made = bench()
    slow_route(made)
    made.arrive(number=1)
    made.wait(made.now + 0.3)
    assert made.end(O.RESET, 1) == []
    assert made.end(O.SUCCESS, 0) == []


@pytest.mark.parametrize(
    "changes", [{"repeatable": False}, {"max_attempts": 1}], ids=["may not run twice", "one host"]
)
def test_no_copy(changes: dict[str, object]) -> None:
    made = bench()
    slow_route(made, **changes)
    made.arrive(number=1, **changes)
    assert made.wait(made.now + 3.0) == []


def test_no_copy_without_a_rich_budget() -> None:
    made = bench(tokens=False)
    made.arrive(streaming=True)
    assert made.wait(made.now + 3.0) == []


def dark_streams(made: Bench, numbers: range) -> list[SendAttempt]:
    """Streams to a host that says nothing; the others serve. Returns those that went to the dark
    one.
    """
    dark: list[SendAttempt] = []
    for number in numbers:
        sent = only(SendAttempt, made.arrive(number=number, streaming=True))[0]
        if sent.host == "h0":
            dark.append(sent)
        else:
            made.end(O.SUCCESS, number=number)
    return dark


def test_a_stream_is_copied_when_its_host_seems_dark_and_the_first_event_wins() -> None:
    made = bench()
    dark = dark_streams(made, range(100, 300))
    assert len(dark) >= 2
    copies = only(SendAttempt, made.wait(0.7))
    assert copies
    number = copies[0].number
    assert copies[0].host != "h0"
    assert (copies[0].attempt, copies[0].resume) == (1, False)
    assert made.tell(FirstEvent(number, 1)) == [CancelAttempt(number, 0)]
    assert made.tell(FirstEvent(number, 0)) == [CancelAttempt(number, 0)]  # too late: it lost
    assert made.end(O.CANCELLED, 0, number) == []
    assert made.end(O.SUCCESS, 1, number) == []


def test_a_stream_is_not_copied_when_its_host_shows_signs_of_life() -> None:
    made = bench()
    dark = dark_streams(made, range(100, 300))
    made.now = 0.5
    made.tell(FirstEvent(dark[0].number, 0))
    assert only(SendAttempt, made.wait(3.0)) == []


@pytest.mark.parametrize(("sure", "resting"), [(True, 5), (False, 3)])
def test_of_hosts_that_only_fell_silent_half_are_left(sure: bool, resting: int) -> None:
    pool = ReadyHosts()
    pool.replace([new_host_record(one) for one in hosts(6)])
    assert sum(pool.eject(state, 0.0, certain=sure) for state in pool.hosts) == resting


def test_no_copy_after_the_first_event() -> None:
    made = bench()
    made.arrive(streaming=True)
    made.tell(FirstEvent(1, 0))
    assert made.wait(3.9) == []


# --- hosts


def test_with_no_host_a_request_is_held_shortly_then_told_to_come_back() -> None:
    made = Bench()
    assert made.arrive() == []
    made.now = 0.05
    (sent,) = only(SendAttempt, made.list_hosts(host("new")))
    assert sent.host == "new"
    made = Bench()
    made.arrive()
    assert made.wait(0.5) == [FinalResponse(1, FailureReason.NOT_RUN, 0.3)]
    assert made.now <= 0.5


def test_draining_and_missing_hosts_take_nothing_new() -> None:
    made = Bench()
    made.list_hosts(host("a"), host("b"), host("c", ready=False), host("d", "other"))
    picks = {only(SendAttempt, made.arrive(number=n))[0].host for n in range(200)}
    assert picks == {"a", "b"}
    made.list_hosts(host("a", ready=False), host("b"))
    assert {only(SendAttempt, made.arrive(number=n))[0].host for n in range(300, 400)} == {"b"}


def test_a_retry_due_with_the_event_that_takes_its_host_goes_elsewhere() -> None:
    made = bench(2)
    first = only(SendAttempt, made.arrive())[0]
    made.end(O.ERROR)
    made.now = 1.0  # the backoff is over
    actions = made.list_hosts(host(first.host))
    assert {sent.host for sent in only(SendAttempt, actions)} <= {first.host}


def test_the_only_host_is_tried_again_when_it_did_not_run() -> None:
    made = bench(1)
    made.arrive()
    assert verdict(settle(made, made.end(O.FULL), until=0.1)) == AGAIN


def test_requests_of_low_rank_are_refused_at_once_where_every_host_is_full() -> None:
    made = Bench()
    made.list_hosts(host("a", capacity=2), host("b", capacity=2))
    for number in range(4):
        assert verdict(made.arrive(number=number, priority=2)) == AGAIN
    assert verdict(made.arrive(number=5, priority=2)) == NOT_RUN
    assert verdict(made.arrive(number=6, priority=1)) == AGAIN
    made.end(O.SUCCESS, number=0)
    assert verdict(made.arrive(number=7, priority=2)) == AGAIN


# --- ejection


def test_a_broken_host_rests_and_gets_one_trial_at_a_time() -> None:
    made = bench(4)
    for number in range(400):
        sent = only(SendAttempt, made.arrive(number=number, max_attempts=1, repeatable=False))
        made.end(O.CONNECT_FAILED if sent[0].host == "h0" else O.SUCCESS, number=number)
    made.now = 1.0  # past the first rest
    picked = [only(SendAttempt, made.arrive(number=n))[0].host for n in range(500, 700)]
    assert picked.count("h0") == 1
    trial = 500 + picked.index("h0")
    made.end(O.SUCCESS, number=trial)
    assert "h0" in [only(SendAttempt, made.arrive(number=n))[0].host for n in range(700, 900)]


def test_rests_grow_and_stay_short() -> None:
    made = bench(2)
    rests: list[float] = []
    failed_at = 0.0
    for number in range(20_000):
        made.now += 0.005
        sent = only(SendAttempt, made.arrive(number=number, max_attempts=1, repeatable=False))
        if sent[0].host == "h0":
            rests.append(made.now - failed_at)
            failed_at = made.now
            made.end(O.RESET, number=number)
        else:
            made.end(O.SUCCESS, number=number)
    long = [rest for rest in rests if rest >= 0.2]
    assert long[0] < 1.0
    assert long[-1] > 2.0


@pytest.mark.parametrize("seed", range(5))
def test_ejection_never_empties_a_service(seed: int) -> None:
    draw = random.Random(seed)
    made = bench(3, tokens=False)
    for number in range(500):
        made.now += draw.random() * 0.1
        sent = only(SendAttempt, made.arrive(number=number, max_attempts=1))
        assert [attempt.attempt for attempt in sent if attempt.number == number] == [0]
        made.end(draw.choice([O.RESET, O.CONNECT_FAILED, O.RESET, O.SUCCESS]), number=number)


def test_a_dark_host_is_found_by_its_silence() -> None:
    made = bench(3)
    dark = 0
    for number in range(300):
        made.wait(made.now + 0.05)
        sent = only(SendAttempt, made.arrive(number=number, repeatable=False, max_attempts=1))[0]
        if sent.host == "h0":
            dark += 1
        else:
            made.end(O.SUCCESS, number=number)
    assert dark < 30


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


def test_state_is_bounded_by_what_is_under_way() -> None:
    made = bench()
    for number in range(20_000, 20_500):
        made.arrive(number=number)
        made.end(O.SUCCESS, number=number)
    made.wait(made.now + 10.0)
    assert made.decider._lifecycle.requests == {}
    assert made.decider._timers._timers == []
    assert FACTS.number not in made.decider._lifecycle.awaiting_host


def test_a_call_keeps_the_policy_of_its_arrival() -> None:
    made = bench(count=8)
    made.arrive(number=1, repeatable=True, max_attempts=3)
    made.arrive(number=2, repeatable=False, max_attempts=1)  # a new configuration
    assert verdict(settle(made, made.end(O.ERROR, number=1), until=0.1)) == AGAIN
    assert verdict(made.end(O.ERROR, number=2)) == MAY_HAVE_RUN
