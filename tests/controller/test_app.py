"""A core process with a fake chain: start, requests, pulls, signals, logs and shutdown."""

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
from tests.controller.test_api import HttpClient, HttpResponse
from tests.controller.test_host_list_client import FakePlatform
from tests.controller.test_host_list_reader import host_entry, page_body
from tests.controller.test_validation import document

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 30.0
GATEWAY = Member("g-1", "10.1.0.1:7500", 1)


def free_ports(count: int) -> list[int]:
    """Ports on which nothing listens."""
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [server.getsockname()[1] for server in servers]
    for server in servers:
        server.close()
    return ports


class CoreProcess:
    """A core process, its settings file and its log."""

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
        start_behaviour: str = "succeeds",
        until_event: str = "core_started",
        program: tuple[str, ...] = (),
    ) -> None:
        self.write()
        single_member_core = (
            "-m",
            "tests.controller.single_member_core",
            str(self.path),
            start_behaviour,
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(program or single_member_core),
            cwd=ROOT,
            env={"PATH": "/usr/bin", ENVIRONMENT_VARIABLE: str(self.path)},
            stderr=PIPE,
        )
        await self.wait_for_event(until_event)

    async def wait_for_event(self, event: str) -> dict[str, Any]:
        """Read the log up to the next line of the event; every line must be JSON."""
        assert self.process is not None
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            fields: dict[str, Any] = json.loads(line)
            if fields["event"] == event:
                return fields
        raise AssertionError(f"the process ended without logging {event}")

    async def request(
        self, method: str, path: str, content: bytes = b"", **headers: str
    ) -> HttpResponse:
        caller = HttpClient(*await asyncio.open_connection("127.0.0.1", self.admin))
        try:
            return await caller.request(method, path, content, **headers)
        finally:
            caller.writer.close()

    async def pull(self, versions: VersionVector) -> PullReply:
        reply = await self.pool.request(
            ("127.0.0.1", self.peer), PullRequest(GATEWAY, versions, True), 5.0
        )
        assert isinstance(reply, PullReply)
        return reply

    async def terminate(self) -> int:
        self.pool.close()
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        await self.wait_for_event("core_stopped")
        return await self.process.wait()


async def serve_until_sigterm(folder: Path) -> None:
    platform = FakePlatform({"": page_body(host_entry())})
    core = CoreProcess(folder, await platform.start())
    await core.start()
    assert core.process is not None
    try:
        assert (await core.request("GET", "/config/get")).status == 404
        configuration = json.dumps(document()).encode()
        assert (
            await core.request("POST", "/config/replace", configuration, X_Base_Version="0")
        ).status == 200
        assert (
            await core.request("POST", "/config/replace", configuration, X_Base_Version="0")
        ).status == 200
        assert (
            await core.request("POST", "/config/replace", configuration, X_Base_Version="3")
        ).status == 412
        assert (
            await core.request("POST", "/config/replace", configuration[:-1], X_Base_Version="7")
        ).status == 400
        assert (await core.request("GET", "/config/get")).body == configuration
        versions = VersionVector()
        while not versions.hosts or not versions.roster:
            reply = await core.pull(versions)
            assert reply.confirmed
            versions = reply.vector
            if reply.hosts is not None:
                assert [host.id for host in reply.hosts] == ["i-1"]
            if reply.roster is not None:
                assert reply.roster == (GATEWAY,)
        assert (await core.pull(versions)).configuration is None
        assert (await core.request("GET", "/status")).json()["gateways"][0]["name"] == "g-1"
        core.settings["seeds"] = ["127.0.0.1:1"]
        core.write()
        core.process.send_signal(signal.SIGHUP)
        await core.wait_for_event("settings_read")
        assert (await core.pull(versions)).cores == (f"127.0.0.1:{core.peer}",)
        core.path.write_text("{")
        core.process.send_signal(signal.SIGHUP)
        await core.wait_for_event("settings_rejected")
        assert (await core.request("GET", "/config/get")).status == 200
        assert await core.terminate() == 0
    finally:
        if core.process.returncode is None:
            core.process.kill()
            await core.process.wait()
        platform.stop()


def test_a_start_that_fails_ends_the_process_with_an_error(tmp_path: Path) -> None:
    async def work() -> None:
        core = CoreProcess(tmp_path, ("127.0.0.1", 1))
        await core.start("fails", until_event="core_failed")
        assert core.process is not None
        assert await core.process.wait() == 1

    run_on_reactor(work())


def test_a_broken_invariant_in_a_callback_ends_the_process_and_other_exceptions_do_not(
    tmp_path: Path,
) -> None:
    """A broken invariant in an event loop callback was only logged, and the member kept running."""

    async def work() -> None:
        core = CoreProcess(tmp_path, ("127.0.0.1", 1))
        await core.start("breaks", until_event="callback_failed")
        await core.wait_for_event("core_failed")
        assert core.process is not None
        assert core.process.stderr is not None
        assert await core.process.wait() == 1
        remaining_log = (await core.process.stderr.read()).decode()
        assert "DriverContractError: tick: it is begun" in remaining_log

    run_on_reactor(work())


def test_sigterm_ends_a_process_that_waits_for_its_peer_port(tmp_path: Path) -> None:
    async def work() -> None:
        core = CoreProcess(tmp_path, ("127.0.0.1", 1))
        with socket.create_server(("127.0.0.1", core.peer)):
            await core.start(until_event="port_taken")
            assert await core.terminate() == 0

    run_on_reactor(work())


def test_a_tail_that_stops_reads_the_host_list_until_it_has_left(tmp_path: Path) -> None:
    """Nobody read the list from SIGTERM until the next view: drained hosts went unnoticed."""

    async def work() -> None:
        platform = FakePlatform({"": page_body(host_entry())})
        core = CoreProcess(tmp_path, await platform.start())
        await core.start("leaves slowly")
        assert core.process is not None
        core.process.send_signal(signal.SIGTERM)
        await core.wait_for_event("core_stopping")
        read_before = len(platform.requests)
        await core.wait_for_event("core_stopped")
        assert len(platform.requests) > read_before
        assert await core.process.wait() == 0
        core.pool.close()
        platform.stop()

    run_on_reactor(work())


def test_a_read_in_flight_at_sigterm_gets_its_answer(tmp_path: Path) -> None:
    """The process ended under reads that its chain had not confirmed yet."""

    async def work() -> None:
        core = CoreProcess(tmp_path, ("127.0.0.1", 1))
        await core.start("confirms slowly")
        assert core.process is not None
        client = HttpClient(*await asyncio.open_connection("127.0.0.1", core.admin))
        client.send("GET", "/config/get")
        await asyncio.sleep(0.1)
        core.process.send_signal(signal.SIGTERM)
        response = await client.receive()
        assert (response.status, response.headers["connection"]) == (404, "close")
        client.writer.close()
        await core.wait_for_event("core_stopped")
        assert await core.process.wait() == 0
        core.pool.close()

    run_on_reactor(work())


def read_to_end(connection: socket.socket) -> bytes:
    received = b""
    while data := connection.recv(1024 * 1024):
        received += data
    return received


def test_a_large_answer_to_a_slow_reader_is_whole_when_the_process_ends(tmp_path: Path) -> None:
    """The end of the process cut off what the kernel had not taken yet."""

    async def work() -> None:
        core = CoreProcess(tmp_path, ("127.0.0.1", 1))
        await core.start()
        assert core.process is not None
        routes = document()["routes"]
        many = [{**routes[0], "name": f"r{n}", "path_prefix": f"/{n}/"} for n in range(40_000)]
        configuration = json.dumps(document(routes=routes + many)).encode()
        assert (
            await core.request("POST", "/config/replace", configuration, X_Base_Version="0")
        ).status == 200
        with socket.socket() as slow:
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            slow.connect(("127.0.0.1", core.admin))
            slow.sendall(b"GET /config/get HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(0.2)
            core.process.send_signal(signal.SIGTERM)
            await core.wait_for_event("core_stopping")
            await asyncio.sleep(0.2)
            received = await asyncio.to_thread(read_to_end, slow)
        await core.wait_for_event("core_stopped")
        assert received.endswith(configuration)
        assert await core.process.wait() == 0
        core.pool.close()

    run_on_reactor(work())


def test_a_reload_has_the_real_chain_send_heartbeats_to_the_new_seeds(tmp_path: Path) -> None:
    """Members never connected to changed seeds, so machines known only from them could not join.

    The fake chain had a method for this that the real chain's driver lacked.
    """

    async def work() -> None:
        core = CoreProcess(tmp_path, ("127.0.0.1", 1))
        core.settings["data_dir"] = str(tmp_path / "disk")
        (tmp_path / "disk").mkdir()
        connected = asyncio.Event()

        async def accept(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connected.set()
            writer.close()

        seed_server = await asyncio.start_server(accept, "127.0.41.2", core.peer)
        await core.start(program=("-m", "roselink", "controller"))
        assert core.process is not None
        assert not connected.is_set()
        core.settings["seeds"] = ["127.0.41.2:1"]
        core.write()
        core.process.send_signal(signal.SIGHUP)
        await core.wait_for_event("settings_read")
        async with asyncio.timeout(TIMEOUT_S):
            await connected.wait()
        seed_server.close()
        assert await core.terminate() == 0

    run_on_reactor(work())


def test_a_core_process_serves_requests_pulls_and_reloads_until_sigterm(tmp_path: Path) -> None:
    run_on_reactor(serve_until_sigterm(tmp_path))
