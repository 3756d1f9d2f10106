"""Every decision of a gateway of the fleet: which host, whether again, when to give up. No I/O, no
clock.

Each call runs under its route's policy. The service's budget is asked before every attempt but the
first; when it is empty, the owner of the shared slack is. Types of events and actions stand in
`decisions`.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from roselink.routing.affinity import PrefixMemory
from roselink.routing.backoff import NO_HOST_S, backoff_s, retry_after_s
from roselink.routing.classifier import RetryDecision, classify
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
    PooledPayoffs,
    RequestArrived,
    RequestClosed,
    SendAttempt,
    TimerFired,
    TopologyChanged,
)
from roselink.routing.host_choice import HostChooser
from roselink.routing.learning import Learner
from roselink.routing.outcome import Outcome
from roselink.routing.policy import EffectivePolicy, RouteTable
from roselink.routing.request_state import Attempt, Request, Stage
from roselink.routing.retry_budget import LocalRetryBudget
from roselink.routing.timers import Due, Entry, Timers, is_over
from roselink.routing.topology import Topology

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.routing.host_record import HostRecord

HELD_PART = 0.2  # part of its aim that a request may wait for a host
HELD_S = 0.1  # the same where no aim is told
LOW_PRIORITY = 2  # from this rank on a request is refused at once where every host is full


class FleetDecider:
    """One gateway's decisions. The same seed and events bring the same actions.

    `retry_budget_ratio`: repeats for each request of a service, over `retry_window_s` seconds.
    """

    def __init__(
        self, zone: str, seed: int, retry_budget_ratio: float, retry_window_s: float
    ) -> None:
        self._ratio, self._window_s = retry_budget_ratio, retry_window_s
        self._random = random.Random(seed)
        self._memory, self._topology = PrefixMemory(), Topology()
        self._learner = Learner(self._topology, self._memory)
        self._chooser = HostChooser(zone, self._random, self._memory)
        self._routes, self._timers = RouteTable(), Timers()
        self._budgets: dict[str, LocalRetryBudget] = {}
        self._requests: dict[int, Request] = {}
        self._held: dict[int, Request] = {}
        self._actions: list[Action] = []
        self._now = 0.0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; `now` in seconds, never falling. What comes for a finished request is
        ignored.
        """
        self._now, self._actions = now, []
        self._topology.forget_pooled(now)
        _HANDLERS[type(event)](
            self, event
        )  # before due times: they must not use what it takes away
        while (entry := self._timers.pop_due(now)) is not None:
            self._come_due(entry)
        timer = self._timers.rearm(is_over)
        if timer is not None:
            self._actions.append(timer)
        return self._actions

    # --- events

    def _topology_changed(self, event: TopologyChanged) -> None:
        self._topology.replace(event)
        for request in list(self._held.values()):
            self._place(request)

    def _arrived(self, event: RequestArrived) -> None:
        facts = event.facts
        request = Request(facts, EffectivePolicy.of(facts), self._routes.find(facts.route))
        self._requests[facts.number] = request
        self._timers.push(facts.give_up_at, Due.GIVE_UP, request)
        if facts.affinity:
            self._memory.see(facts)
        if not self._place(request):
            self._held[facts.number] = request
            hold_s = HELD_PART * facts.aim_s if facts.aim_s > 0 else HELD_S
            self._timers.push(self._now + hold_s, Due.HOLD, request)

    def _budget_decided(self, event: BudgetDecided) -> None:
        request = self._requests.get(event.number)
        if request is None or request.stage is not Stage.ASKING:
            return
        if event.allowed:
            self._send_again(request)
        else:
            self._finish(request)

    def _first_event(self, event: FirstEvent) -> None:
        found = self._find(event.number, event.attempt)
        if found is None:
            return
        request, attempt = found
        if attempt.started:
            return
        attempt.started = True
        self._learner.answered(request, attempt, self._now)
        if request.closed:
            return
        if request.winner is None or request.winner.outcome is not None:
            request.winner, request.progressed = attempt, True
        self._cancel_others(request, request.winner)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        found = self._find(event.number, event.attempt)
        if found is None:
            return
        request, attempt = found
        attempt.outcome = event.outcome
        request.out -= 1
        self._learner.ended(request, attempt, event, self._now)
        if not request.closed:
            request.progressed = request.progressed or event.progressed
            self._decide(request, attempt, event)
        if request.closed and not request.out:
            self._requests.pop(event.number, None)

    def _request_closed(self, event: RequestClosed) -> None:
        request = self._requests.get(event.number)
        if request is not None:
            self._close(request)

    def _timer_fired(self, event: TimerFired) -> None:
        self._timers.fired(event.tag)

    def _pool_payoffs(self, event: PooledPayoffs) -> None:
        self._topology.pool_payoffs(event, self._now)

    def take_unreported_outcomes(self) -> list[tuple[str, int, int]]:
        """For the other gateways: hosts with outcomes since the last call, how many in time, how
        many not.
        """
        return self._topology.untold()

    # --- due times

    def _come_due(self, entry: Entry) -> None:
        _, _, due, request, number = entry
        if due is Due.OVERDUE:
            return self._learner.overdue(request, request.attempts[number], self._now)
        if request.closed:
            return None
        if due is Due.GIVE_UP:
            if not request.streams():  # the data plane ends a running stream at its deadline
                self._finish(request, out_of_time=True)
        elif due is Due.HOLD and request.stage is Stage.HELD:
            self._finish(request)
        elif due is Due.RETRY and request.stage is Stage.BACKING_OFF:
            self._ask_budget(request)
        elif due is Due.HEDGE:
            self._hedge(request)

    # --- decisions

    def _place(self, request: Request) -> bool:
        """Send a request for the first time, or refuse it at once; False when no host is ready."""
        if self._now >= request.facts.give_up_at:
            self._finish(request)
            return True
        pool = self._topology.pool(request.facts.service)
        host = self._chooser.pick(pool, request.facts, (), self._now)
        if host is None:
            return False
        self._held.pop(request.facts.number, None)
        if request.facts.priority >= LOW_PRIORITY and not host.has_room():
            self._finish(request)
        else:
            self._budget(request.facts.service).first_send(self._now)
            self._send(request, host)
        return True

    def _decide(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        verdict = classify(event.outcome, request.may_repeat(), event.relayed)
        if verdict is RetryDecision.DONE:
            self._close(request)
        elif event.outcome is Outcome.CANCELLED and (request.out or request.stage is not Stage.OUT):
            return
        elif verdict is RetryDecision.STOP:
            self._finish(request)
        elif not request.out:  # a retry group has failed
            self._back_off(request)

    def _back_off(self, request: Request) -> None:
        request.groups += 1
        wait_s = backoff_s(request.groups, request.policy.aim_s, self._random)
        if not request.may_attempt() or self._now + wait_s >= request.facts.give_up_at:
            return self._finish(request)
        request.stage = Stage.BACKING_OFF
        self._timers.push(self._now + wait_s, Due.RETRY, request)

    def _ask_budget(self, request: Request) -> None:
        if self._now >= request.facts.give_up_at:
            self._finish(request)
        elif self._budget(request.facts.service).spend(self._now):
            self._send_again(request)
        else:
            request.stage = Stage.ASKING
            self._actions.append(AcquireSharedBudget(request.facts.number, request.facts.service))

    def _send_again(self, request: Request) -> None:
        if self._now >= request.facts.give_up_at:
            return self._finish(request)
        pool = self._topology.pool(request.facts.service)
        host = self._chooser.pick(pool, request.facts, request.tried(), self._now)
        if host is None:  # there is no host but those it went to
            host = self._chooser.pick(pool, request.facts, (), self._now)
        if host is None:
            self._finish(request)
        else:
            self._send(request, host)

    def _hedge(self, request: Request) -> None:
        """A second copy of a slow request. A stream is copied only before its first event, and only
        when its host was rested for its failures and has been silent since.
        """
        if request.stage is not Stage.OUT or request.out != 1 or request.progressed:
            return
        waiting = next(attempt for attempt in request.attempts if attempt.outcome is None)
        dark = waiting.host.probation and waiting.host.heard_at <= waiting.sent_at
        budget = self._budget(request.facts.service)
        if not request.may_attempt() or (request.policy.streaming and not dark):
            return
        if not budget.rich(self._now):
            return
        pool = self._topology.pool(request.facts.service)
        host = self._chooser.pick(pool, request.facts, request.tried(), self._now)
        if host is not None and host.has_room() and budget.spend(self._now):
            self._send(request, host)

    def _send(self, request: Request, host: HostRecord) -> None:
        pool = self._topology.pool(request.facts.service)
        reading = self._chooser.tokens_to_read(pool, request.facts, host, self._now)
        attempt = Attempt(host, self._now, reading, resumed=request.progressed)
        self._learner.sent(attempt)
        number = len(request.attempts)
        request.attempts.append(attempt)
        request.out += 1
        request.stage = Stage.OUT
        self._actions.append(
            SendAttempt(request.facts.number, number, host.spec.id, request.progressed)
        )
        if request.progressed:
            return
        aim_s = request.policy.aim_s
        if aim_s > 0:
            self._timers.push(self._now + aim_s, Due.OVERDUE, request, number)
        hedge_s = request.route.hedge_after_s(request.policy)
        if hedge_s is not None:
            self._timers.push(self._now + hedge_s, Due.HEDGE, request, number)

    def _finish(self, request: Request, out_of_time: bool = False) -> None:
        """The one place that gives a final answer of our own."""
        number, pool = request.facts.number, self._topology.pool(request.facts.service)
        if not request.may_have_run():
            wait_s = (
                NO_HOST_S if not pool.hosts else retry_after_s(pool.refused_share, self._random)
            )
            self._actions.append(FinalResponse(number, FailureReason.NOT_RUN, wait_s))
        else:
            late = out_of_time or self._now >= request.facts.give_up_at
            reason = FailureReason.OUT_OF_TIME if late else FailureReason.MAY_HAVE_RUN
            self._actions.append(FinalResponse(number, reason))
        self._close(request)

    def _close(self, request: Request) -> None:
        """Nothing is sent from here on; what is still out is called off."""
        self._held.pop(request.facts.number, None)
        if not request.closed:
            self._cancel_others(request, None)
        request.stage = Stage.CLOSED
        if not request.out:
            self._requests.pop(request.facts.number, None)

    def _cancel_others(self, request: Request, kept: Attempt | None) -> None:
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None and attempt is not kept:
                self._actions.append(CancelAttempt(request.facts.number, number))

    # --- tables

    def _find(self, number: int, attempt: int) -> tuple[Request, Attempt] | None:
        """An attempt whose outcome has not come yet."""
        request = self._requests.get(number)
        if request is None or attempt >= len(request.attempts):
            return None
        found = request.attempts[attempt]
        return None if found.outcome is not None else (request, found)

    def _budget(self, service: str) -> LocalRetryBudget:
        known = self._budgets.get(service)
        if known is None:
            known = self._budgets[service] = LocalRetryBudget(self._ratio, self._window_s)
        return known


_HANDLERS: dict[type, Callable[[FleetDecider, Any], None]] = {
    TopologyChanged: FleetDecider._topology_changed,
    RequestArrived: FleetDecider._arrived,
    BudgetDecided: FleetDecider._budget_decided,
    FirstEvent: FleetDecider._first_event,
    AttemptEnded: FleetDecider._attempt_ended,
    RequestClosed: FleetDecider._request_closed,
    TimerFired: FleetDecider._timer_fired,
    PooledPayoffs: FleetDecider._pool_payoffs,
}
