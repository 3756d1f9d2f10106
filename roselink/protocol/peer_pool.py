"""The calling side: calls with one reply, and one-way notices, over one connection per peer.

A call has exactly one outcome: the reply, or None if it timed out or the connection was lost. After
None it is unknown whether the peer has processed the call.
"""

from __future__ import annotations

import asyncio
import itertools

from roselink.protocol.framing import Frame, FrameKind, encode_frame
from roselink.protocol.peer_connection import (
    Address,
    MessageHandler,
    PeerConnection,
    ReplyCallback,
)
from roselink.protocol.records import Record

# Time-out of a connection attempt, in seconds.
CONNECT_TIMEOUT_S = 0.6


class _Peer:
    """The connection to one address, opened on first use, and the frames queued for it."""

    def __init__(self, handler: MessageHandler, address: Address) -> None:
        self._handler = handler
        self._address = address
        self._connection: PeerConnection | None = None
        # Frames to send once the connection is established.
        self._queue: list[Frame] = []
        # The queued calls; those that have been sent are in the connection's `pending_calls`.
        self._queued_calls: dict[int, ReplyCallback] = {}
        self._connecting: asyncio.Task[None] | None = None

    def send(
        self, kind: FrameKind, call_number: int, message: Record, on_reply: ReplyCallback | None
    ) -> None:
        if self._connection is not None and self._connection.transport is not None:
            if on_reply is not None:
                self._connection.pending_calls[call_number] = on_reply
            self._connection.write(encode_frame(kind, call_number, message))
            return
        self._queue.append(Frame(kind, call_number, message))
        if on_reply is not None:
            self._queued_calls[call_number] = on_reply
        if self._connecting is None:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        connection = PeerConnection(self._handler, self._connection_closed)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, *self._address
                )
        except (OSError, TimeoutError):
            connection.abort()
            self._connecting = None
            self._fail_queued()
            return
        self._connecting = None
        if connection.transport is None:
            self._fail_queued()
            return
        self._connection = connection
        connection.pending_calls.update(self._queued_calls)
        self._queued_calls = {}
        queue = self._queue
        self._queue = []
        for frame in queue:
            connection.write(encode_frame(*frame))

    def _fail_queued(self) -> None:
        callbacks = list(self._queued_calls.values())
        self._queued_calls = {}
        self._queue = []
        for on_reply in callbacks:
            on_reply(None)

    def _connection_closed(self, connection: PeerConnection) -> None:
        if self._connection is connection:
            self._connection = None

    def expire(self, call_number: int, started_at: float) -> None:
        """End a call that timed out.

        If nothing was received on the connection since the call started, it may be dead and is
        aborted.
        """
        on_reply = self._queued_calls.pop(call_number, None)
        connection = self._connection
        if on_reply is None and connection is not None:
            on_reply = connection.pending_calls.pop(call_number, None)
            if on_reply is not None and connection.last_received_at < started_at:
                connection.abort()
        if on_reply is not None:
            on_reply(None)

    def close(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._connection is not None:
            self._connection.abort()
        self._fail_queued()


class PeerPool:
    """Sends calls and notices to any number of addresses, over one connection each."""

    def __init__(self, handler: MessageHandler) -> None:
        """`handler` gets the calls and notices that peers send on these connections."""
        self._handler = handler
        self._peers: dict[Address, _Peer] = {}
        self._call_numbers = itertools.count(1)

    def call(
        self, address: Address, message: Record, timeout_s: float, on_reply: ReplyCallback
    ) -> None:
        """Send a call; `on_reply` gets the reply, or None if there is none in `timeout_s`."""
        loop = asyncio.get_running_loop()
        number = next(self._call_numbers)
        peer = self._peer(address)
        timer: asyncio.TimerHandle | None = None

        def finish(reply: Record | None) -> None:
            if timer is not None:
                timer.cancel()
            on_reply(reply)

        timer = loop.call_later(timeout_s, peer.expire, number, loop.time())
        peer.send(FrameKind.CALL, number, message, finish)

    async def request(self, address: Address, message: Record, timeout_s: float) -> Record | None:
        """The same as `call`, for coroutines; returns the reply, or None."""
        outcome: asyncio.Future[Record | None] = asyncio.get_running_loop().create_future()

        def resolve(reply: Record | None) -> None:
            if not outcome.done():
                outcome.set_result(reply)

        self.call(address, message, timeout_s, resolve)
        return await outcome

    def notify(self, address: Address, message: Record) -> None:
        """Send a notice; it may be lost."""
        self._peer(address).send(FrameKind.NOTICE, 0, message, None)

    def disconnect(self, address: Address) -> None:
        """Close the connection to an address that is no longer needed."""
        peer = self._peers.pop(address, None)
        if peer is not None:
            peer.close()

    def close(self) -> None:
        """Close every connection; calls without a reply get None."""
        for address in list(self._peers):
            self.disconnect(address)

    def _peer(self, address: Address) -> _Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = _Peer(self._handler, address)
            self._peers[address] = peer
        return peer
