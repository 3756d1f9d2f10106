"""Logs of a gateway process: lines on standard error, and a bound on how many a second."""

from __future__ import annotations

import logging
import sys

# lines in a stretch of time: a storm of errors must not become a storm of lines
MAX_LINES = 50
INTERVAL_S = 1.0


class RateLimitFilter(logging.Filter):
    """Passes so many lines a second and says how many it left out."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        super().__init__()
        self._interval_started_at = 0.0
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line goes out; says on the next one how many did not."""
        if record.created - self._interval_started_at >= INTERVAL_S:
            if self._count > MAX_LINES:
                record.msg = f"{record.getMessage()} ({self._count - MAX_LINES} left out)"
                record.args = ()
            self._interval_started_at = record.created
            self._count = 0
        self._count += 1
        return self._count <= MAX_LINES


def configure_logging() -> None:
    """Send the logs of all modules to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(
        logging.Formatter("%(asctime)s.%(msecs)03d %(name)s: %(message)s", "%H:%M:%S")
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])
