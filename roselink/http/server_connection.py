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

from roselink.http.framing_checks import BadRequestError, check_framing
from roselink.http.socket_probe import SocketProbe

if TYPE_CHECKING:
    from roselink.http.limits import TimeLimits
    from roselink.http.server import HttpServer

AHEAD = 2  # requests parsed ahead on one connection: clients send one at a time
SLICE = 2048  # bytes parsed at a time, a few requests: one read can hold hundreds
# after an error, so that a client still sending can read why
LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024


class PendingRequest:
    """A request that is complete, or the status that it gets, waiting for its turn on the
    connection.
    """

    def __init__(self, request: Any, status: int, keep: bool, why: str = "") -> None:
        self.request, self.status, self.keep, self.why = request, status, keep, why


class ServerConnection(asyncio.Protocol):
    """One client connection: one request at a time, those sent ahead in order.

    A subclass says what a whole request is (`_read`), begins its answer (`_serve`), writes it
    (`_write`) and calls `_finish` behind its last byte.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._look: SocketProbe | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._unfed = b""  # read, not parsed yet
        self._read_at = (
            server.loop.time()
        )  # when it was read, which a client's deadline counts from
        self._empty_at = (
            math.inf
        )  # with reading paused: when the kernel was last seen to hold nothing
        self._backlog: deque[PendingRequest] = deque()
        self._serving = False
        self._keep = True
        self._advancing = self._paused = self._unread = self._ended = self._partial = False
        self._discarded = self._complete = 0
        self._bad: BadRequestError | None = None
        self.last_change = server.loop.time()  # what the limits on time count from
        self._begin()

    def _begin(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._size = self._received = 0
        self._body: list[bytes] = []
        self._head = True

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)  # uvloop's are no subclass of it
        # With the marks at 0 `_unread` stands for "bytes of an answer left in this process".
        self._transport.set_write_buffer_limits(high=0)
        self._look = SocketProbe(transport)
        self._server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = self._look = None
        self._ended = True
        self._backlog.clear()
        self._unfed, self._parser = (
            b"",
            None,
        )  # the parser refers back: a cycle would wait for the collector
        self._server.left(self)
        self._departed()

    def pause_writing(self) -> None:
        self._unread = True
        self.last_change = self._server.loop.time()

    def resume_writing(self) -> None:
        self._unread = False
        self._advance()
        if self.idle():
            self._server.rests(self)

    def data_received(self, data: bytes) -> None:
        if self._ended:
            self._discarded += len(data)
            if self._discarded > LINGER_BYTES:
                self.abort()
            return
        if not self._unfed:
            # What lay unread for a while may have come at any time in it: its client counts from
            # then on.
            self._read_at, self._empty_at = min(self._server.loop.time(), self._empty_at), math.inf
        self._unfed += data
        self._advance()

    def _feed(self) -> None:
        """Parse what was read, no further ahead than a client needs; the rest waits, as the client
        must.
        """
        while (
            self._unfed
            and len(self._backlog) < AHEAD
            and not self._ended
            and self._parser is not None
        ):
            data, self._unfed = self._unfed[:SLICE], self._unfed[SLICE:]
            complete = self._complete
            try:
                self._parser.feed_data(data)
                if self._partial and complete == self._complete:
                    # A header without end, or an endless extension of a chunk, reaches no callback.
                    self._received += len(data)
                    if self._head and self._received > self._server.sizes.head:
                        raise BadRequestError(431, "head too long")
                    if self._received > self._server.sizes.message:
                        raise BadRequestError(413, "request too long")
            except httptools.HttpParserUpgrade:
                # The offer is not taken up: the request is served, and what follows is not HTTP any
                # more.
                self._ended, self._backlog[-1].keep = True, False
            except (httptools.HttpParserError, BadRequestError) as error:
                bad = (
                    error
                    if isinstance(error, BadRequestError)
                    else self._bad or BadRequestError(400, f"not HTTP: {error}")
                )
                self._ended = True
                self._backlog.append(PendingRequest(None, bad.status, False, str(bad)))
        if self._ended:
            self._unfed = b""
        wait = bool(self._unfed) and not self._ended
        if self._transport is None or self._look is None or not (wait or self._paused):
            return
        if not self._paused:
            self._empty_at = self._read_at
            self._transport.pause_reading()
        elif not self._look.unread():
            self._empty_at = self._server.loop.time() if wait else math.inf
        if not wait:
            self._transport.resume_reading()
        self._paused = wait

    # The parser's side.

    def on_message_begin(self) -> None:
        self._begin()
        self._partial = True
        if not self._serving:
            self.last_change = self._server.loop.time()
        self._server.awake(self)

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._head:
            return  # a trailer: it must not stand in for a header that was checked
        self._headers.append((name, value.strip()))
        self._grow(len(name) + len(value) + 4)

    def _grow(self, size: int) -> None:
        self._size += size
        if self._size > self._server.sizes.head:
            self._reject(431, "head too long")

    def _reject(self, status: int, why: str) -> None:
        """End the parsing from inside a callback; the parser wraps what is raised here."""
        self._bad = BadRequestError(status, why)
        raise self._bad

    def on_headers_complete(self) -> None:
        self._head, self._size = False, 0
        assert self._parser is not None
        try:
            check_framing(self._parser.get_http_version(), self._headers, self._server.sizes.body)
        except BadRequestError as bad:
            self._reject(bad.status, str(bad))

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._server.sizes.body:
            self._reject(413, "body too long")
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._partial, self._complete = False, self._complete + 1
        assert self._parser is not None
        keep = self._parser.should_keep_alive()
        try:
            pending = self._read(self._parser.get_method(), keep)
        except BadRequestError as bad:
            pending = PendingRequest(None, bad.status, keep, str(bad))
        self._backlog.append(pending)

    # One request after another.

    def _advance(self) -> None:
        """Begin the next request, once the answer before it is on its way and was read."""
        if self._advancing:
            return
        self._advancing = True
        try:
            self._feed()
            while (
                self._backlog
                and not self._serving
                and not self._unread
                and self._transport is not None
            ):
                self._serve(self._backlog.popleft())
                self._feed()
        finally:
            self._advancing = False

    # What a subclass says.

    def _read(self, method: bytes, keep: bool) -> PendingRequest:
        """Read the request that has just become complete.

        Args:
            method: of the request.
            keep: whether its client lets the connection stay open.

        Raises:
            BadRequestError: when there is no such request.
        """
        raise NotImplementedError

    def _serve(self, pending: PendingRequest) -> None:
        """Answer one, at once or later; `begin_answer` first."""
        raise NotImplementedError

    def _departed(self) -> None:
        """The client has gone, also in the middle of an answer."""

    # An answer.

    def _may_keep(self) -> bool:
        """Whether the connection stays open behind this answer. What was sent ahead has been taken
        and is owed an answer, also where it lies in the kernel: the last answer says `close`.
        """
        ahead = bool(self._backlog) or bool(self._unfed) or self._partial
        if ahead or not self._server.draining or not self._keep:
            return self._keep
        return self._look is not None and self._look.unread()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _finish(self, keep: bool) -> None:
        """The last byte of an answer is on its way."""
        self._serving = False
        self.last_change = self._server.loop.time()
        if self._transport is None:
            return
        if keep:
            if self._backlog or self._unfed or self._partial:
                self._server.loop.call_soon(self._advance)
            elif not self._unread:
                self._server.rests(self)
        else:
            self._close()

    def _close(self) -> None:
        """End the connection after its last answer. A close on unread bytes would reset it and
        could take the answer along, so the sending side ends first and what still comes is thrown
        away for a while.
        """
        self._ended = True
        self._backlog.clear()
        self._unfed = b""
        if self._transport is not None:
            if self._paused:
                self._paused = False
                self._transport.resume_reading()
            self._server.leaves(self)
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._server.loop.call_later(LINGER_S, self._lingered)

    def _lingered(self) -> None:
        """The end of the time that a last answer has. (`sweep` ends a connection whose client does
        not take it.)
        """
        if self._transport is not None and not self.close_left():
            self._server.loop.call_later(LINGER_S, self._lingered)

    def eof_received(self) -> bool:
        return False  # the client has closed: the transport closes too, and an open request departs

    def abort(self) -> None:
        self._server.closes(self)
        if self._transport is not None:
            self._transport.abort()

    def gone(self) -> bool:
        """Whether the client has left. Not read any further, its connection would stay: it ends
        here.
        """
        if self._look is not None and self._look.left():
            self.abort()
            return True
        return self._transport is None

    # What the server asks.

    def idle(self) -> bool:
        """Whether it is between two requests, as far as this process has read, with all answers
        gone out.
        """
        busy = self._serving or self._backlog or self._unfed or self._partial or self._unread
        return not (busy or self._ended)

    def close_idle(self) -> bool:
        """End it between two requests, by our choice; whether it ended. A request that lies unread
        in the kernel has been taken and is owed an answer, and a close on it would be a reset.
        """
        if self._look is None or self._look.unread():
            return False
        self.abort()
        return True

    def close_left(self) -> bool:
        """End it after its last answer, once the kernel has that; whether it ended. What comes
        meanwhile is read first: a close on it would be a reset, which takes along what the client's
        kernel has not got.
        """
        if self._unread or self._look is None or self._look.unread():
            return False
        self.abort()
        return True

    def sweep(self, now: float, times: TimeLimits) -> None:
        """Ends what takes too long. Guards the descriptors against clients that come and say
        nothing.
        """
        waited = now - self.last_change
        if self._unread and waited > times.unread:
            self.abort()
        elif self._partial and not self._serving and not self._ended:
            if waited > (times.head if self._head else times.body):
                self._ended = True
                self._backlog.append(PendingRequest(None, 408, False, "request not whole in time"))
                self._advance()
        elif self.idle() and waited > times.idle[min(self._complete, len(times.idle) - 1)]:
            self.close_idle()
