"""Three core members on real sockets of this machine, with folders as disks."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
from typing import TYPE_CHECKING

import pytest

from roselink.controller.chain_driver import ChainDriver
from roselink.controller.storage import Storage
from roselink.coordination import scrub
from roselink.coordination.effects import ChangeCommitted, Confirmation, Conflict, SubmitOutcome
from roselink.coordination.state import digest_of
from roselink.model.settings import ProcessSettings, read_settings
from roselink.protocol.chain import ConfigurationChange
from roselink.protocol.peer_connection import Address, ReplySender
from roselink.protocol.peer_pool import PeerPool
from roselink.protocol.peer_server import PeerServer

if TYPE_CHECKING:
    from pathlib import Path

    from roselink.protocol.peer_connection import Address, ReplySender

HOSTS = ("127.0.31.1", "127.0.31.2", "127.0.31.3")


def free_port() -> int:
    with socket.create_server((HOSTS[0], 0)) as bound:
        return int(bound.getsockname()[1])


def settings_of(
    host: str, port: int, folder: Path, bootstrap: bool, seeds: tuple[str, ...]
) -> ProcessSettings:
    return read_settings(
        {
            "node_name": host,
            "ip": host,
            "bind": {},
            "port_range": [port, port],
            "seeds": [f"{seed}:1" for seed in seeds],
            "bootstrap": bootstrap,
            "limits": {},
            "data_dir": str(folder),
            "fault_tolerance": {"nodes": 1},
        }
    )


class Process:
    """What a core process has of it: a server, a pool and the node."""

    def __init__(
        self,
        host: str,
        port: int,
        folder: Path,
        *,
        bootstrap: bool = True,
        seeds: tuple[str, ...] = HOSTS,
    ) -> None:
        self.host, self.port = host, port
        self.pool = PeerPool(self._handle)
        self.server = PeerServer(self._handle)
        settings = settings_of(host, port, folder, bootstrap, seeds)
        self.node = ChainDriver(settings, self.pool, asyncio.get_running_loop())

    def _handle(self, peer: Address, message: object, reply: ReplySender) -> None:
        assert self.node.handle(peer, message, reply)

    async def begin(self) -> None:
        await self.server.listen(self.host, self.port)
        self.node.start()

    def kill(self) -> None:
        self.node.halt()
        self.server.close()
        self.pool.close()

    async def submit(self, order: ConfigurationChange) -> SubmitOutcome:
        ended: asyncio.Future[SubmitOutcome] = asyncio.get_running_loop().create_future()
        self.node.submit(order, ended.set_result)
        return await ended

    async def confirm(self) -> Confirmation | None:
        ended: asyncio.Future[Confirmation | None] = asyncio.get_running_loop().create_future()
        self.node.confirm(ended.set_result)
        return await ended


def order_on(base: int, generation: int) -> ConfigurationChange:
    document = f"{base}-{generation}".encode()
    return ConfigurationChange(base, generation, document, digest_of(base, document))


async def settled(process: Process, order: ConfigurationChange) -> SubmitOutcome:
    """As the operator does: again until there is a clear answer."""
    async with asyncio.timeout(10):
        while True:
            outcome = await process.submit(order)
            if isinstance(outcome, ChangeCommitted | Conflict):
                return outcome
            await asyncio.sleep(0.01)


async def play(folder: Path, planned: bool) -> None:
    port = free_port()
    folders = {host: folder / host for host in HOSTS}
    processes = [Process(host, port, folders[host]) for host in HOSTS]
    views: list[int] = []
    processes[1].node.on_view_change(lambda: views.append(processes[1].node.epoch))
    for process in processes:
        await process.begin()
    assert await settled(processes[1], order_on(0, 1)) == ChangeCommitted(1)
    assert await settled(processes[2], order_on(0, 2)) == Conflict(1)
    for process in processes:
        shown = await process.confirm()
        assert shown is not None
        assert shown.document == b"0-1"
    if planned:
        await processes[0].node.stop()
    processes[0].kill()
    assert await settled(processes[2], order_on(1, 5)) == ChangeCommitted(2)
    assert processes[1].node.epoch > 1
    assert views
    again = Process(HOSTS[0], port, folders[HOSTS[0]], bootstrap=False)
    await again.begin()
    async with asyncio.timeout(10):
        while (shown := await again.confirm()) is None:
            await asyncio.sleep(0.01)
    assert (shown.sequence, shown.generation, shown.document) == (2, 5, b"1-5")
    assert sum(process.node.is_tail for process in (again, *processes[1:])) == 1
    assert set(again.node.core_addresses()) == {f"{host}:{port}" for host in HOSTS}
    for process in (again, *processes[1:]):
        process.kill()


async def restart_alone(folder: Path) -> list[str]:
    """The threads that a member has begun on a disk that holds its state."""
    port = free_port()
    first = Process(HOSTS[0], port, folder)
    await first.begin()
    async with asyncio.timeout(10):
        while first.node.epoch == 0 or not any(folder.iterdir()):
            await asyncio.sleep(0.01)
    await first.node.stop()
    first.kill()
    async with asyncio.timeout(10):
        while _disk_threads():
            await asyncio.sleep(0.01)
    again = Process(HOSTS[0], port, folder, bootstrap=False)
    await again.begin()
    assert again.node.epoch == 1
    begun = _disk_threads()
    again.kill()
    return begun


def _disk_threads() -> list[str]:
    return [thread.name for thread in threading.enumerate() if thread.name == "disk"]


def test_the_disk_is_read_by_the_loop_and_its_thread_begins_with_a_save(tmp_path: Path) -> None:
    assert asyncio.run(restart_alone(tmp_path)) == []


@pytest.mark.parametrize("planned", [False, True])
def test_three_nodes_serve_on_when_the_head_ends(tmp_path: Path, planned: bool) -> None:
    asyncio.run(play(tmp_path, planned))


async def rot(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """One byte of a running member's disk flips, twice; then the member starts again."""
    process = Process(HOSTS[0], free_port(), folder, seeds=HOSTS[:1])
    await process.begin()
    await settled(process, order_on(0, 1))
    for times in (1, 2):
        (path,) = folder.glob("state-*.dat")
        content = bytearray(path.read_bytes())
        content[-1] ^= 1
        path.write_bytes(content)
        async with asyncio.timeout(10):
            while process.node.disk_status().damaged < times:
                await asyncio.sleep(0.01)
            while Storage(str(folder)).load() == (None, None):
                await asyncio.sleep(0.01)
    status = process.node.disk_status()
    assert status.healthy
    assert status.checks >= 2
    assert status.checked_s is not None
    process.kill()
    (path,) = folder.glob("state-*.dat")
    path.write_bytes(path.read_bytes()[:-1])
    again = Process(HOSTS[0], process.port, folder, bootstrap=False)
    await again.begin()
    again.kill()
    logged = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    events = [(line["event"], line.get("times")) for line in logged if "disk" in line["event"]]
    assert events == [
        ("disk_record_damaged", 1),
        ("disk_record_damaged", 2),
        ("disk_untrusted", 2),
        ("disk_record_unusable", None),
        ("disk_counts_as_lost", None),
    ]


def test_a_record_that_rots_is_written_anew_and_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(scrub, "READ_INTERVAL_S", 0.05)
    asyncio.run(rot(tmp_path, capsys))
