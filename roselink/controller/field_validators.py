"""Validators of a document's single values, lists and objects, for voluptuous schemas.

Each validator returns the value, or raises `voluptuous.Invalid` with a reason for the operator.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from voluptuous import ALLOW_EXTRA, In, Invalid, Marker, MultipleInvalid, Optional, Schema

JsonValue: TypeAlias = "bool | int | float | str | list[JsonValue] | dict[str, JsonValue] | None"
# A JSON object; callers validate its fields before they use them.
JsonObject: TypeAlias = Mapping[str, Any]
Validator: TypeAlias = Callable[[JsonValue], JsonValue]
Fields: TypeAlias = dict[Marker, Validator | In]

# The largest integer of a record's field (signed, 64 bits).
MAX_INTEGER = 2**63 - 1
# Errors that are collected from one list.
MAX_ERRORS = 100


def non_empty_text(value: JsonValue) -> JsonValue:
    """Text of at least one character, without lone surrogates."""
    if not isinstance(value, str) or not value:
        raise Invalid("must be text")
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError:
            raise Invalid("holds half a character") from None
    return value


def any_text(value: JsonValue) -> JsonValue:
    """Text, which may be empty."""
    return non_empty_text(value) if value != "" else value


def _require_number(value: JsonValue) -> float:
    """The value as a finite number that a record can hold; booleans are not numbers."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Invalid("must be a number")
    if not -MAX_INTEGER <= value <= MAX_INTEGER:  # rejects NaN and infinities too
        raise Invalid("is out of range")
    return value


def non_negative_number(value: JsonValue) -> JsonValue:
    """A number of at least 0."""
    if _require_number(value) < 0:
        raise Invalid("must not be below 0")
    return value


def integer(value: JsonValue) -> JsonValue:
    """A number without a fraction."""
    number = _require_number(value)
    if number != math.floor(number):
        raise Invalid("must be a whole number")
    return value


def non_negative_integer(value: JsonValue) -> JsonValue:
    """An integer of at least 0."""
    return non_negative_number(integer(value))


def positive_integer(value: JsonValue) -> JsonValue:
    """An integer above 0."""
    return positive_number(integer(value))


def positive_number(value: JsonValue) -> JsonValue:
    """A number above 0."""
    if _require_number(value) <= 0:
        raise Invalid("must be above 0")
    return value


def path_prefix(value: JsonValue) -> JsonValue:
    """A path prefix: a slash at each end."""
    non_empty_text(value)
    if not (str(value).startswith("/") and str(value).endswith("/")):
        raise Invalid("must begin and end with a slash")
    return value


def boolean(value: JsonValue) -> JsonValue:
    """True or false."""
    if not isinstance(value, bool):
        raise Invalid("must be true or false")
    return value


def nullable(validator: Validator) -> Validator:
    """A validator that also accepts null, which counts as absent."""

    def validate(value: JsonValue) -> JsonValue:
        return None if value is None else validator(value)

    return validate


def list_of(item_validator: Validator) -> Validator:
    """A list whose entries are all valid; the errors of all are collected, up to `MAX_ERRORS`."""

    def validate(value: JsonValue) -> JsonValue:
        if not isinstance(value, list):
            raise Invalid("must be a list")
        errors: list[Invalid] = []
        for index, item in enumerate(value):
            try:
                item_validator(item)
            except Invalid as invalid:
                invalid.prepend([index])
                errors.extend(invalid.errors if isinstance(invalid, MultipleInvalid) else [invalid])
                if len(errors) >= MAX_ERRORS:
                    break
        if errors:
            raise MultipleInvalid(errors)
        return value

    return validate


def object_with(fields: Fields) -> Validator:
    """An object with these fields; unknown fields are ignored."""
    schema = Schema(fields, extra=ALLOW_EXTRA)

    def validate(value: JsonValue) -> JsonValue:
        if not isinstance(value, dict):
            raise Invalid("must be an object")
        validated: JsonValue = schema(value)
        return validated

    return validate


def optional_field(name: str, validator: Validator) -> Fields:
    """A field that may be absent or null, for use in `object_with`."""
    return {Optional(name): nullable(validator)}
