"""How an attempt at a host ended, and which of these outcomes prove that nothing ran there."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SUCCESS = "success"
    # The host replied with an error; it may have run.
    ERROR = "error"
    # Rejected by the host before it began to work on the request.
    FULL = "full"
    # No response in time; it may have run or may still run.
    TIMEOUT = "timeout"
    # The host was never reached.
    CONNECT_FAILED = "connect_failed"
    # The connection broke while the attempt was in flight.
    RESET = "reset"
    # Cancelled by the gateway; it may have run.
    CANCELLED = "cancelled"
    # Not sent at all.
    MOOT = "moot"


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
