"""A seeded fuzz on real sockets: whatever hosts and clients do at any byte, the ledger's rules
hold.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from roselink.routing.fleet_decider import FleetDecider
from tests.dataplane.fuzz import FuzzClient, FuzzHost, Ledger
from tests.dataplane.harness import host_line, plain, running_data_plane
from tests.support.event_loop import on_loop, until

HOSTS, CLIENTS, TURNS = 4, 6, 20


async def fuzz(seed: int) -> int:
    """Play one seed; how many requests were served."""
    draw = random.Random(seed)
    ledger = Ledger()
    hosts = [
        await FuzzHost(f"fuzz-{n}", ledger, random.Random(draw.random())).start()
        for n in range(HOSTS)
    ]
    async with running_data_plane(plain(), by=FleetDecider("z", seed, 0.2, 10.0)) as harness:
        harness.authority.tell(harness.snapshot(*(host_line(host) for host in hosts)))
        clients = [
            FuzzClient(harness, ledger, random.Random(draw.random()), f"c{n}")
            for n in range(CLIENTS)
        ]
        await asyncio.gather(*(client.run(TURNS) for client in clients))
        await until(lambda: not harness.data_plane.driver.open_requests)
        await asyncio.sleep(0.15)
        ledger.check_all()
        assert not harness.hosts[0].seen
    for host in hosts:
        host.down()
    return sum(client.served for client in clients)


@pytest.mark.parametrize("seed", range(12))
@on_loop
async def test_whatever_goes_wrong_at_any_byte(seed: int) -> None:
    assert await fuzz(seed) > CLIENTS * TURNS / 10  # or the fuzz shows nothing


@pytest.mark.many_seeds
@pytest.mark.parametrize("seed", range(12, 400))
@on_loop
async def test_many_seeds(seed: int) -> None:
    await fuzz(seed)
