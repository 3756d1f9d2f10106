"""The decider of the gateway in service: events in, actions out (roselink/balancer/interface.py).

Each concern has a module of its own: request and server state, outcome classifier, payoff, outlier
ejection, load shedding, slow start, concurrency limit, host window and host choice. This one
carries a request from its arrival to its final answer: queue, sends, hedges and retries.

Four rules hold in every decision:

1. Every request gets one final answer in time, and nothing is sent after it.
2. Work that may not run twice does not: repeats and refusals go by the effect of the request.
3. A server that drains or has gone gets nothing new.
4. A cold server gets no more than its budget.
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

# Retry budget: tokens that a first send earns, and the most that the bucket takes.
TOKENS_PER_REQUEST = 0.5
MAX_TOKENS = 40.0
# Tokens that the bucket takes at most for each of the recent requests.
MAX_TOKENS_PER_RECENT_REQUEST = 0.2
# A request slower than this percentile of its route is hedged.
HEDGE_PERCENTILE = 0.95
# First wait between retry groups, as a fraction of the aim; it doubles from there.
FIRST_BACKOFF_FRACTION = 1 / 64
# First wait after a failed call of discovery; it doubles from there, so many times at most.
DISCOVERY_BACKOFF_US = 100_000
MAX_DISCOVERY_DOUBLINGS = 9


class Balancer:
    """One balancer. The same events bring the same actions; nothing is shared with any other."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """A balancer that knows no server; `seed` is its only random source."""
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
        """What the balancer was given at its start."""
        return self.state.settings

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Takes events in order and returns the actions they bring, in order.

        Args:
            now_us: The time in microseconds of a clock that never goes back.
            events: What has happened since the last call.
        """
        self.state.now_us = now_us
        self.actions = []
        self._mark_overdue_attempts()
        for event in events:
            if type(event) in HANDLERS:
                HANDLERS[type(event)](self, event)
        if self.state.queued:
            self._drain_queues()
        return self.actions

    def on_server_list(self, event: ServerList) -> None:
        """A list of servers, or a failed call for one."""
        if event.kind is ListKind.FAILED:
            self._back_off_discovery()
            return
        self._failed_calls = 0
        if event.kind is ListKind.CACHED and self.settings.discovery_asks:
            self.actions.append(Watch())
        self._server_table.update(event)

    def on_arrived(self, event: Arrived) -> None:
        """A request: it is sent, queued or refused."""
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
        # Where clients do not mark repeats, a try that ends sooner than most by more than the aim
        # is a repeat and has missed it.
        missed_aim = (
            not self.settings.clients_mark_repeats
            and remaining_us < route.client_timeout_us - route.target_latency_us
        )
        is_worthless = missed_aim and not route.spec.late_worth
        if is_worthless or state.random.random() > self.shedder.admitted_fraction:
            self.finish(request)
        elif state.queued or not self._try_send(request):
            self._enqueue(request)

    def on_departed(self, event: Departed) -> None:
        """A client has gone: no answer is owed."""
        if (request := self.requests.get(event.request)) is not None:
            self.close(request)

    def on_stream_started(self, event: StreamStarted) -> None:
        """A streamed answer has begun: it is the client's now."""
        if (request := self.requests.get(event.request)) is not None:
            request.closed = True

    def on_attempt_done(self, event: AttemptDone) -> None:
        """The outcome of an attempt: it ends its request, or a retry may follow."""
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
            # A retry group ended without an answer: attempts, classifier and budget decide.
            may_send = len(request.attempts) < self.settings.max_attempts
            retryable = may_send and is_retryable(request, event.outcome)
            if retryable and request.route.retry_budget.spend():
                self._back_off(request)
            else:
                self.finish(request)

    def on_alarm(self, event: Alarm) -> None:
        """An alarm is due; one that is not known does nothing."""
        if (callback := self.alarms.pop(event.tag, None)) is not None:
            callback()

    def _set_alarm(self, delay_us: float, callback: Callable[[], None]) -> None:
        self._last_tag += 1
        self.alarms[self._last_tag] = callback
        self.actions.append(SetAlarm(max(0, int(delay_us)), self._last_tag))

    def _back_off_discovery(self) -> None:
        """Calls discovery again later.

        Guards against calls piling up on discovery, one service for all: waits grow, with jitter.
        """
        self._failed_calls = min(self._failed_calls + 1, MAX_DISCOVERY_DOUBLINGS)
        wait_us = min(
            self.settings.ask_within_us / 4, DISCOVERY_BACKOFF_US * 2.0**self._failed_calls
        )
        jitter = 0.5 + self.state.random.random()
        self._set_alarm(wait_us * jitter, self._subscribe)

    def _subscribe(self) -> None:
        self.actions.append(Watch())

    # Queue.

    def _enqueue(self, request: Request) -> None:
        """Queues a request. Rule 1: its alarm ends it once it can no longer meet its aim."""
        route = request.route
        route.queues[request.low_priority].append(request)
        self.state.queued += 1
        wait_us = max_queued_us(self.state, request)
        self._set_alarm(wait_us, lambda: self.end_queued(request))

    def end_queued(self, request: Request) -> None:
        """Ends a request for which no capacity came.

        Others may have some: its client is to try at once, unless load has to fall.
        """
        if request.closed or request.attempts:
            return
        soon_us = FIRST_BACKOFF_FRACTION * request.route.target_latency_us
        self.finish(request, soon_us if self.shedder.admitted_fraction >= 1.0 else math.inf)

    def _drain_queues(self) -> None:
        """Sends what is queued as capacity allows.

        Of each queue the newest first: where not all can be served, the served must not have waited
        their aim away.
        """
        for queue in queues_by_value(self.state):
            while queue and (queue[-1].closed or self._try_send(queue[-1])):
                queue.pop()
                self.state.queued -= 1
            while queue and queue[0].closed:
                queue.popleft()
                self.state.queued -= 1

    # Final answers.

    def finish(self, request: Request, retry_after_us: float = math.inf) -> None:
        """Rule 1: the one place that gives a final answer of our own.

        Args:
            request: The request to end.
            retry_after_us: Microseconds after which the client should try again.
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
        """Nothing is sent from here on; the copies still in flight are cancelled."""
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

    def _try_send(self, request: Request) -> bool:
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
        # Rule 2 binds at the write, and a connection may first have to come up.
        possible_runs = request.may_have_run() if route.spec.effect is Effect.KEYED else []
        before_us = possible_runs[0].sent_us + route.spec.memory_span_us if possible_runs else 0
        if not request.attempts:
            # None saves more than it earns of late: guards against many buckets that together keep
            # the tokens of a retry storm.
            saved = MAX_TOKENS_PER_RECENT_REQUEST * state.recent_arrivals
            route.retry_budget.earn(TOKENS_PER_REQUEST, max(1.0, min(MAX_TOKENS, saved)))
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
        """Sends a second copy of a slow request for a token, unless others are queued."""
        if request.closed or request.in_flight != 1 or self.state.queued:
            return
        server = self.chooser.choose(request)
        if server is not None and request.route.retry_budget.spend():
            self.send(request, server)

    def _back_off(self, request: Request) -> None:
        """Waits grow between retry groups; a wait that leaves too little time ends the request."""
        state = self.state
        growth = FIRST_BACKOFF_FRACTION * 2.0**request.retry_groups
        wait_us = request.route.target_latency_us * growth * (0.5 + state.random.random())
        request.retry_groups += 1
        if state.now_us + wait_us + request.cost_us < request.useful_until_us:
            self._set_alarm(wait_us, lambda: self._retry(request))
        else:
            self.finish(request)

    def _retry(self, request: Request) -> None:
        """Sends again, or waits again; not in the queue, where it could block others.

        Those in the queue may go to any server, and a repeat only to some.
        """
        if not request.closed and not self._try_send(request):
            self._back_off(request)

    # Learning.

    def learn(self, route: RouteState, attempt: Attempt, event: AttemptDone) -> None:
        """Learns from an outcome about its server, its kind of machine and its route."""
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
        """Learns from the latency of a success; whether it was in time."""
        attempt.server.ejections = 0
        # A jam says nothing about the machines.
        if attempt.warm and self.shedder.admitted_fraction >= 1.0:
            self.speeds.learn(attempt, latency_us)
        route.learn_cost(latency_us, idle_server=attempt.idle_server)
        if attempt.at_limit and attempt.warm and route.samples >= COST_SAMPLES_MIN:
            self.limit.learn(latency_us / route.cost_us)
        aim_us = route.spec.aim_us or route.latency.percentile(0.5) or latency_us
        route.latency.append(latency_us)
        return latency_us <= aim_us

    def _mark_overdue_attempts(self) -> None:
        """An attempt past its aim counts as failed at once: guards against unresponsive servers."""
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
        """Counts one outcome of a server: 1 if it was in time, else 0."""
        if outcome not in SERVER_FAULTS:
            self.shedder.observe(value)
        self.payoffs.observe(server, value)

    def record_failure(self, server: ServerState, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """Counts an outcome as 0, and ejects a server that keeps failing."""
        self.record_outcome(server, 0.0, outcome)
        if (line := eject_outlier(self.state, server)) is not None:
            self.actions.append(line)


HANDLERS: dict[type, Callable[[Balancer, Any], None]] = {
    ServerList: Balancer.on_server_list,
    Arrived: Balancer.on_arrived,
    Departed: Balancer.on_departed,
    AttemptDone: Balancer.on_attempt_done,
    StreamStarted: Balancer.on_stream_started,
    Alarm: Balancer.on_alarm,
}
