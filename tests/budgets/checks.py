"""Checks of the quota rules on lists of admitted amounts, independent of the implementation."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.budgets.fleet import Decision


def max_window_sum(events: Iterable[tuple[float, float]], window_s: float) -> float:
    """Return the largest sum of amounts within any window of this length."""
    ordered = sorted(events)
    largest = total = 0.0
    first = 0
    for at, amount in ordered:
        total += amount
        while ordered[first][0] <= at - window_s:
            total -= ordered[first][1]
            first += 1
        largest = max(largest, total)
    return largest


def admitted_amounts(decisions: Iterable[Decision], tenant: str) -> list[tuple[float, float]]:
    """Return time and amount of each admitted request of a tenant."""
    return [
        (entry.decided_at, entry.amount)
        for entry in decisions
        if entry.tenant == tenant and entry.allowed
    ]


def reference_admissions(
    decisions: Iterable[Decision], tenant: str, rate: float, burst: float
) -> list[Decision]:
    """Return the requests that one token bucket admits in the order of their arrival."""
    level, at = burst, 0.0
    admissions = []
    for entry in sorted(decisions, key=lambda decision: decision.arrived_at):
        if entry.tenant != tenant:
            continue
        level = min(burst, level + rate * (entry.arrived_at - at))
        at = entry.arrived_at
        if level >= entry.amount:
            level -= entry.amount
            admissions.append(entry)
    return admissions
