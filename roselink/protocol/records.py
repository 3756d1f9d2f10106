"""Typed messages as struct records.

A message is a frozen dataclass marked with `@record(number)`. Its fields may be int (64 bits,
signed), float, bool, str, bytes, an IntEnum, another dataclass, `tuple[X, ...]` of these, or `X |
None`. The codec of each class is built once, from its annotations. They are resolved at run time,
so a module that defines records can't import the types of their fields under `TYPE_CHECKING`.

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
from dataclasses import Field, fields, is_dataclass
from enum import IntEnum
from typing import Any, ClassVar, Generic, Protocol, TypeAlias, TypeVar

from roselink.protocol.exceptions import (
    MalformedRecordError,
    RecordNumberTakenError,
    TooManyItemsError,
    TruncatedFieldError,
    UnknownRecordError,
    UnsupportedFieldTypeError,
)

if typing.TYPE_CHECKING:
    from collections.abc import Callable

# Maximum number of items in a tuple; a larger count indicates a corrupt or malicious record.
MAX_ITEMS = 1_000_000

_INT = struct.Struct("!q")
_FLOAT = struct.Struct("!d")
_SIZE = struct.Struct("!I")
_FLAG = struct.Struct("!?")


class Record(Protocol):
    """An instance of a dataclass that is registered with `@record`, or a field of one."""

    __dataclass_fields__: ClassVar[dict[str, Field[Any]]]


RecordType = TypeVar("RecordType", bound=Record)
Value = TypeVar("Value")
# A field's annotation as resolved by `typing.get_type_hints`.
FieldType: TypeAlias = type[Any] | types.GenericAlias | types.UnionType


class _Cursor:
    """A read position in the bytes of a record."""

    __slots__ = ("data", "position")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def read(self, layout: struct.Struct) -> Any:
        """Read the single value that `layout` describes."""
        value = layout.unpack_from(self.data, self.position)[0]
        self.position += layout.size
        return value

    def read_bytes(self) -> bytes:
        size = self.read(_SIZE)
        end = self.position + size
        if end > len(self.data):
            raise TruncatedFieldError(size, len(self.data) - self.position)
        value = self.data[self.position : end]
        self.position = end
        return value


class _Codec(Generic[Value]):
    """Functions that append values of one type to a record and read them from one."""

    __slots__ = ("pack", "unpack")

    def __init__(
        self, pack: Callable[[Value, bytearray], None], unpack: Callable[[_Cursor], Value]
    ) -> None:
        self.pack = pack
        self.unpack = unpack


def record(number: int) -> Callable[[type[RecordType]], type[RecordType]]:
    """Decorator that registers a dataclass under a number that is unique in the project.

    Args:
        number: from 0 to 65535.

    Raises:
        RecordNumberTakenError: another class is registered under the number.
    """

    def register(record_class: type[RecordType]) -> type[RecordType]:
        registered = _classes_by_number.get(number)
        if registered is not None and registered.__qualname__ != record_class.__qualname__:
            raise RecordNumberTakenError(number, registered.__qualname__)
        _classes_by_number[number] = record_class
        _numbers_by_class[record_class] = number
        return record_class

    return register


def record_number_of(message: Record) -> int:
    """The number under which the message's class is registered.

    Raises:
        KeyError: the class is not registered.
    """
    return _numbers_by_class[type(message)]


def record_number_of_class(record_class: type[Record]) -> int:
    """The number under which the class is registered.

    Raises:
        KeyError: the class is not registered.
    """
    return _numbers_by_class[record_class]


def encode(message: Record) -> bytes:
    """The message's fields as bytes; the record number is not included.

    Raises:
        UnsupportedFieldTypeError: a field of the class has a type without a codec.
    """
    packed = bytearray()
    _codec_of(type(message)).pack(message, packed)
    return bytes(packed)


def decode(number: int, data: bytes) -> Any:
    """Decode a message of the class that is registered under the number.

    Raises:
        RecordError: the number is unknown, or the bytes are not exactly one record of that class.
    """
    record_class = _classes_by_number.get(number)
    if record_class is None:
        raise UnknownRecordError(number)
    return decode_as(record_class, data)


def decode_as(record_class: type[RecordType], data: bytes) -> RecordType:
    """Decode a message of the class.

    Raises:
        RecordError: the bytes are not exactly one record of the class.
    """
    cursor = _Cursor(data)
    try:
        message: RecordType = _codec_of(record_class).unpack(cursor)
    except (struct.error, ValueError) as error:
        raise MalformedRecordError(record_class.__name__, str(error)) from None
    if cursor.position != len(data):
        surplus = len(data) - cursor.position
        raise MalformedRecordError(record_class.__name__, f"{surplus} trailing bytes")
    return message


def _codec_of(field_type: FieldType) -> _Codec[Any]:
    codec = _codecs.get(field_type)
    if codec is None:
        codec = _build_codec(field_type)
        _codecs[field_type] = codec
    return codec


def _build_codec(field_type: FieldType) -> _Codec[Any]:
    origin = typing.get_origin(field_type)
    if origin is tuple:
        return _tuple_codec(field_type)
    if origin in (types.UnionType, typing.Union):
        return _optional_codec(field_type)
    if isinstance(field_type, type) and issubclass(field_type, IntEnum):
        return _enum_codec(field_type)
    if isinstance(field_type, type) and is_dataclass(field_type):
        return _dataclass_codec(field_type)
    raise UnsupportedFieldTypeError(field_type, "no codec for this type")


def _pack_bytes(value: bytes, packed: bytearray) -> None:
    packed.extend(_SIZE.pack(len(value)))
    packed.extend(value)


def _pack_text(value: str, packed: bytearray) -> None:
    _pack_bytes(value.encode(), packed)


def _unpack_text(cursor: _Cursor) -> str:
    return cursor.read_bytes().decode()


def _scalar_codec(layout: struct.Struct) -> _Codec[float]:
    return _Codec(
        lambda value, packed: packed.extend(layout.pack(value)),
        lambda cursor: cursor.read(layout),
    )


def _enum_codec(enum_class: type[IntEnum]) -> _Codec[IntEnum]:
    return _Codec(
        lambda value, packed: packed.extend(_INT.pack(value)),
        lambda cursor: enum_class(cursor.read(_INT)),
    )


def _optional_codec(field_type: FieldType) -> _Codec[Any]:
    arguments = typing.get_args(field_type)
    value_types = [argument for argument in arguments if argument is not types.NoneType]
    if len(value_types) != 1 or len(arguments) - len(value_types) != 1:
        raise UnsupportedFieldTypeError(field_type, "a union in a record is `X | None`")
    return _optional_of(_codec_of(value_types[0]))


def _optional_of(codec: _Codec[Value]) -> _Codec[Value | None]:
    pack = codec.pack
    unpack = codec.unpack

    def pack_optional(value: Value | None, packed: bytearray) -> None:
        packed.extend(_FLAG.pack(value is not None))
        if value is not None:
            pack(value, packed)

    return _Codec(pack_optional, lambda cursor: unpack(cursor) if cursor.read(_FLAG) else None)


def _tuple_codec(field_type: FieldType) -> _Codec[Any]:
    arguments = typing.get_args(field_type)
    if arguments[1:] != (Ellipsis,):
        raise UnsupportedFieldTypeError(field_type, "a tuple in a record is `tuple[X, ...]`")
    return _tuple_of(_codec_of(arguments[0]))


def _tuple_of(codec: _Codec[Value]) -> _Codec[tuple[Value, ...]]:
    pack = codec.pack
    unpack = codec.unpack

    def pack_items(items: tuple[Value, ...], packed: bytearray) -> None:
        packed.extend(_SIZE.pack(len(items)))
        for item in items:
            pack(item, packed)

    def unpack_items(cursor: _Cursor) -> tuple[Value, ...]:
        count = cursor.read(_SIZE)
        if count > MAX_ITEMS:
            raise TooManyItemsError(count)
        return tuple([unpack(cursor) for _ in range(count)])

    return _Codec(pack_items, unpack_items)


def _dataclass_codec(record_class: type[RecordType]) -> _Codec[RecordType]:
    hints = typing.get_type_hints(record_class)
    codecs = [(field.name, _codec_of(hints[field.name])) for field in fields(record_class)]
    packers = [(name, codec.pack) for name, codec in codecs]
    unpackers = [codec.unpack for _, codec in codecs]

    def pack(message: RecordType, packed: bytearray) -> None:
        for name, pack_field in packers:
            pack_field(getattr(message, name), packed)

    def unpack(cursor: _Cursor) -> RecordType:
        return record_class(*[unpack_field(cursor) for unpack_field in unpackers])

    return _Codec(pack, unpack)


_classes_by_number: dict[int, type[Record]] = {}
_numbers_by_class: dict[type[Record], int] = {}
# The values are `_Codec[Any]`, as the codecs are of unrelated types.
_codecs: dict[FieldType, _Codec[Any]] = {
    bool: _scalar_codec(_FLAG),
    int: _scalar_codec(_INT),
    float: _scalar_codec(_FLOAT),
    bytes: _Codec(_pack_bytes, _Cursor.read_bytes),
    str: _Codec(_pack_text, _unpack_text),
}
