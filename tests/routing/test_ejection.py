"""Which hosts get requests, by state: listed, draining, at the limit, ejected, on probation."""

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
    ATTEMPT_SENT,
    NOT_RUN,
    DeciderHarness,
    after_backoff,
    host,
    hosts,
    new_harness,
    of_type,
    result_of,
)


def test_request_without_ready_host_waits_then_is_rejected_with_retry_after() -> None:
    harness = DeciderHarness()
    assert harness.arrive() == []
    harness.now = 0.05
    (sent,) = of_type(SendAttempt, harness.set_hosts(host("new")))
    assert sent.host == "new"
    harness = DeciderHarness()
    harness.arrive()
    assert harness.advance(0.5) == [FinalResponse(1, FailureReason.NOT_RUN, 0.3)]
    assert harness.now <= 0.5


def test_draining_and_unlisted_hosts_get_no_new_requests() -> None:
    harness = DeciderHarness()
    harness.set_hosts(host("a"), host("b"), host("c", ready=False), host("d", "other"))
    picks = {of_type(SendAttempt, harness.arrive(number=n))[0].host for n in range(200)}
    assert picks == {"a", "b"}
    harness.set_hosts(host("a", ready=False), host("b"))
    assert {of_type(SendAttempt, harness.arrive(number=n))[0].host for n in range(300, 400)} == {
        "b"
    }


def test_due_retry_does_not_use_a_host_removed_by_the_same_event() -> None:
    harness = new_harness(2)
    first = of_type(SendAttempt, harness.arrive())[0]
    harness.end_attempt(Outcome.ERROR)
    harness.now = 1.0  # the backoff is over
    actions = harness.set_hosts(host(first.host))
    assert {sent.host for sent in of_type(SendAttempt, actions)} <= {first.host}


def test_rejected_request_is_retried_at_the_only_host() -> None:
    harness = new_harness(1)
    harness.arrive()
    assert (
        result_of(after_backoff(harness, harness.end_attempt(Outcome.FULL), until=0.1))
        == ATTEMPT_SENT
    )


def test_low_priority_requests_are_rejected_if_every_host_is_at_its_limit() -> None:
    harness = DeciderHarness()
    harness.set_hosts(host("a", capacity=2), host("b", capacity=2))
    for number in range(4):
        assert result_of(harness.arrive(number=number, priority=2)) == ATTEMPT_SENT
    assert result_of(harness.arrive(number=5, priority=2)) == NOT_RUN
    assert result_of(harness.arrive(number=6, priority=1)) == ATTEMPT_SENT
    harness.end_attempt(Outcome.SUCCESS, number=0)
    assert result_of(harness.arrive(number=7, priority=2)) == ATTEMPT_SENT


@pytest.mark.parametrize(("certain", "ejected"), [(True, 5), (False, 3)])
def test_ejections_leave_one_host_if_failures_are_certain_and_half_if_not(
    *, certain: bool, ejected: int
) -> None:
    ready = ReadyHosts()
    ready.replace([new_host_record(spec) for spec in hosts(6)])
    assert sum(ready.eject(record, 0.0, certain=certain) for record in ready.hosts) == ejected


def test_failing_host_is_ejected_and_gets_one_probe_request_at_a_time() -> None:
    harness = new_harness(4)
    for number in range(400):
        sent = of_type(SendAttempt, harness.arrive(number=number, max_attempts=1, repeatable=False))
        harness.end_attempt(
            Outcome.CONNECT_FAILED if sent[0].host == "h0" else Outcome.SUCCESS, number=number
        )
    harness.now = 1.0  # past the first ejection
    picked = [of_type(SendAttempt, harness.arrive(number=n))[0].host for n in range(500, 700)]
    assert picked.count("h0") == 1
    probe_number = 500 + picked.index("h0")
    harness.end_attempt(Outcome.SUCCESS, number=probe_number)
    assert "h0" in [of_type(SendAttempt, harness.arrive(number=n))[0].host for n in range(700, 900)]


def test_ejections_get_longer_with_each_failure_on_probation() -> None:
    harness = new_harness(2)
    gaps_s: list[float] = []
    failed_at = 0.0
    for number in range(20_000):
        harness.now += 0.005
        sent = of_type(SendAttempt, harness.arrive(number=number, max_attempts=1, repeatable=False))
        if sent[0].host == "h0":
            gaps_s.append(harness.now - failed_at)
            failed_at = harness.now
            harness.end_attempt(Outcome.RESET, number=number)
        else:
            harness.end_attempt(Outcome.SUCCESS, number=number)
    long_gaps_s = [gap_s for gap_s in gaps_s if gap_s >= 0.2]
    assert long_gaps_s[0] < 1.0
    assert long_gaps_s[-1] > 2.0


@pytest.mark.parametrize("seed", range(5))
def test_ejection_never_leaves_a_service_without_hosts(seed: int) -> None:
    rng = random.Random(seed)
    harness = new_harness(3, tokens=False)
    for number in range(500):
        harness.now += rng.random() * 0.1
        sent = of_type(SendAttempt, harness.arrive(number=number, max_attempts=1))
        assert [attempt.attempt for attempt in sent if attempt.number == number] == [0]
        harness.end_attempt(
            rng.choice([Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.SUCCESS]),
            number=number,
        )


def test_unresponsive_host_is_ejected() -> None:
    harness = new_harness(3)
    unanswered = 0
    for number in range(300):
        harness.advance(harness.now + 0.05)
        sent = of_type(
            SendAttempt, harness.arrive(number=number, repeatable=False, max_attempts=1)
        )[0]
        if sent.host == "h0":
            unanswered += 1
        else:
            harness.end_attempt(Outcome.SUCCESS, number=number)
    assert unanswered < 30
