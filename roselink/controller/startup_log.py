"""Logs a core process's events as JSON lines on standard error, before the logging library loads.

Loading the library takes a tenth of a second, in which the chain should already be running. Until
`use_logger` sets its logger, events are written here in the same form.
"""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from typing import Protocol


class Logger(Protocol):
    """The methods that are used of the library's logger."""

    def info(self, event: str, **fields: object) -> object:
        """Log a normal event."""

    def warning(self, event: str, **fields: object) -> object:
        """Log an event that may need attention."""

    def error(self, event: str, **fields: object) -> object:
        """Log a fault that keeps the process from its work."""


class StartupLog:
    """Logs events: as plain JSON until the logging library is loaded, then through it."""

    def __init__(self) -> None:
        """Start without a process name and without the library's logger."""
        self._node_name = ""
        self._logger: Logger | None = None

    def set_node_name(self, node_name: str) -> None:
        """Set the process's name, which is in each line."""
        self._node_name = node_name

    def use_logger(self, logger: Logger) -> None:
        """Write through the library's logger from now on."""
        self._logger = logger

    def info(self, event: str, **fields: object) -> None:
        """Log a normal event."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that may need attention."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a fault that keeps the process from its work."""
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        if self._logger is not None:
            getattr(self._logger, level)(event, **fields)
            return
        common = {"event": event, "level": level, "node": self._node_name}
        now = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        sys.stderr.write(json.dumps({**fields, **common, "timestamp": now}, default=str) + "\n")


log = StartupLog()
