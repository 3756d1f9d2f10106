"""The client side: requests in, one answer each out, whole or in parts."""

from __future__ import annotations

import logging
import socket
import struct
from typing import TYPE_CHECKING

from roselink.dataplane.admission import NOT_CONFIRMED_RETRY_S
from roselink.dataplane.requests import Headers, ProxyRequest, read_request
from roselink.http.framing_checks import Bad
from roselink.http.limits import Sizes, Times
from roselink.http.reason_phrases import REASONS
from roselink.http.server import HttpServer
from roselink.http.server_connection import HttpConnection, Pending
from roselink.model.configuration import Limits

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.dataplane.engine import Engine
    from roselink.dataplane.exchange import Exchange
    from roselink.http.descriptors import Descriptors

log = logging.getLogger("roselink.dataplane")

BODY_S = 10.0  # for a body to come in whole, behind the head's own time
UNREAD_S = 10.0  # for a client to take what waits for it
IDLE_OVER_S = 1.0  # connections rest here for so much longer than clients are told
BODIES_LIMIT = 64 * 1024 * 1024  # bytes of the bodies of all open requests
BODILESS = (204, 304)


class DataConnection(HttpConnection):
    """One client connection: its requests go to the engine."""

    def __init__(self, server: DataServer) -> None:
        super().__init__(server)
        self._owner = server
        self._exchange: Exchange | None = None
        self._version = "1.1"
        self._head_only = self._chunked = self._kept = False
        self._unwritten = b""

    def _departed(self) -> None:
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            self._owner.engine.depart(exchange)

    def resume_writing(self) -> None:
        super().resume_writing()
        if self._exchange is not None:
            self._exchange.client_ready()

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        asked = any(
            n.lower() == b"expect" and v.lower() == b"100-continue" for n, v in self._headers
        )
        if asked and not (self._serving or self._backlog):
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _read(self, method: bytes, keep: bool) -> Pending:
        assert self._parser is not None
        request = read_request(
            method, self._url, self._headers, b"".join(self._body), self._read_at
        )
        request.version = self._parser.get_http_version()
        return Pending(request, 200, keep)

    def _serve(self, pending: Pending) -> None:
        self._serving, self._keep = True, pending.keep
        request = pending.request
        if not isinstance(request, ProxyRequest):
            log.info("request_invalid status=%d why=%s", pending.status, pending.why)
            self._head_only, self._version = False, "1.1"
            self.own(pending.status)
            return
        self._head_only, self._version = request.method == b"HEAD", request.version
        if self._owner.crowded():
            self.own(503, NOT_CONFIRMED_RETRY_S)
            return
        try:
            exchange = self._owner.engine.accept(request, self)
        except Exception:
            log.exception("request_failed")
            if self._serving:
                self.own(500)
            return
        if self._serving:  # not answered already
            self._exchange = exchange

    # The answer, as the engine gives it.

    def own(self, status: int, retry_after_s: float | None = None) -> None:
        """An answer of ours, without a body."""
        headers: Headers = []
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        if status == 401:
            headers.append((b"WWW-Authenticate", b"Bearer"))
        self.whole(status, headers, b"")

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """One whole answer."""
        bare = self._head_only or status in BODILESS
        head = self._head_of(status, headers, [] if bare else [b"Content-Length: %d" % len(body)])
        self._write(head if bare else head + body)
        self._end()

    def begin(self, status: int, headers: Headers, length: int | None) -> None:
        """The head of an answer in parts. Without a length told it goes in chunks."""
        self._chunked = length is None and self._version != "1.0"
        if length is not None:
            framing = [b"Content-Length: %d" % length]
        elif self._chunked:
            framing = [b"Transfer-Encoding: chunked"]
        else:
            framing, self._keep = [], False  # the end of the connection is that of the answer
        self._unwritten = self._head_of(status, headers, framing)  # goes out with the first part

    def part(self, data: bytes) -> None:
        """Bytes of the body, now."""
        head, self._unwritten = self._unwritten, b""
        self._write(head + (b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data))

    def end(self) -> None:
        """The body is whole."""
        head, self._unwritten = self._unwritten, b""
        self._write(head + (b"0\r\n\r\n" if self._chunked else b""))
        self._end()

    def cut(self) -> None:
        """End the connection so that the answer does not look complete."""
        self._exchange = None
        if self._transport is not None and not self._chunked:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.abort()

    def waits(self) -> bool:
        """Whether parts pile up, as the client does not take them."""
        return self._unread

    def _head_of(self, status: int, headers: Headers, framing: list[bytes]) -> bytes:
        self._kept = self._may_keep()
        lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b""))]
        lines += [b"%b: %b" % header for header in headers]
        lines += framing
        lines.append(b"Connection: keep-alive" if self._kept else b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _end(self) -> None:
        self._exchange = None
        self._finish(self._kept)


class DataServer(HttpServer):
    """All client connections of the data plane."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        descriptors: Descriptors,
        make_room: Callable[[], bool],
    ) -> None:
        self.engine = engine
        self._limits: tuple[Limits, ...] = (Limits(),)  # the latest last
        self._told = False  # whether they are a configuration's
        super().__init__(loop, descriptors, make_room, _sizes(0, 0))
        self._apply()

    def limit(self, limits: Limits) -> None:
        """Go by a configuration's limits from now on, and by those before where they allow more:
        clients that have not heard of the new ones, or sent before them, keep within the old.
        """
        if limits != self._limits[-1]:
            self._limits = (self._limits[-1], limits) if self._told else (limits,)
            self._apply()
        self._told = True

    def _apply(self) -> None:
        self.sizes = _sizes(
            max(limits.max_header_bytes for limits in self._limits),
            max(limits.max_body_bytes for limits in self._limits),
        )
        head_s = max(limits.header_timeout_ms for limits in self._limits) / 1000
        idle_s = max(limits.idle_timeout_ms for limits in self._limits) / 1000
        self._times = Times(head_s, head_s + BODY_S, UNREAD_S, (idle_s + IDLE_OVER_S,))

    def times(self) -> Times:
        return self._times

    def connection(self) -> HttpConnection:
        return DataConnection(self)

    def crowded(self) -> bool:
        return super().crowded() or self.engine.body_bytes > BODIES_LIMIT


def _sizes(head: int, body: int) -> Sizes:
    return Sizes(head, body, head + 4 * body)


class ReadinessConnection(HttpConnection):
    """A caller that asks whether this gateway is ready."""

    def __init__(self, server: ReadinessServer) -> None:
        super().__init__(server)
        self._owner = server

    def _read(self, method: bytes, keep: bool) -> Pending:
        known = method in (b"GET", b"HEAD") and self._url.partition(b"?")[0] == b"/readyz"
        if not known:
            raise Bad(404, "no such page")
        return Pending(None, 200, keep)

    def _serve(self, pending: Pending) -> None:
        self._serving, self._keep = True, pending.keep
        status = pending.status
        if status == 200 and not self._owner.ready():
            status = 503
        keep = self._may_keep()
        self._write(
            b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: %b\r\n\r\n"
            % (status, REASONS[status], b"keep-alive" if keep else b"close")
        )
        self._finish(keep)


class ReadinessServer(HttpServer):
    """`GET /readyz`: 200 while `ready`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ready: Callable[[], bool],
        descriptors: Descriptors,
        make_room: Callable[[], bool],
    ) -> None:
        super().__init__(loop, descriptors, make_room, Sizes(8192, 8192, 65536))
        self.ready = ready

    def times(self) -> Times:
        return Times(3.0, 3.0, 3.0, (30.0,))

    def connection(self) -> HttpConnection:
        return ReadinessConnection(self)
