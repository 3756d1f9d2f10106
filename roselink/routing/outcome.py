"""How an attempt at a host ended, and which outcomes prove that the request did not run there."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SUCCESS = "success"
    # The host replied with an error; the request may have run.
    ERROR = "error"
    # The host rejected the request before executing it.
    FULL = "full"
    # No response in time; the request may have run or may still be running.
    TIMEOUT = "timeout"
    # No connection to the host could be opened.
    CONNECT_FAILED = "connect_failed"
    # The connection broke while the attempt was in flight.
    RESET = "reset"
    # Cancelled by the gateway; the request may have run.
    CANCELLED = "cancelled"
    # Ended before it was sent.
    MOOT = "moot"


# Outcomes that prove that the request did not run.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
