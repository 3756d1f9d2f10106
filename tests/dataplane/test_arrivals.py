"""Requests that come before the first configuration, or before its first host."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from roselink.dataplane import arrivals as module
from roselink.dataplane.plane import DataPlane
from roselink.model.fleet import Snapshot
from tests.dataplane.stage import FakeBudget, Stage, plain, request, settings, stage
from tests.net import hang, on_loop, until


@asynccontextmanager
async def new_gateway() -> AsyncIterator[tuple[Stage, Snapshot]]:
    """A gateway that has nothing in force yet, and what will be."""
    async with stage(plain()) as old:
        old.plane.stop()
        snapshot = old.authority.now_in_force
        assert snapshot is not None
        old.authority.now_in_force, old.authority.callbacks = None, []
        loop = asyncio.get_running_loop()
        old.plane = DataPlane(settings(), loop, old.decider, old.authority, old.quotas, FakeBudget())
        await old.plane.start()
        yield old, snapshot


def waiting(s: Stage) -> int:
    return len(s.plane.engine.arrivals._waiting)


@pytest.mark.parametrize("hosts_later", [False, True])
@on_loop
async def test_they_wait_for_a_configuration_and_a_host(hosts_later: bool) -> None:
    async with new_gateway() as (s, snapshot), s.client() as one, s.client() as other:
        asked = [asyncio.ensure_future(client.ask()) for client in (one, other)]
        unknown = asyncio.ensure_future(ask_unknown(s))
        await until(lambda: waiting(s) == 3)
        if hosts_later:
            s.authority.tell(s.snapshot())
            assert waiting(s) == 3
        s.authority.tell(snapshot)
        assert [(await answer).status for answer in asked] == [200, 200]
        assert await unknown == 404
        assert len(s.hosts[0].seen) == 2
        assert s.plane.engine.arrivals.body_bytes == 0
        s.authority.tell(s.snapshot())  # a later lack of hosts is for the decider
        assert s.plane.engine.arrivals.over


async def ask_unknown(s: Stage) -> int:
    async with s.client() as client:
        return (await client.ask("/nowhere/x")).status


@on_loop
async def test_after_a_part_of_the_clients_time_they_are_refused_and_may_come_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with new_gateway() as (s, _), s.client() as client:
        loop = asyncio.get_running_loop()
        for most_s, deadline_ms, waits_s in ((1.0, 150, 0.05), (0.04, 5000, 0.04)):
            monkeypatch.setattr(module, "WAIT_MOST_S", most_s)
            began = loop.time()
            got = await client.ask(X_Request_Deadline=str(deadline_ms), body=b"b")
            assert (got.status, "retry-after" in got.headers) == (503, True)
            assert waits_s * 0.9 <= loop.time() - began < 1.0
        assert s.plane.engine.arrivals.body_bytes == 0


@on_loop
async def test_a_client_that_leaves_is_not_served() -> None:
    async with new_gateway() as (s, snapshot):
        async with s.client() as client:
            client.writer.write(request(body=b"long"))
            await until(lambda: waiting(s) == 1)
            assert s.plane.engine.arrivals.body_bytes == 4
        await until(lambda: waiting(s) == 0)
        s.authority.tell(snapshot)
        assert s.plane.engine.arrivals.body_bytes == 0 and not s.plane.engine.open
        assert not s.hosts[0].seen


@on_loop
async def test_a_client_that_leaves_after_its_wait_ends_its_attempts() -> None:
    async with new_gateway() as (s, snapshot):
        async with s.client() as client:
            client.writer.write(request())
            await until(lambda: waiting(s) == 1)
            s.hosts[0].behave = hang
            s.authority.tell(snapshot)
            await until(lambda: len(s.plane.engine.open) == 1)
        await until(lambda: not s.plane.engine.open)


@on_loop
async def test_a_drain_lets_nothing_wait() -> None:
    async with new_gateway() as (s, _), s.client() as client:
        asked = asyncio.ensure_future(client.ask())
        await until(lambda: waiting(s) == 1)
        s.plane.begin_drain()
        assert (await asked).status == 503
