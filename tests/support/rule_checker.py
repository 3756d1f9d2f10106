"""Independent checker of the balancer's four rules, from settings, events and actions only.

1. Each request gets one final answer in time, and no attempt is sent after it.
2. A request that may have run is repeated or refused only where that is safe.
3. A draining or removed server gets no request after the drain grace.
4. The work sent to a cold server stays within its cold-start budget.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.balancer.interface import (
    Action,
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
    Settings,
    State,
)

if TYPE_CHECKING:
    from roselink.routing.outcome import Outcome

NEVER_RAN = {"full", "connect_failed", "moot"}


@dataclass
class SentAttempt:
    at_us: int
    server: Server
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome is None or self.outcome.value not in NEVER_RAN


@dataclass
class RequestState:
    route: Route
    give_up_us: int
    ended: bool = False
    sent: list[SentAttempt] = field(default_factory=list)


class RuleBrokenError(AssertionError):
    pass


class RuleChecker:
    """Checks each batch of events and its actions; raises RuleBrokenError at the first
    violation.
    """

    def __init__(self, given: Settings, work_us: int) -> None:
        self.settings = given
        # Actual processing time of a request on a core of a cold server's machine type.
        self.work_us = work_us
        self.requests: dict[int, RequestState] = {}
        # Requests ended by events of this batch; sends among its actions are permitted.
        self.ended_by_events: list[int] = []
        self.known: dict[int, Server] = {}
        self.drained_since: dict[int, int] = {}
        self.cold_sends: dict[tuple[int, int], list[int]] = {}

    def record_events(self, now_us: int, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, ServerList):
                self._apply_list(now_us, event)
            elif isinstance(event, Arrived):
                self.requests[event.request] = RequestState(
                    self.settings.routes[event.route], event.give_up_us
                )
            elif isinstance(event, Departed):
                self.ended_by_events.append(event.request)
            elif isinstance(event, AttemptDone):
                state = self.requests[event.request]
                state.sent[event.attempt].outcome = event.outcome
                if event.closed:
                    self.ended_by_events.append(event.request)

    def _apply_list(self, now_us: int, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            return
        listed = {server.id: server for server in event.servers}
        if event.kind is not ListKind.CHANGES:
            for gone in set(self.known) - set(listed):
                self.drained_since.setdefault(gone, now_us)
        for number, server in listed.items():
            self.known[number] = server
            if server.state is State.READY:
                self.drained_since.pop(number, None)
            else:
                self.drained_since.setdefault(number, now_us)

    def check_actions(self, now_us: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._check_send(now_us, action)
            elif isinstance(action, Refuse | Fail):
                self._check_end(now_us, action)
            elif isinstance(action, Cancel):
                assert action.attempt < len(self.requests[action.request].sent)
        for number in self.ended_by_events:
            self.requests[number].ended = True
        self.ended_by_events = []
        for number, state in self.requests.items():
            if not state.ended and now_us > state.give_up_us + self.settings.answer_slack_us:
                raise RuleBrokenError(f"1: request {number} has no final answer in time")

    def _check_end(self, now_us: int, action: Refuse | Fail) -> None:
        state = self.requests[action.request]
        if state.ended:
            return
        if isinstance(action, Refuse) and any(s.may_have_run for s in state.sent):
            route = state.route
            if route.effect is Effect.UNSAFE or (
                route.effect is Effect.KEYED and route.group is not Group.ALL
            ):
                raise RuleBrokenError(f"2: request {action.request} refused though it may have run")
        state.ended = True

    def _check_send(self, now_us: int, action: Send) -> None:
        state, route = self.requests[action.request], self.requests[action.request].route
        server = self.known[action.server]
        if state.ended:
            raise RuleBrokenError(f"1: request {action.request} sent after its end")
        if len(state.sent) >= self.settings.max_attempts:
            raise RuleBrokenError(f"attempts: more than max_attempts for request {action.request}")
        if any(s.outcome is None for s in state.sent) and not self.settings.parallel_tries:
            raise RuleBrokenError(f"2: request {action.request} has two open attempts")
        for earlier in [s for s in state.sent if s.may_have_run]:
            if route.effect is Effect.UNSAFE:
                raise RuleBrokenError(f"2: unsafe request {action.request} sent again")
            if route.effect is Effect.KEYED:
                same_group = {
                    Group.ALL: True,
                    Group.ZONE: earlier.server.zone == server.zone,
                    Group.CELL: earlier.server.cell == server.cell,
                }[route.group]
                if not same_group or now_us >= earlier.at_us + route.memory_span_us:
                    raise RuleBrokenError(
                        f"2: keyed request {action.request} sent outside its group or memory span"
                    )
        drained_since = self.drained_since.get(action.server)
        if drained_since is not None and now_us > drained_since + self.settings.drain_grace_us:
            raise RuleBrokenError(f"3: server {action.server} got a request after its drain")
        state.sent.append(SentAttempt(now_us, server))
        self._check_cold_start(now_us, server)

    def _check_cold_start(self, now_us: int, server: Server) -> None:
        started = server.started_us
        if not started or now_us >= started + self.settings.cold_us:
            return
        sends = self.cold_sends.setdefault((server.id, started), [])
        sends.append(now_us)
        window = self.settings.fall_window_us
        work = self.work_us * sum(1 for t in sends if t > now_us - window)
        warmth = (
            self.settings.cold_from
            + (1 - self.settings.cold_from)
            * max(0, now_us - window - started)
            / self.settings.cold_us
        )
        if work > self.settings.fall_multiple * warmth * window:
            raise RuleBrokenError(
                f"4: cold server {server.id} got more than its budget from one balancer"
            )
