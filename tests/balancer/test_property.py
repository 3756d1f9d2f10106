"""Random valid histories keep the rules of an independent checker, which detects broken rules."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from roselink.balancer import decider
from roselink.balancer.decider import Balancer
from roselink.balancer.interface import (
    Action,
    Alarm,
    Arrived,
    AttemptDone,
    Cancel,
    Departed,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    Refuse,
    Route,
    Send,
    Server,
    ServerList,
    SetAlarm,
    Settings,
    State,
)
from roselink.balancer.request_state import Request
from roselink.balancer.slow_start import SlowStart
from roselink.routing.outcome import Outcome
from tests.support.rule_checker import RuleBrokenError, RuleChecker

if TYPE_CHECKING:
    from collections.abc import Callable

WORK_US = 20_000
TICK_US = 5_000


def routes(memory_span_us: int) -> tuple[Route, ...]:
    base: dict[str, Any] = {
        "aim_us": 200_000,
        "deadline_us": 600_000,
        "memory_span_us": memory_span_us,
    }
    return (
        Route("safe", Effect.SAFE, worth=2.0, **base),
        Route("all", Effect.KEYED, group=Group.ALL, **base),
        Route("zone", Effect.KEYED, group=Group.ZONE, **base),
        Route("cell", Effect.KEYED, group=Group.CELL, **base),
        Route("unsafe", Effect.UNSAFE, **base),
        Route("long", Effect.SAFE, aim_us=500_000, deadline_us=900_000),
    )


class RandomHistory:
    """Runs a valid random history: servers fail, hang, stop, drain and restart, clients leave."""

    def __init__(self, seed: int, parallel: bool, memory_span_us: int, failure_rate: float) -> None:
        self.rng = random.Random(seed)
        self.failure_rate = failure_rate
        self.settings = Settings(
            routes=routes(memory_span_us),
            balancers=self.rng.choice([1, 2, 3]),
            discovery_asks=self.rng.random() < 0.5,
            tenant_quotas_per_s=(40.0, 20.0),
            over_quota_worth=0.1,
            max_attempts=self.rng.choice([1, 2, 4]),
            parallel_tries=parallel,
            cancelling=self.rng.random() < 0.8,
            retry_after=True,
            max_retry_after_us=500_000,
            drain_grace_us=0,
            cold_us=3_000_000,
            cold_from=0.25,
            fall_multiple=2.5,
            fall_window_us=1_000_000,
            answer_slack_us=2 * TICK_US,
            warm_keys=self.rng.random() < 0.5,
        )
        self.now = 10_000_000
        self.balancer = Balancer(self.settings, seed)
        self.checker = RuleChecker(self.settings, WORK_US)
        self.scheduled_events: list[tuple[int, int, Event]] = []
        self.event_count = 0
        self.next_request = 0
        self.attempt_counts: dict[int, int] = {}
        self.give_up: dict[int, int] = {}
        self.finished: set[int] = set()
        self.in_flight: set[tuple[int, int]] = set()
        self.servers = [Server(50 + i, zone=i % 2, cell=i % 4, kind=i % 2) for i in range(7)]
        started = self.now - 500_000
        self.servers[0] = self.servers[0]._replace(started_us=started)

    def schedule(self, delay_us: int, event: Event) -> None:
        self.event_count += 1
        self.scheduled_events.append((self.now + max(delay_us, TICK_US), self.event_count, event))

    def run(self, ticks: int) -> None:
        self.step([ServerList(ListKind.CACHED, tuple(self.servers))])
        for tick in range(ticks):
            self.now += TICK_US
            events: list[Event] = []
            if tick < ticks - 250:
                events += self.server_changes()
                for _ in range(self.rng.choice([0, 0, 1, 1, 2])):
                    events.append(self.arrival())
            ready = sorted(d for d in self.scheduled_events if d[0] <= self.now)
            self.scheduled_events = [d for d in self.scheduled_events if d[0] > self.now]
            for _, _, event in ready:
                events += self.deliver(event)
            if events:
                self.step(events)
            else:
                self.checker.check_actions(self.now, [])
        assert self.give_up.keys() == self.finished
        assert not self.balancer.requests
        assert self.balancer.state.queued == 0
        assert all(s.in_flight == s.overdue == 0 for s in self.balancer.state.servers.values())

    def server_changes(self) -> list[Event]:
        roll = self.rng.random()
        index = self.rng.randrange(len(self.servers))
        server = self.servers[index]
        if roll < 0.01:
            state = self.rng.choice([State.DRAINING, State.GONE, State.READY])
            fresh = server.state is not State.READY and state is State.READY
            server = server._replace(
                state=state, started_us=self.now if fresh else server.started_us
            )
            self.servers[index] = server
            return [ServerList(ListKind.CHANGES, (server,))]
        if roll < 0.015:
            return [
                ServerList(
                    ListKind.FULL, tuple(s for s in self.servers if s.state is not State.GONE)
                )
            ]
        return [ServerList(ListKind.FAILED)] if roll < 0.02 else []

    def arrival(self) -> Event:
        self.next_request += 1
        number, route = self.next_request, self.rng.randrange(len(self.settings.routes))
        wait = int(self.settings.routes[route].deadline_us * self.rng.choice([0.5, 1.0, 1.0]))
        self.give_up[number] = self.now + wait
        self.attempt_counts[number] = 0
        if self.rng.random() < 0.03:
            self.schedule(self.rng.randrange(wait), Departed(number))
        key = self.rng.choice([None, "a", "b", "c"])
        return Arrived(number, route, self.now + wait, key, tenant=self.rng.randrange(3))

    def deliver(self, event: Event) -> list[Event]:
        if isinstance(event, Departed):
            if event.request in self.finished:
                return []
            self.finished.add(event.request)
        if isinstance(event, AttemptDone):
            if (event.request, event.attempt) not in self.in_flight:
                return []
            self.in_flight.discard((event.request, event.attempt))
            closed = event.request in self.finished or event.outcome is Outcome.SUCCESS
            if closed:
                self.finished.add(event.request)
            return [event._replace(closed=closed)]
        return [event]

    def step(self, events: list[Event]) -> None:
        self.checker.record_events(self.now, events)
        actions = self.balancer.handle(self.now, events)
        self.checker.check_actions(self.now, actions)
        self.apply(actions)

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetAlarm):
                self.schedule(action.delay_us, Alarm(action.tag))
            elif isinstance(action, Send):
                self.record_send(action)
            elif isinstance(action, Cancel):
                done = AttemptDone(action.request, action.attempt, Outcome.CANCELLED, TICK_US)
                self.schedule(TICK_US, done)
            elif isinstance(action, Refuse | Fail):
                self.finished.add(action.request)

    def record_send(self, action: Send) -> None:
        number = self.attempt_counts[action.request]
        self.attempt_counts[action.request] += 1
        self.in_flight.add((action.request, number))
        remaining_us = self.give_up[action.request] - self.now
        if self.rng.random() < self.failure_rate:
            outcome: Outcome = self.rng.choice([o for o in Outcome if o is not Outcome.SUCCESS])
            elapsed = (
                remaining_us if outcome is Outcome.TIMEOUT else self.rng.randrange(TICK_US, 150_000)
            )
        else:
            outcome = Outcome.SUCCESS
            elapsed = int(self.rng.expovariate(1 / WORK_US)) + TICK_US
        if elapsed >= remaining_us:
            outcome, elapsed = Outcome.TIMEOUT, remaining_us
        self.schedule(elapsed, AttemptDone(action.request, number, outcome, elapsed))


@settings(max_examples=40, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    seed=st.integers(0, 10**6),
    parallel=st.booleans(),
    memory_span_us=st.sampled_from([30_000, 100_000, 2_000_000]),
    failure_rate=st.sampled_from([0.05, 0.3, 0.8, 1.0]),
)
def test_random_valid_histories_keep_the_rules(
    seed: int, parallel: bool, memory_span_us: int, failure_rate: float
) -> None:
    RandomHistory(seed, parallel, memory_span_us, failure_rate).run(1000)


def break_final_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "end_queued", lambda self, request: None)


def break_send_after_final_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    def finish(self: Balancer, request: Request) -> None:
        self.actions.append(Fail(request.id))
        if server := self.chooser.choose(request):
            self.send(request, server)
        self.close(request)

    monkeypatch.setattr(Balancer, "finish", finish)


def break_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Request, "may_have_run", lambda self: [])


def break_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(decider, "may_refuse", lambda request: True)


def break_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    on_server_list = Balancer.on_server_list

    def ignore_draining(self: Balancer, event: ServerList) -> None:
        servers = tuple(server._replace(state=State.READY) for server in event.servers)
        on_server_list(self, event._replace(servers=servers))

    monkeypatch.setitem(decider.HANDLERS, ServerList, ignore_draining)


def break_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "allows", lambda self, request, server: True)


@pytest.mark.parametrize(
    ("break_rule", "rule"),
    [
        (break_final_answer, "1: .* no final answer"),
        (break_send_after_final_answer, "1: .* after its end"),
        (break_effect, "2: "),
        (break_refusal, "2: .* refused"),
        (break_drain, "3: "),
        (break_slow_start, "4: "),
    ],
)
def test_rule_checker_detects_each_broken_rule(
    break_rule: Callable[[pytest.MonkeyPatch], None], rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    break_rule(monkeypatch)
    with pytest.raises(RuleBrokenError, match=f"^{rule}"):
        for seed in range(40):
            RandomHistory(
                seed, parallel=seed % 2 == 0, memory_span_us=60_000, failure_rate=0.3
            ).run(1000)


def test_refusals_carry_no_retry_after_by_default() -> None:
    balancer = Balancer(Settings(routes=routes(1)), 1)
    assert Refuse(1) in balancer.handle(5, [Arrived(1, 0, 6), ServerList(ListKind.FULL, ())]) + (
        balancer.handle(7_000, [Alarm(1)])
    )
