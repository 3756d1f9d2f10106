"""A whole fleet calls one discovery that handles calls in turn: each gateway must come to its
watch.
"""

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

SERVICE_S = 0.125  # a call's turn at discovery
LIST_DEADLINE_S = 10.0  # the settings' time for asking
CALL_TIMEOUT_S = (
    2.0  # a call that waits longer there fails, and its turn is worked off all the same
)


def polling(gateways: int, seed: int) -> CallPacing:
    return CallPacing(gateways, LIST_DEADLINE_S, seed, polls=True)


class Fleet:
    """Gateways that call until they hold a watch, against a queue that fails whom it keeps too
    long.
    """

    def __init__(self, gateways: int, seed: int, service_s: float = SERVICE_S) -> None:
        self.pacing = [polling(gateways, seed * 10_000 + i) for i in range(gateways)]
        self.service_s = service_s
        self.calls = self.failed = 0
        self.recovered_after_s = 0.0
        self.free_at = 0.0

    def watch(self, begin: list[float]) -> float:
        """Let all call, each for the first time at its time; when the last of them holds its
        watch.
        """
        due = [(at, i) for i, at in enumerate(begin)]
        heapq.heapify(due)
        last = 0.0
        while due:
            at, i = heapq.heappop(due)
            self.calls += 1
            assert self.calls < 100 * len(begin), "the fleet never comes to its watches"
            self.free_at = max(self.free_at, at) + self.service_s
            if self.free_at - at > CALL_TIMEOUT_S:
                self.failed += 1
                again = at + CALL_TIMEOUT_S
                again += self.pacing[i].wait_s(Cause.FAILED, again, CALL_TIMEOUT_S)
                heapq.heappush(due, (again, i))
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
@pytest.mark.parametrize(("service_s", "most_s"), [(0.1, 40.0), (SERVICE_S, 80.0)])
def test_a_fleet_recovers_after_all_calls_failed(
    service_s: float, most_s: float, seed: int
) -> None:
    """The hardest case: discovery's queue is already longer than a call may wait, and all retry.
    What keeps the bound after a return, a call every 6 s, leaves it a sixth of its time for a queue
    of 9 s with turns of 0.125 s: 42 s and a round at best.
    """
    fleet = Fleet(40, seed, service_s)
    fleet.free_at = 2 * CALL_TIMEOUT_S
    assert fleet.watch([0.0] * 40) < most_s


def test_a_small_fleet_has_short_delays() -> None:
    """Nothing is gained by patience where three gateways call a service that can take them all."""
    pacing = polling(3, 1)
    assert pacing.wait_s(Cause.START, 0.0) < 0.5
    assert max(pacing.wait_s(Cause.FAILED, 0.0) for _ in range(50)) < 1.5


def fleet_after_outage(
    gateways: int, service_s: float, down_s: float, fails_after_s: float, seed: int
) -> Fleet:
    """A fleet whose watches all end at once, as discovery goes down for so long. Calls fail after
    that time until then, also those that are waiting at the return.
    """
    fleet, begin = Fleet(gateways, seed, service_s), []
    for pacing in fleet.pacing:
        at = pacing.wait_s(Cause.ENDED, 0.0)
        while at < down_s:
            at += fails_after_s
            at += pacing.wait_s(Cause.FAILED, at, fails_after_s)
        begin.append(at - down_s)
    fleet.recovered_after_s = fleet.watch(begin)
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
    """Whatever else is allowed after a failed call: 6 s after its return. No call then is in
    vain.
    """
    fleet = fleet_after_outage(gateways, service_s, 8.0, fails_after_s, seed)
    assert fleet.recovered_after_s <= FAILED_DEADLINE_S
    assert fleet.failed == 0


@pytest.mark.parametrize("down_s", [12.0, 20.0, 40.0])
def test_a_long_outage_delays_a_fleet_by_at_most_the_drain_grace(down_s: float) -> None:
    """Waits that run from the end of a call in vain: 1 s later no send may go to what counts as
    told.
    """
    for gateways, service_s in ((20, 0.125), (40, 0.1), (60, 0.0625), (200, 0.02)):
        fleet = fleet_after_outage(gateways, service_s, down_s, CALL_TIMEOUT_S, 1)
        assert fleet.recovered_after_s <= FAILED_DEADLINE_S + 1.0


@pytest.mark.parametrize("seed", range(2))
def test_a_fleet_too_large_for_the_deadline_recovers_later(seed: int) -> None:
    """2,100 calls at 80 a second take 26 s. They slow down until their turns are no longer in
    vain.
    """
    assert fleet_after_outage(2100, 0.0125, 8.0, CALL_TIMEOUT_S, seed).recovered_after_s < 430.0


def test_a_successful_watch_resets_the_backoff() -> None:
    worn, fresh = polling(40, 5), polling(40, 5)
    for _ in range(6):
        worn.wait_s(Cause.FAILED, 0.0)
        fresh.wait_s(Cause.ENDED, 0.0)
    assert worn.wait_s(Cause.ENDED, 0.0) == fresh.wait_s(Cause.ENDED, 0.0)


# A gateway of a large fleet is held to a bound for each cause, which the fleet's spread must not
# exceed.


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
    bound = min(
        0.6 * list_deadline_s, FAILED_DEADLINE_S - CALL_TIME_S
    )  # its call may fail, and then this counts too
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
    """Discovery may have come back right after the begin of the call that failed."""
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
    """All that discovery has counts as told from the first moment of a process, with a watch or
    without.
    """
    assert max_delay_s(cause, pushed=True) <= (0.5 if cause is Cause.MALFORMED else 0.1)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("cause", [Cause.FAILED, Cause.MALFORMED])
def test_repeated_failures_do_not_cause_a_high_call_rate(cause: Cause, pushed: bool) -> None:
    """One gateway whose every call ends at once, against a discovery that is down or tells
    nonsense.
    """
    pacing = CallPacing(1, LIST_DEADLINE_S, 3, polls=not pushed)
    now = 0.0
    for _ in range(200):
        now += pacing.wait_s(cause, now)
    assert 200 / now < 16
