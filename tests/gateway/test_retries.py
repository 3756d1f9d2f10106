"""Retries, hedges and refusals of requests to hosts that fail."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from roselink.http.host_connection import HostConnection
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import hang, reset_connection, send_bytes, serve_ok
from tests.support.gateway_clients import BlockingClient, Client
from tests.support.gateway_harness import running_gateway, settings_data
from tests.support.http_messages import Message, response


async def read_to_end(client: Client) -> bytes:
    """Read until the gateway closes the connection."""
    return await client.reader.read()


async def refuse_not_started(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"", "503 Busy", "Not-Started: 1"))


@on_loop
async def test_with_no_capacity_a_client_is_refused_early_enough_to_retry_elsewhere() -> None:
    """Regression: if late responses had a value, requests waited for most of the client's
    time-out.
    """
    lane = {
        "name": "status-check",
        "semantics": "safe",
        "goal_time": 3_000_000,
        "deadline": 60_000_000,
        "late_worth": 0.2,
    }
    async with running_gateway(hang, settings=settings_data(lanes=[lane])) as harness:
        balancer, clients = harness.gateway.engine._balancer, []
        while not balancer.state.queued:
            clients.append(BlockingClient(harness.gateway.port))
            clients[-1].send()
            await until(lambda: len(balancer.requests) == len(clients))
        arrived_at = asyncio.get_running_loop().time()
        clients[-1].socket.setblocking(False)
        got = await asyncio.get_running_loop().sock_recv(clients[-1].socket, 65536)
        assert got.startswith(b"HTTP/1.1 503")
        assert b"Retry-After" in got
        assert asyncio.get_running_loop().time() < arrived_at + 3.0
        assert len(balancer.requests) == len(clients) - 1  # the others are still open


@on_loop
async def test_an_unresponsive_host_fails_only_one_request() -> None:
    async with running_gateway(hang) as harness, harness.client() as client:
        got = await client.request(Request_Timeout_Ms="300")
        assert got.status == 503  # a safe request may be refused after an attempt
        assert float(got.headers["retry-after"]) == 0.6
        harness.hosts[0].writers[0].write(response(b"too late"))
        harness.hosts[0].behave = serve_ok
        harness.gateway.server.draining = True
        assert (
            b"too late"
            not in (await client.request(Connection="close", Request_Timeout_Ms="300")).body
        )
        assert await read_to_end(client) == b""


@on_loop
async def test_an_unsafe_request_that_may_have_run_fails() -> None:
    async with running_gateway(hang) as harness, harness.client() as client:
        got = await client.request("/audit/k", b"x", Request_Timeout_Ms="300")
        assert got.status == 502
        assert "retry-after" not in got.headers


@on_loop
async def test_an_incomplete_response_is_not_served() -> None:
    half = send_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", end=True)
    async with running_gateway(half) as harness, harness.client() as client:
        got = await client.request("/audit/k", b"x")
        assert (got.status, got.body) == (502, b"")


@pytest.mark.parametrize(
    "behave",
    [
        reset_connection,
        send_bytes(response(b"", "500 Error")),
        send_bytes(response(b"", "503 Busy")),
    ],
)
@on_loop
async def test_an_unsafe_request_that_may_have_run_is_not_retried(behave: Any) -> None:
    async with running_gateway(behave, behave) as harness, harness.client() as client:
        assert (await client.request("/audit/k", b"x")).status == 502
        assert sum(len(host.seen) for host in harness.hosts) == 1


@on_loop
async def test_an_unsafe_request_that_was_not_started_is_retried() -> None:
    async with running_gateway(refuse_not_started, serve_ok) as harness:
        for _ in range(200):  # until the host that refuses was chosen once
            async with harness.client() as client:
                assert (await client.request("/audit/k", b"x")).status == 200
            if harness.hosts[0].seen:
                break
        assert (
            harness.hosts[0].seen[0].headers["request-id"]
            == harness.hosts[1].seen[-1].headers["request-id"]
        )


@on_loop
async def test_a_keyed_request_is_retried_with_its_key() -> None:
    """Hedging is off: under load a hedge sometimes spent the token that the retry needs."""
    without_hedges = settings_data(limits={"parallel_tries": False})
    async with running_gateway(reset_connection, serve_ok, settings=without_hedges) as harness:
        for _ in range(200):
            async with harness.client() as client:
                assert (await client.request("/seat-checkout/k", b"x")).status == 200
            if harness.hosts[0].seen:
                break
        first, others = harness.hosts[0].seen[0], harness.hosts[1].seen
        assert first.headers["idempotency-key"] in {
            other.headers["idempotency-key"] for other in others
        }


@on_loop
async def test_a_slow_connect_sends_no_retry_after_the_hosts_memory_span(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The retry is decided within the hosts' memory span, but its connection opens after it."""
    lane = {
        "name": "seat-checkout",
        "semantics": "keyed",
        "group": "all",
        "memory_span": 400_000,
        "goal_time": 2_000_000,
        "deadline": 60_000_000,
    }
    async with (
        running_gateway(reset_connection, settings=settings_data(lanes=[lane])) as harness,
        harness.client() as client,
    ):
        made = HostConnection.connection_made

        def late(connection: HostConnection, transport: asyncio.BaseTransport) -> None:
            made(connection, transport)
            if harness.hosts[0].seen:
                time.sleep(0.5)

        monkeypatch.setattr(HostConnection, "connection_made", late)
        assert (await client.request("/seat-checkout/k", b"x")).status == 503
        assert len(harness.hosts[0].seen) == 1


@on_loop
async def test_a_slow_request_is_hedged_and_the_slower_attempt_cancelled() -> None:
    async with running_gateway(serve_ok, serve_ok) as harness, harness.client() as client:
        # the balancer learns the usual latency, and earns the token for a hedge
        for _ in range(20):
            await client.request()
        slow, quick = harness.hosts
        slow.seen.clear()
        slow.behave = hang
        while not slow.seen:
            assert (await client.request()).status == 200
        await slow.closed.get()
        assert slow.seen[0].headers["request-id"] == quick.seen[-1].headers["request-id"]


@on_loop
async def test_the_id_of_an_open_request_is_rejected() -> None:
    """Hosts would treat two requests with one id as copies of each other."""
    async with running_gateway(hang) as harness, harness.client() as one, harness.client() as other:
        one.send(Request_Id="same")
        await harness.hosts[0].arrivals.get()
        assert (await other.request(Request_Id="same")).status == 400
        assert len(harness.hosts[0].seen) == 1
