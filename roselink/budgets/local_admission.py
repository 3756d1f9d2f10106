"""Decisions on one tenant's requests at a gateway that has no owner in reach.

For a while the gateway goes on at most of its own recent rate, whether its roster is confirmed or
not: the owner that knew its use holds as much back, and so does a new owner that heard from others
how much all had used (`ledger`). Beyond that, requests fit into a part of the rule's allowance,
which nobody holds back.
"""

from __future__ import annotations

from roselink.budgets.usage import UsageWindow

RECENT_RATE_FRACTION = 0.8  # of the recent rate
RECENT_RATE_S = 3.0  # at that rate; in any window no more than this in all
BURST_S = 0.6  # of that rate may come at once


class LocalAdmission:
    """One tenant at one gateway. A stretch of time without an owner begins and ends."""

    def __init__(self, window_s: float) -> None:
        self.under_way = False
        self._backed = UsageWindow(window_s)
        self._unbacked = UsageWindow(window_s)
        self._since = self._at = 0.0
        self._rate = self._level = 0.0
        self._is_backed = False

    def begin(self, rate: float, backed: bool, now: float) -> None:
        """The owner is out of reach. `rate`: own use a second lately; `backed`: an owner knew of
        it.
        """
        self.under_way = True
        self._since = self._at = now
        self._rate = rate * RECENT_RATE_FRACTION
        self._level = self._rate * BURST_S
        self._is_backed = backed

    def end(self) -> None:
        """An owner answered."""
        self.under_way = False

    def admit(self, amount: float, most: float, now: float) -> bool:
        """Whether an amount may run. `most`: what may run in a window with nobody holding it
        back.
        """
        self._level = min(self._rate * BURST_S, self._level + self._rate * max(0.0, now - self._at))
        self._at = max(self._at, now)
        if self._at_recent_rate(now):
            self._level -= amount
            self._backed.add(now, amount)
            return True
        if self._unbacked.total(now) + amount > most:
            return False
        self._unbacked.add(now, amount)
        return True

    def _at_recent_rate(self, now: float) -> bool:
        if not self._is_backed or self._level <= 0 or now - self._since >= RECENT_RATE_S:
            return False
        return self._backed.total(now) < self._rate * RECENT_RATE_S
