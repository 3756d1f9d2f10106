"""A request is not sent to a host after its client has disconnected.

Each test disconnects the client in the loop iteration in which the request becomes due: the kernel
has received the end of stream, and the event loop has not reported it yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from roselink.balancer.interface import Alarm, Event
from roselink.gateway.server import ClientConnection
from roselink.http import host_pool
from roselink.http.host_connection import HostConnection
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import Behaviour, FakeHost, hang, serve_ok
from tests.support.gateway_clients import BlockingClient, Client, client_request
from tests.support.gateway_harness import GatewayHarness, accepted_requests, running_gateway
from tests.support.http_messages import Message, response

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


@pytest.fixture(autouse=True)
def no_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Idle connections are usable at once, so a due request is written in the same loop
    iteration.
    """
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)


@pytest.fixture(
    autouse=True, params=[BlockingClient.close, BlockingClient.reset, BlockingClient.end_sending]
)
def disconnect_method(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(BlockingClient, "disconnect_method", request.param)


class DeferredAlarms:
    """Collects the balancer's alarms until a test delivers them."""

    def __init__(self, harness: GatewayHarness) -> None:
        self.deferred: list[Event] = []
        self._feed: Callable[[Event], None] = harness.gateway.engine.feed
        harness.gateway.engine.feed = self._defer  # type: ignore[method-assign]

    def _defer(self, event: Event) -> None:
        if isinstance(event, Alarm):
            self.deferred.append(event)
        else:
            self._feed(event)

    def deliver(self) -> None:
        deferred, self.deferred = self.deferred, []
        for event in deferred:
            self._feed(event)


async def refuse_not_started(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"", "503 Busy", "Not-Started: 1"))


def ids(*hosts: FakeHost) -> list[str]:
    return [message.headers["request-id"] for host in hosts for message in host.seen]


async def all_requests_ended(harness: GatewayHarness, then: Behaviour = serve_ok) -> None:
    """Wait until no request is open and each host has read all that was written to it before."""
    await until(lambda: not harness.gateway.engine._open)
    for host in harness.hosts:
        host.behave = serve_ok
        async with Client(host.address[1]) as client:
            assert (await client.request()).status == 200
        host.behave = then


@on_loop
async def test_a_request_waiting_for_a_first_host_is_not_sent_after_a_disconnect() -> None:
    async with running_gateway() as harness:
        client = BlockingClient(harness.gateway.port)
        [number] = client.send()
        await until(lambda: bool(harness.gateway.engine._open))
        harness.hosts.append(await FakeHost("s-first").start())
        line = harness.discovery.encode_list(harness.hosts[0].entry())
        client.disconnect()
        harness.gateway.discovery._apply_value(line)
        await all_requests_ended(harness)
        assert number not in ids(*harness.hosts)


@pytest.mark.parametrize("draining", [False, True])
@on_loop
async def test_a_request_in_backoff_is_not_retried_after_a_disconnect(draining: bool) -> None:
    async with running_gateway(refuse_not_started) as harness:
        alarms, client = DeferredAlarms(harness), BlockingClient(harness.gateway.port)
        [number] = client.send()
        await harness.hosts[0].arrivals.get()
        await until(lambda: bool(alarms.deferred))
        harness.gateway.server.draining = draining
        client.disconnect()
        alarms.deliver()
        harness.gateway.server.draining = False
        await all_requests_ended(harness)
        assert ids(*harness.hosts).count(number) == 1


@on_loop
async def test_a_request_waiting_for_a_connect_is_not_sent_after_a_disconnect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_gateway(serve_ok) as harness:
        client = BlockingClient(harness.gateway.port)
        made = HostConnection.connection_made

        def disconnect(connection: HostConnection, transport: asyncio.BaseTransport) -> None:
            made(connection, transport)
            client.disconnect()

        with monkeypatch.context() as patch:
            patch.setattr(HostConnection, "connection_made", disconnect)
            [number] = client.send()
            await until(lambda: client.disconnected and not harness.gateway.engine._open)
        await all_requests_ended(harness)
        assert number not in ids(*harness.hosts)


@on_loop
async def test_a_pipelined_request_is_not_sent_after_a_disconnect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The previous response and the client's end of stream come in one loop iteration."""
    async with running_gateway(hang) as harness:
        client = BlockingClient(harness.gateway.port)
        respond = ClientConnection.respond

        def disconnect(connection: ClientConnection, *reply: object) -> None:
            respond(connection, *reply)  # type: ignore[arg-type]
            client.disconnect()

        with monkeypatch.context() as patch:
            patch.setattr(ClientConnection, "respond", disconnect)
            first, second = client.send(count=2)
            await harness.hosts[0].arrivals.get()
            harness.hosts[0].writers[0].write(response())
            await until(lambda: client.disconnected)
            await until(lambda: not harness.gateway.server.connections)
        await all_requests_ended(harness)
        assert ids(*harness.hosts).count(first) == 1
        assert second not in ids(*harness.hosts)


@on_loop
async def test_a_disconnect_is_noticed_while_reading_is_paused() -> None:
    """So much is pipelined that reading is paused, and the end of stream is not read either."""
    async with running_gateway(hang) as harness:
        client = BlockingClient(harness.gateway.port)
        first, *others = client.send(count=60)
        await harness.hosts[0].arrivals.get()
        [connection] = harness.gateway.server.connections
        assert connection._reading_paused
        client.disconnect()
        harness.hosts[0].writers[0].write(response())
        await until(lambda: not harness.gateway.server.connections)
        await all_requests_ended(harness)
        assert ids(*harness.hosts).count(first) == 1
        assert not set(others) & set(ids(*harness.hosts))


@pytest.mark.parametrize(("disconnects", "attempts"), [(True, 1), (False, 2)])
@on_loop
async def test_a_hedge_is_not_sent_after_a_disconnect(disconnects: bool, attempts: int) -> None:
    async with running_gateway(serve_ok, serve_ok) as harness:
        # a hedge sent while latencies are learned would use up a token
        alarms = DeferredAlarms(harness)
        async with harness.client() as client:
            for _ in range(20):  # the balancer learns the usual latency
                await client.request()
            while not all(host.idle for host in harness.gateway.engine.hosts.values()):
                # a hedge that had to connect first would be sent after the disconnect
                await client.request()
        await until(lambda: len(alarms.deferred) == len(harness.gateway.engine._balancer.alarms))
        # alarms of earlier requests; those held from now on belong to the next one
        alarms.deliver()
        for host in harness.hosts:
            host.behave = hang
        hedged_client = BlockingClient(harness.gateway.port)
        [number] = hedged_client.send()
        await until(lambda: number in ids(*harness.hosts) and bool(alarms.deferred))
        if disconnects:
            hedged_client.disconnect()
        alarms.deliver()
        if not disconnects:
            await until(lambda: ids(*harness.hosts).count(number) == 2)
            hedged_client.disconnect()
        await all_requests_ended(harness, hang)
        assert ids(*harness.hosts).count(number) == attempts


@pytest.mark.parametrize("segments", [1, 2])
@on_loop
async def test_a_request_followed_by_a_disconnect_is_not_sent(segments: int) -> None:
    """The last bytes of the request and the end of stream are in the kernel together."""
    async with running_gateway(serve_ok) as harness:
        async with harness.client() as usual:
            # leaves an idle connection to write to at once
            assert (await usual.request()).status == 200
        requests, client, (number, data) = (
            accepted_requests(harness),
            BlockingClient(harness.gateway.port),
            client_request(),
        )
        if segments == 2:
            client.socket.sendall(data[:20])
            await until(lambda: any(c._in_request for c in harness.gateway.server.connections))
        client.socket.sendall(data[20 * (segments - 1) :])
        client.disconnect()
        await until(lambda: bool(requests))
        await all_requests_ended(harness)
        assert number not in ids(*harness.hosts)
