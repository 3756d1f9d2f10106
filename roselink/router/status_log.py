"""Logs a gateway's status at most once per interval, and only if it has changed."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

log = logging.getLogger("roselink.router")

# Shortest time between two status lines, in seconds. A longer one makes the log smaller, a shorter
# one the status in it more recent.
INTERVAL_S = 10.0


class StatusLog:
    """Logs the result of `read_status` whenever it differs from the last one logged."""

    def __init__(self, loop: asyncio.AbstractEventLoop, read_status: Callable[[], str]) -> None:
        """Start without a timer."""
        self._loop = loop
        self._read_status = read_status
        self._last_status = ""
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer; the first status is logged after one interval."""
        self._timer = self._loop.call_later(INTERVAL_S, self._on_timer)

    def stop(self) -> None:
        """Cancel the timer, and log the status once more if it has changed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._log_changed()

    def _on_timer(self) -> None:
        self._timer = self._loop.call_later(INTERVAL_S, self._on_timer)
        self._log_changed()

    def _log_changed(self) -> None:
        status = self._read_status()
        if status != self._last_status:
            self._last_status = status
            log.info("gateway_status %s", status)
