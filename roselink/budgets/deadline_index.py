"""When each of many names is due: the earliest time without a walk over all of them."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

NEVER = float("inf")
_MAX_OUTDATED = 64  # outdated entries that may stay beside the names' own


class DeadlineIndex:
    """One time for each name, in seconds; the newest one told counts.

    >>> times = DeadlineIndex()
    >>> times.put("a", 2.0), times.put("b", 1.0), times.put("a", 0.5)
    (None, None, None)
    >>> times.first(), times.due(0.5), times.first()
    (0.5, ['a'], 1.0)
    """

    def __init__(self) -> None:
        self._times: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def put(self, name: str, at: float) -> None:
        """A name is due at this time and at no other; at `NEVER` it has none."""
        if self._times.get(name, NEVER) == at:
            return
        if at == NEVER:
            del self._times[name]
            return
        self._times[name] = at
        heappush(self._heap, (at, name))
        if len(self._heap) > 2 * len(self._times) + _MAX_OUTDATED:
            self._heap = [(time, each) for each, time in self._times.items()]
            heapify(self._heap)

    def first(self) -> float:
        """The earliest time of all; `NEVER` if there is none."""
        while self._heap and self._times.get(self._heap[0][1]) != self._heap[0][0]:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else NEVER

    def due(self, now: float) -> list[str]:
        """The names that are due by `now`, earliest first; they have no time until one is put
        again.
        """
        names = []
        while self.first() <= now:
            name = heappop(self._heap)[1]
            del self._times[name]
            names.append(name)
        return names
