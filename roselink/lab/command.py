"""The lab from start to end: a fleet, its surroundings, a line a second, and everything ended
again.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from roselink.lab.clients import Client, End, Tally
from roselink.lab.fleet import Fleet, Machine, Say, StartFailed
from roselink.lab.hosts import make_hosts
from roselink.lab.operator import Operator, OrderRefused
from roselink.lab.platform import Gateway, HostList, Ingress

START_S = 30.0  # until the fleet serves
LINE_S = 1.0
KILL_ROUTER_S, KILL_CONTROLLER_S = 1.0, 2.5  # since the first request
KILL_SHARES = 0.25, 0.5  # of a run with an end: no later than that
MOST_FAULTS = 5  # shown at the end


@dataclass(frozen=True, slots=True)
class Plan:
    """What is asked of a lab. `seconds`: how long it serves, None: until a signal; `folder`: for
    settings, disks and logs, None: a temporary one, removed at the end.
    """

    routers: int = 3
    clients: int = 6
    seconds: float | None = None
    kill: bool = False
    folder: Path | None = None


@dataclass(frozen=True, slots=True)
class Report:
    """What came of it. `late`: processes that had to be killed at the end; `pids`: of all that
    ran.
    """

    ends: dict[End, int]
    retries: int
    faults: list[str]
    late: list[str]
    pids: list[int]
    trouble: str | None


def run_lab(plan: Plan, say: Say) -> Report:
    """Run a lab until its time is over, SIGINT or SIGTERM."""
    if plan.folder is not None:
        plan.folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(Lab(plan, plan.folder, say).run())
    with tempfile.TemporaryDirectory(prefix="roselink-lab-") as folder:
        return asyncio.run(Lab(plan, Path(folder), say).run())


class Lab:
    """One run. Made inside a running loop by `run_lab`."""

    def __init__(self, plan: Plan, folder: Path, say: Say) -> None:
        self._plan, self._folder, self._say = plan, folder, say
        self._tally = Tally()
        self._hosts = make_hosts()
        self._host_list = HostList(self._hosts)

    async def run(self) -> Report:
        """Start, serve, end."""
        self._stopping, self._leaving = asyncio.Event(), asyncio.Event()
        self._clients: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self._stopping.set)
        for host in self._hosts:
            await host.start()
        await self._host_list.start()
        self._fleet = fleet = Fleet(
            self._folder, self._plan.routers, self._host_list.address, self._say
        )
        ports = fleet.ports
        self._operator = Operator([(machine.ip, ports.admin) for machine in fleet.controllers])
        self._ingress = Ingress(
            [Gateway(m.name, (m.ip, ports.http), (m.ip, ports.readiness)) for m in fleet.routers]
        )
        fleet.begin()
        try:
            trouble = await self._until_stopped()
        except BaseException:
            await fleet.end()
            raise
        return await self._end(trouble)

    async def _until_stopped(self) -> str | None:
        """Serve until the first of: the end of the plan, a signal, a fault. Returns the fault."""
        watch = asyncio.create_task(self._ingress.watch())
        work = [
            asyncio.create_task(self._serve()),
            asyncio.create_task(self._fleet.broken()),
            asyncio.create_task(self._stopping.wait()),
        ]
        done, left = await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
        for task in left:
            task.cancel()
        self._leaving.set()
        await asyncio.gather(*left, *self._clients, return_exceptions=True)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        trouble = None
        for task in done:
            try:
                task.result()
            except (StartFailed, OrderRefused, TimeoutError) as error:
                trouble = str(error) or f"the fleet did not serve within {START_S:g} s"
        return trouble

    async def _serve(self) -> None:
        began = time.monotonic()
        async with asyncio.timeout(START_S):
            await self._operator.send(1)
            await self._ingress.all_ready()
        self._say_what_is_where()
        self._say(f"serving {time.monotonic() - began:.1f} s after the start")
        self._began = time.monotonic()
        names = [f"client-{number + 1}" for number in range(self._plan.clients)]
        clients = [Client(name, self._ingress, self._tally, self._leaving) for name in names]
        self._clients = [asyncio.create_task(client.run()) for client in clients]
        async with asyncio.TaskGroup() as group:
            killing = group.create_task(self._kill()) if self._plan.kill else None
            await self._lines()
            if killing is not None:
                killing.cancel()

    def _say_what_is_where(self) -> None:
        ports = self._fleet.ports
        self._say(f"settings, disks and logs: {self._folder}")
        for machine in self._fleet.machines:
            role = machine.role
            where = f"operator {ports.admin}" if role == "controller" else f"clients {ports.http}"
            place = f"{machine.name:<13} {machine.ip:<11} {machine.zone}"
            self._say(f"  {place}  {where}, peers {ports.peer}  pid {machine.pids[-1]}")
        for host in self._hosts:
            self._say(
                f"  host {host.id:<8} {host.address[0]}:{host.address[1]}"
                f"  {host.zone}  {host.service}"
            )

    async def _lines(self) -> None:
        """A line a second until the plan's end."""
        seconds = self._plan.seconds
        number = 0
        while seconds is None or number * LINE_S < seconds:
            number += 1
            await asyncio.sleep(max(0.0, self._began + number * LINE_S - time.monotonic()))
            state = await self._operator.status()
            self._say(self._line(number, state))

    def _line(self, number: int, state: dict[str, object] | None) -> str:
        ends = self._tally.ends
        counts = " ".join(f"{end.value} {ends[end]}" for end in End)
        times = self._tally.take_first_events()
        waits = "no first events"
        if times:
            waits = f"first event p50 {_part(times, 0.5)} ms p95 {_part(times, 0.95)} ms"
        ready = f"gateways {self._ingress.ready}/{len(self._ingress.gateways)}"
        core = "no controller answers"
        if state is not None:
            tail = self._fleet.by_address(str(state["tail"]))
            core = f"epoch {state['epoch']} tail {tail} generation {state['generation']}"
        return f"{number:>4} s  {counts} retries {self._tally.retries}  {waits}  {ready}  {core}"

    async def _kill(self) -> None:
        """Kill a gateway and the chain's tail; then have a second configuration taken."""
        times = [KILL_ROUTER_S, KILL_CONTROLLER_S]
        if (seconds := self._plan.seconds) is not None:
            times = [min(at, seconds * share) for at, share in zip(times, KILL_SHARES, strict=True)]
        await self._sleep_until(times[0])
        self._kill_one(self._fleet.routers[-1])
        await self._sleep_until(times[1])
        state = await self._operator.status()
        tail = self._fleet.by_address(str(state["tail"])) if state is not None else ""
        named = [machine for machine in self._fleet.controllers if machine.name == tail]
        self._kill_one((named or self._fleet.controllers)[0])
        began = time.monotonic()
        await self._operator.send(2)
        self._say(
            f"configuration 2 taken in {time.monotonic() - began:.1f} s without {tail or 'it'}"
        )

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self._began + at - time.monotonic()))

    def _kill_one(self, machine: Machine) -> None:
        self._say(f"killing {machine.name}, pid {machine.pids[-1]}")
        machine.send(signal.SIGKILL)

    async def _end(self, trouble: str | None) -> Report:
        late = await self._fleet.end()
        for host in self._hosts:
            await host.stop()
        await self._host_list.stop()
        pids = [pid for machine in self._fleet.machines for pid in machine.pids]
        tally = self._tally
        report = Report(dict(tally.ends), tally.retries, tally.faults, late, pids, trouble)
        for line in summary(report):
            self._say(line)
        return report


def summary(report: Report) -> list[str]:
    """The last lines of a run."""
    lines = [f"fault: {fault}" for fault in report.faults[:MOST_FAULTS]]
    if report.trouble is not None:
        lines.append(f"trouble: {report.trouble}")
    if report.late:
        lines.append(f"had to be killed: {', '.join(report.late)}")
    counts = " ".join(f"{end.value} {count}" for end, count in report.ends.items())
    lines.append(
        f"ended: {counts} retries {report.retries}; {len(report.pids)} processes ran, none is left"
    )
    return lines


def _part(times: list[float], share: float) -> int:
    """A percentile of sorted seconds, in ms."""
    return round(times[min(len(times) - 1, int(len(times) * share))] * 1000)
