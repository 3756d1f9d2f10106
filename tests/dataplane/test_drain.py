"""Drain of a gateway: which requests are taken, when they end, and how connections are closed.

The statements T1 to T5 are those of `roselink.dataplane.drain`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roselink.dataplane import drain, gateway_data_plane
from roselink.dataplane.drain import (
    EXCUSED_AFTER_SIGTERM_S,
    EXIT_RESERVE_S,
    SIGNAL_DELAY_S,
    DrainTimes,
)
from tests.dataplane.harness import (
    DataPlaneHarness,
    StreamClient,
    chunk,
    event,
    request,
    respond,
    running_data_plane,
    stream,
    stream_head,
)
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import hang

if TYPE_CHECKING:
    from roselink.http.server_connection import ServerConnection
    from tests.support.http_messages import Message

GRACE_S = 8.0  # of the harness
SHORT_MS = "1000"  # a deadline that fits into every drain of these tests


class PausedStream:
    """Host whose streams send one event, and the rest once `go` is set."""

    def __init__(self) -> None:
        self.go = asyncio.Event()

    async def behave(self, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(message) + chunk(event(1)))
        await self.go.wait()
        writer.write(chunk(event(2)) + b"0\r\n\r\n")


async def begin_stream(client: StreamClient) -> str:
    """Read a stream up to its first event; returns what its head says of the connection."""
    client.writer.write(request("/chat/x", X_Request_Deadline="15000"))
    _, headers = await client.read_head()
    assert await client.read_chunk() == event(1)
    return headers["connection"]


async def end_stream(client: StreamClient) -> None:
    assert await client.read_chunk() == event(2)
    assert await client.read_chunk() == b""


async def begin_drain(
    harness: DataPlaneHarness, monkeypatch: pytest.MonkeyPatch, *, takes_any_s: float = 0.0
) -> None:
    """Begin a drain and wait for the end of its first part, in which connections are accepted.

    Connections are closed by what happens on them alone, as no poll comes after that.
    """
    monkeypatch.setattr(gateway_data_plane, "CLOSE_POLL_S", 1000.0)
    monkeypatch.setattr(drain, "ACCEPT_AFTER_SIGTERM_S", 0.0)
    monkeypatch.setattr(drain, "EXCUSED_AFTER_SIGTERM_S", takes_any_s + SIGNAL_DELAY_S)
    harness.data_plane.begin_drain()
    await until(lambda: harness.data_plane.server._listener is None)


def only_connection(harness: DataPlaneHarness) -> ServerConnection:
    [connection] = harness.data_plane.server.connections
    return connection


# review/8: a stopping gateway took requests on kept connections and cut them at the drain's end.
@on_loop
async def test_kept_connection_is_closed_in_the_step_in_which_its_stream_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    paused = PausedStream()
    async with running_data_plane(paused.behave) as harness, harness.client() as client:
        assert await begin_stream(client) == "keep-alive"
        await begin_drain(harness, monkeypatch, takes_any_s=1000.0)
        paused.go.set()
        await end_stream(client)
        assert await client.reader.read() == b""
        client.writer.write(request("/chat/x"))
        await asyncio.sleep(0.05)
        assert len(harness.hosts[0].seen) == 1


# A request that crosses the close was read and dropped, so that its client could not repeat it.
@on_loop
async def test_request_that_crosses_the_close_is_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("roselink.http.server_connection.LINGER_S", 1000.0)
    paused = PausedStream()
    async with running_data_plane(paused.behave) as harness, harness.client() as client:
        await begin_stream(client)
        await begin_drain(harness, monkeypatch)
        connection = only_connection(harness)
        paused.go.set()
        await until(lambda: connection._closing)
        client.writer.write(request("/once/x"))
        await until(lambda: connection._poller is not None and connection._poller.has_unread())
        await end_stream(client)
        assert await client.reader.read() == b""
        await asyncio.sleep(0.02)
        assert connection._completed_requests == 1
        assert connection._discarded_bytes == 0
        client.writer.close()
        await asyncio.sleep(0.02)
        harness.data_plane.server.close_idle()
        await until(lambda: not harness.data_plane.server.connections)


# A request that was sent ahead of a long stream's end was taken, and cut at the drain's end.
@pytest.mark.parametrize("path", ["/chat/x", "/safe/x", "/once/x", "/open/x"])
@on_loop
async def test_request_behind_a_stream_is_refused_if_it_could_not_end(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    paused = PausedStream()
    async with running_data_plane(paused.behave) as harness, harness.client() as client:
        await begin_stream(client)
        client.writer.write(request(path, X_Request_Deadline="15000"))
        await begin_drain(harness, monkeypatch)
        paused.go.set()
        await end_stream(client)
        response = await client.read_response()
        assert (response.status, float(response.headers["retry-after"])) == (503, 0.0)
        assert response.headers["connection"] == "close"
        assert await client.reader.read() == b""
        assert len(harness.hosts[0].seen) == len(harness.quotas.requested) == 1


@on_loop
async def test_request_behind_a_stream_is_served_if_its_own_time_ends_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    paused = PausedStream()
    async with running_data_plane(paused.behave) as harness, harness.client() as client:
        await begin_stream(client)
        client.writer.write(request("/chat/x", X_Request_Deadline=SHORT_MS))
        await begin_drain(harness, monkeypatch)
        paused.go.set()
        await end_stream(client)
        response = await client.read_response()
        assert (response.status, response.ids, response.complete) == (200, [1, 2], True)
        assert response.headers["connection"] == "close"
        assert await client.reader.read() == b""


# A first request on a connection from the last moment before the listener closed was cut too.
@on_loop
async def test_late_first_request_is_refused_if_it_could_not_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        await begin_drain(harness, monkeypatch)
        response = await client.send_request("/once/x", X_Request_Deadline="15000")
        assert (response.status, response.headers["connection"]) == (503, "close")
        assert harness.hosts[0].seen == []
        assert harness.data_plane.driver.counts["refused_draining"] == 1


@on_loop
async def test_half_read_request_gets_503_when_the_drain_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its client may send it elsewhere, whatever its kind."""
    monkeypatch.setattr(drain, "ACCEPT_AFTER_SIGTERM_S", 0.0)
    monkeypatch.setattr(drain, "EXIT_RESERVE_S", GRACE_S - 0.1)
    async with running_data_plane(respond()) as harness, harness.client() as client:
        client.writer.write(request("/once/x", body=b"xyz")[:-1])
        await until(lambda: bool(harness.data_plane.server.connections))
        await until(lambda: only_connection(harness)._in_request)
        harness.data_plane.begin_drain()
        response = await client.read_response()
        assert (response.status, response.headers["connection"]) == (503, "close")
        assert await client.reader.read() == b""
        client.writer.close()
        await harness.data_plane.drained()
        assert harness.hosts[0].seen == []


@on_loop
async def test_half_read_request_behind_an_open_one_gets_503_when_the_drain_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(drain, "ACCEPT_AFTER_SIGTERM_S", 0.0)
    monkeypatch.setattr(drain, "EXIT_RESERVE_S", GRACE_S - 0.1)
    async with running_data_plane(hang) as harness, harness.client() as client:
        client.writer.write(request("/once/x") + request("/once/y", body=b"xyz")[:-1])
        await until(lambda: len(harness.hosts[0].seen) == 1)
        harness.data_plane.begin_drain()
        assert (await client.read_response()).status == 504
        response = await client.read_response()
        assert (response.status, response.headers["connection"]) == (503, "close")
        client.writer.close()
        await harness.data_plane.drained()


@on_loop
async def test_stream_that_its_host_breaks_off_in_a_drain_is_resumed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    paused = PausedStream()

    async def break_off(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(message) + chunk(event(1)))
        await paused.go.wait()
        writer.transport.abort()

    async with running_data_plane(break_off, stream(2)) as harness, harness.client() as client:
        assert await begin_stream(client) == "keep-alive"
        await begin_drain(harness, monkeypatch)
        paused.go.set()
        await end_stream(client)
        assert await client.reader.read() == b""
        assert len(harness.hosts[1].seen) == 1


@on_loop
async def test_recent_response_is_not_reset_when_its_idle_connection_is_closed() -> None:
    """A request that crosses a full close would reset the connection under the response."""
    async with running_data_plane(respond()) as harness, harness.client() as client:
        client.writer.write(request("/once/x"))
        await until(lambda: bool(harness.data_plane.server._idle))
        connection = only_connection(harness)
        harness.data_plane.server.close_idle()
        client.writer.write(request("/once/x"))
        await until(lambda: connection._poller is not None and connection._poller.has_unread())
        assert (await client.read_response()).body == b"ok"
        assert await client.reader.read() == b""


@on_loop
async def test_unread_request_does_not_hold_a_closed_connection_for_ever(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("roselink.http.server_connection.LINGER_S", 0.05)
    paused = PausedStream()
    async with running_data_plane(paused.behave) as harness, harness.client() as client:
        await begin_stream(client)
        await begin_drain(harness, monkeypatch)
        paused.go.set()
        await until(lambda: only_connection(harness)._closing)
        client.writer.write(request("/once/x"))
        await until(lambda: not harness.data_plane.server.connections)
        await end_stream(client)
        assert await client.reader.read() == b""


# The times.

times_of = st.floats(0, 1e6)


@given(
    now=times_of, grace_s=st.floats(2.0, 60.0), served_s=st.floats(0, 60), limit_s=st.floats(0, 60)
)
def test_a_request_is_cut_only_if_it_was_sent_early_enough(
    now: float, grace_s: float, served_s: float, limit_s: float
) -> None:
    """Statements T1 and T2, for a handler that runs up to `SIGNAL_DELAY_S` after the signal."""
    times = DrainTimes.after_sigterm(now, grace_s)
    served_at = now + served_s
    expires_at = served_at + limit_s
    assert times.limit(expires_at) <= times.requests_end_at
    assert times.requests_end_at >= now + min(grace_s - EXIT_RESERVE_S, grace_s / 2)
    assert times.connections_end_at > times.requests_end_at
    if grace_s > drain.ACCEPT_AFTER_SIGTERM_S + EXIT_RESERVE_S:
        assert times.connections_end_at < now + grace_s
    cut = times.limit(expires_at) < expires_at
    if times.may_take(served_at, expires_at) and cut:
        signal_at = now - SIGNAL_DELAY_S
        assert served_at <= signal_at + EXCUSED_AFTER_SIGTERM_S + 1e-6
