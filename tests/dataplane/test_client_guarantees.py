"""Guarantees to clients: open keep-alive connections, the end of a drain, traffic splits."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from roselink.dataplane import drain
from roselink.dataplane.drain import EXIT_RESERVE_S
from roselink.routing.fleet_decider import FleetDecider
from tests.dataplane.harness import (
    DataPlaneHarness,
    document,
    host_entry,
    request,
    respond,
    respond_not_executed,
    running_data_plane,
    settings,
)
from tests.support.event_loop import on_loop, until

if TYPE_CHECKING:
    import pytest

    from tests.support.http_messages import Message

ROUTE = next(route for route in document()["routes"] if route["name"] == "once")
SPLIT = (("model", 70), ("other", 30))
REQUESTS = 300


class DelayedHost:
    """Host that responds after `go` is set."""

    def __init__(self) -> None:
        self.go = asyncio.Event()

    async def behave(self, message: Message, writer: asyncio.StreamWriter) -> None:
        await self.go.wait()
        await respond(b"late")(message, writer)


async def wait_for_request(harness: DataPlaneHarness) -> None:
    """Wait until the host has received a request."""
    await until(lambda: len(harness.hosts[0].seen) == 1)


@on_loop
async def test_keep_alive_connection_with_open_request_is_not_closed() -> None:
    """Outside a drain too, neither the idle sweep nor `close_idle` nor a shortage of descriptors
    closes it.
    """
    delayed_host = DelayedHost()
    async with running_data_plane(delayed_host.behave) as harness, harness.client() as client:
        assert (
            await client.send_request("/nowhere/x")
        ).status == 404  # the connection is kept alive now
        client.writer.write(request("/once/x"))
        await wait_for_request(harness)
        server = harness.data_plane.server
        [connection] = server.connections
        connection.last_progress_at -= 3600.0
        server.sweep()
        server.close_idle()
        server._close_another(connection)
        assert list(server.connections) == [connection]
        delayed_host.go.set()
        response = await client.read_response()
        assert (response.status, response.body) == (200, b"late")
        # The connection is still open.
        assert (await client.send_request("/nowhere/x")).status == 404


@on_loop
async def test_response_in_last_sixth_of_grace_time_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A gateway exits 1 s before `grace_s`; a response that takes 6.7 to 7 s of 8 s is relayed."""
    grace_s = settings().thresholds.grace_s
    assert grace_s - EXIT_RESERVE_S > grace_s * 5 / 6
    delayed_host = DelayedHost()
    # This reserve leaves 5 s of the grace time for the drain.
    monkeypatch.setattr(drain, "EXIT_RESERVE_S", grace_s - 5.0)
    monkeypatch.setattr(drain, "ACCEPT_AFTER_SIGTERM_S", 0.0)
    async with running_data_plane(delayed_host.behave) as harness, harness.client() as client:
        client.writer.write(request("/once/x"))
        await wait_for_request(harness)
        harness.data_plane.begin_drain()
        await until(lambda: harness.data_plane.server._listener is None)
        delayed_host.go.set()
        response = await client.read_response()
        assert (response.status, response.body) == (200, b"late")
        assert response.headers["connection"] == "close"
        client.writer.close()
        await harness.data_plane.drained()


@on_loop
async def test_refusing_service_does_not_shift_traffic_split() -> None:
    """Requests that one service refuses are not sent to the other, which gets its full share."""
    split = [{"service": service, "weight": weight} for service, weight in SPLIT]
    route = {name: value for name, value in ROUTE.items() if name != "service"}
    changes = {
        "routes": [route | {"traffic_split": split, "max_attempts": 1}],
        "services": [{"name": service, "max_connections": 360} for service, _ in SPLIT],
        "tenants": [],
    }
    decider = FleetDecider("z", 7, 0.2, 10.0)
    async with running_data_plane(
        respond(), respond_not_executed(), custom_decider=decider
    ) as harness:
        entries = [
            host_entry(host, service=service)
            for host, (service, _) in zip(harness.hosts, SPLIT, strict=True)
        ]
        harness.authority.publish(harness.snapshot(*entries, **changes))
        statuses: Counter[int] = Counter()
        async with harness.client() as client:
            for _ in range(REQUESTS):
                statuses[(await client.send_request("/once/x", key=None)).status] += 1
        served = len(harness.hosts[0].seen)
        refused = len(harness.hosts[1].seen)
    assert statuses == {200: served, 503: REQUESTS - served}
    assert 0 < refused <= REQUESTS - served
    assert abs(served / REQUESTS - SPLIT[0][1] / 100) < 0.1
