"""One client request from its admission to its last byte.

At most one attempt's response is relayed to the client. A response is buffered until it is
complete, an event stream until its first event; a resumed stream goes on inside the response that
the first host began.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple, Protocol

from roselink.dataplane.event_streams import StreamFilter, StreamProgress
from roselink.dataplane.fleet_host_connection import NOT_EXECUTED_STATUSES, FleetAttempt, outcome_of
from roselink.dataplane.proxy_request import Headers, ProxyRequest, relayed_headers
from roselink.http.status_codes import is_success
from roselink.model.configuration import Route, RouteKind, Tenant
from roselink.routing.outcome import NEVER_RAN, Outcome

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.routing.events_and_actions import RequestFacts

# Attempts of one request: a decider that never stops must not stop the loop.
ATTEMPTS_LIMIT = 64
# Digits of a `Last-Event-Id`, as of the ids in a stream.
EVENT_ID_DIGITS_LIMIT = 18
# Bytes of a response that wait here for the rest of it.
BUFFER_LIMIT_BYTES = 256 * 1024


class ClientResponse(Protocol):
    """The client's side of one request: one complete response, or one in parts."""

    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        ...

    def send_status(self, status: int, retry_after_s: float | None = None) -> None:
        """A response of ours, without a body."""
        ...

    def send_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Begin a response in pieces; `length` in bytes, None if unknown."""
        ...

    def send_body(self, data: bytes) -> None:
        """Send bytes of the body."""
        ...

    def send_end(self) -> None:
        """End a response in pieces."""
        ...

    def abort_response(self) -> None:
        """End the connection so that what was sent does not look complete."""
        ...

    def has_left(self) -> bool:
        """Whether the client has left, though the loop has not told so yet."""
        ...

    def is_write_paused(self) -> bool:
        """Whether parts pile up, as the client does not take them."""
        ...


class CompleteResponse(NamedTuple):
    """A host's own failure, whole."""

    status: int
    headers: Headers
    body: bytes


class ResponseMode(Enum):
    """How an attempt's response is taken."""

    BUFFER = "hold"
    EVENTS = "events"
    RELAY = "pass"


class Exchange:
    """One request.

    `attempts`: those still out; `closed`: it has its final response, or its client has left.
    """

    def __init__(
        self,
        request: ProxyRequest,
        route: Route,
        tenant: Tenant | None,
        common_head: bytes,
        client: ClientResponse,
    ) -> None:
        """Start an exchange without attempts; `common_head` is the head that all hosts get."""
        self.request = request
        self.route = route
        self.tenant = tenant
        self.common_head = common_head
        self.client = client
        self.facts: RequestFacts | None = None  # None: the decider has not heard of it
        self.number = 0
        self.service = ""
        self.give_up_at = self.expires_at = 0.0
        self.attempts: dict[int, AttemptResponse] = {}
        self.relayed_attempt: AttemptResponse | None = None  # whose response goes on
        self.response_begun = self.closed = False
        self.interrupted = False  # the attempt whose response went on has ended without its end
        self.awaits_resume = False  # then: another attempt may take it up
        self.attempts_requested = 0  # attempts requested
        self.may_have_run = False  # by an attempt that has ended
        self.key_rejected = False  # its key may not be used any more
        self.quota_charged = False  # against its tenant's quota
        self.host_failure: CompleteResponse | None = None
        resume_id = request.last_event_id
        self.progress = StreamProgress(
            int(resume_id) if resume_id.isdigit() and len(resume_id) <= EVENT_ID_DIGITS_LIMIT else 0
        )
        self.deadline_timer: asyncio.TimerHandle | None = None

    @property
    def streaming(self) -> bool:
        """Whether its response is an event stream."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def may_run(self) -> bool:
        """Whether a host may have run it, or may yet."""
        return self.may_have_run or any(response.sent for response in self.attempts.values())

    @property
    def has_too_many_attempts(self) -> bool:
        """Whether more attempts were requested than make sense."""
        return self.attempts_requested > ATTEMPTS_LIMIT

    @property
    def can_resume(self) -> bool:
        """Whether another attempt may take up its stream where it broke."""
        return (
            self.response_begun
            and self.route.resumable
            and self.streaming
            and self.progress.resumable
        )

    def client_writable(self) -> None:
        """The client takes parts again."""
        if self.relayed_attempt is not None and self.relayed_attempt.attempt is not None:
            self.relayed_attempt.attempt.resume()


class AttemptResponse:
    """One attempt's response as it comes in. `first_event` and `ended` learn of it."""

    def __init__(
        self,
        exchange: Exchange,
        number: int,
        resumed: bool,
        started: float,
        first_event: Callable[[AttemptResponse], None],
        ended: Callable[[AttemptResponse, Outcome], None],
    ) -> None:
        """Start without a byte; `started` is the attempt's start in loop time."""
        self.exchange = exchange
        self.number = number
        self.resumed = resumed
        self.started = started
        self._first_event = first_event
        self._ended = ended
        self.attempt: FleetAttempt | None = None
        self.mode = ResponseMode.BUFFER
        self.status = 0
        self.headers: Headers = []
        self._outcome = Outcome.RESET
        self._body: list[bytes] = []
        self._size = 0
        self._filter: StreamFilter | None = None
        self.abandoned = False  # given up here for what it holds

    @property
    def sent(self) -> bool:
        """Whether bytes of it may have reached the host."""
        return self.attempt is not None and self.attempt.sent

    @property
    def progressed(self) -> bool:
        """Whether part of it went on."""
        return self.exchange.response_begun and self.exchange.relayed_attempt is self

    @property
    def may_relay(self) -> bool:
        """Whether no other attempt's response goes on."""
        exchange = self.exchange
        return exchange.relayed_attempt in (None, self) or (exchange.awaits_resume and self.resumed)

    # What the connection tells.

    def head(self, status: int, headers: Headers) -> None:
        """The head of the response has come."""
        self.status = status
        self.headers = headers
        self._outcome = outcome_of(status, {name.lower(): value for name, value in headers})
        if self._outcome is Outcome.SUCCESS and self.exchange.streaming:
            self.mode = ResponseMode.EVENTS
            self._filter = StreamFilter(self.exchange.progress, resumed=self.resumed)

    def body(self, data: bytes) -> None:
        """A piece of the body has come."""
        if self.mode is ResponseMode.RELAY:
            self._relay(data)
        elif self._filter is not None:
            self._events(self._filter, data)
        else:
            self._buffer(data)

    def done(self, outcome: Outcome) -> None:
        """The attempt is over; comes last and once."""
        if not self.sent and outcome not in NEVER_RAN:
            outcome = Outcome.MOOT
        self._ended(self, outcome)

    def _events(self, stream: StreamFilter, data: bytes) -> None:
        if not self.may_relay:
            self.cancel()  # before its events count as relayed
            return
        relayed = stream.feed(data)
        if relayed and self._become_relayed(None):
            self._relay(relayed)
        if stream.gap or stream.buffered_bytes > BUFFER_LIMIT_BYTES:
            self._abandon()

    def _buffer(self, data: bytes) -> None:
        self._body.append(data)
        self._size += len(data)
        if self._size <= BUFFER_LIMIT_BYTES:
            return
        if self._outcome is not Outcome.SUCCESS or self.resumed:
            self._abandon()
        elif self._become_relayed(self._stated_length()):
            self.mode = ResponseMode.RELAY
            buffered = b"".join(self._body)
            self._body = []
            self._relay(buffered)

    def _stated_length(self) -> int | None:
        for name, value in self.headers:
            if name.lower() == b"content-length" and value.isdigit():
                return int(value)
        return None

    def _become_relayed(self, length: int | None) -> bool:
        """Make this the response that goes on; whether it is."""
        exchange = self.exchange
        if exchange.closed:
            return False
        if not self.may_relay:
            self.cancel()
            return False
        if exchange.relayed_attempt is self:
            return True
        exchange.relayed_attempt = self
        exchange.interrupted = False
        exchange.awaits_resume = False
        if not exchange.response_begun:
            exchange.response_begun = True
            exchange.client.send_head(self.status, relayed_headers(self.headers), length)
        self._first_event(self)
        return True

    def _relay(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange.closed:
            return
        exchange.client.send_body(data)
        if self.attempt is not None and exchange.client.is_write_paused():
            self.attempt.pause()

    def _abandon(self) -> None:
        self.abandoned = True
        self.cancel()

    def cancel(self) -> None:
        """Call the attempt off."""
        if self.attempt is not None:
            self.attempt.cancel()

    # What the driver asks once it has ended.

    def finish_stream(self) -> bool:
        """Pass on the rest of a response that ended properly; False if it can't be whole."""
        stream = self._filter
        if stream is None:
            return True
        by_close = self.attempt is not None and self.attempt.ended_by_close
        if (by_close and stream.ends_within_event) or not self._become_relayed(None):
            return False
        rest = stream.finish()
        if rest:
            self._relay(rest)
        return True

    def complete(self) -> CompleteResponse:
        """The buffered response."""
        return CompleteResponse(self.status, relayed_headers(self.headers), b"".join(self._body))

    def failure(self) -> CompleteResponse | None:
        """The host's own failure, if a client may see it.

        It may not where the status promises what nobody knows.
        """
        if (
            self._outcome is not Outcome.ERROR
            or self.status in NOT_EXECUTED_STATUSES
            or is_success(self.status)
        ):
            return None
        return self.complete()
