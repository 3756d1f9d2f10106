"""The check of an operator's configuration document: shape by voluptuous, then what ties its parts together.

Fields that are not known here are passed over. What is absent and has a default is not a fault; null counts
as absent. Whatever passes can be read by `Configuration.from_document`.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NoReturn

from voluptuous import ALLOW_EXTRA, In, Invalid, MultipleInvalid, Optional, Required, Schema

from roselink.model.configuration import RouteKind

MOST_FAULTS = 100  # faults reported of one document
MOST_NUMBER = 2**63 - 1  # what a record's whole number holds


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong: where (as in `routes[2].timeout_ms`; empty: the whole document), and why."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}" if self.path else self.reason


@dataclass(frozen=True, slots=True)
class Checked:
    """A document without faults, and its number."""

    generation: int
    document: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Refused:
    """Why a document is invalid: at least one fault."""

    faults: tuple[Fault, ...]


def check(body: bytes) -> Checked | Refused:
    """Check the bytes of a document."""
    try:
        document = json.loads(body.decode("utf-8"), parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        return Refused((Fault("", f"is not JSON: {error}"),))
    return check_document(document)


def check_document(document: object) -> Checked | Refused:
    """Check a document that has been read from JSON."""
    try:
        _SCHEMA(document)
    except MultipleInvalid as invalid:
        return Refused(tuple(_fault(error) for error in invalid.errors[:MOST_FAULTS]))
    except RecursionError:
        return Refused((Fault("", "is nested too deeply"),))
    assert isinstance(document, dict)
    faults = list(_relations(document))
    if faults:
        return Refused(tuple(faults[:MOST_FAULTS]))
    return Checked(int(document["generation"]), document)


def _no_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no number")


def _fault(error: Invalid) -> Fault:
    path = ""
    for step in error.path:
        path += f"[{step}]" if isinstance(step, int) else f".{step}" if path else str(step)
    reason = error.msg or "is invalid"
    return Fault(path, {"required key not provided": "is missing"}.get(reason, reason))


# Values. Each takes a value and returns it, or raises `Invalid`.


def _text(value: object) -> object:
    if not isinstance(value, str) or not value:
        raise Invalid("must be text")
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError:
            raise Invalid("holds half a character") from None
    return value


def _any_text(value: object) -> object:
    return _text(value) if value != "" else value


def _number(value: object) -> object:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Invalid("must be a number")
    if not -MOST_NUMBER <= value <= MOST_NUMBER:  # also infinite
        raise Invalid("is out of range")
    return value


def _amount(value: Any) -> object:
    _number(value)
    if value < 0:
        raise Invalid("must not be below 0")
    return value


def _whole(value: Any) -> object:
    _number(value)
    if value != math.floor(value):
        raise Invalid("must be a whole number")
    return value


def _count(value: Any) -> object:
    return _amount(_whole(value))


def _generation(value: Any) -> object:
    _whole(value)
    if value <= 0:
        raise Invalid("must be above 0")
    return value


def _timeout(value: Any) -> object:
    _number(value)
    if value <= 0:
        raise Invalid("must be above 0")
    return value


def _prefix(value: object) -> object:
    _text(value)
    if not (str(value).startswith("/") and str(value).endswith("/")):
        raise Invalid("must begin and end with a slash")
    return value


def _flag(value: object) -> object:
    if not isinstance(value, bool):
        raise Invalid("must be true or false")
    return value


def _or_absent(inner: Callable[[Any], object]) -> Callable[[Any], object]:
    def validate(value: Any) -> object:
        return None if value is None else inner(value)

    return validate


def _list_of(entry: Callable[[Any], object]) -> Callable[[Any], object]:
    def validate(value: Any) -> object:
        if not isinstance(value, list):
            raise Invalid("must be a list")
        errors: list[Invalid] = []
        for index, item in enumerate(value):
            try:
                entry(item)
            except Invalid as invalid:
                invalid.prepend([index])
                errors.extend(invalid.errors if isinstance(invalid, MultipleInvalid) else [invalid])
                if len(errors) >= MOST_FAULTS:
                    break
        if errors:
            raise MultipleInvalid(errors)
        return value

    return validate


def _object(fields: dict[Any, Any]) -> Callable[[Any], object]:
    schema = Schema(fields, extra=ALLOW_EXTRA)

    def validate(value: Any) -> object:
        if not isinstance(value, dict):
            raise Invalid("must be an object")
        return schema(value)

    return validate


def _may(name: str, validator: Callable[[Any], object]) -> dict[Any, Any]:
    return {Optional(name): _or_absent(validator)}


_KINDS = In([kind.value for kind in RouteKind], msg="must be idempotent, non_idempotent or streaming")

_SHARE = _object({Required("service"): _text, Required("weight"): _amount})

_ROUTE = _object(
    {
        Required("name"): _text,
        Required("hostname"): _text,
        Required("path_prefix"): _prefix,
        Required("kind"): _KINDS,
    }
    | _may("timeout_ms", _timeout)
    | _may("target_latency_ms", _amount)
    | _may("gap_aim_ms", _amount)
    | _may("priority", _whole)
    | _may("max_attempts", _count)
    | _may("public", _flag)
    | _may("session_affinity", _flag)
    | _may("resumable", _flag)
    | _may("service", _text)
    | _may("traffic_split", _list_of(_SHARE))
)

_ENGINE = _object(_may("capacity", _count) | _may("kv_capacity", _count))

_SERVICE = _object(
    {Required("name"): _text}
    | _may("health_check", _any_text)
    | _may("max_connections", _count)
    | _may("engine", _ENGINE)
)

_TENANT = _object(
    {Required("name"): _text}
    | _may("api_keys", _list_of(_text))
    | _may("priority", _whole)
    | _may("unit", _any_text)
    | _may("plain_tokens", _count)
    | _may("rate_per_s", _amount)
    | _may("burst", _amount)
)

_LIMITS = _object(
    _may("max_header_bytes", _count)
    | _may("max_body_bytes", _count)
    | _may("header_timeout_ms", _amount)
    | _may("idle_timeout_ms", _amount)
)

_DOCUMENT = _object(
    {
        Required("generation"): _generation,
        Required("routes"): _list_of(_ROUTE),
        Required("services"): _list_of(_SERVICE),
    }
    | _may("limits", _LIMITS)
    | _may("tenants", _list_of(_TENANT))
)

_SCHEMA = Schema(_DOCUMENT)


# What ties the parts together; the shapes are right here.


def _relations(document: Mapping[str, Any]) -> Iterable[Fault]:
    services = {service["name"] for service in document["services"]}
    for index, route in enumerate(document["routes"]):
        yield from _route_relations(f"routes[{index}]", route, services)
    yield from _repeated("routes", document["routes"], "name", lambda route: route["name"])
    yield from _repeated("services", document["services"], "name", lambda service: service["name"])
    yield from _repeated(
        "routes",
        document["routes"],
        "path_prefix",
        lambda route: (route["hostname"].lower(), route["path_prefix"]),
    )
    tenants = document.get("tenants") or []
    yield from _repeated("tenants", tenants, "name", lambda tenant: tenant["name"])
    yield from _shared_keys(tenants)


def _route_relations(path: str, route: Mapping[str, Any], services: set[str]) -> Iterable[Fault]:
    single, split = route.get("service"), route.get("traffic_split") or []
    if single is None and not split:
        yield Fault(f"{path}.service", "is missing")
    if single is not None and single not in services:
        yield Fault(f"{path}.service", f"no service is named {single!r}")
    for index, part in enumerate(split):
        if part["service"] not in services:
            yield Fault(f"{path}.traffic_split[{index}].service", f"no service is named {part['service']!r}")
    if split and sum(part["weight"] for part in split) <= 0:
        yield Fault(f"{path}.traffic_split", "the weights add up to 0")


def _repeated(
    path: str, entries: list[Any], field: str, identity: Callable[[Any], object]
) -> Iterable[Fault]:
    seen: dict[object, int] = {}
    for index, entry in enumerate(entries):
        first = seen.setdefault(identity(entry), index)
        if first != index:
            yield Fault(f"{path}[{index}].{field}", f"is the same as that of {path}[{first}]")


def _shared_keys(tenants: list[Any]) -> Iterable[Fault]:
    holders: dict[str, int] = {}
    for index, tenant in enumerate(tenants):
        for place, key in enumerate(tenant.get("api_keys") or []):
            holder = holders.setdefault(key, index)
            if holder != index:
                yield Fault(f"tenants[{index}].api_keys[{place}]", f"is also a key of tenants[{holder}]")
