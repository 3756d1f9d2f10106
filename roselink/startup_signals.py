"""Handlers of signals that reach a program while it starts, before it has an event loop.

The default actions would end the process without a log line, even at SIGHUP, which asks for a
reload only. A process that ends here has accepted no work, so there is nothing to drain and no peer
to notify. Signals during the interpreter's own start, before any module of this project runs, are
not covered.
"""

from __future__ import annotations

import json
import os
import signal
from datetime import UTC, datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType

STDERR = 2
EXIT_SUCCESS = 0


class SignalSafeLog:
    """Bypasses the buffer of `sys.stderr`, which the interrupted code may be writing to."""

    def __init__(self, program: str) -> None:
        """Log for `program`: `controller` writes JSON lines, `router` plain ones."""
        self._program = program

    def info(self, event: str, *, signal_name: str) -> None:
        """Log one event in the form of the program's other lines."""
        now = datetime.now(UTC)
        line = f"{now:%H:%M:%S}.{now.microsecond // 1000:03d} roselink.{self._program}: {event}"
        if self._program == "controller":
            fields = {"event": event, "level": "info", "signal": signal_name}
            timestamp = now.isoformat().replace("+00:00", "Z")
            line = json.dumps({**fields, "timestamp": timestamp})
        else:
            line += f" signal={signal_name}"
        os.write(STDERR, line.encode() + b"\n")


def handle_signals_while_starting(program: str) -> None:
    """Exit with a log line at SIGTERM and SIGINT, until the event loop's handlers replace these.

    SIGHUP is ignored: the changed settings that it announces are still to be read.

    Args:
        program: `controller` or `router`.
    """
    log = SignalSafeLog(program)

    def exit_cleanly(number: int, _frame: FrameType | None) -> None:
        log.info("ended_while_starting", signal_name=signal.Signals(number).name)
        raise SystemExit(EXIT_SUCCESS)

    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, exit_cleanly)
    signal.signal(signal.SIGINT, exit_cleanly)
