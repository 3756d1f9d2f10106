"""Client connections on loopback: framing, limits, order, idle connections, draining."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from roselink.dataplane import drain
from roselink.dataplane.client_server import IDLE_TIMEOUT_SLACK_S
from tests.dataplane.harness import (
    API_KEY,
    DataPlaneHarness,
    chunk,
    event,
    request,
    respond,
    response_head,
    running_data_plane,
    stream,
    stream_head,
)
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import hang

if TYPE_CHECKING:
    from tests.support.http_messages import Message


@on_loop
async def test_pipelined_requests_are_answered_in_order() -> None:
    async def echo(message: Message, writer: asyncio.StreamWriter) -> None:
        await respond(message.start_line.encode())(message, writer)

    async with running_data_plane(echo) as harness, harness.client() as client:
        client.writer.write(b"".join(request(f"/once/{i}") for i in range(5)))
        for i in range(5):
            assert (await client.read_response()).body == b"POST /once/%d HTTP/1.1" % i


@on_loop
async def test_pipelined_request_waits_for_end_of_stream() -> None:
    async with running_data_plane(stream(3)) as harness, harness.client() as client:
        client.writer.write(request("/chat/1") + request("/nowhere/2") + request("/chat/3"))
        assert (await client.read_response()).ids == [1, 2, 3]
        assert (await client.read_response()).status == 404
        assert (await client.read_response()).ids == [1, 2, 3]


@on_loop
async def test_response_to_head_request_has_no_body() -> None:
    async def bare(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(response_head(message) + b"Content-Length: 10\r\n\r\n")

    async with running_data_plane(bare) as harness, harness.client() as client:
        response = await client.send_request("/once/x", method="HEAD")
        assert (response.status, response.body) == (200, b"")
        assert (await client.send_request("/once/x", method="HEAD")).status == 200


@on_loop
async def test_http_1_0_client_gets_stream_delimited_by_close() -> None:
    async with running_data_plane(stream(2), stream(2, cut_after=1)) as harness:
        async with harness.client() as client:
            client.writer.write(request("/plan/x").replace(b"HTTP/1.1", b"HTTP/1.0"))
            status, headers = await client.read_head()
            assert (status, headers["connection"]) == (200, "close")
            assert "transfer-encoding" not in headers
            assert await client.reader.read() == event(1) + event(2)
        harness.decider.hosts.reverse()
        async with harness.client() as client:
            client.writer.write(request("/plan/x").replace(b"HTTP/1.1", b"HTTP/1.0"))
            with pytest.raises(ConnectionResetError):  # an orderly close would look complete
                await client.reader.read()


@on_loop
async def test_expect_100_continue_is_answered() -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        client.writer.write(request("/once/x", Content_Length="3", Expect="100-continue"))
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.writer.write(b"abc")
        assert (await client.read_response()).status == 200
        assert harness.hosts[0].seen[0].body == b"abc"


LIMITS = {
    "max_header_bytes": 2000,
    "max_body_bytes": 3000,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 5000,
}


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"X_Long": "x" * 1500}, 200),
        ({"X_Long": "x" * 2500}, 431),
        ({"body": b"x" * 3000}, 200),
        ({"body": b"x" * 3001}, 413),
    ],
)
@on_loop
async def test_configured_size_limits_are_enforced(changes: dict[str, Any], status: int) -> None:
    async with running_data_plane(respond(), limits=LIMITS) as harness, harness.client() as client:
        assert (await client.send_request("/once/x", **changes)).status == status


@on_loop
async def test_incomplete_head_gives_408_after_timeout() -> None:
    async with running_data_plane(respond(), limits=LIMITS) as harness, harness.client() as client:
        client.writer.write(request("/once/x")[:-6])
        await until(lambda: any(c._in_request for c in harness.data_plane.server.connections))
        [connection] = harness.data_plane.server.connections
        harness.data_plane.server.sweep()
        connection.last_progress_at -= 1.0
        harness.data_plane.server.sweep()
        assert (await client.read_response()).status == 408
        assert not harness.hosts[0].seen


@on_loop
async def test_idle_connection_is_kept_for_configured_timeout() -> None:
    async with running_data_plane(respond(), limits=LIMITS) as harness, harness.client() as client:
        assert (await client.send_request("/once/x")).status == 200
        [connection] = harness.data_plane.server.connections
        connection.last_progress_at -= 4.9
        harness.data_plane.server.sweep()
        assert (await client.send_request("/once/x")).status == 200
        connection.last_progress_at -= 5.0 + IDLE_TIMEOUT_SLACK_S
        harness.data_plane.server.sweep()
        assert await client.closed_by_peer()


@pytest.mark.parametrize(
    ("idle_ms", "idle_s", "kept"), [(2000, 4.9, True), (2000, 6.1, False), (9000, 9.9, True)]
)
@on_loop
async def test_higher_limits_of_previous_configuration_stay_in_force(
    idle_ms: int, idle_s: float, kept: bool
) -> None:
    """Clients that have not learnt of a shorter idle time-out rely on the previous one."""
    async with running_data_plane(respond(), limits=LIMITS) as harness, harness.client() as client:
        assert (await client.send_request("/once/x", body=b"x" * 3000)).status == 200
        assert harness.authority.current_snapshot is not None
        entries = harness.authority.current_snapshot.hosts
        for _ in range(2):  # applying the same limits twice changes nothing
            limits = LIMITS | {"idle_timeout_ms": idle_ms, "max_body_bytes": 10}
            harness.authority.publish(harness.snapshot(*entries, limits=limits))
        [connection] = harness.data_plane.server.connections
        connection.last_progress_at -= idle_s
        harness.data_plane.server.sweep()
        if kept:
            assert (await client.send_request("/once/x", body=b"x" * 3000)).status == 200
        else:
            assert await client.closed_by_peer()


@on_loop
async def test_overdue_sweep_closes_no_connection() -> None:
    """After a pause of the process, data received meanwhile is still unread."""
    async with running_data_plane(respond(), limits=LIMITS) as harness, harness.client() as client:
        assert (await client.send_request("/once/x")).status == 200
        [connection] = harness.data_plane.server.connections
        connection.last_progress_at -= 60.0
        harness.data_plane._swept_at -= 60.0
        harness.data_plane._sweep()
        assert (await client.send_request("/once/x")).status == 200


@on_loop
async def test_new_configuration_applies_to_next_request_on_connection() -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        assert (await client.send_request("/once/x")).status == 200
        assert harness.authority.current_snapshot is not None
        entries = harness.authority.current_snapshot.hosts
        harness.authority.publish(
            harness.snapshot(*entries, tenants=[{"name": "other", "api_keys": ["new"]}])
        )
        assert (await client.send_request("/once/x")).status == 401
        assert (await client.send_request("/once/x", key="new")).status == 200
        harness.authority.publish(harness.snapshot(*entries, routes=[]))
        assert (await client.send_request("/once/x", key=API_KEY)).status == 404


@on_loop
async def test_unconfigured_gateway_gives_503_with_retry_after() -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        harness.data_plane.driver.route_table = None
        response = await client.send_request("/once/x")
        assert response.status == 503
        assert (
            0.7 < float(response.headers["retry-after"]) <= 1.5
        )  # enough for the whole fleet to start


# Draining.


async def begin_drain(
    harness: DataPlaneHarness, monkeypatch: pytest.MonkeyPatch, accept_s: float = 0.1
) -> asyncio.Task[None]:
    monkeypatch.setattr(drain, "ACCEPT_AFTER_SIGTERM_S", accept_s)
    harness.data_plane.begin_drain()
    return asyncio.get_running_loop().create_task(harness.data_plane.drained())


@on_loop
async def test_drain_completes_open_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    go = asyncio.Event()

    async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.start_line.startswith("POST /once"):
            await go.wait()
            await respond(b"late")(message, writer)
            return
        writer.write(stream_head(message) + chunk(event(1)))
        await go.wait()
        writer.write(chunk(event(2)) + b"0\r\n\r\n")

    async with (
        running_data_plane(slow) as harness,
        harness.client() as one,
        harness.client() as two,
        harness.client() as idle,
    ):
        assert (await idle.send_request("/nowhere/x")).status == 404
        one.writer.write(request("/once/x"))
        two.writer.write(request("/plan/x"))
        await two.read_head()
        assert await two.read_chunk() == event(1)
        await until(lambda: len(harness.hosts[0].seen) == 2)
        done = await begin_drain(harness, monkeypatch)
        assert not harness.data_plane.ready()
        async with harness.client() as late:  # the platform still routes connections here
            response = await late.send_request("/nowhere/x")
            assert (response.status, response.headers["connection"]) == (404, "close")
            assert await late.closed_by_peer()
        assert await idle.closed_by_peer()
        with pytest.raises(OSError):
            await harness.client().__aenter__()
        assert not done.done()
        go.set()
        response = await one.read_response()
        assert (response.body, response.headers["connection"]) == (b"late", "close")
        assert await two.read_chunk() == event(2)
        assert await two.read_chunk() == b""
        one.writer.close()
        assert await two.closed_by_peer()
        await done


@on_loop
async def test_drain_ends_open_requests_at_end_of_grace_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Open requests get 504; an open stream is aborted and never looks complete."""

    async def stuck(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.start_line.startswith("POST /chat"):
            writer.write(stream_head(message) + chunk(event(1)))
        await hang(message, writer)

    monkeypatch.setattr(drain, "EXIT_RESERVE_S", 7.6)  # of 8 s of grace time
    async with (
        running_data_plane(stuck) as harness,
        harness.client() as one,
        harness.client() as two,
    ):
        one.writer.write(request("/once/x"))
        two.writer.write(request("/chat/x"))
        await until(lambda: len(harness.hosts[0].seen) == 2)
        done = await begin_drain(harness, monkeypatch, 0.05)
        assert (await one.read_response()).status == 504
        await done
        harness.data_plane.stop()
        response = await two.read_response()
        assert (response.ids, response.complete) == ([1], False)
