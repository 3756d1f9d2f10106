"""Costs of quota requests without a network: processor time at both ends, sizes and rates.

The rate is counted in simulated time at one gateway whose requests are spread evenly over the
tenants; each quota request is granted after `ROUND_TRIP_S`. The owner's cost is measured by the
number of requesters of one bucket.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from roselink.budgets.ownership import OwnershipView
from roselink.budgets.quota_client import KEY_PREFIX, QuotaClient, SendQuotaRequest
from roselink.budgets.quota_owner import QuotaOwner
from roselink.budgets.usage import QuotaLimit, QuotaRule
from roselink.protocol.budgets import QuotaReply, QuotaRequest, ReplyStatus
from roselink.protocol.framing import FrameDecoder, FrameKind, encode_frame
from tools.measure import MICROSECONDS_PER_S, describe_machine, print_fit, print_table, processor_us
from tools.synthetic_fleet import make_member, make_roster

if TYPE_CHECKING:
    from collections.abc import Sequence

# Amounts and rates are in tokens.
RULE = QuotaRule(8.0, 0.1, 110_000.0)
LIMIT = QuotaLimit(120_000.0, 120_000.0)
# Amount of each request.
AMOUNT = 1_890.0
REQUESTER_COUNTS = (6, 60, 175, 350)
TENANT_COUNTS = (5, 50, 200)
GATEWAY_COUNTS = (6, 60, 175, 350)
# Requests per second at one gateway: 10,000 per second over 350 gateways.
REQUEST_RATE_PER_S = 28.6
# Simulated time of a measurement, in seconds.
DURATION_S = 10.0
# Time from a quota request to its reply, in seconds.
ROUND_TRIP_S = 0.004
QUOTA_REQUEST_COUNT = 500
# Simulated time between two requests of one requester, in seconds.
REQUEST_INTERVAL_S = 0.4


@dataclass(frozen=True, slots=True)
class OwnerCost:
    """Cost of one quota request at its owner.

    Attributes:
        requesters: number of gateways that draw on the bucket.
        decide_us: processor time of the decision, in microseconds.
        codec_us: processor time to decode the request and encode the reply, in microseconds.
        request_bytes: size of the request.
        reply_bytes: size of the reply.
    """

    requesters: int
    decide_us: float
    codec_us: float
    request_bytes: int
    reply_bytes: int


@dataclass(frozen=True, slots=True)
class ClientCost:
    """Cost of quota requests at one gateway, including wake-ups.

    Attributes:
        tenants: number of tenants of its requests.
        requests_per_s: number of quota requests sent per second.
        request_us: processor time per quota request, in microseconds.
        busy_fraction: fraction of a processor core that is used.
    """

    tenants: int
    requests_per_s: float
    request_us: float
    busy_fraction: float


def owner_cost(requesters: int, requests: int) -> OwnerCost:
    """Measure a bucket with `requesters` gateways, each of which has recently sent a request."""
    owner = QuotaOwner(RULE, 1)
    owner.configure({"t": LIMIT}, 0.0)
    owner.set_owned(["t"], (), 0.0)
    requester_names = itertools.cycle([make_member(number).name for number in range(requesters)])
    now = 1.0

    def make_request() -> QuotaRequest:
        return QuotaRequest(
            tenant="t",
            fencing_token=1,
            requester=next(requester_names),
            incarnation=1,
            amounts=(AMOUNT,),
            lease_wanted=0.0,
            returned=0.0,
            admitted_locally=0.0,
            draining=False,
            last_level=None,
            usage_report=None,
        )

    for number in range(requesters):
        owner.decide(
            replace(
                make_request(), requester=make_member(number).name, amounts=(), usage_report=()
            ),
            now,
        )

    def decide() -> QuotaReply:
        nonlocal now
        now += REQUEST_INTERVAL_S / requesters
        return owner.decide(make_request(), now)

    make_request_us = processor_us(make_request, requests)
    decide_us = processor_us(decide, requests) - make_request_us
    request_frame = encode_frame(FrameKind.CALL, 1, make_request())
    reply_frame = encode_frame(FrameKind.REPLY, 1, decide())
    reply = QuotaReply(ReplyStatus.DECIDED, 1, (True,), 0.0, 0.0, 0.5, 7, 1000.0)
    codec_us = processor_us(
        lambda: (FrameDecoder().feed(request_frame), encode_frame(FrameKind.REPLY, 1, reply)),
        requests,
    )
    return OwnerCost(requesters, decide_us, codec_us, len(request_frame), len(reply_frame))


class SimulatedGateway:
    """Quota client of one gateway in simulated time.

    Attributes:
        now: simulated time, in seconds.
        quota_requests: number of quota requests sent.
    """

    def __init__(self, tenants: int, gateways: int = 6) -> None:
        """Create a gateway whose requests belong to `tenants` tenants."""
        ownership = OwnershipView(make_member(0))
        ownership.update(1, make_roster(gateways))
        self.client = QuotaClient(ownership, RULE, lambda _tenant, _now: 0.0)
        self.tenant_names = [f"tenant{number}" for number in range(tenants)]
        self.client.configure(dict.fromkeys(self.tenant_names, LIMIT))
        self.now = 0.0
        self.quota_requests = 0
        self._number = 0
        self._random = random.Random(1)
        self._replies: list[tuple[float, int, QuotaReply]] = []

    def run(self, until: float, rate_per_s: float) -> None:
        """Handle requests, replies and wake-ups in order of time."""
        arrival = self.now + self._random.expovariate(rate_per_s)
        while True:
            reply_at = self._replies[0][0] if self._replies else float("inf")
            event_at = min(arrival, reply_at, self.client.next_wake_at(self.now))
            if event_at >= until:
                self.now = until
                return
            self.now = max(self.now, event_at)
            if reply_at <= event_at:
                _, call, reply = self._replies.pop(0)
                self._perform(self.client.handle_reply(call, reply, self.now))
            elif arrival <= event_at:
                self._number += 1
                tenant = self._random.choice(self.tenant_names)
                self._perform(self.client.admit(self._number, tenant, AMOUNT, self.now))
                arrival = self.now + self._random.expovariate(rate_per_s)
            else:
                self._perform(self.client.wake(self.now))

    def _perform(self, effects: Sequence[object]) -> None:
        for effect in effects:
            if isinstance(effect, SendQuotaRequest):
                self.quota_requests += 1
                decided = tuple(True for _ in effect.request.amounts)
                reply = QuotaReply(ReplyStatus.DECIDED, 1, decided, 0.0, 0.0, 0.5, 7, 1000.0)
                self._replies.append((self.now + ROUND_TRIP_S, effect.call, reply))


def client_cost(tenants: int, duration_s: float) -> ClientCost:
    """Measure a gateway for `duration_s`, after a warm-up of one quota window."""
    gateway = SimulatedGateway(tenants)
    gateway.run(RULE.window_s, REQUEST_RATE_PER_S)
    before = gateway.quota_requests
    started_at = gateway.now
    cpu_us = processor_us(lambda: gateway.run(gateway.now + duration_s, REQUEST_RATE_PER_S), 1)
    requests = (gateway.quota_requests - before) * duration_s / (gateway.now - started_at)
    return ClientCost(
        tenants,
        requests / duration_s,
        cpu_us / max(1, requests),
        cpu_us / MICROSECONDS_PER_S / duration_s,
    )


def roster_cost_us(gateways: int, tenants: int) -> float:
    """Measure the processor time to find the owners of all tenants under a new roster."""
    roster = make_roster(gateways)
    token = itertools.count(1)
    ownership = OwnershipView(roster[0])
    keys = [f"{KEY_PREFIX}tenant{number}" for number in range(tenants)]

    def change() -> None:
        ownership.update(next(token), roster)
        for key in keys:
            ownership.owns(key)

    return processor_us(change, 3)


def main(
    requesters: Sequence[int] = REQUESTER_COUNTS,
    tenants: Sequence[int] = TENANT_COUNTS,
    gateways: Sequence[int] = GATEWAY_COUNTS,
    requests: int = QUOTA_REQUEST_COUNT,
    duration_s: float = DURATION_S,
) -> None:
    """Measure and print the costs at the owner, at a gateway and of a new roster."""
    print(describe_machine())
    owners = [owner_cost(count, requests) for count in requesters]
    columns = ("requesters", "decide us", "decode and encode us", "request bytes", "reply bytes")
    rows = [
        (cost.requesters, cost.decide_us, cost.codec_us, cost.request_bytes, cost.reply_bytes)
        for cost in owners
    ]
    print_table("One quota request at its owner", columns, rows)
    print_fit("decision", "us", "requester", [(cost.requesters, cost.decide_us) for cost in owners])
    clients = [client_cost(count, duration_s) for count in tenants]
    client_columns = (
        "tenants",
        "quota requests per s",
        "us per quota request",
        "fraction of a core",
    )
    client_rows = [
        (cost.tenants, cost.requests_per_s, cost.request_us, f"{cost.busy_fraction:.4f}")
        for cost in clients
    ]
    print_table(
        f"One gateway with {REQUEST_RATE_PER_S} requests per s", client_columns, client_rows
    )
    print_fit(
        "quota requests",
        "per s",
        "tenant",
        [(cost.tenants, cost.requests_per_s) for cost in clients],
    )
    print_fit(
        "one quota request", "us", "tenant", [(cost.tenants, cost.request_us) for cost in clients]
    )
    roster_costs = [(count, roster_cost_us(count, tenants[-1])) for count in gateways]
    print_table(f"A new roster, {tenants[-1]} tenants", ("gateways", "us"), roster_costs)
    print_fit("new roster", "us", "gateway", roster_costs)


if __name__ == "__main__":
    main()
