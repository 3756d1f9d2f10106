"""Hosts, requests and a decider driven by hand, for tables of cases."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TypeVar

from roselink.model.fleet import Host, HostState
from roselink.routing.events_and_actions import (
    Action,
    AttemptEnded,
    Event,
    PromptPart,
    RequestArrived,
    RequestFacts,
    StartTimer,
    TimerFired,
    TopologyChanged,
)
from roselink.routing.fleet_decider import FleetDecider
from roselink.routing.outcome import Outcome

FACTS = RequestFacts(
    number=1,
    route="r",
    service="s",
    repeatable=True,
    streaming=False,
    arrived_at=0.0,
    deadline=4.0,
    target_latency_s=0.6,
    max_attempts=3,
    priority=0,
    affinity=False,
    prompt=(),
    tokens_in=0,
    tokens_out=0,
)
Kind = TypeVar("Kind")


def host(
    name: str, service: str = "s", zone: str = "z", capacity: int = 64, ready: bool = True
) -> Host:
    state = HostState.READY if ready else HostState.DRAINING
    return Host(name, service, "10.0.0.1:8000", zone, "v1", capacity, state, 0.0, ())


def hosts(count: int, service: str = "s") -> tuple[Host, ...]:
    return tuple(host(f"h{number}", service) for number in range(count))


def prompt(*parts: str, tokens: int = 1000) -> tuple[PromptPart, ...]:
    return tuple(PromptPart(part, tokens) for part in parts)


@dataclass
class Bench:
    """A decider with its clock; keeps the timers it asked for."""

    decider: FleetDecider = field(default_factory=lambda: FleetDecider("z", 1, 0.2, 10.0))
    now: float = 0.0
    timers: list[tuple[float, int]] = field(default_factory=list)

    def tell(self, event: Event) -> list[Action]:
        actions = self.decider.handle(self.now, event)
        self.timers += [
            (action.at, action.tag) for action in actions if isinstance(action, StartTimer)
        ]
        return [action for action in actions if not isinstance(action, StartTimer)]

    def list_hosts(self, *listed: Host) -> list[Action]:
        return self.tell(TopologyChanged(tuple(listed), ()))

    def arrive(self, facts: RequestFacts = FACTS, /, **changes: object) -> list[Action]:
        facts = replace(facts, **changes)  # type: ignore[arg-type]
        shifted = replace(facts, arrived_at=self.now, deadline=self.now + facts.deadline)
        return self.tell(RequestArrived(shifted))

    def end(
        self, outcome: Outcome, attempt: int = 0, number: int = 1, **more: bool
    ) -> list[Action]:
        return self.tell(AttemptEnded(number, attempt, outcome, 0.01, **more))

    def wait(self, until: float) -> list[Action]:
        """Fire the timers that are due by a time, each at its own."""
        actions: list[Action] = []
        while (due := min(self.timers, default=None)) is not None and due[0] <= until:
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions += self.tell(TimerFired(due[1]))
        self.now = max(self.now, until)
        return actions

    def earn(self, requests: int = 60, service: str = "s") -> None:
        """First sends that succeed, so that the bucket holds tokens."""
        for number in range(10_000, 10_000 + requests):
            self.arrive(
                replace(
                    FACTS, number=number, service=service, route="earning", target_latency_s=0.0
                )
            )
            self.end(Outcome.SUCCESS, number=number)


def only(kind: type[Kind], actions: list[Action]) -> list[Kind]:
    return [action for action in actions if isinstance(action, kind)]
