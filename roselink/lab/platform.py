"""A simulated platform: the host list, and the load balancer in front of the gateways."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

from roselink.lab.exceptions import MalformedMessageError
from roselink.lab.http_messages import (
    Address,
    Request,
    encode_message,
    read_body,
    read_head,
    send_request,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from roselink.lab.hosts import Host

# The interval of readiness checks, and the one until a gateway is ready for the first time, in
# seconds.
CHECK_INTERVAL_S = 1.0
FIRST_CHECK_INTERVAL_S = 0.1
CHECK_TIMEOUT_S = 0.8
# After this many consecutive failed checks a gateway gets no new connections.
FAILURES_BEFORE_REMOVAL = 2


class HostList:
    """Responds to each request with the host list, one page with all hosts."""

    def __init__(self, hosts: list[Host]) -> None:
        """Take the hosts of the list."""
        self._hosts = hosts
        self._connections: set[asyncio.Task[None]] = set()
        self.address: Address = ("", 0)
        self.calls = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            while True:
                head = await read_head(reader)
                await read_body(reader, head)
                self.calls += 1
                listed = {
                    "instances": [host.list_item() for host in self._hosts],
                    "next_page_token": None,
                }
                body = json.dumps(listed).encode()
                writer.write(
                    encode_message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body)
                )
                await writer.drain()
        except (MalformedMessageError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            writer.close()


@dataclass(slots=True)
class Gateway:
    """A gateway with the state of its readiness checks.

    Attributes:
        name: the name of the gateway.
        http: the address for clients.
        readiness: the address for readiness checks.
        ready: whether it gets new connections.
        failures: the number of consecutive failed checks.
    """

    name: str
    http: Address
    readiness: Address
    ready: bool = False
    failures: int = 0


@dataclass(slots=True)
class Ingress:
    """A load balancer, which checks the readiness of gateways and picks ready ones for clients."""

    gateways: list[Gateway]
    random: Random = field(default_factory=Random)
    readiness_changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def run_checks(self) -> None:
        """Check the readiness of all gateways until cancelled."""
        async with asyncio.TaskGroup() as group:
            for gateway in self.gateways:
                group.create_task(self._check_periodically(gateway))

    async def _check_periodically(self, gateway: Gateway) -> None:
        was_ready = False
        while True:
            response = await send_request(
                gateway.readiness, Request("GET", "/readyz"), timeout_s=CHECK_TIMEOUT_S
            )
            passed = response is not None and response.head.status == HTTPStatus.OK
            self.record_check(gateway, passed=passed)
            was_ready = was_ready or gateway.ready
            await asyncio.sleep(CHECK_INTERVAL_S if was_ready else FIRST_CHECK_INTERVAL_S)

    def record_check(self, gateway: Gateway, *, passed: bool) -> None:
        """Record a readiness check: two failures remove a gateway, one success adds it."""
        gateway.failures = 0 if passed else gateway.failures + 1
        ready = passed or (gateway.ready and gateway.failures < FAILURES_BEFORE_REMOVAL)
        if ready != gateway.ready:
            gateway.ready = ready
            self.readiness_changed.set()

    def pick(self, tried: Collection[str] = ()) -> Gateway | None:
        """A random ready gateway, preferably an untried one; None if none is ready."""
        ready = [gateway for gateway in self.gateways if gateway.ready]
        untried = [gateway for gateway in ready if gateway.name not in tried]
        return self.random.choice(untried or ready) if ready else None

    @property
    def ready_count(self) -> int:
        """The number of gateways that get new connections."""
        return sum(gateway.ready for gateway in self.gateways)

    async def wait_until_all_ready(self) -> None:
        """Wait until every gateway is ready."""
        while self.ready_count < len(self.gateways):
            self.readiness_changed.clear()
            await self.readiness_changed.wait()
