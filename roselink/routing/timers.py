"""Many timers of requests behind one timer of the driver, set again only for an earlier time."""

from __future__ import annotations

from enum import Enum, auto
from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

from roselink.routing.events_and_actions import StartTimer

if TYPE_CHECKING:
    from roselink.routing.request_state import Request


class TimerKind(Enum):
    """What is to happen to a request at its time."""

    # The time of its final response.
    DEADLINE = auto()
    # The end of the wait for a ready host.
    HOST_WAIT = auto()
    # The end of a backoff.
    RETRY = auto()
    # An attempt passes the target latency.
    OVERDUE = auto()
    # A hedge may be sent.
    HEDGE = auto()


class RequestTimer(NamedTuple):
    """One timer; ordered by `due_at`, then by `sequence`, which no other timer has.

    Attributes:
        due_at: Seconds of the decider's clock.
        sequence: Number of the timer, in the order in which they were scheduled.
        kind: What is to happen.
        request: To which request.
        attempt: The number of its attempt, for OVERDUE and HEDGE.
    """

    due_at: float
    sequence: int
    kind: TimerKind
    request: Request
    attempt: int

    def is_obsolete(self) -> bool:
        """Whether nothing is left to do at that time."""
        if self.kind is TimerKind.OVERDUE:
            attempt = self.request.attempts[self.attempt]
            return attempt.outcome is not None or attempt.first_event_seen
        return self.request.closed


class TimerQueue:
    """Timers in order. Obsolete ones are dropped without a wake-up when they are the next."""

    def __init__(self) -> None:
        """Start with none."""
        self._timers: list[RequestTimer] = []
        self._last_sequence = 0
        self._tag = 0
        self._armed_at: float | None = None

    def schedule(self, at: float, kind: TimerKind, request: Request, attempt: int = 0) -> None:
        """Set a timer for a time in seconds."""
        self._last_sequence += 1
        heappush(self._timers, RequestTimer(at, self._last_sequence, kind, request, attempt))

    def driver_timer_fired(self, tag: int) -> None:
        """The driver's timer fired; one with an older tag was replaced, and is ignored."""
        if tag == self._tag:
            self._armed_at = None

    def pop_due(self, now: float) -> RequestTimer | None:
        """Remove and return the next timer that is due."""
        return heappop(self._timers) if self._timers and self._timers[0].due_at <= now else None

    def rearm(self) -> StartTimer | None:
        """The driver's timer to start, if one is needed."""
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
