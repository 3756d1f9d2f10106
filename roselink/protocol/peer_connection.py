"""One TCP connection between two roselink processes; both ends use the same class.

A frame that can't be decoded is logged, and the connection is aborted.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from functools import partial
from typing import cast

from roselink.protocol.exceptions import FrameError
from roselink.protocol.framing import FrameDecoder, FrameKind, encode_frame
from roselink.protocol.records import Record

log = logging.getLogger("roselink.protocol")

# IP address and port.
Address = tuple[str, int]
# Called once per call, with the reply, or with None if there is none.
ReplyCallback = Callable[[Record | None], None]
# Sends the reply to a call; must be called once. For a notice it does nothing.
ReplySender = Callable[[Record], None]
# Handles a call or a notice; takes the peer's address, the message and the reply function.
MessageHandler = Callable[[Address, Record, ReplySender], None]

# Maximum size of the write buffer; the connection to a peer that reads too slowly is aborted. A
# larger value tolerates slower peers; a smaller one limits the memory per connection.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
# Time for which sent bytes may stay unacknowledged before the kernel closes the connection
# (RFC 5482; `TCP_USER_TIMEOUT`).
USER_TIMEOUT_MS = 1500


class PeerConnection(asyncio.Protocol):
    """A connection and its calls that have no reply yet."""

    def __init__(
        self, handler: MessageHandler, on_closed: Callable[[PeerConnection], None]
    ) -> None:
        """`handler` gets the peer's calls and notices; `on_closed` is called after the close."""
        self._handler = handler
        self._on_closed = on_closed
        self._decoder = FrameDecoder()
        self._peer: Address = ("", 0)
        self.transport: asyncio.Transport | None = None
        self.pending_calls: dict[int, ReplyCallback] = {}
        # When bytes were last received, in seconds of the loop's clock.
        self.last_received_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established (`asyncio.Protocol`)."""
        self.transport = cast("asyncio.Transport", transport)
        peer = transport.get_extra_info("peername") or ("", 0)
        self._peer = (peer[0], peer[1])
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Bytes were received (`asyncio.Protocol`): dispatch the frames that they complete."""
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            frames = self._decoder.feed(data)
        except FrameError as error:
            log.warning(
                "peer_frame_rejected peer=%s code=%s error=%s", self._peer[0], error.code, error
            )
            self.abort()
            return
        for kind, call_number, message in frames:
            if kind == FrameKind.REPLY:
                on_reply = self.pending_calls.pop(call_number, None)
                if on_reply is not None:
                    on_reply(message)
            else:
                reply = (
                    partial(self._send_reply, call_number)
                    if kind == FrameKind.CALL
                    else _discard_reply
                )
                self._handler(self._peer, message, reply)

    def _send_reply(self, call_number: int, message: Record) -> None:
        self.write(encode_frame(FrameKind.REPLY, call_number, message))

    def write(self, data: bytes) -> None:
        """Send bytes; aborts the connection if more than `MAX_UNSENT_BYTES` are buffered."""
        if self.transport is None:
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once; unsent bytes are lost."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, _: Exception | None) -> None:
        """The connection was closed (`asyncio.Protocol`): pending calls get None."""
        self.transport = None
        callbacks = list(self.pending_calls.values())
        self.pending_calls = {}
        self._on_closed(self)
        for on_reply in callbacks:
            on_reply(None)


def _discard_reply(message: Record) -> None:
    """Discard the reply to a notice: none is sent."""
