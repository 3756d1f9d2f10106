"""The watch of the host list: after any failure the last list stays in force and a new watch
begins.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from typing import TYPE_CHECKING, Any

import pytest

from roselink.gateway import discovery
from roselink.gateway.host_list import server_number
from roselink.gateway.pacing import (
    CALL_TIME_S,
    FAILED_DEADLINE_S,
    RESPONSE_TIMEOUT_S,
    WATCH_TIMEOUT_S,
    CallPacing,
    Cause,
)
from tests.support.event_loop import on_loop, until
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_hosts import (
    Behaviour,
    FakeHost,
    hang,
    reset_connection,
    send_bytes,
    serve_ok,
)
from tests.support.gateway_clients import Client
from tests.support.gateway_harness import (
    GatewayHarness,
    gateway_with_known_list,
    running_gateway,
    settings_data,
)
from tests.support.http_messages import Message, response

if TYPE_CHECKING:
    from collections.abc import Callable


def close_watch(d: FakeDiscovery) -> None:
    d.watches[-1].close()


def end_chunks(d: FakeDiscovery) -> None:
    d.watches[-1].write(b"0\r\n\r\n")


def list_with_invalid_entry(change: dict[str, Any]) -> Callable[[FakeDiscovery], None]:
    """Return a function that sends a valid and an invalid entry, which must both be rejected."""
    good = {"instanceId": "s-8", "hostPort": "127.0.0.1:9", "lifecycle": "up"}
    given = {
        "generation": 9,
        "reset": True,
        "instances": [good, good | {"instanceId": "s-9"} | change],
    }
    return lambda d: d.send(json.dumps(given).encode() + b"\n")


INVALID_FIELDS: list[dict[str, Any]] = [
    {"instanceId": ""},
    {"instanceId": None},
    {"instanceId": 5},
    {"lifecycle": "sleeping"},
    {"lifecycle": ["up"]},
    {"hostPort": "127.0.0.1:0"},
    {"hostPort": "somewhere:80"},
    {"hostPort": "::1:80"},
    {"hostPort": None},
    {"cell": "three"},
    {"cell": -1},
    {"cell": 1.5},
    {"startedAtMs": -5},
    {"startedAtMs": 1e400},
    {"startedAtMs": "today"},
    {"weight": float("nan")},
    {"weight": 1e400},
    {"weight": -1.0},
    {"weight": "heavy"},
    {"weight": True},
    {"zone": 7},
    {"machineType": []},
]
INVALID_WATCHES: list[Callable[[FakeDiscovery], None]] = [
    close_watch,
    end_chunks,
    lambda d: d.watches[-1].write(b"no chunk at all\r\n"),
    lambda d: d.send(b"no JSON\n"),
    lambda d: d.send(b"[1, 2]\n"),
    lambda d: d.send(b'{"generation":9}\n'),
    lambda d: d.send(b'{"generation":9,"reset":true,"instances":[{"instanceId":"s-9"}]}\n'),
    lambda d: d.send(b'{"generation":9,"reset":true,"instances":[7]}\n'),
    lambda d: d.send(b'{"generation":-1,"reset":true,"instances":[]}\n'),
    lambda d: d.send(b'{"generation":9,"reset":"no","instances":[]}\n'),
    *(list_with_invalid_entry(change) for change in INVALID_FIELDS),
]


@pytest.mark.parametrize("break_watch", INVALID_WATCHES)
@on_loop
async def test_an_invalid_watch_is_restarted_and_the_list_stays_in_force(
    break_watch: Callable[[FakeDiscovery], None],
) -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        break_watch(harness.discovery)
        assert (await harness.discovery.requests.get()).endswith("from=1")
        assert (await client.request()).status == 200
        new = await FakeHost("s-new").start()
        harness.discovery.send_changes(new.entry())
        await until(lambda: len(harness.gateway.engine.hosts) == 2)


@on_loop
async def test_a_watch_is_restarted_after_its_keep_alive_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Across a network partition nothing arrives, and the connection stays open for ever."""
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.2)
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        await harness.discovery.requests.get()
        assert (await client.request()).status == 200


@on_loop
async def test_an_empty_line_is_a_keep_alive() -> None:
    async with running_gateway(serve_ok) as harness:
        harness.discovery.send(b"\n")
        harness.discovery.send_changes(harness.hosts[0].entry(lifecycle="draining"))
        await until(lambda: not next(iter(harness.gateway.engine.hosts.values())).ready)
        assert len(harness.discovery.watches) == 1


@on_loop
async def test_a_list_may_arrive_in_several_chunks() -> None:
    async with running_gateway(serve_ok) as harness:
        line = harness.discovery.encode_list(harness.hosts[0].entry(lifecycle="draining"))
        for start in range(0, len(line), 7):
            harness.discovery.send(line[start : start + 7])
        await until(lambda: not next(iter(harness.gateway.engine.hosts.values())).ready)


INDENTS: list[int | str] = [2, "\t"]


@pytest.mark.parametrize("indent", INDENTS)
@pytest.mark.parametrize("step", [1, 7, 65536])
@on_loop
async def test_a_list_on_a_watch_may_contain_line_breaks(step: int, indent: int | str) -> None:
    async with running_gateway(serve_ok) as harness:
        given = json.loads(
            harness.discovery.encode_list(harness.hosts[0].entry(lifecycle="draining"))
        )
        data = json.dumps(given, indent=indent).encode() + b"\n\n"
        for start in range(0, len(data), step):
            harness.discovery.send(data[start : start + step])
        await until(lambda: not next(iter(harness.gateway.engine.hosts.values())).ready)
        assert len(harness.discovery.watches) == 1


@pytest.mark.parametrize("indent", INDENTS)
@on_loop
async def test_a_full_list_may_contain_line_breaks(indent: int | str) -> None:
    async with running_gateway(serve_ok) as harness:
        new = await FakeDiscovery(harness.hosts[0].entry(lifecycle="draining")).start()
        new.initial_list = json.dumps(json.loads(new.initial_list), indent=indent).encode()
        harness.gateway.discovery.switch_to(("127.0.0.1", new.port))
        await until(lambda: not next(iter(harness.gateway.engine.hosts.values())).ready)


PARTIAL_DATA: list[bytes] = [
    b'{"generation":2,"reset":true,"instances":[',  # an incomplete list
    b" ",  # neither a line break nor a list
]


@pytest.mark.parametrize("data", PARTIAL_DATA)
@on_loop
async def test_partial_data_is_no_keep_alive(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes keep arriving within the time-out, but no complete list or empty line."""
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.3)
    async with running_gateway(serve_ok) as harness:
        old = harness.discovery.watches[0]
        harness.discovery.send(data)
        while not old.is_closing():
            old.write(b"1\r\n \r\n")
            await asyncio.sleep(0.02)
        assert await harness.discovery.ended.get() == 0
        assert (await harness.discovery.requests.get()).endswith("from=1")


@on_loop
async def test_a_response_that_stalls_in_its_head_is_timed_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "RESPONSE_TIMEOUT_S", 0.3)
    host = await FakeHost("s-known").start()

    async def stall(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n")
        while not writer.is_closing():
            writer.write(b"X: y\r\n")
            await asyncio.sleep(0.02)

    discovery_host = await FakeHost("discovery", stall).start()
    async with gateway_with_known_list(
        discovery_host, {"generation": 41, "reset": True, "instances": [host.entry()]}
    ):
        await discovery_host.arrivals.get()
        await discovery_host.closed.get()
        await discovery_host.arrivals.get()


@pytest.mark.parametrize(
    "endless",
    [b'{"generation":9,"x":"' + b"y" * 2**21, b"[" * 99, b'{"a":' * 99, b"X" * 2**21],
    ids=["text", "array", "depth", "noise"],
)
@on_loop
async def test_an_endless_list_ends_the_watch(endless: bytes) -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        harness.discovery.send(endless)
        assert (await harness.discovery.requests.get()).endswith("from=1")
        assert (await client.request()).status == 200


@on_loop
async def test_push_mode_has_no_paced_delay_in_a_large_fleet() -> None:
    """With the spread of poll mode, the first call of one of 4,000 gateways would come seconds
    later.
    """
    host = await FakeHost("s-known").start()
    known = {"generation": 41, "reset": True, "instances": [host.entry()]}
    discovery_host = await FakeHost("agent", hang).start()
    settings = settings_data(balancers=4000, discovery="push")
    async with gateway_with_known_list(discovery_host, known, settings=settings):
        assert (await discovery_host.arrivals.get()).start_line.split()[1].endswith("from=41")


@on_loop
async def test_the_known_list_serves_until_discovery_responds() -> None:
    host = await FakeHost("s-known").start()
    known = {"generation": 41, "reset": True, "instances": [host.entry()]}
    unresponsive = await FakeHost("discovery", hang).start()
    async with (
        gateway_with_known_list(unresponsive, known) as gateway,
        Client(gateway.port) as client,
    ):
        assert (await client.request()).status == 200
        assert (await unresponsive.arrivals.get()).start_line.split()[1].endswith("from=41")


@on_loop
async def test_a_call_that_got_503_is_retried() -> None:
    host = await FakeHost("s-known").start()
    known = {"generation": 41, "reset": True, "instances": [host.entry()]}
    busy = await FakeHost("discovery", send_bytes(response(b"", "503 Busy"))).start()
    async with gateway_with_known_list(busy, known) as gateway, Client(gateway.port) as client:
        await busy.arrivals.get()
        await busy.arrivals.get()
        assert (await client.request()).status == 200


def test_host_numbers_depend_on_the_name_only() -> None:
    assert server_number("s-5be2a07c") == server_number("s-5be2a07c")
    assert server_number("s-5be2a07c") != server_number("s-5be2a07d")


async def switch_discovery(harness: GatewayHarness, *entries: dict[str, Any]) -> FakeDiscovery:
    """Start another discovery, with generations of its own, and switch the gateway to it."""
    new = await FakeDiscovery(*entries).start()
    harness.gateway.discovery.switch_to(("127.0.0.1", new.port))
    return new


@on_loop
async def test_the_full_list_is_requested_from_another_discovery() -> None:
    """Its generations may be lower: `from=9` would leave out its changes up to generation 9, and
    `from=0` the hosts from before its first generation.
    """
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        harness.discovery.generation = 8
        harness.discovery.send_changes(harness.hosts[0].entry(weight=2.0))
        await until(lambda: harness.gateway.discovery._generation == 9)
        other = await FakeHost("s-other").start()
        new = await switch_discovery(
            harness, harness.hosts[0].entry(lifecycle="draining"), other.entry()
        )
        assert await new.requests.get() == "/discovery/hosts"
        new.initial_list = b"\n"
        assert (await new.requests.get()).endswith("from=1")
        await until(lambda: len(harness.gateway.engine.hosts) == 2)
        assert (await client.request()).status == 200
        assert (len(harness.hosts[0].seen), len(other.seen)) == (0, 1)


@on_loop
async def test_data_of_the_old_watch_is_ignored_after_a_switch() -> None:
    """Neither a line that is received but not applied at the switch, nor anything that the old
    discovery sends later, takes effect.
    """
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        other = await FakeHost("s-other").start()
        harness.discovery.send_changes(harness.hosts[0].entry(lifecycle="removed"))
        new = await switch_discovery(harness, harness.hosts[0].entry(), other.entry())
        await until(lambda: len(new.watches) == 1)
        assert await harness.discovery.ended.get() == 0
        assert all(host.ready for host in harness.gateway.engine.hosts.values())
        assert (await client.request()).status == 200


@on_loop
async def test_the_list_stays_in_force_until_another_discovery_responds() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        assert (await client.request()).status == 200
        unresponsive = await FakeHost("discovery", hang).start()
        harness.gateway.discovery.switch_to(unresponsive.address)
        await unresponsive.arrivals.get()
        assert (await client.request()).status == 200
        assert harness.hosts[0].closed.empty()  # the connection to the host stays open too


@on_loop
async def test_unknown_zones_get_different_numbers() -> None:
    """With one number, their hosts would count as a group that detects each other's duplicates."""
    async with running_gateway(serve_ok) as harness:
        hosts = [await FakeHost(f"s-{name}").start() for name in ("attic", "cellar", "loft")]
        zones = ("attic", "cellar", "attic")
        harness.discovery.send_changes(
            *(host.entry(zone=zone) for host, zone in zip(hosts, zones, strict=True))
        )
        known = harness.gateway.engine._balancer.state.servers
        await until(lambda: len(known) == 4)
        attic, cellar, loft = (known[server_number(host.name)].spec.zone for host in hosts)
        assert attic == loft != cellar
        assert known[server_number(harness.hosts[0].name)].spec.zone not in (attic, cellar)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY = b'{"generation":42,"reset":false,"instances":[]}\n'


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@pytest.mark.parametrize(
    ("behave", "cause"),
    [
        (hang, Cause.UNANSWERED),  # may be a watch that became unresponsive before its response
        (send_bytes(HEAD), Cause.UNRESPONSIVE),
        (send_bytes(HEAD + chunk(b"\n")), Cause.UNRESPONSIVE),
        (send_bytes(HEAD, end=True), Cause.ENDED),
        (send_bytes(HEAD + chunk(EMPTY), end=True), Cause.ENDED),
        (send_bytes(HEAD + chunk(EMPTY + b"[]\n")), Cause.ENDED),
        (send_bytes(HEAD + chunk(EMPTY) + b"no chunk\r\n"), Cause.ENDED),
        (send_bytes(HEAD + chunk(b"[]\n")), Cause.MALFORMED),
        (send_bytes(b"no HTTP\r\n\r\n"), Cause.FAILED),
        (send_bytes(response(b"", "503 Busy")), Cause.FAILED),
        (reset_connection, Cause.FAILED),
    ],
)
@on_loop
async def test_each_end_of_a_watch_has_its_cause(
    behave: Behaviour, cause: Cause, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each cause has its own deadline for receiving a list."""
    monkeypatch.setattr(discovery, "RESPONSE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.3)
    causes: list[Cause] = []

    def record(pacing: CallPacing, cause: Cause, now: float, took_s: float = 0.0) -> float:
        causes.append(cause)
        return 0.0 if len(causes) < 3 else 1000.0

    monkeypatch.setattr(CallPacing, "wait_s", record)
    host = await FakeHost("s-known").start()
    known = {"generation": 41, "reset": True, "instances": [host.entry()]}
    discovery_host = await FakeHost("discovery", behave).start()
    async with gateway_with_known_list(discovery_host, known) as gateway:
        await until(lambda: len(causes) == 3)
        assert causes == [Cause.START, cause, cause]
        gateway.discovery.switch_to(discovery_host.address)
        assert causes[-1] is Cause.MOVED


@pytest.mark.parametrize(
    "failure",
    [
        None,
        hang,
        reset_connection,
        send_bytes(response(b"", "503 Busy")),
        send_bytes(b"no HTTP\r\n\r\n"),
        send_bytes(HEAD + chunk(b"[]\n")),
        send_bytes(HEAD),
        send_bytes(HEAD, end=True),
    ],
    ids=["refused", "nothing", "reset", "503", "noise", "no list", "unresponsive", "ended"],
)
@on_loop
async def test_a_drain_is_received_by_the_deadline_after_failed_calls(
    failure: Behaviour | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With 200 gateways, for each way in which calls can fail, and discovery recovering right after
    the last failed call began. The real delays are added up instead of waited for.
    """
    for name in ("RESPONSE_TIMEOUT_S", "WATCH_TIMEOUT_S"):
        monkeypatch.setattr(discovery, name, 0.05)
    waits: list[float] = []
    wait_s = CallPacing.wait_s

    def record_delay(pacing: CallPacing, cause: Cause, now: float, took_s: float = 0.0) -> float:
        timeouts_s = {
            Cause.UNANSWERED: RESPONSE_TIMEOUT_S,
            Cause.UNRESPONSIVE: WATCH_TIMEOUT_S,
        }
        call_s = timeouts_s.get(cause, took_s)
        # as if the delay had passed: after the previous call's deadline
        now = 1000.0 + 6.0 * len(waits)
        waits.append(call_s + wait_s(pacing, cause, now, took_s))
        return 0.0

    monkeypatch.setattr(CallPacing, "wait_s", record_delay)
    host = await FakeHost("s-known").start()
    known = {"generation": 41, "reset": True, "instances": [host.entry()]}
    drain = {"generation": 42, "reset": False, "instances": [host.entry(lifecycle="draining")]}
    discovery_host = await FakeHost("discovery", failure or hang).start()
    if failure is None:
        discovery_host.down()
    async with gateway_with_known_list(
        discovery_host, known, settings=settings_data(balancers=200)
    ) as gateway:
        await until(lambda: len(waits) >= 4)
        discovery_host.behave = send_bytes(HEAD + chunk(json.dumps(drain).encode() + b"\n"))
        if failure is None:
            await discovery_host.up()
        await until(lambda: not next(iter(gateway.engine.hosts.values())).ready)
        assert max(waits[1:4]) + CALL_TIME_S <= FAILED_DEADLINE_S


@pytest.mark.parametrize("ended_by", ["malformed", "unresponsive"])
@on_loop
async def test_a_watch_that_ends_during_a_reload_leaves_one_watch_of_the_new_discovery(
    ended_by: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.2 if ended_by == "unresponsive" else 1000.0)
    async with running_gateway(serve_ok) as harness:
        new = await FakeDiscovery(harness.hosts[0].entry()).start()
        if ended_by == "unresponsive":
            harness.discovery.send(b"\n")
            await asyncio.sleep(0.01)  # the gateway has set its time-out
            time.sleep(0.3)  # which expires in this loop iteration
        else:
            os.write(
                harness.discovery.watches[-1].get_extra_info("socket").fileno(), b"no chunk\r\n"
            )
        monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 1000.0)
        harness.gateway.discovery.switch_to(("127.0.0.1", new.port))
        assert await new.requests.get() == "/discovery/hosts"
        assert (await new.requests.get()).endswith("from=1")
        new.send_changes(harness.hosts[0].entry(lifecycle="draining"))
        await until(lambda: not next(iter(harness.gateway.engine.hosts.values())).ready)
        watches = [
            task for task in asyncio.all_tasks() if "Discovery._run" in repr(task.get_coro())
        ]
        assert len(watches) == 1
        assert (len(harness.discovery.watches), len(new.watches)) == (1, 1)
