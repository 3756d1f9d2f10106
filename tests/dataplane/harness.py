"""A data plane on loopback with fake hosts, clients and gateway components."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from roselink.dataplane.gateway_data_plane import GatewayDataPlane
from roselink.model.configuration import Configuration, Tenant
from roselink.model.fleet import Host, HostState, Snapshot, VersionVector
from roselink.model.settings import read_settings
from roselink.routing.events_and_actions import (
    Action,
    AttemptEnded,
    Event,
    FailureReason,
    FinalResponse,
    FirstEvent,
    RequestArrived,
    RequestClosed,
    RequestFacts,
    SendAttempt,
    TopologyChanged,
)
from roselink.routing.outcome import NEVER_RAN, Outcome
from tests.support.fake_hosts import Behaviour, FakeHost
from tests.support.http_messages import Message, reset

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from roselink.dataplane.interfaces import Decider

SIGNATURE_HEADER = "X-Response-Signature: 3e1b.07.5a2"
API_KEY = "key-of-huka"


def document(**changes: Any) -> dict[str, Any]:
    def route(name: str, kind: str, **more: Any) -> dict[str, Any]:
        fields = {
            "name": name,
            "hostname": "ficu.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 15000,
            "target_latency_ms": 600,
            "priority": 1,
            "service": "model",
            "max_attempts": 3,
            "public": False,
            "resumable": False,
        }
        return fields | more

    return {
        "generation": 1,
        "routes": [
            route("chat", "streaming", resumable=True),
            route("plan", "streaming"),
            route("safe", "idempotent"),
            route("once", "non_idempotent"),
            route("open", "non_idempotent", public=True),
            route("brief", "non_idempotent", timeout_ms=300),
        ],
        "services": [{"name": "model", "max_connections": 360}],
        "tenants": [
            {
                "name": "huka",
                "api_keys": [API_KEY],
                "priority": 1,
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 1000,
                "burst": 1000,
            },
            {"name": "zoka", "api_keys": ["key-of-zoka"]},
        ],
    } | changes


class FakeDecider:
    """Decider that tries hosts in order and retries where the route or the outcome allows it."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.hosts: list[str] = []
        self.facts: dict[int, RequestFacts] = {}
        self.sent: dict[int, int] = {}
        self.open_attempts: dict[int, int] = {}
        self.may_have_run: set[int] = set()
        self.hedges = 0  # additional attempts at once

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        if isinstance(event, TopologyChanged):
            self.hosts = [host.id for host in event.hosts if host.state is HostState.READY]
        elif isinstance(event, RequestArrived):
            number = event.facts.number
            self.facts[number] = event.facts
            return [self.send(number) for _ in range(1 + self.hedges)]
        elif isinstance(event, AttemptEnded) and event.number in self.facts:
            return self.handle_end(event)
        elif isinstance(event, RequestClosed):
            self.facts.pop(event.number, None)
        return []

    def send(self, number: int, resume: bool = False) -> SendAttempt:
        attempt = self.sent.get(number, 0)
        self.sent[number] = attempt + 1
        self.open_attempts[number] = self.open_attempts.get(number, 0) + 1
        return SendAttempt(number, attempt, self.hosts[attempt % len(self.hosts)], resume)

    def handle_end(self, event: AttemptEnded) -> list[Action]:
        facts = self.facts[event.number]
        self.open_attempts[event.number] -= 1
        if event.outcome in (Outcome.SUCCESS, Outcome.CANCELLED) or event.relayed:
            return []
        proven = event.outcome in NEVER_RAN
        if not proven:
            self.may_have_run.add(event.number)
        if event.outcome is Outcome.TIMEOUT:
            return [FinalResponse(event.number, FailureReason.OUT_OF_TIME)]
        if self.sent[event.number] < facts.max_attempts and (proven or facts.repeatable):
            return [self.send(event.number, event.progressed)]
        if self.open_attempts[event.number]:
            return []
        ran = event.number in self.may_have_run
        return [
            FinalResponse(
                event.number, FailureReason.MAY_HAVE_RUN if ran else FailureReason.NOT_RUN, 0.4
            )
        ]

    def attempt_ends(self) -> list[AttemptEnded]:
        return [event for event in self.events if isinstance(event, AttemptEnded)]

    def count(self, kind: type[RequestClosed] | type[FirstEvent] | type[RequestArrived]) -> int:
        return sum(isinstance(event, kind) for event in self.events)


class FakeAuthority:
    def __init__(self, snapshot: Snapshot | None = None) -> None:
        self.current_snapshot, self.keys_usable = snapshot, True
        self.callbacks: list[Callable[[Snapshot], None]] = []

    def snapshot(self) -> Snapshot | None:
        return self.current_snapshot

    def may_use_keys(self) -> bool:
        return self.keys_usable

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        self.callbacks.append(callback)
        if self.current_snapshot is not None:
            callback(self.current_snapshot)

    def publish(self, snapshot: Snapshot) -> None:
        self.current_snapshot = snapshot
        for callback in self.callbacks:
            callback(snapshot)


@dataclass
class FakeQuotas:
    allowed: bool = True
    delayed: bool = False
    requested: list[tuple[str, float]] = field(default_factory=list)
    returned: list[tuple[str, float]] = field(default_factory=list)

    def admit(self, tenant: Tenant, amount: float, decide: Callable[[bool, float], None]) -> None:
        self.requested.append((tenant.name, amount))
        if self.delayed:
            asyncio.get_running_loop().call_later(0.005, decide, self.allowed, 0.7)
        else:
            decide(self.allowed, 0.7)

    def refund(self, tenant: Tenant, amount: float) -> None:
        self.returned.append((tenant.name, amount))


class FakeBudget:
    def request_retry(self, service: str, decide: Callable[[bool], None]) -> None:
        decide(True)


def settings(**changes: Any) -> Any:
    return read_settings(
        {
            "node_name": "edge-1",
            "ip": "127.0.0.1",
            "port_range": [7500, 7515],
            "seeds": [],
            "bind": {"http": "127.0.0.1:0", "readiness": "127.0.0.1:0"},
            "limits": {"cpu_share": 0.5, "memory_mb": 300, "max_fds": 1024},
        }
        | changes
    )


def host_entry(host: FakeHost, **changes: Any) -> Host:
    fields: dict[str, Any] = {
        "id": host.name,
        "service": "model",
        "address": f"127.0.0.1:{host.address[1]}",
        "zone": "z",
        "generation": "v1",
        "capacity": 64,
        "state": HostState.READY,
        "warmup_left_ms": 0.0,
        "models": ("m",),
    }
    return Host(**(fields | changes))


@dataclass
class DataPlaneHarness:
    data_plane: GatewayDataPlane
    decider: FakeDecider
    authority: FakeAuthority
    quotas: FakeQuotas
    hosts: list[FakeHost]

    def snapshot(self, *entries: Host, **changes: Any) -> Snapshot:
        configuration = Configuration.from_document(document(**changes))
        return Snapshot(VersionVector(), configuration, entries, ())

    def client(self) -> StreamClient:
        return StreamClient(self.data_plane.port)


@asynccontextmanager
async def running_data_plane(
    *behaviours: Behaviour, custom_decider: Decider | None = None, **changes: Any
) -> AsyncIterator[DataPlaneHarness]:
    """Run fake hosts and a data plane with `custom_decider`, or a `FakeDecider` if None."""
    hosts = [await FakeHost(f"i-{i}", behave).start() for i, behave in enumerate(behaviours)]
    decider, authority, quotas = FakeDecider(), FakeAuthority(), FakeQuotas()
    data_plane = GatewayDataPlane(
        settings(),
        asyncio.get_running_loop(),
        custom_decider or decider,
        authority,
        quotas,
        FakeBudget(),
    )
    harness = DataPlaneHarness(data_plane, decider, authority, quotas, hosts)
    authority.current_snapshot = harness.snapshot(*(host_entry(host) for host in hosts), **changes)
    await data_plane.start()
    try:
        yield harness
    finally:
        data_plane.stop()


# Hosts.


def response_head(
    message: Message, status: str = "200 OK", *more: str, signed: bool = True
) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {message.headers['x-request-id']}", *more]
    return "\r\n".join(lines + ([SIGNATURE_HEADER] if signed else [])).encode() + b"\r\n"


def respond(
    body: bytes = b"ok",
    status: str = "200 OK",
    *more: str,
    signed: bool = True,
    trailing: bytes = b"",
) -> Behaviour:
    """Send a complete response with its length, optionally followed by `trailing` bytes."""

    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        head = response_head(message, status, *more, signed=signed)
        writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body + trailing)

    return behave


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int, text: str = "token") -> bytes:
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


def stream_head(message: Message) -> bytes:
    return response_head(message, "200 OK", "Content-Type: text/event-stream", "Versions: 3") + (
        b"Transfer-Encoding: chunked\r\n\r\n"
    )


def stream(
    count: int = 4,
    cut_after: int | None = None,
    incomplete_event: bytes = b"id: 9\nda",
    end: str = "reset",
) -> Behaviour:
    """Send the events after `Last-Event-Id` up to `count`.

    After event `cut_after`, the stream breaks off within the next event as `end` says.
    """

    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        first = int(message.headers.get("last-event-id", "0")) + 1
        writer.write(stream_head(message))
        for number in range(first, count + 1):
            writer.write(chunk(event(number)))
            if number == cut_after:
                writer.write(chunk(incomplete_event))
                await asyncio.sleep(0.03)
                if end == "garbage":
                    writer.write(b"no chunk at all\r\n")
                elif end == "reset":
                    reset(writer)
                else:
                    writer.close()
                return
        writer.write(b"0\r\n\r\n")

    return behave


def respond_not_executed(status: str = "503 Full", *more: str) -> Behaviour:
    return respond(b"", status, *(more or ("X-Not-Executed: 1",)))


# Clients.

request_numbers = itertools.count(1)


def request(
    path: str = "/safe/x",
    *,
    method: str = "POST",
    body: bytes = b"",
    key: str | None = API_KEY,
    host: str = "ficu.example",
    **headers: str | None,
) -> bytes:
    values: dict[str, str | None] = {
        "Host": host,
        "X-Request-Id": f"{next(request_numbers):016x}",
        "X-Request-Deadline": "5000",
        "Authorization": f"Bearer {key}" if key else None,
        "Content-Length": str(len(body)) if body or method == "POST" else None,
    }
    values |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [
        f"{method} {path} HTTP/1.1",
        *(f"{k}: {v}" for k, v in values.items() if v is not None),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class Response:
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool  # ended according to its framing

    @property
    def ids(self) -> list[int]:
        return [int(line[4:]) for line in self.body.split(b"\n") if line.startswith(b"id: ")]


class StreamClient:
    """Client that reads length and chunked framing and detects truncated responses."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def __aenter__(self) -> StreamClient:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    async def read_head(self) -> tuple[int, dict[str, str]]:
        text = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = text.strip().split("\r\n")
        return int(first.split()[1]), {
            k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)
        }

    async def read_chunk(self) -> bytes:
        size = int(await self.reader.readuntil(b"\r\n"), 16)
        data = await self.reader.readexactly(size + 2)
        return data[:-2]

    async def read_response(self, without_body: bool = False) -> Response:
        status, headers = await self.read_head()
        body = b""
        try:
            if "transfer-encoding" in headers:
                while data := await self.read_chunk():
                    body += data
            elif not without_body:
                body = await self.reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return Response(status, headers, body, False)
        return Response(status, headers, body, True)

    async def send_request(self, path: str = "/safe/x", **more: Any) -> Response:
        self.writer.write(request(path, **more))
        return await self.read_response(more.get("method") == "HEAD")

    async def closed_by_peer(self) -> bool:
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True
