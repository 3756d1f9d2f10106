"""Client connection of an HTTP server: parsing, limits, serial handling of requests, idle closes.

Clients are not trusted: the size of heads and bodies and the time for requests, responses and idle
connections are limited, and malformed input closes only the connection that sent it. Subclasses
interpret and serve the requests.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from roselink.http.exceptions import BadRequestError
from roselink.http.pending_request import PendingRequest, RequestOrigin
from roselink.http.request_reader import RequestReader
from roselink.http.socket_poller import SocketPoller

if TYPE_CHECKING:
    from roselink.http.limits import SizeLimits, TimeLimits
    from roselink.http.server import HttpServer

# Time for which a connection stays open after its last response, so that a client that is still
# sending can read it.
LINGER_S = 1.0


class ServerConnection(RequestReader, asyncio.Protocol):
    """One client connection, which serves its requests one at a time and in order.

    A subclass reads a complete request (`_read_request`), starts its response (`_serve_request`),
    writes it (`_write`) and calls `_response_finished` after its last byte.
    """

    def __init__(self, server: HttpServer) -> None:
        """Start without a transport, on a connection of `server`."""
        super().__init__(server.loop)
        self._server = server
        self._serving = False
        self._keep_alive = True
        self._is_advancing = False
        self._writing_paused = False
        self.last_progress_at = server.loop.time()  # time-outs count from it
        self._response_ended_at = self.last_progress_at
        self._promised_at: float | None = None  # when a head last let the connection stay open
        self._sent_ahead = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of a new connection (asyncio)."""
        self._transport = cast("asyncio.Transport", transport)  # uvloop's are no subclass of it
        # With a high-water mark of 0, `_writing_paused` means unsent bytes in this process.
        self._transport.set_write_buffer_limits(high=0)
        self._poller = SocketPoller(transport)
        self._server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection has ended (asyncio)."""
        self._transport = self._poller = None
        self._input_ended = True
        self._pending.clear()
        # Breaks a reference cycle with the parser, which only the garbage collector would free.
        self._unparsed = b""
        self._parser = None
        self._server.connection_closed(self)
        self._client_disconnected()

    def pause_writing(self) -> None:
        """Record that bytes are left in this process (asyncio)."""
        self._writing_paused = True
        self.last_progress_at = self._server.loop.time()

    def resume_writing(self) -> None:
        """Record that the kernel has the last byte (asyncio)."""
        self._writing_paused = False
        self._advance()
        if self.idle():
            self._server.connection_idle(self)

    # Callbacks of the parser.

    def _size_limits(self) -> SizeLimits:
        return self._server.size_limits

    def _message_begun(self) -> None:
        if not self._serving:
            self.last_progress_at = self._server.loop.time()
        self._server.request_started(self)

    def _message_completed(self) -> None:
        self._completed_requests += 1
        assert self._parser is not None
        keep = self._parser.should_keep_alive()
        try:
            pending = self._read_request(self._parser.get_method(), keep=keep)
        except BadRequestError as bad:
            pending = PendingRequest(None, bad.status, keep=keep, why=str(bad))
        self._pending.append(pending)

    # Serial handling of requests.

    def _advance(self) -> None:
        """Serve the next request once the previous response has left this process."""
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

    # Defined by subclasses.

    def _read_request(self, method: bytes, *, keep: bool) -> PendingRequest:
        """Interpret a request that has just become complete.

        Args:
            method: the request's method.
            keep: whether the client lets the connection stay open.

        Raises:
            BadRequestError: the request is invalid.
        """
        raise NotImplementedError

    def _serve_request(self, pending: PendingRequest) -> None:
        """Respond to a request, at once or later, after setting `_serving` and `_keep_alive`."""
        raise NotImplementedError

    def _client_disconnected(self) -> None:
        """Handle a disconnect of the client, possibly in the middle of a response."""

    # Responses.

    def _may_keep_alive(self) -> bool:
        """Whether the connection stays open after this response.

        While draining, pipelined requests must still be served, also those that are unread in the
        kernel: only the last response carries `Connection: close`.
        """
        has_pipelined = bool(self._pending) or bool(self._unparsed) or self._in_request
        keep = self._keep_alive
        if keep and self._server.draining and not has_pipelined:
            may_read = not self._server.requests_ended and self._poller is not None
            keep = may_read and self._has_next_request()
        self._promised_at = self._server.loop.time() if keep else None
        return keep

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _response_finished(self, *, keep: bool) -> None:
        """Finish a response whose last byte was written to the transport."""
        self._serving = False
        self.last_progress_at = self._response_ended_at = self._server.loop.time()
        if self._transport is None:
            return
        if not keep:
            self._close(discard=True)
            return
        if self._server.draining:
            self._sent_ahead = self._has_next_request()
        if self._server.closing_kept and not self._sent_ahead:
            self._close(discard=False)
        elif self._pending or self._unparsed or self._in_request:
            self._server.loop.call_soon(self._advance)
        elif not self._writing_paused:
            self._server.connection_idle(self)

    def _has_next_request(self) -> bool:
        """Whether bytes of a further request are here, or unread in the kernel."""
        parsed = bool(self._pending) or bool(self._unparsed) or self._in_request
        return parsed or (self._poller is not None and self._poller.has_unread())

    def request_origin(self) -> RequestOrigin:
        """How the request that is being served came; `sent_ahead` is known in a drain only."""
        now = self._server.loop.time()
        promised_s = 0.0 if self._promised_at is None else now - self._promised_at
        return RequestOrigin(
            max(0, self._completed_requests - len(self._pending) - 1),
            self._sent_ahead,
            now - self._response_ended_at,
            promised_s,
        )

    def _close(self, *, discard: bool) -> None:
        """Close the connection after its last response.

        Closing with unread bytes would reset the connection, and the response could be lost. So the
        sending side is shut down first, and received bytes are discarded: at once, or from the
        client's end of stream or `LINGER_S` on.

        Args:
            discard: whether to read further bytes at once. False if the last response let the
                connection stay open: a request that crosses the close then stays unread, so that
                its client may send it again.
        """
        self._input_ended = self._closing = True
        self._pending.clear()
        self._unparsed = b""
        if self._transport is None:
            return
        if discard:
            self._discard_input()
        elif not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        self._server.connection_finishing(self)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._server.loop.call_later(LINGER_S, self._close_after_linger)

    def _discard_input(self) -> None:
        """Read what the client sends after the last response; `data_received` discards it."""
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()

    def discard_if_peer_closed(self) -> None:
        """Discard what a client has sent after the last response, once it sends nothing more.

        With reading paused, the loop would not notice the client's end of stream.
        """
        if self._reading_paused and self._poller is not None and self._poller.peer_closed():
            self._discard_input()

    def _close_after_linger(self) -> None:
        """Close the connection after `LINGER_S`, or try again after as long.

        `sweep` closes a connection whose client does not read the response.
        """
        if self._transport is not None and not self.close_finished():
            self._server.loop.call_later(LINGER_S, self._close_after_linger)

    def eof_received(self) -> bool:
        """Let the transport close after the client's end of stream (asyncio)."""
        return False  # closes the transport, so that an open request ends by `connection_lost`

    def abort(self) -> None:
        """Close the connection at once, discarding unsent bytes."""
        self._server.connection_closing(self)
        if self._transport is not None:
            self._transport.abort()

    def has_left(self) -> bool:
        """Whether the client has disconnected, polled from the socket; if so, close the connection.

        With reading paused, the loop would not notice the disconnect.
        """
        if self._poller is not None and self._poller.peer_closed():
            self.abort()
            return True
        return self._transport is None

    # Called by the server.

    def idle(self) -> bool:
        """Whether the connection is between requests and all its responses are sent.

        Bytes that this process has not read are not considered.
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
        """Close an idle connection unless it has unread bytes; whether it was closed.

        An unread request must be served, and closing with unread bytes would send a reset. So would
        a request that crosses the close; the end of a recent response could be lost to it.
        """
        if self._poller is None or self._poller.has_unread():
            return False
        responded_s = self._server.loop.time() - self._response_ended_at
        if self._completed_requests and responded_s < LINGER_S:
            self._close(discard=False)
        else:
            self.abort()
        return True

    def close_finished(self) -> bool:
        """Close a connection after its last response; whether it was closed.

        It stays open until the kernel has the response and no bytes are unread: closing with unread
        bytes would send a reset, which discards what the client's kernel has not received.
        """
        if self._writing_paused or self._poller is None:
            return False
        if self._poller.has_unread():
            self._discard_input()
            return False
        self.abort()
        return True

    def end_incomplete_request(self) -> None:
        """Refuse a request that has begun to arrive and is not complete, after those before it."""
        if self._in_request and not self._input_ended:
            self._input_ended = True
            self._pending.append(
                PendingRequest(
                    None, 503, keep=False, why="the drain ended before the request's end"
                )
            )
            self._advance()

    def sweep(self, now: float, times: TimeLimits) -> None:
        """Close the connection if it has exceeded a time-out.

        Clients that connect and send nothing must not use up the file descriptors.
        """
        waited = now - self.last_progress_at
        if self._closing:
            self.discard_if_peer_closed()
        if self._writing_paused and waited > times.unread:
            self.abort()
        elif self._in_request and not self._serving and not self._input_ended:
            if waited > (times.head if self._in_head else times.body):
                self._input_ended = True
                self._pending.append(
                    PendingRequest(None, 408, keep=False, why="time-out before the request's end")
                )
                self._advance()
        elif (
            self.idle() and waited > times.idle[min(self._completed_requests, len(times.idle) - 1)]
        ):
            self.close_idle()
