"""One TCP connection between two of roselink's processes, from either side.

Frames that can't be decoded are logged and end their connection.
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
# Called once for a call: with the reply, or with None when there is none.
ReplyCallback = Callable[[Record | None], None]
# Sends the reply to a call, once; for a notice it does nothing.
ReplySender = Callable[[Record], None]
# Takes a call or a notice: the peer's address, the message, and the way to reply.
MessageHandler = Callable[[Address, Record, ReplySender], None]

# A peer that doesn't read may leave so much unsent here before its connection ends.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
# Bytes that stay unacknowledged for so long end the connection (RFC 5482; `TCP_USER_TIMEOUT`).
USER_TIMEOUT_MS = 1500


class PeerConnection(asyncio.Protocol):
    """A connection, and the calls on it that have no reply yet."""

    def __init__(
        self, handler: MessageHandler, on_closed: Callable[[PeerConnection], None]
    ) -> None:
        """`handler` takes the peer's calls and notices; `on_closed` is called at the end."""
        self._handler = handler
        self._on_closed = on_closed
        self._decoder = FrameDecoder()
        self._peer: Address = ("", 0)
        self.transport: asyncio.Transport | None = None
        self.pending_calls: dict[int, ReplyCallback] = {}
        # When bytes arrived last, by the loop's clock.
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
        """Bytes arrived (`asyncio.Protocol`): dispatch each frame that they complete."""
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
        """Send bytes; a peer that leaves too many unread loses its connection."""
        if self.transport is None:
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    def abort(self) -> None:
        """End the connection at once; what is unsent is lost."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, _: Exception | None) -> None:
        """The connection has ended (`asyncio.Protocol`): its calls end with None."""
        self.transport = None
        callbacks = list(self.pending_calls.values())
        self.pending_calls = {}
        self._on_closed(self)
        for on_reply in callbacks:
            on_reply(None)


def _discard_reply(message: Record) -> None:
    """The reply to a notice: none."""
