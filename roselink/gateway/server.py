"""The gateway's HTTP server: passes requests to the engine, writes responses and drains.

`roselink.http` has the general part of the server; `request_checks` validates the requests.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from roselink.gateway.engine import Reply
from roselink.gateway.request_checks import RequestChecks
from roselink.http.host_connection import BODY_LIMIT, HEAD_LIMIT
from roselink.http.limits import SizeLimits, TimeLimits
from roselink.http.pending_request import PendingRequest
from roselink.http.server import HttpServer
from roselink.http.server_connection import ServerConnection
from roselink.http.status_codes import REASON_PHRASES

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.gateway.config import Config
    from roselink.gateway.engine import Engine, OpenRequest
    from roselink.http.descriptors import Descriptors

log = logging.getLogger("roselink.gateway.server")

# Largest request in bytes, with the framing of a chunked body.
MESSAGE_LIMIT = HEAD_LIMIT + 4 * BODY_LIMIT
# Statuses that are not logged for responses without a request: those of `/up`.
UNLOGGED_STATUSES = (200, 503)
# Time-out of reading a request, from its first byte, and of waiting for a connection's first one.
RECEIVE_TIMEOUT_S = 2.0
# Time-out of writing a response to a client that does not read it.
WRITE_TIMEOUT_S = 5.0
# Keep-alive time-out. It can be long, since the longest idle connections are closed when
# descriptors run short.
IDLE_TIMEOUT_S = 60.0
# Keep-alive time-out after a connection's first request: most such clients send no other.
IDLE_AFTER_FIRST_TIMEOUT_S = 2.0


class ClientConnection(ServerConnection):
    """One client connection, whose requests go to the engine."""

    def __init__(self, server: Server) -> None:
        """Creates the state of a connection that `server` has accepted."""
        super().__init__(server)
        self._owner = server
        self._open_request: OpenRequest | None = None

    def _client_disconnected(self) -> None:
        if self._open_request is not None:
            opened = self._open_request
            self._open_request = None
            self._owner.engine.depart(opened)

    def _read_request(self, method: bytes, *, keep: bool) -> PendingRequest:
        path = self._url.partition(b"?")[0]
        if path == b"/up" and method == b"GET":
            return PendingRequest(None, self._owner.up_status(), keep=keep)
        request = self._owner.checks.check(
            method, self._url, self._headers, b"".join(self._body), self._read_at
        )
        return PendingRequest(request, 200, keep=keep)

    def _serve_request(self, pending: PendingRequest) -> None:
        self._serving = True
        self._keep_alive = pending.keep
        if pending.request is None:
            if pending.status not in UNLOGGED_STATUSES:
                log.info("%d: %s", pending.status, pending.why)
            self.respond(Reply(pending.status))
            return
        engine = self._owner.engine
        if engine.is_open(pending.request.id):
            log.info("400: request id is in use by an open request")
            self.respond(Reply(400))
            return
        # A pipelined request may have expired while it waited for earlier responses.
        expired = self._owner.loop.time() >= pending.request.expires
        if expired or self._owner.is_overloaded():
            self.respond(Reply(503, None, self._owner.retry_after_us))
            return
        try:
            opened = engine.accept(pending.request, self.respond, self.has_left)
        except Exception:
            log.exception("request %s failed", pending.request.id)
            if self._serving:
                self.respond(Reply(500))
            return
        # The engine may have responded during `accept`.
        if self._serving:
            self._open_request = opened

    def respond(self, reply: Reply) -> None:
        """Writes the response to the client; the only place that writes to the connection."""
        self._open_request = None
        self._serving = False
        self.last_progress_at = self._owner.loop.time()
        if self._transport is None:
            return
        keep = self._may_keep_alive()
        lines = [b"HTTP/1.1 %d %b" % (reply.status, REASON_PHRASES[reply.status])]
        body = b""
        if reply.response is not None:
            body = reply.response.body
            if reply.response.content_type is not None:
                lines.append(b"Content-Type: " + reply.response.content_type)
        if reply.retry_after_us:
            lines.append(b"Retry-After: %.3f" % (reply.retry_after_us / 1e6))
        lines.append(b"Content-Length: %d" % len(body))
        lines.append(b"Connection: keep-alive" if keep else b"Connection: close")
        self._write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        self._response_finished(keep=keep)


class Server(HttpServer):
    """The gateway's HTTP server."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: Engine,
        descriptors: Descriptors,
        free_descriptor: Callable[[], bool],
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            loop: The event loop.
            config: Defines routes, deadlines and tenants.
            engine: Receives the requests.
            descriptors: Counts the open sockets of the process.
            free_descriptor: Closes an idle connection to a host; returns whether there was one.
        """
        super().__init__(
            loop, descriptors, free_descriptor, SizeLimits(HEAD_LIMIT, BODY_LIMIT, MESSAGE_LIMIT)
        )
        self.engine = engine
        self.checks = RequestChecks(config)
        settings = config.settings
        self.retry_after_us = settings.max_retry_after_us if settings.retry_after else 0

    def make_connection(self) -> ServerConnection:
        """A new client connection."""
        return ClientConnection(self)

    def time_limits(self) -> TimeLimits:
        """The time-outs of client connections."""
        return TimeLimits(
            RECEIVE_TIMEOUT_S,
            RECEIVE_TIMEOUT_S,
            WRITE_TIMEOUT_S,
            (RECEIVE_TIMEOUT_S, IDLE_AFTER_FIRST_TIMEOUT_S, IDLE_TIMEOUT_S),
        )

    def drain(self, short_deadline_after_s: float, short_deadline_s: float) -> None:
        """Starts draining: each response closes its connection.

        Args:
            short_deadline_after_s: Time from now after which new requests get a shorter deadline.
            short_deadline_s: That deadline, from now; the process may be killed after it.
        """
        self.draining = True
        now = self.loop.time()
        self.checks.shorten_deadlines(now + short_deadline_after_s, now + short_deadline_s)

    def up_status(self) -> int:
        """Status of `/up`: 200 while hosts are listed and the gateway is not draining."""
        return 200 if self.engine.ready and not self.draining else 503
