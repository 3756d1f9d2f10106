"""How many sockets the process may still open."""

from __future__ import annotations

# Descriptors for what is no connection: listener, event loop, standard streams, watch, reload.
OWN_DESCRIPTORS = 24
# Descriptors for refusing clients that find none left.
REFUSAL_DESCRIPTORS = 12
RESERVED = OWN_DESCRIPTORS + REFUSAL_DESCRIPTORS


class Descriptors:
    """Counts the open sockets of both sides.

    Guards against running into the process's limit, where an accept or a connect fails at a place
    from which no client can be answered any more.
    """

    def __init__(self, limit: int) -> None:
        """Start with all of `limit` but the reserved ones unused."""
        self.limit = max(1, limit - RESERVED)
        self.used = 0

    def spare(self) -> int:
        """How many may still be opened; below zero past the limit."""
        return self.limit - self.used
