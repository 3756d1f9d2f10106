"""Whether a request may go on, by configuration and keys, and what the decider learns of it.

No I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from roselink.dataplane.proxy_request import ProxyRequest, priority_of
from roselink.routing.events_and_actions import RequestFacts

if TYPE_CHECKING:
    from roselink.dataplane.exchange import Exchange
    from roselink.dataplane.route_table import RouteEntry, RouteTable
    from roselink.model.configuration import Route, Tenant

DEFAULT_DEADLINE_S = 30.0
# Before the client's deadline by this much the last word is said: room for the way to the client.
DEADLINE_MARGIN_S = 0.030
# Of the time that a client in a hurry gives: the margin shrinks to fit into that.
DEADLINE_MARGIN_FRACTION = 0.25
# Configuration, keys or places are missing here: other gateways have them.
NOT_CONFIRMED_RETRY_S = 0.25
# From a start to a list of hosts after a loss of all, about (docs/policy.md).
UNCONFIGURED_RETRY_S = 1.2
# Part of it, either way.
UNCONFIGURED_RETRY_JITTER = 0.4
# Clients wait a third of the time they have left, and not longer.
CLIENT_DEADLINE_FRACTION = 0.3


class Refusal(NamedTuple):
    """A response of ours. `retry_after_s`: None where coming back is no use."""

    status: int
    retry_after_s: float | None = None


class Admitted(NamedTuple):
    """The route of a request, and its tenant.

    The tenant is None on routes that take no key.
    """

    entry: RouteEntry
    tenant: Tenant | None


NOT_CONFIRMED = Refusal(503, NOT_CONFIRMED_RETRY_S)


def unconfigured_retry_s(request: ProxyRequest, random_value: float) -> float:
    """Return the retry delay, in seconds, for a client of a gateway without a configuration.

    Usually many gateways are starting at the same time, so another gateway would not help. A client
    that retries before hosts are known is refused again, and few clients retry a second time; a
    client that retries later than necessary loses little. `random_value`, from 0 to 1, spreads the
    retries of clients that were refused together.
    """
    retry_s = UNCONFIGURED_RETRY_S * (1 + UNCONFIGURED_RETRY_JITTER * (2 * random_value - 1))
    return (
        retry_s
        if request.deadline_s is None
        else min(retry_s, CLIENT_DEADLINE_FRACTION * request.deadline_s)
    )


def decide_admission(
    table: RouteTable | None, request: ProxyRequest, *, keys_usable: bool
) -> Refusal | Admitted:
    """What the configuration says.

    A gateway that can't confirm its keys refuses by none, and does not call a route unknown, as it
    may have missed one.
    """
    if table is None:
        return NOT_CONFIRMED
    entry = table.find(request.host, request.path)
    if entry is None:
        return Refusal(404) if keys_usable else NOT_CONFIRMED
    if not table.requires_keys or entry.route.public:
        return Admitted(entry, None)
    if not keys_usable:
        return NOT_CONFIRMED
    tenant = table.tenant(request.key)
    return Refusal(401) if tenant is None else Admitted(entry, tenant)


def time_limit_s(request: ProxyRequest, route: Route) -> float:
    """How long a request may take: its client's time, or the operator's if that is shorter."""
    allowed_s = DEFAULT_DEADLINE_S if request.deadline_s is None else request.deadline_s
    return min(allowed_s, route.timeout_ms / 1000) if route.timeout_ms > 0 else allowed_s


def give_up_time(received_at: float, expires_at: float) -> float:
    """When the last word is said."""
    return expires_at - min(
        DEADLINE_MARGIN_S, DEADLINE_MARGIN_FRACTION * max(0.0, expires_at - received_at)
    )


def quota_cost(request: ProxyRequest, tenant: Tenant) -> float:
    """What a request counts against its tenant's quota."""
    if tenant.unit != "tokens":
        return 1.0
    return float(sum(request.tokens) if request.tokens is not None else tenant.plain_tokens)


def request_facts(exchange: Exchange) -> RequestFacts:
    """The facts of a request that the decider goes by."""
    request = exchange.request
    route = exchange.route
    tokens_in, tokens_out = request.tokens or (0, 0)
    return RequestFacts(
        number=exchange.number,
        route=route.name,
        service=exchange.service,
        repeatable=route.repeatable,
        streaming=exchange.streaming,
        arrived_at=request.received_at,
        deadline=exchange.give_up_at,
        target_latency_s=route.target_latency_ms / 1000,
        max_attempts=route.max_attempts,
        priority=priority_of(route, exchange.tenant),
        affinity=route.session_affinity,
        prompt=request.prompt,
        tokens_in=tokens_in,
        tokens_out=tokens_out,
    )
