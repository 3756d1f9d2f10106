"""Stand-ins for clients: they check every byte, try again as clients do, and count how each request
ended.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from roselink.dataplane.event_streams import EventSplitter
from roselink.lab.hosts import event, record, signature
from roselink.lab.operator import HOSTNAME, KEY
from roselink.lab.wire import BrokenMessage, Head, message, read_body, read_head, read_parts

if TYPE_CHECKING:
    from roselink.lab.platform import Ingress

PROMISES = (408, 421, 429, 503)
DEADLINE_S = 5.0
TRIES = 4
CONNECT_S = 1.0
PAUSE_S = 0.05
EVENTS = (4, 12)  # of a stream: least and most
LOOKUPS = 0.3  # of all requests
PROMPTS = 5  # different shared parts


class End(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Tally:
    """Counts over all clients. `first_event_s`: of streams, since the last `take_first_events`."""

    ends: dict[End, int] = field(default_factory=lambda: dict.fromkeys(End, 0))
    retries: int = 0
    first_event_s: list[float] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def take_first_events(self) -> list[float]:
        """The times to the first event that came in since the last call, sorted; seconds."""
        taken, self.first_event_s = sorted(self.first_event_s), []
        return taken


@dataclass(slots=True)
class _Request:
    """One request over all its tries."""

    path: str
    events: int  # 0: a plain answer
    prompt: str
    began: float
    last_id: int = 0
    first_at: float | None = None

    @property
    def left_s(self) -> float:
        return self.began + DEADLINE_S - time.monotonic()


@dataclass(slots=True)
class _Connection:
    gateway: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Client:
    """One client with one connection: a request, a pause, and so on until `stopping`."""

    def __init__(self, name: str, ingress: Ingress, tally: Tally, stopping: asyncio.Event) -> None:
        self._name, self._ingress, self._tally, self._stopping = name, ingress, tally, stopping
        self._chance = random.Random(name)
        self._numbers = itertools.count(1)
        self._connection: _Connection | None = None

    async def run(self) -> None:
        """Send requests; the one under way at the end is waited for."""
        while not self._stopping.is_set():
            end = await self._request()
            self._tally.ends[end] += 1
            await self._pause(PAUSE_S * self._chance.uniform(0.5, 1.5))
        self._drop()

    async def _pause(self, pause_s: float) -> None:
        try:
            async with asyncio.timeout(pause_s):
                await self._stopping.wait()
        except TimeoutError:
            pass

    def _make(self) -> _Request:
        plain = self._chance.random() < LOOKUPS
        path = f"/{'lookup' if plain else 'chat'}/{self._name}/{next(self._numbers)}"
        prompt = f"{self._chance.randrange(PROMPTS):x}:400,{self._chance.getrandbits(32):x}:100"
        return _Request(
            path, 0 if plain else self._chance.randint(*EVENTS), prompt, time.monotonic()
        )

    async def _request(self) -> End:
        """Try until it is served, tries or time are over, or the end is plain."""
        request, tried = self._make(), set[str]()
        end, why = End.FAILED, "no gateway was ready"
        for number in range(TRIES):
            if number:
                self._tally.retries += 1
            try:
                async with asyncio.timeout(max(0.01, request.left_s)):
                    end, why, wait_s = await self._try(request, tried)
            except TimeoutError:
                end, why, wait_s = End.FAILED, "no whole answer in time", 0.0
            if end is End.SERVED:
                if request.first_at is not None:
                    self._tally.first_event_s.append(request.first_at - request.began)
                return end
            self._drop()
            if request.left_s <= wait_s:
                break
            await asyncio.sleep(wait_s)
        if end is End.FAILED:
            self._tally.faults.append(f"{request.path}: {why}")
        return end

    async def _try(self, request: _Request, tried: set[str]) -> tuple[End, str, float]:
        """One try: how it ended, why, and how long to wait before the next (seconds)."""
        connection: _Connection | None = None
        try:
            connection = await self._connect(tried)
            if connection is None:
                return End.REFUSED, "no gateway is ready", 0.1
            tried.add(connection.gateway)
            connection.writer.write(self._message(request))
            head = await read_head(connection.reader)
            if head.status == 200:
                return await self._take(request, head, connection)
            await read_body(connection.reader, head)
        except (OSError, TimeoutError, BrokenMessage) as error:
            gateway = connection.gateway if connection is not None else "a connection"
            return End.FAILED, f"{gateway}: {error!r}", 0.0
        why = f"{connection.gateway}: status {head.status}"
        if head.status in PROMISES:
            asked_s = float(head.headers.get("retry-after", "0"))
            return End.REFUSED, why, min(asked_s, request.left_s / 3)
        return End.FAILED, why, 0.0

    async def _connect(self, tried: set[str]) -> _Connection | None:
        if self._connection is None and (gateway := self._ingress.pick(tried)) is not None:
            async with asyncio.timeout(CONNECT_S):
                pair = await asyncio.open_connection(*gateway.http)
            self._connection = _Connection(gateway.name, *pair)
        return self._connection

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None

    def _message(self, request: _Request) -> bytes:
        headers = {
            "Host": HOSTNAME,
            "X-Request-Id": f"{self._chance.getrandbits(64):016x}",
            "X-Request-Deadline": str(max(1, int(request.left_s * 1000))),
            "Authorization": f"Bearer {KEY}",
        }
        self._sent_id = headers["X-Request-Id"]
        if request.events:
            headers |= {"X-Model": "m", "X-Token-Usage": f"500,{request.events}"}
            headers["X-Prompt-Prefix"] = request.prompt
            if request.last_id:
                headers["Last-Event-Id"] = str(request.last_id)
        return message(f"POST {request.path} HTTP/1.1", headers, b"{}")

    async def _take(
        self, request: _Request, head: Head, connection: _Connection
    ) -> tuple[End, str, float]:
        """Take a 200 in, whole, and compare it with what the host must have said."""
        if request.events:
            fault = await self._take_events(request, head, connection)
        else:
            body = await read_body(connection.reader, head)
            fault = "" if body == record(request.path) else "another body"
        if head.headers.get("x-response-signature") != signature(self._sent_id):
            fault = fault or "no valid stamp"
        if not head.keeps:
            self._drop()
        return (End.FAILED if fault else End.SERVED), fault, 0.0

    async def _take_events(self, request: _Request, head: Head, connection: _Connection) -> str:
        splitter = EventSplitter()
        async for part in read_parts(connection.reader, head):
            for got in splitter.feed(part):
                request.first_at = request.first_at or time.monotonic()
                if got.data != event(request.path, request.last_id + 1):
                    return f"event {got.id} behind {request.last_id}"
                request.last_id += 1
        return (
            ""
            if request.last_id == request.events
            else f"{request.last_id} of {request.events} events"
        )
