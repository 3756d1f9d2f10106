"""Frames: records with a header, in sequence on a TCP connection.

A header consists of the payload's length and CRC-32, the kind of frame, the record number and the
call number, in network byte order.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum
from typing import Any, NamedTuple

from roselink.protocol.exceptions import FrameError, RecordError
from roselink.protocol.records import Record, decode, encode, record_number_of

# Payload length, checksum, kind, record number, call number.
_HEADER = struct.Struct("!IIBHQ")
MAX_FRAME_BYTES = 32 * 1024 * 1024
# Reasons of a `FrameError`, as they are logged.
_INVALID_HEADER = "invalid frame header"
_BAD_CHECKSUM = "checksum"


class FrameKind(IntEnum):
    """The role of a frame: a call, the reply to one, or a one-way notice."""

    CALL = 0
    REPLY = 1
    NOTICE = 2


_HIGHEST_KIND = max(FrameKind)


class Frame(NamedTuple):
    """One decoded frame; `call_number` is 0 for a notice."""

    kind: FrameKind
    call_number: int
    message: Any


def encode_frame(kind: FrameKind, call_number: int, message: Record) -> bytes:
    """The message as a frame, header included."""
    payload = encode(message)
    record_number = record_number_of(message)
    return (
        _HEADER.pack(len(payload), zlib.crc32(payload), kind, record_number, call_number) + payload
    )


class FrameDecoder:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        """Create a decoder for the beginning of a stream."""
        self._buffered = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Append received bytes; returns the frames that they complete.

        Raises:
            FrameError: the stream is invalid; the decoder must not be used again.
        """
        self._buffered += data
        frames = []
        position = 0
        while len(self._buffered) - position >= _HEADER.size:
            size, checksum, kind, record_number, call_number = _HEADER.unpack_from(
                self._buffered, position
            )
            if size > MAX_FRAME_BYTES or kind > _HIGHEST_KIND:
                raise FrameError(_INVALID_HEADER)
            end = position + _HEADER.size + size
            if end > len(self._buffered):
                break
            payload = bytes(self._buffered[position + _HEADER.size : end])
            if zlib.crc32(payload) != checksum:
                raise FrameError(_BAD_CHECKSUM)
            try:
                message = decode(record_number, payload)
            except RecordError as error:
                raise FrameError(str(error)) from None
            frames.append(Frame(FrameKind(kind), call_number, message))
            position = end
        del self._buffered[:position]
        return frames
