"""The operator's interface over a loopback socket, with a stand-in for the chain."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.task import Clock

from roselink.controller.chain_interface import (
    ChangeCommitted,
    Confirmation,
    Conflict,
    OutcomeUnknown,
    StaleGeneration,
    SubmitOutcome,
)
from roselink.controller.gateway_roster import GatewayLag
from roselink.controller.updates import digest_of_update
from roselink.coordination.state import digest_of
from roselink.model.fleet import VersionVector
from tests.controller.fakes import FakeChain
from tests.controller.reactor import REACTOR, run_on_reactor
from tests.controller.test_validation import document

from roselink.controller.api import (  # isort: skip - after the reactor
    CONFIRM_TIMEOUT_S,
    MAX_BODY_BYTES,
    SUBMIT_TIMEOUT_S,
    AdminApi,
    parse_base_version,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

ORDER = json.dumps(document()).encode()


@dataclass
class HttpResponse:
    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class FakePublished:
    versions = VersionVector(0, 11, 12)

    def lags(self) -> tuple[GatewayLag, ...]:
        return (GatewayLag("g-1", "10.1.0.1:7500", True, 0.2, 4, 1, 0),)


class HttpClient:
    """An HTTP client on one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, method: str, path: str, body: bytes = b"", **headers: str) -> None:
        lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def receive(self) -> HttpResponse:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {}
        for line in head[1:-2]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        content = await self.reader.readexactly(int(headers["content-length"]))
        return HttpResponse(int(head[0].split()[1]), headers, content)

    async def request(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> HttpResponse:
        self.send(method, path, body, **headers)
        return await self.receive()


class Served:
    """The interface on a port of the loopback, its stand-in chain, and a clock for its
    time-outs.
    """

    def __init__(self) -> None:
        self.node, self.clock = FakeChain(), Clock()
        self.api = AdminApi(self.node, FakePublished(), self.clock)
        self.port = REACTOR.listenTCP(0, self.api.site(), interface="127.0.0.1")
        self.callers: list[HttpClient] = []

    async def caller(self) -> HttpClient:
        made = HttpClient(*await asyncio.open_connection("127.0.0.1", self.port.getHost().port))
        self.callers.append(made)
        return made

    async def close(self) -> None:
        for each in self.callers:
            each.writer.close()
        await self.port.stopListening().asFuture(asyncio.get_running_loop())


@asynccontextmanager
async def served() -> AsyncIterator[Served]:
    serving = Served()
    try:
        yield serving
    finally:
        await serving.close()


def with_interface(work: Callable[[Served], Awaitable[None]]) -> None:
    async def whole() -> None:
        async with served() as serving:
            await work(serving)

    run_on_reactor(whole())


@pytest.mark.parametrize(
    ("base", "outcome", "status", "said"),
    [
        (5, ChangeCommitted(9), 200, {"generation": 7, "sequence": 9}),
        (5, Conflict(6), 412, {"error": "conflict", "code": "API-002", "current": 6}),
        (5, StaleGeneration(8), 412, {"error": "conflict", "code": "API-002", "current": 8}),
        (
            8,
            StaleGeneration(8),
            400,
            {
                "error": "invalid",
                "code": "API-001",
                "faults": [{"path": "generation", "reason": "must be above 8"}],
            },
        ),
        (5, OutcomeUnknown(), 503, {"error": "unsettled", "code": "API-006"}),
    ],
)
def test_each_outcome_has_its_answer(
    base: int, outcome: SubmitOutcome, status: int, said: Any
) -> None:
    async def work(serving: Served) -> None:
        caller = await serving.caller()
        caller.send("POST", "/config/replace", ORDER, X_Base_Version=str(base))
        order, done = await serving.node.submits.get()
        assert (order.base, order.generation, order.document) == (base, 7, ORDER)
        assert order.digest == digest_of(base, ORDER)
        assert serving.api.in_flight == 1
        done(outcome)
        answer = await caller.receive()
        assert (answer.status, answer.json()) == (status, said)
        assert ("retry-after" in answer.headers) == (status == 503)
        assert serving.api.in_flight == 0

    with_interface(work)


UPDATE = json.dumps({"generation": 9, "remove": {"routes": ["r-2"]}}).encode()


def test_an_update_is_merged_onto_the_confirmed_document() -> None:
    async def work(serving: Served) -> None:
        caller = await serving.caller()
        caller.send("POST", "/config/update", UPDATE, X_Base_Version="7")
        (await serving.node.reads.get())(Confirmation(3, 5, ORDER, 7))
        order, done = await serving.node.submits.get()
        assert (order.base, order.generation, order.digest) == (7, 9, digest_of_update(7, UPDATE))
        assert [route["name"] for route in json.loads(order.document)["routes"]] == ["r-1"]
        assert serving.api.in_flight == 1
        done(ChangeCommitted(6))
        answer = await caller.receive()
        assert (answer.status, answer.json()) == (200, {"generation": 9, "sequence": 6})
        assert serving.api.in_flight == 0

    with_interface(work)


@pytest.mark.parametrize(
    ("body", "headers", "confirmation", "status"),
    [
        (b"[]", {"X_Base_Version": "7"}, None, 400),
        (UPDATE, {}, None, 400),
        (
            UPDATE.replace(b"routes", b"services"),
            {"X_Base_Version": "7"},
            Confirmation(3, 5, ORDER, 7),
            200,
        ),
        (
            UPDATE.replace(b"routes", b"limits"),
            {"X_Base_Version": "7"},
            Confirmation(3, 5, ORDER, 7),
            400,
        ),
        (UPDATE, {"X_Base_Version": "7"}, None, 503),
        (UPDATE, {"X_Base_Version": "6"}, Confirmation(3, 5, ORDER, 7), 412),
    ],
)
def test_answers_to_updates(
    body: bytes, headers: dict[str, str], confirmation: Confirmation | None, status: int
) -> None:
    async def work(serving: Served) -> None:
        caller = await serving.caller()
        caller.send("POST", "/config/update", body, **headers)
        if status != 400 or confirmation is not None:
            (await serving.node.reads.get())(confirmation)
        if status in (200, 412):
            _, done = await serving.node.submits.get()
            done(Conflict(7) if status == 412 else ChangeCommitted(6))
        answer = await caller.receive()
        assert answer.status == status
        assert serving.node.submits.empty()
        assert serving.node.reads.empty()

    with_interface(work)


def test_the_same_order_has_the_same_digest_and_no_other_has() -> None:
    again = digest_of(5, bytes(ORDER))
    assert digest_of(5, ORDER) == again
    assert len({again, digest_of(6, ORDER), digest_of(5, ORDER + b" ")}) == 3


def test_an_order_that_is_not_settled_in_time() -> None:
    async def work(serving: Served) -> None:
        caller = await serving.caller()
        caller.send("POST", "/config/replace", ORDER, X_Base_Version="0")
        _, done = await serving.node.submits.get()
        serving.clock.advance(SUBMIT_TIMEOUT_S)
        answer = await caller.receive()
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) < 1
        done(ChangeCommitted(1))
        caller.send("POST", "/config/replace", ORDER, X_Base_Version="0")
        order, done = await serving.node.submits.get()
        done(ChangeCommitted(1))
        assert (await caller.receive()).status == 200
        assert order.digest == digest_of(0, ORDER)

    with_interface(work)


def test_a_caller_that_leaves_harms_nothing() -> None:
    async def work(serving: Served) -> None:
        leaving = await serving.caller()
        leaving.send("POST", "/config/replace", ORDER, X_Base_Version="0")
        _, done = await serving.node.submits.get()
        leaving.writer.transport.abort()
        while serving.api.in_flight:
            await asyncio.sleep(0)
        done(ChangeCommitted(1))
        serving.clock.advance(SUBMIT_TIMEOUT_S)
        caller = await serving.caller()
        caller.send("POST", "/config/replace", ORDER, X_Base_Version="0")
        (await serving.node.submits.get())[1](ChangeCommitted(1))
        assert (await caller.receive()).status == 200

    with_interface(work)


def test_eight_orders_at_once() -> None:
    async def work(serving: Served) -> None:
        callers = [await serving.caller() for _ in range(8)]
        for base, caller in enumerate(callers):
            caller.send("POST", "/config/replace", ORDER, X_Base_Version=str(base))
        waiting = [await serving.node.submits.get() for _ in callers]
        for order, done in reversed(waiting):
            done(ChangeCommitted(100 + order.base))
        answers = [await caller.receive() for caller in callers]
        assert [answer.json()["sequence"] for answer in answers] == [
            100 + base for base in range(8)
        ]

    with_interface(work)


@pytest.mark.parametrize("body", [b"", ORDER[:-1], b"[]", ORDER.replace(b"5000", b"0")])
def test_what_is_invalid_never_reaches_the_chain(body: bytes) -> None:
    async def work(serving: Served) -> None:
        answer = await (await serving.caller()).request(
            "POST", "/config/replace", body, X_Base_Version="0"
        )
        assert answer.status == 400
        said = answer.json()
        assert said["error"] == "invalid"
        assert said["faults"]
        assert all(set(fault) == {"path", "reason"} for fault in said["faults"])
        assert serving.node.submits.empty()

    with_interface(work)


@pytest.mark.parametrize(
    ("values", "base"),
    [
        (["0"], 0),
        (["5"], 5),
        ([" 12 "], 12),
        (["007"], 7),
        ([str(2**63 - 1)], 2**63 - 1),
        ([], None),
        ([""], None),
        (["-1"], None),
        (["1.0"], None),
        (["x"], None),
        (["٣"], None),
        ([str(2**63)], None),
        (["9" * 400], None),
        (["1", "1"], None),
    ],
)
def test_base_versions(values: list[str], base: int | None) -> None:
    assert parse_base_version(values) == base


@pytest.mark.parametrize("headers", [{}, {"X_Base_Version": "new"}])
def test_no_order_without_a_base_version(headers: dict[str, str]) -> None:
    async def work(serving: Served) -> None:
        answer = await (await serving.caller()).request("POST", "/config/replace", ORDER, **headers)
        assert answer.status == 400
        assert answer.json()["faults"][0]["path"] == "X-Base-Version"
        assert serving.node.submits.empty()

    with_interface(work)


def test_a_large_document_comes_whole() -> None:
    large = json.dumps(document(note="x" * 5_000_000)).encode()

    async def work(serving: Served) -> None:
        caller = await serving.caller()
        caller.send("POST", "/config/replace", large, X_Base_Version="0")
        order, done = await serving.node.submits.get()
        assert order.document == large
        done(ChangeCommitted(1))
        assert (await caller.receive()).status == 200
        caller.send("GET", "/config/get")
        (await serving.node.reads.get())(Confirmation(3, 1, large, 7))
        assert (await caller.receive()).body == large

    with_interface(work)


def test_a_document_in_chunks() -> None:
    async def work(serving: Served) -> None:
        caller = await serving.caller()
        head = b"POST /config/replace HTTP/1.1\r\nHost: x\r\nX-Base-Version: 1\r\n"
        caller.writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for piece in (ORDER[:100], ORDER[100:]):
            caller.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        caller.writer.write(b"0\r\n\r\n")
        order, done = await serving.node.submits.get()
        assert order.document == ORDER
        done(ChangeCommitted(1))
        assert (await caller.receive()).status == 200

    with_interface(work)


def test_a_document_past_the_bound_is_refused() -> None:
    async def work(serving: Served) -> None:
        caller = await serving.caller()
        body = b" " * (MAX_BODY_BYTES + 1)
        answer = await caller.request("POST", "/config/replace", body, X_Base_Version="0")
        assert answer.status == 413
        assert serving.node.submits.empty()

    with_interface(work)


@pytest.mark.parametrize(
    ("confirmation", "status", "content"),
    [
        (Confirmation(3, 5, ORDER, 7), 200, ORDER),
        (Confirmation(3, 0, None, 0), 404, None),
        (None, 503, None),
    ],
)
def test_reading_the_configuration_back(
    confirmation: Confirmation | None, status: int, content: bytes | None
) -> None:
    async def work(serving: Served) -> None:
        caller = await serving.caller()
        caller.send("GET", "/config/get")
        (await serving.node.reads.get())(confirmation)
        answer = await caller.receive()
        assert (answer.status, answer.headers["content-type"]) == (status, "application/json")
        assert content is None or answer.body == content
        assert ("retry-after" in answer.headers) == (status == 503)

    with_interface(work)


def test_a_read_that_is_not_confirmed_in_time() -> None:
    async def work(serving: Served) -> None:
        caller = await serving.caller()
        caller.send("GET", "/config/get")
        done = await serving.node.reads.get()
        serving.clock.advance(CONFIRM_TIMEOUT_S)
        assert (await caller.receive()).status == 503
        done(Confirmation(3, 5, ORDER, 7))
        assert serving.clock.getDelayedCalls() == []

    with_interface(work)


def test_status_for_people() -> None:
    async def work(serving: Served) -> None:
        caller = await serving.caller()
        caller.send("GET", "/status")
        (await serving.node.reads.get())(Confirmation(3, 5, ORDER, 7))
        said = (await caller.receive()).json()
        assert (said["epoch"], said["tail"], said["is_tail"]) == (3, "10.0.0.3:7500", True)
        assert said["core"] == said["chain"] == list(serving.node.cores)
        assert said["versions"] == {"configuration": 5, "hosts": 11, "roster": 12}
        assert said["generation"] == 7
        (gateway,) = said["gateways"]
        assert (gateway["name"], gateway["configuration_behind"], gateway["hosts"]) == (
            "g-1",
            True,
            1,
        )

    with_interface(work)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/", 404), ("POST", "/config/get", 405), ("GET", "/config/replace", 405)],
)
def test_other_paths_and_methods(method: str, path: str, status: int) -> None:
    async def work(serving: Served) -> None:
        assert (await (await serving.caller()).request(method, path)).status == status

    with_interface(work)


def test_after_the_stop_no_order_is_taken() -> None:
    async def work(serving: Served) -> None:
        serving.api.stop()
        answer = await (await serving.caller()).request(
            "POST", "/config/replace", ORDER, X_Base_Version="0"
        )
        assert answer.status == 503
        assert serving.node.submits.empty()

    with_interface(work)
