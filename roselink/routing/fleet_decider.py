"""The routing decisions of a fleet gateway: host choice, retries, hedges and final responses.

No I/O and no clock: `FleetDecider` handles one event at a time and returns actions, whose types are
in `events_and_actions`. Each request keeps the policy of its route as it was at the arrival. The
decisions on a request are in `request_lifecycle`, the records of outcomes in `outcome_recorder`.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, assert_never

from roselink.routing.affinity import PrefixCacheTracker
from roselink.routing.events_and_actions import (
    AttemptEnded,
    BudgetDecided,
    FirstEvent,
    PooledPayoffs,
    RequestArrived,
    RequestClosed,
    TimerFired,
    TopologyChanged,
)
from roselink.routing.host_choice import HostChooser
from roselink.routing.outcome_recorder import OutcomeRecorder
from roselink.routing.policy import EffectivePolicy, RouteLatencyTable
from roselink.routing.request_lifecycle import RequestLifecycle, RoutingState
from roselink.routing.request_state import Request, RequestPhase
from roselink.routing.retry_budget import RetryBudgets
from roselink.routing.timers import RequestTimer, TimerKind, TimerQueue
from roselink.routing.topology import Topology, UnreportedOutcomes

if TYPE_CHECKING:
    from roselink.routing.events_and_actions import Action, Event


class FleetDecider:
    """The routing decisions of one gateway; deterministic for a given seed and events."""

    def __init__(
        self, zone: str, seed: int, retry_budget_ratio: float, retry_window_s: float
    ) -> None:
        """Start with no host and no request.

        Args:
            zone: The gateway's zone.
            seed: Seed of all random draws.
            retry_budget_ratio: Retries allowed for each request of a service, over all gateways.
            retry_window_s: The window over which retries are counted, in seconds.
        """
        rng = random.Random(seed)
        self._prefix_cache = PrefixCacheTracker()
        self._topology = Topology()
        self._outcome_recorder = OutcomeRecorder(self._topology, self._prefix_cache)
        self._routes = RouteLatencyTable()
        self._timers = TimerQueue()
        self._lifecycle = RequestLifecycle(
            RoutingState(
                topology=self._topology,
                chooser=HostChooser(zone, rng, self._prefix_cache),
                outcome_recorder=self._outcome_recorder,
                budgets=RetryBudgets(retry_budget_ratio, retry_window_s),
                timers=self._timers,
                rng=rng,
            )
        )

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event. Events for requests that no longer exist are ignored.

        Args:
            now: Monotonic time, in seconds.
            event: What happened.

        Returns:
            The actions to execute, in this order.
        """
        self._lifecycle.begin_event(now)
        self._topology.expire_pooled_payoffs(now)
        # The event comes before due timers, which must not use a host that it removes.
        self._dispatch(event, now)
        while (timer := self._timers.pop_due(now)) is not None:
            self._on_timer(timer, now)
        start = self._timers.rearm()
        if start is not None:
            self._lifecycle.actions.append(start)
        return self._lifecycle.actions

    def take_unreported_outcomes(self) -> list[UnreportedOutcomes]:
        """Outcomes since the last call, by host, for the other gateways."""
        return self._topology.take_unreported_outcomes()

    def _dispatch(self, event: Event, now: float) -> None:
        match event:
            case AttemptEnded():
                self._on_attempt_ended(event, now)
            case RequestArrived():
                self._on_request_arrived(event)
            case FirstEvent():
                self._on_first_event(event, now)
            case TimerFired():
                self._timers.driver_timer_fired(event.tag)
            case RequestClosed():
                request = self._lifecycle.requests.get(event.number)
                if request is not None:
                    self._lifecycle.close(request)
            case BudgetDecided():
                self._on_budget_decided(event)
            case PooledPayoffs():
                self._topology.set_pooled_payoffs(event, now)
            case TopologyChanged():
                self._on_topology_changed(event)
            case _:
                assert_never(event)

    def _on_topology_changed(self, event: TopologyChanged) -> None:
        self._topology.replace(event)
        for request in list(self._lifecycle.awaiting_host.values()):
            self._lifecycle.send_first(request)

    def _on_request_arrived(self, event: RequestArrived) -> None:
        facts = event.facts
        request = Request(facts, EffectivePolicy.of(facts), self._routes.find(facts.route))
        if facts.affinity:
            self._prefix_cache.observe_arrival(facts)
        self._lifecycle.admit(request)

    def _on_budget_decided(self, event: BudgetDecided) -> None:
        request = self._lifecycle.requests.get(event.number)
        if request is None or request.phase is not RequestPhase.AWAITING_BUDGET:
            return
        if event.allowed:
            self._lifecycle.send_retry(request)
        else:
            self._lifecycle.finish(request)

    def _on_first_event(self, event: FirstEvent, now: float) -> None:
        found = self._lifecycle.find_in_flight(event.number, event.attempt)
        if found is None:
            return
        request, attempt = found
        if attempt.first_event_seen:
            return
        attempt.first_event_seen = True
        self._outcome_recorder.record_first_event(request, attempt, now)
        if request.closed:
            return
        if request.winner is None or request.winner.outcome is not None:
            request.winner = attempt
            request.progressed = True
        self._lifecycle.cancel_others(request, request.winner)

    def _on_attempt_ended(self, event: AttemptEnded, now: float) -> None:
        found = self._lifecycle.find_in_flight(event.number, event.attempt)
        if found is None:
            return
        request, attempt = found
        attempt.outcome = event.outcome
        request.in_flight -= 1
        self._outcome_recorder.record_end(request, attempt, event, now)
        if not request.closed:
            request.progressed = request.progressed or event.progressed
            self._lifecycle.attempt_ended(request, event)
        if request.closed and not request.in_flight:
            self._lifecycle.requests.pop(event.number, None)

    def _on_timer(self, timer: RequestTimer, now: float) -> None:
        request = timer.request
        if timer.kind is TimerKind.OVERDUE:
            self._outcome_recorder.record_overdue(request, request.attempts[timer.attempt], now)
            return
        if request.closed:
            return
        if timer.kind is TimerKind.DEADLINE:
            # A stream that is running at its deadline is ended by the data plane.
            if not request.is_streaming():
                self._lifecycle.finish(request, out_of_time=True)
        elif timer.kind is TimerKind.HOST_WAIT and request.phase is RequestPhase.AWAITING_HOST:
            self._lifecycle.finish(request)
        elif timer.kind is TimerKind.RETRY and request.phase is RequestPhase.BACKING_OFF:
            self._lifecycle.acquire_budget(request)
        elif timer.kind is TimerKind.HEDGE:
            self._lifecycle.hedge(request)
