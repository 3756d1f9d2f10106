"""Slow start (rule 4) of a fleet: load that all balancers together put on a cold server."""

from __future__ import annotations

import copy
import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import pytest

from roselink.balancer.decider import Balancer
from roselink.balancer.interface import (
    Alarm,
    Arrived,
    AttemptDone,
    Departed,
    Effect,
    Event,
    ListKind,
    Route,
    Send,
    Server,
    ServerList,
    SetAlarm,
    Settings,
)
from roselink.routing.outcome import Outcome

TICK_US = 5_000
START_US = 100_000_000


class Deployment(NamedTuple):
    """Settings of a deployment, and the actual properties of its machines and requests."""

    objectives_us: tuple[int, int]
    deadlines_us: tuple[int, int]
    mean_work_us: tuple[int, int]
    io_us: int
    work_cv: float
    work_hints: bool
    cores: int
    speeds: tuple[float, ...]  # of each kind of machine
    speed_cv: float
    cold_us: int
    cold_from: float
    fall_window_us: int
    max_requests: int  # capacity of a server, with queued requests
    parallel: bool = True
    attempts: int = 3


SINGLE_CORE = Deployment(
    objectives_us=(1_200_000, 800_000),
    deadlines_us=(5_000_000, 2_000_000),
    mean_work_us=(57_000, 57_000),
    io_us=140_000,
    work_cv=2.0,
    work_hints=False,
    cores=1,
    speeds=(1.3, 0.98, 0.7),
    speed_cv=0.2,
    cold_us=9_000_000,
    cold_from=0.3,
    fall_window_us=3_000_000,
    max_requests=30,
)
DUAL_CORE = Deployment(
    objectives_us=(500_000, 600_000),
    deadlines_us=(1_500_000, 1_500_000),
    mean_work_us=(150_000, 130_000),
    io_us=0,
    work_cv=0.5,
    work_hints=True,
    cores=2,
    speeds=(1.8, 0.88),
    speed_cv=0.2,
    cold_us=23_000_000,
    cold_from=0.15,
    fall_window_us=2_000_000,
    max_requests=6,
)
DEPLOYMENTS = {
    "upisnik-zagreb": DUAL_CORE,
    "split-clinic": DUAL_CORE._replace(
        objectives_us=(450_000, 550_000),
        deadlines_us=(1_100_000, 1_300_000),
        mean_work_us=(115_000, 120_000),
        parallel=False,
        attempts=4,
    ),
    "bratislava-desks": SINGLE_CORE,
    "kosice-permits": SINGLE_CORE._replace(
        objectives_us=(600_000, 700_000),
        deadlines_us=(1_500_000, 1_800_000),
        io_us=90_000,
        work_hints=True,
        fall_window_us=2_000_000,
        attempts=2,
    ),
}


@dataclass
class Machine:
    """A simulated server: cores serve requests in order; those beyond its capacity are refused."""

    spec: Server
    speed: float
    cores: list[float]
    received: list[tuple[int, float]] = field(default_factory=list)
    completions: deque[float] = field(default_factory=deque)


class Fleet:
    """All balancers and servers of a deployment, with a request for every send that is allowed."""

    def __init__(
        self,
        deployment: Deployment,
        balancers: int,
        seed: int,
        samples: int,
        cold: int = 1,
        kind: int = -1,
        sized_by_speed: bool = False,
        known_after_us: int = 0,
    ) -> None:
        self.deployment, self.rng, self.now = deployment, random.Random(seed), START_US
        self.ids, self.sequence = itertools.count(1), itertools.count()
        self.heap: list[tuple[float, int, int, Event]] = []
        self.request_work: dict[int, float] = {}  # actual work by request
        values: dict[str, Any] = {
            "balancers": balancers,
            "cold_us": deployment.cold_us,
            "cold_from": deployment.cold_from,
            "fall_multiple": 3.0,
            "fall_window_us": deployment.fall_window_us,
            "hints_are_sizes": True,
            "cancelling": True,
            "parallel_tries": deployment.parallel,
            "max_attempts": deployment.attempts,
            "routes": tuple(
                Route("r", Effect.SAFE, a, d)
                for a, d in zip(deployment.objectives_us, deployment.deadlines_us, strict=True)
            ),
        }
        self.kind_speed = [s * self.rng.uniform(0.85, 1.15) for s in deployment.speeds]
        self.sized_by_speed = sized_by_speed
        warm = [
            self.make_machine(10 * k + i, k, None)
            for k in range(len(deployment.speeds))
            for i in range(3)
        ]
        kind %= len(deployment.speeds)
        self.start_us = START_US - known_after_us
        self.cold = [self.make_machine(100 + i, kind, self.start_us) for i in range(cold)]
        self.machines = {m.spec.id: m for m in warm + self.cold}
        trained = [Balancer(Settings(**values), seed * 1000 + n) for n in range(min(5, balancers))]
        for b in trained if samples else ():
            self.train(b, [m.spec for m in warm], samples)
        self.balancers = [copy.deepcopy(trained[n % len(trained)]) for n in range(balancers)]
        for n, b in enumerate(self.balancers):
            b.state.settings = Settings(number=n, **values)
            b.state.random = random.Random(seed * 1000 + n)
            self.handle(
                n, [ServerList(ListKind.FULL, tuple(m.spec for m in self.machines.values()))]
            )

    def make_machine(self, number: int, kind: int, started_us: int | None) -> Machine:
        spread = self.deployment.speed_cv
        speed = self.kind_speed[kind] * min(
            1 + 2 * spread, max(1 - 2 * spread, self.rng.gauss(1.0, spread))
        )
        size = (
            self.deployment.cores
            * (speed if self.sized_by_speed else 1.0)
            * self.rng.uniform(0.8, 1.25)
        )
        spec = Server(number, kind=kind, hint=size, started_us=started_us)
        return Machine(spec, speed, [0.0] * self.deployment.cores)

    def make_arrival(self, now: int) -> Arrived:
        number, route, spread = (
            next(self.ids),
            self.rng.randrange(2),
            math.log(1 + self.deployment.work_cv**2),
        )
        work = self.deployment.mean_work_us[route] * self.rng.lognormvariate(
            -spread / 2, math.sqrt(spread)
        )
        self.request_work[number] = work
        hint = int(work * self.rng.uniform(0.7, 1.3)) if self.deployment.work_hints else None
        return Arrived(number, route, now + self.deployment.deadlines_us[route], work_us=hint)

    def train(self, b: Balancer, warm: list[Server], samples: int) -> None:
        """Completes requests without queueing, so that latencies show the speed of the machines."""
        b.handle(START_US - 30_000_000, [ServerList(ListKind.FULL, tuple(warm))])
        for i in range(samples):
            now = START_US - 25_000_000 + i * 100_000
            event = self.make_arrival(now)
            for send in b.handle(now, [event]):
                if isinstance(send, Send):
                    elapsed_us = (
                        int(self.request_work[send.request] / self.machines[send.server].speed)
                        + self.deployment.io_us
                    )
                    b.handle(
                        now,
                        [AttemptDone(send.request, 0, Outcome.SUCCESS, elapsed_us, closed=True)],
                    )
        b.alarms.clear()
        if samples > 64:
            b.slow_start.load_factor = 0.5 * b.settings.fall_multiple

    def capacity_fraction(self, now: float) -> float:
        elapsed = min(1.0, (now - self.start_us) / self.deployment.cold_us)
        return self.deployment.cold_from + (1.0 - self.deployment.cold_from) * elapsed

    def handle(self, n: int, events: list[Event]) -> bool:
        """Gives a balancer events and applies its actions; returns whether it sent anything."""
        sent = False
        for a in self.balancers[n].handle(self.now, events):
            if isinstance(a, SetAlarm):
                heapq.heappush(
                    self.heap, (self.now + a.delay_us, next(self.sequence), n, Alarm(a.tag))
                )
            elif isinstance(a, Send):
                sent = True
                self.serve(n, a)
        return sent

    def serve(self, n: int, send: Send) -> None:
        m, now = self.machines[send.server], self.now + 300
        request, cost = self.balancers[n].requests[send.request], self.request_work[send.request]
        attempt = len(request.attempts) - 1
        capacity = self.capacity_fraction(now) if m.spec.started_us else 1.0
        m.received.append((now, cost))
        while m.completions and m.completions[0] <= now:
            m.completions.popleft()
        if m.spec.started_us and len(m.completions) >= self.deployment.max_requests:
            outcome, end = Outcome.FULL, now + 300.0
        else:
            core = min(range(len(m.cores)), key=m.cores.__getitem__)
            begin = max(now, m.cores[core]) if m.spec.started_us else now
            outcome, end = Outcome.SUCCESS, begin + cost / (m.speed * capacity)
            m.cores[core] = end
            m.completions.append(end)
            end += self.deployment.io_us
        if end > request.give_up_us:
            outcome, end = Outcome.TIMEOUT, request.give_up_us
        event = AttemptDone(
            send.request, attempt, outcome, int(end - self.now), outcome is Outcome.SUCCESS
        )
        heapq.heappush(self.heap, (end, next(self.sequence), n, event))

    def run(self, span_us: int, idle_us: int = 0) -> None:
        end = START_US + span_us
        for tick in range(START_US + idle_us, end, TICK_US):
            while self.heap and self.heap[0][0] <= tick:
                _, _, n, event = heapq.heappop(self.heap)
                self.now = tick
                self.handle(n, [event])
            self.now = tick
            for n, b in enumerate(self.balancers if tick >= START_US + idle_us else ()):
                for _ in range(20):
                    if not any(
                        s.next_send_us <= tick and s.in_flight + 1 <= max(1.0, b.limit.server_limit)
                        for s in b.state.cold
                    ):
                        break
                    event = self.make_arrival(tick)
                    if not self.handle(n, [event]):
                        self.handle(n, [Departed(event.request)])
                        break

    def load_ratios(self) -> tuple[float, float]:
        """Returns the peak over the load at which a server fails, and the mean over the nominal."""
        worst, means = 0.0, []
        window, mean = self.deployment.fall_window_us, sum(self.deployment.mean_work_us) / 2
        for m in self.cold:
            inside: deque[tuple[int, float]] = deque()
            total = 0.0
            window_loads = []
            for at, cost in m.received:
                inside.append((at, cost))
                total += cost / mean
                while inside[0][0] <= at - window:
                    total -= inside.popleft()[1] / mean
                n = (
                    3.0
                    * self.deployment.cores
                    * m.speed
                    * self.capacity_fraction(at)
                    * window
                    / mean
                )
                worst = max(worst, total / (n + 2 * math.sqrt(n) + 2))
                if at > START_US + window:
                    window_loads.append(total / n)
            means.append(sum(window_loads) / max(1, len(window_loads)))
        return worst, sum(means) / len(means)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("balancers", [2, 25, 100])
@pytest.mark.parametrize("samples", [0, 150])
def test_fleet_keeps_a_cold_server_within_its_budget(
    deployment: str, balancers: int, samples: int
) -> None:
    """The budget, which the operators require, holds with unlimited requests, with and without
    learned estimates.
    """
    fleet = Fleet(DEPLOYMENTS[deployment], balancers, balancers, samples)
    fleet.run(3_000_000)
    assert fleet.cold[0].received
    assert fleet.load_ratios()[0] < 1.0


@pytest.mark.parametrize("samples", [0, 150])
def test_burst_after_idle_time_does_not_use_all_missed_send_slots(samples: int) -> None:
    """All balancers restart while a server warms up, get no request for ten seconds, then many."""
    for seed in range(1, 5):
        fleet = Fleet(DEPLOYMENTS["split-clinic"], 200, seed, samples, known_after_us=8_000_000)
        fleet.run(12_000_000, idle_us=10_000_000)
        assert fleet.load_ratios()[0] < 1.0


def test_unknown_request_work_does_not_bias_learned_speeds() -> None:
    """Without hints the cost is a mean: most requests are below it and a few far above."""
    uniform = DEPLOYMENTS["bratislava-desks"]._replace(io_us=0, speeds=(1.0,), speed_cv=0.0)
    balancers = [b for seed in range(1, 6) for b in Fleet(uniform, 5, seed, 150).balancers]
    assert 0.8 < sum(2.0 ** -b.speeds.log2_slowness[0] for b in balancers) / len(balancers) < 1.25


@pytest.mark.parametrize("work_hints", [False, True])
@pytest.mark.parametrize("samples", [0, 2, 8])
def test_first_pauses_account_for_expensive_request_classes(samples: int, work_hints: bool) -> None:
    """With a cheap and an expensive class, pauses based on the cheap one would make all first sends
    coincide.
    """
    deployment = DEPLOYMENTS["upisnik-zagreb"]._replace(
        objectives_us=(100_000, 2_000_000), mean_work_us=(20_000, 500_000)
    )
    for seed in range(1, 5):
        fleet = Fleet(deployment._replace(work_hints=work_hints), 100, seed, samples)
        fleet.run(4_000_000)
        assert fleet.load_ratios()[0] < 1.0
