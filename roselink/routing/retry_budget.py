"""The local retry budget of a service: a token bucket whose tokens expire with the window.

The rule holds over all gateways: in any window, retries <= ratio * requests + slack. Each gateway
limits its own retries to a fraction of the ratio over its own first sends of the last window, so
the sum over any number of gateways keeps the ratio. The slack is granted by one owner for all
gateways and is not counted here.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from roselink.routing.token_bucket import TokenBucket

# Fraction of the configured ratio that a first send earns; below 1 since first sends that fail
# before they arrive at a host earn as well.
EARNED_FRACTION = 0.9
# Slices into which the window is divided; sends of one slice expire together. More of them expire
# closer to the window's exact end, and cost more memory.
SLICES = 20
# Tokens below which no hedge is sent. More of them reserve more for retries; fewer allow hedges on
# services with little traffic.
MIN_HEDGE_TOKENS = 2.0


class LocalRetryBudget:
    """A gateway's budget for the retries and hedges of one service. Times in seconds."""

    def __init__(self, ratio: float, window_s: float) -> None:
        """Start without tokens.

        Args:
            ratio: Retries allowed per first send, over all gateways.
            window_s: The window over which both are counted, in seconds.
        """
        self._earned_per_send = EARNED_FRACTION * ratio
        self._slice_s = window_s / SLICES
        self._bucket = TokenBucket(0.0)
        self._first_sends: deque[_SliceCount] = deque()
        self._retries: deque[_SliceCount] = deque()
        self._first_send_count = 0
        self._retry_count = 0

    def record_first_send(self, now: float) -> None:
        """Count a first send, which needs no token and earns a fraction of one."""
        self._expire(now)
        self._first_send_count += 1
        _increment(self._first_sends, self._slice_index(now))
        self._bucket.earn(self._earned_per_send, self._max_tokens())

    def spend(self, now: float) -> bool:
        """Take one token for a retry or a hedge; False if there is none."""
        self.tokens(now)
        if not self._bucket.spend():
            return False
        self._retry_count += 1
        _increment(self._retries, self._slice_index(now))
        return True

    def tokens(self, now: float) -> float:
        """The tokens that may be spent now."""
        self._expire(now)
        self._bucket.earn(0.0, self._max_tokens())
        return self._bucket.tokens

    def allows_hedge(self, now: float) -> bool:
        """Whether at least half of the earned tokens and `MIN_HEDGE_TOKENS` are unspent."""
        tokens = self.tokens(now)
        earned = self._earned_per_send * self._first_send_count
        return tokens >= max(MIN_HEDGE_TOKENS, earned / 2)

    def _max_tokens(self) -> float:
        return max(0.0, self._earned_per_send * self._first_send_count - self._retry_count)

    def _slice_index(self, now: float) -> int:
        return int(now // self._slice_s)

    def _expire(self, now: float) -> None:
        """Drop counts that have left the window.

        First sends count while their slice lies entirely in the window, retries while any of it
        does, so rounding never allows more retries.
        """
        current = self._slice_index(now)
        while self._first_sends and self._first_sends[0].index <= current - SLICES:
            self._first_send_count -= self._first_sends.popleft().count
        while self._retries and self._retries[0].index < current - SLICES:
            self._retry_count -= self._retries.popleft().count


class RetryBudgets:
    """The local budgets of all services, each created on first use."""

    def __init__(self, ratio: float, window_s: float) -> None:
        """Set the arguments of each `LocalRetryBudget`."""
        self._ratio = ratio
        self._window_s = window_s
        self._budgets: dict[str, LocalRetryBudget] = {}

    def of(self, service: str) -> LocalRetryBudget:
        """The budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = LocalRetryBudget(self._ratio, self._window_s)
        return budget


@dataclass(slots=True)
class _SliceCount:
    """Number of sends in one slice; slices are numbered from the clock's zero."""

    index: int
    count: int


def _increment(slices: deque[_SliceCount], index: int) -> None:
    if slices and slices[-1].index >= index:
        slices[-1].count += 1
    else:
        slices.append(_SliceCount(index, 1))
