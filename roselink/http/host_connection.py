"""Connections to a host, each with one attempt at a time and its exact `Outcome`.

An HTTP client library would retry by itself on a broken keep-alive connection and hide whether the
last byte was written. Either would break the rule on duplicated effects, so this package implements
the HTTP client itself.

Hosts are not trusted to follow HTTP: a response that is too long, incomplete or malformed is a
failed attempt that may have run, and surplus bytes never reach another request.
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

# Largest body and head of a response, in bytes.
BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024
# Largest response in bytes, framing included: a chunk extension is passed to no parser callback.
RESPONSE_LIMIT = HEAD_LIMIT + 4 * BODY_LIMIT
# Largest number of interim responses (1xx) before the final one; none or one is usual.
INTERIM_LIMIT = 8


class HostResponse(NamedTuple):
    """A host's complete response of status 200."""

    body: bytes
    content_type: bytes | None


class PooledHost:
    """One host of the host list, and this gateway's connections to it."""

    def __init__(self, name: str, address: Address) -> None:
        """Start ready, without connections."""
        self.name = name
        self.address = address
        self.ready = True
        self.started_us: int | None = None
        self.last_byte_at = 0.0  # loop time of the last byte received
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
    """One sending of a request to one host."""

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
            timeout_s: time-out of the attempt, in seconds.
            done: called exactly once with the outcome, never from within `HostPool.start`.
            still_wanted: called when a new connection is up; returns whether the request may still
                be sent.
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
        """Cancel the attempt. Closing its connection lets the host notice."""
        self._end(Outcome.CANCELLED)

    def _end(self, outcome: Outcome) -> None:
        """End the attempt by a time-out, a cancellation or a withdrawal.

        The connection is closed, since data that arrives later would belong to no attempt.
        """
        connection = self.connection
        task = self.task
        connecting = self in self.host.connecting
        if connecting:  # nothing was sent, whatever the reason
            outcome = Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT else Outcome.MOOT
        self.finish(outcome)
        if connection is not None:
            connection.drop()
            if self.host.last_byte_at < self.started_at:
                # The host sent nothing during the attempt and may be unreachable. Then each idle
                # connection to it would hang until another time-out, while a new one fails within
                # the connect time-out.
                self.host.drop_idle()
        elif task is not None:
            task.cancel()

    def withdraw(self) -> None:
        """End the attempt unsent: its host is out of service, or no connection may be opened."""
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
        self.holds_descriptor = True  # from the start of the connect
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
        # `_has_excess`: bytes were received that are no part of a valid response.
        self._in_message = self._is_complete = self._has_excess = self._keep_alive = False
        self._status = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of a new connection (asyncio)."""
        self.transport = cast("asyncio.Transport", transport)  # uvloop's are no subclass of it
        # With the high-water mark at 0, `pause_writing` means that bytes are left in this process
        # and `resume_writing` that the kernel has the last byte. This distinguishes a failed
        # connection from a reset.
        self.transport.set_write_buffer_limits(high=0)
        self._poller = SocketPoller(transport)

    def pause_writing(self) -> None:
        """Record that bytes are left in this process (asyncio)."""
        self._has_unsent = True

    def resume_writing(self) -> None:
        """Record that the kernel has the last byte (asyncio)."""
        self._has_unsent = False

    def send(self, attempt: Attempt, request: bytes) -> None:
        """Write a request for an attempt."""
        assert self.transport is not None
        self._start_exchange()
        self.attempt = attempt
        attempt.connection = self
        self.transport.write(request)

    def drop(self) -> None:
        """Close the connection at once, discarding unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self.transport is None or self.transport.is_closing()

    def stale(self) -> bool:
        """Whether it has been idle for so long that its host may close it."""
        return False  # `HostPool.sweep` closes those

    def has_unread(self) -> bool:
        """Whether the socket has unread bytes or an end of stream.

        These are a close, or surplus bytes that would be parsed as part of the next response.
        """
        return self._poller is not None and self._poller.has_unread()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection has ended (asyncio)."""
        self.pool.forget(self)
        self._cancel_overdue_timer()
        self._parser = None  # breaks a reference cycle, which only the garbage collector would free
        if self.attempt is not None:
            self.attempt.finish(Outcome.CONNECT_FAILED if self._has_unsent else Outcome.RESET)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes (asyncio)."""
        attempt = self.attempt
        if attempt is None or self._parser is None:
            # The bytes belong to no request and could not be distinguished from the next response.
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
        """Complete a response without a length, which the host ends by closing (asyncio).

        A reset does not complete it. A reset normally calls `connection_lost` only, but the loop
        may report one as an end of stream, so the socket is checked.
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
        """Fail an incomplete response, unless its rest is unread because the loop is late."""
        if self.has_unread():
            self._overdue_timer = self.pool.call_after_connect_timeout(self._response_overdue)
        else:
            self._fail_unreadable()

    def _fail_unreadable(self) -> None:
        """End an attempt whose response is malformed or incomplete.

        The request may have run, and later data on this connection cannot be trusted. Hosts write a
        response at once, so a missing rest is not expected to arrive.
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
        """A header or a trailer was parsed (parser)."""
        if self._is_complete or not self._in_head:
            return  # surplus after the response, or a trailer
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
            )  # the head gives the length, so the body is not waited for

    def on_body(self, body: bytes) -> None:
        """A piece of the body was parsed (parser)."""
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
        if is_interim(self._status):  # the final response follows
            self._in_head = True
            self._interim_count = self._interim_count + 1
            if self._interim_count > INTERIM_LIMIT:
                raise TooManyInterimResponsesError(INTERIM_LIMIT)
            return
        self._is_complete = True
        self._keep_alive = self._parser.should_keep_alive()
