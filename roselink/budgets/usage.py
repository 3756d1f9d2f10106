"""The parameters of the quota rule, and a sliding window of recent usage.

Amounts are in the unit of the tenant's quota: requests or language model tokens.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from roselink.protocol.budgets import UsageSample

# Resolution of a usage window. A larger value uses less memory and shorter reports; a smaller one
# lets usage expire closer to its true age.
SLOT_S = 0.5

# Division of the rule's allowance; the fractions add up to 1.

# Credit with which a new owner starts while the level of the previous owner's bucket is unknown.
START_FRACTION = 0.35
# Overdraft of the owner's bucket: requests of several gateways reach it out of order, and without
# an overdraft it could refuse one for that alone.
OVERDRAFT_FRACTION = 0.15
# Bound on what all gateways together admit locally beyond an owner's reservations, divided by their
# recent usage (`local_admission`).
LOCAL_FRACTION = 0.4
# Each gateway may admit locally at least an equal part of this fraction, however small its recent
# usage.
MIN_LOCAL_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """One tenant's quota: rate and burst of a token bucket. A rate of 0 means no limit."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """How far usage over all gateways may exceed a tenant's limit within a window.

    `over` is a fraction of rate x window + burst, `slack` an additional constant amount.
    """

    window_s: float
    over: float
    slack: float

    def allowance(self, limit: QuotaLimit) -> float:
        """Return the most that may be admitted in one window beyond rate x window + burst."""
        return self.over * (limit.rate_per_s * self.window_s + limit.burst) + self.slack


class RecentMaximum:
    """The greatest value that a quantity has had in the last `window_s` seconds."""

    __slots__ = ("_former", "_window_s", "value")

    def __init__(self, window_s: float, value: float) -> None:
        """Start with a value, as if there had been no other before."""
        self.value = value
        self._window_s = window_s
        # (when it ended, value), oldest first
        self._former: deque[tuple[float, float]] = deque()

    def set(self, value: float, now: float) -> None:
        """Replace the value."""
        self._former.append((now, self.value))
        self.value = value

    def maximum(self, now: float) -> float:
        """The greatest of the value and of those that ended within the window."""
        while self._former and self._former[0][0] < now - self._window_s:
            self._former.popleft()
        return max([self.value, *(value for _, value in self._former)])


class UsageWindow:
    """Amounts of the last `window_s` seconds, summed by slots of `SLOT_S`.

    A slot counts until its end leaves the window.
    """

    __slots__ = ("_slots", "_total", "window_s")

    def __init__(self, window_s: float) -> None:
        """Start without usage."""
        self.window_s = window_s
        # [end of the slot, amount], oldest first
        self._slots: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, at: float, amount: float) -> None:
        """Add an amount used at time `at`, in any order; a negative one is a refund."""
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
        """Drop the slots that have expired by `now`, and return the sum of the others."""
        while self._slots and self._slots[0][0] <= now - self.window_s:
            self._total -= self._slots.popleft()[1]
        if not self._slots:
            self._total = 0.0
        return self._total

    def oldest_expires_at(self) -> float:
        """Return when the oldest slot leaves the window; infinity if there is none."""
        return self._slots[0][0] + self.window_s if self._slots else float("inf")

    def report(self, now: float) -> tuple[UsageSample, ...]:
        """Return the last window in the form in which requests report it to an owner."""
        self.total(now)
        return tuple(
            UsageSample(int(max(0.0, now - end) * 1000), amount) for end, amount in self._slots
        )
