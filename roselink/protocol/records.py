"""Typed messages as struct records.

A message is a frozen dataclass marked with `@record(number)`. Its fields may be int (64 bits,
signed), float, bool, str, bytes, an IntEnum, another dataclass, `tuple[X, ...]` of these, or `X |
None`. The codec of each class is built once, from its annotations.

>>> from dataclasses import dataclass
>>> @record(0xFFF0)
... @dataclass(frozen=True, slots=True)
... class Greeting:
...     name: str
...     visits: tuple[int, ...]
>>> decode(0xFFF0, encode(Greeting("zg", (1, 2))))
Greeting(name='zg', visits=(1, 2))
"""

from __future__ import annotations

import struct
import types
import typing
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from enum import IntEnum
from typing import Any, TypeVar

MAX_ITEMS = 1_000_000  # items of one tuple; more is a torn or hostile record

_INT = struct.Struct("!q")
_FLOAT = struct.Struct("!d")
_SIZE = struct.Struct("!I")
_FLAG = struct.Struct("!?")

Message = TypeVar("Message")
Packer = Callable[[Any, bytearray], None]
Unpacker = Callable[["_Reader"], Any]

_by_number: dict[int, type[Any]] = {}
_numbers: dict[type[Any], int] = {}
_codecs: dict[Any, tuple[Packer, Unpacker]] = {}


class RecordError(ValueError):
    """The bytes are no record of the type that they claim to be."""


def record(number: int) -> Callable[[type[Message]], type[Message]]:
    """Register a dataclass under a number that is unique in the whole project (0 to 65535)."""

    def register(message: type[Message]) -> type[Message]:
        taken = _by_number.get(number)
        if taken is not None and taken.__qualname__ != message.__qualname__:
            raise ValueError(f"record number {number} is taken by {taken.__qualname__}")
        _by_number[number] = message
        _numbers[message] = number
        return message

    return register


def record_number_of(message: object) -> int:
    """The number under which the message's class is registered; raises KeyError for any other
    class.
    """
    return _numbers[type(message)]


def record_number_of_class(message: type[Any]) -> int:
    """The same for a class."""
    return _numbers[message]


def encode(message: object) -> bytes:
    """The message's fields as bytes; its number goes beside them."""
    packed = bytearray()
    _codec(type(message))[0](message, packed)
    return bytes(packed)


def decode(number: int, data: bytes) -> Any:
    """The message of that number; raises `RecordError` when the bytes are not exactly one."""
    message = _by_number.get(number)
    if message is None:
        raise RecordError(f"unknown record {number}")
    reader = _Reader(data)
    try:
        value = _codec(message)[1](reader)
    except (struct.error, ValueError) as error:
        raise RecordError(f"{message.__name__}: {error}") from None
    if reader.at != len(data):
        raise RecordError(f"{message.__name__}: {len(data) - reader.at} bytes too many")
    return value


class _Reader:
    """A place in the bytes of a record."""

    __slots__ = ("at", "data")

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, shape: struct.Struct) -> Any:
        value = shape.unpack_from(self.data, self.at)[0]
        self.at += shape.size
        return value

    def take_bytes(self) -> bytes:
        size = self.take(_SIZE)
        end = self.at + size
        if end > len(self.data):
            raise RecordError("cut short")
        value = self.data[self.at : end]
        self.at = end
        return value


def _codec(kind: Any) -> tuple[Packer, Unpacker]:
    known = _codecs.get(kind)
    if known is None:
        known = _codecs[kind] = _build(kind)
    return known


def _build(kind: Any) -> tuple[Packer, Unpacker]:
    origin = typing.get_origin(kind)
    if origin is tuple:
        return _tuple_codec(typing.get_args(kind))
    if origin in (types.UnionType, typing.Union):
        return _optional_codec(typing.get_args(kind))
    if kind is bool:
        return _scalar_codec(_FLAG)
    if kind is int:
        return _scalar_codec(_INT)
    if kind is float:
        return _scalar_codec(_FLOAT)
    if kind is bytes:
        return _pack_bytes, _Reader.take_bytes
    if kind is str:
        return (lambda value, out: _pack_bytes(value.encode(), out)), (
            lambda reader: reader.take_bytes().decode()
        )
    if isinstance(kind, type) and issubclass(kind, IntEnum):
        return (lambda value, out: out.extend(_INT.pack(value))), (
            lambda reader: kind(reader.take(_INT))
        )
    if is_dataclass(kind):
        return _dataclass_codec(kind)
    raise TypeError(f"a record can't hold {kind!r}")


def _pack_bytes(value: bytes, out: bytearray) -> None:
    out.extend(_SIZE.pack(len(value)))
    out.extend(value)


def _scalar_codec(shape: struct.Struct) -> tuple[Packer, Unpacker]:
    return (lambda value, out: out.extend(shape.pack(value))), (lambda reader: reader.take(shape))


def _optional_codec(choices: tuple[Any, ...]) -> tuple[Packer, Unpacker]:
    inner = [choice for choice in choices if choice is not types.NoneType]
    if len(inner) != 1 or len(choices) != 2:
        raise TypeError("a union in a record is `X | None`")
    pack, unpack = _codec(inner[0])

    def pack_optional(value: Any, out: bytearray) -> None:
        out.extend(_FLAG.pack(value is not None))
        if value is not None:
            pack(value, out)

    return pack_optional, lambda reader: unpack(reader) if reader.take(_FLAG) else None


def _tuple_codec(choices: tuple[Any, ...]) -> tuple[Packer, Unpacker]:
    if len(choices) != 2 or choices[1] is not Ellipsis:
        raise TypeError("a tuple in a record is `tuple[X, ...]`")
    pack, unpack = _codec(choices[0])

    def pack_items(value: Any, out: bytearray) -> None:
        out.extend(_SIZE.pack(len(value)))
        for item in value:
            pack(item, out)

    def unpack_items(reader: _Reader) -> tuple[Any, ...]:
        count = reader.take(_SIZE)
        if count > MAX_ITEMS:
            raise RecordError("too many items")
        return tuple([unpack(reader) for _ in range(count)])

    return pack_items, unpack_items


def _dataclass_codec(kind: Any) -> tuple[Packer, Unpacker]:
    hints = typing.get_type_hints(kind)
    parts = [(field.name, *_codec(hints[field.name])) for field in fields(kind)]

    def pack(value: Any, out: bytearray) -> None:
        for name, pack_field, _ in parts:
            pack_field(getattr(value, name), out)

    def unpack(reader: _Reader) -> Any:
        return kind(*[unpack_field(reader) for _, _, unpack_field in parts])

    return pack, unpack
