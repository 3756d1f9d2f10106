"""Events of a core process as JSON lines on standard error, from its first moment on.

The logging library takes a tenth of a second to load, while the chain should be running. Until
`begin` names its logger, events are written here in the same form.
"""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from typing import Any


class StartupLog:
    """One line an event: plainly until the logging library is loaded, then through it."""

    def __init__(self) -> None:
        self._node_name = ""
        self._logger: Any = None

    def name(self, node_name: str) -> None:
        """The process's name, which stands in each line."""
        self._node_name = node_name

    def begin(self, logger: Any) -> None:
        """The library is loaded: write through its logger."""
        self._logger = logger

    def info(self, event: str, **fields: Any) -> None:
        """Something that is as it should be."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Something that people may have to look at."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Something that keeps the process from its work."""
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if self._logger is not None:
            getattr(self._logger, level)(event, **fields)
            return
        told = {"event": event, "level": level, "node": self._node_name}
        now = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        sys.stderr.write(json.dumps({**fields, **told, "timestamp": now}, default=str) + "\n")


log = StartupLog()
