"""The HTTP server for clients of the data plane, with the limits of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.dataplane.client_connection import FleetClientConnection
from roselink.http.limits import SizeLimits, TimeLimits
from roselink.http.server import HttpServer
from roselink.model.configuration import Limits

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.dataplane.decision_driver import DecisionDriver
    from roselink.http.descriptors import Descriptors
    from roselink.http.server_connection import ServerConnection

# Time for a body to arrive, in addition to the time for the head.
BODY_TIMEOUT_S = 10.0
# Time for a client to read buffered response bytes.
UNREAD_RESPONSE_TIMEOUT_S = 10.0
# Idle connections are closed this much later than `idle_timeout_ms`, so that a client that keeps to
# that time does not send on a connection that is being closed.
IDLE_TIMEOUT_SLACK_S = 1.0
# Total bytes of the bodies of all open requests; above it, new requests are refused.
OPEN_BODIES_LIMIT_BYTES = 64 * 1024 * 1024


class ClientServer(HttpServer):
    """HTTP server for clients of the data plane."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        driver: DecisionDriver,
        descriptors: Descriptors,
        free_descriptor: Callable[[], bool],
    ) -> None:
        """Start with the default limits, which hold until a configuration is applied.

        Args:
            loop: the event loop.
            driver: decides the requests, and counts the bytes of open bodies.
            descriptors: counts the open sockets to clients and to hosts.
            free_descriptor: closes an idle connection to a host; returns whether there was one.
        """
        self.driver = driver
        self._limits: tuple[Limits, ...] = (Limits(),)  # the latest is last
        self._limits_are_configured = False  # False while the defaults are in force
        super().__init__(loop, descriptors, free_descriptor, _size_limits(0, 0))
        self._update_limits()

    def apply_limits(self, limits: Limits) -> None:
        """Apply a configuration's limits.

        Until the next change, the previous configured limits stay in force where they are higher,
        for clients that do not know the new ones yet or sent their request before the change.
        """
        if limits != self._limits[-1]:
            self._limits = (self._limits[-1], limits) if self._limits_are_configured else (limits,)
            self._update_limits()
        self._limits_are_configured = True

    def _update_limits(self) -> None:
        self.size_limits = _size_limits(
            max(limits.max_header_bytes for limits in self._limits),
            max(limits.max_body_bytes for limits in self._limits),
        )
        head_s = max(limits.header_timeout_ms for limits in self._limits) / 1000
        idle_s = max(limits.idle_timeout_ms for limits in self._limits) / 1000
        self._time_limits = TimeLimits(
            head_s,
            head_s + BODY_TIMEOUT_S,
            UNREAD_RESPONSE_TIMEOUT_S,
            (idle_s + IDLE_TIMEOUT_SLACK_S,),
        )

    def time_limits(self) -> TimeLimits:
        """Time limits for clients that are in force now."""
        return self._time_limits

    def make_connection(self) -> ServerConnection:
        """Create the protocol of a new client connection."""
        return FleetClientConnection(self)

    def is_overloaded(self) -> bool:
        """Whether no further request can be served."""
        return super().is_overloaded() or self.driver.body_bytes > OPEN_BODIES_LIMIT_BYTES


def _size_limits(head: int, body: int) -> SizeLimits:
    # Limit of the complete request: with its framing, a chunked body may be 4 times as long.
    return SizeLimits(head, body, head + 4 * body)
