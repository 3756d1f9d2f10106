"""When a slow request is hedged, and which of its attempts is cancelled."""

from __future__ import annotations

import pytest

from roselink.routing.events_and_actions import (
    CancelAttempt,
    FirstEvent,
    SendAttempt,
)
from roselink.routing.outcome import Outcome
from tests.routing.builders import (
    DeciderHarness,
    new_harness,
    of_type,
)


def record_latencies(harness: DeciderHarness, **changes: object) -> None:
    """Record latencies of 10 ms for the route."""
    for number in range(100, 200):
        harness.arrive(number=number, **changes)
        harness.now += 0.01
        harness.end_attempt(Outcome.SUCCESS, number=number)


def test_slow_repeatable_request_is_hedged_and_first_success_cancels_the_other_attempt() -> None:
    harness = new_harness()
    record_latencies(harness)
    first = of_type(SendAttempt, harness.arrive(number=1))[0]
    (hedge,) = of_type(SendAttempt, harness.advance(harness.now + 0.3))
    assert (hedge.attempt, hedge.resume) == (1, False)
    assert hedge.host != first.host
    assert harness.end_attempt(Outcome.SUCCESS, 1) == [CancelAttempt(1, 0)]
    assert harness.end_attempt(Outcome.CANCELLED, 0) == []
    assert harness.advance(harness.now + 10.0) == []


def test_failed_hedge_leaves_the_first_attempt_in_flight() -> None:
    harness = new_harness()
    record_latencies(harness)
    harness.arrive(number=1)
    harness.advance(harness.now + 0.3)
    assert harness.end_attempt(Outcome.RESET, 1) == []
    assert harness.end_attempt(Outcome.SUCCESS, 0) == []


@pytest.mark.parametrize(
    "changes", [{"repeatable": False}, {"max_attempts": 1}], ids=["not_repeatable", "one_attempt"]
)
def test_request_is_not_hedged_if_not_repeatable_or_limited_to_one_attempt(
    changes: dict[str, object],
) -> None:
    harness = new_harness()
    record_latencies(harness, **changes)
    harness.arrive(number=1, **changes)
    assert harness.advance(harness.now + 3.0) == []


def test_no_hedge_without_retry_budget_tokens() -> None:
    harness = new_harness(tokens=False)
    harness.arrive(streaming=True)
    assert harness.advance(harness.now + 3.0) == []


def send_streams(harness: DeciderHarness, numbers: range) -> list[SendAttempt]:
    """Send streams, to which h0 does not respond; returns the attempts that went to h0."""
    unanswered: list[SendAttempt] = []
    for number in numbers:
        sent = of_type(SendAttempt, harness.arrive(number=number, streaming=True))[0]
        if sent.host == "h0":
            unanswered.append(sent)
        else:
            harness.end_attempt(Outcome.SUCCESS, number=number)
    return unanswered


def test_stream_at_unresponsive_host_is_hedged_and_first_event_cancels_the_other_attempt() -> None:
    harness = new_harness()
    unanswered = send_streams(harness, range(100, 300))
    assert len(unanswered) >= 2
    hedges = of_type(SendAttempt, harness.advance(0.7))
    assert hedges
    number = hedges[0].number
    assert hedges[0].host != "h0"
    assert (hedges[0].attempt, hedges[0].resume) == (1, False)
    assert harness.handle(FirstEvent(number, 1)) == [CancelAttempt(number, 0)]
    # A late event of the cancelled attempt.
    assert harness.handle(FirstEvent(number, 0)) == [CancelAttempt(number, 0)]
    assert harness.end_attempt(Outcome.CANCELLED, 0, number) == []
    assert harness.end_attempt(Outcome.SUCCESS, 1, number) == []


def test_stream_is_not_hedged_if_its_host_has_responded() -> None:
    harness = new_harness()
    unanswered = send_streams(harness, range(100, 300))
    harness.now = 0.5
    harness.handle(FirstEvent(unanswered[0].number, 0))
    assert of_type(SendAttempt, harness.advance(3.0)) == []


def test_stream_is_not_hedged_after_its_first_event() -> None:
    harness = new_harness()
    harness.arrive(streaming=True)
    harness.handle(FirstEvent(1, 0))
    assert harness.advance(3.9) == []
