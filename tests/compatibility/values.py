"""A message's field values as plain JSON, in the order of the fields, without names."""

from __future__ import annotations

from dataclasses import fields, is_dataclass
from enum import IntEnum


def plain_values(value: object) -> object:
    """The values of a message's fields: lists for messages and tuples, hexadecimal for bytes."""
    if is_dataclass(value):
        return [plain_values(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, tuple):
        return [plain_values(item) for item in value]
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, IntEnum):
        return int(value)
    return value
