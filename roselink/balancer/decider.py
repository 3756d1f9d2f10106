"""Request handling of the balancer: events in, actions out (roselink/balancer/interface.py).

Each concern has its own module: request and server state, outcome classifier, payoff, outlier
ejection, load shedding, slow start, concurrency limit, host window and host choice. This one
handles a request from its arrival to its final answer: queueing, sends, hedges and retries.

Four rules hold in every decision:

1. Every request gets one final answer in time, and nothing is sent after it.
2. A request that must not run twice does not: retries and refusals depend on its `Effect`.
3. A server that is draining or gone gets no new requests.
4. A cold server gets no more work than its slow-start budget.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from roselink.balancer.concurrency_limit import ConcurrencyLimit
from roselink.balancer.host_choice import HostChooser, may_run_parallel
from roselink.balancer.host_window import LongRequestPartition
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
    ListKind,
    Refuse,
    Send,
    ServerList,
    SetAlarm,
    Settings,
    StreamStarted,
    Watch,
)
from roselink.balancer.kind_speeds import KindSpeeds
from roselink.balancer.load_shedding import LoadShedder
from roselink.balancer.outcome_classifier import SERVER_FAULTS, is_retryable, may_refuse
from roselink.balancer.outlier_ejection import eject_outlier
from roselink.balancer.payoff import EWMA_WEIGHT, PayoffEstimator
from roselink.balancer.request_queue import max_queued_us, queues_by_value
from roselink.balancer.request_state import COST_SAMPLES_MIN, Attempt, Request
from roselink.balancer.server_table import ServerTable
from roselink.balancer.slow_start import SlowStart
from roselink.balancer.state import BalancerState
from roselink.balancer.tenant_quotas import TenantQuotas
from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.balancer.request_state import RouteState
    from roselink.balancer.server_state import ServerState

# Retry budget: tokens earned by the first send of a request, and the capacity of the bucket.
TOKENS_PER_REQUEST = 0.5
MAX_TOKENS = 40.0
# Capacity of the bucket per recent request.
MAX_TOKENS_PER_RECENT_REQUEST = 0.2
# A request slower than this percentile of its route is hedged.
HEDGE_PERCENTILE = 0.95
# First wait between retry groups, as a fraction of the target latency; it doubles each time.
FIRST_BACKOFF_FRACTION = 1 / 64
# First wait after a failed discovery call, and the most times that it doubles.
DISCOVERY_WAIT_US = 100_000
MAX_DISCOVERY_DOUBLINGS = 9


class Balancer:
    """One balancer: the same seed and events yield the same actions; it shares no state."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Starts without servers; `seed` is the only source of randomness."""
        self.state = BalancerState(settings, seed)
        self.speeds = KindSpeeds()
        self.slow_start = SlowStart(self.state, self.speeds)
        self.payoffs = PayoffEstimator(self.state)
        self.shedder = LoadShedder(self.state)
        self.limit = ConcurrencyLimit(self.state, self.slow_start)
        self.partition = LongRequestPartition(self.state)
        self.chooser = HostChooser(
            self.state, self.payoffs, self.slow_start, self.limit, self.partition
        )
        self.quotas = TenantQuotas(self.state)
        self.requests: dict[int, Request] = {}
        self.actions: list[Action] = []
        self.alarms: dict[int, Callable[[], None]] = {}
        self._server_table = ServerTable(self.state, self.speeds, self.slow_start)
        self._last_tag = 0
        self._failed_calls = 0

    @property
    def settings(self) -> Settings:
        """The settings that the balancer was created with."""
        return self.state.settings

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handles the events since the last call in order; returns the resulting actions in order.

        `now_us` is the time of a monotonic clock, in microseconds.
        """
        self.state.now_us = now_us
        self.actions = []
        self._count_overdue_attempts()
        for event in events:
            if type(event) in HANDLERS:
                HANDLERS[type(event)](self, event)
        if self.state.queued:
            self._drain_queues()
        return self.actions

    def on_server_list(self, event: ServerList) -> None:
        """Handles a list of servers or a failed discovery call."""
        if event.kind is ListKind.FAILED:
            self._back_off_discovery()
            return
        self._failed_calls = 0
        if event.kind is ListKind.CACHED and self.settings.discovery_asks:
            self.actions.append(Watch())
        self._server_table.update(event)

    def on_arrived(self, event: Arrived) -> None:
        """Sends, queues or refuses a request."""
        state = self.state
        route = state.routes[event.route]
        state.count_arrival()
        remaining_us = event.give_up_us - state.now_us
        smoothing = EWMA_WEIGHT if route.client_timeout_us else 1.0
        route.client_timeout_us += (remaining_us - route.client_timeout_us) * smoothing
        low_priority = event.repeat or not self.quotas.take(event.tenant)
        request = Request(event, route, state.now_us, low_priority=low_priority)
        self.requests[request.id] = request
        state.learn_cost(request.cost_us)
        self.partition.observe(route, request.cost_us)
        # Where clients do not mark repeats, a request whose client waits less than usual, by more
        # than the target latency, is taken for a repeat that has missed its objective.
        missed_objective = (
            not self.settings.clients_mark_repeats
            and remaining_us < route.client_timeout_us - route.target_latency_us
        )
        is_worthless = missed_objective and not route.spec.late_worth
        if is_worthless or state.random.random() > self.shedder.admitted_fraction:
            self.finish(request)
        elif state.queued or not self._send_if_allowed(request):
            self._enqueue(request)

    def on_departed(self, event: Departed) -> None:
        """Closes the request of a client that has disconnected; no answer is due."""
        if (request := self.requests.get(event.request)) is not None:
            self.close(request)

    def on_stream_started(self, event: StreamStarted) -> None:
        """Marks a request as answered once its streamed answer has begun."""
        if (request := self.requests.get(event.request)) is not None:
            request.closed = True

    def on_attempt_done(self, event: AttemptDone) -> None:
        """Handles the outcome of an attempt, which ends its request or leads to a retry."""
        request = self.requests.get(event.request)
        if request is None:
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        request.in_flight -= 1
        self.learn(request.route, attempt, event)
        if event.closed or event.outcome is Outcome.SUCCESS or request.closed:
            self.close(request)
        elif not request.in_flight:
            # No attempt is in flight: attempts so far, outcome and retry budget decide on a retry.
            may_send = len(request.attempts) < self.settings.max_attempts
            retryable = may_send and is_retryable(request, event.outcome)
            if retryable and request.route.retry_budget.spend():
                self._back_off(request)
            else:
                self.finish(request)

    def on_alarm(self, event: Alarm) -> None:
        """Runs the callback of a due alarm; unknown alarms are ignored."""
        if (callback := self.alarms.pop(event.tag, None)) is not None:
            callback()

    def _set_alarm(self, delay_us: float, callback: Callable[[], None]) -> None:
        self._last_tag += 1
        self.alarms[self._last_tag] = callback
        self.actions.append(SetAlarm(max(0, int(delay_us)), self._last_tag))

    def _back_off_discovery(self) -> None:
        """Schedules another discovery call.

        Waits grow, with jitter: calls must not pile up on discovery, which all balancers share.
        """
        self._failed_calls = min(self._failed_calls + 1, MAX_DISCOVERY_DOUBLINGS)
        wait_us = min(self.settings.ask_within_us / 4, DISCOVERY_WAIT_US * 2.0**self._failed_calls)
        jitter = 0.5 + self.state.random.random()
        self._set_alarm(wait_us * jitter, self._subscribe)

    def _subscribe(self) -> None:
        self.actions.append(Watch())

    # Queue.

    def _enqueue(self, request: Request) -> None:
        """Queues a request. Rule 1: an alarm ends it once it can no longer meet its objective."""
        route = request.route
        route.queues[request.low_priority].append(request)
        self.state.queued += 1
        wait_us = max_queued_us(self.state, request)
        self._set_alarm(wait_us, lambda: self.end_queued(request))

    def end_queued(self, request: Request) -> None:
        """Ends a request for which no capacity became available.

        Another balancer may have some: the client should retry soon, unless load has to fall.
        """
        if request.closed or request.attempts:
            return
        soon_us = FIRST_BACKOFF_FRACTION * request.route.target_latency_us
        self.finish(request, soon_us if self.shedder.admitted_fraction >= 1.0 else math.inf)

    def _drain_queues(self) -> None:
        """Sends queued requests as capacity allows.

        Each queue is last in, first out: under overload, first in, first out would serve requests
        that have already spent most of their objective waiting.
        """
        for queue in queues_by_value(self.state):
            while queue and (queue[-1].closed or self._send_if_allowed(queue[-1])):
                queue.pop()
                self.state.queued -= 1
            while queue and queue[0].closed:
                queue.popleft()
                self.state.queued -= 1

    # Final answers.

    def finish(self, request: Request, retry_after_us: float = math.inf) -> None:
        """Refuses or fails a request; for rule 1, only this method does.

        The client should try again after `retry_after_us`, in microseconds.
        """
        wait_us = 0
        if self.settings.retry_after:
            wait_us = int(min(retry_after_us, self.settings.max_retry_after_us))
        if may_refuse(request):
            self.actions.append(Refuse(request.id, wait_us))
        else:
            self.actions.append(Fail(request.id))
        self.close(request)

    def close(self, request: Request) -> None:
        """Prevents further sends of a request and cancels its attempts in flight."""
        if not request.closed and self.settings.cancelling:
            self.actions += [
                Cancel(request.id, number)
                for number, attempt in enumerate(request.attempts)
                if not attempt.outcome
            ]
        request.closed = True
        if not request.in_flight:
            self.requests.pop(request.id, None)

    # Sends.

    def _send_if_allowed(self, request: Request) -> bool:
        server = self.chooser.choose(request)
        if server is None:
            return False
        self.send(request, server)
        return True

    def send(self, request: Request, server: ServerState) -> None:
        """Starts an attempt; the server has passed `HostChooser.may_send`."""
        state = self.state
        route = request.route
        attempt = Attempt(server, state.now_us, request, warm=not self.slow_start.is_cold(server))
        # Rule 2 applies when the request is written, which may first wait for a connection.
        possible_runs = request.may_have_run() if route.spec.effect is Effect.KEYED else []
        before_us = possible_runs[0].sent_us + route.spec.memory_span_us if possible_runs else 0
        if not request.attempts:
            # Bounded by recent traffic: full buckets of many balancers could cause a retry storm.
            max_saved = MAX_TOKENS_PER_RECENT_REQUEST * state.recent_arrivals
            route.retry_budget.earn(TOKENS_PER_REQUEST, max(1.0, min(MAX_TOKENS, max_saved)))
        request.attempts.append(attempt)
        request.in_flight += 1
        server.in_flight += 1
        state.in_flight += attempt.warm
        attempt.at_limit = self.limit.is_reached(server)
        if not attempt.warm:
            self.slow_start.pause(server, request.cost_us)
        route.overdue_schedule.append((state.now_us + route.target_latency_us, attempt))
        self.actions.append(Send(request.id, server.spec.id, before_us=before_us))
        if may_run_parallel(self.settings, route.spec):
            wait_us = route.latency.percentile(HEDGE_PERCENTILE)
            if wait_us is not None:
                self._set_alarm(wait_us, lambda: self._hedge(request))

    def _hedge(self, request: Request) -> None:
        """Spends a token on a second attempt of a slow request, unless requests are queued."""
        if request.closed or request.in_flight != 1 or self.state.queued:
            return
        server = self.chooser.choose(request)
        if server is not None and request.route.retry_budget.spend():
            self.send(request, server)

    def _back_off(self, request: Request) -> None:
        """Schedules a retry after a growing wait; ends the request if too little time remains."""
        state = self.state
        growth = FIRST_BACKOFF_FRACTION * 2.0**request.retry_groups
        wait_us = request.route.target_latency_us * growth * (0.5 + state.random.random())
        request.retry_groups += 1
        if state.now_us + wait_us + request.cost_us < request.useful_until_us:
            self._set_alarm(wait_us, lambda: self._retry(request))
        else:
            self.finish(request)

    def _retry(self, request: Request) -> None:
        """Sends a retry, or backs off again.

        Retries are not queued: limited to some servers, they could block requests that are not.
        """
        if not request.closed and not self._send_if_allowed(request):
            self._back_off(request)

    # Learning.

    def learn(self, route: RouteState, attempt: Attempt, event: AttemptDone) -> None:
        """Updates the server, its kind of machine and the route from an outcome."""
        server = attempt.server
        server.overdue -= attempt.overdue
        server.in_flight -= 1
        self.state.in_flight -= attempt.warm
        if event.outcome is Outcome.CANCELLED or event.outcome is Outcome.MOOT:
            return
        succeeded = event.outcome is Outcome.SUCCESS
        if not attempt.warm:
            self.slow_start.learn(in_time=succeeded and event.elapsed_us <= route.target_latency_us)
        if succeeded and self._learn_latency(route, attempt, event.elapsed_us):
            self.record_outcome(server, 1.0)
        elif not attempt.overdue:
            self.record_failure(server, event.outcome)

    def _learn_latency(self, route: RouteState, attempt: Attempt, latency_us: int) -> bool:
        """Learns from the latency of a success; returns whether it met the objective."""
        attempt.server.ejections = 0
        # Latencies under overload do not show the speed of a machine.
        if attempt.warm and self.shedder.admitted_fraction >= 1.0:
            self.speeds.learn(attempt, latency_us)
        route.learn_cost(latency_us, idle_server=attempt.idle_server)
        if attempt.at_limit and attempt.warm and route.samples >= COST_SAMPLES_MIN:
            self.limit.learn(latency_us / route.cost_us)
        objective_us = route.spec.aim_us or route.latency.percentile(0.5) or latency_us
        route.latency.append(latency_us)
        return latency_us <= objective_us

    def _count_overdue_attempts(self) -> None:
        """Counts attempts past their target latency as failed, to avoid unresponsive servers."""
        for route in self.state.routes:
            while route.overdue_schedule and route.overdue_schedule[0][0] <= self.state.now_us:
                attempt = route.overdue_schedule.popleft()[1]
                if attempt.outcome is None:
                    attempt.overdue = True
                    attempt.server.overdue += 1
                    self.record_failure(attempt.server)

    def record_outcome(
        self, server: ServerState, value: float, outcome: Outcome = Outcome.SUCCESS
    ) -> None:
        """Records an outcome of a server: 1 if it was in time, else 0."""
        if outcome not in SERVER_FAULTS:
            self.shedder.observe(value)
        self.payoffs.observe(server, value)

    def record_failure(self, server: ServerState, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """Records an outcome as 0, and ejects a server that keeps failing."""
        self.record_outcome(server, 0.0, outcome)
        if (log_action := eject_outlier(self.state, server)) is not None:
            self.actions.append(log_action)


HANDLERS: dict[type, Callable[[Balancer, Any], None]] = {
    ServerList: Balancer.on_server_list,
    Arrived: Balancer.on_arrived,
    Departed: Balancer.on_departed,
    AttemptDone: Balancer.on_attempt_done,
    StreamStarted: Balancer.on_stream_started,
    Alarm: Balancer.on_alarm,
}
