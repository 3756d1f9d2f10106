"""Stand-ins for the hosts of a service, and for the platform's list of them."""

from __future__ import annotations

import asyncio
import json
import time
import zlib
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from standins.wire import BROKEN, Address, Head, chunk, message, read_body, read_head

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(slots=True)
class Run:
    """One request that a host began to work on."""

    id: str
    host: str
    at: float
    tenant: str
    tokens: int
    arrived_at: float


def signature(request_id: str, host: str) -> str:
    """The stamp of a host's answer."""
    return f"{host}.{zlib.crc32(request_id.encode()):08x}"


def event(number: int) -> bytes:
    """One event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


@dataclass(slots=True)
class Host:
    """A sound host: `capacity` requests at once, `queue` more wait, the rest gets 503.

    `copies`: asked after each answer whether a second copy of it comes later, in the slot of the
    next answer on its connection. `answers` and `copied` count them.
    """

    id: str
    service: str
    zone: str
    capacity: int
    queue: int
    first_s: float
    pieces: int
    gap_s: float
    runs: list[Run]
    note: Callable[[str], None]
    streams: bool = True
    state: str = "ready"
    copies: Callable[[], bool] | None = None
    answers: int = 0
    copied: int = 0
    address: Address = ("", 0)
    in_flight: int = 0
    _slots: asyncio.Semaphore = field(init=False)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._slots = asyncio.Semaphore(self.capacity)
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def entry(self) -> dict[str, object]:
        """This host in the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "generation": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmup_left_ms": 0,
            "stage": "dual",
            "models": [{"name": "m", "generation": 1, "adapters": []}] if self.streams else [],
        }

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        late = b""
        try:
            while True:
                head = await read_head(reader)
                arrived_at = time.monotonic()
                await read_body(reader, head)
                if late:
                    self.copied += 1
                    writer.write(late)
                    late = b""
                answer = self._rejection(head)
                if answer is None:
                    answer = await self._run(head, writer, arrived_at)
                else:
                    writer.write(answer)
                if self.copies is not None and self.copies():
                    late = answer
                self.answers += 1
                await writer.drain()
        except (*BROKEN, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with suppress(OSError, RuntimeError):
                writer.close()

    def _rejection(self, head: Head) -> bytes | None:
        request_id = head.headers.get("x-request-id")
        if head.start[1] == "/healthz":
            return message("HTTP/1.1 200 OK", {"X-Instance-Id": self.id})
        status = None
        if request_id is None:
            status = "400 Bad Request"
        elif head.headers.get("x-target-instance", self.id) != self.id:
            status = "421 Misdirected Request"
        elif self.in_flight >= self.capacity + self.queue:
            status = "503 Service Unavailable"
        if status is None:
            return None
        self.note(f"host {self.id} rejects {request_id} ({status[:3]})")
        headers = {"X-Not-Executed": "1", "X-Request-Id": request_id or ""}
        return message(f"HTTP/1.1 {status}", headers)

    async def _run(self, head: Head, writer: asyncio.StreamWriter, arrived_at: float) -> bytes:
        """Work on a request; a closed connection is noticed at the next write."""
        self.in_flight += 1
        try:
            async with self._slots:
                return await self._work(head, writer, arrived_at)
        finally:
            self.in_flight -= 1

    async def _work(self, head: Head, writer: asyncio.StreamWriter, arrived_at: float) -> bytes:
        request_id = head.headers["x-request-id"]
        tokens = sum(int(n) for n in head.headers.get("x-token-usage", "0,0").split(","))
        tenant = head.headers.get("x-tenant-id", "")
        self.runs.append(Run(request_id, self.id, time.monotonic(), tenant, tokens, arrived_at))
        self.note(f"host {self.id} runs {request_id} of {tenant or '-'}")
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Signature": signature(request_id, self.id),
        }
        await asyncio.sleep(self.first_s)
        if not self.streams:
            answer = message("HTTP/1.1 200 OK", headers, b'{"answer":"%b"}' % self.id.encode())
            writer.write(answer)
            return answer
        headers |= {"Content-Type": "text/event-stream", "Versions": "1"}
        first = int(head.headers.get("last-event-id") or 0) + 1
        parts = [message("HTTP/1.1 200 OK", headers, None)]
        parts += [chunk(event(number)) for number in range(first, self.pieces + 1)]
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(chunk(b""))
        return b"".join(parts) + chunk(b"")


@dataclass(slots=True)
class HostList:
    """The platform's list, in one page."""

    hosts: list[Host]
    address: Address = ("", 0)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                await read_body(reader, head)
                listed = {"instances": [h.entry() for h in self.hosts], "next_page_token": None}
                body = json.dumps(listed).encode()
                writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (*BROKEN, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with suppress(OSError, RuntimeError):
                writer.close()
