"""The operator's interface over HTTP: a klein application in front of the replicated chain.

Every member serves it. A change's digest covers its kind, its base version and its bytes, so the
chain recognises a resubmitted change at any member and after a restart. An update of single items
is merged onto the confirmed document of its base, and proposed as a complete document.
Responses: 200 committed; 412 another version is current; 400 invalid; 413 too large; 503 with
Retry-After when the outcome was not known in time.
"""

from __future__ import annotations

import json
from dataclasses import asdict
from io import BytesIO
from typing import TYPE_CHECKING, Protocol, TypeAlias, TypeVar

import structlog
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request, Site

from roselink.controller.api_errors import ApiError
from roselink.controller.chain_interface import (
    ChangeCommitted,
    ConfigurationChange,
    Confirmation,
    Conflict,
    OutcomeUnknown,
    ReplicatedChain,
    StaleGeneration,
    SubmitOutcome,
)
from roselink.controller.field_validators import MAX_INTEGER, JsonValue
from roselink.controller.updates import parse_update_request, submit_update
from roselink.controller.validation import ValidationFailure, ValidationFault, validate
from roselink.coordination.state import digest_of

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from roselink.controller.gateway_roster import GatewayLag
    from roselink.controller.twisted_reactor import Clock
    from roselink.model.fleet import VersionVector

MAX_BODY_BYTES = 16 * 1024 * 1024
# Less than the 2.5 s after which the chain itself ends a change with an unknown outcome.
SUBMIT_TIMEOUT_S = 2.3
# Less than the 1 s after which a caller tries another member.
CONFIRM_TIMEOUT_S = 0.9
STATUS_TIMEOUT_S = 0.5
# Value of the Retry-After header, in seconds.
RETRY_AFTER_S = "0.2"
IDLE_TIMEOUT_S = 60
# Digits of the largest integer of a record; longer text is rejected without conversion.
MAX_BASE_DIGITS = 19

# The log keeps the outcomes' former names, which existing log searches use.
_LOGGED_OUTCOMES: dict[type[SubmitOutcome], str] = {
    ChangeCommitted: "TakenOrder",
    Conflict: "Conflict",
    StaleGeneration: "NotNewer",
    OutcomeUnknown: "Unsettled",
}

Response: TypeAlias = "bytes | Deferred[bytes]"
ChangeOutcome = SubmitOutcome | ValidationFailure
Result = TypeVar("Result")

log = structlog.get_logger("roselink.api")


class PublishedState(Protocol):
    """The state of the pull service that the status page shows."""

    @property
    def versions(self) -> VersionVector:
        """The versions that this member has published."""

    def lags(self) -> tuple[GatewayLag, ...]:
        """The gateways that pull from the tail."""


def parse_base_version(values: list[str]) -> int | None:
    """The version in a request's X-Base-Version headers; None unless there is exactly one."""
    if len(values) != 1:
        return None
    text = values[0].strip()
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_BASE_DIGITS):
        return None
    base = int(text)
    return base if base <= MAX_INTEGER else None


class ApiRequest(Request):
    """A request whose body is buffered in memory; one above `MAX_BODY_BYTES` is discarded."""

    too_large = False
    content: BytesIO

    def gotLength(self, length: int | None) -> None:
        """Start buffering the body; `length` is None for a chunked body."""
        self.content = BytesIO()
        self.too_large = length is not None and length > MAX_BODY_BYTES

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a chunk of the body."""
        if not self.too_large and self.content.tell() + len(data) > MAX_BODY_BYTES:
            self.too_large = True
            self.content = BytesIO()
        if not self.too_large:
            self.content.write(data)

    def close_after_response(self) -> None:
        """Close the connection once the client's kernel can have the whole response."""
        self.setHeader(b"Connection", b"close")  # type: ignore[no-untyped-call]
        if self.channel is not None:
            self.channel.persistent = False


class AdminApi:
    """The HTTP routes of the operator's interface."""

    def __init__(
        self, chain: ReplicatedChain, published_state: PublishedState, clock: Clock
    ) -> None:
        """Create the interface; the caller serves `site`.

        Args:
            chain: the replicated chain.
            published_state: what the pull service has published.
            clock: schedules the requests' time-outs.
        """
        self._chain = chain
        self._published_state = published_state
        self._clock = clock
        self._stopping = False
        self._in_flight = 0
        app = Klein()
        app.route("/config/replace", methods=["POST"])(self._replace)
        app.route("/config/update", methods=["POST"])(self._update)
        app.route("/config/get", methods=["GET"])(self._get)
        app.route("/status", methods=["GET"])(self._status)
        self._app = app

    def site(self) -> Site:
        """The HTTP server's factory."""
        site = Site(  # type: ignore[no-untyped-call]
            self._app.resource(), requestFactory=ApiRequest, timeout=IDLE_TIMEOUT_S
        )
        site.displayTracebacks = False
        site.noisy = False
        return site

    def stop(self) -> None:
        """Refuse new requests, and close each connection at its next response.

        Requests in flight go on.
        """
        self._stopping = True

    @property
    def in_flight(self) -> int:
        """The number of changes and reads without a response."""
        return self._in_flight

    def _replace(self, request: ApiRequest) -> Response:
        base = self._base_version_or_error(request)
        if not isinstance(base, int):
            return base
        body = request.content.read()
        validated = validate(body)
        if isinstance(validated, ValidationFailure):
            return _validation_failed(request, base, validated)
        change = ConfigurationChange(base, validated.generation, body, digest_of(base, body))
        return self._respond_to_change(
            request, base, validated.generation, lambda done: self._chain.submit(change, done)
        )

    def _update(self, request: ApiRequest) -> Response:
        base = self._base_version_or_error(request)
        if not isinstance(base, int):
            return base
        update_request = parse_update_request(base, request.content.read())
        if isinstance(update_request, ValidationFailure):
            return _validation_failed(request, base, update_request)
        return self._respond_to_change(
            request,
            base,
            update_request.update.generation,
            lambda done: submit_update(
                update_request, self._chain.confirm, self._chain.submit, done
            ),
        )

    def _base_version_or_error(self, request: ApiRequest) -> int | bytes:
        """The base version of a change, or the error response if the request is rejected."""
        if request.too_large:
            return _error(request, ApiError.TOO_LARGE, most_bytes=MAX_BODY_BYTES)
        base = parse_base_version(
            [str(value) for value in request.requestHeaders.getRawHeaders("X-Base-Version", [])]
        )
        if base is None:
            return _invalid(
                request, (ValidationFault("X-Base-Version", "must be one whole number"),)
            )
        if self._stopping:
            return _stopping(request)
        return base

    def _respond_to_change(
        self,
        request: ApiRequest,
        base: int,
        generation: int,
        operation: Callable[[Callable[[ChangeOutcome], None]], None],
    ) -> Deferred[bytes]:
        """The response to a change: once `operation` reports its outcome, or at the time-out."""
        unknown: ChangeOutcome = OutcomeUnknown()
        outcome = self._with_timeout(SUBMIT_TIMEOUT_S, operation, unknown)
        response = outcome.addCallback(self._outcome_response, request, base, generation)
        return self._count_in_flight(response, request)

    def _count_in_flight(self, response: Deferred[bytes], request: ApiRequest) -> Deferred[bytes]:
        """Count a request as in flight until its response is there."""
        self._in_flight += 1

        def end(result: Result) -> Result:
            self._in_flight -= 1
            if self._stopping:
                request.close_after_response()
            return result

        return response.addBoth(end)

    def _outcome_response(
        self,
        outcome: SubmitOutcome | ValidationFailure,
        request: ApiRequest,
        base: int,
        generation: int,
    ) -> bytes:
        if isinstance(outcome, ValidationFailure):
            return _validation_failed(request, base, outcome)
        log.info(
            "change_decided",
            base=base,
            generation=generation,
            outcome=_LOGGED_OUTCOMES[type(outcome)],
        )
        match outcome:
            case ChangeCommitted(sequence):
                return _json_response(
                    request, 200, {"generation": generation, "sequence": sequence}
                )
            case Conflict(current):
                return _conflict(request, current)
            case StaleGeneration(current) if current != base:
                return _conflict(request, current)
            case StaleGeneration(current):
                return _invalid(
                    request, (ValidationFault("generation", f"must be above {current}"),)
                )
            case OutcomeUnknown():
                return _unavailable(request, ApiError.UNSETTLED)

    def _get(self, request: ApiRequest) -> Response:
        if self._stopping:
            return _stopping(request)
        confirmed = self._with_timeout(CONFIRM_TIMEOUT_S, self._chain.confirm, None)
        response = confirmed.addCallback(self._document_response, request)
        return self._count_in_flight(response, request)

    def _document_response(self, confirmation: Confirmation | None, request: ApiRequest) -> bytes:
        if confirmation is None:
            return _unavailable(request, ApiError.UNCONFIRMED)
        if confirmation.document is None:
            return _error(request, ApiError.NO_CONFIGURATION)
        return _response(request, 200, confirmation.document)

    def _status(self, request: ApiRequest) -> Response:
        if self._stopping:
            return _stopping(request)
        confirmed = self._with_timeout(STATUS_TIMEOUT_S, self._chain.confirm, None)
        response = confirmed.addCallback(self._status_response, request)
        return self._count_in_flight(response, request)

    def _status_response(self, confirmation: Confirmation | None, request: ApiRequest) -> bytes:
        chain = self._chain
        versions = self._published_state.versions
        sequence = confirmation.sequence if confirmation is not None else None
        tail = chain.tail
        return _json_response(
            request,
            200,
            {
                "epoch": chain.epoch,
                "is_tail": chain.is_tail,
                "tail": f"{tail[0]}:{tail[1]}" if tail is not None else None,
                "core": list(chain.core_addresses()),
                "chain": list(chain.chain_addresses()),
                "confirmed": confirmation is not None,
                "generation": confirmation.generation if confirmation is not None else None,
                "versions": {
                    "configuration": sequence,
                    "hosts": versions.hosts,
                    "roster": versions.roster,
                },
                "disk": asdict(chain.disk_status()),
                "gateways": [_lag_as_json(lag, sequence) for lag in self._published_state.lags()],
            },
        )

    def _with_timeout(
        self,
        timeout_s: float,
        operation: Callable[[Callable[[Result], None]], None],
        default: Result,
    ) -> Deferred[Result]:
        """What `operation` passes to its callback, or `default` after `timeout_s`."""
        deferred: Deferred[Result] = Deferred()

        def finish(value: Result) -> None:
            if timer.active():
                timer.cancel()
                deferred.callback(value)

        def expire() -> None:
            deferred.callback(default)

        timer = self._clock.callLater(timeout_s, expire)
        operation(finish)
        return deferred


def _lag_as_json(lag: GatewayLag, sequence: int | None) -> dict[str, JsonValue]:
    fields = asdict(lag)
    fields["configuration_behind"] = sequence is not None and lag.configuration < sequence
    return fields


def _response(request: ApiRequest, status: int, body: bytes) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")  # type: ignore[no-untyped-call]
    request.setHeader(b"Content-Length", str(len(body)).encode())  # type: ignore[no-untyped-call]
    return body


def _json_response(request: ApiRequest, status: int, value: Mapping[str, object]) -> bytes:
    return _response(request, status, json.dumps(value).encode())


def _validation_failed(request: ApiRequest, base: int, failure: ValidationFailure) -> bytes:
    log.info("change_rejected", base=base, faults=[str(fault) for fault in failure.faults[:5]])
    return _invalid(request, failure.faults)


def _invalid(request: ApiRequest, faults: tuple[ValidationFault, ...]) -> bytes:
    return _error(request, ApiError.INVALID, faults=[asdict(fault) for fault in faults])


def _conflict(request: ApiRequest, current: int) -> bytes:
    return _error(request, ApiError.CONFLICT, current=current)


def _unavailable(request: ApiRequest, error: ApiError) -> bytes:
    request.setHeader(b"Retry-After", RETRY_AFTER_S.encode())  # type: ignore[no-untyped-call]
    return _error(request, error)


def _stopping(request: ApiRequest) -> bytes:
    request.close_after_response()
    return _unavailable(request, ApiError.STOPPING)


def _error(request: ApiRequest, error: ApiError, **fields: object) -> bytes:
    document = {"error": error.reason, "code": error.code, **fields}
    return _json_response(request, error.status, document)
