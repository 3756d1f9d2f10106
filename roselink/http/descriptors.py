"""Accounting of the process's file descriptors."""

from __future__ import annotations

# Descriptors reserved for other uses: listener, event loop, standard streams, watch, reload.
OWN_DESCRIPTORS = 24
# Descriptors reserved for accepting clients beyond the limit, to respond that they are refused.
REFUSAL_DESCRIPTORS = 12
RESERVED = OWN_DESCRIPTORS + REFUSAL_DESCRIPTORS


class Descriptors:
    """Counts the open sockets to clients and to hosts.

    Keeps the process below its descriptor limit: past it an accept or a connect fails where no
    response can be sent to a client.
    """

    def __init__(self, limit: int) -> None:
        """Start with all of `limit` but the reserved ones unused."""
        self.limit = max(1, limit - RESERVED)
        self.used = 0

    def spare(self) -> int:
        """Number of sockets that may still be opened; negative past the limit."""
        return self.limit - self.used
