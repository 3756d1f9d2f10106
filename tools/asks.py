"""Asks to the owners of quotas: both sides' processor time, bytes and the number of asks, without a
network.

The number of asks is counted over made-up time at one gateway whose requests are spread evenly over
the tenants, with an owner that answers at once. The owner's cost is taken with so many askers in
its bucket.
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
from tools.measure import machine, processor_us, show, show_line
from tools.shapes import make_member, make_roster

if TYPE_CHECKING:
    from collections.abc import Sequence

RULE = QuotaRule(8.0, 0.1, 110_000.0)
LIMIT = QuotaLimit(120_000.0, 120_000.0)
AMOUNT = 1_890.0
ASKERS = (6, 60, 175, 350)
TENANTS = (5, 50, 200)
GATEWAYS = (6, 60, 175, 350)
RATE_PER_S = 28.6  # requests at one gateway: 10,000 over 350
SPAN_S = 10.0
TRIP_S = 0.004
ASKS = 500


@dataclass(frozen=True, slots=True)
class OwnerCost:
    """One ask at its owner: the decision, and reading it and writing its answer."""

    askers: int
    decide_us: float
    codec_us: float
    ask_bytes: int
    answer_bytes: int


@dataclass(frozen=True, slots=True)
class ClientCost:
    """One gateway: asks sent per second, and processor time per ask and per request, wake-ups
    included.
    """

    tenants: int
    asks_per_s: float
    ask_us: float
    busy_part: float


def owner_cost(askers: int, asks: int) -> OwnerCost:
    """A bucket that so many gateways draw on, each of them heard lately."""
    owner = QuotaOwner(RULE, 1)
    owner.configure({"t": LIMIT}, 0.0)
    owner.set_owned(["t"], (), 0.0)
    names = itertools.cycle([make_member(number).name for number in range(askers)])
    now = 1.0

    def make() -> QuotaRequest:
        return QuotaRequest("t", 1, next(names), 1, (AMOUNT,), 0.0, 0.0, 0.0, False, None, None)

    for number in range(askers):
        owner.decide(
            replace(make(), requester=make_member(number).name, amounts=(), usage_report=()), now
        )

    def ask() -> QuotaReply:
        nonlocal now
        now += 0.4 / askers
        return owner.decide(make(), now)

    make_us = processor_us(make, asks)
    decide_us = processor_us(ask, asks) - make_us
    ask_frame, answer_frame = (
        encode_frame(FrameKind.CALL, 1, make()),
        encode_frame(FrameKind.REPLY, 1, ask()),
    )
    answer = QuotaReply(ReplyStatus.DECIDED, 1, (True,), 0.0, 0.0, 0.5, 7, 1000.0)
    codec_us = processor_us(
        lambda: (FrameDecoder().feed(ask_frame), encode_frame(FrameKind.REPLY, 1, answer)), asks
    )
    return OwnerCost(askers, decide_us, codec_us, len(ask_frame), len(answer_frame))


class Gateway:
    """One gateway's client of quotas in made-up time."""

    def __init__(self, tenants: int, gateways: int = 6) -> None:
        ownership = OwnershipView(make_member(0))
        ownership.update(1, make_roster(gateways))
        self.client = QuotaClient(ownership, RULE)
        self.names = [f"tenant{number}" for number in range(tenants)]
        self.client.configure(dict.fromkeys(self.names, LIMIT))
        self.now, self.asks, self._number = 0.0, 0, 0
        self._chance = random.Random(1)
        self._answers: list[tuple[float, int, QuotaReply]] = []

    def run(self, until: float, rate_per_s: float) -> None:
        """Requests of all tenants, answers and wake-ups, in order of time."""
        arrival = self.now + self._chance.expovariate(rate_per_s)
        while True:
            answer_at = self._answers[0][0] if self._answers else float("inf")
            at = min(arrival, answer_at, self.client.next_wake_at(self.now))
            if at >= until:
                self.now = until
                return
            self.now = max(self.now, at)
            if answer_at <= at:
                _, call, answer = self._answers.pop(0)
                self._take(self.client.handle_reply(call, answer, self.now))
            elif arrival <= at:
                self._number += 1
                tenant = self._chance.choice(self.names)
                self._take(self.client.admit(self._number, tenant, AMOUNT, self.now))
                arrival = self.now + self._chance.expovariate(rate_per_s)
            else:
                self._take(self.client.wake(self.now))

    def _take(self, effects: Sequence[object]) -> None:
        for effect in effects:
            if isinstance(effect, SendQuotaRequest):
                self.asks += 1
                decided = tuple(True for _ in effect.request.amounts)
                answer = QuotaReply(ReplyStatus.DECIDED, 1, decided, 0.0, 0.0, 0.5, 7, 1000.0)
                self._answers.append((self.now + TRIP_S, effect.call, answer))


def client_cost(tenants: int, span_s: float) -> ClientCost:
    """A gateway's own part, with its usual requests."""
    gateway = Gateway(tenants)
    gateway.run(RULE.window_s, RATE_PER_S)
    before = gateway.asks
    began = gateway.now
    spent_us = processor_us(lambda: gateway.run(gateway.now + span_s, RATE_PER_S), 1)
    asks = (gateway.asks - before) * span_s / (gateway.now - began)
    return ClientCost(tenants, asks / span_s, spent_us / max(1, asks), spent_us / 1e6 / span_s)


def roster_cost(gateways: int, tenants: int) -> float:
    """Processor time in microseconds to find the owners of all tenants under a new roster."""
    roster, token = make_roster(gateways), itertools.count(1)
    ownership = OwnershipView(roster[0])
    keys = [f"{KEY_PREFIX}tenant{number}" for number in range(tenants)]

    def change() -> None:
        ownership.update(next(token), roster)
        for key in keys:
            ownership.owns(key)

    return processor_us(change, 3)


def main(
    askers: Sequence[int] = ASKERS,
    tenants: Sequence[int] = TENANTS,
    gateways: Sequence[int] = GATEWAYS,
    asks: int = ASKS,
    span_s: float = SPAN_S,
) -> None:
    """Measure and print."""
    print(machine())
    owners = [owner_cost(count, asks) for count in askers]
    columns = ("askers", "decide us", "read and answer us", "ask bytes", "answer bytes")
    rows = [(o.askers, o.decide_us, o.codec_us, o.ask_bytes, o.answer_bytes) for o in owners]
    show("One ask at its owner", columns, rows)
    show_line("decision", "us", "asker", [(o.askers, o.decide_us) for o in owners])
    clients = [client_cost(count, span_s) for count in tenants]
    names = ("tenants", "asks a s", "us an ask", "part of a core")
    per_cent = [(c.tenants, c.asks_per_s, c.ask_us, f"{c.busy_part:.4f}") for c in clients]
    show(f"One gateway with {RATE_PER_S} requests a s", names, per_cent)
    show_line("asks", "a s", "tenant", [(c.tenants, c.asks_per_s) for c in clients])
    show_line("an ask", "us", "tenant", [(c.tenants, c.ask_us) for c in clients])
    moves = [(count, roster_cost(count, tenants[-1])) for count in gateways]
    show(f"A new roster, {tenants[-1]} tenants", ("gateways", "us"), moves)
    show_line("new roster", "us", "gateway", moves)


if __name__ == "__main__":
    main()
