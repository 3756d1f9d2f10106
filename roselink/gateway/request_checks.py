"""Validates client requests and builds the head that is forwarded to a host.

An invalid request raises `BadRequestError` with its status: 404 for a path without a known route
(400 if the path also has a key segment), 400 otherwise.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from urllib.parse import unquote

from roselink.balancer.interface import Effect
from roselink.gateway.engine import ClientRequest
from roselink.http.exceptions import BadRequestError

if TYPE_CHECKING:
    from roselink.gateway.config import Config

# Headers that are not forwarded: hop-by-hop ones (RFC 9110, section 7.6.1) and those that the
# gateway sets itself.
NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect "
    b"content-length "
    b"request-timeout-ms proxy-authorization proxy-authenticate".split()
)
# Headers that a request may have only once.
SINGLE_VALUED = frozenset((b"request-id", b"idempotency-key", b"request-timeout-ms"))
# Largest number of digits of a number in a header.
MAX_TIMEOUT_DIGITS = 12
MAX_HINT_DIGITS = 11
# Number of segments of the path `/route/key`, with the empty one before its first slash.
PATH_WITH_KEY_SEGMENTS = 3
# Index for a tenant that the configuration does not name.
UNKNOWN_TENANT = -1


class RequestChecks:
    """Validates requests by the routes and tenants of the configuration."""

    def __init__(self, config: Config) -> None:
        """Indexes the routes and tenants of the configuration."""
        routes = config.settings.routes
        self._routes = {route.name: index for index, route in enumerate(routes)}
        self._effects = [route.effect for route in routes]
        self._deadlines_s = [route.deadline_us / 1e6 for route in routes]
        self._tenants = {name: index for index, name in enumerate(config.tenants)}
        # Requests received at or after `_short_deadline_from` expire at `_short_deadline` at the
        # latest (loop times).
        self._short_deadline_from = math.inf
        self._short_deadline = math.inf

    def shorten_deadlines(self, received_from: float, short_deadline: float) -> None:
        """Bounds the expiry of requests received from `received_from` on by `short_deadline`."""
        self._short_deadline_from = received_from
        self._short_deadline = short_deadline

    def check(
        self,
        method: bytes,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        received_at: float,
    ) -> ClientRequest:
        """Validates a request and prepares it for forwarding.

        Args:
            method: Method as received.
            url: Request target as received.
            headers: Header names and values as received.
            body: The decoded body.
            received_at: Loop time from which the client's deadline counts.

        Raises:
            BadRequestError: The request is invalid; holds the status to respond with.
        """
        segments = url.partition(b"?")[0].split(b"/")
        route = self._route(segments)
        values, forwarded = self._read_headers(headers)
        self._check_method_and_body(route, method, body, values)
        request_id = values.get(b"request-id", b"").decode("latin-1")
        if not request_id:
            raise BadRequestError(400, "missing Request-Id")
        expires = received_at + min(self._timeout_s(values), self._deadlines_s[route])
        if self._effects[route] is not Effect.SAFE:
            forwarded.append(b"Content-Length: %d" % len(body))
        head = [b"%b %b HTTP/1.1" % (method, url), *forwarded]
        tenant = values.get(b"tenant", b"").decode("latin-1")
        return ClientRequest(
            id=request_id,
            route=route,
            tenant=self._tenants.get(tenant, UNKNOWN_TENANT),
            key=_path_key(segments),
            expires=expires
            if received_at < self._short_deadline_from
            else min(expires, self._short_deadline),
            repeat=values.get(b"client-retry") == b"1",
            work_us=_work_us(values.get(b"work-hint", b"")),
            head=b"\r\n".join(head) + b"\r\n",
            body=body,
        )

    def _route(self, segments: list[bytes]) -> int:
        """Index of the route that the path's first segment names."""
        if len(segments) < PATH_WITH_KEY_SEGMENTS - 1 or segments[0] or not segments[1]:
            raise BadRequestError(404, "the path names no route")
        route = self._routes.get(unquote(segments[1].decode("latin-1")))
        if route is None:
            # True for `/route/key` only, also with an empty key; longer paths give 404.
            has_key_segment = len(segments) == PATH_WITH_KEY_SEGMENTS
            raise BadRequestError(
                400 if has_key_segment else 404, "the path names an unknown route"
            )
        return route

    @staticmethod
    def _read_headers(
        headers: list[tuple[bytes, bytes]],
    ) -> tuple[dict[bytes, bytes], list[bytes]]:
        """Last value of each header by lower-case name, and the header lines to forward."""
        values: dict[bytes, bytes] = {}
        forwarded: list[bytes] = []
        for name, value in headers:
            lower_name = name.lower()
            if lower_name in SINGLE_VALUED and lower_name in values:
                raise BadRequestError(400, f"duplicate header {lower_name.decode()}")
            values[lower_name] = value
            if lower_name not in NOT_FORWARDED:
                forwarded.append(b"%b: %b" % (name, value))
        return values, forwarded

    def _check_method_and_body(
        self, route: int, method: bytes, body: bytes, headers: dict[bytes, bytes]
    ) -> None:
        """Checks that method, body and Idempotency-Key are valid for the route."""
        safe = self._effects[route] is Effect.SAFE
        needs_idempotency_key = self._effects[route] is Effect.KEYED
        if method != (b"GET" if safe else b"POST"):
            raise BadRequestError(400, "the route requires another method: GET if safe, else POST")
        if safe and body:
            raise BadRequestError(400, "GET request with a body")
        if needs_idempotency_key != bool(headers.get(b"idempotency-key")):
            raise BadRequestError(400, "missing Idempotency-Key, or the route does not allow it")

    @staticmethod
    def _timeout_s(headers: dict[bytes, bytes]) -> float:
        """Time that the client waits for its response, in seconds."""
        value = headers.get(b"request-timeout-ms", b"")
        if not value.isdigit() or len(value) > MAX_TIMEOUT_DIGITS or int(value) == 0:
            raise BadRequestError(400, "missing or invalid Request-Timeout-Ms")
        return int(value) / 1000


def _path_key(segments: list[bytes]) -> str | None:
    """The key in the path: its last segment, if one follows the route and is not empty."""
    if len(segments) >= PATH_WITH_KEY_SEGMENTS and segments[-1]:
        return unquote(segments[-1].decode("latin-1"))
    return None


def _work_us(hint: bytes) -> int | None:
    """The client's estimate of the processing time; an invalid one counts as absent."""
    return int(hint) if hint.isdigit() and len(hint) <= MAX_HINT_DIGITS else None
