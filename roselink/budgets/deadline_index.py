"""An index of deadlines by name that finds the earliest one without iterating over all names."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

NEVER = float("inf")

# Outdated heap entries tolerated before a rebuild, beyond one for each current deadline. A larger
# value uses more memory, a smaller one rebuilds the heap more often.
_MAX_OUTDATED = 64


class DeadlineIndex:
    """One deadline for each name, in seconds on the caller's clock; setting one replaces the last.

    The heap keeps outdated entries until they reach its top (lazy deletion) or outnumber the
    current ones.

    >>> deadlines = DeadlineIndex()
    >>> deadlines.set("a", 2.0), deadlines.set("b", 1.0), deadlines.set("a", 0.5)
    (None, None, None)
    >>> deadlines.earliest(), deadlines.pop_due(0.5), deadlines.earliest()
    (0.5, ['a'], 1.0)
    """

    def __init__(self) -> None:
        """Start without any deadline."""
        self._deadlines: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def set(self, name: str, at: float) -> None:
        """Replace the deadline of a name; `NEVER` removes it."""
        if self._deadlines.get(name, NEVER) == at:
            return
        if at == NEVER:
            del self._deadlines[name]
            return
        self._deadlines[name] = at
        heappush(self._heap, (at, name))
        if len(self._heap) > 2 * len(self._deadlines) + _MAX_OUTDATED:
            self._heap = [(deadline, each) for each, deadline in self._deadlines.items()]
            heapify(self._heap)

    def earliest(self) -> float:
        """Return the earliest deadline; `NEVER` if there is none."""
        while self._heap and self._deadlines.get(self._heap[0][1]) != self._heap[0][0]:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else NEVER

    def pop_due(self, now: float) -> list[str]:
        """Remove the deadlines that are due at `now`; return their names, earliest first."""
        names = []
        while self.earliest() <= now:
            name = heappop(self._heap)[1]
            del self._deadlines[name]
            names.append(name)
        return names
