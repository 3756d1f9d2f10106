"""Admission of one tenant's requests at a gateway whose quota owner is unreachable.

For a limited time the gateway admits at a fraction of its own recent rate, whether its roster is
confirmed or not. The owner that knew its usage reserves that amount for it, and so does a new owner
that learnt the total usage from other gateways (`quota_owner`). Beyond that, requests must fit into
a fraction of the rule's allowance, for which no owner reserves anything.
"""

from __future__ import annotations

from roselink.budgets.usage import UsageWindow

# Fraction of the recent rate at which requests are admitted. It stays below 1, the rate that the
# owner reserves; a smaller value refuses more requests.
RECENT_RATE_FRACTION = 0.8
# How long requests are admitted at that rate, and the most that is admitted in any window, in
# seconds of that rate. The owner reserves for as long (tenant_bucket.MAX_RESERVE_S).
RECENT_RATE_S = 3.0
# Burst of the local bucket, in seconds of that rate.
BURST_S = 0.6


class LocalAdmission:
    """Admits requests of one tenant at one gateway while the owner is unreachable."""

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
            rate: this gateway's recent usage per second.
            now: the time in seconds.
            reserved: whether an owner knows that usage and reserves for it.
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
            amount: the amount that the request uses.
            unreserved_limit: the amount admitted in a window without an owner's reservation.
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
