"""Calls over real loopback sockets; each ends with exactly one outcome."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from roselink.protocol.peer_pool import PeerPool
from roselink.protocol.peer_server import PeerServer
from tests.protocol.messages import PingReply, PingRequest
from tests.support.event_loop import on_loop

if TYPE_CHECKING:
    from roselink.protocol.peer_connection import Address, ReplySender


def ignore(*_: object) -> None:
    """Message handler that ignores calls and notices."""


def echo(_: Address, message: Any, reply: ReplySender) -> None:
    reply(PingReply(message.text))


@on_loop
async def test_calls_get_their_own_replies() -> None:
    pending: list[tuple[str, ReplySender]] = []

    def queue_reply(_: Address, message: Any, reply: ReplySender) -> None:
        pending.append((message.text, reply))

    server = PeerServer(queue_reply)
    port = await server.listen("127.0.0.1", 0)
    pool = PeerPool(ignore)
    requests = [
        asyncio.ensure_future(pool.request(("127.0.0.1", port), PingRequest(t), 5.0)) for t in "abc"
    ]
    while len(pending) < 3:
        await asyncio.sleep(0)
    for text, reply in reversed(pending):
        reply(PingReply(text))
    assert await asyncio.gather(*requests) == [PingReply("a"), PingReply("b"), PingReply("c")]
    pool.close()
    server.close()


@on_loop
async def test_call_to_a_closed_port_ends_with_none() -> None:
    server = PeerServer(echo)
    port = await server.listen("127.0.0.1", 0)
    server.close()
    pool = PeerPool(ignore)
    assert await pool.request(("127.0.0.1", port), PingRequest("x"), 5.0) is None


@on_loop
async def test_closed_connection_ends_its_calls_and_the_next_call_reconnects() -> None:
    server = PeerServer(ignore)
    port = await server.listen("127.0.0.1", 0)
    pool = PeerPool(ignore)
    request = asyncio.ensure_future(pool.request(("127.0.0.1", port), PingRequest("x"), 5.0))
    while not server._connections:
        await asyncio.sleep(0)
    server.close()
    assert await request is None
    restarted = PeerServer(echo)
    await restarted.listen("127.0.0.1", port)
    assert await pool.request(("127.0.0.1", port), PingRequest("y"), 5.0) == PingReply("y")
    pool.close()
    restarted.close()


@on_loop
async def test_call_timeout_aborts_a_connection_without_received_bytes() -> None:
    server = PeerServer(ignore)
    port = await server.listen("127.0.0.1", 0)
    pool = PeerPool(ignore)
    assert await pool.request(("127.0.0.1", port), PingRequest("x"), 0.05) is None
    while server._connections:
        await asyncio.sleep(0)
    pool.close()
    server.close()


@on_loop
async def test_reply_after_the_timeout_is_discarded() -> None:
    """The connection stays open, because another call has got its reply on it meanwhile."""
    pending: list[ReplySender] = []

    def reply_late(_: Address, message: Any, reply: ReplySender) -> None:
        if message.text == "late":
            pending.append(reply)
        else:
            reply(PingReply(message.text))

    server = PeerServer(reply_late)
    port = await server.listen("127.0.0.1", 0)
    pool = PeerPool(ignore)
    outcomes: list[object] = []
    address = ("127.0.0.1", port)
    pool.call(address, PingRequest("late"), 0.1, outcomes.append)
    while not pending:
        await asyncio.sleep(0.001)
    assert await pool.request(address, PingRequest("soon"), 5.0) == PingReply("soon")
    while not outcomes:
        await asyncio.sleep(0.001)
    pending[0](PingReply("late"))
    assert await pool.request(address, PingRequest("soon"), 5.0) == PingReply("soon")
    assert outcomes == [None]
    pool.close()
    server.close()


@on_loop
async def test_invalid_frame_closes_only_its_own_connection() -> None:
    server = PeerServer(echo)
    port = await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
    with contextlib.suppress(ConnectionResetError):
        assert await reader.read() == b""
    writer.close()
    pool = PeerPool(ignore)
    assert await pool.request(("127.0.0.1", port), PingRequest("x"), 5.0) == PingReply("x")
    pool.close()
    server.close()
