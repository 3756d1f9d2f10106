"""The lab's own parts: clients that notice what is wrong, hosts, readiness, processes that can't
start.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import pytest

from roselink.controller.validation import ValidationFailure, validate_document
from roselink.lab import clients
from roselink.lab.clients import Client, End, Tally
from roselink.lab.fleet import Fleet, StartFailed, free_ports
from roselink.lab.hosts import MODEL, RECORDS, Host, event, record, signature
from roselink.lab.operator import configuration
from roselink.lab.platform import Gateway, Ingress
from roselink.lab.wire import Answer, Head, ask, chunk, message, read_body, read_head

if TYPE_CHECKING:
    from pathlib import Path

BOUND_S = 10.0
Script = Callable[[Head], bytes]  # what a gateway says to a request, before it ends the connection


def stamped(head: Head) -> dict[str, str]:
    return {"X-Response-Signature": signature(head.headers["x-request-id"])}


def events(head: Head, *numbers: int) -> bytes:
    body = b"".join(chunk(event(head.path, number)) for number in numbers)
    return message("HTTP/1.1 200 OK", stamped(head), None) + body


def whole(head: Head) -> bytes:
    first = int(head.headers.get("last-event-id", "0")) + 1
    return events(head, *range(first, 4)) + chunk(b"")


def cut(head: Head) -> bytes:
    return events(head, 1, 2)


def gap(head: Head) -> bytes:
    return events(head, 1, 3) + chunk(b"")


def short(head: Head) -> bytes:
    return events(head, 1) + chunk(b"")


def unstamped(head: Head) -> bytes:
    return whole(head).replace(b"X-Response-Signature", b"X-Other")


def other_body(head: Head) -> bytes:
    return message("HTTP/1.1 200 OK", stamped(head), b"something else")


def plain(head: Head) -> bytes:
    return message("HTTP/1.1 200 OK", stamped(head), record(head.path))


def status(code: int) -> Script:
    return lambda head: message(f"HTTP/1.1 {code} -", {"Retry-After": "0.01"})


def nothing(head: Head) -> bytes:
    return b""


@pytest.mark.parametrize(
    ("kind", "scripts", "end", "retries"),
    [
        ("chat", [whole], End.SERVED, 0),
        ("chat", [cut, whole], End.SERVED, 1),
        ("chat", [nothing, status(503), status(502), whole], End.SERVED, 3),
        ("chat", [cut, cut, cut, cut], End.FAILED, 3),
        ("chat", [gap, gap, gap, gap], End.FAILED, 3),
        ("chat", [short, gap, gap, gap], End.FAILED, 3),
        ("chat", [unstamped] * 4, End.FAILED, 3),
        ("chat", [status(503)] * 4, End.REFUSED, 3),
        ("chat", [status(429)] * 4, End.REFUSED, 3),
        ("chat", [status(504)] * 4, End.FAILED, 3),
        ("lookup", [plain], End.SERVED, 0),
        ("lookup", [other_body] * 4, End.FAILED, 3),
    ],
)
def test_a_client_tells_how_its_request_ended(
    monkeypatch: pytest.MonkeyPatch, kind: str, scripts: list[Script], end: End, retries: int
) -> None:
    monkeypatch.setattr(clients, "LOOKUPS", 1.0 if kind == "lookup" else 0.0)
    monkeypatch.setattr(clients, "EVENTS", (3, 3))
    left = iter(scripts)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await read_head(reader)
        await read_body(reader, head)
        writer.write(next(left)(head))
        writer.close()

    async def work() -> Tally:
        async with asyncio.timeout(BOUND_S):
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()[:2]
            tally, stopping = Tally(), asyncio.Event()
            client = Client(
                "c", Ingress([Gateway("g", address, address, ready=True)]), tally, stopping
            )
            running = asyncio.create_task(client.run())
            while not any(tally.ends.values()):
                await asyncio.sleep(0)
            stopping.set()
            await running
            server.close()
            return tally

    tally = asyncio.run(work())
    assert tally.ends == dict.fromkeys(End, 0) | {end: 1}
    assert tally.retries == retries
    assert len(tally.faults) == (1 if end is End.FAILED else 0)
    assert len(tally.take_first_events()) == (1 if end is End.SERVED and kind == "chat" else 0)


@pytest.mark.parametrize(
    ("service", "headers", "status", "body"),
    [
        (RECORDS, {"X-Request-Id": "a"}, 200, record("/p")),
        (RECORDS, {}, 400, b""),
        (RECORDS, {"X-Request-Id": "a", "X-Target-Instance": "other"}, 421, b""),
        (
            MODEL,
            {"X-Request-Id": "a", "X-Token-Usage": "5,2"},
            200,
            event("/p", 1) + event("/p", 2),
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
            event("/p", 3),
        ),
    ],
)
def test_a_host_answers(service: str, headers: dict[str, str], status: int, body: bytes) -> None:
    async def work() -> Answer | None:
        host = Host("h", service, "zone-a", 4)
        await host.start()
        answer = await ask(host.address, "POST", "/p", BOUND_S, b"{}", headers)
        await host.stop()
        return answer

    answer = asyncio.run(work())
    assert answer is not None
    assert (answer.head.status, answer.body) == (status, body)
    assert ("x-not-executed" in answer.head.headers) is (status != 200)
    assert answer.head.headers.get("x-response-signature") == (
        signature("a") if status == 200 else None
    )


@pytest.mark.parametrize(
    ("heard", "ready"),
    [([True], True), ([False], False), ([True, False], True), ([True, False, False], False)],
)
def test_two_misses_take_a_gateway_out(heard: list[bool], ready: bool) -> None:
    gateway = Gateway("g", ("", 0), ("", 0))
    ingress = Ingress([gateway])
    for well in heard:
        ingress.heard(gateway, well)
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


def test_a_process_that_cannot_run_is_told_with_its_last_words(tmp_path: Path) -> None:
    async def work() -> list[str]:
        fleet = Fleet(tmp_path, 1, ("127.0.0.1", 1), lambda line: None)
        for machine in fleet.machines:
            machine.settings["ip"] = 5
        fleet.begin()
        async with asyncio.timeout(BOUND_S):
            with pytest.raises(StartFailed, match="settings: ip: must be text"):
                await fleet.broken()
        late = await fleet.end()
        assert not any(machine.running for machine in fleet.machines)
        return late

    assert asyncio.run(work()) == []


@pytest.mark.parametrize("routers", [0, 101])
def test_a_fleet_has_a_bounded_number_of_gateways(tmp_path: Path, routers: int) -> None:
    with pytest.raises(ValueError, match="routers"):
        Fleet(tmp_path, routers, ("127.0.0.1", 1), lambda line: None)
