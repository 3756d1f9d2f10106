"""The fleet's processes: their settings, start, restart after an end, kill, and end in order."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from roselink.model.settings import ENVIRONMENT_VARIABLE

if TYPE_CHECKING:
    from roselink.lab.wire import Address

CONTROLLERS = 3
MOST_ROUTERS = 100
RESTART_S = 2.0  # from a process's end to its next start
GRACE_S = 8.0  # from SIGTERM to SIGKILL
EXITS_FOR_GOOD = (2, 3)  # settings or addresses that can't work
FIRST_CONTROLLER, FIRST_ROUTER = 11, 21  # last numbers of their addresses in 127.0.0.x
PACKAGES = Path(__file__).resolve().parents[2]

Say = Callable[[str], None]


class StartFailed(Exception):
    """A process can't run at all."""

    code = "start_failed"


@dataclass(frozen=True, slots=True)
class Ports:
    """One port of each kind, the same on every machine."""

    http: int
    readiness: int
    admin: int
    peer: int


def free_ports(addresses: list[str]) -> Ports:
    """Ports that are free at each of these addresses just now."""
    held: list[socket.socket] = []
    found: list[int] = []
    try:
        while len(found) < len(Ports.__slots__):
            probes = _take_one(addresses)
            held += probes
            if len(probes) == len(addresses):
                found.append(probes[0].getsockname()[1])
    finally:
        for probe in held:
            probe.close()
    return Ports(*found)


def _take_one(addresses: list[str]) -> list[socket.socket]:
    """Listeners on one port of the kernel's choice, at as many addresses as have it free."""
    port, probes = 0, []
    for address in addresses:
        try:
            probe = socket.create_server((address, port))
        except OSError:
            break
        port = probe.getsockname()[1]
        probes.append(probe)
    return probes


@dataclass(slots=True)
class Machine:
    """One process with its folder: `boot.json`, `log`, and for a controller `disk`."""

    name: str
    role: str
    ip: str
    zone: str
    folder: Path
    settings: dict[str, Any]
    process: asyncio.subprocess.Process | None = None
    pids: list[int] = field(default_factory=list)
    status: int | None = None

    async def start(self) -> None:
        """Start the process; its log is appended to."""
        path = self.folder / "boot.json"
        path.write_text(json.dumps(self.settings, indent=2))
        self.settings["bootstrap"] = False  # from the next start on
        paths = [str(PACKAGES), *filter(None, [os.environ.get("PYTHONPATH")])]
        variables = {ENVIRONMENT_VARIABLE: str(path), "PYTHONPATH": os.pathsep.join(paths)}
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "roselink", self.role),
                cwd=self.folder,
                env=kept | variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # A Ctrl-C at the terminal reaches the lab alone, which ends its fleet.
                process_group=0,
            )
        self.pids.append(self.process.pid)

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this very process, if it still runs."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def last_words(self) -> str:
        """The end of its log."""
        return (self.folder / "log").read_text(errors="replace")[-600:]


class Fleet:
    """All machines."""

    def __init__(self, folder: Path, routers: int, host_list: Address, say: Say) -> None:
        if not 1 <= routers <= MOST_ROUTERS:
            raise ValueError(f"routers: 1 to {MOST_ROUTERS}")
        self._folder, self._say, self._ending = folder, say, asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        core = [f"127.0.0.{FIRST_CONTROLLER + number}" for number in range(CONTROLLERS)]
        edge = [f"127.0.0.{FIRST_ROUTER + number}" for number in range(routers)]
        self.ports = free_ports(core + edge)
        self._seeds = [f"{ip}:{self.ports.admin}" for ip in core]
        self._host_list = "{}:{}".format(*host_list)
        self.controllers = [
            self._machine(ip, number, "controller") for number, ip in enumerate(core)
        ]
        self.routers = [self._machine(ip, number, "router") for number, ip in enumerate(edge)]
        self.machines = self.controllers + self.routers

    def _machine(self, ip: str, number: int, role: str) -> Machine:
        name, zone = f"{role}-{number + 1}", f"zone-{'abc'[number % 3]}"
        folder = self._folder / name
        disk = folder / "disk"
        disk.mkdir(parents=True)
        ports, core = self.ports, role == "controller"
        binds = (
            {"admin": ports.admin} if core else {"http": ports.http, "readiness": ports.readiness}
        )
        settings = {
            "node_name": name,
            "role": role,
            "ip": ip,
            "zone": zone,
            "region": "lab",
            "bind": {kind: f"{ip}:{port}" for kind, port in binds.items()},
            "port_range": [ports.peer, ports.peer],
            "seeds": self._seeds,
            "bootstrap": True,
            "counts_for_quorum": core,
            "limits": {"max_fds": 1024},
            "data_dir": str(disk) if core else None,
            "fault_tolerance": {"nodes": 1},
            "thresholds": {"grace_s": GRACE_S},
            "cloud_api": {"address": self._host_list, "rate_per_s": 40.0, "max_lag_ms": 100},
        }
        return Machine(name, role, ip, zone, folder, settings)

    def begin(self) -> None:
        """Start all, and start again what ends, until `end`."""
        self._tasks = [asyncio.create_task(self._keep(machine)) for machine in self.machines]

    async def broken(self) -> None:
        """Wait until a process can't run at all; raises `StartFailed`."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_EXCEPTION)
        for task in done:
            task.result()

    async def _keep(self, machine: Machine) -> None:
        while not self._ending.is_set():
            await machine.start()
            assert machine.process is not None
            if self._ending.is_set():  # asked for while it was started
                machine.send(signal.SIGTERM)
            machine.status = await machine.process.wait()
            if self._ending.is_set():
                return
            if machine.status in EXITS_FOR_GOOD:
                raise StartFailed(
                    f"{machine.name}: exit status {machine.status}: {machine.last_words()}"
                )
            self._say(
                f"{machine.name} ended with status {machine.status}; "
                f"starts again in {RESTART_S:g} s"
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ending.wait(), RESTART_S)

    async def end(self) -> list[str]:
        """End all processes in order. Returns the names of those that had to be killed."""
        self._ending.set()
        for machine in self.machines:
            machine.send(signal.SIGTERM)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=GRACE_S)
        late = [machine.name for machine in self.machines if machine.running]
        for machine in self.machines:
            machine.send(signal.SIGKILL)
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return late

    def by_address(self, address: str) -> str:
        """The name of the machine with that address, or the address."""
        ip = address.partition(":")[0]
        return next((machine.name for machine in self.machines if machine.ip == ip), address)
