"""Logging of a core process: one JSON event per line on standard error, rate-limited per event.

Records of the standard library's and Twisted's loggers at warning and above are logged likewise.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import TYPE_CHECKING, Any, TextIO

import structlog
from twisted.logger import ILogObserver, LogLevel, formatEvent, globalLogBeginner
from zope.interface import provider  # type: ignore[import-untyped]

if TYPE_CHECKING:
    from structlog.typing import EventDict

# Lines of one event that may be logged at once.
BURST_LINES = 20
# Lines of one event per second, beyond the burst.
LINES_PER_S = 1.0
# Number of token buckets; when it is reached, all are dropped and start again full.
MAX_EVENTS = 512


class EventRateLimiter:
    """Token buckets that limit the lines of each event."""

    def __init__(self, burst: float = BURST_LINES, per_s: float = LINES_PER_S) -> None:
        """Make full buckets.

        Args:
            burst: the lines that a full bucket allows at once.
            per_s: the lines a second that refill it.
        """
        self._burst = burst
        self._per_s = per_s
        self._buckets: dict[str, tuple[float, float, int]] = {}

    def spend(self, now: float, event: str) -> int | None:
        """Spend a token for a line of an event.

        Returns:
            The lines dropped since the last one that was logged; None to drop this one too.
        """
        tokens, refilled_at, dropped = self._buckets.get(event, (self._burst, now, 0))
        tokens = min(self._burst, tokens + (now - refilled_at) * self._per_s)
        if len(self._buckets) >= MAX_EVENTS:
            self._buckets.clear()
        if tokens < 1:
            self._buckets[event] = tokens, now, dropped + 1
            return None
        self._buckets[event] = tokens - 1, now, 0
        return dropped


class _RateLimitProcessor:
    """A structlog processor that drops lines beyond the rate limit."""

    def __init__(self) -> None:
        """Begin with full buckets."""
        self._limiter = EventRateLimiter()

    def __call__(self, _logger: object, _method: str, event: EventDict) -> EventDict:
        """Drop the event, or add the number of lines dropped before it."""
        dropped = self._limiter.spend(time.monotonic(), str(event.get("event")))
        if dropped is None:
            raise structlog.DropEvent
        if dropped:
            event["held_back"] = dropped
        return event


class _NodeNameProcessor:
    """A structlog processor that adds the process's name, whichever thread logs."""

    def __init__(self, node_name: str) -> None:
        """Make the processor for a process's name."""
        self._node_name = node_name

    def __call__(self, _logger: object, _method: str, event: EventDict) -> EventDict:
        """Add the process's name to the event."""
        event["node"] = self._node_name
        return event


class _StructlogHandler(logging.Handler):
    """Forwards records of the standard library's loggers to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the record under its logger's name."""
        extra = {}
        if record.exc_info:
            extra["exception"] = logging.Formatter().formatException(record.exc_info)
        structlog.get_logger(record.name).log(
            record.levelno, record.name, message=record.getMessage(), **extra
        )


@provider(ILogObserver)  # type: ignore[untyped-decorator]
def _log_twisted_event(event: dict[str, Any]) -> None:
    level = event.get("log_level")
    if level is None or level < LogLevel.warn:
        return
    failure = event.get("log_failure")
    structlog.get_logger("twisted").warning(
        str(event.get("log_namespace", "twisted")),
        message=formatEvent(event),
        **({"exception": failure.getTraceback()} if failure is not None else {}),
    )


def configure_logging(node_name: str, stream: TextIO | None = None) -> None:
    """Configure the loggers of this process, once.

    Args:
        node_name: the process's name, which is added to each line.
        stream: where lines go; standard error if None.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            _NodeNameProcessor(node_name),
            _RateLimitProcessor(),
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    root = logging.getLogger()
    root.handlers[:] = [_StructlogHandler()]
    root.setLevel(logging.WARNING)
    globalLogBeginner.beginLoggingTo(
        [_log_twisted_event], redirectStandardIO=False, discardBuffer=True
    )
