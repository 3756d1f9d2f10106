"""The listener for clients, under the configuration's limits."""

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

# For a body to be complete, behind the head's own time.
BODY_S = 10.0
# For a client to take what waits for it.
UNREAD_S = 10.0
# Connections stay idle here for so much longer than the configuration states.
IDLE_OVER_S = 1.0
# Bytes of the bodies of all open requests.
BODIES_LIMIT = 64 * 1024 * 1024


class FleetServer(HttpServer):
    """All client connections of the data plane."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        driver: DecisionDriver,
        descriptors: Descriptors,
        free_descriptor: Callable[[], bool],
    ) -> None:
        """Start with the default limits, until a configuration states others."""
        self.driver = driver
        self._limits: tuple[Limits, ...] = (Limits(),)  # the latest last
        self._limits_are_configured = False  # whether they are a configuration's
        super().__init__(loop, descriptors, free_descriptor, _sizes(0, 0))
        self._apply()

    def limit(self, limits: Limits) -> None:
        """Apply a configuration's limits.

        Those before hold on where they allow more: clients that do not know the new ones yet, or
        sent before them, keep within the old.
        """
        if limits != self._limits[-1]:
            self._limits = (self._limits[-1], limits) if self._limits_are_configured else (limits,)
            self._apply()
        self._limits_are_configured = True

    def _apply(self) -> None:
        self.size_limits = _sizes(
            max(limits.max_header_bytes for limits in self._limits),
            max(limits.max_body_bytes for limits in self._limits),
        )
        head_s = max(limits.header_timeout_ms for limits in self._limits) / 1000
        idle_s = max(limits.idle_timeout_ms for limits in self._limits) / 1000
        self._times = TimeLimits(head_s, head_s + BODY_S, UNREAD_S, (idle_s + IDLE_OVER_S,))

    def time_limits(self) -> TimeLimits:
        """How long clients may take, as it is in force now."""
        return self._times

    def make_connection(self) -> ServerConnection:
        """A new client connection."""
        return FleetClientConnection(self)

    def is_overloaded(self) -> bool:
        """Whether there is no room to serve one more request."""
        return super().is_overloaded() or self.driver.body_bytes > BODIES_LIMIT


def _sizes(head: int, body: int) -> SizeLimits:
    return SizeLimits(head, body, head + 4 * body)
