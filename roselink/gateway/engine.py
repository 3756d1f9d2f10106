"""Feeds events to the balancer, carries out its actions and owns the open requests.

The balancer decides on hosts, retries and refusals. The engine adds what real sockets need: a
response by the deadline even if the balancer decides nothing, and isolation of an error to the
request that caused it.
"""

from __future__ import annotations

import itertools
import logging
import time
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from roselink.balancer.interface import (
    Action,
    Alarm,
    Arrived,
    AttemptDone,
    Cancel,
    Departed,
    Event,
    Fail,
    ListKind,
    Log,
    Refuse,
    Send,
    ServerList,
    SetAlarm,
    State,
    StreamStarted,
)
from roselink.http.host_connection import Attempt, HostResponse, PooledHost
from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.balancer.decider import Balancer
    from roselink.http.address import Address
    from roselink.http.host_pool import HostPool

log = logging.getLogger("roselink.gateway.engine")

# How long before the client's deadline attempts time out and the balancer decides the response.
# Covers sending to the client, event loop delays and a core that another gateway is using. A larger
# value fails requests that would be served; a smaller one makes responses miss the deadline.
ATTEMPT_MARGIN_S = 0.040
# How long before the client's deadline the engine responds by itself if the balancer has not.
FALLBACK_MARGIN_S = 0.015
# Limit of the attempt margin as a fraction of the client's time-out, so that a short time-out
# leaves time for an attempt. The fallback margin is scaled down with it.
MARGIN_FRACTION = 0.25

STATUS_SERVED = 200
STATUS_FAILED = 502
STATUS_REFUSED = 503
STATUS_TIMED_OUT = 504


class Reply(NamedTuple):
    """The response to a client: a status and, if a host has served the request, its response."""

    status: int
    response: HostResponse | None = None
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A validated request.

    Attributes:
        id: Its `Request-Id`.
        route: Index of its route in the settings.
        tenant: Index of its tenant in the settings, -1 for an unknown one.
        key: The last segment of its path, if it has one.
        expires: Loop time at which the client stops waiting.
        repeat: Whether the client marks it as a retry.
        work_us: The client's estimate of the processing time, if it gives one.
        head: Request line and headers to forward, without the deadline and the empty line.
        body: The body to forward.
    """

    id: str
    route: int
    tenant: int
    key: str | None
    expires: float
    repeat: bool
    work_us: int | None
    head: bytes
    body: bytes


class OpenRequest:
    """State of a request from its arrival until its response and the outcome of every attempt."""

    def __init__(
        self,
        number: int,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client_gone: Callable[[], bool],
        attempt_deadline: float,
    ) -> None:
        """Creates the state of a request; `number` is its id for the balancer."""
        self.number = number
        self.request = request
        # Polls the socket for a disconnect, which the loop may not have reported yet.
        self.client_gone = client_gone
        # Loop time at which the request's attempts time out.
        self.attempt_deadline = attempt_deadline
        # None once the request has its response.
        self.reply: Callable[[Reply], None] | None = reply
        # Attempts by number; None for one that was not sent or has ended.
        self.attempts: list[Attempt | None] = []
        self.in_flight = 0
        self.fallback_timer: asyncio.TimerHandle | None = None


class Engine:
    """Connects one balancer to the event loop and to the pool of hosts.

    The clock, `now_us`, is monotonic and based on Unix time, so that it can be compared with start
    times of hosts, also those before this process began.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, balancer: Balancer, pool: HostPool) -> None:
        """Creates an engine without hosts or requests."""
        self._loop = loop
        self._balancer = balancer
        self._pool = pool
        self._epoch_us = time.time_ns() // 1000 - int(loop.time() * 1e6)
        self._request_numbers = itertools.count(1)
        self._open: dict[int, OpenRequest] = {}
        # Ids of requests without a response.
        self._unanswered_ids: set[str] = set()
        self._events: deque[Event] = deque()
        self._handling_events = False
        self.hosts: dict[int, PooledHost] = {}

    def now_us(self) -> int:
        """The time in microseconds on the engine's clock."""
        return self._epoch_us + int(self._loop.time() * 1e6)

    def is_open(self, request_id: str) -> bool:
        """Whether a request with this id has no response yet."""
        return request_id in self._unanswered_ids

    @property
    def ready(self) -> bool:
        """Whether any host is listed."""
        return bool(self.hosts)

    # Calls from the client side.

    def accept(
        self,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client_gone: Callable[[], bool],
    ) -> OpenRequest:
        """Opens a request and reports it to the balancer.

        `reply` is called once, before the client's deadline, unless the client has disconnected;
        `client_gone` reads from the socket whether it has.
        """
        remaining_s = max(0.0, request.expires - self._loop.time())
        margin_scale = min(1.0, MARGIN_FRACTION * remaining_s / ATTEMPT_MARGIN_S)
        opened = OpenRequest(
            next(self._request_numbers),
            request,
            reply,
            client_gone,
            request.expires - ATTEMPT_MARGIN_S * margin_scale,
        )
        self._open[opened.number] = opened
        self._unanswered_ids.add(request.id)
        opened.fallback_timer = self._loop.call_at(
            request.expires - FALLBACK_MARGIN_S * margin_scale, self._respond_at_deadline, opened
        )
        give_up_us = self._epoch_us + int(opened.attempt_deadline * 1e6)
        self.feed(
            Arrived(
                opened.number,
                request.route,
                give_up_us,
                request.key,
                request.work_us,
                request.tenant,
                request.repeat,
            )
        )
        return opened

    def depart(self, opened: OpenRequest) -> None:
        """Ends a request whose client has disconnected."""
        if opened.reply is not None:
            self._end_response(opened)
            self.feed(Departed(opened.number))
            self._release(opened)

    def _may_write(self, opened: OpenRequest, before_us: int) -> bool:
        """Whether an attempt may be written to its host; called right before each write.

        The loop reports a disconnect in its next iteration, or not at all while reading is paused,
        so the socket is polled: a retry, a hedge or a new connection must not send a request whose
        client has left. After a slow connect, the balancer's limit `before_us` may have passed.
        """
        if opened.reply is not None and opened.client_gone():
            self.depart(opened)
        return opened.reply is not None and not 0 < before_us <= self.now_us()

    def _respond_at_deadline(self, opened: OpenRequest) -> None:
        """Fails a request without a decision at its deadline (rule 1 of `balancer.decider`).

        A failure is always permitted: it does not say whether the request ran.
        """
        if opened.reply is not None:
            log.error("request %s: no balancer decision by its deadline", opened.request.id)
            self._respond(opened, Reply(STATUS_TIMED_OUT))
            self.feed(Departed(opened.number))
            self._release(opened)

    # Host list updates.

    def update(
        self, servers: ServerList, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Applies a host list.

        The pool is updated first, so that hosts taken out of service get no new request. The
        balancer gets the list before the outcomes of attempts that the pool ends; otherwise it
        would retry on hosts of the old list. `names` and `addresses` have host numbers as keys;
        hosts that are gone need no address.
        """
        self._events.append(servers)
        self._handling_events = True
        try:
            self._update_hosts(servers, names, addresses)
        finally:
            self._handling_events = False
            self._run()

    def _update_hosts(
        self, servers: ServerList, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        full = servers.kind is not ListKind.CHANGES
        listed_ids = {s.id for s in servers.servers}
        present = {s.id: s for s in servers.servers if s.state is not State.GONE}
        for number, host in list(self.hosts.items()):
            current_server = present.get(number)
            gone = current_server is None and (full or number in listed_ids)
            moved = current_server is not None and addresses[number] != host.address
            if gone or moved:
                del self.hosts[number]
                self._pool.retire(host)
        for number, server in present.items():
            current = self.hosts.get(number) or PooledHost(names[number], addresses[number])
            self.hosts[number] = current
            if current.started_us != server.started_us:
                current.started_us = server.started_us
                # Idle connections belong to the host's previous process and may never respond.
                current.drop_idle()
            if server.state is State.DRAINING:
                self._pool.retire(current)
            else:
                current.ready = True

    # Events and actions of the balancer.

    def feed(self, event: Event) -> None:
        """Passes one event to the balancer and carries out its actions.

        Events raised during an action are queued, so the balancer is never called recursively.
        """
        self._events.append(event)
        if not self._handling_events:
            self._run()

    def _run(self) -> None:
        self._handling_events = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._handling_events = False

    def _step(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(self.now_us(), [event])
        except Exception:
            # An error in one request must not end the gateway. Actions decided before it are valid.
            log.exception("balancer failed on %s", type(event).__name__)
            actions = self._balancer.actions
            if isinstance(event, Arrived | AttemptDone | StreamStarted):
                self._fail(event.request)
                # Without this event the balancer would never release the request.
                self._events.append(Departed(event.request))
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                log.exception("action %s failed", type(action).__name__)
                if isinstance(action, Send | Refuse | Fail | Cancel):
                    self._fail(action.request)

    def _fail(self, number: int) -> None:
        opened = self._open.get(number)
        if opened is not None and opened.reply is not None:
            self._respond(opened, Reply(STATUS_FAILED))
            self._events.append(Departed(number))
            self._release(opened)

    def _perform(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, SetAlarm):
            self._loop.call_later(action.delay_us / 1e6, self.feed, Alarm(action.tag))
        elif isinstance(action, Cancel):
            opened = self._open.get(action.request)
            attempt = opened.attempts[action.attempt] if opened is not None else None
            if attempt is not None:
                attempt.cancel()
        elif isinstance(action, Refuse | Fail):
            opened = self._open.get(action.request)
            if opened is not None and opened.reply is not None:
                refused = isinstance(action, Refuse)
                retry_after_us = action.retry_after_us if isinstance(action, Refuse) else 0
                self._respond(
                    opened,
                    Reply(STATUS_REFUSED if refused else STATUS_FAILED, None, retry_after_us),
                )
                self._release(opened)
        elif isinstance(action, Log):
            log.info("%s", action.text)
        # `Watch` needs no action, since the gateway always watches; a `Probe` is never requested.

    def _send(self, action: Send) -> None:
        opened = self._open.get(action.request)
        if opened is None:
            return
        number = len(opened.attempts)
        started = self._loop.time()
        host = self.hosts.get(action.server)
        if host is None or not self._may_write(opened, action.before_us):
            opened.attempts.append(None)
            self._events.append(
                AttemptDone(action.request, number, Outcome.MOOT, 0, opened.reply is None)
            )
            return
        remaining_s = max(0.0, opened.attempt_deadline - started)
        timeout_s = min(remaining_s, action.timeout_us / 1e6) if action.timeout_us else remaining_s
        request = b"%bRequest-Timeout-Ms: %d\r\n\r\n%b" % (
            opened.request.head,
            max(1, int(timeout_s * 1000)),
            opened.request.body,
        )
        try:
            attempt = self._pool.start(
                host,
                request,
                timeout_s,
                partial(self._attempt_done, opened, number, started),
                partial(self._may_write, opened, action.before_us),
            )
        except Exception:
            # The error may come after the first byte, so the attempt must not count as unsent.
            log.exception("request %s: sending failed", opened.request.id)
            opened.attempts.append(None)
            self._events.append(AttemptDone(action.request, number, Outcome.RESET, 0))
            return
        opened.in_flight += 1
        opened.attempts.append(attempt)

    def _attempt_done(
        self,
        opened: OpenRequest,
        number: int,
        started: float,
        outcome: Outcome,
        response: HostResponse | None,
    ) -> None:
        opened.in_flight -= 1
        opened.attempts[number] = None
        if response is not None and opened.reply is not None:
            self._respond(opened, Reply(STATUS_SERVED, response))
        # The loop's clock has a resolution of 1 ms, so a fast response may show no elapsed time.
        elapsed_us = max(1, int((self._loop.time() - started) * 1e6))
        self.feed(AttemptDone(opened.number, number, outcome, elapsed_us, opened.reply is None))
        self._release(opened)

    # Response and release of a request.

    def _respond(self, opened: OpenRequest, reply: Reply) -> None:
        send = opened.reply
        self._end_response(opened)
        if send is not None:
            send(reply)

    def _end_response(self, opened: OpenRequest) -> None:
        opened.reply = None
        self._unanswered_ids.discard(opened.request.id)
        if opened.fallback_timer is not None:
            opened.fallback_timer.cancel()

    def _release(self, opened: OpenRequest) -> None:
        """Forgets a request that has its response and the outcome of every attempt."""
        if opened.reply is None and not opened.in_flight:
            self._open.pop(opened.number, None)
