"""Core members on loopback sockets, with folders as disks."""

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


class MemberProcess:
    """The part of a core process that a chain needs: a server, a connection pool and the driver."""

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
        self.driver = ChainDriver(settings, self.pool, asyncio.get_running_loop())

    def _handle(self, peer: Address, message: object, reply: ReplySender) -> None:
        assert self.driver.handle(peer, message, reply)

    async def start(self) -> None:
        await self.server.listen(self.host, self.port)
        self.driver.start()

    def kill(self) -> None:
        self.driver.halt()
        self.server.close()
        self.pool.close()

    async def submit(self, change: ConfigurationChange) -> SubmitOutcome:
        result: asyncio.Future[SubmitOutcome] = asyncio.get_running_loop().create_future()
        self.driver.submit(change, result.set_result)
        return await result

    async def confirm(self) -> Confirmation | None:
        result: asyncio.Future[Confirmation | None] = asyncio.get_running_loop().create_future()
        self.driver.confirm(result.set_result)
        return await result


def change_on(base: int, generation: int) -> ConfigurationChange:
    document = f"{base}-{generation}".encode()
    return ConfigurationChange(base, generation, document, digest_of(base, document))


async def submit_until_decided(
    process: MemberProcess, change: ConfigurationChange
) -> SubmitOutcome:
    """Submit a change, as an operator does, until it is committed or conflicts."""
    async with asyncio.timeout(10):
        while True:
            outcome = await process.submit(change)
            if isinstance(outcome, ChangeCommitted | Conflict):
                return outcome
            await asyncio.sleep(0.01)


async def stop_the_head(folder: Path, planned: bool) -> None:
    port = free_port()
    folders = {host: folder / host for host in HOSTS}
    processes = [MemberProcess(host, port, folders[host]) for host in HOSTS]
    views: list[int] = []
    processes[1].driver.on_view_change(lambda: views.append(processes[1].driver.epoch))
    for process in processes:
        await process.start()
    assert await submit_until_decided(processes[1], change_on(0, 1)) == ChangeCommitted(1)
    assert await submit_until_decided(processes[2], change_on(0, 2)) == Conflict(1)
    for process in processes:
        confirmation = await process.confirm()
        assert confirmation is not None
        assert confirmation.document == b"0-1"
    if planned:
        await processes[0].driver.stop()
    processes[0].kill()
    assert await submit_until_decided(processes[2], change_on(1, 5)) == ChangeCommitted(2)
    assert processes[1].driver.epoch > 1
    assert views
    restarted = MemberProcess(HOSTS[0], port, folders[HOSTS[0]], bootstrap=False)
    await restarted.start()
    async with asyncio.timeout(10):
        while (confirmation := await restarted.confirm()) is None:
            await asyncio.sleep(0.01)
    assert (confirmation.sequence, confirmation.generation, confirmation.document) == (2, 5, b"1-5")
    assert sum(process.driver.is_tail for process in (restarted, *processes[1:])) == 1
    assert set(restarted.driver.core_addresses()) == {f"{host}:{port}" for host in HOSTS}
    for process in (restarted, *processes[1:]):
        process.kill()


async def restart_and_list_disk_threads(folder: Path) -> list[str]:
    """Restart a member on a disk with its state; return the disk threads that it has started."""
    port = free_port()
    first = MemberProcess(HOSTS[0], port, folder)
    await first.start()
    async with asyncio.timeout(10):
        while first.driver.epoch == 0 or not any(folder.iterdir()):
            await asyncio.sleep(0.01)
    await first.driver.stop()
    first.kill()
    async with asyncio.timeout(10):
        while _disk_threads():
            await asyncio.sleep(0.01)
    restarted = MemberProcess(HOSTS[0], port, folder, bootstrap=False)
    await restarted.start()
    assert restarted.driver.epoch == 1
    started_threads = _disk_threads()
    restarted.kill()
    return started_threads


def _disk_threads() -> list[str]:
    return [thread.name for thread in threading.enumerate() if thread.name == "disk"]


def test_a_restart_reads_the_disk_without_starting_the_disk_thread(tmp_path: Path) -> None:
    assert asyncio.run(restart_and_list_disk_threads(tmp_path)) == []


@pytest.mark.parametrize("planned", [False, True])
def test_three_members_keep_serving_after_the_head_stops(tmp_path: Path, planned: bool) -> None:
    asyncio.run(stop_the_head(tmp_path, planned))


async def only_state_record(folder: Path) -> Path:
    """Wait until the last save has removed the older generation; return the newer one."""
    async with asyncio.timeout(10):
        while len(paths := list(folder.glob("state-*.dat"))) != 1:
            await asyncio.sleep(0.01)
    return paths[0]


async def damage_state_record_twice(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Flip a byte of a running member's state record, twice, then restart it on a torn one."""
    process = MemberProcess(HOSTS[0], free_port(), folder, seeds=HOSTS[:1])
    await process.start()
    await submit_until_decided(process, change_on(0, 1))
    for times in (1, 2):
        path = await only_state_record(folder)
        content = bytearray(path.read_bytes())
        content[-1] ^= 1
        path.write_bytes(content)
        async with asyncio.timeout(10):
            while process.driver.disk_status().damaged < times:
                await asyncio.sleep(0.01)
            while Storage(str(folder)).load() == (None, None):
                await asyncio.sleep(0.01)
    status = process.driver.disk_status()
    assert status.healthy
    assert status.checks >= 2
    assert status.checked_s is not None
    path = await only_state_record(folder)
    process.kill()
    path.write_bytes(path.read_bytes()[:-1])
    restarted = MemberProcess(HOSTS[0], process.port, folder, bootstrap=False)
    await restarted.start()
    restarted.kill()
    logged = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    events = [(line["event"], line.get("times")) for line in logged if "disk" in line["event"]]
    assert events == [
        ("disk_record_damaged", 1),
        ("disk_record_damaged", 2),
        ("disk_untrusted", 2),
        ("disk_record_unusable", None),
        ("disk_counts_as_lost", None),
    ]


def test_a_damaged_record_is_rewritten_and_logged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(scrub, "READ_INTERVAL_S", 0.05)
    asyncio.run(damage_state_record_twice(tmp_path, capsys))
