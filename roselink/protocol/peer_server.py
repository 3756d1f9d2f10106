"""The listening side: accepts peers' connections and receives their calls and notices."""

from __future__ import annotations

import asyncio
import socket

from roselink.protocol.peer_connection import MessageHandler, PeerConnection

# Maximum number of connections that the kernel queues until they are accepted.
BACKLOG = 1024


class PeerServer:
    """Accepts peers' connections. The reply to a call may be sent after the handler returns."""

    def __init__(self, handler: MessageHandler) -> None:
        """`handler` gets each call and notice, and the function that sends the reply."""
        self._handler = handler
        self._connections: set[PeerConnection] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start listening; returns the port, which the kernel chooses if `port` is 0.

        Raises:
            OSError: the address can't be bound.
        """
        bound = socket.create_server((host, port), backlog=BACKLOG)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._make_connection, sock=bound)
        return int(bound.getsockname()[1])

    def _make_connection(self) -> PeerConnection:
        connection = PeerConnection(self._handler, self._connections.discard)
        self._connections.add(connection)
        return connection

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.abort()
