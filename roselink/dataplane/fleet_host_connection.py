"""Connection to a host of the fleet that passes on a response as it is received.

Unlike `HostConnection`, it streams bodies, sets no time-out between the parts of a response, and
recognises responses to other requests by their id.

I1. No connection carries two attempts of one request within `CARRIED_REQUESTS`.

  Reason: a host may send a second copy of its response when the next one is due, and only the id
  tells them apart. It names the request and not the attempt, so a late copy of a rejection would be
  taken for the response to the next attempt, which the host runs.

I2. Only a response with the id of the request says anything about it, a rejection included. After
    one without an id the connection is closed, and the request may have run.

  Reason: each request of this gateway has an id, and a host sends it back with each response to the
  request. Bytes that look like a response without one are surplus of an earlier exchange, or belong
  to no request: the response to the request of now is still due behind them, and it can't be told
  whether the host has begun to work. A host that rejects a request for the lack of an id has not
  read one of this gateway's.
"""

from __future__ import annotations

import socket
from collections import deque
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

# A machine that leaves sent bytes unacknowledged for this long counts as lost.
TCP_USER_TIMEOUT_MS = 2500
# TCP keep-alive probes detect the loss of a machine while no bytes are in flight.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Surplus responses, which belong to other requests, that may precede the expected one.
SURPLUS_LIMIT = 2
# Requests of which a connection remembers that it carried them.
CARRIED_REQUESTS = 16
# Idle limit for hosts that state none; such hosts close idle connections within one second.
DEFAULT_IDLE_S = 0.4
# Digits of the idle time in a `Keep-Alive` header, in seconds.
IDLE_DIGITS_LIMIT = 7
# A request longer than this may have reached the host in part even though its write failed.
PROVABLY_UNSENT_LIMIT_BYTES = 64 * 1024
# Statuses by which clients conclude that their request has not run.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Statuses that, with `X-Not-Executed`, confirm that the host has not run the request.
REJECTION_STATUSES = frozenset((400, 421, 429, 503))


class ResponseReceiver(Protocol):
    """Receiver of one attempt's response."""

    def head(self, status: int, headers: Headers) -> None:
        """Receive the head of the response."""
        ...

    def body(self, data: bytes) -> None:
        """Receive bytes of the body."""
        ...

    def done(self, outcome: Outcome) -> None:
        """Receive the end of the attempt; called once, as the last call."""
        ...


class FleetAttempt(Attempt):
    """One attempt of a request at a host of the fleet.

    Attributes:
        sent: bytes of the request may have reached the host.
        non_repeatable: the request must not run twice.
        ended_by_close: the response had no length; the end of the connection delimited it.
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
        """Start the time-out; `has_no_body`: the response has no body because of the method."""
        super().__init__(
            loop, host, timeout_s, lambda outcome, _: receiver.done(outcome), still_wanted
        )
        self.non_repeatable = non_repeatable
        self.request_id = request_id
        self.has_no_body = has_no_body
        self.receiver = receiver
        self.sent = False
        self.ended_by_close = False

    def end(self, outcome: Outcome) -> None:
        """End the attempt with an outcome determined by the gateway."""
        self._end(outcome)

    def pause(self) -> None:
        """Pause reading from the host because the client reads too slowly."""
        if isinstance(self.connection, FleetHostConnection):
            self.connection.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if isinstance(self.connection, FleetHostConnection):
            self.connection.resume_reading()


class FleetHostConnection(HostConnection):
    """Connection to a host that streams responses to the attempt's receiver."""

    def __init__(self, pool: HostPool, host: PooledHost) -> None:
        """Start without a transport, for one host."""
        self._raw_headers: Headers = []
        self._body_pieces: list[bytes] = []
        # `_bytes_since_progress`: received since the parser last reported a part of a response.
        self._bytes_since_progress = self._surplus_count = self._sent_bytes = 0
        self._in_surplus = self._head_is_new = self._reading_paused = False
        self._idle_limit_s = DEFAULT_IDLE_S
        self._carried: deque[bytes] = deque(maxlen=CARRIED_REQUESTS)
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
            with suppress(OSError):  # unsupported by the system: deadlines still apply
                sock.setsockopt(level, option, value)

    def send(self, attempt: Attempt, request: bytes) -> None:
        """Write a request for an attempt."""
        assert isinstance(attempt, FleetAttempt)
        attempt.sent = True
        self._carried.append(attempt.request_id)
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
        """Pause reading."""
        if not self._reading_paused and not self.closing() and self.transport is not None:
            self._reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        if self._reading_paused:
            self._reading_paused = False
            if not self.closing() and self.transport is not None:
                self.transport.resume_reading()

    def has_carried(self, request_id: bytes) -> bool:
        """Whether it has carried an attempt of this request (I1)."""
        return request_id in self._carried

    def stale(self) -> bool:
        """Whether it has been idle so long that the host may have closed it."""
        return self.pool.now() - self.idle_since > self._idle_limit_s

    def data_received(self, data: bytes) -> None:
        """Process received bytes (asyncio)."""
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
            return  # ended by the receiver
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
        """Let the transport close after the peer's end of stream (asyncio)."""
        if not self._in_surplus and isinstance(self.attempt, FleetAttempt):
            self.attempt.ended_by_close = True
            super().eof_received()
        return False

    def _fail_unreadable(self) -> None:
        """Fail the attempt: no valid response to its request, which may have run."""
        if self.attempt is not None:
            self.attempt.finish(Outcome.RESET)
        self.drop()

    def _outcome(self) -> Outcome:
        return outcome_of(self._status, self._headers)

    # Parser callbacks.

    def _start_message(self) -> None:
        super()._start_message()
        self._raw_headers = []
        self._body_pieces = []
        self._in_surplus = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header or trailer (parser)."""
        if self._is_complete or not self._in_head:
            return
        super().on_header(name, value)
        self._raw_headers.append((name, value.strip()))
        self._bytes_since_progress = 0

    def on_headers_complete(self) -> None:
        """Process the end of the head (parser)."""
        if self._is_complete or self._parser is None:
            return
        self._status = self._parser.get_status_code()
        self._in_head = False
        self._bytes_since_progress = 0
        attempt = self.attempt
        if is_interim(self._status) or not isinstance(attempt, FleetAttempt):
            return
        response_id = self._headers.get(b"x-request-id")
        if response_id != attempt.request_id:  # a surplus response (I2)
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
        """Process bytes of the body (parser)."""
        self._bytes_since_progress = 0
        if not (self._is_complete or self._in_surplus):
            self._body_pieces.append(body)

    def on_message_complete(self) -> None:
        """Process the end of the message (parser)."""
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
    """Outcome of an attempt with a complete response; a success without a signature is an error."""
    if is_success(status):
        return Outcome.SUCCESS if b"x-response-signature" in headers else Outcome.ERROR
    if status == MISDIRECTED_REQUEST or (
        status in REJECTION_STATUSES and b"x-not-executed" in headers
    ):
        return Outcome.FULL
    return Outcome.ERROR


def _parse_idle_limit_s(keep_alive: bytes) -> float:
    """Idle limit of a connection, short enough that the gateway closes it before the host does."""
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
