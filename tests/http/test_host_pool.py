"""Connections to hosts on real sockets: outcomes are exact, and no stale connection is reused."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from typing import TYPE_CHECKING

import pytest

from roselink.http import host_pool
from roselink.http.descriptors import RESERVED, Descriptors
from roselink.http.host_connection import Attempt, HostConnection, HostResponse, PooledHost
from roselink.http.host_pool import HostPool
from roselink.routing.outcome import Outcome
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import (
    Behaviour,
    FakeHost,
    FullBacklogListener,
    hang,
    reset_connection,
    send_bytes,
    serve_ok,
)
from tests.support.http_messages import Message, reset, reset_on_close, response

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.http.address import Address

REQUEST = b"GET /status-check/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n"
LONG_TIMEOUT_S = 15.0


class PoolHarness:
    """A connection pool and one host."""

    def __init__(
        self, address: Address, connect_timeout_s: float = LONG_TIMEOUT_S, sockets: int = 100
    ) -> None:
        self.descriptors = Descriptors(RESERVED + sockets)
        self.pool = HostPool(asyncio.get_running_loop(), self.descriptors, connect_timeout_s, 15.0)
        self.host = PooledHost("s-1", address)
        self.results: list[tuple[Outcome, HostResponse | None]] = []
        self.wanted = True

    def start(self, request: bytes = REQUEST, timeout_s: float = LONG_TIMEOUT_S) -> Attempt:
        return self.pool.start(
            self.host,
            request,
            timeout_s,
            lambda outcome, got: self.results.append((outcome, got)),
            lambda: self.wanted,
        )

    async def run(
        self, request: bytes = REQUEST, timeout_s: float = LONG_TIMEOUT_S
    ) -> tuple[Outcome, HostResponse | None]:
        before = len(self.results)
        self.start(request, timeout_s)
        await until(lambda: len(self.results) > before)
        return self.results[-1]


def send_bytes_then_reset(data: bytes) -> Behaviour:
    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        reset(writer)

    return behave


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("behave", "outcome", "body"),
    [
        (
            send_bytes(response(b"seat 7", "200 OK", "Content-Type: text/plain")),
            Outcome.SUCCESS,
            b"seat 7",
        ),
        (send_bytes(response(b"", "200 OK")), Outcome.SUCCESS, b""),
        (
            send_bytes(b"HTTP/1.1 100 Continue\r\n\r\n" + response(b"late")),
            Outcome.SUCCESS,
            b"late",
        ),
        (send_bytes(CHUNKED + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"), Outcome.SUCCESS, b"abc"),
        (send_bytes(response(b"x", "500 Internal Server Error")), Outcome.ERROR, None),
        (send_bytes(response(b"", "503 Busy", "Not-Started: 1")), Outcome.FULL, None),
        (send_bytes(response(b"", "504 Late", "Not-Started: 1")), Outcome.FULL, None),
        (send_bytes(response(b"", "503 Busy")), Outcome.ERROR, None),
        (send_bytes(response(b"", "504 Late")), Outcome.ERROR, None),
        (send_bytes(response(b"", "500 Odd", "Not-Started: 1")), Outcome.ERROR, None),
        (reset_connection, Outcome.RESET, None),
        (send_bytes(b"", end=True), Outcome.RESET, None),
        (
            send_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", end=True),
            Outcome.RESET,
            None,
        ),
        (send_bytes(CHUNKED + b"5\r\nhalf", end=True), Outcome.RESET, None),
        # Without a length, an end of stream completes the response, and a reset does not.
        (send_bytes(b"HTTP/1.1 200 OK\r\n\r\nwhole", end=True), Outcome.SUCCESS, b"whole"),
        (
            send_bytes(b"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n", end=True),
            Outcome.SUCCESS,
            b"",
        ),
        (send_bytes(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\n\r\n", end=True), Outcome.FULL, None),
        (send_bytes_then_reset(b"HTTP/1.1 200 OK\r\n\r\nhalf"), Outcome.RESET, None),
        (
            send_bytes_then_reset(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\n\r\n"),
            Outcome.RESET,
            None,
        ),
        (send_bytes_then_reset(CHUNKED + b"2\r\nab\r\n"), Outcome.RESET, None),
        (send_bytes_then_reset(response(b"whole")), Outcome.SUCCESS, b"whole"),
        (send_bytes(b"HTTP/1.1 200 OK\r\nX: y\r\n", end=True), Outcome.RESET, None),
        (send_bytes(b"HTTP/1.1 100 Continue\r\n\r\n", end=True), Outcome.RESET, None),
        (
            send_bytes(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhalf", end=True),
            Outcome.RESET,
            None,
        ),
        (send_bytes(b"no HTTP at all\r\n\r\n"), Outcome.ERROR, None),
        (send_bytes(response(b"x" * 70_000)), Outcome.ERROR, None),
        (send_bytes(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000 + b"\r\n\r\n"), Outcome.ERROR, None),
        # None of these responses ends, and the connection stays open.
        (send_bytes(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000), Outcome.ERROR, None),
        (send_bytes(b"HTTP/1.1 100 Continue\r\n\r\n" * 20), Outcome.ERROR, None),
        (send_bytes(CHUNKED + b"1;" + b"e" * 300_000), Outcome.ERROR, None),
        (send_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"), Outcome.ERROR, None),
        (send_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n"), Outcome.ERROR, None),
        (
            send_bytes(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
            ),
            Outcome.ERROR,
            None,
        ),
    ],
)
@on_loop
async def test_the_hosts_response_determines_the_outcome(
    behave: Behaviour, outcome: Outcome, body: bytes | None
) -> None:
    """Guards rule 2 (a request that may have run must not count as unsent) and rule 1 (an
    incomplete response is not served).
    """
    harness = PoolHarness((await FakeHost(behave=behave).start()).address)
    got, reply = await harness.run()
    assert got is outcome
    assert (reply.body if reply else None) == body
    await until(lambda: harness.descriptors.used == len(harness.host.idle))


@pytest.mark.parametrize("reported_as_end", [False, True])
@on_loop
async def test_a_response_without_a_length_is_not_served_after_a_reset(
    reported_as_end: bool,
) -> None:
    """The reset comes after the first bytes were read. A loop that sees the closed connection
    before it reads the error may report an end of stream.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    harness = PoolHarness(listener.getsockname())
    attempt = harness.start()
    await until(lambda: attempt.connection is not None)
    connection, (host, _) = attempt.connection, listener.accept()
    assert connection is not None
    host.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    await until(lambda: connection._overdue_timer is not None)
    reset_on_close(host)
    host.close()
    if reported_as_end:
        connection.eof_received()
    await until(lambda: bool(harness.results))
    assert harness.results == [(Outcome.RESET, None)]
    listener.close()


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\nConte",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        CHUNKED + b"3\r\nab",
    ],
)
@on_loop
async def test_a_response_that_stalls_fails_before_the_deadline(start: bytes) -> None:
    """Hosts write a response at once. Waiting for a missing rest would hold the request until its
    deadline.
    """
    host = await FakeHost(behave=send_bytes(start)).start()
    harness = PoolHarness(host.address, connect_timeout_s=0.1)
    assert (await harness.run())[0] is Outcome.ERROR
    assert await host.closed.get() == 0


@on_loop
async def test_idle_connections_are_dropped_after_a_timeout_without_data() -> None:
    """The connections of an unreachable host stay open: each one reused would hang for another
    time-out.
    """
    host = await FakeHost(behave=hang).start()
    harness = PoolHarness(host.address)
    for number in range(2):
        harness.start()
        await until(lambda number=number: len(host.seen) == number + 1)  # type: ignore[misc]
    host.writers[0].write(response())
    await until(lambda: len(harness.results) == 1)
    harness.host.last_byte_at -= 1.0
    attempt = harness.start(timeout_s=0.05)
    await until(lambda: attempt.is_over)
    assert not harness.host.idle or all(c.closing() for c in harness.host.idle)


@on_loop
async def test_a_refused_connection_is_connect_failed() -> None:
    host = await FakeHost().start()
    host._server.close()
    await host._server.wait_closed()
    harness = PoolHarness(host.address)
    assert (await harness.run())[0] is Outcome.CONNECT_FAILED
    await until(lambda: harness.descriptors.used == 0)


@on_loop
async def test_a_connect_timeout_is_connect_failed() -> None:
    unreachable = FullBacklogListener()
    harness = PoolHarness(unreachable.address, connect_timeout_s=0.1)
    assert (await harness.run())[0] is Outcome.CONNECT_FAILED
    await until(lambda: harness.descriptors.used == 0)
    unreachable.close()


@on_loop
async def test_an_attempt_timeout_while_connecting_is_connect_failed() -> None:
    unreachable = FullBacklogListener()
    harness = PoolHarness(unreachable.address)
    assert (await harness.run(timeout_s=0.05))[0] is Outcome.CONNECT_FAILED
    await until(lambda: harness.descriptors.used == 0)
    unreachable.close()


@on_loop
async def test_a_reset_before_the_last_byte_is_connect_failed() -> None:
    """The host resets while most of the request is unsent, so it cannot have run it."""

    async def reset_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(10)
        reset(writer)

    server = await asyncio.start_server(reset_early, "127.0.0.1", 0)
    harness = PoolHarness(server.sockets[0].getsockname())
    request = b"POST / HTTP/1.1\r\n\r\n" + b"x" * 32 * 1024 * 1024
    assert (await harness.run(request))[0] is Outcome.CONNECT_FAILED
    server.close()


@on_loop
async def test_a_timed_out_attempt_closes_its_connection() -> None:
    """A late response would otherwise be read as the response to the connection's next request."""
    host = await FakeHost(behave=hang).start()
    harness = PoolHarness(host.address)
    assert (await harness.run(timeout_s=0.05))[0] is Outcome.TIMEOUT
    assert await host.closed.get() == 0
    assert not harness.host.idle


@on_loop
async def test_a_cancelled_attempt_closes_its_connection() -> None:
    host = await FakeHost(behave=hang).start()
    harness = PoolHarness(host.address)
    attempt = harness.start()
    await host.arrivals.get()
    attempt.cancel()
    attempt.cancel()
    assert [outcome for outcome, _ in harness.results] == [Outcome.CANCELLED]
    assert await host.closed.get() == 0
    host.behave = serve_ok
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert len(host.writers) == 2


@on_loop
async def test_the_most_recently_used_connection_is_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    """New connections cost the host work; the least recently used ones become idle and are
    closed.
    """
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)
    host = await FakeHost(behave=hang).start()
    harness = PoolHarness(host.address)
    for number in range(2):
        harness.start()
        await until(lambda number=number: len(host.seen) == number + 1)  # type: ignore[misc]
    for number in (0, 1):
        host.writers[number].write(response())
        await until(lambda number=number: len(harness.results) == number + 1)  # type: ignore[misc]
    latest = harness.host.idle[-1]
    host.behave = serve_ok
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert harness.host.idle[-1] is latest
    assert len(host.writers) == 2


@on_loop
async def test_an_idle_connection_closed_by_the_host_is_removed() -> None:
    host = await FakeHost().start()
    harness = PoolHarness(host.address)
    await harness.run()
    host.writers[0].close()
    await until(lambda: not harness.host.idle)
    assert harness.descriptors.used == 0
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert len(host.writers) == 2


@on_loop
async def test_idle_connections_are_closed_before_the_host_closes_them() -> None:
    host = await FakeHost().start()
    harness = PoolHarness(host.address)
    await harness.run()
    harness.pool.sweep()
    assert not harness.host.idle[0].closing()
    harness.host.idle[0].idle_since -= 8.0  # of the hosts' keep-alive time of 15 s
    harness.pool.sweep()
    assert await host.closed.get() == 0
    await until(lambda: not harness.host.idle)


@pytest.mark.parametrize("surplus", [response(b"again"), b"noise", b"HTTP/1.1 200 OK\r\n"])
@on_loop
async def test_a_connection_with_surplus_bytes_is_not_reused(surplus: bytes) -> None:
    """A surplus response would be given to the next client."""
    host = await FakeHost(behave=send_bytes(response(b"mine") + surplus)).start()
    harness = PoolHarness(host.address)
    outcome, reply = await harness.run()
    assert outcome is Outcome.SUCCESS
    assert reply is not None
    assert reply.body == b"mine"
    assert await host.closed.get() == 0


@on_loop
async def test_an_unread_surplus_response_is_not_given_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A surplus response is unread in the kernel when the connection is needed again, and would be
    given to another client. Without a reuse delay, only polling the socket prevents that.
    """
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)
    host = await FakeHost(behave=send_bytes(response(b"first"))).start()
    harness = PoolHarness(host.address)
    await harness.run()
    idle_connection = harness.host.idle[0]
    host.writers[0].write(response(b"copy"))  # is sent at once, and this loop has not read it yet
    while not idle_connection.has_unread():
        pass
    host.behave = send_bytes(response(b"second"))
    outcome, reply = await harness.run()
    assert (outcome, reply and reply.body) == (Outcome.SUCCESS, b"second")
    assert len(host.writers) == 2


@on_loop
async def test_a_connection_is_not_reused_before_the_reuse_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Surplus bytes that follow a response must find the connection idle, not used by another
    request.
    """
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", 1000.0)
    host = await FakeHost().start()
    harness = PoolHarness(host.address)
    for number in (1, 2):
        assert (await harness.run())[0] is Outcome.SUCCESS
        assert len(host.writers) == number
    harness.host.idle[0].idle_since -= 1001.0
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert len(host.writers) == 2


@on_loop
async def test_data_on_an_idle_connection_closes_it() -> None:
    host = await FakeHost().start()
    harness = PoolHarness(host.address)
    await harness.run()
    host.writers[0].write(response(b"not asked for"))
    assert await host.closed.get() == 0


@on_loop
async def test_a_connection_with_close_is_not_reused() -> None:
    host = await FakeHost(behave=send_bytes(response(b"", "200 OK", "Connection: close"))).start()
    harness = PoolHarness(host.address)
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert await host.closed.get() == 0


@pytest.mark.parametrize(
    "end_attempt", [lambda b, a: b.pool.retire(b.host), lambda b, a: a.cancel()]
)
@pytest.mark.parametrize("turns", [0, 3])
@on_loop
async def test_an_attempt_that_is_connecting_is_withdrawn(
    end_attempt: Callable[[PoolHarness, Attempt], None], turns: int
) -> None:
    """Rule 3: a drain applies to requests whose first byte was not sent, and the balancer may send
    them elsewhere. The descriptor is released also if the connect had not run its first step.
    """
    unreachable = FullBacklogListener()
    harness = PoolHarness(unreachable.address)
    attempt = harness.start()
    for _ in range(turns):
        await asyncio.sleep(0)
    assert harness.host.connecting
    end_attempt(harness, attempt)
    assert [outcome for outcome, _ in harness.results] == [Outcome.MOOT]
    await until(lambda: harness.descriptors.used == 0)
    unreachable.close()


@on_loop
async def test_a_retired_host_has_its_idle_connections_closed() -> None:
    host = await FakeHost().start()
    harness = PoolHarness(host.address)
    await harness.run()
    harness.pool.retire(harness.host)
    assert await host.closed.get() == 0
    assert (await harness.run())[0] is Outcome.MOOT
    await until(lambda: harness.descriptors.used == 0)
    # No connection was opened either, which would cost the host work.
    assert (len(host.seen), len(host.writers)) == (1, 1)


@on_loop
async def test_an_attempt_without_a_free_descriptor_is_not_sent() -> None:
    """Past the process's limit an accept would fail, and no response could be sent."""
    host = await FakeHost(behave=hang).start()
    harness = PoolHarness(host.address, sockets=1)
    first = harness.start()
    await host.arrivals.get()
    assert (await harness.run())[0] is Outcome.MOOT
    first.cancel()
    await until(lambda: harness.descriptors.used == 0)


@on_loop
async def test_an_idle_connection_is_closed_to_connect_to_another_host() -> None:
    one, other = await FakeHost().start(), await FakeHost().start()
    harness = PoolHarness(one.address, sockets=1)
    await harness.run()
    harness.host = PooledHost("s-2", other.address)
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert await one.closed.get() == 0


@on_loop
async def test_a_response_in_many_segments_is_complete() -> None:
    async def send_bytewise(message: Message, writer: asyncio.StreamWriter) -> None:
        for byte in response(b"in pieces"):
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(0)

    harness = PoolHarness((await FakeHost(behave=send_bytewise).start()).address)
    outcome, reply = await harness.run()
    assert (outcome, reply and reply.body) == (Outcome.SUCCESS, b"in pieces")


# Events that coincide.


@on_loop
async def test_a_connection_that_comes_up_as_its_connect_times_out_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = await FakeHost().start()
    harness = PoolHarness(host.address, connect_timeout_s=0.2)
    made = HostConnection.connection_made

    def late(connection: HostConnection, transport: asyncio.BaseTransport) -> None:
        made(connection, transport)
        # the time-out expires in the loop iteration in which the connection comes up
        time.sleep(0.3)

    monkeypatch.setattr(HostConnection, "connection_made", late)
    assert (await harness.run())[0] is Outcome.CONNECT_FAILED
    assert await host.closed.get() == 0
    await until(lambda: harness.descriptors.used == 0)
    assert not host.seen


@on_loop
async def test_an_overdue_response_with_unread_bytes_is_read() -> None:
    host = await FakeHost(behave=send_bytes(response(b"whole")[:-3])).start()
    harness = PoolHarness(host.address)
    attempt = harness.start()
    await host.arrivals.get()
    await until(
        lambda: attempt.connection is not None and attempt.connection._overdue_timer is not None
    )
    assert attempt.connection is not None
    os.write(host.writers[0].get_extra_info("socket").fileno(), b"ole")
    attempt.connection._response_overdue()
    await until(lambda: bool(harness.results))
    assert harness.results == [(Outcome.SUCCESS, HostResponse(b"whole", None))]
