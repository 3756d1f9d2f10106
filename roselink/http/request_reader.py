"""Reads one client connection into complete requests, with back-pressure on the client."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import httptools

from roselink.http.exceptions import BadRequestError
from roselink.http.pending_request import PendingRequest
from roselink.http.request_parser import RequestParser

if TYPE_CHECKING:
    import asyncio

    from roselink.http.socket_poller import SocketPoller

# Pipelined requests parsed ahead on one connection; clients normally send one at a time.
PIPELINE_LIMIT = 2
# Bytes parsed at a time, which hold a few requests: one read can contain hundreds.
PARSE_BYTES = 2048
# Discarded bytes after which a connection is closed whose client goes on sending.
LINGER_BYTES = 1024 * 1024


class RequestReader(RequestParser):
    """The reading side of one client connection.

    Complete requests and the rejections of invalid ones wait in `_pending`. Reading is paused while
    bytes are left to parse, and once the connection is closing, as its close decides.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a transport."""
        super().__init__()
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._poller: SocketPoller | None = None
        self._pending: deque[PendingRequest] = deque()
        self._unparsed = b""
        # When the unparsed bytes were read, from which the client's deadline counts.
        self._read_at = loop.time()
        # While reading is paused: when the socket last had no unread bytes.
        self._last_empty_at = math.inf
        self._reading_paused = False
        self._input_ended = False
        self._closing = False  # the last response has been written
        self._discarded_bytes = 0
        self._completed_requests = 0

    # Defined by subclasses.

    def abort(self) -> None:
        """Close the connection at once, discarding unsent bytes."""
        raise NotImplementedError

    def _advance(self) -> None:
        """Parse what was read, and serve the next request if that is possible."""
        raise NotImplementedError

    # Reading.

    def data_received(self, data: bytes) -> None:
        """Process received bytes (asyncio)."""
        if self._input_ended:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > LINGER_BYTES:
                self.abort()
            return
        if not self._unparsed:
            # Bytes read after a pause may have arrived at any time since the socket was last empty,
            # so the client's deadline counts from then.
            self._read_at = min(self._loop.time(), self._last_empty_at)
            self._last_empty_at = math.inf
        self._unparsed += data
        self._advance()

    def _parse(self) -> None:
        """Parse the bytes read, at most `PIPELINE_LIMIT` requests ahead; the rest waits."""
        while (
            self._unparsed
            and len(self._pending) < PIPELINE_LIMIT
            and not self._input_ended
            and self._parser is not None
        ):
            data = self._unparsed[:PARSE_BYTES]
            self._unparsed = self._unparsed[PARSE_BYTES:]
            completed_before = self._completed_requests
            try:
                self._parser.feed_data(data)
                if self._in_request and completed_before == self._completed_requests:
                    self._limit_request_bytes(len(data))
            except httptools.HttpParserUpgrade:
                # Upgrade declined: the request is served, but the parser takes no data after it.
                self._input_ended = True
                self._pending[-1].keep = False
            except (httptools.HttpParserError, BadRequestError) as error:
                bad = (
                    error
                    if isinstance(error, BadRequestError)
                    else self._parse_error or BadRequestError(400, f"not HTTP: {error}")
                )
                self._input_ended = True
                self._pending.append(PendingRequest(None, bad.status, keep=False, why=str(bad)))
        if self._input_ended:
            self._unparsed = b""
        self._pause_or_resume_reading()

    def _pause_or_resume_reading(self) -> None:
        """Pause reading while unparsed bytes are left, and resume it after."""
        pause = bool(self._unparsed) and not self._input_ended
        if self._transport is None or self._poller is None or not (pause or self._reading_paused):
            return
        if self._closing:
            return
        if not self._reading_paused:
            self._last_empty_at = self._read_at
            self._transport.pause_reading()
        elif not self._poller.has_unread():
            self._last_empty_at = self._loop.time() if pause else math.inf
        if not pause:
            self._transport.resume_reading()
        self._reading_paused = pause
