"""The client side on loopback: framing, limits, order, resting connections, a drain that loses
nothing.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from roselink.dataplane import gateway_data_plane
from roselink.dataplane.client_server import IDLE_TIMEOUT_SLACK_S
from tests.dataplane.harness import (
    KEY,
    DataPlaneHarness,
    chunk,
    event,
    head,
    plain,
    request,
    running_data_plane,
    sse,
    stream,
)
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import hang

if TYPE_CHECKING:
    from tests.support.http_messages import Message


@on_loop
async def test_requests_sent_ahead_are_answered_in_order() -> None:
    async def echo(message: Message, writer: asyncio.StreamWriter) -> None:
        await plain(message.first.encode())(message, writer)

    async with running_data_plane(echo) as harness, harness.client() as client:
        client.writer.write(b"".join(request(f"/once/{i}") for i in range(5)))
        for i in range(5):
            assert (await client.answer()).body == b"POST /once/%d HTTP/1.1" % i


@on_loop
async def test_a_request_behind_a_stream_waits_for_its_end() -> None:
    async with running_data_plane(stream(3)) as harness, harness.client() as client:
        client.writer.write(request("/chat/1") + request("/nowhere/2") + request("/chat/3"))
        assert (await client.answer()).ids == [1, 2, 3]
        assert (await client.answer()).status == 404
        assert (await client.answer()).ids == [1, 2, 3]


@on_loop
async def test_a_head_request_has_no_body() -> None:
    async def bare(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(head(message) + b"Content-Length: 10\r\n\r\n")

    async with running_data_plane(bare) as harness, harness.client() as client:
        got = await client.ask("/once/x", method="HEAD")
        assert (got.status, got.body) == (200, b"")
        assert (await client.ask("/once/x", method="HEAD")).status == 200


@on_loop
async def test_an_old_client_gets_a_stream_up_to_the_end_of_the_connection() -> None:
    async with running_data_plane(stream(2), stream(2, cut_after=1)) as harness:
        async with harness.client() as client:
            client.writer.write(request("/plan/x").replace(b"HTTP/1.1", b"HTTP/1.0"))
            status, headers = await client.head()
            assert (status, headers["connection"]) == (200, "close")
            assert "transfer-encoding" not in headers
            assert await client.reader.read() == event(1) + event(2)
        harness.decider.hosts.reverse()
        async with harness.client() as client:
            client.writer.write(request("/plan/x").replace(b"HTTP/1.1", b"HTTP/1.0"))
            with pytest.raises(ConnectionResetError):  # an end would look like the whole
                await client.reader.read()


@on_loop
async def test_a_client_that_asks_before_its_body_is_told_to_go_on() -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        client.writer.write(request("/once/x", Content_Length="3", Expect="100-continue"))
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.writer.write(b"abc")
        assert (await client.answer()).status == 200
        assert harness.hosts[0].seen[0].body == b"abc"


LIMITS = {
    "max_header_bytes": 2000,
    "max_body_bytes": 3000,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 5000,
}


@pytest.mark.parametrize(
    ("told", "status"),
    [
        ({"X_Long": "x" * 1500}, 200),
        ({"X_Long": "x" * 2500}, 431),
        ({"body": b"x" * 3000}, 200),
        ({"body": b"x" * 3001}, 413),
    ],
)
@on_loop
async def test_the_configurations_limits_hold(told: dict[str, Any], status: int) -> None:
    async with running_data_plane(plain(), limits=LIMITS) as harness, harness.client() as client:
        assert (await client.ask("/once/x", **told)).status == status


@on_loop
async def test_half_a_head_is_answered_once_its_time_is_up() -> None:
    async with running_data_plane(plain(), limits=LIMITS) as harness, harness.client() as client:
        client.writer.write(request("/once/x")[:-6])
        await until(lambda: any(c._in_request for c in harness.data_plane.server.connections))
        [connection] = harness.data_plane.server.connections
        harness.data_plane.server.sweep()
        connection.last_progress_at -= 1.0
        harness.data_plane.server.sweep()
        assert (await client.answer()).status == 408
        assert not harness.hosts[0].seen


@on_loop
async def test_a_resting_connection_is_kept_for_as_long_as_clients_are_told() -> None:
    async with running_data_plane(plain(), limits=LIMITS) as harness, harness.client() as client:
        assert (await client.ask("/once/x")).status == 200
        [connection] = harness.data_plane.server.connections
        connection.last_progress_at -= 4.9
        harness.data_plane.server.sweep()
        assert (await client.ask("/once/x")).status == 200
        connection.last_progress_at -= 5.0 + IDLE_TIMEOUT_SLACK_S
        harness.data_plane.server.sweep()
        assert await client.ended()


@pytest.mark.parametrize(
    ("idle_ms", "rested", "kept"), [(2000, 4.9, True), (2000, 6.1, False), (9000, 9.9, True)]
)
@on_loop
async def test_limits_of_the_configuration_before_hold_where_they_allow_more(
    idle_ms: int, rested: float, kept: bool
) -> None:
    """Clients that have not heard of a shorter time go on by the longer one."""
    async with running_data_plane(plain(), limits=LIMITS) as harness, harness.client() as client:
        assert (await client.ask("/once/x", body=b"x" * 3000)).status == 200
        assert harness.authority.now_in_force is not None
        lines = harness.authority.now_in_force.hosts
        for _ in range(2):  # the same again changes nothing
            told = LIMITS | {"idle_timeout_ms": idle_ms, "max_body_bytes": 10}
            harness.authority.tell(harness.snapshot(*lines, limits=told))
        [connection] = harness.data_plane.server.connections
        connection.last_progress_at -= rested
        harness.data_plane.server.sweep()
        if kept:
            assert (await client.ask("/once/x", body=b"x" * 3000)).status == 200
        else:
            assert await client.ended()


@on_loop
async def test_a_sweep_that_comes_late_ends_nothing() -> None:
    """After a freeze what came meanwhile has not been read."""
    async with running_data_plane(plain(), limits=LIMITS) as harness, harness.client() as client:
        assert (await client.ask("/once/x")).status == 200
        [connection] = harness.data_plane.server.connections
        connection.last_progress_at -= 60.0
        harness.data_plane._swept_at -= 60.0
        harness.data_plane._sweep()
        assert (await client.ask("/once/x")).status == 200


@on_loop
async def test_a_new_configuration_counts_for_the_next_request_of_a_connection() -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        assert (await client.ask("/once/x")).status == 200
        assert harness.authority.now_in_force is not None
        lines = harness.authority.now_in_force.hosts
        harness.authority.tell(
            harness.snapshot(*lines, tenants=[{"name": "other", "api_keys": ["new"]}])
        )
        assert (await client.ask("/once/x")).status == 401
        assert (await client.ask("/once/x", key="new")).status == 200
        harness.authority.tell(harness.snapshot(*lines, routes=[]))
        assert (await client.ask("/once/x", key=KEY)).status == 404


@on_loop
async def test_before_anything_is_known_clients_are_told_to_come_back() -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        harness.data_plane.driver.route_table = None
        got = await client.ask("/once/x")
        assert got.status == 503
        assert 0.7 < float(got.headers["retry-after"]) <= 1.5  # not while all gateways are starting


# Draining.


async def drains(
    harness: DataPlaneHarness, monkeypatch: pytest.MonkeyPatch, accept_s: float = 0.1
) -> asyncio.Task[None]:
    monkeypatch.setattr(gateway_data_plane, "ACCEPT_AFTER_SIGTERM_S", accept_s)
    harness.data_plane.begin_drain()
    return asyncio.get_running_loop().create_task(harness.data_plane.drained())


@on_loop
async def test_a_drain_loses_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    go = asyncio.Event()

    async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.first.startswith("POST /once"):
            await go.wait()
            await plain(b"late")(message, writer)
            return
        writer.write(sse(message) + chunk(event(1)))
        await go.wait()
        writer.write(chunk(event(2)) + b"0\r\n\r\n")

    async with (
        running_data_plane(slow) as harness,
        harness.client() as one,
        harness.client() as two,
        harness.client() as idle,
    ):
        assert (await idle.ask("/nowhere/x")).status == 404
        one.writer.write(request("/once/x"))
        two.writer.write(request("/plan/x"))
        await two.head()
        assert await two.chunk() == event(1)
        await until(lambda: len(harness.hosts[0].seen) == 2)
        done = await drains(harness, monkeypatch)
        assert not harness.data_plane.ready()
        async with harness.client() as late:  # the platform still sends some
            got = await late.ask("/nowhere/x")
            assert (got.status, got.headers["connection"]) == (404, "close")
            assert await late.ended()
        assert await idle.ended()
        with pytest.raises(OSError):
            await harness.client().__aenter__()
        assert not done.done()
        go.set()
        got = await one.answer()
        assert (got.body, got.headers["connection"]) == (b"late", "close")
        assert await two.chunk() == event(2)
        assert await two.chunk() == b""
        one.writer.close()
        assert await two.ended()
        await done


@on_loop
async def test_a_drain_ends_in_time_with_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """What still runs then is told so; a stream never looks complete."""

    async def stuck(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.first.startswith("POST /chat"):
            writer.write(sse(message) + chunk(event(1)))
        await hang(message, writer)

    monkeypatch.setattr(gateway_data_plane, "EXIT_RESERVE_S", 7.6)  # of a grace of 8 s
    async with (
        running_data_plane(stuck) as harness,
        harness.client() as one,
        harness.client() as two,
    ):
        one.writer.write(request("/once/x"))
        two.writer.write(request("/chat/x"))
        await until(lambda: len(harness.hosts[0].seen) == 2)
        done = await drains(harness, monkeypatch, 0.05)
        assert (await one.answer()).status == 504
        await done
        harness.data_plane.stop()
        got = await two.answer()
        assert (got.ids, got.whole) == ([1], False)
