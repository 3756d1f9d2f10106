"""Drives the decider: events in, actions out, timers, one clock. Owns the open requests.

Nothing about hosts, retries or refusals is decided here. What the driver adds is what real sockets
need: a response in time even if the decider says nothing, promises kept whatever it says, and a
fault in one request that stays that request's own.
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
from roselink.dataplane.proxy_request import ProxyRequest, host_head
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

    from roselink.dataplane.fleet_host_pool import FleetHostPool
    from roselink.dataplane.interfaces import Authority, Decider, Quotas, SharedBudget
    from roselink.model.configuration import Tenant

log = logging.getLogger("roselink.dataplane")

# A running stream ends so long after its deadline.
STREAM_GRACE_S = 0.1


class DecisionDriver:
    """One decider, one clock: the loop's."""

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
        """Start without a configuration; `seed` fixes the draws of services and retry times."""
        self._loop = loop
        self._authority = authority
        self._quotas = quotas
        self._budget = budget
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._queue = EventQueue(loop, decider, self._perform, self._fail)
        # While draining: when all must have their response.
        self._drain_ends_at: float | None = None
        self._topology: TopologyChanged | None = None
        self.route_table: RouteTable | None = None
        self.host_directory = HostDirectory(host_pool)
        self.hosts = self.host_directory.hosts
        self.open_requests: dict[int, Exchange] = {}
        self.body_bytes = 0  # of all open requests
        self.counts: Counter[str] = Counter()
        self._attempts = AttemptRunner(loop, host_pool, self.hosts, self)

    # From the authority.

    def apply_snapshot(self) -> None:
        """Take over the snapshot in force.

        It takes effect on the sockets first: what it ends must not get a byte more. The decider
        hears of it before it hears what became of that.
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

    # From the client side.

    def accept(self, request: ProxyRequest, client: ClientResponse) -> Exchange | None:
        """Take a request; None if it is answered already.

        The client gets one response, unless it leaves.
        """
        self.counts["requests"] += 1
        if self.route_table is None:
            self._refuse(client, 503, unconfigured_retry_s(request, self._random.random()))
            return None
        verdict = decide_admission(
            self.route_table, request, keys_usable=self._authority.may_use_keys()
        )
        if isinstance(verdict, Refusal):
            self._refuse(client, *verdict)
            return None
        return self._open(request, verdict, client)

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
        exchange = Exchange(request, route, tenant, host_head(request, route, tenant), client)
        exchange.number = next(self._numbers)
        exchange.service = entry.draw(self._random)
        exchange.expires_at = request.since + time_limit_s(request, route)
        if self._drain_ends_at is not None:
            exchange.expires_at = min(exchange.expires_at, self._drain_ends_at)
        exchange.give_up_at = give_up_time(request.since, exchange.expires_at)
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

    def _request_quota(self, exchange: Exchange, tenant: Tenant) -> None:
        try:
            self._quotas.admit(
                tenant, quota_cost(exchange.request, tenant), partial(self._quota_decided, exchange)
            )
        except Exception:  # it must not be answered twice: here, and when its time is up
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

    def client_left(self, exchange: Exchange) -> None:
        """The client has gone."""
        if not exchange.closed:
            self.counts["departed"] += 1
            self._close(exchange)

    def drain(self, ends_at: float) -> None:
        """All requests have their response at `ends_at`, loop time."""
        self._drain_ends_at = ends_at
        for exchange in self.open_requests.values():
            if exchange.expires_at > ends_at:
                exchange.expires_at = ends_at
                exchange.give_up_at = give_up_time(exchange.request.since, ends_at)
                self._set_deadline_timer(exchange, exchange.give_up_at)

    # Time.

    def _set_deadline_timer(self, exchange: Exchange, at: float) -> None:
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        exchange.deadline_timer = self._loop.call_at(at, self._deadline_reached, exchange)

    def _deadline_reached(self, exchange: Exchange) -> None:
        """Time out the attempts and end the request.

        The decider learns that they were timed out; the final response goes out now in any case.
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
        """Give the decider one event and carry out what it says."""
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

    # What the attempts ask and tell.

    def still_wanted(self, exchange: Exchange) -> bool:
        """Whether a request may still be written to a host.

        It may if its client waits and its key is valid. Called right before each write.
        """
        if exchange.closed:
            return False
        if exchange.client.has_left():
            self.client_left(exchange)
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
        """Behind the end of an attempt: end the request if that leaves it no way to go on."""
        if exchange.closed:
            self._close(exchange)
        elif exchange.response_begun and exchange.interrupted and not exchange.awaits_resume:
            self._give_up(exchange, FailureReason.MAY_HAVE_RUN, 0.0)
        elif exchange.has_too_many_attempts and not exchange.attempts:
            log.error("request_sent_without_end number=%d", exchange.number)
            self._give_up(exchange, FailureReason.OUT_OF_TIME, 0.0)
        elif exchange.key_rejected and not exchange.attempts:
            self._give_up(exchange, FailureReason.NOT_RUN, NOT_CONFIRMED_RETRY_S)

    # The end of a request.

    def _give_up(self, exchange: Exchange, reason: FailureReason, retry_after_s: float) -> None:
        """The final response of ours. What it promises is true, whatever the reason given."""
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
        """What was counted for a request that has not run, and now never will, is free again."""
        if exchange.quota_charged and exchange.tenant is not None and not exchange.may_run:
            exchange.quota_charged = False
            self._quotas.refund(exchange.tenant, quota_cost(exchange.request, exchange.tenant))

    def _close(self, exchange: Exchange) -> None:
        """It has its final response, or nobody waits for one.

        The decider learns, and what is out ends.
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
        # Nothing is left that refers in circles: no work for the collector.
        exchange.relayed_attempt = None
        self._queue.process()
