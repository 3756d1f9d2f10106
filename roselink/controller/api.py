"""The operator's interface over HTTP: a klein application in front of the replicated chain.

Every member answers for itself. An order's digest covers its kind, its base version and its bytes,
so the chain knows an order that comes again, at any member and after a restart. An update of single
items is merged onto the confirmed document of its base, and goes on as a whole document. Answers:
200 committed; 412 another version is in place; 400 invalid; 413 too large; 503 with Retry-After
when nobody could say in time.
"""

from __future__ import annotations

import json
from dataclasses import asdict
from io import BytesIO
from typing import TYPE_CHECKING, Any, Protocol

import structlog
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request, Site

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
from roselink.controller.field_validators import MAX_INTEGER
from roselink.controller.updates import parse_update_request, submit_update
from roselink.controller.validation import ValidationFailure, ValidationFault, validate
from roselink.coordination.state import digest_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.controller.gateway_roster import GatewayLag
    from roselink.controller.twisted_reactor import Clock
    from roselink.model.fleet import VersionVector

MAX_BODY_BYTES = 16 * 1024 * 1024
SUBMIT_TIMEOUT_S = 2.3
CONFIRM_TIMEOUT_S = 0.9  # a caller moves on after a second of silence
STATUS_TIMEOUT_S = 0.5
RETRY_AFTER_S = "0.2"
IDLE_TIMEOUT_S = 60

# The outcomes' names in the log are older than the classes' names, and stay for searches of logs.
_LOGGED_OUTCOMES: dict[type[SubmitOutcome], str] = {
    ChangeCommitted: "TakenOrder",
    Conflict: "Conflict",
    StaleGeneration: "NotNewer",
    OutcomeUnknown: "Unsettled",
}

log = structlog.get_logger("roselink.api")


class Published(Protocol):
    """What the status page shows of the pull service."""

    @property
    def versions(self) -> VersionVector:
        """The versions that this member has published."""

    def lags(self) -> tuple[GatewayLag, ...]:
        """The gateways heard by the tail."""


def read_base(values: list[str]) -> int | None:
    """The version in the X-Base-Version headers of a request; None if there is none, or more than
    one.
    """
    if len(values) != 1:
        return None
    text = values[0].strip()
    if not (text.isascii() and text.isdigit() and len(text) <= 19):
        return None
    base = int(text)
    return base if base <= MAX_INTEGER else None


class ApiRequest(Request):
    """A request whose body stays in memory, up to a bound; past it the body is dropped."""

    too_large = False
    content: BytesIO

    def gotLength(self, length: int | None) -> None:
        """Make room for the body."""
        self.content = BytesIO()
        self.too_large = length is not None and length > MAX_BODY_BYTES

    def handleContentChunk(self, data: bytes) -> None:
        """Take a piece of the body."""
        if not self.too_large and self.content.tell() + len(data) > MAX_BODY_BYTES:
            self.too_large = True
            self.content = BytesIO()
        if not self.too_large:
            self.content.write(data)


class AdminApi:
    """The routes of the interface."""

    def __init__(self, node: ReplicatedChain, published: Published, clock: Clock) -> None:
        self._node = node
        self._published = published
        self._clock = clock
        self._stopping = False
        self._open = 0
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
        """Take no more orders; what is under way goes on."""
        self._stopping = True

    @property
    def in_flight(self) -> int:
        """How many orders wait for their end."""
        return self._open

    def _replace(self, request: ApiRequest) -> Any:
        base = self._base(request)
        if not isinstance(base, int):
            return base
        body = request.content.read()
        checked = validate(body)
        if isinstance(checked, ValidationFailure):
            return _refused(request, base, checked)
        order = ConfigurationChange(base, checked.generation, body, digest_of(base, body))
        return self._carried(
            request, base, checked.generation, lambda done: self._node.submit(order, done)
        )

    def _update(self, request: ApiRequest) -> Any:
        base = self._base(request)
        if not isinstance(base, int):
            return base
        call = parse_update_request(base, request.content.read())
        if isinstance(call, ValidationFailure):
            return _refused(request, base, call)
        return self._carried(
            request,
            base,
            call.update.generation,
            lambda done: submit_update(call, self._node.confirm, self._node.submit, done),
        )

    def _base(self, request: ApiRequest) -> int | bytes:
        """The version that an order builds on, or the answer to an order that can't be taken."""
        if request.too_large:
            return _json(request, 413, {"error": "too large", "most_bytes": MAX_BODY_BYTES})
        base = read_base(
            [str(value) for value in request.requestHeaders.getRawHeaders("X-Base-Version", [])]
        )
        if base is None:
            return _invalid(
                request, (ValidationFault("X-Base-Version", "must be one whole number"),)
            )
        if self._stopping:
            return _unavailable(request, "stopping")
        return base

    def _carried(
        self,
        request: ApiRequest,
        base: int,
        generation: int,
        begin: Callable[[Callable[[Any], None]], None],
    ) -> Deferred[Any]:
        """The answer to an order once `begin` has brought its outcome, or late in time."""
        self._open += 1
        settled = self._in_time(SUBMIT_TIMEOUT_S, begin, OutcomeUnknown())
        return settled.addBoth(self._closed).addCallback(
            self._answer_order, request, base, generation
        )

    def _closed(self, outcome: Any) -> Any:
        self._open -= 1
        return outcome

    def _answer_order(
        self,
        outcome: SubmitOutcome | ValidationFailure,
        request: ApiRequest,
        base: int,
        generation: int,
    ) -> bytes:
        if isinstance(outcome, ValidationFailure):
            return _refused(request, base, outcome)
        log.info(
            "change_decided",
            base=base,
            generation=generation,
            outcome=_LOGGED_OUTCOMES[type(outcome)],
        )
        match outcome:
            case ChangeCommitted(sequence):
                return _json(request, 200, {"generation": generation, "sequence": sequence})
            case Conflict(current):
                return _conflict(request, current)
            case StaleGeneration(current) if current != base:
                return _conflict(request, current)
            case StaleGeneration(current):
                return _invalid(
                    request, (ValidationFault("generation", f"must be above {current}"),)
                )
            case OutcomeUnknown():
                return _unavailable(request, "unsettled")

    def _get(self, request: ApiRequest) -> Any:
        confirmed = self._in_time(CONFIRM_TIMEOUT_S, self._node.confirm, None)
        return confirmed.addCallback(self._answer_document, request)

    def _answer_document(self, confirmation: Confirmation | None, request: ApiRequest) -> bytes:
        if confirmation is None:
            return _unavailable(request, "unconfirmed")
        if confirmation.document is None:
            return _json(request, 404, {"error": "no configuration yet"})
        return _body(request, 200, confirmation.document)

    def _status(self, request: ApiRequest) -> Any:
        confirmed = self._in_time(STATUS_TIMEOUT_S, self._node.confirm, None)
        return confirmed.addCallback(self._answer_status, request)

    def _answer_status(self, confirmation: Confirmation | None, request: ApiRequest) -> bytes:
        node, versions = self._node, self._published.versions
        sequence = confirmation.sequence if confirmation is not None else None
        tail = node.tail
        return _json(
            request,
            200,
            {
                "epoch": node.epoch,
                "is_tail": node.is_tail,
                "tail": f"{tail[0]}:{tail[1]}" if tail is not None else None,
                "core": list(node.core_addresses()),
                "chain": list(node.chain_addresses()),
                "confirmed": confirmation is not None,
                "generation": confirmation.generation if confirmation is not None else None,
                "versions": {
                    "configuration": sequence,
                    "hosts": versions.hosts,
                    "roster": versions.roster,
                },
                "gateways": [_lag(lag, sequence) for lag in self._published.lags()],
            },
        )

    def _in_time(
        self, timeout_s: float, begin: Callable[[Callable[[Any], None]], None], otherwise: Any
    ) -> Deferred[Any]:
        """What `begin` hands to its callback, or `otherwise` when that takes too long."""
        waiting: Deferred[Any] = Deferred()

        def settle(value: Any) -> None:
            if timer.active():
                timer.cancel()
                waiting.callback(value)

        def expire() -> None:
            waiting.callback(otherwise)

        timer = self._clock.callLater(timeout_s, expire)
        begin(settle)
        return waiting


def _lag(lag: GatewayLag, sequence: int | None) -> dict[str, Any]:
    shown = asdict(lag)
    shown["configuration_behind"] = sequence is not None and lag.configuration < sequence
    return shown


def _body(request: Any, status: int, body: bytes) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    request.setHeader(b"Content-Length", str(len(body)).encode())
    return body


def _json(request: ApiRequest, status: int, value: Any) -> bytes:
    return _body(request, status, json.dumps(value).encode())


def _refused(request: ApiRequest, base: int, refused: ValidationFailure) -> bytes:
    log.info("change_rejected", base=base, faults=[str(fault) for fault in refused.faults[:5]])
    return _invalid(request, refused.faults)


def _invalid(request: ApiRequest, faults: tuple[ValidationFault, ...]) -> bytes:
    return _json(request, 400, {"error": "invalid", "faults": [asdict(fault) for fault in faults]})


def _conflict(request: ApiRequest, current: int) -> bytes:
    return _json(request, 412, {"error": "conflict", "current": current})


def _unavailable(request: Any, why: str) -> bytes:
    request.setHeader(b"Retry-After", RETRY_AFTER_S.encode())
    return _json(request, 503, {"error": why})
