"""One connection to a host, and one attempt at a time on it with its exact `Outcome`.

An HTTP client library would resend on a broken kept-alive connection by itself and hide whether the
last byte was written. Either would break the rule on duplicated effects, so this package speaks
HTTP itself.

Hosts are not trusted to keep to HTTP: a response that is too long, does not end or cannot be read
is a failed attempt that may have run, and what comes beside a response never reaches another
request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, cast

import httptools

from roselink.http.exceptions import ResponseTooLongError, TooManyInterimResponsesError
from roselink.http.socket_poller import SocketPoller
from roselink.http.status_codes import OK, is_interim
from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    from roselink.http.address import Address
    from roselink.http.host_pool import HostPool

BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024
# all bytes of a response: a chunk's extension reaches no callback
RESPONSE_LIMIT = HEAD_LIMIT + 4 * BODY_LIMIT
# 1xx responses ahead of the one that counts; none or one is usual.
INTERIM_LIMIT = 8


class HostResponse(NamedTuple):
    """A host's complete response of status 200."""

    body: bytes
    content_type: bytes | None


class PooledHost:
    """One host as the list has it, and this gateway's connections to it."""

    def __init__(self, name: str, address: Address) -> None:
        """Start ready, without connections."""
        self.name = name
        self.address = address
        self.ready = True
        self.started_us: int | None = None
        self.last_byte_at = 0.0  # loop time of its last byte
        self.idle: list[HostConnection] = []  # the most recently used last
        self.connecting: set[Attempt] = set()
        self.open_count = 0  # connections that hold a descriptor

    def drop_idle(self) -> None:
        """Close the idle connections to this host."""
        for connection in list(self.idle):
            connection.drop()


OnEnd = Callable[[Outcome, HostResponse | None], None]
StillWanted = Callable[[], bool]


class Attempt:
    """One copy of a request on its way to one host."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: PooledHost,
        timeout_s: float,
        done: OnEnd,
        still_wanted: StillWanted,
    ) -> None:
        """Start the time-out.

        Args:
            loop: the event loop.
            host: the host that gets the request.
            timeout_s: time until the attempt ends by itself, in seconds.
            done: called exactly once with the outcome, never from `HostPool.start`.
            still_wanted: called once a connection is up: whether someone waits for the response.
        """
        self.host = host
        self.started_at = loop.time()
        self.still_wanted = still_wanted
        self._done: OnEnd | None = done
        self._timer = loop.call_later(max(0.0, timeout_s), self._end, Outcome.TIMEOUT)
        self.connection: HostConnection | None = None
        self.task: asyncio.Task[bool] | None = None

    @property
    def is_over(self) -> bool:
        """Whether the outcome is known."""
        return self._done is None

    def cancel(self) -> None:
        """Stop waiting. The host reads the closed connection as giving up."""
        self._end(Outcome.CANCELLED)

    def _end(self, outcome: Outcome) -> None:
        """End the attempt from this side.

        Whatever still comes on its connection belongs to no attempt, so the connection is closed.
        """
        connection = self.connection
        task = self.task
        connecting = self in self.host.connecting
        if connecting:  # no byte went out, whatever the reason to stop
            outcome = Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT else Outcome.MOOT
        self.finish(outcome)
        if connection is not None:
            connection.drop()
            if self.host.last_byte_at < self.started_at:
                # Not a byte from it in all that time: it may have vanished, and then every
                # connection kept to it would hang as long again. A new one tells within the limit
                # for connects.
                self.host.drop_idle()
        elif task is not None:
            task.cancel()

    def withdraw(self) -> None:
        """The host has left service while the connection was coming up: nothing was sent."""
        self._end(Outcome.MOOT)

    def finish(self, outcome: Outcome, response: HostResponse | None = None) -> None:
        """Report the outcome, once."""
        done = self._done
        self._done = None
        if done is None:
            return
        self._timer.cancel()
        self.host.connecting.discard(self)
        if self.connection is not None:
            self.connection.attempt = None
            self.connection = None
        done(outcome, response)


class HostConnection(asyncio.Protocol):
    """One connection to a host: carries one attempt at a time, or is idle."""

    def __init__(self, pool: HostPool, host: PooledHost) -> None:
        """Start without a transport; its descriptor counts from now on."""
        self.pool = pool
        self.host = host
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.holds_descriptor = True  # holds a descriptor, from the connect on
        self._has_unsent = False
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._poller: SocketPoller | None = None
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._start_exchange()

    def _start_exchange(self) -> None:
        self._response_bytes = self._interim_count = 0
        self._start_message()

    def _start_message(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._section_bytes = 0
        self._body: list[bytes] = []
        self._in_head = True
        self._in_message = self._is_complete = self._has_excess = self._keep_alive = False
        self._status = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of a new connection (asyncio)."""
        self.transport = cast("asyncio.Transport", transport)  # uvloop's are no subclass of it
        # With the marks at 0 `pause_writing` stands for "bytes left in this process",
        # `resume_writing` for "the kernel has the last byte": what parts a failed connection from a
        # reset.
        self.transport.set_write_buffer_limits(high=0)
        self._poller = SocketPoller(transport)

    def pause_writing(self) -> None:
        """Note that bytes are left in this process (asyncio)."""
        self._has_unsent = True

    def resume_writing(self) -> None:
        """Note that the kernel has the last byte (asyncio)."""
        self._has_unsent = False

    def send(self, attempt: Attempt, request: bytes) -> None:
        """Write a request for an attempt."""
        assert self.transport is not None
        self._start_exchange()
        self.attempt = attempt
        attempt.connection = self
        self.transport.write(request)

    def drop(self) -> None:
        """Close at once, also with bytes unsent."""
        if self.transport is not None:
            self.transport.abort()

    def closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self.transport is None or self.transport.is_closing()

    def stale(self) -> bool:
        """Whether it has been idle for longer than its host may keep it."""
        return False  # `HostPool.sweep` ends those

    def has_unread(self) -> bool:
        """Whether bytes, or the end, have come that this process has not read yet.

        That is a close, or more than belonged to the last response, which would be taken for the
        next one's.
        """
        return self._poller is not None and self._poller.has_unread()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection has ended (asyncio)."""
        self.pool.forget(self)
        self._cancel_overdue_timer()
        self._parser = None  # it refers back to this: a cycle would wait for the collector
        if self.attempt is not None:
            self.attempt.finish(Outcome.CONNECT_FAILED if self._has_unsent else Outcome.RESET)

    def data_received(self, data: bytes) -> None:
        """Take bytes that have come (asyncio)."""
        attempt = self.attempt
        if attempt is None or self._parser is None:
            # bytes that belong to no request: the next response could not be told apart from them
            self.drop()
            return
        self.host.last_byte_at = self.pool.now()
        self._response_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._has_excess = True
        if self._is_complete:
            self._response_complete(attempt)
        elif self._has_excess or self._response_bytes > (
            HEAD_LIMIT if self._in_head else RESPONSE_LIMIT
        ):
            self._fail_unreadable()
        elif self._in_message and self._overdue_timer is None:
            self._overdue_timer = self.pool.call_after_connect_timeout(self._response_overdue)

    def eof_received(self) -> bool:
        """The host's end is that of a response that tells no length.

        A reset is no end: it comes with `connection_lost` alone, unless the loop has read only that
        the connection is gone.
        """
        has_length = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        ends_by_close = self._in_message and not (self._in_head or self._has_excess or has_length)
        if (
            self.attempt is not None
            and ends_by_close
            and self._poller is not None
            and not self._poller.was_reset()
        ):
            self._keep_alive = False
            self._response_complete(self.attempt)
        return False  # the transport closes

    def _response_complete(self, attempt: Attempt) -> None:
        self._cancel_overdue_timer()
        outcome = self._outcome()
        response = None
        if outcome is Outcome.SUCCESS:
            response = HostResponse(b"".join(self._body), self._headers.get(b"content-type"))
        self.attempt = attempt.connection = None
        if self._keep_alive and not self._has_excess and not self._has_unsent:
            self.pool.release(self)
        else:
            self.drop()
        attempt.finish(outcome, response)

    def _response_overdue(self) -> None:
        """The rest of a response is overdue, unless it waits for a loop that runs late."""
        if self.has_unread():
            self._overdue_timer = self.pool.call_after_connect_timeout(self._response_overdue)
        else:
            self._fail_unreadable()

    def _fail_unreadable(self) -> None:
        """End an attempt whose response cannot be read, or does not end.

        The request may have run, and nothing later on this connection can be trusted. Hosts write a
        response at once; a rest that does not follow never will.
        """
        self._cancel_overdue_timer()
        if self.attempt is not None:
            self.attempt.finish(Outcome.ERROR)
        self.drop()

    def _cancel_overdue_timer(self) -> None:
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
            self._overdue_timer = None

    def _outcome(self) -> Outcome:
        if self._status == OK:
            return Outcome.SUCCESS
        if self._status in (503, 504) and self._headers.get(b"not-started") == b"1":
            return Outcome.FULL
        return Outcome.ERROR

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """A message begins (parser)."""
        if self._is_complete:
            self._has_excess = True
        else:
            self._start_message()
            self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, or a trailer (parser)."""
        if self._is_complete or not self._in_head:
            return  # more than the response, or a trailer
        self._section_bytes += len(name) + len(value)
        if self._section_bytes > HEAD_LIMIT:
            raise ResponseTooLongError("head", HEAD_LIMIT)
        self._headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        """The head is complete (parser)."""
        if self._is_complete or self._parser is None:
            return
        self._status = self._parser.get_status_code()
        self._section_bytes = 0
        self._in_head = False
        if int(self._headers.get(b"content-length", b"0")) > BODY_LIMIT:
            raise ResponseTooLongError(
                "body", BODY_LIMIT
            )  # known from the head: not a byte of it is waited for

    def on_body(self, body: bytes) -> None:
        """A piece of the body (parser)."""
        if self._is_complete:
            return
        self._section_bytes += len(body)
        if self._section_bytes > BODY_LIMIT:
            raise ResponseTooLongError("body", BODY_LIMIT)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The message is complete (parser)."""
        if self._is_complete or self._parser is None:
            return
        self._in_message = False
        if is_interim(self._status):  # an interim response: the one that counts follows
            self._in_head = True
            self._interim_count = self._interim_count + 1
            if self._interim_count > INTERIM_LIMIT:
                raise TooManyInterimResponsesError(INTERIM_LIMIT)
            return
        self._is_complete = True
        self._keep_alive = self._parser.should_keep_alive()
