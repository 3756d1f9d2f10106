"""Decisions on one request: first send, retries, hedges and the final response.

Every attempt but the first needs a token of the service's local retry budget; when a retry finds it
empty, the owner of the shared slack decides.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.routing.backoff import NO_HOST_RETRY_AFTER_S, backoff_s, retry_after_s
from roselink.routing.classifier import RetryDecision, classify
from roselink.routing.events_and_actions import (
    AcquireSharedBudget,
    CancelAttempt,
    FailureReason,
    FinalResponse,
    SendAttempt,
)
from roselink.routing.outcome import Outcome
from roselink.routing.request_state import Attempt, Request, RequestPhase
from roselink.routing.timers import TimerKind, TimerQueue

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from roselink.routing.events_and_actions import Action, AttemptEnded
    from roselink.routing.host_choice import HostChooser
    from roselink.routing.host_record import HostRecord
    from roselink.routing.outcome_recorder import OutcomeRecorder
    from roselink.routing.ready_hosts import ReadyHosts
    from roselink.routing.retry_budget import RetryBudgets
    from roselink.routing.topology import Topology

# Time-out of the wait for a ready host, as a fraction of the target latency. A longer one bridges
# longer gaps in the host list; a shorter one rejects sooner, so that the client can retry.
HOST_WAIT_FRACTION = 0.2
# Time-out of that wait on a route without a target latency, in seconds.
HOST_WAIT_S = 0.1
# Priority number from which a request is rejected at once if the picked host is at its limit.
LOW_PRIORITY = 2


@dataclass(frozen=True, slots=True)
class RoutingState:
    """State shared by the decisions on all requests.

    Attributes:
        topology: The current hosts and services.
        chooser: Picks hosts.
        outcome_recorder: Records the outcomes of attempts.
        budgets: The local retry budgets of all services.
        timers: The timers of all requests.
        rng: Source of the jitter of backoffs and `Retry-After`.
    """

    topology: Topology
    chooser: HostChooser
    outcome_recorder: OutcomeRecorder
    budgets: RetryBudgets
    timers: TimerQueue
    rng: random.Random


class RequestLifecycle:
    """Drives each request from its first send to its final response.

    Attributes:
        now: The time of the current event, in seconds.
        actions: The actions of the current event so far.
        requests: Open requests by number, and closed ones with attempts in flight.
        awaiting_host: Open requests for which no ready host was found yet, by number.
    """

    def __init__(self, state: RoutingState) -> None:
        """Start without requests."""
        self._state = state
        self.now = 0.0
        self.actions: list[Action] = []
        self.requests: dict[int, Request] = {}
        self.awaiting_host: dict[int, Request] = {}

    def begin_event(self, now: float) -> None:
        """Begin an event: the actions that follow go into a new list."""
        self.now = now
        self.actions = []

    # --- the first send

    def admit(self, request: Request) -> None:
        """Admit a new request: send it, reject it, or let it wait for a ready host."""
        facts = request.facts
        self.requests[facts.number] = request
        self._state.timers.schedule(facts.deadline, TimerKind.DEADLINE, request)
        if not self.send_first(request):
            self.awaiting_host[facts.number] = request
            target_s = facts.target_latency_s
            wait_s = HOST_WAIT_FRACTION * target_s if target_s > 0 else HOST_WAIT_S
            self._state.timers.schedule(self.now + wait_s, TimerKind.HOST_WAIT, request)

    def send_first(self, request: Request) -> bool:
        """Send the first attempt of a request, or reject it; False if no host is ready."""
        if self.now >= request.facts.deadline:
            self.finish(request)
            return True
        host = self._pick(request, ())
        if host is None:
            return False
        self.awaiting_host.pop(request.facts.number, None)
        if request.facts.priority >= LOW_PRIORITY and not host.below_limit():
            self.finish(request)
        else:
            self._state.budgets.of(request.facts.service).record_first_send(self.now)
            self._send(request, host)
        return True

    # --- retries

    def attempt_ended(self, request: Request, event: AttemptEnded) -> None:
        """Finish, close or retry an open request after one of its attempts has ended."""
        decision = classify(event.outcome, repeatable=request.may_repeat(), relayed=event.relayed)
        if decision is RetryDecision.DONE:
            self.close(request)
        elif event.outcome is Outcome.CANCELLED and (
            request.in_flight or request.phase is not RequestPhase.IN_FLIGHT
        ):
            return
        elif decision is RetryDecision.STOP:
            self.finish(request)
        elif not request.in_flight:  # the retry group has failed
            self._schedule_backoff(request)

    def _schedule_backoff(self, request: Request) -> None:
        request.failed_groups += 1
        target_s = request.policy.target_latency_s
        wait_s = backoff_s(request.failed_groups, target_s, self._state.rng)
        if not request.allows_another_attempt() or self.now + wait_s >= request.facts.deadline:
            self.finish(request)
            return
        request.phase = RequestPhase.BACKING_OFF
        self._state.timers.schedule(self.now + wait_s, TimerKind.RETRY, request)

    def acquire_budget(self, request: Request) -> None:
        """Retry after a backoff if the local budget allows it, else request shared budget."""
        service = request.facts.service
        if self.now >= request.facts.deadline:
            self.finish(request)
        elif self._state.budgets.of(service).spend(self.now):
            self.send_retry(request)
        else:
            request.phase = RequestPhase.AWAITING_BUDGET
            self.actions.append(AcquireSharedBudget(request.facts.number, service))

    def send_retry(self, request: Request) -> None:
        """Retry a request, at a host that it was not sent to before if there is one."""
        if self.now >= request.facts.deadline:
            self.finish(request)
            return
        host = self._pick(request, request.attempted_hosts())
        if host is None:
            host = self._pick(request, ())
        if host is None:
            self.finish(request)
        else:
            self._send(request, host)

    # --- hedges

    def hedge(self, request: Request) -> None:
        """Hedge a slow request if the retry budget allows it and another host is below its limit.

        A stream is hedged only before its first event, and only if its host was ejected for its
        failures and has not responded since the attempt was sent.
        """
        if request.phase is not RequestPhase.IN_FLIGHT or request.in_flight != 1:
            return
        if request.progressed or not request.allows_another_attempt():
            return
        if request.policy.streaming and not _seems_unresponsive(request):
            return
        budget = self._state.budgets.of(request.facts.service)
        if not budget.allows_hedge(self.now):
            return
        host = self._pick(request, request.attempted_hosts())
        if host is not None and host.below_limit() and budget.spend(self.now):
            self._send(request, host)

    # --- the end

    def finish(self, request: Request, *, out_of_time: bool = False) -> None:
        """Close a request with a final response of the gateway; nothing else generates one.

        Args:
            request: An open request.
            out_of_time: Whether its deadline timer fired, whatever the clock shows.
        """
        number = request.facts.number
        if not request.may_have_run():
            ready = self._ready_hosts(request)
            wait_s = (
                retry_after_s(ready.rejection_rate, self._state.rng)
                if ready.hosts
                else NO_HOST_RETRY_AFTER_S
            )
            self.actions.append(FinalResponse(number, FailureReason.NOT_RUN, wait_s))
        else:
            overdue = out_of_time or self.now >= request.facts.deadline
            reason = FailureReason.OUT_OF_TIME if overdue else FailureReason.MAY_HAVE_RUN
            self.actions.append(FinalResponse(number, reason))
        self.close(request)

    def close(self, request: Request) -> None:
        """Close a request: cancel its attempts in flight, and send no more."""
        self.awaiting_host.pop(request.facts.number, None)
        if not request.closed:
            self.cancel_others(request, None)
        request.phase = RequestPhase.CLOSED
        if not request.in_flight:
            self.requests.pop(request.facts.number, None)

    def cancel_others(self, request: Request, kept: Attempt | None) -> None:
        """Cancel all attempts in flight except `kept`."""
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None and attempt is not kept:
                self.actions.append(CancelAttempt(request.facts.number, number))

    # --- helpers

    def find_in_flight(self, number: int, attempt: int) -> tuple[Request, Attempt] | None:
        """An attempt in flight and its request; None if there is no such attempt."""
        request = self.requests.get(number)
        if request is None or attempt >= len(request.attempts):
            return None
        found = request.attempts[attempt]
        return None if found.outcome is not None else (request, found)

    def _ready_hosts(self, request: Request) -> ReadyHosts:
        return self._state.topology.ready_hosts(request.facts.service)

    def _pick(self, request: Request, excluded: Collection[HostRecord]) -> HostRecord | None:
        ready = self._ready_hosts(request)
        return self._state.chooser.pick(ready, request.facts, excluded, self.now)

    def _send(self, request: Request, host: HostRecord) -> None:
        ready = self._ready_hosts(request)
        tokens = self._state.chooser.tokens_to_prefill(ready, request.facts, host, self.now)
        attempt = Attempt(host, self.now, tokens, resumed=request.progressed)
        self._state.outcome_recorder.record_sent(attempt)
        number = len(request.attempts)
        request.attempts.append(attempt)
        request.in_flight += 1
        request.phase = RequestPhase.IN_FLIGHT
        self.actions.append(
            SendAttempt(request.facts.number, number, host.spec.id, resume=request.progressed)
        )
        if not request.progressed:
            self._schedule_attempt_timers(request, number)

    def _schedule_attempt_timers(self, request: Request, number: int) -> None:
        timers = self._state.timers
        target_s = request.policy.target_latency_s
        if target_s > 0:
            timers.schedule(self.now + target_s, TimerKind.OVERDUE, request, number)
        hedge_wait_s = request.route.hedge_wait_s(request.policy)
        if hedge_wait_s is not None:
            timers.schedule(self.now + hedge_wait_s, TimerKind.HEDGE, request, number)


def _seems_unresponsive(request: Request) -> bool:
    """Whether the host of the only attempt in flight seems unresponsive.

    It is on probation, and has not responded since the attempt was sent.
    """
    waiting = next(attempt for attempt in request.attempts if attempt.outcome is None)
    host = waiting.host
    return host.probation and host.last_response_at <= waiting.sent_at
