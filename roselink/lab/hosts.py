"""Stand-ins for hosts: a model service that answers with event streams, and a service of plain
answers.

What a request asks for decides its answer, so a client can check each byte whichever host gave it.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from dataclasses import dataclass, field

from roselink.lab.wire import Address, BrokenMessage, Head, chunk, message, read_body, read_head

MODEL = "lab-model"
RECORDS = "lab-records"
QUEUE = 4  # requests beyond the capacity that wait
FIRST_EVENT_S = 0.04
EVENT_S = 0.02
RECORD_S = 0.02
MOST_EVENTS = 1000
NOT_EXECUTED = {"X-Not-Executed": "1"}


def event(path: str, number: int) -> bytes:
    """The event of that number in the stream for a path."""
    return f"id: {number}\ndata: {path} {number}\n\n".encode()


def record(path: str) -> bytes:
    """The plain answer for a path."""
    return json.dumps({"record": path}).encode()


def signature(request_id: str) -> str:
    """The stamp on the answer to a request."""
    return f"{zlib.crc32(request_id.encode()):08x}"


@dataclass(slots=True)
class Host:
    """One host: so many requests at once, a few more in a queue, the rest is told that it has not
    run.
    """

    id: str
    service: str
    zone: str
    capacity: int
    address: Address = ("", 0)
    answered: int = 0
    _slots: asyncio.Semaphore = field(init=False)
    _inside: int = 0
    _server: asyncio.Server | None = None
    _open: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._slots = asyncio.Semaphore(self.capacity)
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """End the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._open:
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    def entry(self) -> dict[str, object]:
        """This host as it stands in the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "generation": "v1",
            "capacity": self.capacity,
            "state": "ready",
            "warmup_left_ms": 0,
            "stage": "dual",
            "models": [{"name": "m", "generation": 1, "adapters": []}]
            if self.service == MODEL
            else [],
        }

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            while True:
                head = await read_head(reader)
                await read_body(reader, head)
                await self._answer(head, writer)
                if not head.keeps:
                    break
        except (BrokenMessage, OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(task)
            writer.close()

    async def _answer(self, head: Head, writer: asyncio.StreamWriter) -> None:
        if head.path == "/healthz":
            writer.write(message("HTTP/1.1 200 OK", {"X-Instance-Id": self.id}))
        elif head.path == "/report":
            writer.write(
                message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, self._report())
            )
        elif (refusal := self._refusal(head)) is not None:
            stamp = {"X-Request-Id": head.headers.get("x-request-id", "")}
            writer.write(message(f"HTTP/1.1 {refusal}", NOT_EXECUTED | stamp))
        else:
            await self._work(head, writer)
        await writer.drain()

    def _refusal(self, head: Head) -> str | None:
        if "x-request-id" not in head.headers:
            return "400 Bad Request"
        if head.headers.get("x-target-instance", self.id) != self.id:
            return "421 Misdirected Request"
        if self._inside >= self.capacity + QUEUE:
            return "503 Service Unavailable"
        return None

    async def _work(self, head: Head, writer: asyncio.StreamWriter) -> None:
        """Run a request; a client that leaves is noticed with the next write."""
        self._inside += 1
        try:
            async with self._slots:
                if self.service == MODEL:
                    await self._stream(head, writer)
                else:
                    await asyncio.sleep(RECORD_S)
                    writer.write(message("HTTP/1.1 200 OK", self._stamp(head), record(head.path)))
        finally:
            self._inside -= 1
        self.answered += 1

    async def _stream(self, head: Head, writer: asyncio.StreamWriter) -> None:
        """Events from the one behind `Last-Event-Id` on; the second number of X-Token-Usage says
        how many.
        """
        _, _, asked = head.headers.get("x-token-usage", "0,1").partition(",")
        events = min(int(asked), MOST_EVENTS)
        first = int(head.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(FIRST_EVENT_S)
        headers = self._stamp(head) | {"Content-Type": "text/event-stream", "Versions": "1"}
        writer.write(message("HTTP/1.1 200 OK", headers, None))
        for number in range(first, events + 1):
            writer.write(chunk(event(head.path, number)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(chunk(b""))

    def _stamp(self, head: Head) -> dict[str, str]:
        request_id = head.headers["x-request-id"]
        return {"X-Request-Id": request_id, "X-Response-Signature": signature(request_id)}

    def _report(self) -> bytes:
        running = min(self._inside, self.capacity)
        state = {
            "stage": "dual",
            "models": [{"name": "m", "generation": 1, "adapters": []}],
            "busy": False,
        }
        load = {"sequence": 0, "waiting": self._inside - running, "running": running}
        return json.dumps(state | load | {"kv_used": 0, "kv_total": 100000, "handles": 0}).encode()


def make_hosts() -> list[Host]:
    """Three hosts of the model service and two of the plain one, in three zones."""
    models = [Host(f"m-{number}", MODEL, f"zone-{'abc'[number]}", 32) for number in range(3)]
    return models + [
        Host(f"r-{number}", RECORDS, f"zone-{'abc'[number]}", 8) for number in range(2)
    ]
