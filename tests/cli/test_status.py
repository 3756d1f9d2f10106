"""The command `status`: its table, its JSON output, and values added from the chain's tail."""

from __future__ import annotations

import json
import threading
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any, cast

import pytest

from roselink.__main__ import main
from roselink.budgets.ownership import rendezvous_owner
from roselink.cli import EXIT_UNAVAILABLE
from roselink.model.fleet import Member
from roselink.status import FleetStatus, GatewayStatus, budget_owners, render

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

Pages = dict[str, Any]


def gateway(name: str, **changes: Any) -> dict[str, Any]:
    fields = {"name": name, "address": "127.0.0.9:7500", "serving": True, "silent_s": 0.25}
    return (
        fields
        | {"configuration": 4, "hosts": 0, "roster": 0, "configuration_behind": False}
        | changes
    )


def state(**changes: Any) -> dict[str, Any]:
    chain = ["127.0.0.1:7500", "127.0.0.2:7500"]
    fields = {"epoch": 7, "is_tail": True, "tail": chain[-1], "core": sorted(chain), "chain": chain}
    versions = {"configuration": 4, "hosts": (7 << 32) + 2, "roster": (7 << 32) + 1}
    return (
        fields
        | {"confirmed": True, "generation": 31, "versions": versions, "gateways": []}
        | changes
    )


CONFIGURATION = {"tenants": [{"name": "t-1"}], "services": [{"name": "model"}]}


@contextmanager
def controllers(*pages: Pages) -> Iterator[list[str]]:
    """Fake controllers at 127.0.0.1, 127.0.0.2 and so on, all on one port."""

    def handler(pages_by_path: Pages) -> type[BaseHTTPRequestHandler]:
        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                body = json.dumps(pages_by_path.get(self.path)).encode()
                self.send_response(200 if self.path in pages_by_path else 503)
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: Any) -> None:
                pass

        return Handler

    servers: list[ThreadingHTTPServer] = []
    try:
        for number, pages_by_path in enumerate(pages):
            port = servers[0].server_address[1] if servers else 0
            servers.append(
                ThreadingHTTPServer((f"127.0.0.{number + 1}", port), handler(pages_by_path))
            )
            threading.Thread(target=servers[-1].serve_forever, args=(0.01,), daemon=True).start()
        yield [
            f"127.0.0.{number + 1}:{servers[0].server_address[1]}" for number in range(len(servers))
        ]
    finally:
        for server in servers:
            server.shutdown()
            server.server_close()


def test_table_shows_chain_gateways_and_owners(capsys: pytest.CaptureFixture[str]) -> None:
    lagging = gateway("g-2", serving=False, silent_s=1.25, configuration_behind=True, hosts=3)
    status = state(gateways=[lagging, gateway("g-1")])
    with controllers({"/status": status, "/config/get": CONFIGURATION}) as (address,):
        assert main(["status", address]) == 0
    assert capsys.readouterr().out.splitlines() == [
        "view       7 (confirmed)",
        "chain      127.0.0.1:7500 -> 127.0.0.2:7500",
        "members    127.0.0.1:7500, 127.0.0.2:7500",
        "generation 31",
        "versions   configuration 4, hosts 7.2, roster 7.1",
        "",
        "gateway  address         serving  silent s  configuration  hosts     roster",
        "g-1      127.0.0.9:7500  yes      0.2       newest         newest    newest",
        "g-2      127.0.0.9:7500  no       1.2       behind         3 behind  newest",
        "",
        "role         owner",
        "quota/t-1    g-1",
        "retry/model  g-1",
    ]


def test_status_of_another_member_is_completed_by_the_tail(
    capsys: pytest.CaptureFixture[str],
) -> None:
    first = state(is_tail=False, versions={"configuration": 4, "hosts": 0, "roster": 0})
    tail = state(gateways=[gateway("g-1")])
    with controllers({"/status": first}, {"/status": tail}) as (address, tail_address):
        assert main(["status", address, "--json"]) == 0
    status = json.loads(capsys.readouterr().out)
    assert status["gateways"] == tail["gateways"]
    assert status["gateways_from"] == tail_address
    assert status["versions"] == tail["versions"]
    assert status["is_tail"] is False
    assert status["owners"] == {}  # the configuration was not available


def _status_without_tail(tail: str | None) -> Callable[[], dict[str, Any]]:
    return lambda: state(is_tail=False, confirmed=False, generation=None, tail=tail)


@pytest.mark.parametrize(
    "make_status",
    [_status_without_tail(None), _status_without_tail("127.0.0.200:7500")],
    ids=["no tail", "unreachable tail"],
)
def test_unknown_values_are_shown_as_unknown(
    capsys: pytest.CaptureFixture[str], make_status: Callable[[], dict[str, Any]]
) -> None:
    with controllers({"/status": make_status()}) as (address,):
        assert main(["status", address]) == EXIT_UNAVAILABLE
    out = capsys.readouterr().out
    assert "NOT CONFIRMED" in out
    assert "generation unknown" in out
    assert "no status from the chain's tail" in out


@pytest.mark.parametrize("pages", [{}, {"/status": [1]}], ids=["503", "not an object"])
def test_a_controller_without_a_status_exits_as_unavailable(
    capsys: pytest.CaptureFixture[str], pages: Pages
) -> None:
    with controllers(pages) as (address,):
        assert main(["status", address]) == EXIT_UNAVAILABLE
    out, err = capsys.readouterr()
    assert out == ""
    assert err.startswith(f"{address}/status: ")


def test_an_address_without_a_listener_exits_as_unavailable(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["status", "127.0.0.1:1"]) == EXIT_UNAVAILABLE
    assert "127.0.0.1:1/status: " in capsys.readouterr().err


def test_owners_match_those_computed_by_the_gateways() -> None:
    names = [f"g-{number}" for number in range(5)]
    gateways = [cast("GatewayStatus", gateway(name, serving=name != "g-0")) for name in names]
    roster = [Member(name, "elsewhere:1", 9) for name in names[1:]]
    owners = budget_owners(CONFIGURATION, gateways)
    assert set(owners) == {"quota/t-1", "retry/model"}
    for key, name in owners.items():
        owner = rendezvous_owner(key, roster)
        assert owner is not None
        assert owner.name == name
    assert budget_owners(CONFIGURATION, []) == {}


def test_table_before_the_first_view_shows_no_chain() -> None:
    status = state(epoch=0, chain=[], core=[], gateways_from="127.0.0.1:1", generation=None)
    lines = render(cast("FleetStatus", status))
    assert "chain      -" in lines
    assert "gateways   none has pulled from the tail" in lines


@pytest.mark.parametrize(
    ("disk", "line"),
    [
        (
            {"healthy": True, "checks": 14, "damaged": 1, "checked_s": 12.2},
            "disk       healthy, read back 12 s ago, 1 damaged in 14 reads",
        ),
        (
            {"healthy": False, "checks": 0, "damaged": 0, "checked_s": None},
            "disk       NOT HEALTHY, not read back yet",
        ),
    ],
)
def test_table_shows_the_state_of_the_disk(disk: dict[str, Any], line: str) -> None:
    lines = render(cast("FleetStatus", state(gateways_from=None, disk=disk)))
    assert line in lines
    without = render(cast("FleetStatus", state(gateways_from=None)))
    assert [each for each in lines if each not in without] == [line]
