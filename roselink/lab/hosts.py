"""Simulated hosts of a model service with event streams and a service with plain responses.

The response is a function of the request, so that a client can check each byte from any host.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from dataclasses import dataclass, field

from roselink.lab.exceptions import MalformedMessageError
from roselink.lab.http_messages import (
    Address,
    Head,
    encode_chunk,
    encode_message,
    read_body,
    read_head,
)

# Names of the services of hosts with event streams and of hosts with plain responses.
MODEL = "lab-model"
RECORDS = "lab-records"
# How many requests beyond the capacity may wait.
QUEUE_LENGTH = 4
# Latencies of the first event, of each further event and of a plain response, in seconds.
FIRST_EVENT_LATENCY_S = 0.04
EVENT_INTERVAL_S = 0.02
RECORD_LATENCY_S = 0.02
MAX_EVENTS = 1000
NOT_EXECUTED_HEADER = {"X-Not-Executed": "1"}


def encode_event(path: str, number: int) -> bytes:
    """Encode the event with a number in the stream for a path."""
    return f"id: {number}\ndata: {path} {number}\n\n".encode()


def encode_record(path: str) -> bytes:
    """Encode the plain response for a path."""
    return json.dumps({"record": path}).encode()


def signature(request_id: str) -> str:
    """The signature of the response to a request."""
    return f"{zlib.crc32(request_id.encode()):08x}"


@dataclass(slots=True)
class Host:
    """One host, which executes a limited number of requests concurrently.

    Up to `QUEUE_LENGTH` more wait; further requests are refused as not executed.

    Attributes:
        id: the host's id.
        service: the service that it belongs to.
        zone: the zone of the host.
        capacity: the maximum number of requests that it executes concurrently.
        address: the address on which it listens.
        completed: the number of requests that it has completed.
    """

    id: str
    service: str
    zone: str
    capacity: int
    address: Address = ("", 0)
    completed: int = 0
    _slots: asyncio.Semaphore = field(init=False)
    _in_flight: int = 0
    _server: asyncio.Server | None = None
    _connections: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._slots = asyncio.Semaphore(self.capacity)
        self._server = await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def list_item(self) -> dict[str, object]:
        """This host as an item of the platform's host list."""
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
                await self._respond(head, writer)
                if not head.keep_alive:
                    break
        except (MalformedMessageError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def _respond(self, head: Head, writer: asyncio.StreamWriter) -> None:
        if head.path == "/healthz":
            writer.write(encode_message("HTTP/1.1 200 OK", {"X-Instance-Id": self.id}))
        elif head.path == "/report":
            writer.write(
                encode_message(
                    "HTTP/1.1 200 OK", {"Content-Type": "application/json"}, self._report()
                )
            )
        elif (refusal := self._refusal(head)) is not None:
            echo = {"X-Request-Id": head.headers.get("x-request-id", "")}
            writer.write(encode_message(f"HTTP/1.1 {refusal}", NOT_EXECUTED_HEADER | echo))
        else:
            await self._execute(head, writer)
        await writer.drain()

    def _refusal(self, head: Head) -> str | None:
        if "x-request-id" not in head.headers:
            return "400 Bad Request"
        if head.headers.get("x-target-instance", self.id) != self.id:
            return "421 Misdirected Request"
        if self._in_flight >= self.capacity + QUEUE_LENGTH:
            return "503 Service Unavailable"
        return None

    async def _execute(self, head: Head, writer: asyncio.StreamWriter) -> None:
        """Execute a request; a closed connection is noticed at the next write."""
        self._in_flight += 1
        try:
            async with self._slots:
                if self.service == MODEL:
                    await self._stream(head, writer)
                else:
                    await asyncio.sleep(RECORD_LATENCY_S)
                    writer.write(
                        encode_message(
                            "HTTP/1.1 200 OK", self._signed_headers(head), encode_record(head.path)
                        )
                    )
        finally:
            self._in_flight -= 1
        self.completed += 1

    async def _stream(self, head: Head, writer: asyncio.StreamWriter) -> None:
        """Send the events after `Last-Event-Id`, up to the second number of `X-Token-Usage`."""
        _, _, requested = head.headers.get("x-token-usage", "0,1").partition(",")
        events = min(int(requested), MAX_EVENTS)
        first = int(head.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(FIRST_EVENT_LATENCY_S)
        headers = self._signed_headers(head) | {
            "Content-Type": "text/event-stream",
            "Versions": "1",
        }
        writer.write(encode_message("HTTP/1.1 200 OK", headers, None))
        for number in range(first, events + 1):
            writer.write(encode_chunk(encode_event(head.path, number)))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(encode_chunk(b""))

    def _signed_headers(self, head: Head) -> dict[str, str]:
        request_id = head.headers["x-request-id"]
        return {"X-Request-Id": request_id, "X-Response-Signature": signature(request_id)}

    def _report(self) -> bytes:
        running = min(self._in_flight, self.capacity)
        state = {
            "stage": "dual",
            "models": [{"name": "m", "generation": 1, "adapters": []}],
            "busy": False,
        }
        load = {"sequence": 0, "waiting": self._in_flight - running, "running": running}
        return json.dumps(state | load | {"kv_used": 0, "kv_total": 100000, "handles": 0}).encode()


def make_hosts() -> list[Host]:
    """Three hosts of the model service and two of the service with plain responses, by zone."""
    models = [Host(f"m-{number}", MODEL, f"zone-{'abc'[number]}", 32) for number in range(3)]
    return models + [
        Host(f"r-{number}", RECORDS, f"zone-{'abc'[number]}", 8) for number in range(2)
    ]
