"""Payoffs pooled over gateways: hosts that fail other gateways get fewer requests."""

from __future__ import annotations

import pytest

from roselink.routing.events_and_actions import (
    PooledPayoffs,
    SendAttempt,
)
from roselink.routing.outcome import Outcome
from roselink.routing.topology import POOLED_PAYOFFS_S
from tests.routing.builders import DeciderHarness, hosts, of_type, prompt

SESSION_PROMPT = prompt("shared", "session", "own")


def pick_counts(
    harness: DeciderHarness, first: int, *, affinity: bool, requests: int = 60
) -> dict[str, int]:
    """Number of picks by host for consecutive requests of one session."""
    counts: dict[str, int] = {}
    for number in range(first, first + requests):
        changes: dict[str, object] = (
            {"affinity": True, "prompt": SESSION_PROMPT} if affinity else {}
        )
        (sent,) = of_type(SendAttempt, harness.arrive(number=number, **changes))
        counts[sent.host] = counts.get(sent.host, 0) + 1
        harness.end_attempt(Outcome.SUCCESS, number=number)
    return counts


def new_harness() -> DeciderHarness:
    harness = DeciderHarness()
    harness.set_hosts(*hosts(6))
    return harness


@pytest.mark.parametrize("affinity", [True, False])
def test_host_with_low_pooled_payoff_gets_few_requests(*, affinity: bool) -> None:
    harness = new_harness()
    before = pick_counts(harness, 1, affinity=affinity)
    home = max(before, key=before.__getitem__)
    harness.handle(PooledPayoffs(((home, 0.1),)))
    assert pick_counts(harness, 100, affinity=affinity).get(home, 0) <= 0.15 * 60


@pytest.mark.parametrize("ended_by", ["replacement", "expiry"])
def test_pooled_payoffs_end_when_replaced_or_expired(ended_by: str) -> None:
    harness = new_harness()
    before = pick_counts(harness, 1, affinity=True)
    home = max(before, key=before.__getitem__)
    harness.handle(PooledPayoffs(((home, 0.0),)))
    if ended_by == "replacement":
        harness.handle(PooledPayoffs(()))
    else:
        harness.now += POOLED_PAYOFFS_S + 0.1
    assert pick_counts(harness, 100, affinity=True)[home] > 0.8 * 60


def test_pooled_payoffs_of_unlisted_hosts_are_ignored() -> None:
    harness = new_harness()
    harness.handle(PooledPayoffs((("gone", 0.0),)))
    assert pick_counts(harness, 1, affinity=False)


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (Outcome.SUCCESS, (1, 0)),
        (Outcome.ERROR, (0, 1)),
        (Outcome.RESET, (0, 1)),
        (Outcome.CONNECT_FAILED, (0, 1)),
        (Outcome.MOOT, None),
        (Outcome.CANCELLED, None),
    ],
)
def test_each_outcome_is_reported_once(outcome: Outcome, expected: tuple[int, int] | None) -> None:
    harness = new_harness()
    (sent,) = of_type(SendAttempt, harness.arrive(repeatable=False, max_attempts=1))
    harness.end_attempt(outcome)
    unreported = {
        host: (served, missed)
        for host, served, missed in harness.decider.take_unreported_outcomes()
    }
    assert unreported.get(sent.host) == expected
    assert harness.decider.take_unreported_outcomes() == []
