"""Logging of a gateway process: rate-limited lines on standard error."""

from __future__ import annotations

import logging
import sys

# Lines per interval, so that a burst of errors does not flood the log, and the interval in seconds.
MAX_LINES = 50
INTERVAL_S = 1.0


class RateLimitFilter(logging.Filter):
    """Passes at most `MAX_LINES` records per interval and reports how many it dropped."""

    def __init__(self) -> None:
        """Start with a count of 0."""
        super().__init__()
        self._interval_started_at = 0.0
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a record is logged; appends the number of dropped ones to the next."""
        if record.created - self._interval_started_at >= INTERVAL_S:
            if self._count > MAX_LINES:
                record.msg = f"{record.getMessage()} ({self._count - MAX_LINES} lines dropped)"
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
