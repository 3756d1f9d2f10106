"""The fleet's processes: their settings, starts, restarts and shutdown."""

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

from roselink.lab.exceptions import RouterCountError, StartError
from roselink.model.settings import ENVIRONMENT_VARIABLE

if TYPE_CHECKING:
    from roselink.lab.http_messages import Address

CONTROLLERS = 3
MAX_ROUTERS = 100
# Time from a process's end to its restart, in seconds.
RESTART_DELAY_S = 2.0
# Time from SIGTERM to SIGKILL, in seconds.
GRACE_S = 8.0
# Exit statuses after which a restart can't help: invalid settings, or an address in use.
PERMANENT_EXIT_STATUSES = (2, 3)
# The last octets of the first controller's and the first router's address in 127.0.0.0/24.
FIRST_CONTROLLER_OCTET = 11
FIRST_ROUTER_OCTET = 21
# The maximum number of log characters in a `StartError`.
LOG_TAIL_CHARACTERS = 600
IMPORT_ROOT = Path(__file__).resolve().parents[2]

# Prints one line.
LinePrinter = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Ports:
    """The ports of a machine, which are the same on every machine."""

    http: int
    readiness: int
    admin: int
    peer: int


def free_ports(addresses: list[str]) -> Ports:
    """Find ports that are free at each of these addresses now."""
    listeners: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < len(Ports.__slots__):
            found = _listen_on_free_port(addresses)
            listeners += found
            if len(found) == len(addresses):
                ports.append(found[0].getsockname()[1])
    finally:
        for listener in listeners:
            listener.close()
    return Ports(*ports)


def _listen_on_free_port(addresses: list[str]) -> list[socket.socket]:
    """Listen on one port of the kernel's choice; stop at the first address where it is in use."""
    port = 0
    listeners: list[socket.socket] = []
    for address in addresses:
        try:
            listener = socket.create_server((address, port))
        except OSError:
            break
        port = listener.getsockname()[1]
        listeners.append(listener)
    return listeners


@dataclass(slots=True)
class Machine:
    """One machine: a folder with `boot.json`, `log` and `disk`, and at most one process.

    Attributes:
        name: the name of the machine.
        role: `controller` or `router`.
        ip: the IP address.
        zone: the zone.
        folder: the folder.
        settings: the content of `boot.json`.
        process: the newest process; None before the first start.
        pids: the ids of all processes of the machine.
        status: the exit status of the last process that ended.
    """

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
        """Write `boot.json`, and start a process that appends to the log."""
        path = self.folder / "boot.json"
        path.write_text(json.dumps(self.settings, indent=2))
        # Only the first start may form a new core.
        self.settings["bootstrap"] = False
        paths = [str(IMPORT_ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        variables = {ENVIRONMENT_VARIABLE: str(path), "PYTHONPATH": os.pathsep.join(paths)}
        inherited = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "roselink", self.role),
                cwd=self.folder,
                env=inherited | variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # A Ctrl-C at the terminal must reach only the lab, which then stops the fleet.
                process_group=0,
            )
        self.pids.append(self.process.pid)

    @property
    def running(self) -> bool:
        """Whether the newest process runs."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the newest process, if it still runs."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def log_tail(self) -> str:
        """The end of the log."""
        return (self.folder / "log").read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]


class Fleet:
    """All machines of the fleet with their processes.

    Attributes:
        ports: the ports of all machines.
        controllers: the machines of the control plane.
        routers: the gateways.
        machines: the controllers, then the routers.
    """

    def __init__(
        self, folder: Path, routers: int, host_list: Address, print_line: LinePrinter
    ) -> None:
        """Create the folders and settings of all machines.

        Args:
            folder: the parent of the machines' folders.
            routers: the number of gateways.
            host_list: the address that serves the platform's host list.
            print_line: prints the ends and restarts of processes.

        Raises:
            RouterCountError: the number of gateways is out of range.
        """
        if not 1 <= routers <= MAX_ROUTERS:
            raise RouterCountError(routers, MAX_ROUTERS)
        self._folder = folder
        self._print_line = print_line
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        controller_ips = [
            f"127.0.0.{FIRST_CONTROLLER_OCTET + number}" for number in range(CONTROLLERS)
        ]
        router_ips = [f"127.0.0.{FIRST_ROUTER_OCTET + number}" for number in range(routers)]
        self.ports = free_ports(controller_ips + router_ips)
        self._seeds = [f"{ip}:{self.ports.admin}" for ip in controller_ips]
        self._host_list = "{}:{}".format(*host_list)
        self.controllers = [
            self._machine(ip, number, "controller") for number, ip in enumerate(controller_ips)
        ]
        self.routers = [self._machine(ip, number, "router") for number, ip in enumerate(router_ips)]
        self.machines = self.controllers + self.routers

    def _machine(self, ip: str, number: int, role: str) -> Machine:
        name = f"{role}-{number + 1}"
        zone = f"zone-{'abc'[number % 3]}"
        folder = self._folder / name
        disk = folder / "disk"
        disk.mkdir(parents=True)
        ports = self.ports
        is_controller = role == "controller"
        binds = (
            {"admin": ports.admin}
            if is_controller
            else {"http": ports.http, "readiness": ports.readiness}
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
            "counts_for_quorum": is_controller,
            "limits": {"max_fds": 1024},
            "data_dir": str(disk) if is_controller else None,
            "fault_tolerance": {"nodes": 1},
            "thresholds": {"grace_s": GRACE_S},
            "cloud_api": {"address": self._host_list, "rate_per_s": 40.0, "max_lag_ms": 100},
        }
        return Machine(name, role, ip, zone, folder, settings)

    def start(self) -> None:
        """Start all processes, and restart those that end, until `stop`."""
        self._tasks = [asyncio.create_task(self._supervise(machine)) for machine in self.machines]

    async def wait_for_failure(self) -> None:
        """Wait until a process ends and can't be restarted.

        Raises:
            StartError: a process ended with a status after which it is not restarted.
        """
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_EXCEPTION)
        for task in done:
            task.result()

    async def _supervise(self, machine: Machine) -> None:
        while not self._stopping.is_set():
            await machine.start()
            assert machine.process is not None
            # `stop` may have been called while the process was being created.
            if self._stopping.is_set():
                machine.send_signal(signal.SIGTERM)
            machine.status = await machine.process.wait()
            if self._stopping.is_set():
                return
            if machine.status in PERMANENT_EXIT_STATUSES:
                raise StartError(machine.name, machine.status, machine.log_tail())
            self._print_line(
                f"{machine.name} ended with status {machine.status}; "
                f"restarting in {RESTART_DELAY_S:g} s"
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._stopping.wait(), RESTART_DELAY_S)

    async def stop(self) -> list[str]:
        """Send SIGTERM to all processes, and SIGKILL to those that still run after `GRACE_S`.

        Returns:
            The names of the machines whose processes were killed.
        """
        self._stopping.set()
        for machine in self.machines:
            machine.send_signal(signal.SIGTERM)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=GRACE_S)
        overdue = [machine.name for machine in self.machines if machine.running]
        for machine in self.machines:
            machine.send_signal(signal.SIGKILL)
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return overdue

    def machine_name(self, address: str) -> str:
        """The name of the machine with this address; the address itself if there is none."""
        ip = address.partition(":")[0]
        return next((machine.name for machine in self.machines if machine.ip == ip), address)
