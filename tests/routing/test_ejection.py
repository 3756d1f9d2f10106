"""Which hosts get requests: listed, draining, full, ejected, on probation."""

from __future__ import annotations

import random

import pytest

from roselink.routing.events_and_actions import (
    FailureReason,
    FinalResponse,
    SendAttempt,
)
from roselink.routing.host_record import new_host_record
from roselink.routing.outcome import Outcome
from roselink.routing.ready_hosts import ReadyHosts
from tests.routing.builders import (
    AGAIN,
    NOT_RUN,
    DeciderHarness,
    host,
    hosts,
    new_harness,
    only,
    result_of,
    with_backoff,
)


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


@pytest.mark.parametrize(("certain", "ejected"), [(True, 5), (False, 3)])
def test_half_of_the_hosts_are_left_when_failures_are_uncertain(
    *, certain: bool, ejected: int
) -> None:
    ready = ReadyHosts()
    ready.replace([new_host_record(one) for one in hosts(6)])
    assert sum(ready.eject(state, 0.0, certain=certain) for state in ready.hosts) == ejected


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
