"""For random event sequences every action equals that recorded from version 0.3.0.

Each digest covers all actions of one sequence, in order, with every field. Refactoring must not
change the digests; a change of the decider's behaviour records new ones and gives the reason.
"""

from __future__ import annotations

from dataclasses import fields, replace
from enum import Enum
from hashlib import sha256
from typing import TYPE_CHECKING

import pytest

from roselink.routing.events_and_actions import (
    AcquireSharedBudget,
    Action,
    AttemptEnded,
    CancelAttempt,
    Event,
    FinalResponse,
    PooledPayoffs,
    SendAttempt,
    StartTimer,
)
from roselink.routing.outcome import Outcome
from tests.routing.test_invariants import SimulatedDataPlane

if TYPE_CHECKING:
    from collections.abc import Iterable

STEPS = 1500
OUTCOMES_EXCEPT_CANCELLED: list[Outcome] = [
    outcome for outcome in Outcome if outcome is not Outcome.CANCELLED
]
MOSTLY_SUCCESSES: list[Outcome] = [Outcome.SUCCESS] * 12 + OUTCOMES_EXCEPT_CANCELLED

# Names of the actions in the digests, which do not change with the names of the classes.
ACTION_NAMES: dict[type, str] = {
    SendAttempt: "send",
    CancelAttempt: "cancel",
    AcquireSharedBudget: "ask",
    FinalResponse: "final",
    StartTimer: "timer",
}

RECORDED = {
    (1, "good"): "3c60b8dcd0696828e618a9eb35c3508dbeaa2218e66a67ba72905dec3c866fde",
    (2, "good"): "fdf7076577a93cb97d3fb478aa891f522516dc10af3c65215f97df8a10e338a2",
    (3, "good"): "81461351305cfa88ce8f997e11c7bf3454b10471fc8b7107038364d8040023fb",
    (4, "bad"): "ff2c0abe8055c16c4f47e701e860f2e191c9771edee8fd4c42514a5a93b489d7",
    (5, "bad"): "e199567992e417730e464ce1a4222bb6102a1a998769f9d995e3b5e91c4086fc",
    (6, "bad"): "c0bc8425c9839d1b1fc5fe3cfc38a6ca85018ee9f860e503564cd9e413298049",
}


class RecordingDataPlane(SimulatedDataPlane):
    """Records every action, and sometimes sends pooled payoffs."""

    def __init__(self, seed: int, outcomes: list[Outcome]) -> None:
        super().__init__(seed, outcomes, granted_fraction=0.5)
        self.record = sha256()
        self.count = 0
        decide = self.harness.decider.handle

        def handle(now: float, event: Event) -> list[Action]:
            actions = decide(now, event)
            self.record_actions(actions)
            return actions

        self.harness.decider.handle = handle  # type: ignore[method-assign]

    def record_actions(self, actions: Iterable[Action]) -> None:
        for action in actions:
            self.count += 1
            values = [getattr(action, field.name) for field in fields(action)]
            plain_values = [value.value if isinstance(value, Enum) else value for value in values]
            self.record.update(f"{ACTION_NAMES[type(action)]} {plain_values!r}\n".encode())

    def handle(self, event: Event) -> None:
        """Turn some outcomes into those of a wrong host, or of an error relayed to the client."""
        if isinstance(event, AttemptEnded) and self.rng.random() < 0.2:
            if event.outcome is Outcome.FULL:
                event = replace(event, wrong_host=True)
            elif event.outcome is Outcome.ERROR and event.number in self.awaiting_response:
                event = replace(event, relayed=True)
                self.awaiting_response.discard(event.number)
        super().handle(event)

    def step(self) -> None:
        super().step()
        chance = self.rng.random()
        if chance < 0.02:
            hosts = tuple((f"h{n}", self.rng.random()) for n in range(5) if n % 2)
            self.handle(PooledPayoffs(hosts))
        elif chance < 0.04:
            unreported = [tuple(each) for each in self.harness.decider.take_unreported_outcomes()]
            self.record.update(f"untold {unreported!r}\n".encode())


@pytest.mark.parametrize(("seed", "outcome_mix"), RECORDED, ids=str)
def test_actions_equal_the_recorded_ones(seed: int, outcome_mix: str) -> None:
    data_plane = RecordingDataPlane(
        seed, MOSTLY_SUCCESSES if outcome_mix == "good" else OUTCOMES_EXCEPT_CANCELLED
    )
    data_plane.change_topology()
    for _ in range(STEPS):
        data_plane.step()
    data_plane.finish()
    assert data_plane.count > STEPS
    assert data_plane.record.hexdigest() == RECORDED[seed, outcome_mix]
