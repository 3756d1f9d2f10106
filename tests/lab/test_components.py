"""The lab's own parts: clients that detect faults, hosts, readiness, processes that can't start."""

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

BOUND_S = 10.0
Script = Callable[[Head], bytes]  # what a gateway says to a request, before it ends the connection


def stamped(head: Head) -> dict[str, str]:
    return {"X-Response-Signature": signature(head.headers["x-request-id"])}


def events(head: Head, *numbers: int) -> bytes:
    body = b"".join(encode_chunk(encode_event(head.path, number)) for number in numbers)
    return encode_message("HTTP/1.1 200 OK", stamped(head), None) + body


def whole(head: Head) -> bytes:
    first = int(head.headers.get("last-event-id", "0")) + 1
    return events(head, *range(first, 4)) + encode_chunk(b"")


def cut(head: Head) -> bytes:
    return events(head, 1, 2)


def gap(head: Head) -> bytes:
    return events(head, 1, 3) + encode_chunk(b"")


def short(head: Head) -> bytes:
    return events(head, 1) + encode_chunk(b"")


def unstamped(head: Head) -> bytes:
    return whole(head).replace(b"X-Response-Signature", b"X-Other")


def other_body(head: Head) -> bytes:
    return encode_message("HTTP/1.1 200 OK", stamped(head), b"something else")


def plain(head: Head) -> bytes:
    return encode_message("HTTP/1.1 200 OK", stamped(head), encode_record(head.path))


def status(code: int) -> Script:
    return lambda _head: encode_message(f"HTTP/1.1 {code} -", {"Retry-After": "0.01"})


def nothing(_head: Head) -> bytes:
    return b""


@pytest.mark.parametrize(
    ("kind", "scripts", "outcome", "retries"),
    [
        ("chat", [whole], Outcome.SERVED, 0),
        ("chat", [cut, whole], Outcome.SERVED, 1),
        ("chat", [nothing, status(503), status(502), whole], Outcome.SERVED, 3),
        ("chat", [cut, cut, cut, cut], Outcome.FAILED, 3),
        ("chat", [gap, gap, gap, gap], Outcome.FAILED, 3),
        ("chat", [short, gap, gap, gap], Outcome.FAILED, 3),
        ("chat", [unstamped] * 4, Outcome.FAILED, 3),
        ("chat", [status(503)] * 4, Outcome.REFUSED, 3),
        ("chat", [status(429)] * 4, Outcome.REFUSED, 3),
        ("chat", [status(504)] * 4, Outcome.FAILED, 3),
        ("lookup", [plain], Outcome.SERVED, 0),
        ("lookup", [other_body] * 4, Outcome.FAILED, 3),
    ],
)
def test_a_client_tells_how_its_request_ended(
    monkeypatch: pytest.MonkeyPatch,
    kind: str,
    scripts: list[Script],
    outcome: Outcome,
    retries: int,
) -> None:
    monkeypatch.setattr(clients, "LOOKUP_FRACTION", 1.0 if kind == "lookup" else 0.0)
    monkeypatch.setattr(clients, "EVENT_COUNT_RANGE", (3, 3))
    remaining = iter(scripts)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await read_head(reader)
        await read_body(reader, head)
        writer.write(next(remaining)(head))
        writer.close()

    async def work() -> Statistics:
        async with asyncio.timeout(BOUND_S):
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

    statistics = asyncio.run(work())
    assert statistics.outcomes == dict.fromkeys(Outcome, 0) | {outcome: 1}
    assert statistics.retries == retries
    assert len(statistics.faults) == (1 if outcome is Outcome.FAILED else 0)
    assert len(statistics.take_first_event_latencies()) == (
        1 if outcome is Outcome.SERVED and kind == "chat" else 0
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
def test_a_host_answers(service: str, headers: dict[str, str], status: int, body: bytes) -> None:
    async def work() -> Response | None:
        host = Host("h", service, "zone-a", 4)
        await host.start()
        response = await send_request(
            host.address, Request("POST", "/p", b"{}", headers), timeout_s=BOUND_S
        )
        await host.stop()
        return response

    response = asyncio.run(work())
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
def test_two_misses_take_a_gateway_out(checks: list[bool], *, ready: bool) -> None:
    gateway = Gateway("g", ("", 0), ("", 0))
    ingress = Ingress([gateway])
    for passed in checks:
        ingress.record_check(gateway, passed=passed)
    assert gateway.ready is ready
    assert ingress.pick() is (gateway if ready else None)


def test_a_retry_meets_another_gateway() -> None:
    gateways = [
        Gateway(name, ("", 0), ("", 0), ready=name != "g-3") for name in ("g-1", "g-2", "g-3")
    ]
    ingress = Ingress(gateways)
    for _ in range(20):
        assert ingress.pick({"g-1"}) is gateways[1]
        assert ingress.pick({"g-1", "g-2"}) in gateways[:2]


@pytest.mark.parametrize("generation", [1, 2])
def test_the_operator_sends_what_is_valid(generation: int) -> None:
    assert not isinstance(validate_document(configuration(generation)), ValidationFailure)


def test_ports_are_free_at_all_addresses_and_differ() -> None:
    ports = free_ports(["127.0.0.11", "127.0.0.12"])
    assert len({ports.http, ports.readiness, ports.admin, ports.peer}) == 4


def test_a_process_that_cannot_run_is_reported_with_the_end_of_its_log(tmp_path: Path) -> None:
    async def work() -> list[str]:
        fleet = Fleet(tmp_path, 1, ("127.0.0.1", 1), lambda _line: None)
        for machine in fleet.machines:
            machine.settings["ip"] = 5
        fleet.start()
        async with asyncio.timeout(BOUND_S):
            with pytest.raises(StartError, match="settings: ip: must be text"):
                await fleet.wait_for_failure()
        overdue = await fleet.stop()
        assert not any(machine.running for machine in fleet.machines)
        return overdue

    assert asyncio.run(work()) == []


@pytest.mark.parametrize("routers", [0, 101])
def test_a_fleet_has_a_bounded_number_of_gateways(tmp_path: Path, routers: int) -> None:
    with pytest.raises(ValueError, match="routers"):
        Fleet(tmp_path, routers, ("127.0.0.1", 1), lambda _line: None)
