"""Actions of the balancer over fixed random histories, compared with a recording.

The recording (`data/recorded_actions.json`) dates from before the balancer was split into modules.
Equal digests show that a refactoring changes no decision. After an intended change of decisions,
record again: `python -m tests.balancer.test_recorded_histories`.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from roselink.balancer import Arrived, AttemptDone, Balancer, Outcome, Route, Server, StreamStarted
from tests.balancer.test_property import TICK_US, RandomHistory

if TYPE_CHECKING:
    from roselink.balancer import Event, Send

RECORDING = Path(__file__).parent / "data" / "recorded_actions.json"
TICKS = 1_500
DELAY_PER_ATTEMPT_US = 15_000
SEEDS = range(16)


class RecordedHistory(RandomHistory):
    """A random valid history that keeps a digest of every action, field by field.

    Varies settings that only larger fleets use, besides those of `RandomHistory`: many balancers
    (so that the host window is used), zone prices, hints of work and size, marked repeats, late
    answers with a value, and streams.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(
            seed,
            parallel=seed % 2 == 0,
            memory_span_us=[30_000, 100_000, 2_000_000][seed % 3],
            failure_rate=[0.02, 0.1, 0.3, 0.8][seed // 2 % 4],
        )
        self.digest = hashlib.sha256()
        self.actions = 0
        self.slows_under_load = seed % 4 >= 2  # latency grows with the attempts in flight
        balancers = self.rng.choice([1, 3, 40])
        servers = self.rng.choice([4, 12, 40])
        self.settings = dataclasses.replace(
            self.settings,
            routes=tuple(self.vary_route(route) for route in self.settings.routes),
            balancers=balancers,
            number=self.rng.randrange(balancers),
            zone=self.rng.randrange(2),
            price_cross_zone=self.rng.choice([0.0, 0.1]),
            hints_are_sizes=self.rng.random() < 0.5,
            clients_mark_repeats=self.rng.random() < 0.5,
            retry_after=self.rng.random() < 0.5,
        )
        self.balancer = Balancer(self.settings, seed)
        self.servers = [
            Server(50 + i, zone=i % 2, cell=i % 4, kind=i % 3, hint=1.0 + i % 2)
            for i in range(servers)
        ]
        for cold in range(servers // 4):
            started_us = self.now - 500_000
            self.servers[cold] = self.servers[cold]._replace(started_us=started_us)

    def vary_route(self, route: Route) -> Route:
        return dataclasses.replace(
            route,
            late_worth=self.rng.choice([0.0, 0.0, 0.3]),
            aim_stretch=self.rng.choice([0.0, 0.5]),
            aim_us=self.rng.choice([route.aim_us, None]),
        )

    def arrival(self) -> Event:
        event = super().arrival()
        assert isinstance(event, Arrived)
        work_us = self.rng.choice([None, self.rng.randrange(1_000, 60_000)])
        return event._replace(work_us=work_us, repeat=self.rng.random() < 0.1)

    def schedule(self, delay_us: int, event: Event) -> None:
        if (
            isinstance(event, AttemptDone)
            and event.outcome is Outcome.SUCCESS
            and self.slows_under_load
        ):
            delayed_us = delay_us + DELAY_PER_ATTEMPT_US * len(self.in_flight)
            if delayed_us < self.give_up[event.request] - self.now:
                event = event._replace(elapsed_us=delayed_us)
                delay_us = delayed_us
        super().schedule(delay_us, event)

    def record_send(self, action: Send) -> None:
        super().record_send(action)
        if self.rng.random() < 0.05:
            attempt = self.attempt_counts[action.request] - 1
            self.schedule(TICK_US, StreamStarted(action.request, attempt, TICK_US))

    def deliver(self, event: Event) -> list[Event]:
        if isinstance(event, StreamStarted):
            if (
                event.request,
                event.attempt,
            ) not in self.in_flight or event.request in self.finished:
                return []
            self.finished.add(event.request)
        return super().deliver(event)

    def step(self, events: list[Event]) -> None:
        actions = self.balancer.handle(self.now, events)
        for action in actions:
            values = (self.now, type(action).__name__, tuple(action))
            self.digest.update(repr(values).encode())
        self.actions += len(actions)
        self.apply(actions)


def replay(seed: int) -> list[str | int]:
    history = RecordedHistory(seed)
    history.run(TICKS)
    return [history.digest.hexdigest(), history.actions]


@pytest.mark.parametrize("seed", SEEDS)
def test_actions_match_the_recording(seed: int) -> None:
    assert replay(seed) == json.loads(RECORDING.read_text())[str(seed)]


if __name__ == "__main__":
    RECORDING.parent.mkdir(exist_ok=True)
    RECORDING.write_text(json.dumps({str(seed): replay(seed) for seed in SEEDS}, indent=1) + "\n")
