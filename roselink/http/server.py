"""Listener and its client connections: connection limits, idle closes and draining."""

from __future__ import annotations

import asyncio
import itertools
import math
import select
import socket
from typing import TYPE_CHECKING

from roselink.http.descriptors import REFUSAL_DESCRIPTORS, Descriptors
from roselink.http.server_connection import ServerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.http.limits import SizeLimits, TimeLimits

# Length of the kernel's queue of connections to be accepted.
BACKLOG = 1024
# Time within which a first request is normally read here, or a last response by its client, in
# seconds.
MAX_READ_DELAY_S = 0.2
# Longest time to accept queued connections when the listener closes, however many still arrive.
BACKLOG_ACCEPT_S = 0.2
# Fraction of the descriptors that used client connections may take before the longest idle one is
# closed, to leave descriptors for new connections.
USED_FRACTION = 0.25
# Number of connections polled to find one to close: each poll costs a system call.
MAX_CLOSE_ATTEMPTS = 8


def _close_oldest(
    connections: dict[ServerConnection, None],
    close: Callable[[ServerConnection], bool],
    progress_before: float = math.inf,
) -> bool:
    """Close the oldest of the first few connections that can be closed; whether there was one."""
    for connection in list(itertools.islice(connections, MAX_CLOSE_ATTEMPTS)):
        if connection.last_progress_at >= progress_before:
            return False
        if close(connection):
            return True
    return False


class HttpServer:
    """All client connections of one listener."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        free_descriptor: Callable[[], bool],
        size_limits: SizeLimits,
    ) -> None:
        """Start without a listener.

        Args:
            loop: the event loop.
            descriptors: counts the open sockets of the process.
            free_descriptor: closes an idle connection to a host; returns whether there was one.
            size_limits: size limits of a request.
        """
        self.loop = loop
        self.size_limits = size_limits
        self._descriptors = descriptors
        self._free_descriptor = free_descriptor
        self._used_limit = int(descriptors.limit * USED_FRACTION)
        # The other half is for connections to hosts: each request needs one.
        self._connection_limit = descriptors.limit // 2
        self.connections: dict[ServerConnection, None] = {}
        # Connections without a byte of a request so far, the oldest first.
        self._unused: dict[ServerConnection, None] = {}
        # Connections between two requests, the longest idle first.
        self._idle: dict[ServerConnection, None] = {}
        # Connections whose last response was written, the earliest first.
        self._finishing: dict[ServerConnection, None] = {}
        # Each response closes its connection, unless a further request is already here.
        self.draining = False
        # Connections whose last response promised to keep them are closed at the response's end.
        self.closing_kept = False
        # No further request is read.
        self.requests_ended = False
        self._listener: asyncio.Server | None = None

    # Defined by subclasses.

    def time_limits(self) -> TimeLimits:
        """The time-outs of client connections that are in force now."""
        raise NotImplementedError

    def make_connection(self) -> ServerConnection:
        """Create the protocol of a new client connection."""
        raise NotImplementedError

    # Connections.

    async def listen(self, host: str, port: int) -> int:
        """Listen and return the port. Raises `OSError` if the address cannot be bound."""
        # Bound here, since the loop would start threads to resolve the host and import a codec for
        # its name.
        listening_socket = socket.create_server((host, port), backlog=BACKLOG)
        self._listener = await self.loop.create_server(
            self.make_connection, sock=listening_socket, backlog=BACKLOG
        )
        port_used: int = self._listener.sockets[0].getsockname()[1]
        return port_used

    def connection_opened(self, connection: ServerConnection) -> None:
        """Register a new connection; past the connection limit, close another one.

        Guards against floods of connections. Connections whose last response was written and those
        that never sent a byte are closed first, then idle ones, and never one with a request.
        """
        self._descriptors.used += 1
        self.connections[connection] = self._unused[connection] = None
        if len(self.connections) > self._connection_limit:
            self._close_another(connection)
        if self._descriptors.spare() <= -REFUSAL_DESCRIPTORS and not self._free_descriptor():
            connection.abort()

    def _close_another(self, newest: ServerConnection) -> None:
        read_before = self.loop.time() - MAX_READ_DELAY_S
        if (
            _close_oldest(self._finishing, ServerConnection.close_finished, read_before)
            or _close_oldest(self._unused, ServerConnection.close_idle, read_before)
            or _close_oldest(self._idle, ServerConnection.close_idle)
        ):
            return
        # Far past the limit, recent connections without a request are closed too.
        flooded = len(self.connections) > self._connection_limit + self._connection_limit // 4
        if flooded and next(iter(self._unused)) is not newest:
            _close_oldest(self._unused, ServerConnection.close_idle)

    def request_started(self, connection: ServerConnection) -> None:
        """Register the start of a request: the connection is not closed to free a descriptor."""
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)

    def connection_idle(self, connection: ServerConnection) -> None:
        """Register a connection as idle; past the limit of used ones, close the longest idle.

        Guards against clients that send one request and stay connected: their connections would
        leave no descriptors for others until the keep-alive time-out.
        """
        self._idle[connection] = None
        used = len(self.connections) - len(self._unused) - len(self._finishing)
        if used > self._used_limit and len(self._idle) > 1:
            _close_oldest(self._idle, ServerConnection.close_idle)

    def connection_finishing(self, connection: ServerConnection) -> None:
        """Register a connection whose last response was written and may still be unread."""
        self.request_started(connection)
        self._finishing[connection] = None

    def connection_closing(self, connection: ServerConnection) -> None:
        """Remove a connection that is closing; its descriptor is in use until it has closed."""
        self.connections.pop(connection, None)
        self._finishing.pop(connection, None)
        self.request_started(connection)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Release the descriptor of a connection whose transport has closed."""
        self._descriptors.used -= 1
        self.connection_closing(connection)

    def is_overloaded(self) -> bool:
        """Whether no descriptor is left to serve one more request.

        A request is refused then; the reserved descriptors serve to write such refusals.
        """
        without_request = len(self._unused) + len(self._idle) + len(self._finishing)
        return len(self.connections) - without_request > self._connection_limit

    def sweep(self) -> None:
        """Close connections that have exceeded a time-out."""
        now = self.loop.time()
        times = self.time_limits()
        for connection in list(self.connections):
            connection.sweep(now, times)

    async def stop_accepting(self) -> None:
        """Close the listener, after the load balancer in front has stopped sending connections.

        Connections queued in the kernel are accepted first, since the close would reset them. From
        then on, a connection is closed as soon as its response has ended.
        """
        self.closing_kept = True
        if self._listener is None:
            return
        poll = select.poll()
        poll.register(self._listener.sockets[0].fileno(), select.POLLIN)
        deadline = self.loop.time() + BACKLOG_ACCEPT_S
        while poll.poll(0) and self.loop.time() < deadline:
            await asyncio.sleep(0)
        self.stop_listening()

    def stop_listening(self) -> None:
        """Close the listener."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Close idle connections while draining.

        Connections without a request so far stay open for the time that a first request takes.
        """
        read_before = self.loop.time() - MAX_READ_DELAY_S
        for connection in list(self.connections):
            if connection.idle() and (
                connection not in self._unused or connection.last_progress_at < read_before
            ):
                connection.close_idle()
        for connection in list(self._finishing):
            connection.discard_if_peer_closed()

    def end_requests(self) -> None:
        """Read no further request: refuse those that are not complete, and close at each response.

        A request that is complete still gets its response.
        """
        self.requests_ended = True
        for connection in list(self.connections):
            connection.end_incomplete_request()
