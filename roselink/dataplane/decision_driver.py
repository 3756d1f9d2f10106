"""Passes events to the decider, performs its actions and timers, and owns the open requests.

The driver does not choose hosts, retries or refusals. It guarantees what must hold whatever the
decider does: a response before the deadline, statuses that never deny an execution which may have
happened, and faults that affect only the request in which they occur.
"""

from __future__ import annotations

import itertools
import logging
import random
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from roselink.dataplane.admission import (
    NOT_CONFIRMED_RETRY_S,
    Admitted,
    Refusal,
    decide_admission,
    give_up_time,
    quota_cost,
    request_facts,
    time_limit_s,
    unconfigured_retry_s,
)
from roselink.dataplane.attempt_runner import AttemptRunner
from roselink.dataplane.event_queue import EventQueue
from roselink.dataplane.exchange import ClientResponse, Exchange
from roselink.dataplane.host_directory import HostDirectory
from roselink.dataplane.proxy_request import ProxyRequest, common_head
from roselink.dataplane.route_table import RouteTable
from roselink.routing.events_and_actions import (
    AcquireSharedBudget,
    Action,
    BudgetDecided,
    CancelAttempt,
    Event,
    FailureReason,
    FinalResponse,
    RequestArrived,
    RequestClosed,
    SendAttempt,
    StartTimer,
    TimerFired,
    TopologyChanged,
)
from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    import asyncio

    from roselink.dataplane.drain import DrainTimes
    from roselink.dataplane.fleet_host_pool import FleetHostPool
    from roselink.dataplane.interfaces import Authority, Decider, Quotas, SharedBudget
    from roselink.model.configuration import Tenant

log = logging.getLogger("roselink.dataplane")

# Time after its deadline at which a stream that is still being relayed is aborted.
STREAM_GRACE_S = 0.1


class DecisionDriver:
    """Connects one decider to the event loop; all times are those of the loop's clock."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decider: Decider,
        host_pool: FleetHostPool,
        authority: Authority,
        quotas: Quotas,
        budget: SharedBudget,
        seed: int,
    ) -> None:
        """Start without a configuration; `seed` makes random choices repeatable."""
        self._loop = loop
        self._authority = authority
        self._quotas = quotas
        self._budget = budget
        self._random = random.Random(seed)
        self._request_numbers = itertools.count(1)
        self._queue = EventQueue(loop, decider, self._perform, self._fail)
        self._drain: DrainTimes | None = None  # None before the SIGTERM
        self._topology: TopologyChanged | None = None
        self.route_table: RouteTable | None = None
        self.host_directory = HostDirectory(host_pool)
        self.hosts = self.host_directory.hosts
        self.open_requests: dict[int, Exchange] = {}
        self.body_bytes = 0  # of all open requests
        self.counts: Counter[str] = Counter()
        self._attempts = AttemptRunner(loop, host_pool, self.hosts, self)

    # Events from the authority.

    def apply_snapshot(self) -> None:
        """Apply the snapshot in force.

        Connections are updated first, because retired hosts must not get another byte. The
        decider receives the new topology before the ends of the attempts that this update causes.
        """
        snapshot = self._authority.snapshot()
        if snapshot is None:
            return
        if self.route_table is None or self.route_table.configuration is not snapshot.configuration:
            self.route_table = RouteTable(snapshot.configuration)
        topology = TopologyChanged(snapshot.hosts, snapshot.configuration.services)
        if topology != self._topology:
            self._topology = topology
            self._queue.enqueue(topology)
        with self._queue.deferred():
            self.host_directory.update(snapshot)

    # Events from clients.

    def accept(self, request: ProxyRequest, client: ClientResponse) -> Exchange | None:
        """Accept a request; returns None if it already has its final response.

        The client gets exactly one response unless it disconnects.
        """
        self.counts["requests"] += 1
        if self.route_table is None:
            self._refuse(client, 503, unconfigured_retry_s(request, self._random.random()))
            return None
        admission = decide_admission(
            self.route_table, request, keys_usable=self._authority.may_use_keys()
        )
        if isinstance(admission, Refusal):
            self._refuse(client, *admission)
            return None
        return self._open(request, admission, client)

    def _refuse(
        self, client: ClientResponse, status: int, retry_after_s: float | None = None
    ) -> None:
        self.counts[f"refused_{status}"] += 1
        client.send_status(status, retry_after_s)

    def _open(
        self, request: ProxyRequest, admitted: Admitted, client: ClientResponse
    ) -> Exchange | None:
        entry, tenant = admitted
        route = entry.route
        exchange = Exchange(request, route, tenant, common_head(request, route, tenant), client)
        exchange.number = next(self._request_numbers)
        exchange.service = entry.choose_service(self._random)
        exchange.expires_at = request.received_at + time_limit_s(request, route)
        if self._drain is not None:
            if not self._drain.may_take(self._loop.time(), exchange.expires_at):
                self._refuse_draining(exchange, self._drain)
                return None
            exchange.expires_at = self._drain.limit(exchange.expires_at)
        exchange.give_up_at = give_up_time(request.received_at, exchange.expires_at)
        if exchange.give_up_at <= self._loop.time():
            self._refuse(client, 503, 0.0)
            return None
        self.open_requests[exchange.number] = exchange
        self.body_bytes += len(request.body)
        exchange.deadline_timer = self._loop.call_at(
            exchange.give_up_at, self._deadline_reached, exchange
        )
        if tenant is None or tenant.rate_per_s <= 0:
            self._quota_decided(exchange, True, 0.0)
        else:
            self._request_quota(exchange, tenant)
        return None if exchange.closed else exchange

    def _refuse_draining(self, exchange: Exchange, drain: DrainTimes) -> None:
        """Refuse a request that could not end before the drain does; others can serve it."""
        origin = exchange.client.request_origin()
        now = self._loop.time()
        log.info(
            "drain_request_refused left_s=%.3f wanted_s=%.3f earlier=%d ahead=%s idle_ms=%.1f"
            " promised_s=%.3f",
            drain.requests_end_at - now,
            exchange.expires_at - now,
            origin.earlier_requests,
            "yes" if origin.sent_ahead else "no",
            origin.idle_s * 1000,
            origin.promised_s,
        )
        self.counts["refused_draining"] += 1
        self._refuse(exchange.client, 503, 0.0)

    def _request_quota(self, exchange: Exchange, tenant: Tenant) -> None:
        try:
            self._quotas.admit(
                tenant, quota_cost(exchange.request, tenant), partial(self._quota_decided, exchange)
            )
        except Exception:  # respond now, not a second time at the deadline
            log.exception("quota_failed tenant=%s", tenant.name)
            self._give_up(exchange, FailureReason.NOT_RUN, NOT_CONFIRMED_RETRY_S)

    def _quota_decided(self, exchange: Exchange, allowed: bool, retry_after_s: float) -> None:
        if exchange.closed or exchange.facts is not None:
            return
        if not allowed:
            self._respond_with_status(exchange, 429, retry_after_s)
            return
        exchange.facts = request_facts(exchange)
        exchange.quota_charged = exchange.tenant is not None and exchange.tenant.rate_per_s > 0
        self.handle_event(RequestArrived(exchange.facts))

    def client_disconnected(self, exchange: Exchange) -> None:
        """Close the request of a client that has disconnected."""
        if not exchange.closed:
            self.counts["departed"] += 1
            self._close(exchange)

    def drain(self, times: DrainTimes) -> None:
        """Limit the deadline of all requests, open and new, and refuse those that don't fit."""
        self._drain = times
        for exchange in self.open_requests.values():
            limited = times.limit(exchange.expires_at)
            if limited < exchange.expires_at:
                exchange.expires_at = limited
                exchange.give_up_at = give_up_time(exchange.request.received_at, limited)
                self._set_deadline_timer(exchange, exchange.give_up_at)

    # Deadlines.

    def _set_deadline_timer(self, exchange: Exchange, time: float) -> None:
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        exchange.deadline_timer = self._loop.call_at(time, self._deadline_reached, exchange)

    def _deadline_reached(self, exchange: Exchange) -> None:
        """Time out the attempts and end the request.

        The decider receives the time-outs; the final response is sent now in any case.
        """
        if exchange.closed:
            return
        ends_at = exchange.expires_at + STREAM_GRACE_S
        if exchange.response_begun and self._loop.time() < ends_at:
            self._set_deadline_timer(exchange, ends_at)
            return
        for response in list(exchange.attempts.values()):
            if response.attempt is not None:
                response.attempt.end(Outcome.TIMEOUT)
        self._give_up(exchange, FailureReason.OUT_OF_TIME, 0.0)

    # The decider.

    def handle_event(self, event: Event) -> None:
        """Pass one event to the decider and perform the actions that it returns."""
        self._queue.handle(event)

    def _fail(self, number: int) -> None:
        exchange = self.open_requests.get(number)
        if exchange is not None:
            self._give_up(exchange, FailureReason.MAY_HAVE_RUN, 0.0)

    def _perform(self, action: Action) -> None:
        if isinstance(action, StartTimer):
            self._loop.call_at(action.at, self.handle_event, TimerFired(action.tag))
            return
        exchange = self.open_requests.get(action.number)
        if isinstance(action, SendAttempt):
            self._attempts.send(exchange, action)
        elif exchange is None:
            return
        elif isinstance(action, CancelAttempt):
            response = exchange.attempts.get(action.attempt)
            if response is not None:
                response.cancel()
        elif isinstance(action, AcquireSharedBudget):
            self._budget.request_retry(action.service, partial(self._budget_decided, action.number))
        elif isinstance(action, FinalResponse):
            self._give_up(exchange, action.reason, action.retry_after_s)

    def _budget_decided(self, number: int, allowed: bool) -> None:
        self.handle_event(BudgetDecided(number, allowed))

    # `RequestOwner`, called by the attempt runner.

    def still_wanted(self, exchange: Exchange) -> bool:
        """Whether a request may still be written to a host.

        Requires that its client is connected and its key is valid. Called right before each write.
        """
        if exchange.closed:
            return False
        if exchange.client.has_left():
            self.client_disconnected(exchange)
            return False
        if exchange.tenant is not None and not self._key_is_valid(exchange):
            exchange.key_rejected = True
            return False
        return True

    def _key_is_valid(self, exchange: Exchange) -> bool:
        key_is_known = (
            self.route_table is not None
            and self.route_table.tenant(exchange.request.key) is not None
        )
        return key_is_known and self._authority.may_use_keys()

    def end_if_stuck(self, exchange: Exchange) -> None:
        """End a request that can't complete after the end of one of its attempts."""
        if exchange.closed:
            self._close(exchange)
        elif exchange.response_begun and exchange.interrupted and not exchange.awaits_resume:
            self._give_up(exchange, FailureReason.MAY_HAVE_RUN, 0.0)
        elif exchange.has_too_many_attempts and not exchange.attempts:
            log.error("request_sent_without_end number=%d", exchange.number)
            self._give_up(exchange, FailureReason.OUT_OF_TIME, 0.0)
        elif exchange.key_rejected and not exchange.attempts:
            self._give_up(exchange, FailureReason.NOT_RUN, NOT_CONFIRMED_RETRY_S)

    # Ends of requests.

    def _give_up(self, exchange: Exchange, reason: FailureReason, retry_after_s: float) -> None:
        """Send the gateway's final response, or abort a response that has begun.

        503, which says that the request has not run, is sent only if no host can have run it,
        whatever the `reason`.
        """
        if exchange.closed:
            return
        if exchange.response_begun:
            exchange.client.abort_response()
            self.counts["cut"] += 1
            self._close(exchange)
        elif not exchange.may_run:
            self._respond_with_status(exchange, 503, retry_after_s)
        elif exchange.host_failure is not None:
            exchange.client.send_complete(*exchange.host_failure)
            self.counts["relayed"] += 1
            self._close(exchange)
        else:
            self._respond_with_status(exchange, 504 if reason is FailureReason.OUT_OF_TIME else 502)

    def _respond_with_status(
        self, exchange: Exchange, status: int, retry_after_s: float | None = None
    ) -> None:
        self.counts[f"refused_{status}"] += 1
        exchange.client.send_status(status, retry_after_s)
        self._close(exchange)

    def _return_quota(self, exchange: Exchange) -> None:
        """Return the quota charged for a request that has not run and never will."""
        if exchange.quota_charged and exchange.tenant is not None and not exchange.may_run:
            exchange.quota_charged = False
            self._quotas.refund(exchange.tenant, quota_cost(exchange.request, exchange.tenant))

    def _close(self, exchange: Exchange) -> None:
        """Close a request that has its final response or whose client has disconnected.

        The decider is notified and open attempts are cancelled.
        """
        exchange.closed = True
        if self.open_requests.pop(exchange.number, None) is None:
            return
        self.body_bytes -= len(exchange.request.body)
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
            exchange.deadline_timer = None
        self._return_quota(exchange)
        if exchange.facts is not None:
            self._queue.enqueue(RequestClosed(exchange.number))
        for response in list(exchange.attempts.values()):
            response.cancel()
        # Break the reference cycle, so that the garbage collector has no work.
        exchange.relayed_attempt = None
        self._queue.process()
