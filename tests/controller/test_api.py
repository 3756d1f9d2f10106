"""The operator's interface over a loopback socket, with a fake chain."""

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

CONFIGURATION = json.dumps(document()).encode()


@dataclass
class HttpResponse:
    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class FakePublishedState:
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


class ApiServer:
    """The interface on a loopback port, with a fake chain and a manual clock for time-outs."""

    def __init__(self) -> None:
        self.chain, self.clock = FakeChain(), Clock()
        self.api = AdminApi(self.chain, FakePublishedState(), self.clock)
        self.port = REACTOR.listenTCP(0, self.api.site(), interface="127.0.0.1")
        self.clients: list[HttpClient] = []

    async def connect(self) -> HttpClient:
        client = HttpClient(*await asyncio.open_connection("127.0.0.1", self.port.getHost().port))
        self.clients.append(client)
        return client

    async def close(self) -> None:
        for client in self.clients:
            client.writer.close()
        await self.port.stopListening().asFuture(asyncio.get_running_loop())


@asynccontextmanager
async def running_api_server() -> AsyncIterator[ApiServer]:
    server = ApiServer()
    try:
        yield server
    finally:
        await server.close()


def run_with_api_server(scenario: Callable[[ApiServer], Awaitable[None]]) -> None:
    async def run() -> None:
        async with running_api_server() as server:
            await scenario(server)

    run_on_reactor(run())


@pytest.mark.parametrize(
    ("base", "outcome", "status", "expected"),
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
def test_each_outcome_maps_to_its_response(
    base: int, outcome: SubmitOutcome, status: int, expected: Any
) -> None:
    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        client.send("POST", "/config/replace", CONFIGURATION, X_Base_Version=str(base))
        change, done = await server.chain.submits.get()
        assert (change.base, change.generation, change.document) == (base, 7, CONFIGURATION)
        assert change.digest == digest_of(base, CONFIGURATION)
        assert server.api.in_flight == 1
        done(outcome)
        response = await client.receive()
        assert (response.status, response.json()) == (status, expected)
        assert ("retry-after" in response.headers) == (status == 503)
        assert server.api.in_flight == 0

    run_with_api_server(scenario)


UPDATE = json.dumps({"generation": 9, "remove": {"routes": ["r-2"]}}).encode()


def test_an_update_is_merged_onto_the_confirmed_document() -> None:
    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        client.send("POST", "/config/update", UPDATE, X_Base_Version="7")
        (await server.chain.reads.get())(Confirmation(3, 5, CONFIGURATION, 7))
        change, done = await server.chain.submits.get()
        assert (change.base, change.generation, change.digest) == (
            7,
            9,
            digest_of_update(7, UPDATE),
        )
        assert [route["name"] for route in json.loads(change.document)["routes"]] == ["r-1"]
        assert server.api.in_flight == 1
        done(ChangeCommitted(6))
        response = await client.receive()
        assert (response.status, response.json()) == (200, {"generation": 9, "sequence": 6})
        assert server.api.in_flight == 0

    run_with_api_server(scenario)


@pytest.mark.parametrize(
    ("body", "headers", "confirmation", "status"),
    [
        (b"[]", {"X_Base_Version": "7"}, None, 400),
        (UPDATE, {}, None, 400),
        (
            UPDATE.replace(b"routes", b"services"),
            {"X_Base_Version": "7"},
            Confirmation(3, 5, CONFIGURATION, 7),
            200,
        ),
        (
            UPDATE.replace(b"routes", b"limits"),
            {"X_Base_Version": "7"},
            Confirmation(3, 5, CONFIGURATION, 7),
            400,
        ),
        (UPDATE, {"X_Base_Version": "7"}, None, 503),
        (UPDATE, {"X_Base_Version": "6"}, Confirmation(3, 5, CONFIGURATION, 7), 412),
    ],
)
def test_status_codes_of_updates(
    body: bytes, headers: dict[str, str], confirmation: Confirmation | None, status: int
) -> None:
    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        client.send("POST", "/config/update", body, **headers)
        if status != 400 or confirmation is not None:
            (await server.chain.reads.get())(confirmation)
        if status in (200, 412):
            _, done = await server.chain.submits.get()
            done(Conflict(7) if status == 412 else ChangeCommitted(6))
        response = await client.receive()
        assert response.status == status
        assert server.chain.submits.empty()
        assert server.chain.reads.empty()

    run_with_api_server(scenario)


def test_digest_depends_on_base_and_document_only() -> None:
    resubmitted = digest_of(5, bytes(CONFIGURATION))
    assert digest_of(5, CONFIGURATION) == resubmitted
    assert len({resubmitted, digest_of(6, CONFIGURATION), digest_of(5, CONFIGURATION + b" ")}) == 3


def test_submit_timeout_returns_503_and_a_retry_succeeds() -> None:
    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        client.send("POST", "/config/replace", CONFIGURATION, X_Base_Version="0")
        _, done = await server.chain.submits.get()
        server.clock.advance(SUBMIT_TIMEOUT_S)
        response = await client.receive()
        assert response.status == 503
        assert 0 < float(response.headers["retry-after"]) < 1
        done(ChangeCommitted(1))
        client.send("POST", "/config/replace", CONFIGURATION, X_Base_Version="0")
        change, done = await server.chain.submits.get()
        done(ChangeCommitted(1))
        assert (await client.receive()).status == 200
        assert change.digest == digest_of(0, CONFIGURATION)

    run_with_api_server(scenario)


def test_client_disconnect_during_a_change_is_harmless() -> None:
    async def scenario(server: ApiServer) -> None:
        disconnecting = await server.connect()
        disconnecting.send("POST", "/config/replace", CONFIGURATION, X_Base_Version="0")
        _, done = await server.chain.submits.get()
        disconnecting.writer.transport.abort()
        while server.api.in_flight:
            await asyncio.sleep(0)
        done(ChangeCommitted(1))
        server.clock.advance(SUBMIT_TIMEOUT_S)
        client = await server.connect()
        client.send("POST", "/config/replace", CONFIGURATION, X_Base_Version="0")
        (await server.chain.submits.get())[1](ChangeCommitted(1))
        assert (await client.receive()).status == 200

    run_with_api_server(scenario)


def test_eight_concurrent_changes() -> None:
    async def scenario(server: ApiServer) -> None:
        clients = [await server.connect() for _ in range(8)]
        for base, client in enumerate(clients):
            client.send("POST", "/config/replace", CONFIGURATION, X_Base_Version=str(base))
        submitted = [await server.chain.submits.get() for _ in clients]
        for change, done in reversed(submitted):
            done(ChangeCommitted(100 + change.base))
        responses = [await client.receive() for client in clients]
        assert [response.json()["sequence"] for response in responses] == [
            100 + base for base in range(8)
        ]

    run_with_api_server(scenario)


@pytest.mark.parametrize(
    "body", [b"", CONFIGURATION[:-1], b"[]", CONFIGURATION.replace(b"5000", b"0")]
)
def test_invalid_document_is_not_submitted_to_the_chain(body: bytes) -> None:
    async def scenario(server: ApiServer) -> None:
        response = await (await server.connect()).request(
            "POST", "/config/replace", body, X_Base_Version="0"
        )
        assert response.status == 400
        error = response.json()
        assert error["error"] == "invalid"
        assert error["faults"]
        assert all(set(fault) == {"path", "reason"} for fault in error["faults"])
        assert server.chain.submits.empty()

    run_with_api_server(scenario)


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
def test_parse_base_version(values: list[str], base: int | None) -> None:
    assert parse_base_version(values) == base


@pytest.mark.parametrize("headers", [{}, {"X_Base_Version": "new"}])
def test_change_without_a_valid_base_version_is_rejected(headers: dict[str, str]) -> None:
    async def scenario(server: ApiServer) -> None:
        response = await (await server.connect()).request(
            "POST", "/config/replace", CONFIGURATION, **headers
        )
        assert response.status == 400
        assert response.json()["faults"][0]["path"] == "X-Base-Version"
        assert server.chain.submits.empty()

    run_with_api_server(scenario)


def test_large_document_is_received_and_returned_complete() -> None:
    large = json.dumps(document(note="x" * 5_000_000)).encode()

    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        client.send("POST", "/config/replace", large, X_Base_Version="0")
        change, done = await server.chain.submits.get()
        assert change.document == large
        done(ChangeCommitted(1))
        assert (await client.receive()).status == 200
        client.send("GET", "/config/get")
        (await server.chain.reads.get())(Confirmation(3, 1, large, 7))
        assert (await client.receive()).body == large

    run_with_api_server(scenario)


def test_chunked_request_body() -> None:
    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        head = b"POST /config/replace HTTP/1.1\r\nHost: x\r\nX-Base-Version: 1\r\n"
        client.writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for chunk in (CONFIGURATION[:100], CONFIGURATION[100:]):
            client.writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        client.writer.write(b"0\r\n\r\n")
        change, done = await server.chain.submits.get()
        assert change.document == CONFIGURATION
        done(ChangeCommitted(1))
        assert (await client.receive()).status == 200

    run_with_api_server(scenario)


def test_document_above_the_size_limit_is_rejected() -> None:
    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        body = b" " * (MAX_BODY_BYTES + 1)
        response = await client.request("POST", "/config/replace", body, X_Base_Version="0")
        assert response.status == 413
        assert server.chain.submits.empty()

    run_with_api_server(scenario)


@pytest.mark.parametrize(
    ("confirmation", "status", "content"),
    [
        (Confirmation(3, 5, CONFIGURATION, 7), 200, CONFIGURATION),
        (Confirmation(3, 0, None, 0), 404, None),
        (None, 503, None),
    ],
)
def test_get_configuration(
    confirmation: Confirmation | None, status: int, content: bytes | None
) -> None:
    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        client.send("GET", "/config/get")
        (await server.chain.reads.get())(confirmation)
        response = await client.receive()
        assert (response.status, response.headers["content-type"]) == (status, "application/json")
        assert content is None or response.body == content
        assert ("retry-after" in response.headers) == (status == 503)

    run_with_api_server(scenario)


def test_unconfirmed_read_times_out_with_503() -> None:
    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        client.send("GET", "/config/get")
        done = await server.chain.reads.get()
        server.clock.advance(CONFIRM_TIMEOUT_S)
        assert (await client.receive()).status == 503
        done(Confirmation(3, 5, CONFIGURATION, 7))
        assert server.clock.getDelayedCalls() == []

    run_with_api_server(scenario)


def test_status_page() -> None:
    async def scenario(server: ApiServer) -> None:
        client = await server.connect()
        client.send("GET", "/status")
        (await server.chain.reads.get())(Confirmation(3, 5, CONFIGURATION, 7))
        status = (await client.receive()).json()
        assert (status["epoch"], status["tail"], status["is_tail"]) == (
            3,
            "10.0.0.3:7500",
            True,
        )
        assert status["core"] == status["chain"] == list(server.chain.cores)
        assert status["versions"] == {"configuration": 5, "hosts": 11, "roster": 12}
        assert status["generation"] == 7
        (gateway,) = status["gateways"]
        assert (gateway["name"], gateway["configuration_behind"], gateway["hosts"]) == (
            "g-1",
            True,
            1,
        )

    run_with_api_server(scenario)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/", 404), ("POST", "/config/get", 405), ("GET", "/config/replace", 405)],
)
def test_unknown_paths_and_wrong_methods(method: str, path: str, status: int) -> None:
    async def scenario(server: ApiServer) -> None:
        assert (await (await server.connect()).request(method, path)).status == status

    run_with_api_server(scenario)


@pytest.mark.parametrize(
    ("method", "path"),
    [("POST", "/config/replace"), ("GET", "/config/get"), ("GET", "/status")],
)
def test_request_after_stop_is_rejected_and_closes_its_connection(method: str, path: str) -> None:
    async def scenario(server: ApiServer) -> None:
        server.api.stop()
        client = await server.connect()
        response = await client.request(method, path, CONFIGURATION, X_Base_Version="0")
        assert (response.status, response.headers["connection"]) == (503, "close")
        assert await client.reader.read() == b""
        assert server.chain.submits.empty()
        assert server.chain.reads.empty()
        assert server.api.in_flight == 0

    run_with_api_server(scenario)


def test_requests_in_flight_at_a_stop_are_answered_and_close_their_connections() -> None:
    async def scenario(server: ApiServer) -> None:
        reader, changer = await server.connect(), await server.connect()
        reader.send("GET", "/config/get")
        confirm = await server.chain.reads.get()
        changer.send("POST", "/config/replace", CONFIGURATION, X_Base_Version="0")
        _, committed = await server.chain.submits.get()
        assert server.api.in_flight == 2
        server.api.stop()
        confirm(Confirmation(3, 5, CONFIGURATION, 7))
        committed(ChangeCommitted(6))
        for client in (reader, changer):
            response = await client.receive()
            assert (response.status, response.headers["connection"]) == (200, "close")
            assert await client.reader.read() == b""
        assert server.api.in_flight == 0

    run_with_api_server(scenario)
