"""The fleet's status for operators: fetched from one controller and the chain's tail, as a table.

Only the chain's tail receives the gateways' pulls, so the status of another controller is completed
with the tail's gateways. The owners of shared budgets are computed from the live gateways, by the
same hash as in the gateways (`roselink.budgets.ownership`).
"""

from __future__ import annotations

import http.client
import json
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict, cast

from roselink.budgets.ownership import rendezvous_owner
from roselink.budgets.quota_client import KEY_PREFIX as QUOTA_PREFIX
from roselink.budgets.retry_budget import KEY_PREFIX as RETRY_BUDGET_PREFIX
from roselink.exceptions import RoselinkError
from roselink.model.fleet import Member

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

REQUEST_TIMEOUT_S = 3.0
# A version of hosts or roster consists of the view's epoch and, in this many low bits, a counter.
COUNTER_BITS = 32
COUNTER_MASK = (1 << COUNTER_BITS) - 1

JsonObject = dict[str, Any]


class GatewayStatus(TypedDict):
    """One gateway as the tail knows it, with how far its versions are behind."""

    name: str
    address: str
    serving: bool
    silent_s: float
    configuration_behind: bool
    hosts: int
    roster: int


class DiskFields(TypedDict):
    """The disk of the queried controller; `checked_s` is None before the first check."""

    healthy: bool
    checks: int
    damaged: int
    checked_s: float | None


class Versions(TypedDict):
    """The newest versions that a controller knows; None where it cannot confirm one."""

    configuration: int | None
    hosts: int | None
    roster: int | None


class FleetStatus(TypedDict):
    """The document of a controller's `/status`, and what `fetch_status` adds to it."""

    epoch: int
    is_tail: bool
    tail: str | None
    core: list[str]
    chain: list[str]
    confirmed: bool
    generation: int | None
    versions: Versions
    disk: NotRequired[DiskFields]
    gateways: list[GatewayStatus]
    # Added here: the operator address that returned `gateways`, and the owner of each budget.
    gateways_from: str | None
    owners: dict[str, str]


class StatusUnavailableError(RoselinkError):
    """A controller did not respond, or not with a JSON object.

    Attributes:
        address: the controller's operator address.
        path: the requested path of its API.
        reason: what went wrong.
    """

    code = "STA-001"

    def __init__(self, address: str, path: str, reason: str) -> None:
        """Create the message from the address, the path and the reason."""
        super().__init__(f"{address}{path}: {reason}")
        self.address = address
        self.path = path
        self.reason = reason


def fetch_status(address: str) -> FleetStatus:
    """Fetch the status that a controller knows, completed by the tail's gateways and the owners.

    What the tail or `/config/get` does not return is left out.

    Args:
        address: the controller's operator address, as "ip:port".

    Raises:
        StatusUnavailableError: the controller itself does not respond.
    """
    status = cast("FleetStatus", _fetch_json(address, "/status"))
    tail = status.get("tail")
    status["gateways_from"] = address if status.get("is_tail") else None
    if tail is not None and not status.get("is_tail"):
        tail_address = f"{tail.rpartition(':')[0]}:{address.rpartition(':')[2]}"
        _complete_from_tail(status, tail_address)
    try:
        configuration = _fetch_json(address, "/config/get")
        status["owners"] = budget_owners(configuration, status["gateways"])
    except StatusUnavailableError:
        status["owners"] = {}
    return status


def _complete_from_tail(status: FleetStatus, tail_address: str) -> None:
    try:
        tail_status = cast("FleetStatus", _fetch_json(tail_address, "/status"))
    except StatusUnavailableError:
        return
    if tail_status.get("is_tail"):
        status["gateways"] = tail_status["gateways"]
        status["gateways_from"] = tail_address
        status["versions"]["hosts"] = tail_status["versions"]["hosts"]
        status["versions"]["roster"] = tail_status["versions"]["roster"]


def budget_owners(configuration: JsonObject, gateways: Iterable[GatewayStatus]) -> dict[str, str]:
    """Return the name of the gateway that owns each tenant's quota and each retry budget, by key.

    Args:
        configuration: the operator's document, with tenants and services.
        gateways: all gateways; only those that serve own keys.
    """
    serving_members = [
        Member(gateway["name"], gateway["address"], 0) for gateway in gateways if gateway["serving"]
    ]
    keys = [QUOTA_PREFIX + tenant["name"] for tenant in configuration.get("tenants") or ()]
    keys += [
        RETRY_BUDGET_PREFIX + service["name"] for service in configuration.get("services") or ()
    ]
    owner_by_key = {key: rendezvous_owner(key, serving_members) for key in keys}
    return {key: owner.name for key, owner in owner_by_key.items() if owner is not None}


def _fetch_json(address: str, path: str) -> JsonObject:
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
        if response.status != http.client.OK:
            raise StatusUnavailableError(address, path, f"status {response.status}")
        document = json.loads(body)
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise StatusUnavailableError(address, path, str(error)) from None
    finally:
        connection.close()
    if not isinstance(document, dict):
        raise StatusUnavailableError(address, path, "not a JSON object")
    return document


def render(status: FleetStatus) -> list[str]:
    """Return the lines of the table."""
    versions = cast("dict[str, int | None]", status["versions"])
    confirmed = (
        "confirmed" if status["confirmed"] else "NOT CONFIRMED: no majority responded in time"
    )
    lines = [
        f"view       {status['epoch']} ({confirmed})",
        f"chain      {' -> '.join(status['chain']) or '-'}",
        f"members    {', '.join(status['core']) or '-'}",
        f"generation {_text_or_unknown(status['generation'])}",
        "versions   "
        + ", ".join(f"{kind} {_version_text(value)}" for kind, value in versions.items()),
    ]
    if "disk" in status:
        lines.append(f"disk       {_disk_text(status['disk'])}")
    lines += ["", *_gateway_lines(status)]
    if status.get("owners"):
        lines += ["", *_table(("role", "owner"), sorted(status["owners"].items()))]
    return lines


def _disk_text(disk: DiskFields) -> str:
    condition = "healthy" if disk["healthy"] else "NOT HEALTHY"
    if disk["checked_s"] is None:
        return f"{condition}, not read back yet"
    return (
        f"{condition}, read back {disk['checked_s']:.0f} s ago,"
        f" {disk['damaged']} damaged in {disk['checks']} reads"
    )


def _gateway_lines(status: FleetStatus) -> list[str]:
    if status["gateways_from"] is None:
        return ["gateways   unknown: no status from the chain's tail"]
    if not status["gateways"]:
        return ["gateways   none has pulled from the tail"]
    headers = ("gateway", "address", "serving", "silent s", "configuration", "hosts", "roster")
    by_name = sorted(status["gateways"], key=lambda gateway: gateway["name"])
    return _table(headers, [_gateway_row(gateway) for gateway in by_name])


def _gateway_row(gateway: GatewayStatus) -> tuple[str, ...]:
    return (
        gateway["name"],
        gateway["address"],
        "yes" if gateway["serving"] else "no",
        f"{gateway['silent_s']:.1f}",
        "behind" if gateway["configuration_behind"] else "newest",
        _lag_text(gateway["hosts"]),
        _lag_text(gateway["roster"]),
    )


def _lag_text(versions_behind: int) -> str:
    return f"{versions_behind} behind" if versions_behind else "newest"


def _table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(headers, *rows, strict=True)]
    lines = [headers, *rows]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in lines
    ]


def _version_text(value: int | None) -> str:
    """The version as text; one that has an epoch is shown as epoch and counter."""
    if value is not None and value >> COUNTER_BITS:
        return f"{value >> COUNTER_BITS}.{value & COUNTER_MASK}"
    return _text_or_unknown(value)


def _text_or_unknown(value: int | None) -> str:
    return "unknown" if value is None else str(value)
