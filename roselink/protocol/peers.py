"""Connections between roselink's processes: records over TCP, calls with one answer, one-way
notices.

A call ends with exactly one outcome: the answer, or None when none came in time or the connection
broke; None says nothing about whether the other side acted. Frames that can't be read are counted,
logged and end their connection.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import socket
import struct
import zlib
from collections.abc import Callable
from functools import partial
from typing import Any, cast

from roselink.protocol.records import RecordError, decode, encode, record_number_of

log = logging.getLogger("roselink.protocol")

Address = tuple[str, int]
Done = Callable[[Any], None]
Reply = Callable[[Any], None]
Handler = Callable[[Address, Any, Reply], None]

_HEAD = struct.Struct("!IIBHQ")  # payload bytes, checksum, kind, record number, call number
_CALL, _ANSWER, _NOTICE = 0, 1, 2
MAX_FRAME = 32 * 1024 * 1024
MAX_UNSENT = (
    8 * 1024 * 1024
)  # bytes that a peer which doesn't read may leave here before its connection ends
CONNECT_TIMEOUT_S = 0.6
USER_TIMEOUT_MS = 1500  # unacknowledged bytes for so long end the connection
BACKLOG = 1024


class FrameError(ValueError):
    """The stream holds no frame here."""


def frame(kind: int, call: int, message: object) -> bytes:
    """One message as it goes on the wire."""
    payload = encode(message)
    return (
        _HEAD.pack(len(payload), zlib.crc32(payload), kind, record_number_of(message), call)
        + payload
    )


class FrameReader:
    """Cuts a stream into frames."""

    def __init__(self) -> None:
        self._unread = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, int, Any]]:
        """The (kind, call number, message) of each frame that `data` completes; raises
        `FrameError`.
        """
        self._unread += data
        whole = []
        at = 0
        while len(self._unread) - at >= _HEAD.size:
            size, checksum, kind, number, call = _HEAD.unpack_from(self._unread, at)
            if size > MAX_FRAME or kind > _NOTICE:
                raise FrameError("no frame")
            end = at + _HEAD.size + size
            if end > len(self._unread):
                break
            payload = bytes(self._unread[at + _HEAD.size : end])
            if zlib.crc32(payload) != checksum:
                raise FrameError("checksum")
            try:
                whole.append((kind, call, decode(number, payload)))
            except RecordError as error:
                raise FrameError(str(error)) from None
            at = end
        del self._unread[:at]
        return whole


class _Connection(asyncio.Protocol):
    """One TCP connection, either side of it."""

    def __init__(self, handler: Handler, closed: Callable[[_Connection], None]) -> None:
        self._handler, self._closed = handler, closed
        self._reader = FrameReader()
        self.transport: asyncio.Transport | None = None
        self.peer: Address = ("", 0)
        self.calls: dict[int, Done] = {}
        self.heard_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        peer = transport.get_extra_info("peername") or ("", 0)
        self.peer = (peer[0], peer[1])
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        try:
            frames = self._reader.feed(data)
        except FrameError as error:
            log.warning("peer_frame_bad peer=%s error=%s", self.peer[0], error)
            self.drop()
            return
        for kind, call, message in frames:
            if kind == _ANSWER:
                done = self.calls.pop(call, None)
                if done is not None:
                    done(message)
            else:
                reply = partial(self._answer, call) if kind == _CALL else _ignore
                self._handler(self.peer, message, reply)

    def _answer(self, call: int, message: object) -> None:
        self.write(frame(_ANSWER, call, message))

    def write(self, data: bytes) -> None:
        if self.transport is None:
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT:
            self.drop()

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        calls, self.calls = self.calls, {}
        self._closed(self)
        for done in calls.values():
            done(None)


def _ignore(message: object) -> None:
    """The reply to a notice: none."""


class PeerServer:
    """Takes calls and notices; `handler(peer, message, reply)` may call `reply` later, once."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._connections: set[_Connection] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start to listen; returns the port. Raises OSError when the address can't be had."""
        bound = socket.create_server((host, port), backlog=BACKLOG)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._connected, sock=bound)
        return int(bound.getsockname()[1])

    def _connected(self) -> _Connection:
        connection = _Connection(self._handler, self._connections.discard)
        self._connections.add(connection)
        return connection

    def close(self) -> None:
        """Stop listening and end every connection."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.drop()


class _Peer:
    """The connection to one address, made when first needed, and what waits for it."""

    def __init__(self, pool: PeerPool, address: Address) -> None:
        self.pool, self.address = pool, address
        self.connection: _Connection | None = None
        self.waiting: list[tuple[int, int, object]] = []
        self.pending: dict[int, Done] = {}
        self.connecting: asyncio.Task[None] | None = None

    def send(self, kind: int, call: int, message: object, done: Done | None) -> None:
        if self.connection is not None and self.connection.transport is not None:
            if done is not None:
                self.connection.calls[call] = done
            self.connection.write(frame(kind, call, message))
            return
        self.waiting.append((kind, call, message))
        if done is not None:
            self.pending[call] = done
        if self.connecting is None:
            self.connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        connection = _Connection(self.pool.handler, self._lost)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, *self.address
                )
        except (OSError, TimeoutError):
            connection.drop()
            self.connecting = None
            self._fail()
            return
        self.connecting = None
        if connection.transport is None:
            self._fail()
            return
        self.connection = connection
        connection.calls.update(self.pending)
        self.pending = {}
        waiting, self.waiting = self.waiting, []
        for kind, call, message in waiting:
            connection.write(frame(kind, call, message))

    def _fail(self) -> None:
        pending, self.pending = self.pending, {}
        self.waiting = []
        for done in pending.values():
            done(None)

    def _lost(self, connection: _Connection) -> None:
        if self.connection is connection:
            self.connection = None

    def expire(self, call: int, began: float) -> None:
        """A call is overdue. A connection that brought nothing since it began may be dead: it
        goes.
        """
        done = self.pending.pop(call, None)
        connection = self.connection
        if done is None and connection is not None:
            done = connection.calls.pop(call, None)
            if done is not None and connection.heard_at < began:
                connection.drop()
        if done is not None:
            done(None)

    def close(self) -> None:
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if self.connection is not None:
            self.connection.drop()
        self._fail()


class PeerPool:
    """Calls and notices to any number of addresses, one connection each."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self._peers: dict[Address, _Peer] = {}
        self._numbers = itertools.count(1)

    def call(self, address: Address, message: object, timeout_s: float, done: Done) -> None:
        """Send a call; `done` gets the answer, or None if none came within `timeout_s`."""
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        peer = self._peer(address)
        timer: asyncio.TimerHandle | None = None

        def finish(answer: Any) -> None:
            if timer is not None:
                timer.cancel()
            done(answer)

        timer = loop.call_later(timeout_s, peer.expire, number, loop.time())
        peer.send(_CALL, number, message, finish)

    async def ask(self, address: Address, message: object, timeout_s: float) -> Any:
        """`call` for coroutines: the answer, or None."""
        answered: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

        def settle(answer: Any) -> None:
            if not answered.done():
                answered.set_result(answer)

        self.call(address, message, timeout_s, settle)
        return await answered

    def notify(self, address: Address, message: object) -> None:
        """Send a notice; it may be lost."""
        self._peer(address).send(_NOTICE, 0, message, None)

    def forget(self, address: Address) -> None:
        """End the connection to an address that is not needed any more."""
        peer = self._peers.pop(address, None)
        if peer is not None:
            peer.close()

    def close(self) -> None:
        """End every connection; open calls get None."""
        for address in list(self._peers):
            self.forget(address)

    def _peer(self, address: Address) -> _Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = _Peer(self, address)
        return peer
