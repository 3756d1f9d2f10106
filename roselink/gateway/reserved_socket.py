"""A socket reserved for calls of discovery, so that clients cannot use its descriptor."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.http.address import Address


async def connect(connection: socket.socket, address: Address) -> None:
    """Connects a non-blocking socket.

    (The loop's own function would start threads to resolve the numeric address.)

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
    """Reserves one descriptor for the calls of discovery.

    The next call's socket is created in the same loop iteration that closes the previous one, so
    that clients that use up all descriptors cannot take it in between.
    """

    def __init__(self) -> None:
        """Creates the socket of the first call."""
        self._next: socket.socket | None = self._new_socket()

    @staticmethod
    def _new_socket() -> socket.socket:
        new = socket.socket()
        new.setblocking(False)  # noqa: FBT003 - the signature of `socket`
        return new

    def take(self) -> socket.socket:
        """Takes the reserved socket for the next call."""
        taken = self._next or self._new_socket()
        self._next = None
        return taken

    def replace(self, used: socket.socket) -> None:
        """Closes a used socket at once, also if the loop refers to it, and reserves the next."""
        os.close(used.detach())
        if self._next is None:
            self._next = self._new_socket()
