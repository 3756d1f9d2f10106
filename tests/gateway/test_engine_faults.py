"""Exceptions in the balancer or in sending affect only their request, and all state is released."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from roselink.balancer.interface import (
    Alarm,
    Arrived,
    Departed,
    Event,
)
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import hang, reset_connection, serve_ok
from tests.support.gateway_harness import running_gateway
from tests.support.http_messages import Message, response

if TYPE_CHECKING:
    import pytest


class FrozenClock:
    """A loop whose clock does not advance, as within one loop iteration."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._now, self.read = loop, loop.time(), 0

    def time(self) -> float:
        self.read += 1
        return self._now

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


async def refuse_not_started(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"", "503 Busy", "Not-Started: 1"))


@on_loop
async def test_a_request_without_a_balancer_decision_gets_504() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        handle = harness.gateway.engine._balancer.handle
        harness.gateway.engine._balancer.handle = lambda now, events: []  # type: ignore[method-assign, assignment]
        assert (await client.request(Request_Timeout_Ms="200")).status == 504
        harness.gateway.engine._balancer.handle = handle  # type: ignore[method-assign]
        assert (await client.request()).status == 200


@on_loop
async def test_a_balancer_exception_fails_only_its_request() -> None:
    """An exception fails one request and is logged, and the gateway serves the next request."""
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        handle = harness.gateway.engine._balancer.handle

        def fault(now: int, events: list[Event]) -> Any:
            if isinstance(events[0], Arrived) and events[0].key == "bad":
                raise RuntimeError("a fault")
            return handle(now, events)

        harness.gateway.engine._balancer.handle = fault  # type: ignore[method-assign, assignment]
        assert (await client.request("/status-check/bad")).status == 502
        assert (await client.request()).status == 200
        assert not harness.gateway.engine._open


@on_loop
async def test_a_balancer_exception_after_the_response_releases_the_request() -> None:
    """The client has its response, so no other event would release the balancer's record."""
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        balancer = harness.gateway.engine._balancer
        learn, balancer.learn = balancer.learn, lambda *_: 1 / 0  # type: ignore[method-assign, assignment]
        assert (await client.request()).status == 200
        await until(lambda: not balancer.requests and not harness.gateway.engine._open)
        balancer.learn = learn  # type: ignore[method-assign]


@on_loop
async def test_responses_faster_than_the_clock_resolution_are_valid(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        harness.gateway.engine._loop = frozen = FrozenClock(asyncio.get_running_loop())  # type: ignore[assignment]
        for _ in range(3):
            assert (await client.request()).status == 200
        assert frozen.read
        assert "balancer failed" not in caplog.text


@on_loop
async def test_an_exception_in_sending_fails_only_its_request() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        start = harness.gateway.upstream.start
        harness.gateway.upstream.start = lambda *_: 1 / 0  # type: ignore[method-assign, assignment]
        assert (await client.request()).status in (502, 503)
        harness.gateway.upstream.start = start  # type: ignore[method-assign]
        assert (await client.request("/up", method="GET")).status == 200
        assert not harness.gateway.engine._open


@on_loop
async def test_a_disconnect_cancels_the_attempt() -> None:
    async with running_gateway(hang) as harness:
        async with harness.client() as client:
            client.send(Request_Timeout_Ms="50000")  # longer than the test's time-out
            await harness.hosts[0].arrivals.get()
        await harness.hosts[0].closed.get()
        await until(
            lambda: not harness.gateway.engine._open and not harness.gateway.engine._unanswered_ids
        )


@on_loop
async def test_finished_requests_are_released() -> None:
    async with running_gateway(serve_ok, reset_connection) as harness:
        async with harness.client() as client:
            for _ in range(60):
                await client.request()
        engine = harness.gateway.engine
        await until(
            lambda: (
                not engine._open and not engine._unanswered_ids and not engine._balancer.requests
            )
        )
        await until(
            lambda: (
                harness.gateway.server._descriptors.used
                == sum(len(host.idle) for host in engine.hosts.values())
            )
        )


@on_loop
async def test_events_for_unknown_requests_are_ignored() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        harness.gateway.engine.feed(Departed(999))
        harness.gateway.engine.feed(Alarm(999))
        assert (await client.request()).status == 200


@on_loop
async def test_counters_agree_with_the_sockets_after_mixed_failures() -> None:
    """Hosts are added, hang, restart and are removed while requests succeed, time out, are hedged
    or abandoned. Afterwards the balancer's counters, the engine's records and the descriptors agree
    with the sockets.
    """
    async with running_gateway(
        serve_ok, serve_ok, hang, reset_connection, refuse_not_started
    ) as harness:
        engine, balancer = harness.gateway.engine, harness.gateway.engine._balancer
        for turn in range(6):
            clients = [await harness.client().__aenter__() for _ in range(12)]
            for number, client in enumerate(clients):
                wait = "150" if number % 3 else "9000"
                client.send(
                    ("/status-check/k", "/audit/k")[number % 2] + str(turn), Request_Timeout_Ms=wait
                )
            host = harness.hosts[turn % 5]
            if turn == 5:
                harness.discovery.send_changes(
                    host.entry(lifecycle="removed"), harness.hosts[1].entry(instanceId="s-new")
                )
            else:
                harness.discovery.send_changes(host.entry(startedAtMs=turn + 1, weight=1.0 + turn))
            for number, client in enumerate(clients):
                if number % 3:
                    await client.receive()
                client.writer.close()
        await until(
            lambda: (
                not harness.gateway.server.connections
                and not engine._open
                and not engine._unanswered_ids
            )
        )
        await until(
            lambda: (
                not balancer.requests
                and not harness.gateway.upstream._tasks
                and not balancer.state.queued
            )
        )
        assert all(s.in_flight == s.overdue == 0 for s in balancer.state.servers.values())
        assert set(balancer.state.servers) == set(engine.hosts)
        idle = [c for host in engine.hosts.values() for c in host.idle]
        assert set(harness.gateway.upstream._idle) == set(idle)
        await until(
            lambda: harness.gateway.server._descriptors.used == len(harness.gateway.upstream._idle)
        )
        assert not harness.gateway.server._unused
        assert not harness.gateway.server._idle
        assert not harness.gateway.server._finishing
