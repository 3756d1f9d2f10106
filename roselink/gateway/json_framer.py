"""Splits a byte stream into the JSON objects that it consists of, whatever their layout.

Every byte is scanned once, so that a list in many small chunks costs no more than one that arrives
at once. Size and depth are limited: a value that never ends must cost its connection only.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from roselink.gateway.exceptions import MalformedListError

if TYPE_CHECKING:
    from collections.abc import Iterator

# Deepest nesting of a value. A host list has 3 levels; the JSON parser fails at some hundreds.
DEPTH_LIMIT = 16
_STRUCTURE = re.compile(rb'["{}\[\]]')
_IN_STRING = re.compile(rb'["\\]')


class JsonFramer:
    """Incremental framer of one stream."""

    def __init__(self, limit: int) -> None:
        """Creates a framer for values of at most `limit` bytes."""
        self._limit = limit
        # Bytes of the current, incomplete value.
        self._value = bytearray()
        self._depth = 0
        # Whether the scan is within a string, and whether the last byte there was a backslash.
        self._in_string = False
        self._escaped = False

    @property
    def in_value(self) -> bool:
        """Whether the current value is incomplete."""
        return self._depth > 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the values that `data` completes, in order.

        An empty value stands for a gap between values with a line break, which is a keep-alive.

        Raises:
            MalformedListError: The data is not valid, after the values before it were yielded.
        """
        # Offsets in `data`: of the value's first byte, and of the next byte to scan.
        start = 0
        at = 0
        while at < len(data):
            if self._in_string:
                at = self._scan_string(data, at)
                continue
            found = _STRUCTURE.search(data, at)
            end = found.start() if found else len(data)
            if not self._depth:
                if self._has_newline(data[at:end]):
                    yield b""
                start = end
            if not found:
                break
            at = found.end()
            self._track_depth(found.group())
            if not self._depth:
                self._append(data[start:at])
                yield bytes(self._value)
                self._value.clear()
                start = at
        if self._depth:
            self._append(data[start:])

    def _append(self, chunk: bytes) -> None:
        self._value += chunk
        if len(self._value) > self._limit:
            raise MalformedListError(reason="value too large")

    def _scan_string(self, data: bytes, at: int) -> int:
        if self._escaped:
            self._escaped = False
            return at + 1
        found = _IN_STRING.search(data, at)
        if not found:
            return len(data)
        self._escaped = found.group() == b"\\"
        self._in_string = self._escaped
        return found.end()

    @staticmethod
    def _has_newline(gap: bytes) -> bool:
        if gap.strip():
            raise MalformedListError(reason=f"not JSON: {gap.strip()[:60]!r}")
        return b"\n" in gap

    def _track_depth(self, token: bytes) -> None:
        if not self._depth and token != b"{":
            raise MalformedListError(reason=f"not a JSON object: starts with {token.decode()}")
        if token == b'"':
            self._in_string = True
        elif token in b"{[":
            self._depth += 1
            if self._depth > DEPTH_LIMIT:
                raise MalformedListError(reason="value nested too deeply")
        else:
            self._depth -= 1
