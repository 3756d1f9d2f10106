"""Parses the response to one call of discovery: a stream of host lists."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from roselink.gateway.exceptions import MalformedListError
from roselink.gateway.json_framer import JsonFramer

if TYPE_CHECKING:
    from collections.abc import Iterator

# Largest list in bytes, enough for some thousands of hosts. A parsed list takes several times its
# size in memory, and gateways have little.
LIST_LIMIT = 1024 * 1024
# Largest number of bytes in a row without any of the body: bounds an endless head or chunk
# extension.
NON_BODY_LIMIT = 64 * 1024
STATUS_OK = 200


class DiscoveryResponse:
    """Parses one response.

    Each response has its own parser and framer, so that leftover bytes of one call cannot mix with
    the next response.
    """

    def __init__(self) -> None:
        """Creates a parser that has received no data."""
        self._parser = httptools.HttpResponseParser(self)
        self._framer = JsonFramer(LIST_LIMIT)
        self._body: list[bytes] = []
        self._non_body_bytes = 0
        self._error: MalformedListError | None = None
        # 0 until the head is complete.
        self.status = 0
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Parses the next bytes; `values` returns the lists that they complete.

        Raises:
            MalformedListError: The status is not 200.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._error = MalformedListError(reason=f"not HTTP: {error}")
        if self.status not in (0, STATUS_OK):
            raise MalformedListError(reason=f"response with status {self.status}")

    def values(self, fed: int) -> Iterator[bytes]:
        """Yields the values that the last `fed` bytes complete; an empty one is a keep-alive.

        Raises:
            MalformedListError: The response is malformed. Values yielded before are valid.
        """
        body = b"".join(self._body)
        self._body.clear()
        self._non_body_bytes = 0 if body else self._non_body_bytes + fed
        if self._non_body_bytes > NON_BODY_LIMIT:
            raise MalformedListError(reason="too many bytes of head or framing without a list")
        yield from self._framer.feed(body)
        if self._error is not None:
            raise self._error
        if self.ended and self._framer.in_value:
            raise MalformedListError(reason="the response ends within a list")

    # Callbacks of the parser, named by httptools.

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """A piece of the body was parsed."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The response is complete."""
        self.ended = True
