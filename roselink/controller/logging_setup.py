"""Logs of a core process: one JSON event a line on standard error, with a bound on lines of each
event.

What the standard library's and Twisted's loggers say at warning and above goes the same way.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, TextIO

import structlog
from twisted.logger import ILogObserver, LogLevel, formatEvent, globalLogBeginner
from zope.interface import provider  # type: ignore[import-untyped]

BURST_LINES = 20  # of one event
LINES_PER_S = 1.0  # of one event, beyond the burst
MOST_EVENTS = 512  # kept apart; more begin anew


class EventRateLimiter:
    """How many lines of each event may still go out: a token bucket each."""

    def __init__(self, burst: float = BURST_LINES, per_s: float = LINES_PER_S) -> None:
        self._burst, self._per_s = burst, per_s
        self._left: dict[str, tuple[float, float, int]] = {}

    def spend(self, now: float, event: str) -> int | None:
        """Lines held back since the last that went out; None when this one is held back too."""
        tokens, at, held = self._left.get(event, (self._burst, now, 0))
        tokens = min(self._burst, tokens + (now - at) * self._per_s)
        if len(self._left) >= MOST_EVENTS:
            self._left.clear()
        if tokens < 1:
            self._left[event] = tokens, now, held + 1
            return None
        self._left[event] = tokens - 1, now, 0
        return held


class _Limit:
    """A step of structlog's chain that drops lines beyond the budget."""

    def __init__(self) -> None:
        self._budget = EventRateLimiter()

    def __call__(self, logger: Any, method: str, event: Any) -> Any:
        held = self._budget.spend(time.monotonic(), str(event.get("event")))
        if held is None:
            raise structlog.DropEvent
        if held:
            event["held_back"] = held
        return event


class _Named:
    """A step of structlog's chain that adds the process's name, whichever thread writes."""

    def __init__(self, node_name: str) -> None:
        self._node_name = node_name

    def __call__(self, logger: Any, method: str, event: Any) -> Any:
        event["node"] = self._node_name
        return event


class _ToStructlog(logging.Handler):
    """Hands records of the standard library's loggers on."""

    def emit(self, record: logging.LogRecord) -> None:
        extra = {}
        if record.exc_info:
            extra["exception"] = logging.Formatter().formatException(record.exc_info)
        structlog.get_logger(record.name).log(
            record.levelno, record.name, message=record.getMessage(), **extra
        )


@provider(ILogObserver)  # type: ignore[untyped-decorator]
def _from_twisted(event: Any) -> None:
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
    """Set the loggers of this process up, once."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            _Named(node_name),
            _Limit(),
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    root = logging.getLogger()
    root.handlers[:] = [_ToStructlog()]
    root.setLevel(logging.WARNING)
    globalLogBeginner.beginLoggingTo([_from_twisted], redirectStandardIO=False, discardBuffer=True)
