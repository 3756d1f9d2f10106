"""Closes of client connections by the gateway that coincide with a request or a response in
transit: a request that the kernel has received when the gateway closes must get a response.
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
from tests.support.fake_hosts import send_bytes, serve_ok
from tests.support.gateway_clients import BlockingClient, client_request
from tests.support.gateway_harness import GatewayHarness, accepted_requests, running_gateway
from tests.support.http_messages import response

if TYPE_CHECKING:
    from collections.abc import Callable


async def idle_connection(harness: GatewayHarness) -> tuple[BlockingClient, ServerConnection]:
    """A client that has received a response, and its idle connection."""
    client = BlockingClient(harness.gateway.port)
    client.send()
    await until(lambda: bool(harness.gateway.server._idle))
    assert client.socket.recv(65536).startswith(b"HTTP/1.1 200")
    return client, next(iter(harness.gateway.server._idle))


async def received(client: BlockingClient) -> bytes:
    """The next bytes received; empty at the end of the connection, also by a reset."""
    client.socket.setblocking(False)
    try:
        return await asyncio.get_running_loop().sock_recv(client.socket, 65536)
    except ConnectionError:
        return b""


def sweep(server: Server, connection: ServerConnection) -> None:
    connection.last_progress_at -= 1000.0
    server.sweep()


def idle_limit(server: Server, connection: ServerConnection) -> None:
    server._used_limit = -1
    server.connection_idle(next(other for other in server.connections if other is not connection))


def connection_limit(server: Server, connection: ServerConnection) -> None:
    server._close_another(connection)


def drain(server: Server, connection: ServerConnection) -> None:
    server.close_idle()


@pytest.mark.parametrize("close", [sweep, idle_limit, connection_limit, drain])
@on_loop
async def test_an_idle_connection_with_an_unread_request_is_not_closed(
    close: Callable[[Server, ServerConnection], None],
) -> None:
    async with running_gateway(serve_ok) as harness, harness.client():
        client, connection = await idle_connection(harness)
        await until(lambda: len(harness.gateway.server.connections) == 2)
        client.send()
        close(harness.gateway.server, connection)
        assert (await received(client)).startswith(b"HTTP/1.1 200")
        await until(connection.idle)
        harness.gateway.server.close_idle()  # nothing is in transit now
        assert await received(client) == b""


@on_loop
async def test_connections_in_the_backlog_are_served_before_the_listener_closes() -> None:
    async with running_gateway(serve_ok) as harness:
        clients = [BlockingClient(harness.gateway.port) for _ in range(20)]
        for client in clients:
            client.send()
        harness.gateway.server.drain(1000.0, 1000.0)
        await harness.gateway.server.stop_accepting()
        for client in clients:
            assert (await received(client)).startswith(b"HTTP/1.1 200")
        with pytest.raises(ConnectionRefusedError):
            BlockingClient(harness.gateway.port)


@on_loop
async def test_a_drain_waits_for_the_first_request_of_a_new_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_server, "MAX_READ_DELAY_S", 1000.0)
    async with running_gateway(serve_ok) as harness:
        client = BlockingClient(harness.gateway.port)
        await until(lambda: bool(harness.gateway.server.connections))
        harness.gateway.server.drain(1000.0, 1000.0)
        harness.gateway.server.close_idle()
        client.send()
        assert b"Connection: close" in await received(client)


async def unread_response(harness: GatewayHarness) -> tuple[BlockingClient, ServerConnection]:
    """A client that has not read its response, and its connection, which has most of it unsent: the
    kernel's buffers on both sides are too small for the response.
    """
    client = BlockingClient(harness.gateway.port, receive_buffer=4096)
    await until(lambda: bool(harness.gateway.server.connections))
    [connection] = harness.gateway.server.connections
    transport = connection._transport
    assert transport is not None
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.send()
    await until(lambda: connection._writing_paused)
    assert transport.get_write_buffer_size() > BODY_LIMIT // 2
    return client, connection


@on_loop
async def test_a_drain_does_not_cut_off_an_unsent_response() -> None:
    async with running_gateway(send_bytes(response(b"x" * BODY_LIMIT))) as harness:
        client, connection = await unread_response(harness)
        harness.gateway.server.close_idle()
        assert connection in harness.gateway.server.connections
        data = b""
        while data.count(b"x") < BODY_LIMIT and (part := await received(client)):
            data += part
        assert data.count(b"x") == BODY_LIMIT
        await until(connection.idle)


@on_loop
async def test_a_slow_client_receives_the_complete_last_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls: list[ServerConnection] = []
    close_after_linger = ServerConnection._close_after_linger

    def record_call(connection: ServerConnection) -> None:
        calls.append(connection)
        close_after_linger(connection)

    monkeypatch.setattr(server_connection, "LINGER_S", 0.001)
    monkeypatch.setattr(ServerConnection, "_close_after_linger", record_call)
    async with running_gateway(send_bytes(response(b"x" * BODY_LIMIT))) as harness:
        client, connection = await unread_response(harness)
        connection._keep_alive = False
        connection._close(discard=True)
        await until(lambda: len(calls) >= 3 or connection._transport is None)  # expired each time
        data = b""
        while part := await received(client):
            data += part
        assert data.count(b"x") == BODY_LIMIT


@pytest.mark.parametrize(
    "close", [ServerConnection._close_after_linger, ServerConnection.close_finished]
)
@on_loop
async def test_a_last_response_is_not_lost_by_a_reset_when_more_bytes_arrive(
    close: Callable[[ServerConnection], object], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client is slow and sends another request: the gateway's kernel has the complete
    response, but most of it has not reached the client's kernel.
    """
    monkeypatch.setattr(server_connection, "LINGER_S", 1000.0)
    async with running_gateway(send_bytes(response(b"x" * BODY_LIMIT))) as harness:
        client = BlockingClient(harness.gateway.port, receive_buffer=4096)
        harness.gateway.server.draining = True
        client.send()
        await until(lambda: bool(harness.gateway.server._finishing))
        [connection] = harness.gateway.server._finishing
        assert not connection._writing_paused
        client.send()
        close(connection)
        data_received = b""
        while data := await received(client):
            data_received += data
        assert data_received.count(b"x") == BODY_LIMIT
        close(connection)  # nothing is in transit now
        await until(lambda: not harness.gateway.server.connections)


@on_loop
async def test_a_drain_serves_an_unread_pipelined_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """The second, pipelined request is in the kernel when the first response is written."""
    async with running_gateway(serve_ok) as harness:
        client, respond = BlockingClient(harness.gateway.port), ClientConnection.respond
        harness.gateway.server.draining = True

        def send_then_respond(connection: ClientConnection, *reply: object) -> None:
            if not harness.hosts[0].seen[1:]:
                client.send()
            respond(connection, *reply)  # type: ignore[arg-type]

        monkeypatch.setattr(ClientConnection, "respond", send_then_respond)
        client.send()
        data_received = b""
        while data := await received(client):
            data_received += data
        assert data_received.count(b"HTTP/1.1 200 OK") == 2
        assert (
            data_received.count(b"Connection: keep-alive")
            == data_received.count(b"Connection: close")
            == 1
        )


@on_loop
async def test_a_request_after_the_last_response_is_discarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client sees the end of the connection and retries on a new one."""
    monkeypatch.setattr(server_connection, "LINGER_S", 1000.0)
    async with running_gateway(serve_ok) as harness:
        requests, client = accepted_requests(harness), BlockingClient(harness.gateway.port)
        harness.gateway.server.draining = True
        client.send()
        await until(lambda: bool(harness.gateway.server._finishing))
        [connection] = harness.gateway.server._finishing
        client.send()
        await until(lambda: connection._discarded_bytes > 0)
        assert b"Connection: close" in await received(client)
        assert await received(client) == b""
        assert len(requests) == len(harness.hosts[0].seen) == 1


@on_loop
async def test_a_half_read_request_gets_503_when_a_drain_ends() -> None:
    async with running_gateway(serve_ok) as harness:
        requests, client = accepted_requests(harness), BlockingClient(harness.gateway.port)
        _, data = client_request("/audit/k", b"xyz")
        client.socket.sendall(data[:-1])
        await until(lambda: any(c._in_request for c in harness.gateway.server.connections))
        harness.gateway.server.draining = True
        harness.gateway.server.end_requests()
        data_received = await received(client)
        assert data_received.startswith(b"HTTP/1.1 503")
        assert b"Connection: close" in data_received
        assert await received(client) == b""
        assert requests == []


@on_loop
async def test_late_requests_in_a_drain_get_a_shorter_deadline() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        requests = accepted_requests(harness)
        for short_deadline_after_s in (1000.0, 0.0):
            harness.gateway.server.draining = False
            harness.gateway.server.drain(short_deadline_after_s, 2.5)
            harness.gateway.server.draining = (
                False  # so that the connection is kept for the second request
            )
            assert (await client.request(Request_Timeout_Ms="4000")).status == 200
        early, late = (request.expires for request in requests)
        assert late == harness.gateway.server.checks._short_deadline
        assert early > late
