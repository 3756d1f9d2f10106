"""Parsing of a client's request, and the head that is sent to a host for it."""

from __future__ import annotations

from dataclasses import dataclass

from roselink.http.exceptions import BadRequestError
from roselink.model.configuration import Route, RouteKind, Tenant
from roselink.routing.events_and_actions import PromptSegment

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer "
    b"transfer-encoding upgrade".split()
)
# Client headers that are not relayed to hosts: the gateway sets them, or hosts must not see them.
_NOT_RELAYED = frozenset(
    b"authorization content-length expect x-tenant-id x-target-instance x-request-deadline "
    b"priority "
    b"expect-version last-event-id".split()
)
# Headers that a request may have only once.
_SINGLE_VALUED = frozenset(
    b"host x-request-id x-request-deadline authorization last-event-id x-token-usage".split()
)
# Relayed even if the client's `Connection` header lists them.
_ALWAYS_RELAYED = frozenset(b"host x-request-id x-model x-token-usage x-prompt-prefix".split())
LOWEST_PRIORITY = 9
# Weight of the tenant's priority relative to the route's.
TENANT_PRIORITY_WEIGHT = 3
# Commas at which a prompt prefix is split; one with more than 257 segments is ignored.
PROMPT_SEGMENTS_LIMIT = 256
# One day; a request with a deadline of a day or longer counts as having none.
DEADLINE_LIMIT_S = 86400
# Maximum digits of a token count.
TOKEN_DIGITS_LIMIT = 9


@dataclass(slots=True)
class ProxyRequest:
    """One complete client request.

    `host`: the Host header; `received_at`: loop time from which the deadline counts; `deadline_s`:
    how long the client waits, in seconds from `received_at`, None if not stated, invalid or a day
    or longer; `key`: the API key; `tokens`: prompt and response tokens that the client states;
    `version`: the client's HTTP version.
    """

    method: bytes
    url: bytes
    host: str
    path: str
    id: bytes
    headers: Headers
    body: bytes
    has_body: bool
    received_at: float
    deadline_s: float | None
    key: str | None
    last_event_id: bytes
    tokens: tuple[int, int] | None
    prompt: tuple[PromptSegment, ...]
    version: str = "1.1"


def read_request(
    method: bytes, url: bytes, headers: Headers, body: bytes, received_at: float
) -> ProxyRequest:
    """Validate and parse a request; raises `BadRequestError`."""
    values: dict[bytes, bytes] = {}
    has_body = bool(body)
    for name, value in headers:
        lower = name.lower()
        normalized = lower.replace(b"_", b"-")
        if normalized != lower and normalized in _SINGLE_VALUED:
            raise BadRequestError(400, f"header {normalized.decode()} is spelt with an underscore")
        if lower in _SINGLE_VALUED and lower in values:
            raise BadRequestError(400, f"header {lower.decode()} occurs more than once")
        values[lower] = value
        has_body = has_body or lower in (b"content-length", b"transfer-encoding")
    if not url.startswith(b"/"):
        raise BadRequestError(400, "the request target is not a path")
    if not values.get(b"host"):
        raise BadRequestError(400, "the Host header is missing")
    if not values.get(b"x-request-id"):
        raise BadRequestError(400, "the X-Request-Id header is missing")
    return ProxyRequest(
        method=method,
        url=url,
        host=values[b"host"].decode("latin-1"),
        path=url.partition(b"?")[0].decode("latin-1"),
        id=values[b"x-request-id"],
        headers=headers,
        body=body,
        has_body=has_body,
        received_at=received_at,
        deadline_s=_parse_deadline_s(values.get(b"x-request-deadline")),
        key=_parse_bearer_key(values.get(b"authorization")),
        last_event_id=values.get(b"last-event-id", b""),
        tokens=_parse_token_usage(values.get(b"x-token-usage")),
        prompt=_parse_prompt_prefix(values.get(b"x-prompt-prefix")),
    )


def _parse_deadline_s(value: bytes | None) -> float | None:
    """The deadline in seconds, from a value in milliseconds; None if missing or invalid."""
    try:
        seconds = float(value or b"") / 1000
    except ValueError:
        return None
    return seconds if 0 <= seconds < DEADLINE_LIMIT_S else None


def _parse_bearer_key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" and key.strip() else None


def _parse_token_usage(value: bytes | None) -> tuple[int, int] | None:
    tokens_in, comma, tokens_out = (value or b"").partition(b",")
    tokens_in = tokens_in.strip()
    tokens_out = tokens_out.strip()
    if not (
        comma
        and tokens_in.isdigit()
        and tokens_out.isdigit()
        and len(tokens_in) <= TOKEN_DIGITS_LIMIT
        and len(tokens_out) <= TOKEN_DIGITS_LIMIT
    ):
        return None
    return int(tokens_in), int(tokens_out)


def _parse_prompt_prefix(value: bytes | None) -> tuple[PromptSegment, ...]:
    if not value:
        return ()
    segments = []
    for segment in value.split(b",", PROMPT_SEGMENTS_LIMIT):
        name, colon, tokens = segment.strip().partition(b":")
        if not (colon and tokens.isdigit() and len(tokens) <= TOKEN_DIGITS_LIMIT):
            return ()
        segments.append(PromptSegment(name.decode("latin-1"), int(tokens)))
    return tuple(segments)


def priority_of(route: Route, tenant: Tenant | None) -> int:
    """Priority of a request; 0 is the highest, 9 the lowest."""
    tenant_priority = tenant.priority if tenant is not None else 0
    return max(0, min(LOWEST_PRIORITY, TENANT_PRIORITY_WEIGHT * tenant_priority + route.priority))


def common_head(request: ProxyRequest, route: Route, tenant: Tenant | None) -> bytes:
    """The part of a request's head that all hosts get; `attempt_headers` completes it."""
    lines = [b"%b %b HTTP/1.1" % (request.method, request.url)]
    connection_options = _connection_options(request.headers)
    for name, value in request.headers:
        normalized = name.lower().replace(b"_", b"-")
        if (
            normalized in HOP_BY_HOP
            or normalized in _NOT_RELAYED
            or (normalized in connection_options and normalized not in _ALWAYS_RELAYED)
        ):
            continue
        lines.append(b"%b: %b" % (name, value))
    if request.has_body:
        lines.append(b"Content-Length: %d" % len(request.body))
    if tenant is not None:
        lines.append(b"X-Tenant-Id: " + tenant.name.encode())
    if route.kind is RouteKind.STREAMING:
        lines.append(b"Priority: %d" % priority_of(route, tenant))
    return b"\r\n".join(lines) + b"\r\n"


def _connection_options(headers: Headers) -> set[bytes]:
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_options.update(entry.strip().lower() for entry in value.split(b","))
    return connection_options


def attempt_headers(instance_id: str, remaining_ms: int, last_event_id: bytes) -> bytes:
    """The headers that differ by attempt, and the end of the head."""
    resume = b"Last-Event-Id: %b\r\n" % last_event_id if last_event_id else b""
    return b"X-Target-Instance: %b\r\nX-Request-Deadline: %d\r\n%b\r\n" % (
        instance_id.encode(),
        remaining_ms,
        resume,
    )


def relayed_headers(headers: Headers) -> Headers:
    """The headers of a host's response that are relayed to the client."""
    connection_options = _connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP
        and lower != b"content-length"
        and (lower not in connection_options or lower == b"x-response-signature")
    ]
