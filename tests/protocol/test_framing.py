"""Decoding of frames from a byte stream, and rejection of invalid ones."""

from __future__ import annotations

import struct

import pytest

from roselink.protocol import framing
from roselink.protocol.exceptions import FrameError
from roselink.protocol.framing import FrameDecoder, FrameKind, encode_frame
from tests.protocol.messages import PingReply, PingRequest


def test_frames_are_decoded_from_chunks_of_any_size() -> None:
    stream = encode_frame(FrameKind.CALL, 7, PingRequest("a")) + encode_frame(
        FrameKind.REPLY, 8, PingReply("b")
    )
    for size in (1, 3, 50):
        decoder = FrameDecoder()
        found = []
        for start in range(0, len(stream), size):
            found += decoder.feed(stream[start : start + size])
        assert found == [(0, 7, PingRequest("a")), (1, 8, PingReply("b"))]


def broken_frames() -> list[bytes]:
    intact = encode_frame(FrameKind.CALL, 1, PingRequest("abc"))
    corrupted = bytearray(intact)
    corrupted[-1] ^= 1
    return [
        bytes(corrupted),
        b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n",
        struct.pack("!IIBHQ", framing.MAX_FRAME_BYTES + 1, 0, 0, 0xFF10, 1),
        struct.pack("!IIBHQ", 0, 0, 9, 0xFF10, 1),
        struct.pack("!IIBHQ", 0, 0, 0, 0xFF7E, 1),
    ]


@pytest.mark.parametrize("data", broken_frames())
def test_invalid_frame_is_rejected(data: bytes) -> None:
    with pytest.raises(FrameError):
        FrameDecoder().feed(data)
