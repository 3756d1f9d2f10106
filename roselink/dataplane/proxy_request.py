"""A client's request as typed values, and the head that a host gets for it."""

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
# Not relayed to a host as the client sent them: set here, or not for hosts to see.
_SET_HERE = frozenset(
    b"authorization content-length expect x-tenant-id x-target-instance x-request-deadline "
    b"priority "
    b"expect-version last-event-id".split()
)
_SINGLE = frozenset(
    b"host x-request-id x-request-deadline authorization last-event-id x-token-usage".split()
)
# A `Connection` header can't take these away from the host.
_ALWAYS_RELAYED = frozenset(b"host x-request-id x-model x-token-usage x-prompt-prefix".split())
LOWEST_PRIORITY = 9
# A tenant's rank goes before the route's.
PRIORITY_STEP = 3
PROMPT_PARTS_LIMIT = 256
# A day: longer deadlines are taken for none.
DEADLINE_LIMIT_S = 86400
# Digits of a number of tokens.
TOKEN_DIGITS_LIMIT = 9


@dataclass(slots=True)
class ProxyRequest:
    """One complete request.

    `since`: loop time from which its deadline counts; `deadline_s`: how long its client waits, None
    if it does not say; `version`: of HTTP, as its client speaks it.
    """

    method: bytes
    url: bytes
    host: str
    path: str
    id: bytes
    headers: Headers
    body: bytes
    has_body: bool
    since: float
    deadline_s: float | None
    key: str | None
    last_event_id: bytes
    tokens: tuple[int, int] | None
    prompt: tuple[PromptSegment, ...]
    version: str = "1.1"


def read_request(
    method: bytes, url: bytes, headers: Headers, body: bytes, since: float
) -> ProxyRequest:
    """A request that may go on as far as its form says; raises `BadRequestError`."""
    single: dict[bytes, bytes] = {}
    has_body = bool(body)
    for name, value in headers:
        lower = name.lower()
        plain = lower.replace(b"_", b"-")
        if plain != lower and plain in _SINGLE:
            raise BadRequestError(400, f"{plain.decode()} spelt oddly")
        if lower in _SINGLE and lower in single:
            raise BadRequestError(400, f"two headers {lower.decode()}")
        single[lower] = value
        has_body = has_body or lower in (b"content-length", b"transfer-encoding")
    if not url.startswith(b"/"):
        raise BadRequestError(400, "no path")
    if not single.get(b"host"):
        raise BadRequestError(400, "no Host")
    if not single.get(b"x-request-id"):
        raise BadRequestError(400, "no X-Request-Id")
    return ProxyRequest(
        method=method,
        url=url,
        host=single[b"host"].decode("latin-1"),
        path=url.partition(b"?")[0].decode("latin-1"),
        id=single[b"x-request-id"],
        headers=headers,
        body=body,
        has_body=has_body,
        since=since,
        deadline_s=_milliseconds(single.get(b"x-request-deadline")),
        key=_bearer(single.get(b"authorization")),
        last_event_id=single.get(b"last-event-id", b""),
        tokens=_token_usage(single.get(b"x-token-usage")),
        prompt=_prompt(single.get(b"x-prompt-prefix")),
    )


def _milliseconds(value: bytes | None) -> float | None:
    """Seconds, or None where there is no number that makes sense."""
    try:
        seconds = float(value or b"") / 1000
    except ValueError:
        return None
    return seconds if 0 <= seconds < DEADLINE_LIMIT_S else None


def _bearer(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" and key.strip() else None


def _token_usage(value: bytes | None) -> tuple[int, int] | None:
    first, comma, second = (value or b"").partition(b",")
    first = first.strip()
    second = second.strip()
    if not (
        comma
        and first.isdigit()
        and second.isdigit()
        and len(first) <= TOKEN_DIGITS_LIMIT
        and len(second) <= TOKEN_DIGITS_LIMIT
    ):
        return None
    return int(first), int(second)


def _prompt(value: bytes | None) -> tuple[PromptSegment, ...]:
    if not value:
        return ()
    parts = []
    for part in value.split(b",", PROMPT_PARTS_LIMIT):
        name, colon, tokens = part.strip().partition(b":")
        if not (colon and tokens.isdigit() and len(tokens) <= TOKEN_DIGITS_LIMIT):
            return ()
        parts.append(PromptSegment(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def priority_of(route: Route, tenant: Tenant | None) -> int:
    """0 goes first, 9 last."""
    rank = tenant.priority if tenant is not None else 0
    return max(0, min(LOWEST_PRIORITY, PRIORITY_STEP * rank + route.priority))


def host_head(request: ProxyRequest, route: Route, tenant: Tenant | None) -> bytes:
    """What each host gets of a request's head; `attempt_head` ends it."""
    lines = [b"%b %b HTTP/1.1" % (request.method, request.url)]
    named = _named_by_connection(request.headers)
    for name, value in request.headers:
        plain = name.lower().replace(b"_", b"-")
        if (
            plain in HOP_BY_HOP
            or plain in _SET_HERE
            or (plain in named and plain not in _ALWAYS_RELAYED)
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


def _named_by_connection(headers: Headers) -> set[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return named


def attempt_head(host: str, left_ms: int, last_event_id: bytes) -> bytes:
    """What differs by attempt, and the end of the head."""
    resume = b"Last-Event-Id: %b\r\n" % last_event_id if last_event_id else b""
    return b"X-Target-Instance: %b\r\nX-Request-Deadline: %d\r\n%b\r\n" % (
        host.encode(),
        left_ms,
        resume,
    )


def relayed_headers(headers: Headers) -> Headers:
    """A host's headers that are relayed to the client."""
    named = _named_by_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP
        and lower != b"content-length"
        and (lower not in named or lower == b"x-response-signature")
    ]
