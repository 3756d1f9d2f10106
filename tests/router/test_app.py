"""The gateway process on real sockets: control services, and the order of start and stop."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from typing import TYPE_CHECKING, Any

import pytest

from roselink.budgets.retry_budget import FIRST_WINDOW_FRACTION
from roselink.model.configuration import Tenant
from roselink.model.fleet import Member, Snapshot, VersionVector
from roselink.model.settings import ProcessSettings, load_settings
from roselink.protocol.peer_server import PeerServer
from roselink.protocol.pull import DeltaPullRequest, PullReply, PullRequest
from roselink.router.app import ControlServices, serve

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from roselink.protocol.peer_connection import Address, ReplySender

HOST = "127.0.0.1"
TENANT = Tenant("t", ("key",), 0, "requests", 1, 1000.0, 500.0)
DOCUMENT = {
    "generation": 3,
    "routes": [],
    "services": [{"name": "llm", "health_check": "/healthz", "max_connections": 9}],
    "tenants": [{"name": "t", "api_keys": ["key"], "rate_per_s": 1000, "burst": 500}],
}


class SimulatedCore:
    """Replies to pulls; its roster has all gateways that pulled and are serving."""

    def __init__(self) -> None:
        self.server = PeerServer(self.handle)
        self.port = 0
        self.configuration = 1
        self.members: dict[str, Member] = {}
        self.roster_version = 0
        self.confirmed = True
        self.pulls: list[PullRequest] = []

    async def start(self) -> SimulatedCore:
        self.port = await self.server.listen(HOST, 0)
        return self

    def handle(self, _: Address, message: Any, reply: ReplySender) -> None:
        if isinstance(message, DeltaPullRequest):
            message = message.pull
        assert isinstance(message, PullRequest)
        self.pulls.append(message)
        before = dict(self.members)
        if message.serving:
            self.members[message.member.name] = message.member
        else:
            self.members.pop(message.member.name, None)
        self.roster_version += before != self.members
        vector = VersionVector(self.configuration, 0, self.roster_version)
        known = message.vector
        document = {**DOCUMENT, "generation": self.configuration}
        reply(
            PullReply(
                self.confirmed,
                vector,
                json.dumps(document).encode() if known.configuration < self.configuration else None,
                None,
                tuple(self.members.values()) if known.roster < self.roster_version else None,
                (f"{HOST}:{self.port}",),
            )
        )


def free_port() -> int:
    with socket.create_server((HOST, 0)) as listener:
        return int(listener.getsockname()[1])


def write_settings(path: Path, name: str, port: int, **overrides: Any) -> ProcessSettings:
    """Write settings with `port` as the peer port; all processes, seeds too, use the same one."""
    document = {
        "node_name": name,
        "ip": HOST,
        "bind": {"http": f"{HOST}:0"},
        "port_range": [port, port],
        "seeds": [f"{HOST}:1"],
        "limits": {},
        "thresholds": {"retry_slack": 50},
    }
    path.write_text(json.dumps({**document, **overrides}))
    return load_settings(str(path))


class Gateways:
    """Control services that get the core's address as a hint: its port differs from theirs."""

    def __init__(self, core: SimulatedCore, folder: Path, count: int) -> None:
        self.members = []
        for index in range(count):
            path = folder / f"{index}.json"
            gateway = ControlServices(write_settings(path, f"edge-{index}", free_port()), str(path))
            gateway.pull_client.add_core_hints([f"{HOST}:{core.port}"])
            self.members.append(gateway)

    async def start(self) -> None:
        for gateway in self.members:
            await gateway.start()
            gateway.pull_client.set_serving(serving=True)

    async def wait_for_snapshot(self, satisfied: Callable[[Snapshot], bool]) -> None:
        """Wait until the snapshot of each gateway meets the condition."""
        waits = []
        for gateway in self.members:
            reached: asyncio.Future[None] = asyncio.get_running_loop().create_future()

            def check(snapshot: Snapshot, reached: asyncio.Future[None] = reached) -> None:
                if satisfied(snapshot) and not reached.done():
                    reached.set_result(None)

            gateway.pull_client.subscribe(check)
            waits.append(reached)
        await asyncio.wait_for(asyncio.gather(*waits), 10)

    def stop(self) -> None:
        for gateway in self.members:
            gateway.stop()


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def admit(gateway: ControlServices, amount: float) -> bool:
    decided: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    gateway.budgets.admit(TENANT, amount, lambda allowed, _: decided.set_result(allowed))
    return await decided


async def acquire_retry(gateway: ControlServices) -> bool:
    decided: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    gateway.budgets.request_retry("llm", decided.set_result)
    return await decided


def test_gateways_find_the_core_and_share_quota_and_retry_budget(tmp_path: Path) -> None:
    async def scenario() -> None:
        core = await SimulatedCore().start()
        gateways = Gateways(core, tmp_path, 3)
        await gateways.start()
        await gateways.wait_for_snapshot(lambda snapshot: len(snapshot.roster) == 3)
        assert all(gateway.pull_client.may_use_keys() for gateway in gateways.members)
        first = gateways.members[0]
        unlimited = Tenant("unlimited", (), 0, "requests", 1, 0.0, 0.0)
        decisions: list[bool] = []
        first.budgets.admit(unlimited, 1e9, lambda allowed, _: decisions.append(allowed))
        assert decisions == [True]
        results = [await admit(gateway, 100.0) for gateway in gateways.members * 20]
        # The burst, its tolerance and about a second of refill are admitted; the rest is rejected.
        assert any(results)
        assert not all(results)
        retries = [await acquire_retry(gateway) for gateway in gateways.members * 4]
        assert (
            sum(retries) <= FIRST_WINDOW_FRACTION * 50
        )  # the limit in the first window of a term, even on a slow machine
        gateways.stop()
        core.server.close()

    run_scenario(scenario)


def test_newer_configuration_is_applied_and_older_one_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        core = await SimulatedCore().start()
        gateways = Gateways(core, tmp_path, 2)
        await gateways.start()
        await gateways.wait_for_snapshot(lambda snapshot: snapshot.vector.configuration == 1)
        core.configuration = 7
        await gateways.wait_for_snapshot(lambda snapshot: snapshot.configuration.generation == 7)
        core.configuration = 5
        pulls_before = len(core.pulls)
        enough_pulls = asyncio.get_running_loop().create_future()
        handle = core.server._handler

        def count(peer: Address, message: Any, reply: ReplySender) -> None:
            handle(peer, message, reply)
            if len(core.pulls) > pulls_before + 6 and not enough_pulls.done():
                enough_pulls.set_result(None)

        for connection in core.server._connections:
            connection._handler = count
        await enough_pulls
        for gateway in gateways.members:
            snapshot = gateway.pull_client.snapshot()
            assert snapshot is not None
            assert snapshot.configuration.generation == 7
        gateways.stop()
        core.server.close()

    run_scenario(scenario)


def test_seeds_are_reloaded_from_a_changed_settings_file_without_a_signal(tmp_path: Path) -> None:
    async def scenario() -> None:
        core = await SimulatedCore().start()
        path = tmp_path / "boot.json"
        unused_port = free_port()
        gateway = ControlServices(write_settings(path, "edge", unused_port), str(path))
        await gateway.start()
        path.write_text("{ half a file")
        gateway.pull_client.reload()
        assert gateway.pull_client.snapshot() is None
        changed_document = json.dumps(
            {**json.loads(settings_text(unused_port)), "port_range": [core.port, core.port]}
        )
        path.write_text(changed_document)
        snapshot_received = asyncio.get_running_loop().create_future()
        gateway.pull_client.subscribe(
            lambda _: None if snapshot_received.done() else snapshot_received.set_result(None)
        )
        await asyncio.wait_for(snapshot_received, 10)
        gateway.stop()
        core.server.close()

    run_scenario(scenario)


def settings_text(port: int) -> str:
    document = {
        "node_name": "edge",
        "ip": HOST,
        "bind": {},
        "port_range": [port, port],
        "seeds": [f"{HOST}:1"],
        "limits": {},
    }
    return json.dumps(document)


class FakeDecider:
    """Records its constructor arguments."""

    def __init__(self, *arguments: Any) -> None:
        self.arguments = arguments
        DECIDERS.append(self)

    def take_unreported_outcomes(self) -> list[tuple[str, int, int]]:
        return []


class FakeDataPlane:
    """Records the calls of `serve`."""

    def __init__(self, settings: Any, loop: Any, decider: FakeDecider, *others: Any) -> None:
        self.arguments = (settings, loop, decider, *others)
        self.calls: list[str] = []
        self.decider = decider
        DATA_PLANES.append(self)

    async def start(self) -> None:
        self.calls.append("start")
        os.kill(os.getpid(), signal.SIGTERM)

    def begin_drain(self) -> None:
        self.calls.append("begin_drain")

    async def drained(self) -> None:
        self.calls.append("drained")

    def stop(self) -> None:
        self.calls.append("stop")

    def status_line(self) -> str:
        return "open=0"

    def set_pooled_payoffs(self, payoffs: tuple[tuple[str, float], ...]) -> None:
        self.calls.append(f"set_pooled_payoffs {len(payoffs)}")


DECIDERS: list[FakeDecider] = []
DATA_PLANES: list[FakeDataPlane] = []


def test_sigterm_drains_and_stops_the_gateway(tmp_path: Path) -> None:
    path = tmp_path / "boot.json"
    settings = write_settings(path, "edge", free_port())
    DECIDERS.clear()
    DATA_PLANES.clear()
    asyncio.run(serve(settings, str(path), FakeDecider, FakeDataPlane))
    assert DATA_PLANES[0].calls == ["start", "begin_drain", "drained", "stop"]
    [decider] = DECIDERS
    assert DATA_PLANES[0].decider is decider
    zone, seed, ratio, window_s = decider.arguments
    assert (zone, ratio, window_s) == ("-", 0.2, 10)
    assert isinstance(seed, int)


def test_start_fails_if_the_peer_port_is_in_use(tmp_path: Path) -> None:
    path = tmp_path / "boot.json"
    with socket.create_server((HOST, 0)) as taken:
        settings = write_settings(path, "edge", taken.getsockname()[1])
        with pytest.raises(OSError, match=r"(?i)address already in use"):
            asyncio.run(serve(settings, str(path), FakeDecider, FakeDataPlane))
