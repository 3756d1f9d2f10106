"""The check of an operator's configuration document: shape by voluptuous, then what ties its parts
together.

Fields that are not known here are passed over. What is absent and has a default is not a fault;
null counts as absent. Whatever passes can be read by `Configuration.from_document`.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NoReturn

from voluptuous import In, Invalid, MultipleInvalid, Required, Schema

from roselink.controller.field_validators import (
    amount,
    any_text,
    count,
    flag,
    list_of,
    mapping,
    may,
    positive,
    positive_whole,
    prefix,
    text,
    whole,
)
from roselink.model.configuration import RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

MOST_FAULTS = 100  # faults reported of one document


@dataclass(frozen=True, slots=True)
class ValidationFault:
    """One thing that is wrong: where (as in `routes[2].timeout_ms`; empty: the whole document), and
    why.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}" if self.path else self.reason


@dataclass(frozen=True, slots=True)
class ValidDocument:
    """A document without faults, and its number."""

    generation: int
    document: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ValidationFailure:
    """Why a document is invalid: at least one fault."""

    faults: tuple[ValidationFault, ...]


def validate(body: bytes) -> ValidDocument | ValidationFailure:
    """Check the bytes of a document."""
    document = parse_json(body)
    return document if isinstance(document, ValidationFailure) else validate_document(document)


def parse_json(body: bytes) -> Any | ValidationFailure:
    """Read bytes as JSON."""
    try:
        return json.loads(body.decode("utf-8"), parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        return ValidationFailure((ValidationFault("", f"is not JSON: {error}"),))


def validate_document(document: object) -> ValidDocument | ValidationFailure:
    """Check a document that has been read from JSON."""
    try:
        _SCHEMA(document)
    except MultipleInvalid as invalid:
        return ValidationFailure(tuple(_fault(error) for error in invalid.errors[:MOST_FAULTS]))
    except RecursionError:
        return ValidationFailure((ValidationFault("", "is nested too deeply"),))
    assert isinstance(document, dict)
    faults = list(_relations(document))
    if faults:
        return ValidationFailure(tuple(faults[:MOST_FAULTS]))
    return ValidDocument(int(document["generation"]), document)


def _no_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no number")


def _fault(error: Invalid) -> ValidationFault:
    path = ""
    for step in error.path:
        path += f"[{step}]" if isinstance(step, int) else f".{step}" if path else str(step)
    reason = error.msg or "is invalid"
    return ValidationFault(path, {"required key not provided": "is missing"}.get(reason, reason))


_KINDS = In(
    [kind.value for kind in RouteKind], msg="must be idempotent, non_idempotent or streaming"
)

_SHARE = mapping({Required("service"): text, Required("weight"): amount})

_ROUTE = mapping(
    {
        Required("name"): text,
        Required("hostname"): text,
        Required("path_prefix"): prefix,
        Required("kind"): _KINDS,
    }
    | may("timeout_ms", positive)
    | may("target_latency_ms", amount)
    | may("gap_aim_ms", amount)
    | may("priority", whole)
    | may("max_attempts", count)
    | may("public", flag)
    | may("session_affinity", flag)
    | may("resumable", flag)
    | may("service", text)
    | may("traffic_split", list_of(_SHARE))
)

_ENGINE = mapping(may("capacity", count) | may("kv_capacity", count))

_SERVICE = mapping(
    {Required("name"): text}
    | may("health_check", any_text)
    | may("max_connections", count)
    | may("engine", _ENGINE)
)

_TENANT = mapping(
    {Required("name"): text}
    | may("api_keys", list_of(text))
    | may("priority", whole)
    | may("unit", any_text)
    | may("plain_tokens", count)
    | may("rate_per_s", amount)
    | may("burst", amount)
)

_LIMITS = mapping(
    may("max_header_bytes", count)
    | may("max_body_bytes", count)
    | may("header_timeout_ms", amount)
    | may("idle_timeout_ms", amount)
)

_DOCUMENT = mapping(
    {
        Required("generation"): positive_whole,
        Required("routes"): list_of(_ROUTE),
        Required("services"): list_of(_SERVICE),
    }
    | may("limits", _LIMITS)
    | may("tenants", list_of(_TENANT))
)

_SCHEMA = Schema(_DOCUMENT)


# What ties the parts together; the shapes are right here.


def _relations(document: Mapping[str, Any]) -> Iterable[ValidationFault]:
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


def _route_relations(
    path: str, route: Mapping[str, Any], services: set[str]
) -> Iterable[ValidationFault]:
    single, split = route.get("service"), route.get("traffic_split") or []
    if single is None and not split:
        yield ValidationFault(f"{path}.service", "is missing")
    if single is not None and single not in services:
        yield ValidationFault(f"{path}.service", f"no service is named {single!r}")
    for index, part in enumerate(split):
        if part["service"] not in services:
            yield ValidationFault(
                f"{path}.traffic_split[{index}].service", f"no service is named {part['service']!r}"
            )
    if split and sum(part["weight"] for part in split) <= 0:
        yield ValidationFault(f"{path}.traffic_split", "the weights add up to 0")


def _repeated(
    path: str, entries: list[Any], field: str, identity: Callable[[Any], object]
) -> Iterable[ValidationFault]:
    seen: dict[object, int] = {}
    for index, entry in enumerate(entries):
        first = seen.setdefault(identity(entry), index)
        if first != index:
            yield ValidationFault(
                f"{path}[{index}].{field}", f"is the same as that of {path}[{first}]"
            )


def _shared_keys(tenants: list[Any]) -> Iterable[ValidationFault]:
    holders: dict[str, int] = {}
    for index, tenant in enumerate(tenants):
        for place, key in enumerate(tenant.get("api_keys") or []):
            holder = holders.setdefault(key, index)
            if holder != index:
                yield ValidationFault(
                    f"tenants[{index}].api_keys[{place}]", f"is also a key of tenants[{holder}]"
                )
