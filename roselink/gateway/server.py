"""The client side: check requests, frame the one answer, drain. `connections` has what is any
server's.
"""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING
from urllib.parse import unquote

from roselink.balancer.interface import Effect
from roselink.gateway.engine import ClientRequest, Engine, OpenRequest, Reply
from roselink.http.framing_checks import BadRequestError
from roselink.http.host_connection import BODY_LIMIT, HEAD_LIMIT
from roselink.http.limits import SizeLimits, TimeLimits
from roselink.http.reason_phrases import REASON_PHRASES
from roselink.http.server import HttpServer
from roselink.http.server_connection import PendingRequest, ServerConnection

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.gateway.config import Config
    from roselink.http.descriptors import Descriptors

log = logging.getLogger("roselink.gateway.server")

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect "
    b"content-length "
    b"request-timeout-ms proxy-authorization proxy-authenticate".split()
)
MESSAGE_LIMIT = HEAD_LIMIT + 4 * BODY_LIMIT  # with a chunked body's framing
RECEIVE_S = (
    2.0  # for a request to come in whole, from its first byte, and for a first one to begin at all
)
UNREAD_S = 5.0  # for a client to take its answer
IDLE_S = 60.0  # connections are worth keeping, and the longest idle make room when room is needed
IDLE_ONCE_S = 2.0  # for one that has asked once only: most such clients never come back


class ClientConnection(ServerConnection):
    """One client connection: its requests go to the engine."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self._owner = server
        self._opened: OpenRequest | None = None

    def _departed(self) -> None:
        if self._opened is not None:
            opened, self._opened = self._opened, None
            self._owner.engine.depart(opened)

    def _read(self, method: bytes, keep: bool) -> PendingRequest:
        path = self._url.partition(b"?")[0]
        if path == b"/up" and method == b"GET":
            return PendingRequest(None, self._owner.up_status(), keep)
        request = self._owner.check(
            method, self._url, self._headers, b"".join(self._body), self._read_at
        )
        return PendingRequest(request, 200, keep)

    def _serve(self, pending: PendingRequest) -> None:
        self._serving, self._keep = True, pending.keep
        if pending.request is None:
            if pending.status >= 400 and pending.status != 503:
                log.info("%d: %s", pending.status, pending.why)
            self.answer(Reply(pending.status))
            return
        engine = self._owner.engine
        if engine.is_open(pending.request.id):
            log.info("400: the id of an open request")
            self.answer(Reply(400))
            return
        late = (
            self._owner.loop.time() >= pending.request.expires
        )  # it waited for the answers before it
        if late or self._owner.crowded():
            self.answer(Reply(503, None, self._owner.retry_after_us))
            return
        try:
            opened = engine.accept(pending.request, self.answer, self.gone)
        except Exception:
            log.exception("request %s failed", pending.request.id)
            if self._serving:
                self.answer(Reply(500))
            return
        if self._serving:  # not answered already
            self._opened = opened

    def answer(self, reply: Reply) -> None:
        """The one place that writes to a client."""
        self._opened, self._serving = None, False
        self.last_change = self._owner.loop.time()
        if self._transport is None:
            return
        keep = self._may_keep()
        lines = [b"HTTP/1.1 %d %b" % (reply.status, REASON_PHRASES[reply.status])]
        body = b""
        if reply.answer is not None:
            body = reply.answer.body
            if reply.answer.content_type is not None:
                lines.append(b"Content-Type: " + reply.answer.content_type)
        if reply.retry_after_us:
            lines.append(b"Retry-After: %.3f" % (reply.retry_after_us / 1e6))
        lines.append(b"Content-Length: %d" % len(body))
        lines.append(b"Connection: keep-alive" if keep else b"Connection: close")
        self._write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        self._finish(keep)


class Server(HttpServer):
    """All client connections of the gateway."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: Engine,
        descriptors: Descriptors,
        make_room: Callable[[], bool],
    ) -> None:
        super().__init__(
            loop, descriptors, make_room, SizeLimits(HEAD_LIMIT, BODY_LIMIT, MESSAGE_LIMIT)
        )
        self.engine = engine
        self._routes = {route.name: i for i, route in enumerate(config.settings.routes)}
        self._effects = [route.effect for route in config.settings.routes]
        self._deadlines = [route.deadline_us / 1e6 for route in config.settings.routes]
        self._drained_from = self._drained_by = math.inf
        self.retry_after_us = (
            config.settings.max_retry_after_us if config.settings.retry_after else 0
        )
        self._tenants = {name: i for i, name in enumerate(config.tenants)}

    def connection(self) -> ServerConnection:
        return ClientConnection(self)

    def times(self) -> TimeLimits:
        return TimeLimits(RECEIVE_S, RECEIVE_S, UNREAD_S, (RECEIVE_S, IDLE_ONCE_S, IDLE_S))

    def drain(self, taken_s: float, most_s: float) -> None:
        """From now on each answer ends its connection. What comes later than `taken_s` from now on
        one that is still open has to be answered within `most_s` from now, before the process may
        be killed.
        """
        self.draining = True
        self._drained_from, self._drained_by = self.loop.time() + taken_s, self.loop.time() + most_s

    def up_status(self) -> int:
        return 200 if self.engine.ready and not self.draining else 503

    def check(
        self,
        method: bytes,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        since: float,
    ) -> ClientRequest:
        """A request that may go on, or `BadRequestError`."""
        parts = url.partition(b"?")[0].split(b"/")
        if len(parts) < 2 or parts[0] or not parts[1]:
            raise BadRequestError(404, "no such path")
        route = self._routes.get(unquote(parts[1].decode("latin-1")))
        if route is None:
            raise BadRequestError(400 if len(parts) == 3 else 404, "no such class")
        single: dict[bytes, bytes] = {}
        kept = [b"%b %b HTTP/1.1" % (method, url)]
        for name, value in headers:
            lower = name.lower()
            if (
                lower in (b"request-id", b"idempotency-key", b"request-timeout-ms")
                and lower in single
            ):
                raise BadRequestError(400, f"two headers {lower.decode()}")
            single[lower] = value
            if lower not in HOP_BY_HOP:
                kept.append(b"%b: %b" % (name, value))
        safe, keyed = self._effects[route] is Effect.SAFE, self._effects[route] is Effect.KEYED
        if method != (b"GET" if safe else b"POST"):
            raise BadRequestError(400, "wrong method for the class")
        if safe and body:
            raise BadRequestError(400, "a body with GET")
        if keyed != bool(single.get(b"idempotency-key")):
            raise BadRequestError(400, "Idempotency-Key and class do not go together")
        request_id = single.get(b"request-id", b"").decode("latin-1")
        if not request_id:
            raise BadRequestError(400, "no Request-Id")
        wait = single.get(b"request-timeout-ms", b"")
        if not wait.isdigit() or len(wait) > 12 or int(wait) == 0:
            raise BadRequestError(400, "bad Request-Timeout-Ms")
        if not safe:
            kept.append(b"Content-Length: %d" % len(body))
        hint = single.get(b"work-hint", b"")
        expires = since + min(int(wait) / 1000, self._deadlines[route])
        return ClientRequest(
            id=request_id,
            route=route,
            tenant=self._tenants.get(single.get(b"tenant", b"").decode("latin-1"), -1),
            key=unquote(parts[-1].decode("latin-1")) if len(parts) > 2 and parts[-1] else None,
            expires=expires if since < self._drained_from else min(expires, self._drained_by),
            repeat=single.get(b"client-retry") == b"1",
            work_us=int(hint) if hint.isdigit() and len(hint) < 12 else None,
            head=b"\r\n".join(kept) + b"\r\n",
            body=body,
        )
