"""A token bucket that its owner fills explicitly; it reads no clock."""

from __future__ import annotations


class TokenBucket:
    """A capped number of tokens. Uncapped retries would multiply the load during an outage.

    Attributes:
        tokens: The tokens available.
        filled_us: When it was last filled, in microseconds, for owners that fill it by time; the
            bucket itself does not use it.
    """

    def __init__(self, tokens: float) -> None:
        """Start with `tokens` tokens."""
        self.tokens = tokens
        self.filled_us = 0

    def earn(self, tokens: float, cap: float) -> None:
        """Add `tokens`, up to `cap` in total; tokens above a lowered `cap` are lost."""
        self.tokens = min(cap, self.tokens + tokens)

    def spend(self) -> bool:
        """Take one token; False, with nothing taken, if less than one is available."""
        self.tokens -= (allowed := self.tokens >= 1.0)
        return allowed
