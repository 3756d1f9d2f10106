"""Drives the decider: events in, actions out, alarms, one clock. Owns the open requests.

Nothing about hosts, retries or refusals is decided here. What the engine adds is what real sockets
need: a response in time even if the decider brings none, and a fault in one request that stays that
request's own.
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

# Before the client's deadline by this much the attempts are timed out and the decider gives its
# final answer: time for the way to the client, for a loop that runs late and for a core that
# another gateway is using.
ATTEMPT_MARGIN_S = 0.040
# Before the client's deadline by this much the engine responds by itself, if the decider has not.
FALLBACK_MARGIN_S = 0.015
# Fraction of a short time-out of a client: the attempt margin is at most so long, and the fallback
# margin shrinks with it.
MARGIN_FRACTION = 0.25

STATUS_SERVED = 200
STATUS_FAILED = 502
STATUS_REFUSED = 503
STATUS_TIMED_OUT = 504


class Reply(NamedTuple):
    """The one response to a client: a status, and where a host has served it, the host's."""

    status: int
    response: HostResponse | None = None
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request that has passed all checks of its form.

    Attributes:
        id: Its `Request-Id`.
        route: Index of its class in the settings.
        tenant: Index of its tenant in the settings, -1 for one that they do not name.
        key: The last segment of its path, if it has one.
        expires: Loop time at which the client stops waiting.
        repeat: Whether the client marks it as a retry.
        work_us: The work that the client expects it to bring.
        head: Request line and headers as they go on, less the deadline's and the empty line.
        body: Its body as it goes on.
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
    """Kept from the arrival until the final answer and the outcome of every attempt."""

    def __init__(
        self,
        number: int,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client_gone: Callable[[], bool],
        attempt_deadline: float,
    ) -> None:
        """An open request; `number` is the decider's name of it."""
        self.number = number
        self.request = request
        # Whether its client has left, which the loop may not have reported yet.
        self.client_gone = client_gone
        # Loop time at which its attempts end.
        self.attempt_deadline = attempt_deadline
        # None once it has its response.
        self.reply: Callable[[Reply], None] | None = reply
        # None: not sent at all, or ended.
        self.attempts: list[Attempt | None] = []
        self.in_flight = 0
        self.fallback_timer: asyncio.TimerHandle | None = None


class Engine:
    """One decider, one clock.

    The clock, `now_us`, is Unix time that never goes back: starts of hosts are given in Unix time,
    also those before this process began, and can be compared with it.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, balancer: Balancer, upstream: HostPool
    ) -> None:
        """An engine with no host and no request."""
        self._loop = loop
        self._balancer = balancer
        self._upstream = upstream
        self._epoch_us = time.time_ns() // 1000 - int(loop.time() * 1e6)
        self._request_numbers = itertools.count(1)
        self._open: dict[int, OpenRequest] = {}
        # Ids of the requests that have no response yet.
        self._unanswered_ids: set[str] = set()
        self._events: deque[Event] = deque()
        self._handling_events = False
        self.hosts: dict[int, PooledHost] = {}

    def now_us(self) -> int:
        """The time in microseconds on the engine's clock."""
        return self._epoch_us + int(self._loop.time() * 1e6)

    def is_open(self, request_id: str) -> bool:
        """Whether a request of this id has no response yet."""
        return request_id in self._unanswered_ids

    @property
    def ready(self) -> bool:
        """Whether there is a host to send to."""
        return bool(self.hosts)

    # From the client side.

    def accept(
        self,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client_gone: Callable[[], bool],
    ) -> OpenRequest:
        """Takes a request.

        Args:
            request: The checked request.
            reply: Is called once, before the client's deadline, unless the client leaves.
            client_gone: Whether the client has left, read from its socket.
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
        """Ends a request whose client has left."""
        if opened.reply is not None:
            self._end_response(opened)
            self.feed(Departed(opened.number))
            self._release(opened)

    def _may_write(self, opened: OpenRequest, before_us: int) -> bool:
        """Whether an attempt may be written to its host; called right before each write.

        A client's end comes with the loop's next turn, or not at all while its connection is not
        read, and must not be overtaken by a retry, a hedge or a connect. Nor may a connect that
        takes long carry an attempt past `before_us`, the time limit that the decider gave it.
        """
        if opened.reply is not None and opened.client_gone():
            self.depart(opened)
        return opened.reply is not None and not 0 < before_us <= self.now_us()

    def _respond_at_deadline(self, opened: OpenRequest) -> None:
        """Rule 1's last resort: a failure promises nothing and so is always allowed."""
        if opened.reply is not None:
            log.error("request %s: no decision by its deadline", opened.request.id)
            self._respond(opened, Reply(STATUS_TIMED_OUT))
            self.feed(Departed(opened.number))
            self._release(opened)

    # From the list of hosts.

    def update(
        self, servers: ServerList, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Takes over a list of hosts.

        It takes effect on the sockets first: what it ends must not get a byte more. The decider
        gets the list before the outcomes of what it ended, or it would send again by the list
        before.

        Args:
            servers: The list, as the decider gets it.
            names: Name of each listed host by its number.
            addresses: Address of each listed host that is not gone, by its number.
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
                self._upstream.retire(host)
        for number, server in present.items():
            current = self.hosts.get(number) or PooledHost(names[number], addresses[number])
            self.hosts[number] = current
            if current.started_us != server.started_us:
                current.started_us = server.started_us
                # Idle connections lead to the process before, and may hang for ever.
                current.drop_idle()
            if server.state is State.DRAINING:
                self._upstream.retire(current)
            else:
                current.ready = True

    # The decider.

    def feed(self, event: Event) -> None:
        """Gives the decider one event and carries out what it decides.

        Events that an action brings about at once follow after it, in order, never from inside the
        decider.
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
            # One request's fault must not end the gateway. What was decided before it still counts.
            log.exception("the module failed on %s", type(event).__name__)
            actions = self._balancer.actions
            if isinstance(event, Arrived | AttemptDone | StreamStarted):
                self._fail(event.request)
                # Or the decider would keep it for ever.
                self._events.append(Departed(event.request))
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
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
        # `Watch` requests what the gateway always does; the decider never requests a `Probe`.

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
            attempt = self._upstream.start(
                host,
                request,
                timeout_s,
                partial(self._attempt_done, opened, number, started),
                partial(self._may_write, opened, action.before_us),
            )
        except Exception:
            # A fault of ours that may have come after the first byte: the decider must not take it
            # for unsent.
            log.exception("request %s could not be sent", opened.request.id)
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
        # The loop's clock counts milliseconds, so a quick response may show no time at all.
        elapsed_us = max(1, int((self._loop.time() - started) * 1e6))
        self.feed(AttemptDone(opened.number, number, outcome, elapsed_us, opened.reply is None))
        self._release(opened)

    # The end of a request.

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
        """Drops a request that has its response and the outcome of every attempt."""
        if opened.reply is None and not opened.in_flight:
            self._open.pop(opened.number, None)
