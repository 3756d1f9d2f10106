"""How many sockets the process may still open."""

from __future__ import annotations

# descriptors for what is no connection: listener, event loop, standard streams, watch, reload
OWN = 24
LENT = 12  # descriptors on which those are told that find none left
RESERVED = OWN + LENT


class Descriptors:
    """Counts the open sockets of both sides.

    Guards against running into the process's limit, where an accept or a connect fails at a place
    that can no longer answer anyone.
    """

    def __init__(self, limit: int) -> None:
        self.limit = max(1, limit - RESERVED)
        self.used = 0

    def spare(self) -> int:
        """How many may still be opened; below zero past the limit."""
        return self.limit - self.used
