"""Polls a socket's state right before an action that cannot be undone.

The loop reports received bytes and ends of streams in its next iteration only, and not at all while
reading is paused. So the socket is polled before it is closed, and before a request is sent for a
client that may have disconnected.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketPoller:
    """Polls the socket of one connection, for as long as its transport is open."""

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        """Register the socket of an open transport."""
        self._poll = select.poll()
        self._poll.register(
            transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP
        )

    def _events(self) -> int:
        return next((events for _, events in self._poll.poll(0)), 0)

    def has_unread(self) -> bool:
        """Whether the socket has unread bytes or an end of stream."""
        return bool(self._events())

    def peer_closed(self) -> bool:
        """Whether the peer has shut down its sending side or closed the connection.

        Some of the bytes that it sent may still be unread.
        """
        return bool(self._events() & _DISCONNECT_EVENTS)

    def was_reset(self) -> bool:
        """Whether the connection is closed in both directions.

        That is so after a reset, but not after an end of stream alone.
        """
        return bool(self._events() & (select.POLLHUP | select.POLLERR))
