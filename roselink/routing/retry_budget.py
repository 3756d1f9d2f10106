"""The local retry budget of one service: a token bucket whose tokens expire with the window of the
rule.

The rule counts over all gateways: in any window, repeats <= ratio * requests + slack. Each gateway
keeps its own repeats within its share of the ratio, taken over its own first sends of the last
window, so the sum over any number of gateways keeps the ratio. The slack is lent by one owner for
all and never counted here.
"""

from __future__ import annotations

from collections import deque

from roselink.routing.token_bucket import TokenBucket

EARNED_PART = 0.9  # of the told ratio: first sends that fail before they arrive earn as well
SLICES = 20  # parts of the window that are counted together


class LocalRetryBudget:
    """Asked before every attempt beyond the first. Times in seconds; `ratio`: repeats for each
    first send.
    """

    def __init__(self, ratio: float, window_s: float) -> None:
        self._share = EARNED_PART * ratio
        self._slice_s = window_s / SLICES
        self._bucket = TokenBucket(0.0)
        self._firsts: deque[list[int]] = deque()  # [slice, count], oldest first
        self._repeats: deque[list[int]] = deque()
        self._first_count = self._repeat_count = 0

    def first_send(self, now: float) -> None:
        """Count a first send: it passes ungated and earns its part of a token."""
        self._expire(now)
        self._first_count += 1
        _count(self._firsts, self._slice(now))
        self._bucket.earn(self._share, self._cap())

    def spend(self, now: float) -> bool:
        """Take one token for a retry or a hedge; False when there is none."""
        self.tokens(now)
        if not self._bucket.spend():
            return False
        self._repeat_count += 1
        _count(self._repeats, self._slice(now))
        return True

    def tokens(self, now: float) -> float:
        """What is left to spend now."""
        self._expire(now)
        self._bucket.earn(0.0, self._cap())
        return self._bucket.tokens

    def rich(self, now: float) -> bool:
        """Whether more than half of what the window earned is unspent, and at least two tokens."""
        return self.tokens(now) >= max(2.0, self._share * self._first_count / 2)

    def _cap(self) -> float:
        return max(0.0, self._share * self._first_count - self._repeat_count)

    def _slice(self, now: float) -> int:
        return int(now // self._slice_s)

    def _expire(self, now: float) -> None:
        """First sends count while their whole slice lies in the window, repeats while any of it
        does.
        """
        current = self._slice(now)
        while self._firsts and self._firsts[0][0] <= current - SLICES:
            self._first_count -= self._firsts.popleft()[1]
        while self._repeats and self._repeats[0][0] < current - SLICES:
            self._repeat_count -= self._repeats.popleft()[1]


def _count(slices: deque[list[int]], index: int) -> None:
    if slices and slices[-1][0] >= index:
        slices[-1][1] += 1
    else:
        slices.append([index, 1])
