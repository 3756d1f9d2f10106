"""How a case is run: the record, the exit status, and the end of all processes."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from standins.callers import Clients, Operator
from standins.hosts import Host, HostList, Run
from standins.machines import Fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

HELD = 0
BROKEN_RULE = 1
COULD_NOT_RUN = 2
LIMIT_S = 115.0


@dataclass(slots=True)
class World:
    """The fleet and all stand-ins of one case."""

    seed: int
    trouble: bool
    began: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    hosts: list[Host] = field(default_factory=list)
    random: random.Random = field(default_factory=random.Random)
    host_list: HostList | None = None
    fleet: Fleet | None = None

    def note(self, line: str) -> None:
        """Write a line of the record, with the time since the start."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {line}")

    async def start(
        self, hosts: list[Host], routers: int, spares: int = 0
    ) -> tuple[Fleet, Operator, Clients]:
        """Start the hosts, the platform's list and all processes of the fleet."""
        self.random.seed(self.seed)
        self.hosts = hosts
        for host in hosts:
            await host.start()
        self.host_list = HostList(hosts)
        await self.host_list.start()
        self.fleet = Fleet.make(routers, self.host_list.address, spares)
        await self.fleet.start()
        clients = Clients(self.fleet, self.note, self.random)
        return self.fleet, Operator(self.fleet, self.note), clients

    async def end(self) -> None:
        """End everything that was started."""
        if self.fleet is not None:
            await self.fleet.end()
        for host in self.hosts:
            await host.stop()
        if self.host_list is not None:
            await self.host_list.stop()


def run(folder: Path, body: Callable[[World], Awaitable[int]]) -> None:
    """Play a case and exit with its status; the record stands in the case's folder."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(int(os.environ.get("SEED", "1")), trouble)

    async def play() -> int:
        try:
            async with asyncio.timeout(LIMIT_S):
                return await body(world)
        except TimeoutError:
            world.note("the case took too long")
            return COULD_NOT_RUN
        # An error of the case itself must not look like a broken rule, whose status is 1 too.
        except Exception as error:  # noqa: BLE001
            world.note(f"the case could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            if world.fleet is not None:
                logs = world.fleet.logs()
            await world.end()
            if world.fleet is not None and os.environ.get("LOGS"):
                sys.stderr.write(logs)

    status = asyncio.run(play())
    world.note(f"exit {status}")
    (folder / "record.txt").write_text("\n".join(world.lines) + "\n")
    sys.exit(status)
