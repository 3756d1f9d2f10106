"""Runs a gateway between fake hosts and a fake discovery, with a configuration."""

from __future__ import annotations

import asyncio
import json
import tempfile
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from roselink.gateway.__main__ import Gateway
from roselink.gateway.config import Config, load
from tests.support.event_loop import until
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_hosts import Behaviour, FakeHost
from tests.support.gateway_clients import Client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from roselink.gateway.engine import ClientRequest, OpenRequest, Reply


def settings_data(**changes: Any) -> dict[str, Any]:
    lanes = [
        {
            "name": "status-check",
            "semantics": "safe",
            "goal_time": 5_000_000,
            "deadline": 60_000_000,
        },
        {
            "name": "seat-checkout",
            "semantics": "keyed",
            "group": "all",
            "memory_span": 6_000_000,
            "goal_time": 5_000_000,
            "deadline": 60_000_000,
            "importance": 8.0,
        },
        {"name": "audit", "semantics": "unsafe", "goal_time": 5_000_000, "deadline": 60_000_000},
    ]
    limits = {
        "attempts_cap": 4,
        "cancelling": True,
        "parallel_tries": True,
        "retry_after": True,
        "max_retry_after": 600_000,
        "connect_timeout": 5_000_000,
        "conn_idle": 15_000_000,
    }
    settings: dict[str, Any] = {
        "balancers": 1,
        "my_number": 0,
        "discovery": "ask",
        "lanes": lanes,
        "models": ["two-core"],
        "zones": ["room"],
        "orgs": [{"name": "acme", "quota_per_s": 1000.0}],
        "guarantees": {},
        "limits": limits,
    }
    settings["limits"] = limits | changes.pop("limits", {})
    return settings | changes


def config_data(discovery_port: int, **changes: Any) -> dict[str, Any]:
    data: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f",
        "limits": {"sockets": 1024},
        "settings": settings_data(),
    }
    return data | changes


def make_config(discovery_port: int, **changes: Any) -> Config:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config_data(discovery_port, **changes)))
        return load({"GW_CONFIG": str(path)})


@dataclass
class GatewayHarness:
    gateway: Gateway
    discovery: FakeDiscovery
    hosts: list[FakeHost]

    def client(self) -> Client:
        return Client(self.gateway.port)


@asynccontextmanager
async def running_gateway(*behaviours: Behaviour, **changes: Any) -> AsyncIterator[GatewayHarness]:
    """Run a gateway that has received its list, between fake hosts and a fake discovery."""
    hosts = [await FakeHost(f"s-{i}", behave).start() for i, behave in enumerate(behaviours)]
    discovery = await FakeDiscovery(*(host.entry() for host in hosts)).start()
    gateway = Gateway(make_config(discovery.port, **changes), asyncio.get_running_loop())
    await gateway.start()
    try:
        await discovery.requests.get()
        await until(lambda: len(gateway.engine.hosts) == len(hosts))
        yield GatewayHarness(gateway, discovery, hosts)
    finally:
        gateway.stop()


def accepted_requests(harness: GatewayHarness) -> list[ClientRequest]:
    """Record the requests that the engine accepts from now on."""
    requests: list[ClientRequest] = []
    accept = harness.gateway.engine.accept

    def record(
        request: ClientRequest, reply: Callable[[Reply], None], client_gone: Callable[[], bool]
    ) -> OpenRequest:
        requests.append(request)
        return accept(request, reply, client_gone)

    harness.gateway.engine.accept = record  # type: ignore[method-assign]
    return requests


@asynccontextmanager
async def gateway_with_known_list(
    discovery_host: FakeHost, known: dict[str, Any], **changes: Any
) -> AsyncIterator[Gateway]:
    """Run a gateway that starts with the host list `known` of its configuration.

    `discovery_host` takes the place of the discovery service.
    """
    gateway = Gateway(
        make_config(discovery_host.address[1], known=known, **changes), asyncio.get_running_loop()
    )
    await gateway.start()
    try:
        yield gateway
    finally:
        gateway.stop()
