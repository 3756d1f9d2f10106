"""One client connection of any HTTP server here: parsing, limits, one request at a time, idle ends.

Clients are not trusted: heads, bodies, half requests, idle and unread connections are all bounded,
and what cannot be read costs the connection that sent it and nothing else. What a request means and
who answers it is the part of the subclasses.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, Any, cast

import httptools

from roselink.http.exceptions import BadRequestError
from roselink.http.framing_checks import check_framing
from roselink.http.socket_poller import SocketPoller

if TYPE_CHECKING:
    from roselink.http.limits import TimeLimits
    from roselink.http.server import HttpServer

# Requests parsed ahead on one connection: clients send one at a time.
PIPELINE_LIMIT = 2
# Parsed at a time, a few requests: one read can have hundreds.
PARSE_BYTES = 2048
# After an error, so that a client still sending can read why.
LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024


class PendingRequest:
    """A complete request, or the status that it gets, that waits for its turn.

    Clients may pipeline requests; each is served once the one before it has its response.
    """

    def __init__(self, request: Any, status: int, *, keep: bool, why: str = "") -> None:
        """Keep what a subclass serves in its turn; `why` is for the log."""
        self.request = request
        self.status = status
        self.keep = keep
        self.why = why


class ServerConnection(asyncio.Protocol):
    """One client connection: one request at a time, pipelined ones in order.

    A subclass reads a complete request (`_read_request`), begins its response (`_serve_request`),
    writes it (`_write`) and calls `_response_finished` behind its last byte.
    """

    def __init__(self, server: HttpServer) -> None:
        """Start without a transport, on a connection of `server`."""
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._poller: SocketPoller | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._unparsed = b""  # read, not parsed yet
        # When it was read, which a client's deadline counts from.
        self._read_at = server.loop.time()
        # With reading paused: when the kernel last had nothing unread.
        self._last_empty_at = math.inf
        self._pending: deque[PendingRequest] = deque()
        self._serving = False
        self._keep_alive = True
        self._is_advancing = False
        self._reading_paused = False
        self._writing_paused = False
        self._input_ended = False
        self._in_request = False
        self._discarded_bytes = 0
        self._completed_requests = 0
        self._parse_error: BadRequestError | None = None
        self.last_progress_at = server.loop.time()  # the limits on time count from it
        self._start_request()

    def _start_request(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._section_bytes = self._request_bytes = 0
        self._body: list[bytes] = []
        self._in_head = True

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of a new connection (asyncio)."""
        self._transport = cast("asyncio.Transport", transport)  # uvloop's are no subclass of it
        # With the marks at 0 `_writing_paused` stands for "bytes of a response are left in this
        # process".
        self._transport.set_write_buffer_limits(high=0)
        self._poller = SocketPoller(transport)
        self._server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection has ended (asyncio)."""
        self._transport = self._poller = None
        self._input_ended = True
        self._pending.clear()
        # the parser refers back: a cycle would wait for the collector
        self._unparsed = b""
        self._parser = None
        self._server.connection_closed(self)
        self._client_disconnected()

    def pause_writing(self) -> None:
        """Note that bytes are left in this process (asyncio)."""
        self._writing_paused = True
        self.last_progress_at = self._server.loop.time()

    def resume_writing(self) -> None:
        """Note that the kernel has the last byte (asyncio)."""
        self._writing_paused = False
        self._advance()
        if self.idle():
            self._server.connection_idle(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes that have come (asyncio)."""
        if self._input_ended:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > LINGER_BYTES:
                self.abort()
            return
        if not self._unparsed:
            # What lay unread for a while may have come at any time in it: its client counts from
            # then on.
            self._read_at = min(self._server.loop.time(), self._last_empty_at)
            self._last_empty_at = math.inf
        self._unparsed += data
        self._advance()

    def _parse(self) -> None:
        """Parse what was read, no further ahead than a client needs.

        The rest waits, as the client must.
        """
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
                # The offer is not taken up: the request is served, and what follows is not HTTP any
                # more.
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

    def _limit_request_bytes(self, size: int) -> None:
        """Bound a request as a whole.

        A header without end, or an endless extension of a chunk, reaches no callback of the parser.
        """
        self._request_bytes += size
        if self._in_head and self._request_bytes > self._server.size_limits.head:
            raise BadRequestError(431, "head too long")
        if self._request_bytes > self._server.size_limits.message:
            raise BadRequestError(413, "request too long")

    def _pause_or_resume_reading(self) -> None:
        """Read on once all that was read is parsed."""
        must_pause = bool(self._unparsed) and not self._input_ended
        if (
            self._transport is None
            or self._poller is None
            or not (must_pause or self._reading_paused)
        ):
            return
        if not self._reading_paused:
            self._last_empty_at = self._read_at
            self._transport.pause_reading()
        elif not self._poller.has_unread():
            self._last_empty_at = self._server.loop.time() if must_pause else math.inf
        if not must_pause:
            self._transport.resume_reading()
        self._reading_paused = must_pause

    # The parser's side.

    def on_message_begin(self) -> None:
        """A message begins (parser)."""
        self._start_request()
        self._in_request = True
        if not self._serving:
            self.last_progress_at = self._server.loop.time()
        self._server.request_started(self)

    def on_url(self, url: bytes) -> None:
        """A piece of the request target (parser)."""
        self._url += url
        self._limit_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, or a trailer (parser)."""
        if not self._in_head:
            return  # a trailer: it must not stand in for a header that was checked
        self._headers.append((name, value.strip()))
        self._limit_head_bytes(len(name) + len(value) + 4)

    def _limit_head_bytes(self, size: int) -> None:
        self._section_bytes += size
        if self._section_bytes > self._server.size_limits.head:
            self._reject(431, "head too long")

    def _reject(self, status: int, why: str) -> None:
        """End the parsing from inside a callback; the parser wraps what is raised here."""
        self._parse_error = BadRequestError(status, why)
        raise self._parse_error

    def on_headers_complete(self) -> None:
        """The head is complete (parser)."""
        self._in_head = False
        self._section_bytes = 0
        assert self._parser is not None
        try:
            check_framing(
                self._parser.get_http_version(), self._headers, self._server.size_limits.body
            )
        except BadRequestError as bad:
            self._reject(bad.status, str(bad))

    def on_body(self, body: bytes) -> None:
        """A piece of the body (parser)."""
        self._section_bytes += len(body)
        if self._section_bytes > self._server.size_limits.body:
            self._reject(413, "body too long")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The message is complete (parser)."""
        self._in_request = False
        self._completed_requests = self._completed_requests + 1
        assert self._parser is not None
        keep = self._parser.should_keep_alive()
        try:
            pending = self._read_request(self._parser.get_method(), keep=keep)
        except BadRequestError as bad:
            pending = PendingRequest(None, bad.status, keep=keep, why=str(bad))
        self._pending.append(pending)

    # One request after another.

    def _advance(self) -> None:
        """Begin the next request, once the response before it is on its way and was read."""
        if self._is_advancing:
            return
        self._is_advancing = True
        try:
            self._parse()
            while (
                self._pending
                and not self._serving
                and not self._writing_paused
                and self._transport is not None
            ):
                self._serve_request(self._pending.popleft())
                self._parse()
        finally:
            self._is_advancing = False

    # What a subclass defines.

    def _read_request(self, method: bytes, *, keep: bool) -> PendingRequest:
        """Read the request that has just become complete.

        Args:
            method: of the request.
            keep: whether its client lets the connection stay open.

        Raises:
            BadRequestError: when there is no such request.
        """
        raise NotImplementedError

    def _serve_request(self, pending: PendingRequest) -> None:
        """Answer one, at once or later; `begin_answer` first."""
        raise NotImplementedError

    def _client_disconnected(self) -> None:
        """The client has gone, also in the middle of a response."""

    # A response.

    def _may_keep_alive(self) -> bool:
        """Whether the connection stays open behind this response.

        What was sent ahead has been taken and is owed a response, also where it lies in the kernel:
        the last response says `close`.
        """
        has_pipelined = bool(self._pending) or bool(self._unparsed) or self._in_request
        if has_pipelined or not self._server.draining or not self._keep_alive:
            return self._keep_alive
        return self._poller is not None and self._poller.has_unread()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _response_finished(self, *, keep: bool) -> None:
        """The last byte of a response is on its way."""
        self._serving = False
        self.last_progress_at = self._server.loop.time()
        if self._transport is None:
            return
        if keep:
            if self._pending or self._unparsed or self._in_request:
                self._server.loop.call_soon(self._advance)
            elif not self._writing_paused:
                self._server.connection_idle(self)
        else:
            self._close()

    def _close(self) -> None:
        """End the connection after its last response.

        A close on unread bytes would reset it and could take the response along, so the sending
        side ends first and what still comes is discarded for a while.
        """
        self._input_ended = True
        self._pending.clear()
        self._unparsed = b""
        if self._transport is not None:
            if self._reading_paused:
                self._reading_paused = False
                self._transport.resume_reading()
            self._server.connection_finishing(self)
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._server.loop.call_later(LINGER_S, self._close_after_linger)

    def _close_after_linger(self) -> None:
        """The end of the time that a last response has.

        (`sweep` ends a connection whose client does not take it.)
        """
        if self._transport is not None and not self.close_finished():
            self._server.loop.call_later(LINGER_S, self._close_after_linger)

    def eof_received(self) -> bool:
        """Let the transport close: the peer has ended its sending (asyncio)."""
        return False  # the client has closed: the transport closes too, and an open request departs

    def abort(self) -> None:
        """Close at once, also with bytes unsent."""
        self._server.connection_closing(self)
        if self._transport is not None:
            self._transport.abort()

    def has_left(self) -> bool:
        """Whether the client has left.

        Not read any further, its connection would stay: it ends here.
        """
        if self._poller is not None and self._poller.peer_closed():
            self.abort()
            return True
        return self._transport is None

    # Called by the server.

    def idle(self) -> bool:
        """Whether it is between two requests, with all responses sent.

        This goes by what the process has read.
        """
        busy = (
            self._serving
            or self._pending
            or self._unparsed
            or self._in_request
            or self._writing_paused
        )
        return not (busy or self._input_ended)

    def close_idle(self) -> bool:
        """End it between two requests, by our choice; whether it ended.

        A request that lies unread in the kernel has been taken and is owed a response, and a close
        on it would be a reset.
        """
        if self._poller is None or self._poller.has_unread():
            return False
        self.abort()
        return True

    def close_finished(self) -> bool:
        """End it after its last response, once the kernel has that; whether it ended.

        What comes meanwhile is read first: a close on it would be a reset, which takes along what
        the client's kernel has not got.
        """
        if self._writing_paused or self._poller is None or self._poller.has_unread():
            return False
        self.abort()
        return True

    def sweep(self, now: float, times: TimeLimits) -> None:
        """Ends what takes too long.

        Guards the descriptors against clients that come and say nothing.
        """
        waited = now - self.last_progress_at
        if self._writing_paused and waited > times.unread:
            self.abort()
        elif self._in_request and not self._serving and not self._input_ended:
            if waited > (times.head if self._in_head else times.body):
                self._input_ended = True
                self._pending.append(
                    PendingRequest(None, 408, keep=False, why="request not whole in time")
                )
                self._advance()
        elif (
            self.idle() and waited > times.idle[min(self._completed_requests, len(times.idle) - 1)]
        ):
            self.close_idle()
