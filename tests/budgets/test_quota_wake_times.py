"""Wake-ups of the quota client, compared with the deadlines of all tenants.

Guards against a deadline index that isn't updated after a change to a tenant's state: pending
requests would then be decided too late.
"""

from __future__ import annotations

import random

import pytest

from roselink.budgets.ownership import OwnershipView
from roselink.budgets.quota_client import QuotaClient, SendQuotaRequest
from roselink.budgets.usage import QuotaLimit, QuotaRule
from roselink.model.fleet import Member
from roselink.protocol.budgets import QuotaReply, QuotaRequest, ReplyStatus

RULE = QuotaRule(8.0, 0.1, 1000.0)
NAMES = [f"t{number}" for number in range(8)]
ROSTER = tuple(Member(f"edge-{number}", f"10.1.0.{number}:7500", 1) for number in range(4))


def make_reply(request: QuotaRequest, rng: random.Random) -> QuotaReply | None:
    if rng.random() < 0.15:
        return None
    if rng.random() < 0.1:
        return QuotaReply(
            rng.choice((ReplyStatus.NOT_READY, ReplyStatus.REPORT_WANTED)), request.fencing_token
        )
    admitted = tuple(rng.random() < 0.8 for _ in request.amounts)
    lease = request.lease_wanted if all(admitted) else 0.0
    return QuotaReply(
        ReplyStatus.DECIDED, request.fencing_token, admitted, lease, 0.1, 0.3, 7, 100.0
    )


@pytest.mark.parametrize("seed", range(40))
def test_next_wake_is_never_later_than_the_earliest_tenant_deadline(seed: int) -> None:
    rng = random.Random(seed)
    ownership = OwnershipView(ROSTER[0])
    ownership.update(1, ROSTER)
    client = QuotaClient(ownership, RULE, lambda _tenant, _now: 0.0)
    limits = dict.fromkeys(NAMES, QuotaLimit(500.0, 500.0))
    client.configure(limits)
    now, requests = 0.0, list[SendQuotaRequest]()
    for number in range(2000):
        now += rng.choice((0.0, 0.003, 0.02, 0.3))
        if number % 400 == 399:
            now += 10.0  # all usage leaves the window
        ownership.confirm(now, now)
        chosen = rng.random()
        if chosen < 0.3:
            effects = client.admit(number, rng.choice(NAMES), rng.choice((1.0, 40.0)), now)
        elif chosen < 0.5 and requests:
            sent = requests.pop(rng.randrange(len(requests)))
            effects = client.handle_reply(sent.call, make_reply(sent.request, rng), now)
        elif chosen < 0.55:
            client.refund(rng.choice(NAMES), 1.0, now)
            effects = []
        elif chosen < 0.57:
            configured = rng.sample(NAMES, 6)
            effects = client.configure({name: limits[name] for name in configured})
        elif chosen < 0.6:
            effects = client.configure(limits)
        else:
            effects = client.wake(now)
        requests += [effect for effect in effects if isinstance(effect, SendQuotaRequest)]
        earliest = min(
            (client._deadline(state, now) for state in client._tenants.values()),
            default=float("inf"),
        )
        assert client.next_wake_at(now) <= max(earliest, now)  # a past deadline is due now
        if chosen >= 0.6:  # right after a wake-up only what waits for an owner's reply may be due
            assert client.next_wake_at(now) > now
