"""A stand-in for the platform: the list of hosts, and the choice of gateways for new
connections.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.lab.wire import Address, BrokenMessage, ask, message, read_body, read_head

if TYPE_CHECKING:
    from collections.abc import Collection

    from roselink.lab.hosts import Host

ASK_EVERY_S = 1.0  # for readiness
FIRST_ASK_EVERY_S = 0.1  # until a gateway was ready once
SILENCE_S = 0.8
MISSES = 2


class HostList:
    """Serves `GET /instances`: one page with all hosts."""

    def __init__(self, hosts: list[Host]) -> None:
        self._hosts = hosts
        self._open: set[asyncio.Task[None]] = set()
        self.address: Address = ("", 0)
        self.calls = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """End the listener and all connections."""
        self._server.close()
        for task in self._open:
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            while True:
                head = await read_head(reader)
                await read_body(reader, head)
                self.calls += 1
                listed = {
                    "instances": [host.entry() for host in self._hosts],
                    "next_page_token": None,
                }
                body = json.dumps(listed).encode()
                writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (BrokenMessage, OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(task)
            writer.close()


@dataclass(slots=True)
class Gateway:
    """A gateway as the ingress knows it."""

    name: str
    http: Address
    readiness: Address
    ready: bool = False
    misses: int = 0


@dataclass(slots=True)
class Ingress:
    """Asks each gateway whether it is ready, and hands new connections to those that are."""

    gateways: list[Gateway]
    chance: random.Random = field(default_factory=random.Random)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def watch(self) -> None:
        """Ask until cancelled."""
        async with asyncio.TaskGroup() as group:
            for gateway in self.gateways:
                group.create_task(self._watch(gateway))

    async def _watch(self, gateway: Gateway) -> None:
        known = False
        while True:
            answer = await ask(gateway.readiness, "GET", "/readyz", SILENCE_S)
            self.heard(gateway, answer is not None and answer.head.status == 200)
            known = known or gateway.ready
            await asyncio.sleep(ASK_EVERY_S if known else FIRST_ASK_EVERY_S)

    def heard(self, gateway: Gateway, well: bool) -> None:
        """Note one answer: two misses take a gateway out, one good answer takes it in."""
        gateway.misses = 0 if well else gateway.misses + 1
        ready = well or (gateway.ready and gateway.misses < MISSES)
        if ready != gateway.ready:
            gateway.ready = ready
            self.changed.set()

    def pick(self, tried: Collection[str] = ()) -> Gateway | None:
        """A ready gateway, rather one that wasn't tried; None if none is ready."""
        ready = [gateway for gateway in self.gateways if gateway.ready]
        fresh = [gateway for gateway in ready if gateway.name not in tried]
        return self.chance.choice(fresh or ready) if ready else None

    @property
    def ready(self) -> int:
        """How many gateways get new connections."""
        return sum(gateway.ready for gateway in self.gateways)

    async def all_ready(self) -> None:
        """Return once every gateway is ready."""
        while self.ready < len(self.gateways):
            self.changed.clear()
            await self.changed.wait()
