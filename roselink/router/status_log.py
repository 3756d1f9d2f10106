"""Logs a gateway's status at most once an interval, and only when it has changed."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

log = logging.getLogger("roselink.router")

INTERVAL_S = 10.0


class StatusLog:
    """Logs what `read_status` returns where it differs from the last status logged."""

    def __init__(self, loop: asyncio.AbstractEventLoop, read_status: Callable[[], str]) -> None:
        """Start without a timer."""
        self._loop = loop
        self._read_status = read_status
        self._last_status = ""
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin; the first status is logged after the first interval."""
        self._timer = self._loop.call_later(INTERVAL_S, self._on_timer)

    def stop(self) -> None:
        """Cancel the timer; a status that has changed since the last one is logged."""
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
