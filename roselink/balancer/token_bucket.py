"""Token bucket: the budget of retries and the rate of a tenant's quota."""

from __future__ import annotations


class TokenBucket:
    """A capped budget. On retries: without one they multiply the load of an outage."""

    def __init__(self, tokens: float) -> None:
        """Starts with `tokens`."""
        self.tokens = tokens
        self.filled_us = 0

    def earn(self, tokens: float, cap: float) -> None:
        """Adds tokens, up to `cap` in all."""
        self.tokens = min(cap, self.tokens + tokens)

    def spend(self) -> bool:
        """Takes one token; whether there was a whole one."""
        allowed = self.tokens >= 1.0
        self.tokens -= allowed
        return allowed
