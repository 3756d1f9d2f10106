"""One client connection: requests in, one response each out, complete or in pieces."""

from __future__ import annotations

import logging
import socket
import struct
from typing import TYPE_CHECKING

from roselink.dataplane.admission import NOT_CONFIRMED_RETRY_S
from roselink.dataplane.proxy_request import Headers, ProxyRequest, read_request
from roselink.http.server_connection import PendingRequest, ServerConnection
from roselink.http.status_codes import OK, REASON_PHRASES, UNAUTHORIZED

if TYPE_CHECKING:
    from roselink.dataplane.client_server import FleetServer
    from roselink.dataplane.exchange import Exchange

log = logging.getLogger("roselink.dataplane")

# Statuses whose responses have no body (RFC 9110, sections 15.3.5 and 15.4.5).
BODILESS = (204, 304)


class FleetClientConnection(ServerConnection):
    """One client connection: its requests go to the driver."""

    def __init__(self, server: FleetServer) -> None:
        """Start without a request, on a connection of `server`."""
        super().__init__(server)
        self._owner = server
        self._exchange: Exchange | None = None
        self._version = "1.1"
        self._head_only = self._chunked = self._kept = False
        self._unwritten = b""

    def _client_disconnected(self) -> None:
        if self._exchange is not None:
            exchange = self._exchange
            self._exchange = None
            self._owner.driver.client_left(exchange)

    def resume_writing(self) -> None:
        """Note that the kernel has the last byte (asyncio)."""
        super().resume_writing()
        if self._exchange is not None:
            self._exchange.client_ready()

    def on_headers_complete(self) -> None:
        """The head is complete (parser)."""
        super().on_headers_complete()
        expects_continue = any(
            n.lower() == b"expect" and v.lower() == b"100-continue" for n, v in self._headers
        )
        if expects_continue and not (self._serving or self._pending):
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _read_request(self, method: bytes, *, keep: bool) -> PendingRequest:
        assert self._parser is not None
        request = read_request(
            method, self._url, self._headers, b"".join(self._body), self._read_at
        )
        request.version = self._parser.get_http_version()
        return PendingRequest(request, OK, keep=keep)

    def _serve_request(self, pending: PendingRequest) -> None:
        self._serving = True
        self._keep_alive = pending.keep
        request = pending.request
        if not isinstance(request, ProxyRequest):
            log.info("request_invalid status=%d why=%s", pending.status, pending.why)
            self._head_only = False
            self._version = "1.1"
            self.send_status(pending.status)
            return
        self._head_only = request.method == b"HEAD"
        self._version = request.version
        if self._owner.is_overloaded():
            self.send_status(503, NOT_CONFIRMED_RETRY_S)
            return
        try:
            exchange = self._owner.driver.accept(request, self)
        except Exception:
            log.exception("request_failed")
            if self._serving:
                self.send_status(500)
            return
        if self._serving:  # not answered already
            self._exchange = exchange

    # The response, as the driver gives it.

    def send_status(self, status: int, retry_after_s: float | None = None) -> None:
        """A response of ours, without a body."""
        headers: Headers = []
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        if status == UNAUTHORIZED:
            headers.append((b"WWW-Authenticate", b"Bearer"))
        self.send_complete(status, headers, b"")

    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """One complete response."""
        bare = self._head_only or status in BODILESS
        head = self._head_of(status, headers, [] if bare else [b"Content-Length: %d" % len(body)])
        self._write(head if bare else head + body)
        self._end()

    def send_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Begin a response in pieces; without a stated length it is chunked."""
        self._chunked = length is None and self._version != "1.0"
        if length is not None:
            framing = [b"Content-Length: %d" % length]
        elif self._chunked:
            framing = [b"Transfer-Encoding: chunked"]
        else:
            # the end of the connection is that of the response
            framing = []
            self._keep_alive = False
        self._unwritten = self._head_of(status, headers, framing)  # goes out with the first part

    def send_piece(self, data: bytes) -> None:
        """Bytes of the body, now."""
        head = self._unwritten
        self._unwritten = b""
        self._write(head + (b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data))

    def send_end(self) -> None:
        """The body is complete."""
        head = self._unwritten
        self._unwritten = b""
        self._write(head + (b"0\r\n\r\n" if self._chunked else b""))
        self._end()

    def abort_response(self) -> None:
        """End the connection so that the response does not look complete."""
        self._exchange = None
        if self._transport is not None and not self._chunked:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.abort()

    def is_backed_up(self) -> bool:
        """Whether parts pile up, as the client does not take them."""
        return self._writing_paused

    def _head_of(self, status: int, headers: Headers, framing: list[bytes]) -> bytes:
        self._kept = self._may_keep_alive()
        lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b""))]
        lines += [b"%b: %b" % header for header in headers]
        lines += framing
        lines.append(b"Connection: keep-alive" if self._kept else b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _end(self) -> None:
        self._exchange = None
        self._response_finished(keep=self._kept)
