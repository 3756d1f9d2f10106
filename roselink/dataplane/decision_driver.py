"""Drives the decider: events in, actions out, timers, one clock. Owns the open requests.

Nothing about hosts, retries or refusals is decided here. What the engine adds is what real sockets
need: an answer in time even if the decider says nothing, promises kept whatever it says, and a
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
    allowed_s,
    amount_of,
    facts_of,
    give_up_at,
    judge,
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

STREAM_OVER_S = 0.1  # a running stream ends so long after its deadline


class DecisionDriver:
    """One decider, one clock: the loop's."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decider: Decider,
        upstream: FleetHostPool,
        authority: Authority,
        quotas: Quotas,
        budget: SharedBudget,
        seed: int,
    ) -> None:
        self._loop = loop
        self._authority, self._quotas, self._budget = authority, quotas, budget
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._queue = EventQueue(loop, decider, self._perform, self._fail)
        self._ends_at: float | None = None  # while draining: when all must have their answer
        self._topology: TopologyChanged | None = None
        self.table: RouteTable | None = None
        self.directory = HostDirectory(upstream)
        self.hosts = self.directory.hosts
        self.open: dict[int, Exchange] = {}
        self.body_bytes = 0  # of all open requests
        self.counts: Counter[str] = Counter()
        self._attempts = AttemptRunner(loop, upstream, self.hosts, self)

    # From the authority.

    def refresh(self) -> None:
        """Take over the snapshot in force. It takes effect on the sockets first: what it ends must
        not get a byte more. The decider hears of it before it hears what became of that.
        """
        snapshot = self._authority.snapshot()
        if snapshot is None:
            return
        if self.table is None or self.table.configuration is not snapshot.configuration:
            self.table = RouteTable(snapshot.configuration)
        told = TopologyChanged(snapshot.hosts, snapshot.configuration.services)
        if told != self._topology:
            self._topology = told
            self._queue.add(told)
        with self._queue.held():
            self.directory.update(snapshot)

    # From the client side.

    def accept(self, request: ProxyRequest, client: ClientResponse) -> Exchange | None:
        """Take a request; None if it is answered already. The client gets one answer, unless it
        leaves.
        """
        self.counts["requests"] += 1
        if self.table is None:
            self._refuse(client, 503, unconfigured_retry_s(request, self._random.random()))
            return None
        verdict = judge(self.table, self._authority.may_use_keys(), request)
        if isinstance(verdict, Refusal):
            self._refuse(client, *verdict)
            return None
        return self._open(request, verdict, client)

    def _refuse(
        self, client: ClientResponse, status: int, retry_after_s: float | None = None
    ) -> None:
        self.counts[f"refused_{status}"] += 1
        client.own(status, retry_after_s)

    def _open(
        self, request: ProxyRequest, admitted: Admitted, client: ClientResponse
    ) -> Exchange | None:
        entry, tenant = admitted
        route = entry.route
        exchange = Exchange(request, route, tenant, host_head(request, route, tenant), client)
        exchange.number, exchange.service = next(self._numbers), entry.draw(self._random)
        exchange.expires_at = request.since + allowed_s(request, route)
        if self._ends_at is not None:
            exchange.expires_at = min(exchange.expires_at, self._ends_at)
        exchange.give_up_at = give_up_at(request.since, exchange.expires_at)
        if exchange.give_up_at <= self._loop.time():
            self._refuse(client, 503, 0.0)
            return None
        self.open[exchange.number] = exchange
        self.body_bytes += len(request.body)
        exchange.guard = self._loop.call_at(exchange.give_up_at, self._out_of_time, exchange)
        if tenant is None or tenant.rate_per_s <= 0:
            self._admitted(exchange, True, 0.0)
        else:
            self._ask_quota(exchange, tenant)
        return None if exchange.closed else exchange

    def _ask_quota(self, exchange: Exchange, tenant: Tenant) -> None:
        try:
            self._quotas.admit(
                tenant, amount_of(exchange.request, tenant), partial(self._admitted, exchange)
            )
        except Exception:  # it must not be answered twice: here, and when its time is up
            log.exception("quota_failed tenant=%s", tenant.name)
            self._give_up(exchange, FailureReason.NOT_RUN, NOT_CONFIRMED_RETRY_S)

    def _admitted(self, exchange: Exchange, allowed: bool, retry_after_s: float) -> None:
        if exchange.closed or exchange.facts is not None:
            return
        if not allowed:
            self._answer_own(exchange, 429, retry_after_s)
            return
        exchange.facts = facts_of(exchange)
        exchange.counted = exchange.tenant is not None and exchange.tenant.rate_per_s > 0
        self.feed(RequestArrived(exchange.facts))

    def depart(self, exchange: Exchange) -> None:
        """The client has gone."""
        if not exchange.closed:
            self.counts["departed"] += 1
            self._close(exchange)

    def drain(self, ends_at: float) -> None:
        """All requests have their answer at `ends_at`, loop time."""
        self._ends_at = ends_at
        for exchange in self.open.values():
            if exchange.expires_at > ends_at:
                exchange.expires_at = ends_at
                exchange.give_up_at = give_up_at(exchange.request.since, ends_at)
                self._guard_at(exchange, exchange.give_up_at)

    # Time.

    def _guard_at(self, exchange: Exchange, at: float) -> None:
        if exchange.guard is not None:
            exchange.guard.cancel()
        exchange.guard = self._loop.call_at(at, self._out_of_time, exchange)

    def _out_of_time(self, exchange: Exchange) -> None:
        """The decider hears that the attempts were timed out; the last word is said now in any
        case.
        """
        if exchange.closed:
            return
        ends_at = exchange.expires_at + STREAM_OVER_S
        if exchange.begun and self._loop.time() < ends_at:
            self._guard_at(exchange, ends_at)
            return
        for answer in list(exchange.attempts.values()):
            if answer.attempt is not None:
                answer.attempt.end(Outcome.TIMEOUT)
        self._give_up(exchange, FailureReason.OUT_OF_TIME, 0.0)

    # The decider.

    def feed(self, event: Event) -> None:
        """Give the decider one event and carry out what it says."""
        self._queue.feed(event)

    def _fail(self, number: int) -> None:
        exchange = self.open.get(number)
        if exchange is not None:
            self._give_up(exchange, FailureReason.MAY_HAVE_RUN, 0.0)

    def _perform(self, action: Action) -> None:
        if isinstance(action, StartTimer):
            self._loop.call_at(action.at, self.feed, TimerFired(action.tag))
            return
        exchange = self.open.get(action.number)
        if isinstance(action, SendAttempt):
            self._attempts.send(exchange, action)
        elif exchange is None:
            return
        elif isinstance(action, CancelAttempt):
            answer = exchange.attempts.get(action.attempt)
            if answer is not None:
                answer.cancel()
        elif isinstance(action, AcquireSharedBudget):
            self._budget.ask(action.service, partial(self._budget_decided, action.number))
        elif isinstance(action, FinalResponse):
            self._give_up(exchange, action.reason, action.retry_after_s)

    def _budget_decided(self, number: int, allowed: bool) -> None:
        self.feed(BudgetDecided(number, allowed))

    # What the attempts ask and tell.

    def wanted(self, exchange: Exchange) -> bool:
        """Asked right before each write to a host: does someone wait, and does the key still
        count.
        """
        if exchange.closed:
            return False
        if exchange.client.gone():
            self.depart(exchange)
            return False
        if exchange.tenant is not None and not self._key_counts(exchange):
            exchange.distrusted = True
            return False
        return True

    def _key_counts(self, exchange: Exchange) -> bool:
        held = self.table is not None and self.table.tenant(exchange.request.key) is not None
        return held and self._authority.may_use_keys()

    def settle(self, exchange: Exchange) -> None:
        """Behind the end of an attempt: end the request if that leaves it no way to go on."""
        if exchange.closed:
            self._close(exchange)
        elif exchange.begun and exchange.stopped and not exchange.broken:
            self._give_up(exchange, FailureReason.MAY_HAVE_RUN, 0.0)
        elif exchange.exhausted and not exchange.attempts:
            log.error("request_sent_without_end number=%d", exchange.number)
            self._give_up(exchange, FailureReason.OUT_OF_TIME, 0.0)
        elif exchange.distrusted and not exchange.attempts:
            self._give_up(exchange, FailureReason.NOT_RUN, NOT_CONFIRMED_RETRY_S)

    # The end of a request.

    def _give_up(self, exchange: Exchange, reason: FailureReason, retry_after_s: float) -> None:
        """The final answer of ours. What it promises is true, whatever the reason given."""
        if exchange.closed:
            return
        if exchange.begun:
            exchange.client.cut()
            self.counts["cut"] += 1
            self._close(exchange)
        elif not exchange.may_run:
            self._answer_own(exchange, 503, retry_after_s)
        elif exchange.held is not None:
            exchange.client.whole(*exchange.held)
            self.counts["relayed"] += 1
            self._close(exchange)
        else:
            self._answer_own(exchange, 504 if reason is FailureReason.OUT_OF_TIME else 502)

    def _answer_own(
        self, exchange: Exchange, status: int, retry_after_s: float | None = None
    ) -> None:
        self.counts[f"refused_{status}"] += 1
        exchange.client.own(status, retry_after_s)
        self._close(exchange)

    def _give_back(self, exchange: Exchange) -> None:
        """What was counted for a request that has not run, and now never will, is free again."""
        if exchange.counted and exchange.tenant is not None and not exchange.may_run:
            exchange.counted = False
            self._quotas.give_back(exchange.tenant, amount_of(exchange.request, exchange.tenant))

    def _close(self, exchange: Exchange) -> None:
        """It has its final answer, or nobody waits for one. The decider is told, and what is out
        ends.
        """
        exchange.closed = True
        if self.open.pop(exchange.number, None) is None:
            return
        self.body_bytes -= len(exchange.request.body)
        if exchange.guard is not None:
            exchange.guard.cancel()
            exchange.guard = None
        self._give_back(exchange)
        if exchange.facts is not None:
            self._queue.add(RequestClosed(exchange.number))
        for answer in list(exchange.attempts.values()):
            answer.cancel()
        exchange.owner = None  # nothing is left that refers in circles: no work for the collector
        self._queue.run()
