"""Payoffs pooled over gateways: a host that fails the others is avoided here before it fails us."""

from __future__ import annotations

import pytest

from roselink.routing.events_and_actions import (
    PooledPayoffs,
    SendAttempt,
)
from roselink.routing.outcome import Outcome
from roselink.routing.topology import POOLED_PAYOFFS_S
from tests.routing.builders import Bench, hosts, only, prompt

SESSION = prompt("shared", "session", "own")


def homes(made: Bench, first: int, affinity: bool, requests: int = 60) -> dict[str, int]:
    """Where requests of one session go when each is served before the next."""
    counts: dict[str, int] = {}
    for number in range(first, first + requests):
        changes: dict[str, object] = {"affinity": True, "prompt": SESSION} if affinity else {}
        (sent,) = only(SendAttempt, made.arrive(number=number, **changes))
        counts[sent.host] = counts.get(sent.host, 0) + 1
        made.end(Outcome.SUCCESS, number=number)
    return counts


def bench() -> Bench:
    made = Bench()
    made.list_hosts(*hosts(6))
    return made


@pytest.mark.parametrize("affinity", [True, False])
def test_a_host_that_fails_the_other_gateways_gets_little_from_this_one(affinity: bool) -> None:
    made = bench()
    before = homes(made, 1, affinity)
    home = max(before, key=before.__getitem__)
    made.tell(PooledPayoffs(((home, 0.1),)))
    assert homes(made, 100, affinity).get(home, 0) <= 0.15 * 60


@pytest.mark.parametrize("ended_by", ["news", "time"])
def test_what_others_said_ends(ended_by: str) -> None:
    made = bench()
    before = homes(made, 1, True)
    home = max(before, key=before.__getitem__)
    made.tell(PooledPayoffs(((home, 0.0),)))
    if ended_by == "news":
        made.tell(PooledPayoffs(()))
    else:
        made.now += POOLED_PAYOFFS_S + 0.1
    assert homes(made, 100, True)[home] > 0.8 * 60


def test_hosts_that_are_not_listed_are_passed_over() -> None:
    made = bench()
    made.tell(PooledPayoffs((("gone", 0.0),)))
    assert homes(made, 1, False)


@pytest.mark.parametrize(
    ("outcome", "told"),
    [
        (Outcome.SUCCESS, (1, 0)),
        (Outcome.ERROR, (0, 1)),
        (Outcome.RESET, (0, 1)),
        (Outcome.CONNECT_FAILED, (0, 1)),
        (Outcome.MOOT, None),
        (Outcome.CANCELLED, None),
    ],
)
def test_outcomes_are_told_once(outcome: Outcome, told: tuple[int, int] | None) -> None:
    made = bench()
    (sent,) = only(SendAttempt, made.arrive(repeatable=False, max_attempts=1))
    made.end(outcome)
    untold = {
        host: (served, missed) for host, served, missed in made.decider.take_unreported_outcomes()
    }
    assert untold.get(sent.host) == told
    assert made.decider.take_unreported_outcomes() == []
