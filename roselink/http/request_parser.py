"""Parses the requests of one client connection, within limits of size."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from roselink.http.exceptions import BadRequestError
from roselink.http.framing_checks import check_framing

if TYPE_CHECKING:
    from roselink.http.limits import SizeLimits


class RequestParser:
    """The parser's callbacks, and the request that is being parsed.

    `_in_request` tells whether a message has begun and is not complete.
    """

    def __init__(self) -> None:
        """Start before the first request."""
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._parse_error: BadRequestError | None = None
        self._in_request = False
        self._start_request()

    def _start_request(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._section_bytes = self._request_bytes = 0
        self._body: list[bytes] = []
        self._in_head = True

    # Defined by subclasses.

    def _size_limits(self) -> SizeLimits:
        """The limits in force now."""
        raise NotImplementedError

    def _message_begun(self) -> None:
        """Handle the first byte of a message."""
        raise NotImplementedError

    def _message_completed(self) -> None:
        """Handle the last byte of a message."""
        raise NotImplementedError

    def _limit_request_bytes(self, size: int) -> None:
        """Limit a request's size: endless headers or chunk extensions cause no parser callback."""
        self._request_bytes += size
        if self._in_head and self._request_bytes > self._size_limits().head:
            raise BadRequestError(431, "head too long")
        if self._request_bytes > self._size_limits().message:
            raise BadRequestError(413, "request too long")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """A message begins (parser)."""
        self._start_request()
        self._in_request = True
        self._message_begun()

    def on_url(self, url: bytes) -> None:
        """A piece of the request target was parsed (parser)."""
        self._url += url
        self._limit_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header or a trailer was parsed (parser)."""
        if not self._in_head:
            return  # a trailer, which must not replace a validated header
        self._headers.append((name, value.strip()))
        self._limit_head_bytes(len(name) + len(value) + 4)

    def _limit_head_bytes(self, size: int) -> None:
        self._section_bytes += size
        if self._section_bytes > self._size_limits().head:
            self._reject(431, "head too long")

    def _reject(self, status: int, why: str) -> None:
        """Abort parsing from within a callback; the parser wraps the exception raised here."""
        self._parse_error = BadRequestError(status, why)
        raise self._parse_error

    def on_headers_complete(self) -> None:
        """The head is complete (parser)."""
        self._in_head = False
        self._section_bytes = 0
        assert self._parser is not None
        try:
            check_framing(self._parser.get_http_version(), self._headers, self._size_limits().body)
        except BadRequestError as bad:
            self._reject(bad.status, str(bad))

    def on_body(self, body: bytes) -> None:
        """A piece of the body was parsed (parser)."""
        self._section_bytes += len(body)
        if self._section_bytes > self._size_limits().body:
            self._reject(413, "body too long")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The message is complete (parser)."""
        self._in_request = False
        self._message_completed()
