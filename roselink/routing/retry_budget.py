"""The local retry budget of a service: a token bucket whose tokens expire with the window.

The rule counts over all gateways: in any window, retries <= ratio * requests + slack. Each gateway
keeps its own retries within its fraction of the ratio, over its own first sends of the last window,
so the sum over any number of gateways keeps the ratio. The slack is lent by one owner for all
gateways and never counted here.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from roselink.routing.token_bucket import TokenBucket

# Fraction of the configured ratio: first sends that fail before they arrive earn as well.
EARNED_FRACTION = 0.9
# Slices of the window that are counted together.
SLICES = 20
# Hedges need this many tokens at least, so that retries find some left.
MIN_HEDGE_TOKENS = 2.0


class LocalRetryBudget:
    """Consulted before every attempt beyond the first. Times in seconds."""

    def __init__(self, ratio: float, window_s: float) -> None:
        """Start empty.

        Args:
            ratio: Retries allowed for each first send, over all gateways.
            window_s: The window of the rule, in seconds.
        """
        self._earned_per_send = EARNED_FRACTION * ratio
        self._slice_s = window_s / SLICES
        self._bucket = TokenBucket(0.0)
        self._first_sends: deque[_SliceCount] = deque()
        self._retries: deque[_SliceCount] = deque()
        self._first_send_count = 0
        self._retry_count = 0

    def record_first_send(self, now: float) -> None:
        """Count a first send: it needs no token and earns a fraction of one."""
        self._expire(now)
        self._first_send_count += 1
        _increment(self._first_sends, self._slice_index(now))
        self._bucket.earn(self._earned_per_send, self._max_tokens())

    def spend(self, now: float) -> bool:
        """Take one token for a retry or a hedge; False when there is none."""
        self.tokens(now)
        if not self._bucket.spend():
            return False
        self._retry_count += 1
        _increment(self._retries, self._slice_index(now))
        return True

    def tokens(self, now: float) -> float:
        """Tokens that may be spent now."""
        self._expire(now)
        self._bucket.earn(0.0, self._max_tokens())
        return self._bucket.tokens

    def allows_hedge(self, now: float) -> bool:
        """Whether half of what the window earned is unspent, and `MIN_HEDGE_TOKENS`."""
        tokens = self.tokens(now)
        earned = self._earned_per_send * self._first_send_count
        return tokens >= max(MIN_HEDGE_TOKENS, earned / 2)

    def _max_tokens(self) -> float:
        return max(0.0, self._earned_per_send * self._first_send_count - self._retry_count)

    def _slice_index(self, now: float) -> int:
        return int(now // self._slice_s)

    def _expire(self, now: float) -> None:
        """Drop counts that left the window.

        First sends count while their whole slice lies in the window, retries while any of it does.
        """
        current = self._slice_index(now)
        while self._first_sends and self._first_sends[0].index <= current - SLICES:
            self._first_send_count -= self._first_sends.popleft().count
        while self._retries and self._retries[0].index < current - SLICES:
            self._retry_count -= self._retries.popleft().count


class RetryBudgets:
    """The local budgets of all services, each made when it is first needed."""

    def __init__(self, ratio: float, window_s: float) -> None:
        """Keep what every budget is made with; see `LocalRetryBudget`."""
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
    """How many sends fell into one slice of time, numbered from the clock's zero."""

    index: int
    count: int


def _increment(slices: deque[_SliceCount], index: int) -> None:
    if slices and slices[-1].index >= index:
        slices[-1].count += 1
    else:
        slices.append(_SliceCount(index, 1))
