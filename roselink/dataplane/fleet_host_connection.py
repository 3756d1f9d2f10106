"""One connection to a host of the fleet: it passes a response on as it comes.

What parts it from `HostConnection`: bodies go on piece by piece, silence is no failure, and a
surplus response is recognised by its id.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

import httptools

from roselink.dataplane.exceptions import UnrequestedResponseError
from roselink.http.exceptions import TooManyInterimResponsesError
from roselink.http.host_connection import (
    HEAD_LIMIT,
    INTERIM_LIMIT,
    Attempt,
    HostConnection,
    PooledHost,
    StillWanted,
)
from roselink.http.status_codes import MISDIRECTED_REQUEST, is_interim, is_success
from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    import asyncio

    from roselink.dataplane.proxy_request import Headers
    from roselink.http.host_pool import HostPool

# Unacknowledged bytes for so long: the machine is gone.
TCP_USER_TIMEOUT_MS = 2500
# TCP keep-alive probes find the same where nothing is on its way.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Responses to other requests that may lie ahead of the one that counts.
SURPLUS_LIMIT = 2
# Hosts that state no idle time have one below a second.
DEFAULT_IDLE_S = 0.4
# Digits of the idle time in a `Keep-Alive` header, in seconds.
IDLE_DIGITS_LIMIT = 7
# A longer request may have reached the host in part when its write fails.
PROVABLY_UNSENT_LIMIT_BYTES = 64 * 1024
# Statuses that promise that a request has not run.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# With `X-Not-Executed` the host has kept that promise.
REJECTION_STATUSES = frozenset((400, 421, 429, 503))


class ResponseReceiver(Protocol):
    """Who takes one attempt's response. `done` comes last and once."""

    def head(self, status: int, headers: Headers) -> None:
        """The head of the response has come."""
        ...

    def body(self, data: bytes) -> None:
        """A piece of the body has come."""
        ...

    def done(self, outcome: Outcome) -> None:
        """The attempt is over; comes last and once."""
        ...


class FleetAttempt(Attempt):
    """One attempt.

    Attributes:
        sent: bytes of it may have reached the host.
        non_repeatable: its request must not run twice.
        ended_by_close: its response stated no length, the connection's end was its end.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: PooledHost,
        request_id: bytes,
        has_no_body: bool,
        timeout_s: float,
        receiver: ResponseReceiver,
        still_wanted: StillWanted,
        non_repeatable: bool = False,
    ) -> None:
        """Start the time-out; `has_no_body` if the response to its method has none."""
        super().__init__(
            loop, host, timeout_s, lambda outcome, _: receiver.done(outcome), still_wanted
        )
        self.non_repeatable = non_repeatable
        self.request_id = request_id
        self.has_no_body = has_no_body
        self.receiver = receiver
        self.sent = False
        self.ended_by_close = False  # its response stated no length: it ended with the connection

    def end(self, outcome: Outcome) -> None:
        """Give it up from this side."""
        self._end(outcome)

    def pause(self) -> None:
        """Read nothing more for now: the client does not take it."""
        if isinstance(self.connection, FleetHostConnection):
            self.connection.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if isinstance(self.connection, FleetHostConnection):
            self.connection.resume_reading()


class FleetHostConnection(HostConnection):
    """One connection to a host; bodies go on to the attempt's receiver."""

    def __init__(self, pool: HostPool, host: PooledHost) -> None:
        """Start without a transport, for one host."""
        self._raw_headers: Headers = []
        self._body_pieces: list[bytes] = []
        self._bytes_since_progress = self._surplus_count = self._sent_bytes = 0
        self._in_surplus = self._head_is_new = self._reading_paused = False
        self._idle_limit_s = DEFAULT_IDLE_S
        super().__init__(pool, host)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of a new connection (asyncio)."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        ):
            with suppress(OSError):  # what a machine does not know: deadlines still hold
                sock.setsockopt(level, option, value)

    def send(self, attempt: Attempt, request: bytes) -> None:
        """Write a request for an attempt."""
        assert isinstance(attempt, FleetAttempt)
        attempt.sent = True
        self._surplus_count = 0
        self._bytes_since_progress = 0
        self._head_is_new = False
        self._sent_bytes = len(request)
        super().send(attempt, request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection has ended (asyncio)."""
        if self._sent_bytes > PROVABLY_UNSENT_LIMIT_BYTES:
            self._has_unsent = False
        super().connection_lost(exc)

    def pause_reading(self) -> None:
        """Read nothing more for now."""
        if not self._reading_paused and not self.closing() and self.transport is not None:
            self._reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if self._reading_paused:
            self._reading_paused = False
            if not self.closing() and self.transport is not None:
                self.transport.resume_reading()

    def stale(self) -> bool:
        """Whether it has been idle for longer than its host may keep it."""
        return self.pool.now() - self.idle_since > self._idle_limit_s

    def data_received(self, data: bytes) -> None:
        """Take bytes that have come (asyncio)."""
        attempt = self.attempt
        if not isinstance(attempt, FleetAttempt) or self._parser is None:
            self.drop()  # bytes that belong to no request
            return
        self.host.last_byte_at = self.pool.now()
        self._bytes_since_progress += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._has_excess = True
        self._deliver(attempt)
        if self.attempt is not attempt:
            return  # given up by what took the bytes
        if self._is_complete:
            self.resume_reading()
            self._response_complete(attempt)
        elif self._has_excess or self._bytes_since_progress > HEAD_LIMIT:
            self._fail_unreadable()

    def _deliver(self, attempt: FleetAttempt) -> None:
        if self._head_is_new:
            self._head_is_new = False
            attempt.receiver.head(self._status, self._raw_headers)
        if self._body_pieces and self.attempt is attempt:
            data = b"".join(self._body_pieces)
            self._body_pieces = []
            attempt.receiver.body(data)

    def eof_received(self) -> bool:
        """Let the transport close: the peer has ended its sending (asyncio)."""
        if not self._in_surplus and isinstance(self.attempt, FleetAttempt):
            self.attempt.ended_by_close = True
            super().eof_received()
        return False

    def _fail_unreadable(self) -> None:
        """No response, or not the one to this request: it may have run."""
        if self.attempt is not None:
            self.attempt.finish(Outcome.RESET)
        self.drop()

    def _outcome(self) -> Outcome:
        return outcome_of(self._status, self._headers)

    # Callbacks of the parser.

    def _start_message(self) -> None:
        super()._start_message()
        self._raw_headers = []
        self._body_pieces = []
        self._in_surplus = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, or a trailer (parser)."""
        if self._is_complete or not self._in_head:
            return
        super().on_header(name, value)
        self._raw_headers.append((name, value.strip()))
        self._bytes_since_progress = 0

    def on_headers_complete(self) -> None:
        """The head is complete (parser)."""
        if self._is_complete or self._parser is None:
            return
        self._status = self._parser.get_status_code()
        self._in_head = False
        self._bytes_since_progress = 0
        attempt = self.attempt
        if is_interim(self._status) or not isinstance(attempt, FleetAttempt):
            return
        response_id = self._headers.get(b"x-request-id")
        # A surplus response has the id of its own request. What has none is a rejection, or belongs
        # to no request.
        rejected = not response_id and self._outcome() is Outcome.FULL
        if response_id != attempt.request_id and not rejected:
            self._surplus_count += 1
            if not response_id or self._surplus_count > SURPLUS_LIMIT:
                raise UnrequestedResponseError(response_id)
            self._in_surplus = True
            return
        self._idle_limit_s = _parse_idle_limit_s(self._headers.get(b"keep-alive", b""))
        self._head_is_new = True
        if attempt.has_no_body:
            self._is_complete = True
            self._keep_alive = False

    def on_body(self, body: bytes) -> None:
        """A piece of the body (parser)."""
        self._bytes_since_progress = 0
        if not (self._is_complete or self._in_surplus):
            self._body_pieces.append(body)

    def on_message_complete(self) -> None:
        """The message is complete (parser)."""
        if self._is_complete or self._parser is None:
            return
        self._in_message = False
        self._bytes_since_progress = 0
        if self._in_surplus:
            return
        if is_interim(self._status):
            self._in_head = True
            self._interim_count = self._interim_count + 1
            if self._interim_count > INTERIM_LIMIT:
                raise TooManyInterimResponsesError(INTERIM_LIMIT)
            return
        self._is_complete = True
        self._keep_alive = self._parser.should_keep_alive() and not self._surplus_count


def outcome_of(status: int, headers: dict[bytes, bytes]) -> Outcome:
    """What a complete response says of its attempt. A success without the host's stamp is none."""
    if is_success(status):
        return Outcome.SUCCESS if b"x-response-signature" in headers else Outcome.ERROR
    if status == MISDIRECTED_REQUEST or (
        status in REJECTION_STATUSES and b"x-not-executed" in headers
    ):
        return Outcome.FULL
    return Outcome.ERROR


def _parse_idle_limit_s(keep_alive: bytes) -> float:
    """How long a connection may rest here so that the host is never the first to end it."""
    for parameter in keep_alive.split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if (
            name.strip().lower() == b"timeout"
            and value.strip().isdigit()
            and len(value) <= IDLE_DIGITS_LIMIT
        ):
            stated_s = int(value)
            return max(0.1, min(stated_s - 0.5, 0.75 * stated_s))
    return DEFAULT_IDLE_S
