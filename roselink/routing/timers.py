"""Many due times behind one timer of the driver: it is set again only for an earlier time."""

from __future__ import annotations

from enum import Enum, auto
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from roselink.routing.events_and_actions import StartTimer
from roselink.routing.request_state import Request

if TYPE_CHECKING:
    from collections.abc import Callable


class Due(Enum):
    """What comes due for a request."""

    GIVE_UP = auto()
    HOLD = auto()
    RETRY = auto()
    OVERDUE = auto()
    HEDGE = auto()


Entry = tuple[float, int, Due, Request, int]


def is_over(entry: Entry) -> bool:
    """Whether nothing is left to do at that time."""
    _, _, due, request, number = entry
    if due is Due.OVERDUE:
        return request.attempts[number].outcome is not None or request.attempts[number].started
    return request.closed


class Timers:
    """Due times in order. An entry whose request is over is dropped without a wake-up."""

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._pushed = self._tag = 0
        self._armed_at: float | None = None

    def push(self, at: float, due: Due, request: Request, attempt: int = 0) -> None:
        """Ask for `due` at a time."""
        self._pushed += 1
        heappush(self._entries, (at, self._pushed, due, request, attempt))

    def fired(self, tag: int) -> None:
        """The driver's timer came."""
        if tag == self._tag:
            self._armed_at = None

    def pop_due(self, now: float) -> Entry | None:
        """The next entry that is due."""
        return heappop(self._entries) if self._entries and self._entries[0][0] <= now else None

    def rearm(self, over: Callable[[Entry], bool]) -> StartTimer | None:
        """The timer to start, if one is needed."""
        while self._entries and over(self._entries[0]):
            heappop(self._entries)
        if not self._entries or (
            self._armed_at is not None and self._armed_at <= self._entries[0][0]
        ):
            return None
        self._tag += 1
        self._armed_at = self._entries[0][0]
        return StartTimer(self._tag, self._armed_at)
