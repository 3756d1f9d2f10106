"""The quota rule's figures, and what was admitted lately, in slots of time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from roselink.protocol.budgets import UsageSample

SLOT_S = 0.5


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """One tenant's quota; a rate of 0 sets no limit."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """How far the sum over all gateways may pass a tenant's limit within a window."""

    window_s: float
    over: float
    slack: float

    def allowance(self, limit: QuotaLimit) -> float:
        """What may run in one window beyond rate x window + burst."""
        return self.over * (limit.rate_per_s * self.window_s + limit.burst) + self.slack


# How the allowance is shared out; the parts sum up to 1.
START_FRACTION = 0.35  # what a term starts with, where nobody knows how the owner before stood
GRACE_FRACTION = 0.15  # on top of the exact bucket: requests cross each other on their way
LOCAL_FRACTION = (
    0.4  # what gateways together admit without an owner and without its holding back for them
)
NEWCOMER_FRACTION = 0.1  # the same, for gateways that had no use of the tenant lately


class UsageWindow:
    """Amounts of the last window, summed by slot. A slot counts until its newest moment leaves the
    window.
    """

    __slots__ = ("_slots", "_total", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._slots: deque[list[float]] = deque()  # [end, amount], oldest first
        self._total = 0.0

    def add(self, at: float, amount: float) -> None:
        """Count an amount; older moments are in order too."""
        end = (at // SLOT_S + 1) * SLOT_S
        self._total += amount
        for slot in reversed(self._slots):
            if slot[0] == end:
                slot[1] += amount
                return
            if slot[0] < end:
                break
        if not self._slots or self._slots[-1][0] < end:
            self._slots.append([end, amount])
            return
        self._slots.append([end, amount])
        self._slots = deque(sorted(self._slots))

    def total(self, now: float) -> float:
        """The sum of the last window."""
        while self._slots and self._slots[0][0] <= now - self.window_s:
            self._total -= self._slots.popleft()[1]
        if not self._slots:
            self._total = 0.0
        return self._total

    def leaves_at(self) -> float:
        """When the oldest amount leaves the window; infinity where there is none."""
        return self._slots[0][0] + self.window_s if self._slots else float("inf")

    def report(self, now: float) -> tuple[UsageSample, ...]:
        """The last window as it is told to an owner."""
        self.total(now)
        return tuple(
            UsageSample(int(max(0.0, now - end) * 1000), amount) for end, amount in self._slots
        )
