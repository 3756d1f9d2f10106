"""The response to one call of discovery: a stream of lists."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from roselink.gateway.exceptions import MalformedListError
from roselink.gateway.json_framer import JsonFramer

if TYPE_CHECKING:
    from collections.abc import Iterator

# Some thousands of hosts; parsed it takes several times as much of a small memory.
LIST_LIMIT = 1024 * 1024
# Bytes that bring nothing of a list: a head or a chunk's extension without end.
NON_BODY_LIMIT = 64 * 1024
STATUS_OK = 200


class DiscoveryResponse:
    """Parses one response.

    Each has a parser and a framer of its own: nothing left of one call can mix with what the next
    one brings.
    """

    def __init__(self) -> None:
        """Nothing has come yet."""
        self._parser = httptools.HttpResponseParser(self)
        self._framer = JsonFramer(LIST_LIMIT)
        self._body: list[bytes] = []
        self._non_body_bytes = 0
        self._error: MalformedListError | None = None
        # 0 until the head is complete.
        self.status = 0
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Takes the next bytes; `values` returns what they bring.

        Raises:
            MalformedListError: The status is not 200.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._error = MalformedListError(reason=f"not HTTP: {error}")
        if self.status not in (0, STATUS_OK):
            raise MalformedListError(reason=f"status {self.status}")

    def values(self, fed: int) -> Iterator[bytes]:
        """What the last `fed` bytes brought; an empty value is a keep-alive.

        Raises:
            MalformedListError: At what is malformed. A list before that counts as received.
        """
        body = b"".join(self._body)
        self._body.clear()
        self._non_body_bytes = 0 if body else self._non_body_bytes + fed
        if self._non_body_bytes > NON_BODY_LIMIT:
            raise MalformedListError(reason="an answer without end that brings no list")
        yield from self._framer.feed(body)
        if self._error is not None:
            raise self._error
        if self.ended and self._framer.in_value:
            raise MalformedListError(reason="an answer that ends within a list")

    # Callbacks of the parser; their names are httptools'.

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """A part of the body has come."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The response has ended."""
        self.ended = True
