"""The listener for the platform's readiness checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.http.exceptions import BadRequestError
from roselink.http.limits import SizeLimits, TimeLimits
from roselink.http.pending_request import PendingRequest
from roselink.http.server import HttpServer
from roselink.http.server_connection import ServerConnection
from roselink.http.status_codes import OK, REASON_PHRASES

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.http.descriptors import Descriptors


class ReadinessConnection(ServerConnection):
    """Connection of a readiness check."""

    def __init__(self, server: ReadinessServer) -> None:
        """Start on a connection of `server`."""
        super().__init__(server)
        self._owner = server

    def _read_request(self, method: bytes, *, keep: bool) -> PendingRequest:
        is_readiness_check = (
            method in (b"GET", b"HEAD") and self._url.partition(b"?")[0] == b"/readyz"
        )
        if not is_readiness_check:
            raise BadRequestError(404, "only GET and HEAD of /readyz are served")
        return PendingRequest(None, OK, keep=keep)

    def _serve_request(self, pending: PendingRequest) -> None:
        self._serving = True
        self._keep_alive = pending.keep
        status = pending.status
        if status == OK and not self._owner.ready():
            status = 503
        keep = self._may_keep_alive()
        self._write(
            b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: %b\r\n\r\n"
            % (status, REASON_PHRASES[status], b"keep-alive" if keep else b"close")
        )
        self._response_finished(keep=keep)


class ReadinessServer(HttpServer):
    """Serves `GET /readyz`: 200 while `ready` returns true, else 503."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ready: Callable[[], bool],
        descriptors: Descriptors,
        free_descriptor: Callable[[], bool],
    ) -> None:
        """Start with `ready`, which returns whether the gateway takes requests."""
        super().__init__(loop, descriptors, free_descriptor, SizeLimits(8192, 8192, 65536))
        self.ready = ready

    def time_limits(self) -> TimeLimits:
        """Time limits for clients."""
        return TimeLimits(3.0, 3.0, 3.0, (30.0,))

    def make_connection(self) -> ServerConnection:
        """Create the protocol of a new connection."""
        return ReadinessConnection(self)
