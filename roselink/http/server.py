"""All client connections of one listener: room for new ones, idle ends, draining."""

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

# Connections that may wait in the kernel to be accepted.
BACKLOG = 1024
# After this time a first request would have been read here, or a last response by the client.
MAX_READ_DELAY_S = 0.2
# For connections that wait to be accepted when the listener closes, however many still come.
BACKLOG_ACCEPT_S = 0.2
# Of the descriptors: past it the longest idle client connection ends, for new ones to come.
USED_FRACTION = 0.25
# Connections examined to make room for one: each examination costs a system call.
MAX_CLOSE_ATTEMPTS = 8


def _close_oldest(
    connections: dict[ServerConnection, None],
    close: Callable[[ServerConnection], bool],
    progress_before: float = math.inf,
) -> bool:
    """End one of the first few, the oldest that can be ended; whether there was one."""
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
            descriptors: the sockets of the whole process.
            free_descriptor: closes an idle connection to a host; whether there was one.
            size_limits: what a request may hold.
        """
        self.loop = loop
        self.size_limits = size_limits
        self._descriptors = descriptors
        self._free_descriptor = free_descriptor
        self._used_limit = int(descriptors.limit * USED_FRACTION)
        # The other half is the hosts': each request needs one there.
        self._connection_limit = descriptors.limit // 2
        self.connections: dict[ServerConnection, None] = {}
        # No byte of a request yet, the oldest first.
        self._unused: dict[ServerConnection, None] = {}
        # Between two requests, the longest idle first.
        self._idle: dict[ServerConnection, None] = {}
        # Have their last response, the longest first.
        self._finishing: dict[ServerConnection, None] = {}
        self.draining = False
        self._listener: asyncio.Server | None = None

    # What a subclass defines.

    def time_limits(self) -> TimeLimits:
        """How long clients may take, as it is in force now."""
        raise NotImplementedError

    def make_connection(self) -> ServerConnection:
        """A new client connection."""
        raise NotImplementedError

    # The connections.

    async def listen(self, host: str, port: int) -> int:
        """Listen; the port. Raises `OSError` when the address can't be bound."""
        # Bound here: for a host's name the loop starts threads that resolve it, and imports what
        # encodes it.
        listening_socket = socket.create_server((host, port), backlog=BACKLOG)
        self._listener = await self.loop.create_server(
            self.make_connection, sock=listening_socket, backlog=BACKLOG
        )
        port_used: int = self._listener.sockets[0].getsockname()[1]
        return port_used

    def connection_opened(self, connection: ServerConnection) -> None:
        """Past the clients' part of the descriptors each new connection ends another.

        Guards against floods: first go those that have their last response and those that never
        sent anything, then idle ones, never one with a request.
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
        flooded = len(self.connections) > self._connection_limit + self._connection_limit // 4
        if flooded and next(iter(self._unused)) is not newest:
            _close_oldest(self._unused, ServerConnection.close_idle)

    def request_started(self, connection: ServerConnection) -> None:
        """A request has begun: the connection is not ended to make room."""
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)

    def connection_idle(self, connection: ServerConnection) -> None:
        """It is between two requests.

        Clients may hold so many connections here and no more: guards against those that ask once
        and stay, which would take the places of all others for as long as they may.
        """
        self._idle[connection] = None
        used = len(self.connections) - len(self._unused) - len(self._finishing)
        if used > self._used_limit and len(self._idle) > 1:
            _close_oldest(self._idle, ServerConnection.close_idle)

    def connection_finishing(self, connection: ServerConnection) -> None:
        """It has its last response, and needs no more than time to read it."""
        self._finishing[connection] = None

    def connection_closing(self, connection: ServerConnection) -> None:
        """Ended, though its descriptor is in use until the loop comes round to it."""
        self.connections.pop(connection, None)
        self._finishing.pop(connection, None)
        self.request_started(connection)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Its transport has closed: the descriptor is free."""
        self._descriptors.used -= 1
        self.connection_closing(connection)

    def is_overloaded(self) -> bool:
        """Whether there are no descriptors left to serve one more request.

        Then it is refused, not started. The reserved descriptors serve to refuse.
        """
        without_request = len(self._unused) + len(self._idle) + len(self._finishing)
        return len(self.connections) - without_request > self._connection_limit

    def sweep(self) -> None:
        """Close what has taken too long."""
        now = self.loop.time()
        times = self.time_limits()
        for connection in list(self.connections):
            connection.sweep(now, times)

    async def stop_accepting(self) -> None:
        """The front has stopped sending connections: no more are taken.

        Those that wait in the kernel have been accepted by this machine, and are taken first: the
        close would reset them.
        """
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
        """While draining: close idle connections.

        Those that brought no request yet stay for the time that a first one takes.
        """
        read_before = self.loop.time() - MAX_READ_DELAY_S
        for connection in list(self.connections):
            if connection.idle() and (
                connection not in self._unused or connection.last_progress_at < read_before
            ):
                connection.close_idle()
