"""Pacing of the calls that a fleet of gateways makes to one discovery service with a queue."""

from __future__ import annotations

import heapq

import pytest

from roselink.gateway.pacing import (
    CALL_TIME_S,
    FAILED_DEADLINE_S,
    MOVED_DEADLINE_S,
    RESPONSE_TIMEOUT_S,
    UNRESPONSIVE_DEADLINE_S,
    WATCH_TIMEOUT_S,
    CallPacing,
    Cause,
)

SERVICE_S = 0.125  # processing time of a call at discovery
LIST_DEADLINE_S = 10.0  # `ask_within` of the settings
# A call that waits longer fails, and its queue entry is processed all the same.
CALL_TIMEOUT_S = 2.0


def polling(gateways: int, seed: int) -> CallPacing:
    return CallPacing(gateways, LIST_DEADLINE_S, seed, polls=True)


class Fleet:
    """Simulates gateways that call until they have a watch, and a queue in which calls that wait
    too long fail.
    """

    def __init__(self, gateways: int, seed: int, service_s: float = SERVICE_S) -> None:
        self.pacing = [polling(gateways, seed * 10_000 + i) for i in range(gateways)]
        self.service_s = service_s
        self.calls = self.failed = 0
        self.recovered_after_s = 0.0
        self.free_at = 0.0

    def watch(self, start_times: list[float]) -> float:
        """Simulate all calls, each gateway's first at its given time; returns when the last has a
        watch.
        """
        due = [(at, i) for i, at in enumerate(start_times)]
        heapq.heapify(due)
        last = 0.0
        while due:
            at, i = heapq.heappop(due)
            self.calls += 1
            assert self.calls < 100 * len(start_times), "the fleet never gets its watches"
            self.free_at = max(self.free_at, at) + self.service_s
            if self.free_at - at > CALL_TIMEOUT_S:
                self.failed += 1
                retry_at = at + CALL_TIMEOUT_S
                retry_at += self.pacing[i].wait_s(Cause.FAILED, retry_at, CALL_TIMEOUT_S)
                heapq.heappush(due, (retry_at, i))
            else:
                last = max(last, self.free_at)
        return last


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("gateways", [1, 3, 40])
def test_a_fleet_that_starts_together_does_not_overload_discovery(gateways: int, seed: int) -> None:
    fleet = Fleet(gateways, seed)
    ready = fleet.watch([pacing.wait_s(Cause.START, 0.0) for pacing in fleet.pacing])
    assert fleet.failed <= gateways // 10
    assert ready < 3 * gateways * SERVICE_S + CALL_TIMEOUT_S


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(("service_s", "max_s"), [(0.1, 40.0), (SERVICE_S, 80.0)])
def test_a_fleet_recovers_after_all_calls_failed(service_s: float, max_s: float, seed: int) -> None:
    """The worst case: discovery's queue is already longer than the time-out of a call, and all 40
    gateways retry. If each calls every 6 s, which keeps the deadline after a recovery, calls of
    0.125 s leave a sixth of the time to shorten the queue. From 9 s to the time-out of 2 s takes
    at least 42 s, plus one interval of 6 s.
    """
    fleet = Fleet(40, seed, service_s)
    fleet.free_at = 2 * CALL_TIMEOUT_S
    assert fleet.watch([0.0] * 40) < max_s


def test_a_small_fleet_has_short_delays() -> None:
    """Three gateways cannot overload discovery, so they need no long delays."""
    pacing = polling(3, 1)
    assert pacing.wait_s(Cause.START, 0.0) < 0.5
    assert max(pacing.wait_s(Cause.FAILED, 0.0) for _ in range(50)) < 1.5


def fleet_after_outage(
    gateways: int, service_s: float, down_s: float, fails_after_s: float, seed: int
) -> Fleet:
    """A fleet whose watches all end at once because discovery goes down for `down_s`. Until it
    recovers, calls fail after `fails_after_s`, also those that wait at that moment.
    """
    fleet, start_times = Fleet(gateways, seed, service_s), []
    for pacing in fleet.pacing:
        at = pacing.wait_s(Cause.ENDED, 0.0)
        while at < down_s:
            at += fails_after_s
            at += pacing.wait_s(Cause.FAILED, at, fails_after_s)
        start_times.append(at - down_s)
    fleet.recovered_after_s = fleet.watch(start_times)
    return fleet


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("fails_after_s", [0.0, CALL_TIMEOUT_S])
@pytest.mark.parametrize(
    ("gateways", "service_s"),
    [(3, 0.2), (20, 0.125), (40, 0.1), (60, 0.0625), (200, 0.0125), (200, 0.02), (2100, 0.0018)],
)
def test_a_fleet_recovers_by_the_deadline_after_an_outage(
    gateways: int, service_s: float, fails_after_s: float, seed: int
) -> None:
    """The deadline after a failed call is 6 s from the recovery, and no call fails after it."""
    fleet = fleet_after_outage(gateways, service_s, 8.0, fails_after_s, seed)
    assert fleet.recovered_after_s <= FAILED_DEADLINE_S
    assert fleet.failed == 0


@pytest.mark.parametrize("down_s", [12.0, 20.0, 40.0])
def test_a_long_outage_delays_a_fleet_by_at_most_the_drain_grace(down_s: float) -> None:
    """In a long outage, delays run from the end of a failed call, so the deadline may be exceeded
    by up to 1 s. After that, no request may be sent by the old list.
    """
    for gateways, service_s in ((20, 0.125), (40, 0.1), (60, 0.0625), (200, 0.02)):
        fleet = fleet_after_outage(gateways, service_s, down_s, CALL_TIMEOUT_S, 1)
        assert fleet.recovered_after_s <= FAILED_DEADLINE_S + 1.0


@pytest.mark.parametrize("seed", range(2))
def test_a_fleet_too_large_for_the_deadline_recovers_later(seed: int) -> None:
    """2,100 calls at 80 per second take 26 s. The calls slow down until they no longer time out."""
    assert fleet_after_outage(2100, 0.0125, 8.0, CALL_TIMEOUT_S, seed).recovered_after_s < 430.0


def test_a_successful_watch_resets_the_backoff() -> None:
    after_failures, without_failures = polling(40, 5), polling(40, 5)
    for _ in range(6):
        after_failures.wait_s(Cause.FAILED, 0.0)
        without_failures.wait_s(Cause.ENDED, 0.0)
    assert after_failures.wait_s(Cause.ENDED, 0.0) == without_failures.wait_s(Cause.ENDED, 0.0)


# Each cause has a deadline, which the spread over a large fleet must not exceed.


def max_delay_s(
    cause: Cause,
    pushed: bool = False,
    list_deadline_s: float = LIST_DEADLINE_S,
    gateways: int = 200,
) -> float:
    pacing = [CallPacing(gateways, list_deadline_s, seed, polls=not pushed) for seed in range(300)]
    return max(one.wait_s(cause, 100.0) for one in pacing)


@pytest.mark.parametrize("list_deadline_s", [3.0, 10.0])
@pytest.mark.parametrize("cause", [Cause.START, Cause.ENDED, Cause.MALFORMED])
def test_the_delay_keeps_the_list_deadline(cause: Cause, list_deadline_s: float) -> None:
    # The call after the delay may fail, and then the deadline after a failed call applies too.
    bound = min(0.6 * list_deadline_s, FAILED_DEADLINE_S - CALL_TIME_S)
    assert 0.9 * bound < max_delay_s(cause, list_deadline_s=list_deadline_s) <= bound


def test_the_delay_after_an_unresponsive_watch_keeps_its_deadline() -> None:
    assert (
        WATCH_TIMEOUT_S + max_delay_s(Cause.UNRESPONSIVE) + CALL_TIME_S <= UNRESPONSIVE_DEADLINE_S
    )


def test_the_delay_after_an_unanswered_call_keeps_its_deadline() -> None:
    assert (
        RESPONSE_TIMEOUT_S + max_delay_s(Cause.UNANSWERED) + CALL_TIME_S <= UNRESPONSIVE_DEADLINE_S
    )


def test_the_delay_after_a_switch_of_discovery_keeps_its_deadline() -> None:
    assert max_delay_s(Cause.MOVED) + CALL_TIME_S <= MOVED_DEADLINE_S


@pytest.mark.parametrize("cause", [Cause.UNRESPONSIVE, Cause.MOVED])
def test_a_call_that_fails_near_a_deadline_is_retried_soon(cause: Cause) -> None:
    for seed in range(100):
        pacing = CallPacing(200, LIST_DEADLINE_S, seed, polls=True)
        now = 100.0 + pacing.wait_s(cause, 100.0)
        assert pacing.wait_s(Cause.FAILED, now + 0.1) <= 2.0
        assert pacing.wait_s(Cause.FAILED, 103.4) <= 0.25


@pytest.mark.parametrize("list_deadline_s", [3.0, 10.0])
@pytest.mark.parametrize("took_s", [0.0, 0.5, CALL_TIMEOUT_S])
@pytest.mark.parametrize("gateways", [1, 20, 200])
def test_the_delay_after_a_failed_call_keeps_its_deadline(
    gateways: int, took_s: float, list_deadline_s: float
) -> None:
    """The deadline runs from the start of the call: discovery may recover right after it."""
    for seed in range(100):
        pacing = CallPacing(gateways, list_deadline_s, seed, polls=True)
        for _ in range(3):
            assert (
                took_s + pacing.wait_s(Cause.FAILED, 100.0, took_s) + CALL_TIME_S
                <= FAILED_DEADLINE_S
            )


def test_the_delay_after_many_failures_keeps_the_deadline_from_the_end_of_the_call() -> None:
    pacing = polling(200, 7)
    assert (
        max(pacing.wait_s(Cause.FAILED, 0.0, CALL_TIMEOUT_S) for _ in range(200)) + CALL_TIME_S
        <= FAILED_DEADLINE_S
    )


@pytest.mark.parametrize("cause", list(Cause))
def test_delays_in_push_mode_are_short(cause: Cause) -> None:
    """In push mode a change counts as known as soon as discovery has it, also at the start of a
    process and without a watch.
    """
    assert max_delay_s(cause, pushed=True) <= (0.5 if cause is Cause.MALFORMED else 0.1)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("cause", [Cause.FAILED, Cause.MALFORMED])
def test_repeated_failures_do_not_cause_a_high_call_rate(cause: Cause, pushed: bool) -> None:
    """One gateway whose every call fails at once, as discovery is down or sends malformed lists."""
    pacing = CallPacing(1, LIST_DEADLINE_S, 3, polls=not pushed)
    now = 0.0
    for _ in range(200):
        now += pacing.wait_s(cause, now)
    assert 200 / now < 16
