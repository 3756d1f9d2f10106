"""One line on a gateway's state at most every so many seconds, and none while nothing changes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

log = logging.getLogger("roselink.router")

EVERY_S = 10.0


class StatusLog:
    """Writes what `read` returns where it differs from the last line written."""

    def __init__(self, loop: asyncio.AbstractEventLoop, read: Callable[[], str]) -> None:
        self._loop, self._read = loop, read
        self._last = ""
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin; the first line comes after the first stretch of time."""
        self._timer = self._loop.call_later(EVERY_S, self._due)

    def stop(self) -> None:
        """No more timers; what has changed since the last line is written."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._write()

    def _due(self) -> None:
        self._timer = self._loop.call_later(EVERY_S, self._due)
        self._write()

    def _write(self) -> None:
        line = self._read()
        if line != self._last:
            self._last = line
            log.info("gateway_status %s", line)
