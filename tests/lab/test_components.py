"""The lab's components: fault detection of clients, hosts, readiness and failed starts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import pytest

from roselink.controller.validation import ValidationFailure, validate_document
from roselink.lab import clients
from roselink.lab.clients import Client, Outcome, Statistics
from roselink.lab.exceptions import StartError
from roselink.lab.fleet import Fleet, free_ports
from roselink.lab.hosts import MODEL, RECORDS, Host, encode_event, encode_record, signature
from roselink.lab.http_messages import (
    Head,
    Request,
    Response,
    encode_chunk,
    encode_message,
    read_body,
    read_head,
    send_request,
)
from roselink.lab.operator import configuration
from roselink.lab.platform import Gateway, Ingress

if TYPE_CHECKING:
    from pathlib import Path

TIMEOUT_S = 10.0
Responder = Callable[[Head], bytes]  # a response, after which the gateway disconnects


def signed_headers(head: Head) -> dict[str, str]:
    return {"X-Response-Signature": signature(head.headers["x-request-id"])}


def events(head: Head, *numbers: int) -> bytes:
    body = b"".join(encode_chunk(encode_event(head.path, number)) for number in numbers)
    return encode_message("HTTP/1.1 200 OK", signed_headers(head), None) + body


def complete(head: Head) -> bytes:
    first = int(head.headers.get("last-event-id", "0")) + 1
    return events(head, *range(first, 4)) + encode_chunk(b"")


def aborted(head: Head) -> bytes:
    return events(head, 1, 2)


def missing_event(head: Head) -> bytes:
    return events(head, 1, 3) + encode_chunk(b"")


def too_few_events(head: Head) -> bytes:
    return events(head, 1) + encode_chunk(b"")


def unsigned(head: Head) -> bytes:
    return complete(head).replace(b"X-Response-Signature", b"X-Other")


def unexpected_body(head: Head) -> bytes:
    return encode_message("HTTP/1.1 200 OK", signed_headers(head), b"something else")


def plain_body(head: Head) -> bytes:
    return encode_message("HTTP/1.1 200 OK", signed_headers(head), encode_record(head.path))


def status(code: int) -> Responder:
    return lambda _head: encode_message(f"HTTP/1.1 {code} -", {"Retry-After": "0.01"})


def no_response(_head: Head) -> bytes:
    return b""


@pytest.mark.parametrize(
    ("service", "responders", "outcome", "retries"),
    [
        ("chat", [complete], Outcome.SERVED, 0),
        ("chat", [aborted, complete], Outcome.SERVED, 1),
        ("chat", [no_response, status(503), status(502), complete], Outcome.SERVED, 3),
        ("chat", [aborted, aborted, aborted, aborted], Outcome.FAILED, 3),
        ("chat", [missing_event, missing_event, missing_event, missing_event], Outcome.FAILED, 3),
        ("chat", [too_few_events, missing_event, missing_event, missing_event], Outcome.FAILED, 3),
        ("chat", [unsigned] * 4, Outcome.FAILED, 3),
        ("chat", [status(503)] * 4, Outcome.REFUSED, 3),
        ("chat", [status(429)] * 4, Outcome.REFUSED, 3),
        ("chat", [status(504)] * 4, Outcome.FAILED, 3),
        ("lookup", [plain_body], Outcome.SERVED, 0),
        ("lookup", [unexpected_body] * 4, Outcome.FAILED, 3),
    ],
)
def test_client_counts_the_outcome_of_its_request(
    monkeypatch: pytest.MonkeyPatch,
    service: str,
    responders: list[Responder],
    outcome: Outcome,
    retries: int,
) -> None:
    monkeypatch.setattr(clients, "LOOKUP_FRACTION", 1.0 if service == "lookup" else 0.0)
    monkeypatch.setattr(clients, "EVENT_COUNT_RANGE", (3, 3))
    remaining = iter(responders)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await read_head(reader)
        await read_body(reader, head)
        writer.write(next(remaining)(head))
        writer.close()

    async def run() -> Statistics:
        async with asyncio.timeout(TIMEOUT_S):
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()[:2]
            statistics = Statistics()
            stopping = asyncio.Event()
            client = Client(
                "c", Ingress([Gateway("g", address, address, ready=True)]), statistics, stopping
            )
            running = asyncio.create_task(client.run())
            while not any(statistics.outcomes.values()):
                await asyncio.sleep(0)
            stopping.set()
            await running
            server.close()
            return statistics

    statistics = asyncio.run(run())
    assert statistics.outcomes == dict.fromkeys(Outcome, 0) | {outcome: 1}
    assert statistics.retries == retries
    assert len(statistics.faults) == (1 if outcome is Outcome.FAILED else 0)
    assert len(statistics.take_first_event_latencies()) == (
        1 if outcome is Outcome.SERVED and service == "chat" else 0
    )


@pytest.mark.parametrize(
    ("service", "headers", "status", "body"),
    [
        (RECORDS, {"X-Request-Id": "a"}, 200, encode_record("/p")),
        (RECORDS, {}, 400, b""),
        (RECORDS, {"X-Request-Id": "a", "X-Target-Instance": "other"}, 421, b""),
        (
            MODEL,
            {"X-Request-Id": "a", "X-Token-Usage": "5,2"},
            200,
            encode_event("/p", 1) + encode_event("/p", 2),
        ),
        (
            MODEL,
            {
                "X-Request-Id": "a",
                "X-Token-Usage": "5,3",
                "Last-Event-Id": "2",
                "X-Target-Instance": "h",
            },
            200,
            encode_event("/p", 3),
        ),
    ],
)
def test_host_response(service: str, headers: dict[str, str], status: int, body: bytes) -> None:
    async def run() -> Response | None:
        host = Host("h", service, "zone-a", 4)
        await host.start()
        response = await send_request(
            host.address, Request("POST", "/p", b"{}", headers), timeout_s=TIMEOUT_S
        )
        await host.stop()
        return response

    response = asyncio.run(run())
    assert response is not None
    assert (response.head.status, response.body) == (status, body)
    assert ("x-not-executed" in response.head.headers) is (status != 200)
    assert response.head.headers.get("x-response-signature") == (
        signature("a") if status == 200 else None
    )


@pytest.mark.parametrize(
    ("checks", "ready"),
    [([True], True), ([False], False), ([True, False], True), ([True, False, False], False)],
)
def test_ingress_removes_a_gateway_after_two_failed_checks(
    checks: list[bool], *, ready: bool
) -> None:
    gateway = Gateway("g", ("", 0), ("", 0))
    ingress = Ingress([gateway])
    for passed in checks:
        ingress.record_check(gateway, passed=passed)
    assert gateway.ready is ready
    assert ingress.pick() is (gateway if ready else None)


def test_retry_prefers_an_untried_gateway() -> None:
    gateways = [
        Gateway(name, ("", 0), ("", 0), ready=name != "g-3") for name in ("g-1", "g-2", "g-3")
    ]
    ingress = Ingress(gateways)
    for _ in range(20):
        assert ingress.pick({"g-1"}) is gateways[1]
        assert ingress.pick({"g-1", "g-2"}) in gateways[:2]


@pytest.mark.parametrize("generation", [1, 2])
def test_operator_sends_valid_configurations(generation: int) -> None:
    assert not isinstance(validate_document(configuration(generation)), ValidationFailure)


def test_free_ports_are_distinct() -> None:
    ports = free_ports(["127.0.0.11", "127.0.0.12"])
    assert len({ports.http, ports.readiness, ports.admin, ports.peer}) == 4


def test_process_with_invalid_settings_fails_the_start_with_its_log_tail(tmp_path: Path) -> None:
    async def run() -> list[str]:
        fleet = Fleet(tmp_path, 1, ("127.0.0.1", 1), lambda _line: None)
        for machine in fleet.machines:
            machine.settings["ip"] = 5
        fleet.start()
        async with asyncio.timeout(TIMEOUT_S):
            with pytest.raises(StartError, match="settings: ip: must be text"):
                await fleet.wait_for_failure()
        overdue = await fleet.stop()
        assert not any(machine.running for machine in fleet.machines)
        return overdue

    assert asyncio.run(run()) == []


@pytest.mark.parametrize("routers", [0, 101])
def test_fleet_rejects_a_number_of_gateways_out_of_range(tmp_path: Path, routers: int) -> None:
    with pytest.raises(ValueError, match="routers"):
        Fleet(tmp_path, routers, ("127.0.0.1", 1), lambda _line: None)
