"""Validation of an operator's configuration document.

Its shape is validated by a voluptuous schema, then the references between its sections. Unknown
fields are ignored. An absent field that has a default is not a fault; null counts as absent.
`Configuration.from_document` can read every valid document.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, NoReturn

from voluptuous import In, Invalid, MultipleInvalid, Required, Schema

from roselink.controller.field_validators import (
    Fields,
    JsonObject,
    JsonValue,
    any_text,
    boolean,
    integer,
    list_of,
    non_empty_text,
    non_negative_integer,
    non_negative_number,
    object_with,
    optional_field,
    path_prefix,
    positive_integer,
    positive_number,
)
from roselink.model.configuration import RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable, Sequence

# Faults that are reported for one document.
MAX_FAULTS = 100


@dataclass(frozen=True, slots=True)
class ValidationFault:
    """One fault of a document, as the operator gets it (JSON with these field names).

    Attributes:
        path: its location, as in `routes[2].timeout_ms`; empty for the document itself.
        reason: the reason, for the operator.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """The fault in one line."""
        return f"{self.path}: {self.reason}" if self.path else self.reason


@dataclass(frozen=True, slots=True)
class ValidDocument:
    """A document without faults, and its generation."""

    generation: int
    document: JsonObject


@dataclass(frozen=True, slots=True)
class ValidationFailure:
    """Why a document or an update is invalid: at least one fault."""

    faults: tuple[ValidationFault, ...]


def validate(body: bytes) -> ValidDocument | ValidationFailure:
    """Validate the bytes of a document."""
    document = parse_json(body)
    return document if isinstance(document, ValidationFailure) else validate_document(document)


def parse_json(body: bytes) -> JsonValue | ValidationFailure:
    """Parse bytes as JSON (RFC 8259: UTF-8, no NaN and no infinities)."""
    try:
        document: JsonValue = json.loads(body.decode("utf-8"), parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return ValidationFailure((ValidationFault("", f"is not JSON: {error}"),))
    return document


def validate_document(document: JsonValue) -> ValidDocument | ValidationFailure:
    """Validate a document that has been parsed from JSON."""
    try:
        _SCHEMA(document)
    except MultipleInvalid as invalid:
        return ValidationFailure(tuple(_to_fault(error) for error in invalid.errors[:MAX_FAULTS]))
    except RecursionError:
        return ValidationFailure((ValidationFault("", "is nested too deeply"),))
    assert isinstance(document, dict)
    valid: JsonObject = document
    faults = list(_reference_faults(valid))
    if faults:
        return ValidationFailure(tuple(faults[:MAX_FAULTS]))
    return ValidDocument(int(valid["generation"]), valid)


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no number")


def _to_fault(error: Invalid) -> ValidationFault:
    path = ""
    for element in error.path:
        path += (
            f"[{element}]" if isinstance(element, int) else f".{element}" if path else str(element)
        )
    reason = error.msg or "is invalid"
    if reason == "required key not provided":
        reason = "is missing"
    return ValidationFault(path, reason)


_ROUTE_KIND = In(
    [kind.value for kind in RouteKind], msg="must be idempotent, non_idempotent or streaming"
)

_TRAFFIC_SPLIT_ENTRY = object_with(
    {Required("service"): non_empty_text, Required("weight"): non_negative_number}
)

_ROUTE_REQUIRED: Fields = {
    Required("name"): non_empty_text,
    Required("hostname"): non_empty_text,
    Required("path_prefix"): path_prefix,
    Required("kind"): _ROUTE_KIND,
}

_ROUTE = object_with(
    _ROUTE_REQUIRED
    | optional_field("timeout_ms", positive_number)
    | optional_field("target_latency_ms", non_negative_number)
    | optional_field("gap_aim_ms", non_negative_number)
    | optional_field("priority", integer)
    | optional_field("max_attempts", non_negative_integer)
    | optional_field("public", boolean)
    | optional_field("session_affinity", boolean)
    | optional_field("resumable", boolean)
    | optional_field("service", non_empty_text)
    | optional_field("traffic_split", list_of(_TRAFFIC_SPLIT_ENTRY))
)

_ENGINE = object_with(
    optional_field("capacity", non_negative_integer)
    | optional_field("kv_capacity", non_negative_integer)
)

_SERVICE = object_with(
    {Required("name"): non_empty_text}
    | optional_field("health_check", any_text)
    | optional_field("max_connections", non_negative_integer)
    | optional_field("engine", _ENGINE)
)

_TENANT = object_with(
    {Required("name"): non_empty_text}
    | optional_field("api_keys", list_of(non_empty_text))
    | optional_field("priority", integer)
    | optional_field("unit", any_text)
    | optional_field("plain_tokens", non_negative_integer)
    | optional_field("rate_per_s", non_negative_number)
    | optional_field("burst", non_negative_number)
)

_LIMITS = object_with(
    optional_field("max_header_bytes", non_negative_integer)
    | optional_field("max_body_bytes", non_negative_integer)
    | optional_field("header_timeout_ms", non_negative_number)
    | optional_field("idle_timeout_ms", non_negative_number)
)

_DOCUMENT = object_with(
    {
        Required("generation"): positive_integer,
        Required("routes"): list_of(_ROUTE),
        Required("services"): list_of(_SERVICE),
    }
    | optional_field("limits", _LIMITS)
    | optional_field("tenants", list_of(_TENANT))
)

_SCHEMA = Schema(_DOCUMENT)


# References between sections, in documents that the schema has accepted.


def _reference_faults(document: JsonObject) -> Iterable[ValidationFault]:
    services = {service["name"] for service in document["services"]}
    for index, route in enumerate(document["routes"]):
        yield from _route_faults(f"routes[{index}]", route, services)
    yield from _duplicate_faults("routes", document["routes"], "name", lambda route: route["name"])
    yield from _duplicate_faults(
        "services", document["services"], "name", lambda service: service["name"]
    )
    yield from _duplicate_faults(
        "routes",
        document["routes"],
        "path_prefix",
        lambda route: (route["hostname"].lower(), route["path_prefix"]),
    )
    tenants = document.get("tenants") or []
    yield from _duplicate_faults("tenants", tenants, "name", lambda tenant: tenant["name"])
    yield from _shared_api_key_faults(tenants)


def _route_faults(path: str, route: JsonObject, services: set[str]) -> Iterable[ValidationFault]:
    service = route.get("service")
    split = route.get("traffic_split") or []
    if service is None and not split:
        yield ValidationFault(f"{path}.service", "is missing")
    if service is not None and service not in services:
        yield ValidationFault(f"{path}.service", f"no service is named {service!r}")
    for index, target in enumerate(split):
        if target["service"] not in services:
            yield ValidationFault(
                f"{path}.traffic_split[{index}].service",
                f"no service is named {target['service']!r}",
            )
    if split and sum(target["weight"] for target in split) <= 0:
        yield ValidationFault(f"{path}.traffic_split", "the weights add up to 0")


def _duplicate_faults(
    path: str, entries: Sequence[JsonObject], field: str, key: Callable[[JsonObject], Hashable]
) -> Iterable[ValidationFault]:
    seen: dict[Hashable, int] = {}
    for index, entry in enumerate(entries):
        first = seen.setdefault(key(entry), index)
        if first != index:
            yield ValidationFault(
                f"{path}[{index}].{field}", f"is the same as that of {path}[{first}]"
            )


def _shared_api_key_faults(tenants: Sequence[JsonObject]) -> Iterable[ValidationFault]:
    owners: dict[str, int] = {}
    for index, tenant in enumerate(tenants):
        for position, key in enumerate(tenant.get("api_keys") or []):
            owner = owners.setdefault(key, index)
            if owner != index:
                yield ValidationFault(
                    f"tenants[{index}].api_keys[{position}]", f"is also a key of tenants[{owner}]"
                )
