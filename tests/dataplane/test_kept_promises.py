"""What clients may rely on beside planned work: kept connections, the end of a drain, shares."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from roselink.dataplane import gateway_data_plane
from roselink.dataplane.gateway_data_plane import EXIT_RESERVE_S
from roselink.routing.fleet_decider import FleetDecider
from tests.dataplane.harness import (
    DataPlaneHarness,
    document,
    host_line,
    plain,
    rejects,
    request,
    running_data_plane,
    settings,
)
from tests.support.event_loop import on_loop, until

if TYPE_CHECKING:
    import pytest

    from tests.support.http_messages import Message

ROUTE = next(route for route in document()["routes"] if route["name"] == "once")
SHARES = (("model", 70), ("other", 30))
REQUESTS = 300


class Held:
    """A host that answers once it is told to."""

    def __init__(self) -> None:
        self.go = asyncio.Event()

    async def behave(self, message: Message, writer: asyncio.StreamWriter) -> None:
        await self.go.wait()
        await plain(b"late")(message, writer)


async def passed_on(harness: DataPlaneHarness) -> None:
    """Until the host has a request."""
    await until(lambda: len(harness.hosts[0].seen) == 1)


@on_loop
async def test_a_kept_connection_stays_until_the_answer_to_what_was_passed_on() -> None:
    """At no time, not only while draining: not for idleness, and not to make room."""
    held = Held()
    async with running_data_plane(held.behave) as harness, harness.client() as client:
        assert (await client.ask("/nowhere/x")).status == 404  # the connection is a kept one now
        client.writer.write(request("/once/x"))
        await passed_on(harness)
        server = harness.data_plane.server
        [connection] = server.connections
        connection.last_progress_at -= 3600.0
        server.sweep()
        server.close_idle()
        server._close_another(connection)
        assert list(server.connections) == [connection]
        held.go.set()
        got = await client.answer()
        assert (got.status, got.body) == (200, b"late")
        assert (await client.ask("/nowhere/x")).status == 404  # and it is kept on


@on_loop
async def test_an_answer_in_the_last_sixth_of_the_grace_time_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A gateway ends 1 s before `grace_s`: a host that needs 6.7 to 7 s of 8 is not cut off."""
    grace_s = settings().thresholds.grace_s
    assert grace_s - EXIT_RESERVE_S > grace_s * 5 / 6
    held = Held()
    # From here on it is as it is so long before the end.
    monkeypatch.setattr(gateway_data_plane, "EXIT_RESERVE_S", grace_s - 5.0)
    monkeypatch.setattr(gateway_data_plane, "ACCEPT_AFTER_SIGTERM_S", 0.0)
    async with running_data_plane(held.behave) as harness, harness.client() as client:
        client.writer.write(request("/once/x"))
        await passed_on(harness)
        harness.data_plane.begin_drain()
        await until(lambda: harness.data_plane.server._listener is None)
        held.go.set()
        got = await client.answer()
        assert (got.status, got.body) == (200, b"late")
        assert got.headers["connection"] == "close"
        client.writer.close()
        await harness.data_plane.drained()


@on_loop
async def test_a_part_that_refuses_does_not_shift_the_shares_of_a_split() -> None:
    """What one service turns away is not sent to the other, and the other gets no less."""
    split = [{"service": service, "weight": weight} for service, weight in SHARES]
    route = {name: value for name, value in ROUTE.items() if name != "service"}
    changes = {
        "routes": [route | {"traffic_split": split, "max_attempts": 1}],
        "services": [{"name": service, "max_connections": 360} for service, _ in SHARES],
        "tenants": [],
    }
    decider = FleetDecider("z", 7, 0.2, 10.0)
    async with running_data_plane(plain(), rejects(), by=decider) as harness:
        lines = [
            host_line(host, service=service)
            for host, (service, _) in zip(harness.hosts, SHARES, strict=True)
        ]
        harness.authority.tell(harness.snapshot(*lines, **changes))
        statuses: Counter[int] = Counter()
        async with harness.client() as client:
            for _ in range(REQUESTS):
                statuses[(await client.ask("/once/x", key=None)).status] += 1
        served = len(harness.hosts[0].seen)
        turned_away = len(harness.hosts[1].seen)
    assert statuses == {200: served, 503: REQUESTS - served}
    assert 0 < turned_away <= REQUESTS - served
    assert abs(served / REQUESTS - SHARES[0][1] / 100) < 0.1
