"""One connection to a host of the fleet: it passes a response on as it comes.

What parts it from `HostConnection`: bodies go on piece by piece, silence is no failure, and a
surplus response is recognised by its id.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

import httptools

from roselink.http.host_connection import (
    HEAD_LIMIT,
    INTERIM_LIMIT,
    Attempt,
    Host,
    HostConnection,
    Wanted,
)
from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    import asyncio

    from roselink.dataplane.proxy_request import Headers
    from roselink.http.host_pool import HostPool

# Unacknowledged bytes for so long: the machine is gone.
USER_TIMEOUT_MS = 2500
# TCP keep-alive probes find the same where nothing is on its way.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
# Responses to other requests that may lie ahead of the one that counts.
SURPLUS_LIMIT = 2
# Hosts that state no idle time have one below a second.
DEFAULT_IDLE_S = 0.4
# A longer request may have reached the host in part when its write fails.
PROVEN_LIMIT = 64 * 1024
# Statuses that promise that a request has not run.
PROMISES = frozenset((408, 421, 429, 503))
# With `X-Not-Executed` the host has kept that promise.
NOT_RUN = frozenset((400, 421, 429, 503))


class ResponseReceiver(Protocol):
    """Who takes one attempt's answer. `done` comes last and once."""

    def head(self, status: int, headers: Headers) -> None: ...

    def body(self, data: bytes) -> None: ...

    def done(self, outcome: Outcome) -> None: ...


class FleetAttempt(Attempt):
    """One attempt. `sent`: bytes of it may have reached the host. `once`: it can't be repeated."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: Host,
        request_id: bytes,
        bodiless: bool,
        timeout_s: float,
        receiver: ResponseReceiver,
        wanted: Wanted,
        once: bool = False,
    ) -> None:
        super().__init__(loop, host, timeout_s, lambda outcome, _: receiver.done(outcome), wanted)
        self.once = once
        self.request_id, self.bodiless, self.receiver = request_id, bodiless, receiver
        self.sent = False
        self.by_close = False  # its answer told no length: the connection's end was its end

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

    def __init__(self, upstream: HostPool, host: Host) -> None:
        self._raw: Headers = []
        self._parts: list[bytes] = []
        self._silent = self._surplus = self._sent_bytes = 0
        self._skipping = self._headed = self._waits = False
        self._keep_s = DEFAULT_IDLE_S
        super().__init__(upstream, host)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        ):
            with suppress(OSError):  # what a machine does not know: deadlines still hold
                sock.setsockopt(level, option, value)

    def send(self, attempt: Attempt, request: bytes) -> None:
        assert isinstance(attempt, FleetAttempt)
        attempt.sent = True
        self._surplus, self._silent, self._headed, self._sent_bytes = 0, 0, False, len(request)
        super().send(attempt, request)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._sent_bytes > PROVEN_LIMIT:
            self._unsent = False
        super().connection_lost(exc)

    def pause_reading(self) -> None:
        if not self._waits and not self.closing() and self.transport is not None:
            self._waits = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self._waits:
            self._waits = False
            if not self.closing() and self.transport is not None:
                self.transport.resume_reading()

    def stale(self) -> bool:
        return self.upstream.now() - self.idle_since > self._keep_s

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if not isinstance(attempt, FleetAttempt) or self._parser is None:
            self.drop()  # bytes that no request asked for
            return
        self.host.heard = self.upstream.now()
        self._silent += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._excess = True
        self._deliver(attempt)
        if self.attempt is not attempt:
            return  # given up by what took the bytes
        if self._complete:
            self.resume_reading()
            self._answered(attempt)
        elif self._excess or self._silent > HEAD_LIMIT:
            self._spoilt()

    def _deliver(self, attempt: FleetAttempt) -> None:
        if self._headed:
            self._headed = False
            attempt.receiver.head(self._status, self._raw)
        if self._parts and self.attempt is attempt:
            data, self._parts = b"".join(self._parts), []
            attempt.receiver.body(data)

    def eof_received(self) -> bool:
        if not self._skipping and isinstance(self.attempt, FleetAttempt):
            self.attempt.by_close = True
            super().eof_received()
        return False

    def _spoilt(self) -> None:
        """No answer, or not the one to this request: it may have run."""
        if self.attempt is not None:
            self.attempt.finish(Outcome.RESET)
        self.drop()

    def _outcome(self) -> Outcome:
        return outcome_of(self._status, self._headers)

    # Callbacks of the parser.

    def _begin(self) -> None:
        super()._begin()
        self._raw, self._parts, self._skipping = [], [], False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete or not self._head:
            return
        super().on_header(name, value)
        self._raw.append((name, value.strip()))
        self._silent = 0

    def on_headers_complete(self) -> None:
        if self._complete or self._parser is None:
            return
        self._status, self._head, self._silent = self._parser.get_status_code(), False, 0
        attempt = self.attempt
        if 100 <= self._status < 200 or not isinstance(attempt, FleetAttempt):
            return
        answered = self._headers.get(b"x-request-id")
        # A surplus answer has the id of its own request. What has none is a rejection, or nobody's.
        rejected = not answered and self._outcome() is Outcome.FULL
        if answered != attempt.request_id and not rejected:
            self._surplus += 1
            if not answered or self._surplus > SURPLUS_LIMIT:
                raise ValueError("an answer to no request of ours")
            self._skipping = True
            return
        self._keep_s = _idle_s(self._headers.get(b"keep-alive", b""))
        self._headed = True
        if attempt.bodiless:
            self._complete, self._keep = True, False

    def on_body(self, body: bytes) -> None:
        self._silent = 0
        if not (self._complete or self._skipping):
            self._parts.append(body)

    def on_message_complete(self) -> None:
        if self._complete or self._parser is None:
            return
        self._partial, self._silent = False, 0
        if self._skipping:
            return
        if 100 <= self._status < 200:
            self._head, self._interim = True, self._interim + 1
            if self._interim > INTERIM_LIMIT:
                raise ValueError("interim answers without end")
            return
        self._complete = True
        self._keep = self._parser.should_keep_alive() and not self._surplus


def outcome_of(status: int, headers: dict[bytes, bytes]) -> Outcome:
    """What a whole answer says of its attempt. A success without the host's stamp is none."""
    if 200 <= status < 300:
        return Outcome.SUCCESS if b"x-response-signature" in headers else Outcome.ERROR
    if status == 421 or (status in NOT_RUN and b"x-not-executed" in headers):
        return Outcome.FULL
    return Outcome.ERROR


def _idle_s(keep_alive: bytes) -> float:
    """How long a connection may rest here so that the host is never the first to end it."""
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit() and len(value) < 8:
            told = int(value)
            return max(0.1, min(told - 0.5, 0.75 * told))
    return DEFAULT_IDLE_S
