"""`roselink lab`: runs a fleet in a simulated environment, and prints a status line per second."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from roselink.lab.clients import Client, Outcome, Statistics
from roselink.lab.exceptions import ConfigurationRefusedError, StartError
from roselink.lab.fleet import Fleet, LinePrinter, Machine
from roselink.lab.hosts import make_hosts
from roselink.lab.operator import Operator
from roselink.lab.platform import Gateway, HostList, Ingress

# Time limit for the fleet to become ready, in seconds.
START_TIMEOUT_S = 30.0
# Interval of the status lines, in seconds.
STATUS_INTERVAL_S = 1.0
# Times of the kills after the first request, in seconds, and their limits as fractions of the
# duration, if the run has one.
KILL_ROUTER_S = 1.0
KILL_CONTROLLER_S = 2.5
KILL_ROUTER_FRACTION = 0.25
KILL_CONTROLLER_FRACTION = 0.5
# Maximum number of faults that the summary lists.
MAX_PRINTED_FAULTS = 5


@dataclass(frozen=True, slots=True)
class LabOptions:
    """The options of a run.

    Attributes:
        routers: the number of gateways.
        clients: the number of clients.
        seconds: how long the fleet serves, in seconds; None to serve until a signal.
        kill: whether to kill a gateway and the chain's tail during the run.
        folder: the folder for settings, disks and logs; None for a temporary one, which is removed
            at the end.
    """

    routers: int = 3
    clients: int = 6
    seconds: float | None = None
    kill: bool = False
    folder: Path | None = None


@dataclass(frozen=True, slots=True)
class LabReport:
    """The result of a run.

    Attributes:
        outcomes: the number of requests by outcome.
        retries: the number of retries.
        faults: the path of each failed request and the reason for its failure.
        overdue: the machines whose processes did not end in time and were killed.
        pids: the ids of all processes.
        error: why the run ended early; None if it did not.
    """

    outcomes: dict[Outcome, int]
    retries: int
    faults: list[str]
    overdue: list[str]
    pids: list[int]
    error: str | None


def run_lab(options: LabOptions, print_line: LinePrinter) -> LabReport:
    """Run a lab until the end of its duration, SIGINT or SIGTERM."""
    if options.folder is not None:
        options.folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(Lab(options, options.folder, print_line).run())
    with tempfile.TemporaryDirectory(prefix="roselink-lab-") as folder:
        return asyncio.run(Lab(options, Path(folder), print_line).run())


class Lab:
    """One run, created by `run_lab`; `run` needs a running event loop."""

    def __init__(self, options: LabOptions, folder: Path, print_line: LinePrinter) -> None:
        """Create the simulated hosts and the host list; nothing runs yet."""
        self._options = options
        self._folder = folder
        self._print_line = print_line
        self._statistics = Statistics()
        self._hosts = make_hosts()
        self._host_list = HostList(self._hosts)

    async def run(self) -> LabReport:
        """Start the fleet, serve until the end of the run, and stop everything."""
        self._stopping = asyncio.Event()
        self._clients_stopping = asyncio.Event()
        self._clients: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self._stopping.set)
        for host in self._hosts:
            await host.start()
        await self._host_list.start()
        self._fleet = fleet = Fleet(
            self._folder, self._options.routers, self._host_list.address, self._print_line
        )
        ports = fleet.ports
        self._operator = Operator([(machine.ip, ports.admin) for machine in fleet.controllers])
        self._ingress = Ingress(
            [Gateway(m.name, (m.ip, ports.http), (m.ip, ports.readiness)) for m in fleet.routers]
        )
        fleet.start()
        try:
            error = await self._until_stopped()
        except BaseException:
            await fleet.stop()
            raise
        return await self._shut_down(error)

    async def _until_stopped(self) -> str | None:
        """Serve until the end of the run, a signal or an error; return the error, if any."""
        checks = asyncio.create_task(self._ingress.run_checks())
        tasks = [
            asyncio.create_task(self._serve()),
            asyncio.create_task(self._fleet.wait_for_failure()),
            asyncio.create_task(self._stopping.wait()),
        ]
        done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        self._clients_stopping.set()
        await asyncio.gather(*pending, *self._clients, return_exceptions=True)
        checks.cancel()
        await asyncio.gather(checks, return_exceptions=True)
        reason = None
        for task in done:
            try:
                task.result()
            except (StartError, ConfigurationRefusedError, TimeoutError) as error:
                reason = str(error) or f"the fleet was not ready within {START_TIMEOUT_S:g} s"
        return reason

    async def _serve(self) -> None:
        began = time.monotonic()
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._operator.send(1)
            await self._ingress.wait_until_all_ready()
        self._print_addresses()
        self._print_line(f"serving {time.monotonic() - began:.1f} s after the start")
        self._began = time.monotonic()
        names = [f"client-{number + 1}" for number in range(self._options.clients)]
        clients = [
            Client(name, self._ingress, self._statistics, self._clients_stopping) for name in names
        ]
        self._clients = [asyncio.create_task(client.run()) for client in clients]
        async with asyncio.TaskGroup() as group:
            kill_task = group.create_task(self._kill_machines()) if self._options.kill else None
            await self._print_status_lines()
            if kill_task is not None:
                kill_task.cancel()

    def _print_addresses(self) -> None:
        ports = self._fleet.ports
        self._print_line(f"settings, disks and logs: {self._folder}")
        for machine in self._fleet.machines:
            role = machine.role
            service = f"operator {ports.admin}" if role == "controller" else f"clients {ports.http}"
            location = f"{machine.name:<13} {machine.ip:<11} {machine.zone}"
            self._print_line(f"  {location}  {service}, peers {ports.peer}  pid {machine.pids[-1]}")
        for host in self._hosts:
            self._print_line(
                f"  host {host.id:<8} {host.address[0]}:{host.address[1]}"
                f"  {host.zone}  {host.service}"
            )

    async def _print_status_lines(self) -> None:
        """Print a status line per second until the end of the run."""
        seconds = self._options.seconds
        number = 0
        while seconds is None or number * STATUS_INTERVAL_S < seconds:
            number += 1
            await asyncio.sleep(
                max(0.0, self._began + number * STATUS_INTERVAL_S - time.monotonic())
            )
            state = await self._operator.status()
            self._print_line(self._format_status(number, state))

    def _format_status(self, number: int, state: dict[str, object] | None) -> str:
        outcomes = self._statistics.outcomes
        counts = " ".join(f"{each.value} {outcomes[each]}" for each in Outcome)
        times = self._statistics.take_first_event_latencies()
        latencies = "no first events"
        if times:
            median_ms = _percentile_ms(times, 0.5)
            latencies = f"first event p50 {median_ms} ms p95 {_percentile_ms(times, 0.95)} ms"
        ready = f"gateways {self._ingress.ready_count}/{len(self._ingress.gateways)}"
        core = "no status from any controller"
        if state is not None:
            tail = self._fleet.machine_name(str(state["tail"]))
            core = f"epoch {state['epoch']} tail {tail} generation {state['generation']}"
        return (
            f"{number:>4} s  {counts} retries {self._statistics.retries}"
            f"  {latencies}  {ready}  {core}"
        )

    async def _kill_machines(self) -> None:
        """Kill a gateway and the chain's tail, then send a second configuration."""
        kill_router_s = KILL_ROUTER_S
        kill_controller_s = KILL_CONTROLLER_S
        if (seconds := self._options.seconds) is not None:
            kill_router_s = min(kill_router_s, seconds * KILL_ROUTER_FRACTION)
            kill_controller_s = min(kill_controller_s, seconds * KILL_CONTROLLER_FRACTION)
        await self._sleep_until(kill_router_s)
        self._kill_machine(self._fleet.routers[-1])
        await self._sleep_until(kill_controller_s)
        state = await self._operator.status()
        tail = self._fleet.machine_name(str(state["tail"])) if state is not None else ""
        tails = [machine for machine in self._fleet.controllers if machine.name == tail]
        self._kill_machine((tails or self._fleet.controllers)[0])
        began = time.monotonic()
        await self._operator.send(2)
        self._print_line(
            f"configuration 2 confirmed in {time.monotonic() - began:.1f} s without {tail or 'it'}"
        )

    async def _sleep_until(self, at: float) -> None:
        """Sleep until a number of seconds after the first request."""
        await asyncio.sleep(max(0.0, self._began + at - time.monotonic()))

    def _kill_machine(self, machine: Machine) -> None:
        self._print_line(f"killing {machine.name}, pid {machine.pids[-1]}")
        machine.send_signal(signal.SIGKILL)

    async def _shut_down(self, error: str | None) -> LabReport:
        overdue = await self._fleet.stop()
        for host in self._hosts:
            await host.stop()
        await self._host_list.stop()
        pids = [pid for machine in self._fleet.machines for pid in machine.pids]
        statistics = self._statistics
        report = LabReport(
            outcomes=dict(statistics.outcomes),
            retries=statistics.retries,
            faults=statistics.faults,
            overdue=overdue,
            pids=pids,
            error=error,
        )
        for line in summary(report):
            self._print_line(line)
        return report


def summary(report: LabReport) -> list[str]:
    """The lines of the summary at the end of a run."""
    lines = [f"fault: {fault}" for fault in report.faults[:MAX_PRINTED_FAULTS]]
    if report.error is not None:
        lines.append(f"error: {report.error}")
    if report.overdue:
        lines.append(f"killed because they did not end in time: {', '.join(report.overdue)}")
    counts = " ".join(f"{outcome.value} {count}" for outcome, count in report.outcomes.items())
    lines.append(
        f"ended: {counts} retries {report.retries}; {len(report.pids)} processes ran, none is left"
    )
    return lines


def _percentile_ms(times: list[float], fraction: float) -> int:
    """A percentile in milliseconds of sorted times in seconds."""
    return round(times[min(len(times) - 1, int(len(times) * fraction))] * 1000)
