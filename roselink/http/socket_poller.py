"""A look at a socket right before something is done with it that cannot be taken back.

The loop tells of bytes and ends in its next turn only, and of neither while reading is paused. What
is about to be closed, or written for someone who may have left, is asked here first.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketPoller:
    """One connection's socket, for as long as its transport is open."""

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        """Watch the socket of an open transport."""
        self._poll = select.poll()
        self._poll.register(
            transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP
        )

    def _events(self) -> int:
        return next((events for _, events in self._poll.poll(0)), 0)

    def has_unread(self) -> bool:
        """Whether bytes, or the end, have come that this process has not read yet."""
        return bool(self._events())

    def peer_closed(self) -> bool:
        """Whether the peer has ended its sending or is gone.

        Some of what it sent may still be unread.
        """
        return bool(self._events() & _DISCONNECT_EVENTS)

    def was_reset(self) -> bool:
        """Whether the connection is gone in both directions.

        A reset leaves it so, an end does not.
        """
        return bool(self._events() & (select.POLLHUP | select.POLLERR))
