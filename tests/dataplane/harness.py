"""A data plane on loopback between stand-in hosts and clients, with fakes for the rest of a
gateway.
"""

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

STAMP = "X-Response-Signature: 3e1b.07.5a2"
KEY = "key-of-huka"


def document(**changes: Any) -> dict[str, Any]:
    def route(name: str, kind: str, **more: Any) -> dict[str, Any]:
        told = {
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
        return told | more

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
                "api_keys": [KEY],
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
    """Tries the hosts in their order; again only where the route, or what is proven, allows it."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.hosts: list[str] = []
        self.facts: dict[int, RequestFacts] = {}
        self.sent: dict[int, int] = {}
        self.out: dict[int, int] = {}
        self.may_have_run: set[int] = set()
        self.hedges = 0  # hosts tried beside the first, at once

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        if isinstance(event, TopologyChanged):
            self.hosts = [host.id for host in event.hosts if host.state is HostState.READY]
        elif isinstance(event, RequestArrived):
            number = event.facts.number
            self.facts[number] = event.facts
            return [self.send(number) for _ in range(1 + self.hedges)]
        elif isinstance(event, AttemptEnded) and event.number in self.facts:
            return self.ended(event)
        elif isinstance(event, RequestClosed):
            self.facts.pop(event.number, None)
        return []

    def send(self, number: int, resume: bool = False) -> SendAttempt:
        attempt = self.sent.get(number, 0)
        self.sent[number] = attempt + 1
        self.out[number] = self.out.get(number, 0) + 1
        return SendAttempt(number, attempt, self.hosts[attempt % len(self.hosts)], resume)

    def ended(self, event: AttemptEnded) -> list[Action]:
        facts = self.facts[event.number]
        self.out[event.number] -= 1
        if event.outcome in (Outcome.SUCCESS, Outcome.CANCELLED) or event.relayed:
            return []
        proven = event.outcome in NEVER_RAN
        if not proven:
            self.may_have_run.add(event.number)
        if event.outcome is Outcome.TIMEOUT:
            return [FinalResponse(event.number, FailureReason.OUT_OF_TIME)]
        if self.sent[event.number] < facts.max_attempts and (proven or facts.repeatable):
            return [self.send(event.number, event.progressed)]
        if self.out[event.number]:
            return []
        ran = event.number in self.may_have_run
        return [
            FinalResponse(
                event.number, FailureReason.MAY_HAVE_RUN if ran else FailureReason.NOT_RUN, 0.4
            )
        ]

    def ends(self) -> list[AttemptEnded]:
        return [event for event in self.events if isinstance(event, AttemptEnded)]

    def count(self, kind: type[RequestClosed] | type[FirstEvent] | type[RequestArrived]) -> int:
        return sum(isinstance(event, kind) for event in self.events)


class FakeAuthority:
    def __init__(self, snapshot: Snapshot | None = None) -> None:
        self.now_in_force, self.fresh = snapshot, True
        self.callbacks: list[Callable[[Snapshot], None]] = []

    def snapshot(self) -> Snapshot | None:
        return self.now_in_force

    def may_use_keys(self) -> bool:
        return self.fresh

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        self.callbacks.append(callback)
        if self.now_in_force is not None:
            callback(self.now_in_force)

    def tell(self, snapshot: Snapshot) -> None:
        self.now_in_force = snapshot
        for callback in self.callbacks:
            callback(snapshot)


@dataclass
class FakeQuotas:
    allowed: bool = True
    later: bool = False
    asked: list[tuple[str, float]] = field(default_factory=list)
    given_back: list[tuple[str, float]] = field(default_factory=list)

    def admit(self, tenant: Tenant, amount: float, decide: Callable[[bool, float], None]) -> None:
        self.asked.append((tenant.name, amount))
        if self.later:
            asyncio.get_running_loop().call_later(0.005, decide, self.allowed, 0.7)
        else:
            decide(self.allowed, 0.7)

    def refund(self, tenant: Tenant, amount: float) -> None:
        self.given_back.append((tenant.name, amount))


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


def host_line(host: FakeHost, **changes: Any) -> Host:
    told: dict[str, Any] = {
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
    return Host(**(told | changes))


@dataclass
class DataPlaneHarness:
    data_plane: GatewayDataPlane
    decider: FakeDecider
    authority: FakeAuthority
    quotas: FakeQuotas
    hosts: list[FakeHost]

    def snapshot(self, *lines: Host, **changes: Any) -> Snapshot:
        configuration = Configuration.from_document(document(**changes))
        return Snapshot(VersionVector(), configuration, lines, ())

    def client(self) -> StreamClient:
        return StreamClient(self.data_plane.port)


@asynccontextmanager
async def running_data_plane(
    *behaviours: Behaviour, by: Decider | None = None, **changes: Any
) -> AsyncIterator[DataPlaneHarness]:
    """Hosts and a data plane that decides `by` the fake, if nothing else is told."""
    hosts = [await FakeHost(f"i-{i}", behave).start() for i, behave in enumerate(behaviours)]
    decider, authority, quotas = FakeDecider(), FakeAuthority(), FakeQuotas()
    data_plane = GatewayDataPlane(
        settings(), asyncio.get_running_loop(), by or decider, authority, quotas, FakeBudget()
    )
    made = DataPlaneHarness(data_plane, decider, authority, quotas, hosts)
    authority.now_in_force = made.snapshot(*(host_line(host) for host in hosts), **changes)
    await data_plane.start()
    try:
        yield made
    finally:
        data_plane.stop()


# Hosts.


def head(message: Message, status: str = "200 OK", *more: str, stamp: bool = True) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {message.headers['x-request-id']}", *more]
    return "\r\n".join(lines + ([STAMP] if stamp else [])).encode() + b"\r\n"


def plain(
    body: bytes = b"ok", status: str = "200 OK", *more: str, stamp: bool = True, tail: bytes = b""
) -> Behaviour:
    """One whole answer with its length, and maybe bytes behind it."""

    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        told = head(message, status, *more, stamp=stamp)
        writer.write(told + b"Content-Length: %d\r\n\r\n" % len(body) + body + tail)

    return behave


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int, text: str = "token") -> bytes:
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


def sse(message: Message) -> bytes:
    return head(message, "200 OK", "Content-Type: text/event-stream", "Versions: 3") + (
        b"Transfer-Encoding: chunked\r\n\r\n"
    )


def stream(
    count: int = 4, cut_after: int | None = None, half: bytes = b"id: 9\nda", end: str = "reset"
) -> Behaviour:
    """Events up to `count`, from behind `Last-Event-Id` on; cut within the event after
    `cut_after`.
    """

    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        first = int(message.headers.get("last-event-id", "0")) + 1
        writer.write(sse(message))
        for number in range(first, count + 1):
            writer.write(chunk(event(number)))
            if number == cut_after:
                writer.write(chunk(half))
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


def rejects(status: str = "503 Full", *more: str) -> Behaviour:
    return plain(b"", status, *(more or ("X-Not-Executed: 1",)))


# Clients.

numbers = itertools.count(1)


def request(
    path: str = "/safe/x",
    *,
    method: str = "POST",
    body: bytes = b"",
    key: str | None = KEY,
    host: str = "ficu.example",
    **headers: str | None,
) -> bytes:
    told: dict[str, str | None] = {
        "Host": host,
        "X-Request-Id": f"{next(numbers):016x}",
        "X-Request-Deadline": "5000",
        "Authorization": f"Bearer {key}" if key else None,
        "Content-Length": str(len(body)) if body or method == "POST" else None,
    }
    told |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in told.items() if v is not None)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool  # ended as its framing says

    @property
    def ids(self) -> list[int]:
        return [int(line[4:]) for line in self.body.split(b"\n") if line.startswith(b"id: ")]


class StreamClient:
    """A client that reads length and chunked framing, and tells whole answers from cut ones."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def __aenter__(self) -> StreamClient:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    async def head(self) -> tuple[int, dict[str, str]]:
        text = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = text.strip().split("\r\n")
        return int(first.split()[1]), {
            k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)
        }

    async def chunk(self) -> bytes:
        size = int(await self.reader.readuntil(b"\r\n"), 16)
        data = await self.reader.readexactly(size + 2)
        return data[:-2]

    async def answer(self, bare: bool = False) -> Answer:
        status, headers = await self.head()
        body = b""
        try:
            if "transfer-encoding" in headers:
                while data := await self.chunk():
                    body += data
            elif not bare:
                body = await self.reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, headers, body, False)
        return Answer(status, headers, body, True)

    async def ask(self, path: str = "/safe/x", **more: Any) -> Answer:
        self.writer.write(request(path, **more))
        return await self.answer(more.get("method") == "HEAD")

    async def ended(self) -> bool:
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True
