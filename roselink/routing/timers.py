"""Timers of all requests, multiplexed onto one timer of the driver."""

from __future__ import annotations

from enum import Enum, auto
from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

from roselink.routing.events_and_actions import StartTimer

if TYPE_CHECKING:
    from roselink.routing.request_state import Request


class TimerKind(Enum):
    """What happens to a request when its timer is due."""

    # The request's deadline has passed.
    DEADLINE = auto()
    # The wait for a ready host has timed out.
    HOST_WAIT = auto()
    # A backoff is over.
    RETRY = auto()
    # An attempt has exceeded the target latency.
    OVERDUE = auto()
    # A hedge may be sent.
    HEDGE = auto()


class RequestTimer(NamedTuple):
    """One timer; ordered by `due_at`, then by `sequence`, which is unique.

    Attributes:
        due_at: When it is due, in seconds of the decider's clock.
        sequence: Number of the timer, in the order of scheduling.
        kind: What happens when it is due.
        request: The request that it belongs to.
        attempt: Number of the request's attempt, for OVERDUE and HEDGE.
    """

    due_at: float
    sequence: int
    kind: TimerKind
    request: Request
    attempt: int

    def is_obsolete(self) -> bool:
        """Whether nothing remains to be done when it is due."""
        if self.kind is TimerKind.OVERDUE:
            attempt = self.request.attempts[self.attempt]
            return attempt.outcome is not None or attempt.first_event_seen
        return self.request.closed


class TimerQueue:
    """A priority queue of timers. The driver's timer is restarted only for an earlier due time.

    Obsolete timers at the head are dropped without a wake-up.
    """

    def __init__(self) -> None:
        """Start without timers."""
        self._timers: list[RequestTimer] = []
        self._last_sequence = 0
        self._tag = 0
        self._armed_at: float | None = None

    def schedule(self, at: float, kind: TimerKind, request: Request, attempt: int = 0) -> None:
        """Add a timer that is due at `at`, in seconds."""
        self._last_sequence += 1
        heappush(self._timers, RequestTimer(at, self._last_sequence, kind, request, attempt))

    def driver_timer_fired(self, tag: int) -> None:
        """Handle the driver's timer; one with an older tag was replaced and is ignored."""
        if tag == self._tag:
            self._armed_at = None

    def pop_due(self, now: float) -> RequestTimer | None:
        """Remove and return the next due timer, if any."""
        return heappop(self._timers) if self._timers and self._timers[0].due_at <= now else None

    def rearm(self) -> StartTimer | None:
        """The driver timer to start, if the running one would fire too late or none is running."""
        while self._timers and self._timers[0].is_obsolete():
            heappop(self._timers)
        if not self._timers:
            return None
        next_at = self._timers[0].due_at
        if self._armed_at is not None and self._armed_at <= next_at:
            return None
        self._tag += 1
        self._armed_at = next_at
        return StartTimer(self._tag, next_at)
