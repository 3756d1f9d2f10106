"""The fleet's state for people: asked from one controller, completed by the chain's tail, shown as
a table.

Only the tail hears the gateways' pulls, so another member's answer is completed by the tail's.
Owners of shared roles are computed from the live gateways, as the gateways themselves do.
"""

from __future__ import annotations

import http.client
import json
from typing import TYPE_CHECKING, Any

from roselink.budgets.ownership import rendezvous_owner
from roselink.budgets.quota_client import KEY_PREFIX as QUOTA_PREFIX
from roselink.budgets.retry_budget import KEY_PREFIX as REPEAT_PREFIX
from roselink.model.fleet import Member

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

TIMEOUT_S = 3.0

State = dict[str, Any]


class NoAnswer(Exception):
    """A controller did not answer, or not with what was asked for."""

    code = "no_answer"


def fetch_state(address: str) -> State:
    """The state as the controller at "ip:port" knows it, with the tail's gateways and the owners of
    roles.

    Raises `NoAnswer` when the controller itself does not answer; what the tail doesn't tell is left
    out.
    """
    state = _get(address, "/status")
    tail = state.get("tail")
    state["gateways_from"] = address if state.get("is_tail") else None
    if tail is not None and not state.get("is_tail"):
        other = f"{tail.rpartition(':')[0]}:{address.rpartition(':')[2]}"
        try:
            told = _get(other, "/status")
        except NoAnswer:
            told = {}
        if told.get("is_tail"):
            state |= {"gateways": told["gateways"], "gateways_from": other}
            state["versions"] |= {part: told["versions"][part] for part in ("hosts", "roster")}
    try:
        state["owners"] = owners(_get(address, "/config/get"), state["gateways"])
    except NoAnswer:
        state["owners"] = {}
    return state


def owners(document: State, gateways: Iterable[State]) -> dict[str, str]:
    """The gateway that owns each tenant's quota and each service's repeats."""
    live = [
        Member(gateway["name"], gateway["address"], 0) for gateway in gateways if gateway["serving"]
    ]
    names = [QUOTA_PREFIX + tenant["name"] for tenant in document.get("tenants") or ()]
    names += [REPEAT_PREFIX + service["name"] for service in document.get("services") or ()]
    found = {name: rendezvous_owner(name, live) for name in names}
    return {name: owner.name for name, owner in found.items() if owner is not None}


def _get(address: str, path: str) -> State:
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        body = answer.read()
        if answer.status != http.client.OK:
            raise NoAnswer(f"{address}{path}: status {answer.status}")
        state = json.loads(body)
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise NoAnswer(f"{address}{path}: {error}") from None
    finally:
        connection.close()
    if not isinstance(state, dict):
        raise NoAnswer(f"{address}{path}: no JSON object")
    return state


def render(state: State) -> list[str]:
    """The lines of the table."""
    versions = state["versions"]
    confirmed = "confirmed" if state["confirmed"] else "NOT CONFIRMED: no majority answered in time"
    lines = [
        f"view       {state['epoch']} ({confirmed})",
        f"chain      {' -> '.join(state['chain']) or '-'}",
        f"members    {', '.join(state['core']) or '-'}",
        f"generation {_shown(state['generation'])}",
        "versions   " + ", ".join(f"{part} {_version(value)}" for part, value in versions.items()),
    ]
    lines += ["", *_gateways(state)]
    if state.get("owners"):
        lines += ["", *_table(("role", "owner"), sorted(state["owners"].items()))]
    return lines


def _gateways(state: State) -> list[str]:
    if state["gateways_from"] is None:
        return ["gateways   unknown: the chain's tail did not tell"]
    if not state["gateways"]:
        return ["gateways   none has pulled from the tail"]
    heads = ("gateway", "address", "serving", "silent s", "configuration", "hosts", "roster")
    return _table(
        heads, [_gateway(entry) for entry in sorted(state["gateways"], key=lambda e: e["name"])]
    )


def _gateway(entry: State) -> tuple[str, ...]:
    return (
        entry["name"],
        entry["address"],
        "yes" if entry["serving"] else "no",
        f"{entry['silent_s']:.1f}",
        "behind" if entry["configuration_behind"] else "newest",
        *("newest" if not entry[part] else f"{entry[part]} behind" for part in ("hosts", "roster")),
    )


def _table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(heads, *rows, strict=True)]
    lines = [heads, *rows]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in lines
    ]


def _version(value: int | None) -> str:
    """Versions made in a view show as epoch and count."""
    if value is None:
        return "unknown"
    return f"{value >> 32}.{value & 0xFFFFFFFF}" if value >> 32 else str(value)


def _shown(value: int | None) -> str:
    return "unknown" if value is None else str(value)
