"""Starts the attempts that the decider requests and reports the end of each exactly once."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Protocol

from roselink.dataplane.exchange import AttemptResponse, Exchange, ResponseMode
from roselink.dataplane.fleet_host_connection import FleetAttempt
from roselink.dataplane.proxy_request import attempt_headers
from roselink.http.status_codes import INTERNAL_SERVER_ERROR, MISDIRECTED_REQUEST
from roselink.routing.events_and_actions import AttemptEnded, Event, FirstEvent, SendAttempt
from roselink.routing.outcome import NEVER_RAN, Outcome

if TYPE_CHECKING:
    import asyncio
    from collections import Counter
    from collections.abc import Mapping

    from roselink.dataplane.fleet_host_pool import FleetHost, FleetHostPool

# Hosts get a deadline this much earlier, so that a response sent right then is still relayed.
HOST_DEADLINE_MARGIN_MS = 5
# Time after the request's deadline at which an attempt that is still open times out.
TIMEOUT_AFTER_DEADLINE_S = 1.0


class RequestOwner(Protocol):
    """Owner of the open requests."""

    counts: Counter[str]

    def handle_event(self, event: Event) -> None:
        """Pass one event to the decider."""
        ...

    def still_wanted(self, exchange: Exchange) -> bool:
        """Whether a request may still be written to a host."""
        ...

    def end_if_stuck(self, exchange: Exchange) -> None:
        """End a request that can no longer complete."""
        ...


class AttemptRunner:
    """Starts attempts and determines their outcomes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host_pool: FleetHostPool,
        hosts: Mapping[str, FleetHost],
        owner: RequestOwner,
    ) -> None:
        """Start with the connection pool for attempts and the owner to which ends are reported."""
        self._loop = loop
        self._host_pool = host_pool
        self._hosts = hosts
        self._owner = owner

    def send(self, exchange: Exchange | None, action: SendAttempt) -> None:
        """Begin an attempt, or report it as moot.

        An attempt is moot if its request is closed, its host is gone or its key is unconfirmed.
        """
        host = self._hosts.get(action.host)
        if exchange is not None:
            exchange.attempts_requested += 1
        if exchange is None or host is None or not self._can_send(exchange, host):
            self._owner.handle_event(AttemptEnded(action.number, action.attempt, Outcome.MOOT, 0.0))
            if exchange is not None:
                self._owner.end_if_stuck(exchange)
            return
        now = self._loop.time()
        resume = exchange.response_begun
        response = AttemptResponse(
            exchange, action.attempt, resume, now, self._first_event, self._ended
        )
        response.attempt = FleetAttempt(
            self._loop,
            host,
            exchange.request.id,
            exchange.request.method == b"HEAD",
            exchange.expires_at + TIMEOUT_AFTER_DEADLINE_S - now,
            response,
            partial(self._still_wanted, exchange),
            non_repeatable=not exchange.route.repeatable,
        )
        exchange.attempts[action.attempt] = response
        self._owner.counts["resumed" if resume else "attempts"] += 1
        self._host_pool.begin(
            response.attempt, partial(self._render, exchange, host, resume=resume)
        )

    def _can_send(self, exchange: Exchange, host: FleetHost) -> bool:
        if exchange.closed or host.service != exchange.service or exchange.has_too_many_attempts:
            return False
        if exchange.response_begun:
            in_time = self._loop.time() < exchange.expires_at and exchange.awaits_resume
        else:
            in_time = self._loop.time() < exchange.give_up_at
        return in_time and self._still_wanted(exchange)

    def _still_wanted(self, exchange: Exchange) -> bool:
        """Whether to write the request; called right before each write.

        A non-repeatable request is never sent if another attempt of it may have run, whatever the
        decider requests.
        """
        non_repeatable = not exchange.route.repeatable
        return not (non_repeatable and exchange.may_run) and self._owner.still_wanted(exchange)

    def _render(self, exchange: Exchange, host: FleetHost, *, resume: bool) -> bytes:
        """The request's bytes for a host, with the time that remains now."""
        remaining_ms = max(
            1, int((exchange.give_up_at - self._loop.time()) * 1000) - HOST_DEADLINE_MARGIN_MS
        )
        last_event_id = exchange.request.last_event_id
        if resume:
            last_event_id = b"%d" % (exchange.progress.last_id or 0)
        return (
            exchange.common_head
            + attempt_headers(host.name, remaining_ms, last_event_id)
            + exchange.request.body
        )

    def _first_event(self, response: AttemptResponse) -> None:
        self._owner.handle_event(FirstEvent(response.exchange.number, response.number))

    def _ended(self, response: AttemptResponse, outcome: Outcome) -> None:
        exchange = response.exchange
        exchange.attempts.pop(response.number, None)
        if response.sent and outcome not in NEVER_RAN:
            exchange.may_have_run = True
        relayed = False
        if outcome is Outcome.SUCCESS and not self._succeeded(response):
            outcome = Outcome.RESET
        elif outcome is Outcome.ERROR:
            relayed = self._failed(response)
        elif outcome is Outcome.CANCELLED and response.abandoned:
            outcome = Outcome.RESET
        if response.progressed and not exchange.closed:
            exchange.interrupted = True
            exchange.awaits_resume = exchange.can_resume
        self._owner.counts[f"attempt_{outcome.value}"] += 1
        response.attempt = None
        self._owner.handle_event(
            AttemptEnded(
                exchange.number,
                response.number,
                outcome,
                max(0.0, self._loop.time() - response.started),
                progressed=response.progressed or (response.resumed and exchange.response_begun),
                relayed=relayed,
                wrong_host=outcome is Outcome.FULL and response.status == MISDIRECTED_REQUEST,
            )
        )
        self._owner.end_if_stuck(exchange)

    def _succeeded(self, response: AttemptResponse) -> bool:
        """Relay the rest of a complete, signed response; False if it turns out to be truncated."""
        exchange = response.exchange
        if exchange.closed or not response.may_relay:
            return True
        if response.mode is ResponseMode.BUFFER:
            exchange.client.send_complete(*response.complete())
        elif response.finish_stream():
            exchange.client.send_end()
        else:
            return False
        self._owner.counts["served"] += 1
        exchange.closed = True
        return True

    def _failed(self, response: AttemptResponse) -> bool:
        """Handle a complete error response; whether it was relayed to the client.

        A 4xx is relayed, as it is the client's error. A 5xx is kept while the decider may retry.
        """
        exchange = response.exchange
        failure = response.failure()
        if failure is None or exchange.closed or exchange.response_begun:
            return False
        if failure.status >= INTERNAL_SERVER_ERROR:
            exchange.host_failure = failure
            return False
        exchange.client.send_complete(*failure)
        self._owner.counts["relayed"] += 1
        exchange.closed = True
        return True
