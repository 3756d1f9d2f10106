"""Host list changes in a complete gateway: drains, new addresses and cold starts."""

from __future__ import annotations

import time

import pytest

from roselink.balancer.interface import (
    Action,
    AttemptDone,
    Event,
    ServerList,
)
from roselink.gateway.host_list import server_number
from roselink.routing.outcome import Outcome
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import FakeHost, FullBacklogListener, hang, serve_ok
from tests.support.gateway_harness import running_gateway, settings_data
from tests.support.http_messages import response


@pytest.mark.parametrize("lifecycle", ["draining", "removed"])
@on_loop
async def test_a_drained_host_gets_no_new_requests(lifecycle: str) -> None:
    async with running_gateway(serve_ok, serve_ok) as harness, harness.client() as client:
        leaving = harness.hosts[0]
        while not leaving.seen:
            await client.request()
        harness.discovery.send_changes(leaving.entry(lifecycle=lifecycle))
        hosts, number = harness.gateway.engine.hosts, server_number(leaving.name)
        await until(lambda: number not in hosts or not hosts[number].ready)
        await client.request()  # requests in transit have arrived by now
        before = len(leaving.seen)
        for _ in range(30):
            assert (await client.request()).status == 200
        assert len(leaving.seen) == before


@on_loop
async def test_a_drained_host_finishes_its_open_request() -> None:
    async with running_gateway(hang) as harness, harness.client() as client:
        client.send()
        await harness.hosts[0].arrivals.get()
        harness.discovery.send_changes(harness.hosts[0].entry(lifecycle="draining"))
        await until(lambda: not next(iter(harness.gateway.engine.hosts.values())).ready)
        harness.hosts[0].writers[0].write(response(b"finished"))
        assert (await client.receive()).body == b"finished"


@on_loop
async def test_a_drain_during_a_connect_moves_the_request() -> None:
    unreachable = FullBacklogListener()
    async with running_gateway() as harness, harness.client() as client:
        connecting = FakeHost("s-stuck")
        connecting.address = unreachable.address
        harness.discovery.send_changes(connecting.entry())
        await until(lambda: len(harness.gateway.engine.hosts) == 1)
        client.send()
        await until(lambda: any(h.connecting for h in harness.gateway.engine.hosts.values()))
        good = await FakeHost("s-good").start()
        harness.discovery.send_changes(connecting.entry(lifecycle="draining"), good.entry())
        assert (await client.receive()).status == 200
        assert len(good.seen) == 1
    unreachable.close()


@on_loop
async def test_the_balancer_gets_the_list_before_the_outcomes_of_ended_attempts() -> None:
    """In the opposite order, the balancer would retry by the old list at another draining host."""
    unreachable = FullBacklogListener()
    async with running_gateway() as harness, harness.client() as client:
        connecting, other = FakeHost("s-stuck"), FakeHost("s-other")
        connecting.address = other.address = unreachable.address
        harness.discovery.send_changes(connecting.entry(), other.entry())
        await until(lambda: len(harness.gateway.engine.hosts) == 2)
        client.send()
        await until(lambda: any(h.connecting for h in harness.gateway.engine.hosts.values()))
        handled: list[Event] = []
        handle = harness.gateway.engine._balancer.handle

        def record(now_us: int, events: list[Event]) -> list[Action]:
            handled.extend(events)
            return handle(now_us, events)

        harness.gateway.engine._balancer.handle = record  # type: ignore[method-assign]
        good = await FakeHost("s-good").start()
        harness.discovery.send_changes(
            connecting.entry(lifecycle="draining"), other.entry(lifecycle="draining"), good.entry()
        )
        assert (await client.receive()).status == 200
        ended = [event for event in handled if isinstance(event, AttemptDone)]
        assert isinstance(handled[0], ServerList)
        assert [event.outcome for event in ended] == [Outcome.MOOT, Outcome.SUCCESS]
    unreachable.close()


@on_loop
async def test_a_host_with_a_new_address_is_connected_there() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        await client.request()
        moved = await FakeHost("s-0").start()
        harness.discovery.send_changes(moved.entry())
        await harness.hosts[0].closed.get()
        assert (await client.request()).status == 200
        assert len(moved.seen) == 1


@on_loop
async def test_host_start_times_are_compared_with_unix_time() -> None:
    """A host started a second ago is cold and one started an hour ago is warm, also when it started
    before this process.
    """
    rules = {"cold": 60_000_000, "cold_from": 0.3, "fall_multiple": 3.0}
    async with running_gateway(serve_ok, settings=settings_data(guarantees=rules)) as harness:
        now_ms = time.time_ns() // 1_000_000
        assert abs(harness.gateway.engine.now_us() / 1000 - now_ms) < 60_000
        recent, old = await FakeHost("s-young").start(), await FakeHost("s-old").start()
        harness.discovery.send_changes(
            recent.entry(startedAtMs=now_ms - 1000), old.entry(startedAtMs=now_ms - 3_600_000)
        )
        await until(lambda: len(harness.gateway.engine.hosts) == 3)
        balancer = harness.gateway.engine._balancer
        assert [s.spec.id for s in balancer.state.cold] == [server_number("s-young")]


@on_loop
async def test_a_cold_host_gets_a_limited_share_of_a_burst() -> None:
    """A request counts as at most the work of its target latency: of 50 requests at once, at most
    one may go to the cold host.
    """
    rules = {"cold": 60_000_000, "cold_from": 0.3, "fall_multiple": 1.0}
    async with running_gateway(hang, hang, settings=settings_data(guarantees=rules)) as harness:
        cold = await FakeHost("s-cold", hang).start()
        harness.discovery.send_changes(cold.entry(startedAtMs=time.time_ns() // 1_000_000))
        await until(lambda: len(harness.gateway.engine.hosts) == 3)
        clients = [await harness.client().__aenter__() for _ in range(50)]
        for client in clients:
            client.send()
        await until(lambda: len(harness.hosts[0].seen) + len(harness.hosts[1].seen) >= 6)
        assert len(cold.seen) <= 1
        for client in clients:
            client.writer.close()
