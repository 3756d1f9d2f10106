"""Simulates gateways that share hosts with prefix caches, with and without prefix affinity.

The simulation is deterministic: its random draws have a fixed seed.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import count

from roselink.routing.events_and_actions import (
    AttemptEnded,
    Event,
    FirstEvent,
    PromptSegment,
    RequestArrived,
    RequestFacts,
    SendAttempt,
    StartTimer,
    TimerFired,
    TopologyChanged,
)
from roselink.routing.fleet_decider import FleetDecider
from roselink.routing.outcome import Outcome
from tests.routing.builders import hosts, of_type

GATEWAYS = 4
HOSTS = 6
DURATION_S = 20.0
REQUESTS_PER_S = 60.0
TOKENS_PER_S = 50_000.0
CACHE_TOKENS = 300_000
GROUP_TOKENS = 2500
SESSION_TOKENS = 3500
OWN_TOKENS = 1500
TARGET_LATENCY_S = 0.25


@dataclass
class SimulatedEngine:
    """Prefills prompts one after the other, with an LRU cache of segments."""

    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    free_at: float = 0.0

    def prefill(self, segments: tuple[PromptSegment, ...], now: float) -> tuple[int, float]:
        """The number of prefilled tokens, and the time when the prefill is complete."""
        uncached = 0
        prefix_cached = True
        for segment in segments:
            prefix_cached = prefix_cached and segment.id in self.cached
            uncached += 0 if prefix_cached else segment.tokens
            self.cached[segment.id] = segment.tokens
            self.cached.move_to_end(segment.id)
        while sum(self.cached.values()) > CACHE_TOKENS:
            self.cached.popitem(last=False)
        self.free_at = max(now, self.free_at) + uncached / TOKENS_PER_S
        return uncached, self.free_at


@dataclass
class Result:
    shared: int = 0
    recomputed: int = 0
    requests: int = 0
    in_time: int = 0


def simulate(*, affinity: bool) -> Result:
    rng = random.Random(5)
    result = Result()
    engines = {spec.id: SimulatedEngine() for spec in hosts(HOSTS)}
    gateways = [FleetDecider("z", number, 0.2, 10.0) for number in range(GATEWAYS)]
    sequence = count()
    queue: list[tuple[float, int, FleetDecider, Event]] = []
    prompts: dict[int, tuple[float, tuple[PromptSegment, ...]]] = {}
    for gateway in gateways:
        gateway.handle(0.0, TopologyChanged(hosts(HOSTS), ()))
    now = 0.0
    while (now := now + rng.expovariate(REQUESTS_PER_S)) < DURATION_S:
        number = len(prompts)
        session = rng.randrange(120)
        segment_sizes = (
            (f"g{session % 4}", GROUP_TOKENS),
            (f"s{session}", SESSION_TOKENS),
            (f"o{number}", OWN_TOKENS),
        )
        prompts[number] = now, tuple(PromptSegment(*size) for size in segment_sizes)
        facts = RequestFacts(
            number=number,
            route="r",
            service="s",
            repeatable=False,
            streaming=True,
            arrived_at=now,
            deadline=now + 4.0,
            target_latency_s=TARGET_LATENCY_S,
            max_attempts=1,
            priority=0,
            affinity=affinity,
            prompt=prompts[number][1],
            tokens_in=GROUP_TOKENS + SESSION_TOKENS + OWN_TOKENS,
            tokens_out=60,
        )
        heapq.heappush(queue, (now, next(sequence), rng.choice(gateways), RequestArrived(facts)))
    while queue:
        now, _, gateway, event = heapq.heappop(queue)
        if isinstance(event, FirstEvent):
            result.in_time += now - prompts[event.number][0] <= TARGET_LATENCY_S
            done = AttemptEnded(event.number, 0, Outcome.SUCCESS, 0.0)
            heapq.heappush(queue, (now + 0.3, next(sequence), gateway, done))
        actions = gateway.handle(now, event)
        for timer in of_type(StartTimer, actions):
            heapq.heappush(
                queue, (max(now, timer.at), next(sequence), gateway, TimerFired(timer.tag))
            )
        for sent in of_type(SendAttempt, actions):
            prefilled, done_at = engines[sent.host].prefill(prompts[sent.number][1], now)
            result.requests += 1
            result.shared += GROUP_TOKENS + SESSION_TOKENS
            result.recomputed += max(0, prefilled - OWN_TOKENS)
            first = FirstEvent(sent.number, sent.attempt)
            heapq.heappush(queue, (done_at, next(sequence), gateway, first))
    return result


def test_affinity_recomputes_fewer_tokens_and_meets_the_target_more_often() -> None:
    without = simulate(affinity=False)
    with_affinity = simulate(affinity=True)
    assert with_affinity.requests == without.requests > 500
    assert without.recomputed / without.shared > 0.35
    assert with_affinity.recomputed / with_affinity.shared < 0.25
    assert with_affinity.in_time > without.in_time
