"""Many requests to hosts with random faults: responses agree with the hosts' executions."""

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
    DataPlaneHarness,
    FakeDecider,
    Response,
    chunk,
    event,
    request,
    respond,
    respond_not_executed,
    response_head,
    running_data_plane,
    stream_head,
)
from tests.support.event_loop import on_loop, until
from tests.support.http_messages import Message, reset

if TYPE_CHECKING:
    from roselink.dataplane.interfaces import Decider

EVENTS = 6
# Minimum of served requests, of 160, by decider; fewer would check too little. The fleet's decider
# may refuse requests.
MIN_SERVED = {
    "fake": 70,
    "fleet": 20,
}
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
FAULTS = (
    ["none"] * 8
    + [
        "overloaded",
        "misdirected",
        "rate limited",
        "error",
        "busy",
        "garbage",
        "silent",
        "unrelated response first",
        "trailing bytes",
        "connection close",
        "unsigned",
    ]
    + ["reset", "truncated", "truncated garbage", "truncated close", "incomplete event"]
)


class RecordingDecider:
    """Decider that records its events and actions."""

    def __init__(self, inner: Decider) -> None:
        self._inner = inner
        self.events: list[Event] = []
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        actions = list(self._inner.handle(now, event))
        self.actions += actions
        return actions


class FaultyHosts:
    """Behaviour of hosts with random faults, and a record of what they ran and responded."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.executions: Counter[str] = Counter()
        self.error_statuses: dict[str, set[int]] = {}

    async def behave(self, message: Message, writer: asyncio.StreamWriter) -> None:
        number, fault = message.headers["x-request-id"], self.random.choice(FAULTS)
        rejected = {
            "overloaded": "503 Full",
            "misdirected": "421 Other",
            "rate limited": "429 Much",
        }.get(fault)
        if rejected:
            await respond_not_executed(rejected)(message, writer)
            return
        self.executions[number] += 1
        if fault in ("error", "busy"):
            status = "500 Fault" if fault == "error" else "503 Busy"
            self.error_statuses.setdefault(number, set()).add(int(status[:3]))
            await respond(number.encode(), status)(message, writer)
        elif fault == "garbage":
            writer.write(b"\x00\x01 no answer\r\n\r\n")
        elif fault == "silent":
            await asyncio.sleep(10)
        elif fault == "reset":
            reset(writer)
        elif fault == "unsigned":
            await respond(b"nobody's", signed=False)(message, writer)
        else:
            if fault == "unrelated response first":
                await respond(b"of another")(Message("", {"x-request-id": "another"}, b""), writer)
            await self.respond_faulty(message, writer, fault)

    async def respond_faulty(
        self, message: Message, writer: asyncio.StreamWriter, fault: str
    ) -> None:
        number = message.headers["x-request-id"]
        if message.start_line.split()[1].startswith(("/chat", "/plan")):
            await self.stream(message, writer, fault)
        elif fault in ("truncated", "incomplete event", "truncated close", "truncated garbage"):
            writer.write(response_head(message) + b"Content-Length: 99\r\n\r\n" + number.encode())
            writer.close()
        else:
            connection_header = (
                "Connection: close" if fault == "connection close" else "Keep-Alive: timeout=5"
            )
            trailing = b"HTTP/1.1 200 OK\r\n\r\nmore" if fault == "trailing bytes" else b""
            await respond(number.encode(), "200 OK", connection_header, trailing=trailing)(
                message, writer
            )

    async def stream(self, message: Message, writer: asyncio.StreamWriter, fault: str) -> None:
        number = message.headers["x-request-id"]
        first = int(message.headers.get("last-event-id", "0")) + 1
        cut_at = (
            self.random.randint(first, EVENTS)
            if fault.startswith(("truncated", "incomplete event"))
            else None
        )
        writer.write(stream_head(message))
        for at in range(first, EVENTS + 1):
            data = event(at, number)
            if at == cut_at:
                writer.write(chunk(data[:-3]) if fault == "incomplete event" else chunk(data))
                await asyncio.sleep(0.002)
                if fault == "truncated garbage":
                    writer.write(b"zz\r\n")
                elif fault == "truncated close":
                    writer.close()
                else:
                    reset(writer)
                return
            writer.write(chunk(data))
            if self.random.random() < 0.3:
                await asyncio.sleep(0.001)
        writer.write(b"0\r\n\r\n" + (b"stray" if fault == "trailing bytes" else b""))

    def check(self, path: str, number: str, response: Response) -> str:
        """Check that the response agrees with the executions; returns its kind."""
        streaming, repeatable = path in ("/chat/", "/plan/"), path in ("/chat/", "/safe/")
        if not repeatable:
            assert self.executions[number] <= 1, f"{path} ran {self.executions[number]} times"
            if response.status in NOT_EXECUTED_STATUSES:
                assert not self.executions[number], f"{response.status} for a request that ran"
        if "x-response-signature" in response.headers and response.status >= 300:
            assert response.status in self.error_statuses[number]
            assert response.body == number.encode()
        if response.status != 200:
            assert response.complete
            return "refused" if response.status in NOT_EXECUTED_STATUSES else "failed"
        assert "x-response-signature" in response.headers
        expected_body = (
            b"".join(event(at, number) for at in range(1, EVENTS + 1))
            if streaming
            else number.encode()
        )
        if response.complete:
            assert response.body == expected_body
            return "served"
        assert expected_body.startswith(response.body)
        assert response.body != expected_body or streaming
        return "truncated"


async def send_and_check(
    harness: DataPlaneHarness, faulty_hosts: FaultyHosts, path: str, number: str
) -> str:
    async with harness.client() as client:
        client.writer.write(request(path + "x", X_Request_Id=number, X_Request_Deadline="200"))
        response = await client.read_response()
    return faulty_hosts.check(path, number, response)


@pytest.mark.parametrize("kind", ["fake", "fleet"])
@pytest.mark.parametrize("seed", range(4))
@on_loop
async def test_responses_agree_with_executions_under_host_faults(seed: int, kind: str) -> None:
    faulty_hosts = FaultyHosts(seed)
    fake = FakeDecider()
    fake.hedges = seed % 2
    recording_decider = RecordingDecider(
        fake if kind == "fake" else FleetDecider("z", seed, 0.2, 10.0)
    )
    async with running_data_plane(
        *[faulty_hosts.behave] * 4, custom_decider=recording_decider
    ) as harness:
        outcomes: Counter[str] = Counter()

        async def client(index: int) -> None:
            for turn in range(20):
                path = ("/chat/", "/plan/", "/safe/", "/once/")[(index + turn) % 4]
                outcomes[await send_and_check(harness, faulty_hosts, path, f"{index}-{turn}")] += 1

        await asyncio.gather(*(client(index) for index in range(8)))
        await until(lambda: not harness.data_plane.driver.open_requests)
        assert sum(outcomes.values()) == 160
        assert outcomes["served"] > MIN_SERVED[kind]
        arrived = [
            event.facts.number
            for event in recording_decider.events
            if isinstance(event, RequestArrived)
        ]
        closed = [
            event.number for event in recording_decider.events if isinstance(event, RequestClosed)
        ]
        assert sorted(arrived) == sorted(closed)
        sent = [
            (a.number, a.attempt) for a in recording_decider.actions if isinstance(a, SendAttempt)
        ]
        ended = [
            (e.number, e.attempt) for e in recording_decider.events if isinstance(e, AttemptEnded)
        ]
        assert sorted(sent) == sorted(ended)
        await until(lambda: not harness.data_plane.server.connections)
