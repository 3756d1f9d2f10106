"""Checks of single values, lists and objects of a document: each returns the value, or raises
`Invalid`.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from voluptuous import ALLOW_EXTRA, Invalid, MultipleInvalid, Optional, Schema

if TYPE_CHECKING:
    from collections.abc import Callable

MOST_NUMBER = 2**63 - 1  # what a record's whole number holds
MOST_ERRORS = 100  # collected of one list


def text(value: object) -> object:
    """Text of at least one character, each of them whole."""
    if not isinstance(value, str) or not value:
        raise Invalid("must be text")
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError:
            raise Invalid("holds half a character") from None
    return value


def any_text(value: object) -> object:
    """Text, also empty."""
    return text(value) if value != "" else value


def number(value: object) -> object:
    """A finite number that a record can hold; true and false are none."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Invalid("must be a number")
    if not -MOST_NUMBER <= value <= MOST_NUMBER:  # also infinite
        raise Invalid("is out of range")
    return value


def amount(value: Any) -> object:
    """A number of at least 0."""
    number(value)
    if value < 0:
        raise Invalid("must not be below 0")
    return value


def whole(value: Any) -> object:
    """A number without a fraction."""
    number(value)
    if value != math.floor(value):
        raise Invalid("must be a whole number")
    return value


def count(value: Any) -> object:
    """A whole number of at least 0."""
    return amount(whole(value))


def positive_whole(value: Any) -> object:
    """A whole number above 0."""
    whole(value)
    if value <= 0:
        raise Invalid("must be above 0")
    return value


def positive(value: Any) -> object:
    """A number above 0."""
    number(value)
    if value <= 0:
        raise Invalid("must be above 0")
    return value


def prefix(value: object) -> object:
    """A path prefix: a slash at each end."""
    text(value)
    if not (str(value).startswith("/") and str(value).endswith("/")):
        raise Invalid("must begin and end with a slash")
    return value


def flag(value: object) -> object:
    """True or false."""
    if not isinstance(value, bool):
        raise Invalid("must be true or false")
    return value


def or_absent(inner: Callable[[Any], object]) -> Callable[[Any], object]:
    """The same check, with null for what is absent."""

    def validate(value: Any) -> object:
        return None if value is None else inner(value)

    return validate


def list_of(entry: Callable[[Any], object]) -> Callable[[Any], object]:
    """A list whose entries each pass; all their faults are collected, up to a bound."""

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
                if len(errors) >= MOST_ERRORS:
                    break
        if errors:
            raise MultipleInvalid(errors)
        return value

    return validate


def mapping(fields: dict[Any, Any]) -> Callable[[Any], object]:
    """An object with these fields; others are passed over."""
    schema = Schema(fields, extra=ALLOW_EXTRA)

    def validate(value: Any) -> object:
        if not isinstance(value, dict):
            raise Invalid("must be an object")
        return schema(value)

    return validate


def may(name: str, validator: Callable[[Any], object]) -> dict[Any, Any]:
    """A field that may be absent, for use in `mapping`."""
    return {Optional(name): or_absent(validator)}
