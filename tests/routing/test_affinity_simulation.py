"""A simulation of gateways that share hosts with prompt caches: what affinity saves.

It is closed, with a fixed seed.
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
from tests.routing.builders import hosts, only

GATEWAYS = 4
HOSTS = 6
SECONDS = 20.0
PER_SECOND = 60.0
TOKENS_PER_S = 50_000.0
CACHE_TOKENS = 300_000
GROUP = 2500
SESSION = 3500
OWN = 1500
TARGET_LATENCY_S = 0.25


@dataclass
class Engine:
    """Reads prompts one after the other and keeps the parts used last."""

    kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    free_at: float = 0.0

    def read(self, parts: tuple[PromptSegment, ...], now: float) -> tuple[int, float]:
        """Tokens that had to be read, and when that is done."""
        missing = 0
        leading = True
        for part in parts:
            leading = leading and part.id in self.kept
            missing += 0 if leading else part.tokens
            self.kept[part.id] = part.tokens
            self.kept.move_to_end(part.id)
        while sum(self.kept.values()) > CACHE_TOKENS:
            self.kept.popitem(last=False)
        self.free_at = max(now, self.free_at) + missing / TOKENS_PER_S
        return missing, self.free_at


@dataclass
class Result:
    shared: int = 0
    read_again: int = 0
    requests: int = 0
    in_time: int = 0


def simulate(*, affinity: bool) -> Result:
    draw = random.Random(5)
    result = Result()
    engines = {spec.id: Engine() for spec in hosts(HOSTS)}
    gateways = [FleetDecider("z", number, 0.2, 10.0) for number in range(GATEWAYS)]
    order = count()
    queue: list[tuple[float, int, FleetDecider, Event]] = []
    prompts: dict[int, tuple[float, tuple[PromptSegment, ...]]] = {}
    for gateway in gateways:
        gateway.handle(0.0, TopologyChanged(hosts(HOSTS), ()))
    now = 0.0
    while (now := now + draw.expovariate(PER_SECOND)) < SECONDS:
        number = len(prompts)
        session = draw.randrange(120)
        sizes = ((f"g{session % 4}", GROUP), (f"s{session}", SESSION), (f"o{number}", OWN))
        prompts[number] = now, tuple(PromptSegment(*size) for size in sizes)
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
            tokens_in=GROUP + SESSION + OWN,
            tokens_out=60,
        )
        heapq.heappush(queue, (now, next(order), draw.choice(gateways), RequestArrived(facts)))
    while queue:
        now, _, gateway, event = heapq.heappop(queue)
        if isinstance(event, FirstEvent):
            result.in_time += now - prompts[event.number][0] <= TARGET_LATENCY_S
            done = AttemptEnded(event.number, 0, Outcome.SUCCESS, 0.0)
            heapq.heappush(queue, (now + 0.3, next(order), gateway, done))
        actions = gateway.handle(now, event)
        for timer in only(StartTimer, actions):
            heapq.heappush(queue, (max(now, timer.at), next(order), gateway, TimerFired(timer.tag)))
        for sent in only(SendAttempt, actions):
            read, done_at = engines[sent.host].read(prompts[sent.number][1], now)
            result.requests += 1
            result.shared += GROUP + SESSION
            result.read_again += max(0, read - OWN)
            first = FirstEvent(sent.number, sent.attempt)
            heapq.heappush(queue, (done_at, next(order), gateway, first))
    return result


def test_affinity_rereads_fewer_tokens_and_serves_more_in_time() -> None:
    without = simulate(affinity=False)
    with_affinity = simulate(affinity=True)
    assert with_affinity.requests == without.requests > 500
    assert without.read_again / without.shared > 0.35
    assert with_affinity.read_again / with_affinity.shared < 0.25
    assert with_affinity.in_time > without.in_time
