"""Seeded fuzz test on real sockets: the rules of the execution log hold under random faults."""

from __future__ import annotations

import asyncio
import random

import pytest

from roselink.routing.fleet_decider import FleetDecider
from tests.dataplane.fuzz import ExecutionLog, FuzzClient, FuzzHost
from tests.dataplane.harness import host_entry, respond, running_data_plane
from tests.support.event_loop import on_loop, until

HOSTS, CLIENTS, ROUNDS = 4, 6, 20


async def fuzz(seed: int) -> int:
    """Run one seed; returns the number of requests served."""
    rng = random.Random(seed)
    log = ExecutionLog()
    hosts = [
        await FuzzHost(f"fuzz-{n}", log, random.Random(rng.random())).start() for n in range(HOSTS)
    ]
    async with running_data_plane(
        respond(), custom_decider=FleetDecider("z", seed, 0.2, 10.0)
    ) as harness:
        harness.authority.publish(harness.snapshot(*(host_entry(host) for host in hosts)))
        clients = [
            FuzzClient(harness, log, random.Random(rng.random()), f"c{n}") for n in range(CLIENTS)
        ]
        await asyncio.gather(*(client.run(ROUNDS) for client in clients))
        await until(lambda: not harness.data_plane.driver.open_requests)
        await asyncio.sleep(0.15)
        log.check_all()
        assert not harness.hosts[0].seen
    for host in hosts:
        host.down()
    return sum(client.served for client in clients)


@pytest.mark.parametrize("seed", range(12))
@on_loop
async def test_execution_rules_hold_under_random_faults(seed: int) -> None:
    assert await fuzz(seed) > CLIENTS * ROUNDS / 10  # with fewer, the test checks too little


@pytest.mark.many_seeds
@pytest.mark.parametrize("seed", range(12, 400))
@on_loop
async def test_execution_rules_hold_under_random_faults_with_many_seeds(seed: int) -> None:
    await fuzz(seed)
