"""The gateway as a process: configuration, readiness, signals and exit."""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import json
import os
import resource
import signal
import socket
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

import roselink.gateway.__main__
from roselink.gateway.config import load
from roselink.gateway.exceptions import ConfigError
from tests.support.event_loop import on_loop, until
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_hosts import FakeHost, hang, send_bytes, serve_ok
from tests.support.gateway_clients import Client
from tests.support.gateway_harness import config_data, running_gateway, settings_data
from tests.support.http_messages import response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROOT = Path(__file__).parents[2]


async def start_program(folder: Path, data: Any) -> Process:
    path = folder / "config.json"
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    environment = {k: v for k, v in os.environ.items() if not k.startswith("GW_")} | {
        "GW_CONFIG": str(path)
    }
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "roselink.gateway",
        cwd=ROOT,
        env=environment,
        stdout=PIPE,
        stderr=PIPE,
    )


_reserved_sockets: list[socket.socket] = []


def reserved_port() -> int:
    """Reserve a port for a gateway: a socket stays bound to it, so that no other process gets
    it.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    _reserved_sockets.append(reserved)
    port: int = reserved.getsockname()[1]
    return port


async def start_ready(folder: Path, host: FakeHost, **changes: Any) -> tuple[Process, int]:
    """Start a gateway and wait until `/up` responds 200."""
    discovery = await FakeDiscovery(host.entry()).start()
    port = reserved_port()
    process = await start_program(
        folder, config_data(discovery.port, listen=f"127.0.0.1:{port}", **changes)
    )
    await wait_for_up(port)
    return process, port


async def wait_for_up(port: int, status: int = 200) -> None:
    """Wait until `/up` responds with a status."""
    while True:
        try:
            async with Client(port) as client:
                if (await client.request("/up", method="GET")).status == status:
                    return
        except OSError:
            pass
        await asyncio.sleep(0.02)


async def exit_status(process: Process) -> tuple[int, str]:
    assert process.stderr is not None
    text = (await process.stderr.read()).decode()
    return await process.wait(), text


def thread_count(process: Process) -> int:
    return len(list(Path(f"/proc/{process.pid}/task").iterdir()))


@on_loop
async def test_a_known_list_makes_the_gateway_ready_without_discovery(tmp_path: Path) -> None:
    """The gateway restarts while nothing listens at the address of discovery."""
    host, port = await FakeHost().start(), reserved_port()
    known = {"generation": 41, "reset": True, "instances": [host.entry()]}
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        given = config_data(unused.getsockname()[1], listen=f"127.0.0.1:{port}", known=known)
        process = await start_program(tmp_path, given)
        await wait_for_up(port)
        async with Client(port) as client:
            assert (await client.request()).status == 200
        assert thread_count(process) == 1  # no thread was started to resolve an address
        process.send_signal(signal.SIGTERM)
        assert (await exit_status(process))[0] == 0


@on_loop
async def test_without_a_known_list_the_gateway_is_ready_after_the_first_list(
    tmp_path: Path,
) -> None:
    host, port = await FakeHost().start(), reserved_port()
    with socket.socket() as discovery_socket:
        discovery_socket.bind(("127.0.0.1", 0))
        given = config_data(discovery_socket.getsockname()[1], listen=f"127.0.0.1:{port}", known={})
        process = await start_program(tmp_path, given)
        await wait_for_up(port, 503)
        await FakeDiscovery(host.entry()).start(discovery_socket)
        await wait_for_up(port)
        assert thread_count(process) == 1  # no thread was started to resolve discovery's address
        process.send_signal(signal.SIGTERM)
        assert (await exit_status(process))[0] == 0


# Modules that a start imports besides the event loop and the parser. Each import lengthens the
# start.
EXPECTED_IMPORTS = {
    "__future__",
    "bisect",
    "copy",
    "dataclasses",
    "hashlib",
    "importlib",
    "ipaddress",
    "json",
    "random",
    "roselink",
    "runpy",
    "urllib",
    "zlib",
}
# The packages of roselink that a start imports, and the modules of `routing` that both gateways
# use.
OWN_PACKAGES = {
    "roselink.gateway",
    "roselink.http",
    "roselink.balancer",
    "roselink.routing",
    "roselink.exceptions",
}
ROUTING_MODULES = {"latency_tracker", "outcome", "token_bucket"}


def imports(text: str) -> set[str]:
    """Modules listed in the output of Python's import profiling."""
    return {
        line.rpartition("|")[2].strip()
        for line in text.splitlines()
        if line.startswith("import time:")
    }


@on_loop
async def test_a_start_imports_only_the_listed_modules(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    base = await asyncio.create_subprocess_exec(
        sys.executable, "-c", "import httptools, uvloop", stdout=PIPE, stderr=PIPE
    )
    _, text = await exit_status(base)
    host = await FakeHost().start()
    process, port = await start_ready(tmp_path, host)
    async with Client(port) as client:
        assert (await client.request()).status == 200
    process.send_signal(signal.SIGTERM)
    added = imports((await exit_status(process))[1]) - imports(text)
    top_level_names = {name.partition(".")[0] for name in added}
    public = {name for name in top_level_names if not name.startswith("_") or name == "__future__"}
    loaded_by_site = {
        name for name in EXPECTED_IMPORTS if name in imports(text)
    }  # imported by a library's .pth file
    assert {
        name for name in public if importlib.util.find_spec(name)
    } | loaded_by_site == EXPECTED_IMPORTS
    own = {".".join(name.split(".")[:2]) for name in added if name.startswith("roselink.")}
    assert own == OWN_PACKAGES
    routing_modules = {name for name in added if name.startswith("roselink.routing.")}
    assert routing_modules == {f"roselink.routing.{name}" for name in ROUTING_MODULES}


@on_loop
async def test_sigterm_lets_open_requests_finish(tmp_path: Path) -> None:
    """A restart loses no open request, also if its response comes after all idle connections
    closed.
    """
    host = await FakeHost(behave=hang).start()
    process, port = await start_ready(tmp_path, host)
    async with Client(port) as busy, Client(port) as idle:
        busy.send()
        await host.arrivals.get()
        assert (await idle.request("/up", method="GET")).status == 200
        process.send_signal(signal.SIGTERM)
        assert await idle.reader.read() == b""
        host.writers[0].write(response(b"at last"))
        got = await busy.receive()
        assert (got.body, got.headers["connection"]) == (b"at last", "close")
    code, _ = await exit_status(process)
    assert code == 0


@on_loop
async def test_a_drain_serves_requests_that_still_arrive(monkeypatch: pytest.MonkeyPatch) -> None:
    """The load balancer in front notices the drain late: until then new and existing connections
    are served.
    """
    monkeypatch.setattr(roselink.gateway.__main__, "ACCEPT_AFTER_SIGTERM_S", 1000.0)
    async with running_gateway(serve_ok) as harness, harness.client() as before:
        assert (await before.request()).status == 200
        drain = asyncio.ensure_future(harness.gateway.drain())
        await until(lambda: harness.gateway.server.draining)
        async with harness.client() as late:
            for client in (late, before):
                got = await client.request()
                assert (got.status, got.headers["connection"]) == (200, "close")
                assert await client.reader.read() == b""
        drain.cancel()


@on_loop
async def test_sigterm_closes_idle_connections_and_exits(tmp_path: Path) -> None:
    process, port = await start_ready(tmp_path, await FakeHost().start())
    async with Client(port) as idle:
        assert (await idle.request()).status == 200
        process.send_signal(signal.SIGTERM)
        assert await idle.reader.read() == b""
        code, _ = await exit_status(process)
    assert code == 0
    with pytest.raises(OSError):
        await Client(port).__aenter__()


INVALID_CONFIGS: list[tuple[Any, str]] = [
    ("{", "GW_CONFIG"),
    ("[]", "GW_CONFIG"),
    (config_data(1, settings=None), "settings"),
    (config_data(1, settings=settings_data(balancers=0)), "balancers"),
    (
        config_data(1, settings=settings_data(lanes=[{"name": "a", "semantics": "safe"}])),
        "deadline",
    ),
    (config_data(1, settings=settings_data(lanes=[{"name": "a", "deadline": 5}])), "semantics"),
    (config_data(1, settings=settings_data(lanes=[3])), "lanes"),
    (config_data(1, settings=settings_data(lanes={"a": 1})), "lanes"),
    (
        config_data(1, settings=settings_data(lanes=[{"semantics": "safe", "deadline": "soon"}])),
        "deadline",
    ),
    (
        config_data(1, settings=settings_data(lanes=[{"semantics": "wild", "deadline": 5}])),
        "semantics",
    ),
    (config_data(1, settings=settings_data(orgs=["acme"])), "orgs"),
    (config_data(1, settings=settings_data(guarantees=[1])), "guarantees"),
    (config_data(1, settings=settings_data(guarantees={"cold": "long"})), "guarantees.cold"),
    (
        config_data(1, settings=settings_data(guarantees={"ask_within": 1e400})),
        "guarantees.ask_within",
    ),
    (config_data(1, settings=settings_data(balancers=1.5)), "balancers"),
    (config_data(1, settings=settings_data(limits={"attempts_cap": True})), "limits.attempts_cap"),
    (config_data(1, settings=settings_data(limits={"conn_idle": -1})), "conn_idle"),
    (config_data(1, listen="nowhere"), "GW_LISTEN"),
    (config_data(1, discovery=None), "GW_DISCOVERY"),
    (config_data(1, limits={"sockets": 0}), "limits.sockets"),
    (config_data(1, limits={"sockets": "many"}), "limits.sockets"),
    (config_data(1, known=[]), "known"),
]


@pytest.mark.parametrize(("data", "field"), INVALID_CONFIGS)
def test_an_invalid_configuration_names_the_field(tmp_path: Path, data: Any, field: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    with pytest.raises(ConfigError, match=field) as caught:
        load({"GW_CONFIG": str(path)})
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("data", "field"),
    [
        INVALID_CONFIGS[0],
        INVALID_CONFIGS[3],
        (config_data(1, known={"generation": 1, "instances": [3]}), "known"),
    ],
)
@on_loop
async def test_an_invalid_configuration_exits_with_one_line(
    tmp_path: Path, data: Any, field: str
) -> None:
    code, text = await exit_status(await start_program(tmp_path, data))
    assert code == 2
    assert len(text.splitlines()) == 1
    assert field in text


@on_loop
async def test_an_address_in_use_exits_with_one_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as in_use:
        port = in_use.getsockname()[1]
        code, text = await exit_status(
            await start_program(tmp_path, config_data(1, listen=f"127.0.0.1:{port}"))
        )
    assert code == 2
    assert len(text.splitlines()) == 1
    assert "GW_LISTEN" in text


def test_a_missing_configuration_names_the_variable() -> None:
    with pytest.raises(ConfigError, match="GW_CONFIG"):
        load({})
    with pytest.raises(ConfigError, match="GW_CONFIG"):
        load({"GW_CONFIG": "/nonexistent/config.json"})


def test_the_environment_overrides_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data(1)))
    config = load({"GW_CONFIG": str(path), "GW_NAME": "n7", "GW_LISTEN": "127.0.0.9:80"})
    assert (config.name, config.listen, config.discovery) == (
        "n7",
        ("127.0.0.9", 80),
        ("127.0.0.1", 1),
    )


@on_loop
async def test_sighup_switches_discovery_and_keeps_open_requests(tmp_path: Path) -> None:
    """Regression: SIGHUP ended the process. Open requests must complete on their connections."""
    host = await FakeHost(behave=hang).start()
    process, port = await start_ready(tmp_path, host)
    successor = await FakeDiscovery(host.entry()).start()
    async with Client(port) as client:
        client.send()
        await host.arrivals.get()
        data = config_data(successor.port, listen=f"127.0.0.1:{port}")
        (tmp_path / "config.json").write_text(json.dumps(data))
        process.send_signal(signal.SIGHUP)
        assert await successor.requests.get() == "/discovery/hosts"
        host.writers[0].write(response(b"still here"))
        assert (await client.receive()).body == b"still here"
        host.behave = serve_ok
        assert (await client.request()).status == 200
        assert host.closed.empty()
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)  # has no effect while draining
    assert (await exit_status(process))[0] == 0


@on_loop
async def test_a_reload_applies_the_file_and_ignores_an_invalid_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "config.json"
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        environment = {
            "GW_CONFIG": str(path),
            "GW_DISCOVERY": f"127.0.0.1:{harness.discovery.port}",
        }
        for invalid in ("{", json.dumps(config_data(1, discovery="nowhere")), "[" * 200_000):
            path.write_text(invalid)
            caplog.clear()
            with caplog.at_level("INFO", "roselink.gateway"):
                harness.gateway.reload(environment)
            assert len(caplog.records) == 1
            assert "old configuration stands" in caplog.text
        assert (await client.request()).status == 200
        successor = await FakeDiscovery(harness.hosts[0].entry()).start()
        path.write_text(json.dumps(config_data(successor.port, limits={"sockets": 99})))
        with caplog.at_level("INFO", "roselink.gateway"):
            harness.gateway.reload(environment)
        assert "with a restart only: sockets" in caplog.text
        await until(lambda: len(successor.watches) == 1)
        harness.gateway.reload(environment)  # nothing changed: the watch stays open
        assert (await client.request()).status == 200
        assert len(successor.watches) == 1


DESCRIPTOR_LIMIT = 256


def descriptor_count(process: Process) -> int:
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


async def send_half_request(clients: contextlib.ExitStack, port: int) -> None:
    """Connect one more client that stops in the middle of a request."""
    client = clients.enter_context(socket.create_connection(("127.0.0.1", port)))
    with contextlib.suppress(OSError):  # refused
        client.sendall(b"GET /status-check/k1 HTTP/1.1\r\n")
    await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def all_descriptors_used(process: Process, port: int) -> AsyncIterator[None]:
    """Hold connections of idle clients that use all descriptors of the process."""
    with contextlib.ExitStack() as clients:
        while descriptor_count(process) < DESCRIPTOR_LIMIT:
            await send_half_request(clients, port)
        yield


async def wait_for_body(port: int, body: bytes) -> None:
    """Send requests on new connections until the expected host responds."""
    while True:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):  # refused
            async with Client(port) as client:
                if (await client.request()).body == body:
                    return


@on_loop
async def test_many_clients_do_not_use_up_the_descriptors(tmp_path: Path) -> None:
    """Past the limit an accept fails, and the loop closes connections without a response."""
    host = await FakeHost().start()
    process, port = await start_ready(tmp_path, host, limits={"sockets": DESCRIPTOR_LIMIT})
    with contextlib.ExitStack() as clients:
        for _ in range(2 * DESCRIPTOR_LIMIT):
            await send_half_request(clients, port)
            assert descriptor_count(process) < DESCRIPTOR_LIMIT
    process.kill()
    await exit_status(process)


@on_loop
async def test_discovery_and_reload_work_when_clients_use_all_descriptors(tmp_path: Path) -> None:
    """The gateway needs descriptors to call discovery again after an outage, and to read its file
    and call the new discovery at a reload.
    """
    one, two, three = [
        await FakeHost(name, send_bytes(response(name.encode()))).start()
        for name in ("1", "2", "3")
    ]
    first, second = (
        await FakeDiscovery(one.entry()).start(),
        await FakeDiscovery(two.entry()).start(),
    )
    port = reserved_port()
    data = config_data(
        first.port,
        listen=f"127.0.0.1:{port}",
        settings=settings_data(discovery="push"),
        # Above the process's limit, so that the gateway itself keeps no descriptors free.
        limits={"sockets": 2 * DESCRIPTOR_LIMIT},
    )
    process = await start_program(tmp_path, data)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))
    await first.requests.get()
    first.down()
    async with all_descriptors_used(process, port):
        await first.up()
        await first.requests.get()
        first.send_changes(one.entry(lifecycle="draining"), two.entry())
    await wait_for_body(port, b"2")
    async with all_descriptors_used(process, port):
        (tmp_path / "config.json").write_text(
            json.dumps(data | {"discovery": f"127.0.0.1:{second.port}"})
        )
        process.send_signal(signal.SIGHUP)
        assert await second.requests.get() == "/discovery/hosts"
        assert "watch=1" in await second.requests.get()
        second.send_changes(two.entry(lifecycle="draining"), three.entry())
    await wait_for_body(port, b"3")
    process.send_signal(signal.SIGTERM)
    code, log = await exit_status(process)
    assert code == 0
    assert "Too many open files" not in log
