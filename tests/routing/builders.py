"""Builders of hosts and requests, and a harness that drives a decider step by step."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TypeVar

from roselink.model.fleet import Host, HostState
from roselink.routing.events_and_actions import (
    Action,
    AttemptEnded,
    Event,
    FinalResponse,
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
ActionType = TypeVar("ActionType")


def host(
    name: str, service: str = "s", zone: str = "z", capacity: int = 64, *, ready: bool = True
) -> Host:
    state = HostState.READY if ready else HostState.DRAINING
    return Host(name, service, "10.0.0.1:8000", zone, "v1", capacity, state, 0.0, ())


def hosts(count: int, service: str = "s") -> tuple[Host, ...]:
    return tuple(host(f"h{number}", service) for number in range(count))


def prompt(*segment_ids: str, tokens: int = 1000) -> tuple[PromptSegment, ...]:
    return tuple(PromptSegment(segment_id, tokens) for segment_id in segment_ids)


@dataclass
class DeciderHarness:
    """A decider with a manual clock; keeps the timers that the decider started."""

    decider: FleetDecider = field(default_factory=lambda: FleetDecider("z", 1, 0.2, 10.0))
    now: float = 0.0
    timers: list[tuple[float, int]] = field(default_factory=list)

    def handle(self, event: Event) -> list[Action]:
        actions = self.decider.handle(self.now, event)
        self.timers += [
            (action.at, action.tag) for action in actions if isinstance(action, StartTimer)
        ]
        return [action for action in actions if not isinstance(action, StartTimer)]

    def set_hosts(self, *listed: Host) -> list[Action]:
        return self.handle(TopologyChanged(tuple(listed), ()))

    def arrive(self, facts: RequestFacts = FACTS, /, **changes: object) -> list[Action]:
        facts = replace(facts, **changes)  # type: ignore[arg-type]
        arriving = replace(facts, arrived_at=self.now, deadline=self.now + facts.deadline)
        return self.handle(RequestArrived(arriving))

    def end_attempt(
        self, outcome: Outcome, attempt: int = 0, number: int = 1, **flags: bool
    ) -> list[Action]:
        return self.handle(AttemptEnded(number, attempt, outcome, 0.01, **flags))

    def advance(self, until: float) -> list[Action]:
        """Advance the clock, and fire each timer at its due time."""
        actions: list[Action] = []
        while (due := min(self.timers, default=None)) is not None and due[0] <= until:
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions += self.handle(TimerFired(due[1]))
        self.now = max(self.now, until)
        return actions

    def earn_tokens(self, requests: int = 60, service: str = "s") -> None:
        """Fill the service's retry budget by first sends that succeed."""
        for number in range(10_000, 10_000 + requests):
            self.arrive(
                replace(
                    FACTS, number=number, service=service, route="earning", target_latency_s=0.0
                )
            )
            self.end_attempt(Outcome.SUCCESS, number=number)


def of_type(kind: type[ActionType], actions: list[Action]) -> list[ActionType]:
    return [action for action in actions if isinstance(action, kind)]


# Results of `result_of`.
ATTEMPT_SENT = "attempt_sent"
NOT_RUN = "not_run"
MAY_HAVE_RUN = "may_have_run"
NO_ACTION = "nothing"


def new_harness(count: int = 3, *, tokens: bool = True) -> DeciderHarness:
    """A decider with hosts h0, h1 and so on, with or without tokens in the retry budget."""
    harness = DeciderHarness()
    harness.set_hosts(*hosts(count))
    if tokens:
        harness.earn_tokens()
    return harness


def after_backoff(
    harness: DeciderHarness, actions: list[Action], until: float = 1.0
) -> list[Action]:
    """The given actions, and those after the backoff unless they include a final response."""
    if of_type(FinalResponse, actions):
        return actions
    return actions + harness.advance(harness.now + until)


def result_of(actions: list[Action]) -> str:
    """The reason of the final response; else whether an attempt was sent."""
    if final_responses := of_type(FinalResponse, actions):
        return final_responses[0].reason.value
    return ATTEMPT_SENT if of_type(SendAttempt, actions) else NO_ACTION
