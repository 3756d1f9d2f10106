"""Framing of JSON values in a stream, for any layout and chunk size."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roselink.gateway.exceptions import MalformedListError
from roselink.gateway.json_framer import JsonFramer

texts = st.text(st.sampled_from('{}[]"\\,: \nab'), max_size=6)
inner = st.recursive(
    texts | st.integers(),
    lambda x: st.lists(x, max_size=3) | st.dictionaries(texts, x, max_size=3),
    max_leaves=8,
)
objects = st.dictionaries(texts, inner, max_size=3)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(objects, max_size=4), st.sampled_from([None, 1, "\t"]), st.integers(1, 9))
def test_objects_are_framed_from_chunks_of_any_size(
    values: list[Any], indent: int | str | None, step: int
) -> None:
    data = b"".join(json.dumps(value, indent=indent).encode() + b"\n" for value in values)
    framer, framed = JsonFramer(4096), list[bytes]()
    for start in range(0, len(data), step):
        framed += framer.feed(data[start : start + step])
    assert [json.loads(value) for value in framed if value] == values
    assert framed.count(b"") == len(values)  # one for the line break after each value
    assert not framer.in_value


def test_in_value_is_true_until_the_value_is_complete() -> None:
    framer = JsonFramer(100)
    assert list(framer.feed(b' {"a":[1')) == []
    assert framer.in_value
    assert list(framer.feed(b"]} ")) == [b'{"a":[1]}']
    assert not framer.in_value


@pytest.mark.parametrize(
    "data", [b"7", b"[1]", b"}", b'"{}"', b'{"a":1}x\n', b'{"a":"' + b"b" * 100, b'{"a":' * 20]
)
def test_invalid_or_too_large_values_are_rejected(data: bytes) -> None:
    with pytest.raises(MalformedListError):
        list(JsonFramer(100).feed(data))


def test_each_byte_is_scanned_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A list in chunks of one byte costs linear work, not quadratic."""
    scanned = 0

    class CountingPattern:
        def __init__(self, inner: Any) -> None:
            self.inner = inner

        def search(self, data: bytes, at: int) -> Any:
            nonlocal scanned
            scanned += len(data) - at
            return self.inner.search(data, at)

    for name in ("_STRUCTURE", "_IN_STRING"):
        monkeypatch.setattr(
            f"roselink.gateway.json_framer.{name}",
            CountingPattern(JsonFramer.feed.__globals__[name]),
        )
    data = json.dumps({"instances": [{"id": "x" * 9}] * 500}, indent=1).encode()
    framer = JsonFramer(2**20)
    framed = [value for i in range(len(data)) for value in framer.feed(data[i : i + 1])]
    assert framed == [data]
    assert scanned <= len(data)


def test_values_before_invalid_data_are_yielded() -> None:
    values = JsonFramer(100).feed(b'{"a":1}x')
    assert next(values) == b'{"a":1}'
    with pytest.raises(MalformedListError):
        next(values)
