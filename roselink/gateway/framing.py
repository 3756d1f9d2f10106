"""Cuts a stream into the JSON objects that stand in it one behind the other, however they are laid
out.

Every byte is looked at once, whatever pieces it comes in: a list that trickles in costs no more
work than one that comes whole. Size and depth are bounded, for a value that never ends must cost
its connection only.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

DEPTH_LIMIT = 16  # a list is three deep; past some hundreds the parser of JSON itself gives up
_STRUCTURE = re.compile(rb'["{}\[\]]')
_IN_TEXT = re.compile(rb'["\\]')


class Malformed(Exception):
    """What came is no list of hosts; the text says why."""


class Framer:
    """One stream's bytes on the way to whole values."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._value = bytearray()  # the value that has begun
        self._depth = 0
        self._text = self._escaped = False  # within a text, and right behind its backslash

    @property
    def within(self) -> bool:
        """Whether a value has begun and not ended."""
        return self._depth > 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The values that `data` completes, in order, up to what cannot be one; an empty one for
        each stretch between two values that holds a line's end, which is a sign of life.
        """
        start = at = 0  # where the value's part in `data` starts; how far it was looked at
        while at < len(data):
            if self._text:
                at = self._past_text(data, at)
                continue
            found = _STRUCTURE.search(data, at)
            end = found.start() if found else len(data)
            if not self._depth:
                if self._blank(data[at:end]):
                    yield b""
                start = end
            if not found:
                break
            at = found.end()
            self._step(found.group())
            if not self._depth:
                self._keep(data[start:at])
                yield bytes(self._value)
                self._value.clear()
                start = at
        if self._depth:
            self._keep(data[start:])

    def _keep(self, part: bytes) -> None:
        self._value += part
        if len(self._value) > self._limit:
            raise Malformed("a value without end")

    def _past_text(self, data: bytes, at: int) -> int:
        if self._escaped:
            self._escaped = False
            return at + 1
        found = _IN_TEXT.search(data, at)
        if not found:
            return len(data)
        self._escaped = found.group() == b"\\"
        self._text = self._escaped
        return found.end()

    @staticmethod
    def _blank(gap: bytes) -> bool:
        if gap.strip():
            raise Malformed(f"not JSON: {gap.strip()[:60]!r}")
        return b"\n" in gap

    def _step(self, mark: bytes) -> None:
        if not self._depth and mark != b"{":
            raise Malformed(f"no object: it starts with {mark.decode()}")
        if mark == b'"':
            self._text = True
        elif mark in b"{[":
            self._depth += 1
            if self._depth > DEPTH_LIMIT:
                raise Malformed("nested too deep")
        else:
            self._depth -= 1
