"""From when the deadline of a request counts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import hang, serve_ok
from tests.support.gateway_clients import SuddenClient, client_request
from tests.support.gateway_harness import World, taken, world
from tests.support.http_messages import answer

if TYPE_CHECKING:
    from roselink.http.server_connection import ServerConnection


async def joined(w: World) -> ServerConnection:
    """The one connection of a client, once the gateway has it."""
    await until(lambda: len(w.gateway.server.connections) == 1)
    return next(iter(w.gateway.server.connections))


@on_loop
async def test_the_deadline_of_a_request_sent_ahead_counts_from_when_it_came() -> None:
    """It waits unparsed for the answers before it, and its client's time runs all the while."""
    async with world(hang) as w, w.client() as client:
        asked = taken(w)
        head = b"GET /status-check/k HTTP/1.1\r\nTenant: acme\r\nRequest-Timeout-Ms: 300\r\n"
        client.writer.write(b"".join(b"%bRequest-Id: a%d\r\n\r\n" % (head, n) for n in range(60)))
        for _ in range(60):
            assert (await client.receive()).status in (503, 504)
        assert len({request.expires for request in asked}) == 1


@on_loop
async def test_the_deadline_of_a_request_that_lay_unread_counts_from_when_it_came() -> None:
    """Its connection is not read while others wait there, and its client's time runs all the
    while.
    """
    loop = asyncio.get_running_loop()

    async def tick() -> float:
        before = loop.time()
        await until(lambda: loop.time() > before + 0.01)
        return loop.time()

    async with world(hang) as w:
        asked, client, host = taken(w), SuddenClient(w.gateway.port), w.hosts[0]
        client.send(count=60)
        await host.came.get()
        assert (await joined(w))._reading_paused
        earliest = await tick()
        host.writers[-1].write(answer())
        await host.came.get()
        await tick()
        client.send(count=60)  # stays in the kernel until the first lot is parsed
        latest = loop.time()
        await tick()
        host.behave = serve_ok
        host.writers[-1].write(answer())
        await until(lambda: len(asked) == 120)
        for request in asked[60:]:
            assert earliest - 0.001 < request.expires - 9.0 < latest + 0.005


@on_loop
async def test_the_deadline_of_a_slow_writer_counts_from_its_last_byte() -> None:
    loop = asyncio.get_running_loop()
    async with world(serve_ok) as w, w.client() as client:
        asked, (_, data) = taken(w), client_request()
        client.writer.write(data[:-2])
        connection = await joined(w)
        await until(lambda: connection._in_request)
        began = loop.time()
        await until(lambda: loop.time() > began + 0.01)
        client.writer.write(data[-2:])
        assert (await client.receive()).status == 200
        assert asked[0].expires - 9.0 > began + 0.005
