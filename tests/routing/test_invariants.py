"""Invariants under random events: bounded attempts, one final response, no unsafe retry."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from roselink.routing.events_and_actions import (
    AcquireSharedBudget,
    Action,
    AttemptEnded,
    BudgetDecided,
    CancelAttempt,
    Event,
    FailureReason,
    FinalResponse,
    FirstEvent,
    RequestArrived,
    RequestClosed,
    RequestFacts,
    SendAttempt,
    TimerFired,
    TopologyChanged,
)
from roselink.routing.outcome import NEVER_RAN, Outcome
from tests.routing.builders import FACTS, DeciderHarness, host, prompt

if TYPE_CHECKING:
    from roselink.model.fleet import Host

UNSENT = {Outcome.CONNECT_FAILED, Outcome.MOOT}
RATIO = 0.2
WINDOW_S = 10.0


class SimulatedDataPlane:
    """A data plane that generates events from a seed, and checks every action."""

    def __init__(self, seed: int, outcomes: list[Outcome], granted_fraction: float) -> None:
        self.rng = random.Random(seed)
        self.outcomes = outcomes
        self.granted_fraction = granted_fraction
        self.harness = DeciderHarness()
        self.listed: set[str] = set()
        self.facts: dict[int, RequestFacts] = {}
        self.in_flight: dict[tuple[int, int], str] = {}
        self.ended: dict[int, list[Outcome]] = {}
        self.awaiting_response: set[int] = set()  # requests without a final response
        self.cancelled: set[tuple[int, int]] = set()
        self.started_streams: set[int] = set()  # requests whose stream was relayed in part
        self.retries: list[float] = []
        self.first_sends: list[float] = []
        self.granted: set[int] = set()
        self.requested: Counter[int] = Counter()

    def handle(self, event: Event) -> None:
        self.check(self.harness.handle(event))

    def check(self, actions: list[Action]) -> None:
        requested = []
        for action in actions:
            if isinstance(action, SendAttempt):
                self.on_send(action)
            elif isinstance(action, CancelAttempt):
                assert (action.number, action.attempt) in self.in_flight
                self.cancelled.add((action.number, action.attempt))
            elif isinstance(action, AcquireSharedBudget):
                self.requested[action.number] += 1
                assert self.requested[action.number] <= self.facts[action.number].max_attempts + 3
                requested.append(action.number)
            elif isinstance(action, FinalResponse):
                self.on_final(action)
        for number in requested:
            if number in self.awaiting_response:
                allowed = self.rng.random() < self.granted_fraction
                self.granted |= {number} if allowed else set()
                self.handle(BudgetDecided(number, allowed=allowed))

    def on_send(self, action: SendAttempt) -> None:
        number = action.number
        facts = self.facts[action.number]
        ended = self.ended.setdefault(number, [])
        assert number in self.awaiting_response
        assert self.harness.now < facts.deadline
        assert action.host in self.listed
        in_flight_keys = [key for key in self.in_flight if key[0] == number]
        if not facts.repeatable:
            assert not in_flight_keys
            assert all(outcome in NEVER_RAN for outcome in ended)
        sent_count = len(in_flight_keys) + sum(outcome not in UNSENT for outcome in ended)
        assert sent_count < facts.max_attempts
        assert len(ended) + len(in_flight_keys) <= facts.max_attempts + 3
        assert action.attempt == len(ended) + len(in_flight_keys)
        if action.attempt == 0:
            self.first_sends.append(self.harness.now)
        elif number in self.granted:
            self.granted.discard(number)
        else:
            self.retries.append(self.harness.now)
            recent = sum(at > self.harness.now - WINDOW_S for at in self.first_sends)
            assert sum(at > self.harness.now - WINDOW_S for at in self.retries) <= RATIO * recent
        self.in_flight[(number, action.attempt)] = action.host

    def on_final(self, action: FinalResponse) -> None:
        assert action.number in self.awaiting_response
        self.awaiting_response.discard(action.number)
        ran = any(number == action.number for number, _ in self.in_flight)
        ran = ran or any(outcome not in NEVER_RAN for outcome in self.ended.get(action.number, []))
        assert (action.reason is FailureReason.NOT_RUN) == (not ran)
        assert 0 <= action.retry_after_s <= 0.3

    def step(self) -> None:
        self.advance(self.harness.now + self.rng.expovariate(20.0))
        if self.rng.random() < 0.05:
            self.change_topology()
        elif self.in_flight and self.rng.random() < 0.6:
            self.end_attempt(self.rng.choice(list(self.in_flight)))
        else:
            self.arrive()

    def advance(self, until: float) -> None:
        while (due := min(self.harness.timers, default=None)) is not None and due[0] <= until:
            self.harness.timers.remove(due)
            self.harness.now = max(self.harness.now, due[0])
            self.handle(TimerFired(due[1]))
        self.harness.now = max(self.harness.now, until)

    def change_topology(self) -> None:
        hosts: list[Host] = [
            host(f"h{n}", capacity=4, ready=self.rng.random() < 0.8)
            for n in range(5)
            if self.rng.random() < 0.8
        ]
        self.listed = {h.id for h in hosts if h.state == 1}
        self.handle(TopologyChanged(tuple(hosts), ()))

    def arrive(self) -> None:
        number = len(self.facts) + 1
        now = self.harness.now
        facts = replace(
            FACTS,
            number=number,
            route=f"r{number % 4}",
            repeatable=number % 4 < 2,
            streaming=bool(number % 2),
            arrived_at=now,
            deadline=now + 1.5,
            target_latency_s=0.2,
            max_attempts=1 + number % 3,
            priority=number % 5,
            affinity=bool(number % 2),
            prompt=prompt("g", f"s{number % 7}", f"o{number}"),
            tokens_in=3000,
        )
        self.facts[number] = facts
        self.awaiting_response.add(number)
        self.handle(RequestArrived(facts))

    def end_attempt(self, key: tuple[int, int]) -> None:
        number, attempt = key
        if self.facts[number].streaming and self.rng.random() < 0.3:
            self.started_streams.add(number)
            self.handle(FirstEvent(number, attempt))
            return
        if self.rng.random() < 0.05:
            self.awaiting_response.discard(number)
            self.handle(RequestClosed(number))
            return
        outcome = Outcome.CANCELLED if key in self.cancelled else self.rng.choice(self.outcomes)
        del self.in_flight[key]
        self.ended.setdefault(number, []).append(outcome)
        if outcome is Outcome.SUCCESS:
            self.awaiting_response.discard(number)
        self.handle(AttemptEnded(number, attempt, outcome, 0.1))

    def finish(self) -> None:
        """Advance past every deadline, then end the attempts that are still in flight."""
        self.advance(self.harness.now + 20.0)
        assert (
            self.awaiting_response <= self.started_streams
        )  # running streams, which the data plane ends
        for key in list(self.in_flight):
            del self.in_flight[key]
            outcome = Outcome.CANCELLED if key in self.cancelled else Outcome.TIMEOUT
            self.ended.setdefault(key[0], []).append(outcome)
            self.handle(AttemptEnded(*key, outcome, 0.1, progressed=key[0] in self.started_streams))
        assert not self.awaiting_response
        decider = self.harness.decider
        assert decider._lifecycle.requests == decider._lifecycle.awaiting_host == {}
        for record in decider._topology._hosts.values():
            assert (record.in_flight, record.pending_prompt_tokens) == (0, 0)
            assert 0.0 <= record.payoff <= 1.0


OUTCOMES = st.lists(
    st.sampled_from([o for o in Outcome if o is not Outcome.CANCELLED]), min_size=1, max_size=8
)


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 2**32), OUTCOMES, st.sampled_from([0.0, 0.5, 1.0]), st.integers(20, 250))
def test_invariants_hold_for_random_event_sequences(
    seed: int, outcomes: list[Outcome], granted_fraction: float, steps: int
) -> None:
    data_plane = SimulatedDataPlane(seed, outcomes, granted_fraction)
    data_plane.change_topology()
    for _ in range(steps):
        data_plane.step()
    data_plane.finish()
