"""The socket of the calls of discovery, which no client can take."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.http.address import Address


async def connect(connection: socket.socket, address: Address) -> None:
    """Connects a socket that does not block.

    (The loop's own call has threads resolve what is an address.)

    Raises:
        OSError: The connection failed.
    """
    error = connection.connect_ex(address)
    if error == errno.EINPROGRESS:
        loop = asyncio.get_running_loop()
        up = asyncio.Event()
        loop.add_writer(connection, up.set)
        try:
            await up.wait()
        finally:
            loop.remove_writer(connection)
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


class ReservedSocket:
    """The descriptor of the calls.

    The socket of the next call is made in the very turn in which the one before is closed: clients
    that take every descriptor there is find none in between.
    """

    def __init__(self) -> None:
        """Makes the socket of the first call."""
        self._next: socket.socket | None = self._new_socket()

    @staticmethod
    def _new_socket() -> socket.socket:
        new = socket.socket()
        new.setblocking(False)  # noqa: FBT003 - the signature of `socket`
        return new

    def take(self) -> socket.socket:
        """The socket of the next call."""
        taken = self._next or self._new_socket()
        self._next = None
        return taken

    def replace(self, used: socket.socket) -> None:
        """Closes one at once, whatever the loop still keeps of it, and makes the next."""
        os.close(used.detach())
        if self._next is None:
            self._next = self._new_socket()
