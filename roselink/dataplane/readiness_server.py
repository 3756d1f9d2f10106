"""The listener for the platform's readiness checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.http.framing_checks import Bad
from roselink.http.limits import Sizes, Times
from roselink.http.reason_phrases import REASONS
from roselink.http.server import HttpServer
from roselink.http.server_connection import HttpConnection, Pending

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.http.descriptors import Descriptors


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
