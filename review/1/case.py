"""The core machines are replaced as planned: new ones first, then the old ones end in turn."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins.case import BROKEN_RULE, COULD_NOT_RUN, HELD, World, run
from standins.hosts import Host
from standins.machines import HTTP_OK, THRESHOLDS, Fleet, Machine
from standins.wire import call

if TYPE_CHECKING:
    from standins.callers import Clients, Operator, Try

# The successors run for longer than `sync_s` before the old machines get their SIGTERM.
SUCCESSOR_AHEAD_S = THRESHOLDS["sync_s"] + 2.0
# Between the end of one old machine's process and the SIGTERM of the next machine.
GAP_S = float(os.environ.get("GAP_S", "0"))
# VARIANT=loss: one machine is replaced as planned; this long after its process has ended another
# one is lost for good, and replaced.
VARIANT = os.environ.get("VARIANT", "planned")
LOSS_AFTER_S = float(os.environ.get("LOSS_AFTER_S", "0.2"))
# `replace_core`: an empty machine comes 2 s later at another address.
REPLACED_AFTER_S = 2.0
# The requests that count are sent later than `recovery_s` after the machines are back.
SETTLE_S = THRESHOLDS["recovery_s"] + 1.0
TRAFFIC_S = 6.0
REQUESTS_PER_S = 10.0
SERVED_BEFORE = 0.9
READ_FOR_S = 3 * THRESHOLDS["contact_ms"] / 1000
DEADLINE_S = 1.5


def document(timeout_ms: int) -> dict[str, Any]:
    """The configuration: status lookups of one tenant."""
    route = {
        "name": "status-lookup",
        "hostname": "desk.example",
        "path_prefix": "/status/",
        "kind": "non_idempotent",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "priority": 0,
        "service": "upisnik",
        "max_attempts": 1,
        "public": False,
    }
    service = {"name": "upisnik", "health_check": "/healthz", "max_connections": 96}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    tenant = {"name": "school", "api_keys": ["key-of-school"], "priority": 0, "unit": "tokens"}
    return {
        "routes": [route],
        "services": [service | {"protocol": "h1", "tls": False}],
        "limits": limits,
        "tenants": [tenant | {"plain_tokens": 200, "rate_per_s": 120582, "burst": 120582}],
    }


async def traffic(clients: Clients) -> float:
    """Send requests for a time; the share of them that was served."""
    tasks: list[asyncio.Task[Try]] = []
    for _ in range(int(TRAFFIC_S * REQUESTS_PER_S)):
        request = clients.request("/status/1", "key-of-school", {}, DEADLINE_S)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    ended = await asyncio.gather(*tasks)
    return sum(made.status == HTTP_OK and made.whole for made in ended) / len(ended)


async def members(fleet: Fleet, number: int) -> str:
    """The core's voters and its chain, as one controller tells them."""
    machine = fleet.controllers[number]
    answer = await call((machine.ip, fleet.admin), "GET /status HTTP/1.1", {}, b"", 1.0)
    if answer is None:
        return "unknown"
    status = json.loads(answer[1])
    return f"voters {sorted(status['core'])}, chain {sorted(status['chain'])}"


async def end_as_planned(world: World, machine: Machine) -> None:
    """Wait for the end of a machine that got SIGTERM."""
    assert machine.process is not None
    async with asyncio.timeout(THRESHOLDS["grace_s"]):
        await machine.process.wait()
    world.note(f"{machine.name} ended with status {machine.process.returncode}")


async def replace_all(world: World, fleet: Fleet) -> None:
    """Three empty machines come; then, in the case with trouble, the old ones leave in turn."""
    await asyncio.gather(*(spare.start() for spare in fleet.spares))
    world.note(f"started, empty: {[spare.name for spare in fleet.spares]}")
    await asyncio.sleep(SUCCESSOR_AHEAD_S)
    world.note(f"members of the core: {await members(fleet, 2)}")
    if not world.trouble:
        return
    for old in fleet.controllers:
        old.signal(signal.SIGTERM)
        world.note(f"SIGTERM to {old.name}, which leaves for good")
        await end_as_planned(world, old)
        await asyncio.sleep(GAP_S)


async def replace_one(world: World, fleet: Fleet) -> None:
    """One machine is replaced as planned; in the case with trouble another one is lost then."""
    first, second, third = fleet.controllers
    successor, substitute, _ = fleet.spares
    await successor.start()
    world.note(f"{successor.name} started, empty")
    await asyncio.sleep(SUCCESSOR_AHEAD_S)
    world.note(f"members of the core: {await members(fleet, 2)}")
    first.signal(signal.SIGTERM)
    world.note(f"SIGTERM to {first.name}, which leaves for good")
    await end_as_planned(world, first)
    if not world.trouble:
        return
    await asyncio.sleep(LOSS_AFTER_S)
    await second.kill()
    world.note(f"{second.name} is gone for good; {third.name} and {successor.name} run")
    await asyncio.sleep(REPLACED_AFTER_S)
    seeds = [f"{machine.ip}:{fleet.admin}" for machine in (third, successor, second)]
    substitute.settings["seeds"] = seeds
    await substitute.start()
    world.note(f"{substitute.name} started, empty, in the place of {second.name}")


async def body(world: World) -> int:
    """Play the case."""
    hosts = [
        Host(
            f"i-{n}", "upisnik", f"zone-{'abc'[n]}", 6, 24, 0.045, 0, 0.0,
            world.runs, world.note, streams=False,
        )
        for n in range(3)
    ]  # fmt: skip
    fleet, operator, clients = await world.start(hosts, routers=3, spares=3)
    if not await operator.send(document(1500)) or not await fleet.wait_ready():
        return COULD_NOT_RUN
    await asyncio.sleep(2.0)
    served_before = await traffic(clients)
    if served_before < SERVED_BEFORE:
        return COULD_NOT_RUN
    await (replace_one if VARIANT == "loss" else replace_all)(world, fleet)
    await asyncio.sleep(SETTLE_S)
    served_after = await traffic(clients)
    newest = operator.generation
    began = time.monotonic()
    read = await operator.read(READ_FOR_S)
    world.note(f"read back within {time.monotonic() - began:.1f} s: {read is not None}")
    world.note(f"served before: {served_before:.2f}; after: {served_after:.2f}")
    comes = read is not None and read["generation"] >= newest
    if not comes:
        await after(world, operator)
    return HELD if comes else BROKEN_RULE


async def after(world: World, operator: Operator) -> None:
    """For the record: does the core take a change now?"""
    try:
        async with asyncio.timeout(8.0):
            world.note(f"a change was taken: {await operator.send(document(1400))}")
    except TimeoutError:
        world.note("a change got no acknowledgement in 8 s")


run(Path(__file__).resolve().parent, body)
