"""Every close of a client connection by the gateway's choice, crossed by a request or by an answer
that is on its way: what lies in the kernel when the gateway closes has been taken, and is owed an
answer.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from roselink.gateway.server import ClientConnection, Server
from roselink.http import server as http_server
from roselink.http import server_connection
from roselink.http.host_connection import BODY_LIMIT
from roselink.http.server_connection import ServerConnection
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import sends, serve_ok
from tests.support.gateway_clients import SuddenClient
from tests.support.gateway_harness import World, taken, world
from tests.support.http_messages import answer

if TYPE_CHECKING:
    from collections.abc import Callable


async def resting(w: World) -> tuple[SuddenClient, ServerConnection]:
    """A client that has had an answer, and its connection, which rests."""
    client = SuddenClient(w.gateway.port)
    client.send()
    await until(lambda: bool(w.gateway.server._idle))
    assert client.socket.recv(65536).startswith(b"HTTP/1.1 200")
    return client, next(iter(w.gateway.server._idle))


async def received(client: SuddenClient) -> bytes:
    """What comes next; empty at the connection's end, which a reset is too."""
    client.socket.setblocking(False)
    try:
        return await asyncio.get_running_loop().sock_recv(client.socket, 65536)
    except ConnectionError:
        return b""


def sweep(to: Server, connection: ServerConnection) -> None:
    connection.last_progress_at -= 1000.0
    to.sweep()


def rest_of_others(to: Server, connection: ServerConnection) -> None:
    to._used_limit = -1
    to.connection_idle(next(other for other in to.connections if other is not connection))


def room(to: Server, connection: ServerConnection) -> None:
    to._close_another(connection)


def drain(to: Server, connection: ServerConnection) -> None:
    to.close_idle()


@pytest.mark.parametrize("close", [sweep, rest_of_others, room, drain])
@on_loop
async def test_a_close_of_an_idle_connection_looks_for_a_request_first(
    close: Callable[[Server, ServerConnection], None],
) -> None:
    async with world(serve_ok) as w, w.client():
        client, connection = await resting(w)
        await until(lambda: len(w.gateway.server.connections) == 2)
        client.send()
        close(w.gateway.server, connection)
        assert (await received(client)).startswith(b"HTTP/1.1 200")
        await until(connection.idle)
        w.gateway.server.close_idle()  # nothing crosses this one
        assert await received(client) == b""


@on_loop
async def test_connections_not_yet_accepted_are_served_before_the_listener_closes() -> None:
    async with world(serve_ok) as w:
        clients = [SuddenClient(w.gateway.port) for _ in range(20)]
        for client in clients:
            client.send()
        w.gateway.server.drain(1000.0, 1000.0)
        await w.gateway.server.stop_accepting()
        for client in clients:
            assert (await received(client)).startswith(b"HTTP/1.1 200")
        with pytest.raises(ConnectionRefusedError):
            SuddenClient(w.gateway.port)


@on_loop
async def test_a_drain_leaves_a_new_connection_the_time_for_its_first_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_server, "MAX_READ_DELAY_S", 1000.0)
    async with world(serve_ok) as w:
        client = SuddenClient(w.gateway.port)
        await until(lambda: bool(w.gateway.server.connections))
        w.gateway.server.drain(1000.0, 1000.0)
        w.gateway.server.close_idle()
        client.send()
        assert b"Connection: close" in await received(client)


async def unread(w: World) -> tuple[SuddenClient, ServerConnection]:
    """A client that has not read its answer, and its connection, which holds most of it: the
    kernel's buffers on both sides are small, so that the answer can never fit into them.
    """
    client = SuddenClient(w.gateway.port, receive_buffer=4096)
    await until(lambda: bool(w.gateway.server.connections))
    [connection] = w.gateway.server.connections
    transport = connection._transport
    assert transport is not None
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.send()
    await until(lambda: connection._writing_paused)
    assert transport.get_write_buffer_size() > BODY_LIMIT // 2
    return client, connection


@on_loop
async def test_a_drain_ends_no_answer_that_is_not_yet_with_the_kernel() -> None:
    async with world(sends(answer(b"x" * BODY_LIMIT))) as w:
        client, connection = await unread(w)
        w.gateway.server.close_idle()
        assert connection in w.gateway.server.connections
        data = b""
        while data.count(b"x") < BODY_LIMIT and (part := await received(client)):
            data += part
        assert data.count(b"x") == BODY_LIMIT
        await until(connection.idle)


@on_loop
async def test_a_last_answer_is_read_whole_however_slowly(monkeypatch: pytest.MonkeyPatch) -> None:
    looks: list[ServerConnection] = []
    lingered = ServerConnection._close_after_linger

    def look(connection: ServerConnection) -> None:
        looks.append(connection)
        lingered(connection)

    monkeypatch.setattr(server_connection, "LINGER_S", 0.001)
    monkeypatch.setattr(ServerConnection, "_close_after_linger", look)
    async with world(sends(answer(b"x" * BODY_LIMIT))) as w:
        client, connection = await unread(w)
        connection._keep_alive = False
        connection._close()
        await until(lambda: len(looks) >= 3 or connection._transport is None)  # over each time
        data = b""
        while part := await received(client):
            data += part
        assert data.count(b"x") == BODY_LIMIT


@pytest.mark.parametrize(
    "close", [ServerConnection._close_after_linger, ServerConnection.close_finished]
)
@on_loop
async def test_a_last_answer_is_not_reset_by_what_still_comes(
    close: Callable[[ServerConnection], object], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A slow client: its answer is with this kernel, most of it not with its own yet, and it sends
    on.
    """
    monkeypatch.setattr(server_connection, "LINGER_S", 1000.0)
    async with world(sends(answer(b"x" * BODY_LIMIT))) as w:
        client = SuddenClient(w.gateway.port, receive_buffer=4096)
        w.gateway.server.draining = True
        client.send()
        await until(lambda: bool(w.gateway.server._finishing))
        [connection] = w.gateway.server._finishing
        assert not connection._writing_paused
        client.send()
        close(connection)
        got = b""
        while data := await received(client):
            got += data
        assert got.count(b"x") == BODY_LIMIT
        close(connection)  # nothing crosses this one
        await until(lambda: not w.gateway.server.connections)


@on_loop
async def test_a_last_answer_looks_for_what_was_sent_ahead(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client sends ahead: its second request is in the kernel in the turn of the first answer."""
    async with world(serve_ok) as w:
        client, whole = SuddenClient(w.gateway.port), ClientConnection.respond
        w.gateway.server.draining = True

        def cross(connection: ClientConnection, *reply: object) -> None:
            if not w.hosts[0].seen[1:]:
                client.send()
            whole(connection, *reply)  # type: ignore[arg-type]

        monkeypatch.setattr(ClientConnection, "respond", cross)
        client.send()
        got = b""
        while data := await received(client):
            got += data
        assert got.count(b"HTTP/1.1 200 OK") == 2
        assert got.count(b"Connection: keep-alive") == got.count(b"Connection: close") == 1


@on_loop
async def test_what_comes_after_the_shutdown_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its client is told by the end, and sends it once more on a new connection."""
    monkeypatch.setattr(server_connection, "LINGER_S", 1000.0)
    async with world(serve_ok) as w:
        asked, client = taken(w), SuddenClient(w.gateway.port)
        w.gateway.server.draining = True
        client.send()
        await until(lambda: bool(w.gateway.server._finishing))
        [connection] = w.gateway.server._finishing
        client.send()
        await until(lambda: connection._discarded_bytes > 0)
        assert b"Connection: close" in await received(client)
        assert await received(client) == b""
        assert len(asked) == len(w.hosts[0].seen) == 1


@on_loop
async def test_what_comes_late_in_a_drain_is_answered_before_the_kill() -> None:
    async with world(serve_ok) as w, w.client() as client:
        asked = taken(w)
        for taken_s in (1000.0, 0.0):
            w.gateway.server.draining = False
            w.gateway.server.drain(taken_s, 2.5)
            w.gateway.server.draining = (
                False  # so that its connection is kept for the second request
            )
            assert (await client.ask(Request_Timeout_Ms="4000")).status == 200
        early, late = (request.expires for request in asked)
        assert late == w.gateway.server.checks._short_deadline
        assert early > late
