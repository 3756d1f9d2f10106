"""Simulated clients, which check each byte of the responses, retry, and count the outcomes."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import TYPE_CHECKING

from roselink.dataplane.event_streams import EventSplitter
from roselink.lab.exceptions import MalformedMessageError
from roselink.lab.hosts import encode_event, encode_record, signature
from roselink.lab.http_messages import Head, encode_message, read_body, read_chunks, read_head
from roselink.lab.operator import HOSTNAME, KEY

if TYPE_CHECKING:
    from roselink.lab.platform import Ingress

# The statuses of responses to requests that have not been executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)
DEADLINE_S = 5.0
MAX_ATTEMPTS = 4
CONNECT_TIMEOUT_S = 1.0
# The mean pause between two requests of a client, in seconds.
PAUSE_S = 0.05
# The minimum and maximum number of events of a stream.
EVENT_COUNT_RANGE = (4, 12)
# The fraction of requests for a plain response.
LOOKUP_FRACTION = 0.3
# The number of distinct prompt prefixes.
PROMPT_PREFIXES = 5
# How long a client waits when no gateway is ready, in seconds.
NOT_READY_PAUSE_S = 0.1


class Outcome(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Statistics:
    """Statistics of all clients.

    Attributes:
        outcomes: the number of requests by outcome.
        retries: the number of retries.
        first_event_latencies_s: the times from a request to the first event of its stream, since
            the last `take_first_event_latencies`, in seconds.
        faults: the path of each failed request and the reason for its failure.
    """

    outcomes: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))
    retries: int = 0
    first_event_latencies_s: list[float] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def take_first_event_latencies(self) -> list[float]:
        """Return and clear the times to the first event, sorted, in seconds."""
        times = sorted(self.first_event_latencies_s)
        self.first_event_latencies_s = []
        return times


@dataclass(slots=True)
class _Request:
    """One request with the state of all its attempts."""

    path: str
    # The number of events of the stream; 0 for a plain response.
    events: int
    prompt: str
    began: float
    last_event_id: int = 0
    first_event_at: float | None = None

    @property
    def remaining_s(self) -> float:
        return self.began + DEADLINE_S - time.monotonic()


@dataclass(frozen=True, slots=True)
class _Attempt:
    """The result of one attempt: outcome, reason, and the pause before a retry, in seconds."""

    outcome: Outcome
    reason: str = ""
    pause_s: float = 0.0


@dataclass(slots=True)
class _Connection:
    gateway: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Client:
    """A client with one connection, which sends one request at a time until `stopping` is set."""

    def __init__(
        self, name: str, ingress: Ingress, statistics: Statistics, stopping: asyncio.Event
    ) -> None:
        """Create a client; its name is the seed of its random choices."""
        self._name = name
        self._ingress = ingress
        self._statistics = statistics
        self._stopping = stopping
        self._random = random.Random(name)
        self._numbers = itertools.count(1)
        self._connection: _Connection | None = None

    async def run(self) -> None:
        """Send requests until `stopping` is set; complete the last one."""
        while not self._stopping.is_set():
            outcome = await self._run_request()
            self._statistics.outcomes[outcome] += 1
            await self._pause(PAUSE_S * self._random.uniform(0.5, 1.5))
        self._close_connection()

    async def _pause(self, pause_s: float) -> None:
        try:
            async with asyncio.timeout(pause_s):
                await self._stopping.wait()
        except TimeoutError:
            pass

    def _make_request(self) -> _Request:
        plain = self._random.random() < LOOKUP_FRACTION
        path = f"/{'lookup' if plain else 'chat'}/{self._name}/{next(self._numbers)}"
        prompt = (
            f"{self._random.randrange(PROMPT_PREFIXES):x}:400,{self._random.getrandbits(32):x}:100"
        )
        return _Request(
            path, 0 if plain else self._random.randint(*EVENT_COUNT_RANGE), prompt, time.monotonic()
        )

    async def _run_request(self) -> Outcome:
        """Send a request; retry until it is served or the attempts or the time are used up."""
        request = self._make_request()
        tried = set[str]()
        attempt = _Attempt(Outcome.FAILED, "no gateway was ready")
        for number in range(MAX_ATTEMPTS):
            if number:
                self._statistics.retries += 1
            try:
                async with asyncio.timeout(max(0.01, request.remaining_s)):
                    attempt = await self._attempt(request, tried)
            except TimeoutError:
                attempt = _Attempt(Outcome.FAILED, "no complete response before the deadline")
            if attempt.outcome is Outcome.SERVED:
                if request.first_event_at is not None:
                    self._statistics.first_event_latencies_s.append(
                        request.first_event_at - request.began
                    )
                return attempt.outcome
            self._close_connection()
            if request.remaining_s <= attempt.pause_s:
                break
            await asyncio.sleep(attempt.pause_s)
        if attempt.outcome is Outcome.FAILED:
            self._statistics.faults.append(f"{request.path}: {attempt.reason}")
        return attempt.outcome

    async def _attempt(self, request: _Request, tried: set[str]) -> _Attempt:
        """Send a request to one gateway."""
        connection: _Connection | None = None
        try:
            connection = await self._connect(tried)
            if connection is None:
                return _Attempt(Outcome.REFUSED, "no gateway is ready", NOT_READY_PAUSE_S)
            tried.add(connection.gateway)
            connection.writer.write(self._encode(request))
            head = await read_head(connection.reader)
            if head.status == HTTPStatus.OK:
                return await self._check_response(request, head, connection)
            await read_body(connection.reader, head)
        except (OSError, TimeoutError, MalformedMessageError) as error:
            gateway = connection.gateway if connection is not None else "the connection"
            return _Attempt(Outcome.FAILED, f"{gateway}: {error!r}")
        reason = f"{connection.gateway}: status {head.status}"
        if head.status in NOT_RUN_STATUSES:
            retry_after_s = float(head.headers.get("retry-after", "0"))
            pause_s = min(retry_after_s, request.remaining_s / 3)
            return _Attempt(Outcome.REFUSED, reason, pause_s)
        return _Attempt(Outcome.FAILED, reason)

    async def _connect(self, tried: set[str]) -> _Connection | None:
        if self._connection is None and (gateway := self._ingress.pick(tried)) is not None:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                pair = await asyncio.open_connection(*gateway.http)
            self._connection = _Connection(gateway.name, *pair)
        return self._connection

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None

    def _encode(self, request: _Request) -> bytes:
        headers = {
            "Host": HOSTNAME,
            "X-Request-Id": f"{self._random.getrandbits(64):016x}",
            "X-Request-Deadline": str(max(1, int(request.remaining_s * 1000))),
            "Authorization": f"Bearer {KEY}",
        }
        self._sent_id = headers["X-Request-Id"]
        if request.events:
            headers |= {"X-Model": "m", "X-Token-Usage": f"500,{request.events}"}
            headers["X-Prompt-Prefix"] = request.prompt
            if request.last_event_id:
                headers["Last-Event-Id"] = str(request.last_event_id)
        return encode_message(f"POST {request.path} HTTP/1.1", headers, b"{}")

    async def _check_response(
        self, request: _Request, head: Head, connection: _Connection
    ) -> _Attempt:
        """Read a response, and compare it with the one that the host must have sent."""
        if request.events:
            fault = await self._check_events(request, head, connection)
        else:
            body = await read_body(connection.reader, head)
            fault = "" if body == encode_record(request.path) else "unexpected body"
        if head.headers.get("x-response-signature") != signature(self._sent_id):
            fault = fault or "invalid signature"
        if not head.keep_alive:
            self._close_connection()
        return _Attempt(Outcome.FAILED if fault else Outcome.SERVED, fault)

    async def _check_events(self, request: _Request, head: Head, connection: _Connection) -> str:
        """Check the events of a stream; return a description of the fault, or an empty string."""
        splitter = EventSplitter()
        async for chunk in read_chunks(connection.reader, head):
            for received in splitter.feed(chunk):
                request.first_event_at = request.first_event_at or time.monotonic()
                if received.data != encode_event(request.path, request.last_event_id + 1):
                    return f"event {received.id} follows event {request.last_event_id}"
                request.last_event_id += 1
        if request.last_event_id != request.events:
            return f"stream ended after {request.last_event_id} of {request.events} events"
        return ""
