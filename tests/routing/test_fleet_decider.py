"""The fleet decider is deterministic, and keeps no state of finished requests."""

from __future__ import annotations

import random
from dataclasses import replace

from roselink.routing.events_and_actions import (
    Action,
    AttemptEnded,
    RequestArrived,
    TopologyChanged,
)
from roselink.routing.fleet_decider import FleetDecider
from roselink.routing.outcome import Outcome
from tests.routing.builders import (
    ATTEMPT_SENT,
    FACTS,
    MAY_HAVE_RUN,
    after_backoff,
    hosts,
    new_harness,
    result_of,
)


def test_same_seed_and_events_produce_the_same_actions() -> None:
    def run_events(seed: int) -> list[list[Action]]:
        decider = FleetDecider("z", seed, 0.2, 10.0)
        rng = random.Random(7)
        actions = []
        actions.append(decider.handle(0.0, TopologyChanged(hosts(5), ())))
        for number in range(300):
            now = number * 0.02
            facts = RequestArrived(
                replace(
                    FACTS, number=number, arrived_at=now, deadline=now + 2, target_latency_s=0.5
                )
            )
            actions.append(decider.handle(now, facts))
            ended = AttemptEnded(number, 0, rng.choice(list(Outcome)), 0.01)
            actions.append(decider.handle(now + 0.01, ended))
        return actions

    assert run_events(3) == run_events(3)
    assert run_events(3) != run_events(4)


def test_state_of_finished_requests_is_removed() -> None:
    harness = new_harness()
    for number in range(20_000, 20_500):
        harness.arrive(number=number)
        harness.end_attempt(Outcome.SUCCESS, number=number)
    harness.advance(harness.now + 10.0)
    assert harness.decider._lifecycle.requests == {}
    assert harness.decider._timers._timers == []
    assert FACTS.number not in harness.decider._lifecycle.awaiting_host


def test_request_keeps_the_policy_of_its_arrival() -> None:
    harness = new_harness(count=8)
    harness.arrive(number=1, repeatable=True, max_attempts=3)
    # As after a change of the configuration.
    harness.arrive(number=2, repeatable=False, max_attempts=1)
    assert (
        result_of(after_backoff(harness, harness.end_attempt(Outcome.ERROR, number=1), until=0.1))
        == ATTEMPT_SENT
    )
    assert result_of(harness.end_attempt(Outcome.ERROR, number=2)) == MAY_HAVE_RUN
