"""A token bucket that whoever owns it fills explicitly; it reads no clock."""

from __future__ import annotations


class TokenBucket:
    """A capped number of tokens. On retries: without a cap they multiply the load of an outage.

    Attributes:
        tokens: What is left, in tokens.
        filled_us: When it was last filled, in microseconds, for owners that fill it by time; the
            bucket itself does not use it.
    """

    def __init__(self, tokens: float) -> None:
        """Start with `tokens` tokens."""
        self.tokens = tokens
        self.filled_us = 0

    def earn(self, tokens: float, cap: float) -> None:
        """Add `tokens`, up to at most `cap` in all; tokens above a lower `cap` are lost."""
        self.tokens = min(cap, self.tokens + tokens)

    def spend(self) -> bool:
        """Take one whole token; False, with nothing taken, when there is less than one."""
        self.tokens -= (allowed := self.tokens >= 1.0)
        return allowed
