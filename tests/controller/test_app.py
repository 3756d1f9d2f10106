"""A whole core process with a stand-in for the chain: start, orders, pulls, signals, logs, end."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import Any

from roselink.model.fleet import Member, VersionVector
from roselink.model.settings import ENVIRONMENT_VARIABLE
from roselink.protocol.peer_pool import PeerPool
from roselink.protocol.pull import PullReply, PullRequest
from tests.controller.reactor import run_on_reactor
from tests.controller.test_api import Answered, Caller
from tests.controller.test_host_list_client import StandIn
from tests.controller.test_host_list_reader import body, entry
from tests.controller.test_validation import document

ROOT = Path(__file__).resolve().parents[2]
BOUND_S = 30.0
GATEWAY = Member("g-1", "10.1.0.1:7500", 1)


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on just now."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports


class Core:
    """A process, its settings file, and what it logs."""

    def __init__(self, folder: Path, platform: tuple[str, int]) -> None:
        self.admin, self.peer = free_ports(2)
        self.path = folder / "boot.json"
        self.settings: dict[str, Any] = {
            "node_name": "core-1",
            "ip": "127.0.0.1",
            "bind": {"admin": f"127.0.0.1:{self.admin}"},
            "port_range": [self.peer, self.peer],
            "seeds": [f"127.0.0.1:{self.admin}"],
            "bootstrap": True,
            "limits": {},
            "thresholds": {"grace_s": 8},
            "cloud_api": {
                "address": f"{platform[0]}:{platform[1]}",
                "rate_per_s": 1000.0,
                "max_lag_ms": 1,
            },
        }
        self.process: Process | None = None
        self.pool = PeerPool(lambda peer, message, reply: None)

    def write(self) -> None:
        self.path.write_text(json.dumps(self.settings))

    async def start(
        self,
        how: str = "succeeds",
        until: str = "core_started",
        program: tuple[str, ...] = (),
    ) -> None:
        self.write()
        stand_in = ("-m", "tests.controller.single_member_core", str(self.path), how)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(program or stand_in),
            cwd=ROOT,
            env={"PATH": "/usr/bin", ENVIRONMENT_VARIABLE: str(self.path)},
            stderr=PIPE,
        )
        await self.logged(until)

    async def logged(self, event: str) -> dict[str, Any]:
        """The next line of that event; every line must be JSON."""
        assert self.process is not None
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            said: dict[str, Any] = json.loads(line)
            if said["event"] == event:
                return said
        raise AssertionError(f"ended without {event}")

    async def ask(self, method: str, path: str, content: bytes = b"", **headers: str) -> Answered:
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.admin))
        try:
            return await caller.ask(method, path, content, **headers)
        finally:
            caller.writer.close()

    async def pull(self, held: VersionVector) -> PullReply:
        reply = await self.pool.request(
            ("127.0.0.1", self.peer), PullRequest(GATEWAY, held, True), 5.0
        )
        assert isinstance(reply, PullReply)
        return reply

    async def end(self) -> int:
        self.pool.close()
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        await self.logged("core_stopped")
        return await self.process.wait()


async def a_life(folder: Path) -> None:
    platform = StandIn({"": body(entry())})
    core = Core(folder, await platform.start())
    await core.start()
    assert core.process is not None
    try:
        assert (await core.ask("GET", "/config/get")).status == 404
        order = json.dumps(document()).encode()
        assert (await core.ask("POST", "/config/replace", order, X_Base_Version="0")).status == 200
        assert (await core.ask("POST", "/config/replace", order, X_Base_Version="0")).status == 200
        assert (await core.ask("POST", "/config/replace", order, X_Base_Version="3")).status == 412
        assert (
            await core.ask("POST", "/config/replace", order[:-1], X_Base_Version="7")
        ).status == 400
        assert (await core.ask("GET", "/config/get")).body == order
        held = VersionVector()
        while not held.hosts or not held.roster:
            reply = await core.pull(held)
            assert reply.confirmed
            held = reply.vector
            if reply.hosts is not None:
                assert [host.id for host in reply.hosts] == ["i-1"]
            if reply.roster is not None:
                assert reply.roster == (GATEWAY,)
        assert (await core.pull(held)).configuration is None
        assert (await core.ask("GET", "/status")).json()["gateways"][0]["name"] == "g-1"
        core.settings["seeds"] = ["127.0.0.1:1"]
        core.write()
        core.process.send_signal(signal.SIGHUP)
        await core.logged("settings_read")
        assert (await core.pull(held)).cores == (f"127.0.0.1:{core.peer}",)
        core.path.write_text("{")
        core.process.send_signal(signal.SIGHUP)
        await core.logged("settings_rejected")
        assert (await core.ask("GET", "/config/get")).status == 200
        assert await core.end() == 0
    finally:
        if core.process.returncode is None:
            core.process.kill()
            await core.process.wait()
        platform.stop()


def test_a_start_that_fails_ends_the_process_with_an_error(tmp_path: Path) -> None:
    async def work() -> None:
        core = Core(tmp_path, ("127.0.0.1", 1))
        await core.start("fails", until="core_failed")
        assert core.process is not None
        assert await core.process.wait() == 1

    run_on_reactor(work())


def test_a_broken_invariant_ends_the_process_and_another_fault_of_a_callback_does_not(
    tmp_path: Path,
) -> None:
    """In a callback of the loop a broken invariant was logged, and the member went on in it."""

    async def work() -> None:
        core = Core(tmp_path, ("127.0.0.1", 1))
        await core.start("breaks", until="callback_failed")
        await core.logged("core_failed")
        assert core.process is not None
        assert core.process.stderr is not None
        assert await core.process.wait() == 1
        end = (await core.process.stderr.read()).decode()
        assert "DriverContractError: tick: it is begun" in end

    run_on_reactor(work())


def test_a_process_that_waits_for_its_port_can_be_ended(tmp_path: Path) -> None:
    async def work() -> None:
        core = Core(tmp_path, ("127.0.0.1", 1))
        with socket.create_server(("127.0.0.1", core.peer)):
            await core.start(until="port_taken")
            assert await core.end() == 0

    run_on_reactor(work())


def test_a_reload_has_the_real_chain_send_heartbeats_to_the_new_seeds(tmp_path: Path) -> None:
    """With the stand-in of these tests alone, a method that the chain's driver did not have passed.

    Seeds that were exchanged were never greeted, so machines that knew only them could not join.
    """

    async def work() -> None:
        core = Core(tmp_path, ("127.0.0.1", 1))
        core.settings["data_dir"] = str(tmp_path / "disk")
        (tmp_path / "disk").mkdir()
        greeted = asyncio.Event()

        async def greet(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            greeted.set()
            writer.close()

        seed = await asyncio.start_server(greet, "127.0.41.2", core.peer)
        await core.start(program=("-m", "roselink", "controller"))
        assert core.process is not None
        assert not greeted.is_set()
        core.settings["seeds"] = ["127.0.41.2:1"]
        core.write()
        core.process.send_signal(signal.SIGHUP)
        await core.logged("settings_read")
        async with asyncio.timeout(BOUND_S):
            await greeted.wait()
        seed.close()
        assert await core.end() == 0

    run_on_reactor(work())


def test_a_life_of_a_core_process(tmp_path: Path) -> None:
    run_on_reactor(a_life(tmp_path))
