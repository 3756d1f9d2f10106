"""All client connections of one listener: room for new ones, idle ends, draining."""

from __future__ import annotations

import asyncio
import itertools
import math
import select
import socket
from typing import TYPE_CHECKING

from roselink.http.descriptors import LENT, Descriptors
from roselink.http.server_connection import ServerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.http.limits import SizeLimits, TimeLimits

BACKLOG = 1024  # connections that may wait in the kernel to be accepted
# after which a first request would have been read here, or a last answer by the client
UNHEARD_S = 0.2
# for connections that wait to be accepted when the listener closes, however many still come
TAKE_S = 0.2
# of the descriptors: past it the longest idle client connection ends, for new ones to come
HEARD_PART = 0.25
END_TRIES = 8  # connections looked at to make room for one: each look costs a system call


def _end_one(
    connections: dict[ServerConnection, None],
    end: Callable[[ServerConnection], bool],
    changed_before: float = math.inf,
) -> bool:
    """End one of the first few, the oldest that can be ended; whether there was one."""
    for connection in list(itertools.islice(connections, END_TRIES)):
        if connection.last_change >= changed_before:
            return False
        if end(connection):
            return True
    return False


class HttpServer:
    """All client connections of one listener."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        make_room: Callable[[], bool],
        sizes: SizeLimits,
    ) -> None:
        self.loop, self.sizes = loop, sizes
        self._descriptors, self._make_room = descriptors, make_room
        self._heard_most = int(descriptors.limit * HEARD_PART)
        self._most = (
            descriptors.limit // 2
        )  # the other half is the hosts': each request needs one there
        self.connections: dict[ServerConnection, None] = {}
        self._unheard: dict[
            ServerConnection, None
        ] = {}  # no byte of a request yet, the oldest first
        self._resting: dict[ServerConnection, None] = {}  # between requests, the longest idle first
        self._leaving: dict[
            ServerConnection, None
        ] = {}  # have their last answer, the longest first
        self.draining = False
        self._listener: asyncio.Server | None = None

    # What a subclass says.

    def times(self) -> TimeLimits:
        raise NotImplementedError

    def connection(self) -> ServerConnection:
        """A new client connection."""
        raise NotImplementedError

    # The crowd of connections.

    async def listen(self, host: str, port: int) -> int:
        # Bound here: for a host's name the loop starts threads that resolve it, and imports what
        # encodes it.
        bound = socket.create_server((host, port), backlog=BACKLOG)
        self._listener = await self.loop.create_server(self.connection, sock=bound, backlog=BACKLOG)
        port_used: int = self._listener.sockets[0].getsockname()[1]
        return port_used

    def joined(self, connection: ServerConnection) -> None:
        """Past the clients' part of the descriptors each new connection ends another. Guards
        against floods: first go those that have their last answer and those that never said
        anything, then those between two requests, never one with a request.
        """
        self._descriptors.used += 1
        self.connections[connection] = self._unheard[connection] = None
        if len(self.connections) > self._most:
            self._end_another(connection)
        if self._descriptors.spare() <= -LENT and not self._make_room():
            connection.abort()

    def _end_another(self, newest: ServerConnection) -> None:
        settled = self.loop.time() - UNHEARD_S
        if (
            _end_one(self._leaving, ServerConnection.close_left, settled)
            or _end_one(self._unheard, ServerConnection.close_idle, settled)
            or _end_one(self._resting, ServerConnection.close_idle)
        ):
            return
        flooded = len(self.connections) > self._most + self._most // 4
        if flooded and next(iter(self._unheard)) is not newest:
            _end_one(self._unheard, ServerConnection.close_idle)

    def awake(self, connection: ServerConnection) -> None:
        """A request has begun: the connection is not ended to make room."""
        self._unheard.pop(connection, None)
        self._resting.pop(connection, None)

    def rests(self, connection: ServerConnection) -> None:
        """It is between two requests. Clients may hold so many connections here and no more: guards
        against those that ask once and stay, which would take the places of all others for as long
        as they may.
        """
        self._resting[connection] = None
        heard = len(self.connections) - len(self._unheard) - len(self._leaving)
        if heard > self._heard_most and len(self._resting) > 1:
            _end_one(self._resting, ServerConnection.close_idle)

    def leaves(self, connection: ServerConnection) -> None:
        """It has its last answer, and needs no more than time to read it."""
        self._leaving[connection] = None

    def closes(self, connection: ServerConnection) -> None:
        """Ended, though its descriptor is in use until the loop comes round to it."""
        self.connections.pop(connection, None)
        self._leaving.pop(connection, None)
        self.awake(connection)

    def left(self, connection: ServerConnection) -> None:
        self._descriptors.used -= 1
        self.closes(connection)

    def crowded(self) -> bool:
        """Whether there are no descriptors left to serve one more: then it is turned away, not
        started. Part of the reserved ones serves to tell those clients.
        """
        quiet = len(self._unheard) + len(self._resting) + len(self._leaving)
        return len(self.connections) - quiet > self._most

    def sweep(self) -> None:
        now, times = self.loop.time(), self.times()
        for connection in list(self.connections):
            connection.sweep(now, times)

    async def stop_taking(self) -> None:
        """The front has stopped sending connections: no more are taken. Those that wait in the
        kernel have been accepted by this machine, and are taken first: the close would reset them.
        """
        if self._listener is None:
            return
        poll = select.poll()
        poll.register(self._listener.sockets[0].fileno(), select.POLLIN)
        end = self.loop.time() + TAKE_S
        while poll.poll(0) and self.loop.time() < end:
            await asyncio.sleep(0)
        self.stop_listening()

    def stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """While draining: end those between two requests, and those of which none came in the time
        that a first one takes.
        """
        settled = self.loop.time() - UNHEARD_S
        for connection in list(self.connections):
            if connection.idle() and (
                connection not in self._unheard or connection.last_change < settled
            ):
                connection.close_idle()
