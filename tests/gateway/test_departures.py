"""A request whose client has left while it waited is not sent on. Each test lets the client leave
in the very turn of the loop in which the send comes due: its end is in the kernel, and the loop has
not told of it.
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
from tests.support.gateway_clients import Client, SuddenClient, client_request
from tests.support.gateway_harness import World, taken, world
from tests.support.http_messages import Message, answer

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


@pytest.fixture(autouse=True)
def connections_settle_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a connection at hand a send is written in the turn in which it comes due."""
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)


@pytest.fixture(
    autouse=True, params=[SuddenClient.close, SuddenClient.reset, SuddenClient.end_sending]
)
def way_of_leaving(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SuddenClient, "how", request.param)


class HeldAlarms:
    """The module's alarms, which wait until a test lets them ring."""

    def __init__(self, w: World) -> None:
        self.held: list[Event] = []
        self._feed: Callable[[Event], None] = w.gateway.engine.feed
        w.gateway.engine.feed = self._take  # type: ignore[method-assign]

    def _take(self, event: Event) -> None:
        if isinstance(event, Alarm):
            self.held.append(event)
        else:
            self._feed(event)

    def ring(self) -> None:
        held, self.held = self.held, []
        for event in held:
            self._feed(event)


async def refuse_unseen(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"", "503 Busy", "Not-Started: 1"))


def ids(*hosts: FakeHost) -> list[str]:
    return [message.headers["request-id"] for host in hosts for message in host.seen]


async def settled(w: World, then: Behaviour = serve_ok) -> None:
    """Nothing is open any more, and each host has read all that was written to it before this."""
    await until(lambda: not w.gateway.engine._open)
    for host in w.hosts:
        host.behave = serve_ok
        async with Client(host.address[1]) as client:
            assert (await client.ask()).status == 200
        host.behave = then


@on_loop
async def test_while_waiting_for_a_first_host() -> None:
    async with world() as w:
        client = SuddenClient(w.gateway.port)
        [number] = client.send()
        await until(lambda: bool(w.gateway.engine._open))
        w.hosts.append(await FakeHost("s-first").start())
        line = w.discovery.line(w.hosts[0].entry())
        client.leave()
        w.gateway.discovery._apply_value(line)
        await settled(w)
        assert number not in ids(*w.hosts)


@pytest.mark.parametrize("draining", [False, True])
@on_loop
async def test_in_backoff(draining: bool) -> None:
    async with world(refuse_unseen) as w:
        alarms, client = HeldAlarms(w), SuddenClient(w.gateway.port)
        [number] = client.send()
        await w.hosts[0].came.get()
        await until(lambda: bool(alarms.held))
        w.gateway.server.draining = draining
        client.leave()
        alarms.ring()
        w.gateway.server.draining = False
        await settled(w)
        assert ids(*w.hosts).count(number) == 1


@on_loop
async def test_while_waiting_for_a_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    async with world(serve_ok) as w:
        client = SuddenClient(w.gateway.port)
        made = HostConnection.connection_made

        def leave(connection: HostConnection, transport: asyncio.BaseTransport) -> None:
            made(connection, transport)
            client.leave()

        with monkeypatch.context() as patch:
            patch.setattr(HostConnection, "connection_made", leave)
            [number] = client.send()
            await until(lambda: client.left and not w.gateway.engine._open)
        await settled(w)
        assert number not in ids(*w.hosts)


@on_loop
async def test_while_queued_behind_another_request_of_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer before it and its client's end come in one turn."""
    async with world(hang) as w:
        client = SuddenClient(w.gateway.port)
        whole = ClientConnection.respond

        def leave(connection: ClientConnection, *reply: object) -> None:
            whole(connection, *reply)  # type: ignore[arg-type]
            client.leave()

        with monkeypatch.context() as patch:
            patch.setattr(ClientConnection, "respond", leave)
            first, second = client.send(count=2)
            await w.hosts[0].came.get()
            w.hosts[0].writers[0].write(answer())
            await until(lambda: client.left)
            await until(lambda: not w.gateway.server.connections)
        await settled(w)
        assert ids(*w.hosts).count(first) == 1
        assert second not in ids(*w.hosts)


@on_loop
async def test_with_reading_paused() -> None:
    """Its client sent so much ahead that its connection is not read, and so not its end either."""
    async with world(hang) as w:
        client = SuddenClient(w.gateway.port)
        first, *others = client.send(count=60)
        await w.hosts[0].came.get()
        [connection] = w.gateway.server.connections
        assert connection._reading_paused
        client.leave()
        w.hosts[0].writers[0].write(answer())
        await until(lambda: not w.gateway.server.connections)
        await settled(w)
        assert ids(*w.hosts).count(first) == 1
        assert not set(others) & set(ids(*w.hosts))


@pytest.mark.parametrize(("leaves", "copies"), [(True, 1), (False, 2)])
@on_loop
async def test_with_a_hedge_due(leaves: bool, copies: int) -> None:
    async with world(serve_ok, serve_ok) as w:
        alarms = HeldAlarms(w)  # a copy sent while the module learns would spend a token
        async with w.client() as client:
            for _ in range(20):  # the module learns what is slow
                await client.ask()
            while not all(host.idle for host in w.gateway.engine.hosts.values()):
                await (
                    client.ask()
                )  # a copy that had to connect first would come after the client's end
        await until(lambda: len(alarms.held) == len(w.gateway.engine._balancer.alarms))
        alarms.ring()  # those of the requests before: what is held from now on is the next one's
        for host in w.hosts:
            host.behave = hang
        sudden = SuddenClient(w.gateway.port)
        [number] = sudden.send()
        await until(lambda: number in ids(*w.hosts) and bool(alarms.held))
        if leaves:
            sudden.leave()
        alarms.ring()
        if not leaves:
            await until(lambda: ids(*w.hosts).count(number) == 2)
            sudden.leave()
        await settled(w, hang)
        assert ids(*w.hosts).count(number) == copies


@pytest.mark.parametrize("pieces", [1, 2])
@on_loop
async def test_right_behind_its_request(pieces: int) -> None:
    """Its last bytes and its end are in the kernel together."""
    async with world(serve_ok) as w:
        async with w.client() as usual:
            assert (await usual.ask()).status == 200  # there is a connection to write to at once
        asked, client, (number, data) = taken(w), SuddenClient(w.gateway.port), client_request()
        if pieces == 2:
            client.socket.sendall(data[:20])
            await until(lambda: any(c._in_request for c in w.gateway.server.connections))
        client.socket.sendall(data[20 * (pieces - 1) :])
        client.leave()
        await until(lambda: bool(asked))
        await settled(w)
        assert number not in ids(*w.hosts)
