"""The record codec: what goes in comes out, and nothing else is taken for a record."""

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
    """A small enumeration."""

    RED = 1
    BLUE = 2


@dataclass(frozen=True, slots=True)
class Part:
    """A dataclass inside a record."""

    name: str
    size: int


@record(0xFF00)
@dataclass(frozen=True, slots=True)
class Everything:
    """A record with a field of each kind."""

    number: int
    ratio: float
    flag: bool
    text: str
    data: bytes
    colour: Colour
    parts: tuple[Part, ...]
    maybe: Part | None


parts = st.builds(Part, st.text(), st.integers(-(2**63), 2**63 - 1))
everything = st.builds(
    Everything,
    st.integers(-(2**63), 2**63 - 1),
    st.floats(allow_nan=False),
    st.booleans(),
    st.text(),
    st.binary(),
    st.sampled_from(Colour),
    st.lists(parts).map(tuple),
    st.none() | parts,
)


@given(everything)
def test_a_record_comes_back_as_it_was(message: Everything) -> None:
    assert decode(record_number_of(message), encode(message)) == message


@given(everything, st.data())
def test_a_record_cut_short_is_refused(message: Everything, data: Any) -> None:
    packed = encode(message)
    kept = data.draw(st.integers(0, len(packed) - 1))
    with pytest.raises(RecordError):
        decode(0xFF00, packed[:kept])


@given(everything, st.binary(min_size=1))
def test_bytes_behind_a_record_are_refused(message: Everything, more: bytes) -> None:
    with pytest.raises(RecordError):
        decode(0xFF00, encode(message) + more)


@given(st.binary())
def test_any_bytes_are_a_record_or_refused(data: bytes) -> None:
    with contextlib.suppress(RecordError):
        decode(0xFF00, data)


def test_an_unknown_number_is_refused() -> None:
    with pytest.raises(RecordError, match="unknown record"):
        decode(0xFF7F, b"")


def test_a_number_is_given_once() -> None:
    with pytest.raises(ValueError, match="taken by Everything"):

        @record(0xFF00)
        @dataclass(frozen=True, slots=True)
        class Other:
            """Another class under the same number."""

            number: int


@pytest.mark.parametrize("kind", [dict[str, int], tuple[int, str], int | str, complex])
def test_what_a_record_cannot_hold_is_refused(kind: Any) -> None:
    @dataclass(frozen=True)
    class Holder:
        """Holds a value of a kind that has no codec."""

        value: Any

    Holder.__annotations__["value"] = kind
    with pytest.raises(TypeError):
        encode(Holder(0))
