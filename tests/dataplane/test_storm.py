"""Many requests through hosts that fail in every way: what clients are told is true of what hosts
did.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from roselink.routing.events_and_actions import (
    Action,
    AttemptEnded,
    Event,
    RequestArrived,
    RequestClosed,
    SendAttempt,
)
from roselink.routing.fleet_decider import FleetDecider
from tests.dataplane.harness import (
    Answer,
    DataPlaneHarness,
    FakeDecider,
    chunk,
    event,
    head,
    plain,
    rejects,
    request,
    running_data_plane,
    sse,
)
from tests.support.event_loop import on_loop, until
from tests.support.http_messages import Message, reset

if TYPE_CHECKING:
    from roselink.dataplane.interfaces import Decider

EVENTS = 6
SERVED = {
    "fake": 70,
    "fleet": 20,
}  # of 160, or the storm shows nothing; the fleet's decider may refuse
PROMISES = (408, 421, 429, 503)
FAULTS = (
    ["fine"] * 8
    + [
        "full",
        "other",
        "much",
        "fault",
        "busy",
        "garbage",
        "silent",
        "surplus",
        "tail",
        "closes",
        "unstamped",
    ]
    + ["reset", "cut", "cut garbage", "cut close", "half"]
)


class Recorded:
    """A decider that is watched."""

    def __init__(self, inner: Decider) -> None:
        self._inner = inner
        self.events: list[Event] = []
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        actions = list(self._inner.handle(now, event))
        self.actions += actions
        return actions


class Storm:
    """Hosts that draw what they do, and keep what they ran and said."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.runs: Counter[str] = Counter()
        self.said: dict[str, set[int]] = {}

    async def behave(self, message: Message, writer: asyncio.StreamWriter) -> None:
        number, fault = message.headers["x-request-id"], self.random.choice(FAULTS)
        rejected = {"full": "503 Full", "other": "421 Other", "much": "429 Much"}.get(fault)
        if rejected:
            await rejects(rejected)(message, writer)
            return
        self.runs[number] += 1
        if fault in ("fault", "busy"):
            status = "500 Fault" if fault == "fault" else "503 Busy"
            self.said.setdefault(number, set()).add(int(status[:3]))
            await plain(number.encode(), status)(message, writer)
        elif fault == "garbage":
            writer.write(b"\x00\x01 no answer\r\n\r\n")
        elif fault == "silent":
            await asyncio.sleep(10)
        elif fault == "reset":
            reset(writer)
        elif fault == "unstamped":
            await plain(b"nobody's", stamp=False)(message, writer)
        else:
            if fault == "surplus":
                await plain(b"of another")(Message("", {"x-request-id": "another"}, b""), writer)
            await self.answer(message, writer, fault)

    async def answer(self, message: Message, writer: asyncio.StreamWriter, fault: str) -> None:
        number = message.headers["x-request-id"]
        if message.first.split()[1].startswith(("/chat", "/plan")):
            await self.stream(message, writer, fault)
        elif fault in ("cut", "half", "cut close", "cut garbage"):
            writer.write(head(message) + b"Content-Length: 99\r\n\r\n" + number.encode())
            writer.close()
        else:
            told = "Connection: close" if fault == "closes" else "Keep-Alive: timeout=5"
            tail = b"HTTP/1.1 200 OK\r\n\r\nmore" if fault == "tail" else b""
            await plain(number.encode(), "200 OK", told, tail=tail)(message, writer)

    async def stream(self, message: Message, writer: asyncio.StreamWriter, fault: str) -> None:
        number = message.headers["x-request-id"]
        first = int(message.headers.get("last-event-id", "0")) + 1
        stops = self.random.randint(first, EVENTS) if fault.startswith(("cut", "half")) else None
        writer.write(sse(message))
        for at in range(first, EVENTS + 1):
            data = event(at, number)
            if at == stops:
                writer.write(chunk(data[:-3]) if fault == "half" else chunk(data))
                await asyncio.sleep(0.002)
                if fault == "cut garbage":
                    writer.write(b"zz\r\n")
                elif fault == "cut close":
                    writer.close()
                else:
                    reset(writer)
                return
            writer.write(chunk(data))
            if self.random.random() < 0.3:
                await asyncio.sleep(0.001)
        writer.write(b"0\r\n\r\n" + (b"stray" if fault == "tail" else b""))

    def check(self, path: str, number: str, got: Answer) -> str:
        """What a client may conclude from its answer holds; a word for how it ended."""
        streams, repeatable = path in ("/chat/", "/plan/"), path in ("/chat/", "/safe/")
        if not repeatable:
            assert self.runs[number] <= 1, f"{path} ran {self.runs[number]} times"
            if got.status in PROMISES:
                assert not self.runs[number], f"{got.status} for what ran"
        if "x-response-signature" in got.headers and got.status >= 300:
            assert got.status in self.said[number]
            assert got.body == number.encode()
        if got.status != 200:
            assert got.whole
            return "refused" if got.status in PROMISES else "failed"
        assert "x-response-signature" in got.headers
        whole = (
            b"".join(event(at, number) for at in range(1, EVENTS + 1))
            if streams
            else number.encode()
        )
        if got.whole:
            assert got.body == whole
            return "served"
        assert whole.startswith(got.body)
        assert got.body != whole or streams
        return "cut"


async def ask(harness: DataPlaneHarness, storm: Storm, path: str, number: str) -> str:
    async with harness.client() as client:
        client.writer.write(request(path + "x", X_Request_Id=number, X_Request_Deadline="200"))
        got = await client.answer()
    return storm.check(path, number, got)


@pytest.mark.parametrize("kind", ["fake", "fleet"])
@pytest.mark.parametrize("seed", range(4))
@on_loop
async def test_what_clients_are_told_is_true(seed: int, kind: str) -> None:
    storm = Storm(seed)
    fake = FakeDecider()
    fake.hedges = seed % 2
    recorded = Recorded(fake if kind == "fake" else FleetDecider("z", seed, 0.2, 10.0))
    async with running_data_plane(*[storm.behave] * 4, by=recorded) as harness:
        outcomes: Counter[str] = Counter()

        async def client(index: int) -> None:
            for turn in range(20):
                path = ("/chat/", "/plan/", "/safe/", "/once/")[(index + turn) % 4]
                outcomes[await ask(harness, storm, path, f"{index}-{turn}")] += 1

        await asyncio.gather(*(client(index) for index in range(8)))
        await until(lambda: not harness.data_plane.driver.open_requests)
        assert sum(outcomes.values()) == 160
        assert outcomes["served"] > SERVED[kind]
        arrived = [
            told.facts.number for told in recorded.events if isinstance(told, RequestArrived)
        ]
        closed = [told.number for told in recorded.events if isinstance(told, RequestClosed)]
        assert sorted(arrived) == sorted(closed)
        sent = [(a.number, a.attempt) for a in recorded.actions if isinstance(a, SendAttempt)]
        ended = [(e.number, e.attempt) for e in recorded.events if isinstance(e, AttemptEnded)]
        assert sorted(sent) == sorted(ended)
        await until(lambda: not harness.data_plane.server.connections)
