"""Admission of one tenant's requests at a gateway whose quota owner is unreachable.

For a limited time the gateway continues at a fraction of its own recent rate, whether its roster is
confirmed or not: the owner that knew its usage reserves as much for it, and so does a new owner
that learnt from other gateways how much all had used (`quota_owner`). Beyond that, requests must
fit into a fraction of the rule's allowance, for which no owner reserves anything.
"""

from __future__ import annotations

from roselink.budgets.usage import UsageWindow

# Of the recent rate.
RECENT_RATE_FRACTION = 0.8
# How long at that rate; also the most of it that runs in any window, in seconds of the rate.
RECENT_RATE_S = 3.0
# What may come at once, in seconds of that rate.
BURST_S = 0.6


class LocalAdmission:
    """Local decisions on one tenant at one gateway, in periods without a reachable owner."""

    def __init__(self, window_s: float) -> None:
        """Start with a reachable owner. `window_s` is the quota rule's window."""
        self.active = False
        self._reserved_usage = UsageWindow(window_s)
        self._unreserved_usage = UsageWindow(window_s)
        self._began_at = 0.0
        self._updated_at = 0.0
        self._rate = 0.0
        self._level = 0.0
        self._is_reserved = False

    def begin(self, rate: float, now: float, *, reserved: bool) -> None:
        """Begin a period without a reachable owner.

        Args:
            rate: own recent usage per second.
            now: the time in seconds.
            reserved: whether an owner knew of that usage and so reserves for it.
        """
        self.active = True
        self._began_at = now
        self._updated_at = now
        self._rate = rate * RECENT_RATE_FRACTION
        self._level = self._rate * BURST_S
        self._is_reserved = reserved

    def end(self) -> None:
        """End the period: an owner replied."""
        self.active = False

    def admit(self, amount: float, unreserved_limit: float, now: float) -> bool:
        """Decide whether an amount may run.

        Args:
            amount: what the request wants to use.
            unreserved_limit: what may run in a window without an owner's reservation.
            now: the time in seconds.
        """
        refill = self._rate * max(0.0, now - self._updated_at)
        self._level = min(self._rate * BURST_S, self._level + refill)
        self._updated_at = max(self._updated_at, now)
        if self._within_recent_rate(now):
            self._level -= amount
            self._reserved_usage.add(now, amount)
            return True
        if self._unreserved_usage.total(now) + amount > unreserved_limit:
            return False
        self._unreserved_usage.add(now, amount)
        return True

    def _within_recent_rate(self, now: float) -> bool:
        if not self._is_reserved or self._level <= 0 or now - self._began_at >= RECENT_RATE_S:
            return False
        return self._reserved_usage.total(now) < self._rate * RECENT_RATE_S
