"""Time-outs of client connections, and closing of connections to free descriptors."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from roselink.gateway import server
from roselink.gateway.server import RECEIVE_TIMEOUT_S, WRITE_TIMEOUT_S
from roselink.http import server as http_server
from roselink.http import server_connection
from roselink.http.descriptors import RESERVED
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import FakeHost, hang, send_bytes, serve_ok
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.http_messages import response

if TYPE_CHECKING:
    from roselink.http.server_connection import ServerConnection
    from tests.support.gateway_clients import Client


async def read_to_end(client: Client) -> bytes:
    """Read until the gateway closes the connection."""
    return await client.reader.read()


async def only_connection(harness: GatewayHarness) -> ServerConnection:
    """Wait for the gateway to accept one client connection; returns it."""
    await until(lambda: len(harness.gateway.server.connections) == 1)
    return next(iter(harness.gateway.server.connections))


@on_loop
async def test_an_incomplete_request_gets_408_after_the_receive_timeout() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        client.writer.write(b"GET /status-check/k HTTP/1.1\r\nX:")
        await until(lambda: any(c._in_request for c in harness.gateway.server.connections))
        for connection in harness.gateway.server.connections:
            connection.last_progress_at -= RECEIVE_TIMEOUT_S + 1
        assert (await client.receive()).status == 408
        assert await read_to_end(client) == b""


@on_loop
async def test_a_client_that_does_not_read_responses_is_disconnected() -> None:
    """Unread responses would accumulate in memory."""
    async with (
        running_gateway(send_bytes(response(b"x" * 60_000))) as harness,
        harness.client() as client,
    ):
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connections = harness.gateway.server.connections
        while not any(c._writing_paused for c in connections):
            client.send()
            await asyncio.sleep(0)
        for connection in connections:
            connection.last_progress_at -= WRITE_TIMEOUT_S + 1
        await until(lambda: not connections)


@on_loop
async def test_idle_clients_are_closed_and_requests_past_the_limit_get_503() -> None:
    """Descriptors are counted, so that an accept never fails where no response can be sent."""
    async with running_gateway(hang, limits={"sockets": RESERVED + 8}) as harness:
        idle = await harness.client().__aenter__()
        assert (await idle.request("/up", method="GET")).status == 200
        busy = []
        for number in range(4):
            busy.append(await harness.client().__aenter__())
            busy[-1].send()
            await until(
                lambda number=number: len(harness.gateway.engine._unanswered_ids) == number + 1  # type: ignore[misc]
            )
        assert await read_to_end(idle) == b""
        async with harness.client() as client:
            for _ in range(2):  # on one connection: a refusal must not cost a new one each time
                got = await client.request()
                assert (got.status, got.headers["connection"]) == (503, "keep-alive")
        for client in busy:
            client.writer.close()


@on_loop
async def test_connections_without_a_request_are_closed_before_idle_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Idle connections between two requests belong to normal clients, so connections that never
    sent a byte are closed first.
    """
    async with (
        running_gateway(serve_ok, limits={"sockets": RESERVED + 16}) as harness,
        harness.client() as usual,
    ):
        assert (await usual.request()).status == 200
        monkeypatch.setattr(http_server, "MAX_READ_DELAY_S", -1.0)
        silent = [await harness.client().__aenter__() for _ in range(30)]
        assert await read_to_end(silent[0]) == b""
        assert (await usual.request()).status == 200
        await until(lambda: len(harness.gateway.server.connections) == 8)
        for client in silent:
            client.writer.close()


@on_loop
async def test_a_burst_of_connections_leaves_descriptors_for_hosts() -> None:
    """New connections may have a first request in transit, but they must not use the descriptors
    reserved for connections to hosts.
    """
    async with (
        running_gateway(serve_ok, limits={"sockets": RESERVED + 16}) as harness,
        harness.client() as usual,
    ):
        assert (await usual.request()).status == 200
        silent = [await harness.client().__aenter__() for _ in range(30)]
        await read_to_end(silent[0])
        await until(lambda: harness.gateway.server._descriptors.used <= 12)
        async with harness.client() as late:
            assert (await late.request()).status == 200
        for client in silent:
            client.writer.close()


@on_loop
async def test_pipelined_requests_are_parsed_only_a_few_ahead() -> None:
    """Each parsed request costs its checks and memory, and a normal client waits for one at a
    time.
    """
    async with running_gateway(hang) as harness, harness.client() as client:
        for _ in range(300):
            client.send()
        await harness.hosts[0].arrivals.get()
        await until(lambda: all(c._reading_paused for c in harness.gateway.server.connections))
        (connection,) = harness.gateway.server.connections
        assert len(connection._pending) < 20
        assert connection._unparsed


@pytest.mark.parametrize("start", [b"GET /status-check/k HTTP/1.1\r\nX:", b"G", b"\r\n", b""])
@on_loop
async def test_a_client_that_trickles_bytes_is_timed_out(
    start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The time-out counts from the first byte: a client must not extend it by sending more
    bytes.
    """
    monkeypatch.setattr(server, "RECEIVE_TIMEOUT_S", 0.3)
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        end = asyncio.ensure_future(read_to_end(client))
        while not end.done():
            client.writer.write(start[:1])
            start = start[1:] + start[:1]
            await asyncio.sleep(0.02)
        # A byte sent while the gateway closes makes the close a reset, which ends the connection
        # too.
        with contextlib.suppress(ConnectionResetError):
            assert await end == b"" or b" 408 " in await end or b" 400 " in await end


@on_loop
async def test_up_reports_whether_hosts_are_listed() -> None:
    async with running_gateway() as harness, harness.client() as client:
        assert (await client.request("/up", method="GET")).status == 503
        host = await FakeHost().start()
        harness.discovery.send_changes(host.entry())
        await until(lambda: len(harness.gateway.engine.hosts) == 1)
        assert (await client.request("/up", method="GET")).status == 200
        harness.gateway.server.draining = True
        assert (await client.request("/up", method="GET")).status == 503


@on_loop
async def test_idle_connections_with_one_request_have_a_shorter_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With client churn, 625 clients per minute sent one request and stayed connected, and their
    connections used up memory and descriptors.
    """
    async with (
        running_gateway(serve_ok) as harness,
        harness.client() as once,
        harness.client() as usual,
    ):
        for _ in range(2):
            assert (await usual.request()).status == 200
        monkeypatch.setattr(server, "IDLE_AFTER_FIRST_TIMEOUT_S", -1.0)
        assert (await once.request()).status == 200
        assert await read_to_end(once) == b""
        assert (await usual.request()).status == 200


@on_loop
async def test_lingering_connections_are_closed_for_new_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections that linger after an error response are closed before a new client is refused."""
    monkeypatch.setattr(server_connection, "LINGER_S", 1000.0)
    monkeypatch.setattr(http_server, "MAX_READ_DELAY_S", -1.0)
    async with running_gateway(serve_ok, limits={"sockets": RESERVED + 16}) as harness:
        bad = [await harness.client().__aenter__() for _ in range(8)]
        for client in bad:
            client.writer.write(b"what is this\r\n\r\n")
            assert (await client.receive()).status == 400
        async with harness.client() as usual:
            assert (await usual.request()).status == 200
            await until(lambda: len(harness.gateway.server.connections) == 8)
        for client in bad:
            client.writer.close()


@on_loop
async def test_the_longest_idle_connection_is_closed_past_the_idle_limit() -> None:
    """Regression: 128 clients that sent one request and stayed held all client connections for 2 s
    each, and two of three requests were refused. Past a limit, the longest idle connection is
    closed.
    """
    async with (
        running_gateway(serve_ok, limits={"sockets": RESERVED + 40}) as harness,
        harness.client() as usual,
    ):
        stayed = [await harness.client().__aenter__() for _ in range(15)]
        for client in stayed:
            # used in between, it is never the longest idle
            assert (await usual.request()).status == 200
            assert (await client.request()).status == 200
        assert await read_to_end(stayed[0]) == b""
        await until(lambda: len(harness.gateway.server.connections) <= 10)
        assert (await usual.request()).status == 200
        for client in stayed:
            client.writer.close()


@on_loop
async def test_a_connection_with_unsent_bytes_is_not_idle() -> None:
    """It would be closed to free a descriptor, and the end of its response would be lost."""
    async with (
        running_gateway(send_bytes(response(b"x" * 60_000))) as harness,
        harness.client() as client,
    ):
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = await only_connection(harness)
        while not connection._writing_paused:
            client.send()
            await asyncio.sleep(0)
        assert connection not in harness.gateway.server._idle
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        taken = asyncio.ensure_future(read_to_end(client))
        await until(lambda: connection in harness.gateway.server._idle)
        taken.cancel()
