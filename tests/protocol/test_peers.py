"""Calls between processes on real loopback sockets: each ends with one outcome."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pytest

from roselink.protocol import framing
from roselink.protocol.exceptions import FrameError
from roselink.protocol.framing import FrameDecoder, FrameKind, encode_frame
from roselink.protocol.peer_pool import PeerPool
from roselink.protocol.peer_server import PeerServer
from roselink.protocol.records import record
from tests.support.net import on_loop

if TYPE_CHECKING:
    from roselink.protocol.peer_connection import Address, ReplySender


@record(0xFF10)
@dataclass(frozen=True, slots=True)
class Question:
    """A call."""

    text: str


@record(0xFF11)
@dataclass(frozen=True, slots=True)
class Answer:
    """Its answer."""

    text: str


def ignore(*_: object) -> None:
    """A pool that takes no calls."""


def echo(_: Address, message: Any, reply: ReplySender) -> None:
    reply(Answer(message.text))


@on_loop
async def test_calls_get_their_own_answers() -> None:
    held: list[tuple[str, ReplySender]] = []

    def hold(_: Address, message: Any, reply: ReplySender) -> None:
        held.append((message.text, reply))

    server = PeerServer(hold)
    port = await server.listen("127.0.0.1", 0)
    pool = PeerPool(ignore)
    asked = [
        asyncio.ensure_future(pool.request(("127.0.0.1", port), Question(t), 5.0)) for t in "abc"
    ]
    while len(held) < 3:
        await asyncio.sleep(0)
    for text, reply in reversed(held):
        reply(Answer(text))
    assert await asyncio.gather(*asked) == [Answer("a"), Answer("b"), Answer("c")]
    pool.close()
    server.close()


@on_loop
async def test_a_dead_port_ends_a_call_with_none() -> None:
    server = PeerServer(echo)
    port = await server.listen("127.0.0.1", 0)
    server.close()
    pool = PeerPool(ignore)
    assert await pool.request(("127.0.0.1", port), Question("x"), 5.0) is None


@on_loop
async def test_a_closed_connection_ends_its_calls_and_the_next_call_connects_again() -> None:
    server = PeerServer(ignore)
    port = await server.listen("127.0.0.1", 0)
    pool = PeerPool(ignore)
    asked = asyncio.ensure_future(pool.request(("127.0.0.1", port), Question("x"), 5.0))
    while not server._connections:
        await asyncio.sleep(0)
    server.close()
    assert await asked is None
    again = PeerServer(echo)
    await again.listen("127.0.0.1", port)
    assert await pool.request(("127.0.0.1", port), Question("y"), 5.0) == Answer("y")
    pool.close()
    again.close()


@on_loop
async def test_a_silent_peer_ends_a_call_at_its_time_and_loses_its_connection() -> None:
    server = PeerServer(ignore)
    port = await server.listen("127.0.0.1", 0)
    pool = PeerPool(ignore)
    assert await pool.request(("127.0.0.1", port), Question("x"), 0.05) is None
    while server._connections:
        await asyncio.sleep(0)
    pool.close()
    server.close()


@on_loop
async def test_an_answer_after_its_time_reaches_nobody() -> None:
    """The connection lives, as another call was answered on it meanwhile."""
    held: list[ReplySender] = []

    def answers_late(_: Address, message: Any, reply: ReplySender) -> None:
        if message.text == "late":
            held.append(reply)
        else:
            reply(Answer(message.text))

    server = PeerServer(answers_late)
    port = await server.listen("127.0.0.1", 0)
    pool = PeerPool(ignore)
    got: list[object] = []
    address = ("127.0.0.1", port)
    pool.call(address, Question("late"), 0.1, got.append)
    while not held:
        await asyncio.sleep(0.001)
    assert await pool.request(address, Question("soon"), 5.0) == Answer("soon")
    while not got:
        await asyncio.sleep(0.001)
    held[0](Answer("late"))
    assert await pool.request(address, Question("soon"), 5.0) == Answer("soon")
    assert got == [None]
    pool.close()
    server.close()


def test_frames_are_found_in_any_pieces() -> None:
    whole = encode_frame(FrameKind.CALL, 7, Question("a")) + encode_frame(
        FrameKind.REPLY, 8, Answer("b")
    )
    for size in (1, 3, 50):
        decoder = FrameDecoder()
        found = []
        for at in range(0, len(whole), size):
            found += decoder.feed(whole[at : at + size])
        assert found == [(0, 7, Question("a")), (1, 8, Answer("b"))]


def broken_frames() -> list[bytes]:
    good = encode_frame(FrameKind.CALL, 1, Question("abc"))
    flipped = bytearray(good)
    flipped[-1] ^= 1
    return [
        bytes(flipped),
        b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n",
        struct.pack("!IIBHQ", framing.MAX_FRAME_BYTES + 1, 0, 0, 0xFF10, 1),
        struct.pack("!IIBHQ", 0, 0, 9, 0xFF10, 1),
        struct.pack("!IIBHQ", 0, 0, 0, 0xFF7E, 1),
    ]


@pytest.mark.parametrize("data", broken_frames())
def test_what_is_no_frame_is_refused(data: bytes) -> None:
    with pytest.raises(FrameError):
        FrameDecoder().feed(data)


@on_loop
async def test_a_peer_that_sends_no_frame_loses_its_connection_only() -> None:
    server = PeerServer(echo)
    port = await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
    with contextlib.suppress(ConnectionResetError):
        assert await reader.read() == b""
    writer.close()
    pool = PeerPool(ignore)
    assert await pool.request(("127.0.0.1", port), Question("x"), 5.0) == Answer("x")
    pool.close()
    server.close()
