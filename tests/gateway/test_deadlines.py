"""The time from which the deadline of a request counts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import hang, serve_ok
from tests.support.gateway_clients import BlockingClient, client_request
from tests.support.gateway_harness import GatewayHarness, accepted_requests, running_gateway
from tests.support.http_messages import response

if TYPE_CHECKING:
    from roselink.http.server_connection import ServerConnection


async def only_connection(harness: GatewayHarness) -> ServerConnection:
    """Wait for the gateway to accept one client connection; returns it."""
    await until(lambda: len(harness.gateway.server.connections) == 1)
    return next(iter(harness.gateway.server.connections))


@on_loop
async def test_the_deadline_of_a_pipelined_request_counts_from_its_arrival() -> None:
    """The request waits unparsed for earlier responses, while its client's time-out runs."""
    async with running_gateway(hang) as harness, harness.client() as client:
        requests = accepted_requests(harness)
        head = b"GET /status-check/k HTTP/1.1\r\nTenant: acme\r\nRequest-Timeout-Ms: 300\r\n"
        client.writer.write(b"".join(b"%bRequest-Id: a%d\r\n\r\n" % (head, n) for n in range(60)))
        for _ in range(60):
            assert (await client.receive()).status in (503, 504)
        assert len({request.expires for request in requests}) == 1


@on_loop
async def test_the_deadline_of_a_request_unread_in_the_kernel_counts_from_its_arrival() -> None:
    """Reading is paused while earlier requests wait, and the client's time-out runs on."""
    loop = asyncio.get_running_loop()

    async def next_tick() -> float:
        before = loop.time()
        await until(lambda: loop.time() > before + 0.01)
        return loop.time()

    async with running_gateway(hang) as harness:
        requests, client, host = (
            accepted_requests(harness),
            BlockingClient(harness.gateway.port),
            harness.hosts[0],
        )
        client.send(count=60)
        await host.arrivals.get()
        assert (await only_connection(harness))._reading_paused
        earliest = await next_tick()
        host.writers[-1].write(response())
        await host.arrivals.get()
        await next_tick()
        client.send(count=60)  # stays in the kernel until the first batch is parsed
        latest = loop.time()
        await next_tick()
        host.behave = serve_ok
        host.writers[-1].write(response())
        await until(lambda: len(requests) == 120)
        for request in requests[60:]:
            assert earliest - 0.001 < request.expires - 9.0 < latest + 0.005


@on_loop
async def test_the_deadline_of_a_slow_writer_counts_from_its_last_byte() -> None:
    loop = asyncio.get_running_loop()
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        requests, (_, data) = accepted_requests(harness), client_request()
        client.writer.write(data[:-2])
        connection = await only_connection(harness)
        await until(lambda: connection._in_request)
        began = loop.time()
        await until(lambda: loop.time() > began + 0.01)
        client.writer.write(data[-2:])
        assert (await client.receive()).status == 200
        assert requests[0].expires - 9.0 > began + 0.005
