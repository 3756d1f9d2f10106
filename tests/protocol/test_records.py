"""The record codec: records round-trip, and all other bytes are rejected."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roselink.protocol.exceptions import RecordError
from roselink.protocol.records import decode, encode, record, record_number_of


class Colour(IntEnum):
    """An enumeration for a record's field."""

    RED = 1
    BLUE = 2


@dataclass(frozen=True, slots=True)
class Item:
    """A dataclass inside a record."""

    name: str
    size: int


@record(0xFF00)
@dataclass(frozen=True, slots=True)
class AllFieldTypes:
    """A record with a field of each kind."""

    number: int
    ratio: float
    flag: bool
    text: str
    data: bytes
    colour: Colour
    items: tuple[Item, ...]
    maybe: Item | None


items = st.builds(Item, st.text(), st.integers(-(2**63), 2**63 - 1))
records = st.builds(
    AllFieldTypes,
    st.integers(-(2**63), 2**63 - 1),
    st.floats(allow_nan=False),
    st.booleans(),
    st.text(),
    st.binary(),
    st.sampled_from(Colour),
    st.lists(items).map(tuple),
    st.none() | items,
)


@given(records)
def test_record_round_trips(message: AllFieldTypes) -> None:
    assert decode(record_number_of(message), encode(message)) == message


@given(records, st.data())
def test_truncated_record_is_rejected(message: AllFieldTypes, data: Any) -> None:
    packed = encode(message)
    kept = data.draw(st.integers(0, len(packed) - 1))
    with pytest.raises(RecordError):
        decode(0xFF00, packed[:kept])


@given(records, st.binary(min_size=1))
def test_trailing_bytes_are_rejected(message: AllFieldTypes, surplus: bytes) -> None:
    with pytest.raises(RecordError):
        decode(0xFF00, encode(message) + surplus)


@given(st.binary())
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    with contextlib.suppress(RecordError):
        decode(0xFF00, data)


def test_unknown_record_number_is_rejected() -> None:
    with pytest.raises(RecordError, match="unknown record"):
        decode(0xFF7F, b"")


def test_duplicate_record_number_is_rejected() -> None:
    with pytest.raises(ValueError, match="taken by AllFieldTypes"):

        @record(0xFF00)
        @dataclass(frozen=True, slots=True)
        class Other:
            """Another class under the same number."""

            number: int


@pytest.mark.parametrize("kind", [dict[str, int], tuple[int, str], int | str, complex])
def test_unsupported_field_type_is_rejected(kind: Any) -> None:
    @dataclass(frozen=True)
    class Holder:
        """Has a field of a type without a codec."""

        value: Any

    Holder.__annotations__["value"] = kind
    with pytest.raises(TypeError):
        encode(Holder(0))
