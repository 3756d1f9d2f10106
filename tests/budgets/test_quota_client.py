"""A gateway's requests to the owner of a quota, and its local decisions without one."""

from __future__ import annotations

import pytest

from roselink.budgets import quota_client as module
from roselink.budgets.local_admission import RECENT_RATE_FRACTION, RECENT_RATE_S
from roselink.budgets.ownership import OwnershipView
from roselink.budgets.quota_client import Effect, QuotaClient, QuotaDecided, SendQuotaRequest
from roselink.budgets.retry_budget import (
    RefreshRoster,
)
from roselink.budgets.usage import LOCAL_FRACTION, MIN_LOCAL_FRACTION, QuotaLimit, QuotaRule
from roselink.model.fleet import Member
from roselink.protocol.budgets import QuotaReply, QuotaRequest, ReplyStatus

OWN, OTHER = Member("a", "10.0.0.1:7500", 1), Member("b", "10.0.0.2:7500", 2)
LIMIT = QuotaLimit(100.0, 100.0)
RULE = QuotaRule(window_s=8.0, over=0.1, slack=30.0)
ALLOWANCE = RULE.allowance(LIMIT)  # 120
OK = ReplyStatus.DECIDED


def make_client(token: int = 5) -> tuple[QuotaClient, OwnershipView]:
    ownership = OwnershipView(OWN)
    if token:
        ownership.update(token, (OTHER,))
        ownership.confirm(9.9, 9.9)
    client = QuotaClient(ownership, RULE, lambda _tenant, _now: 0.0)
    client.configure({"t": LIMIT, "free": QuotaLimit(0.0, 0.0)})
    return client, ownership


def only_request(effects: list[Effect]) -> SendQuotaRequest:
    [effect] = [each for each in effects if isinstance(each, SendQuotaRequest)]
    return effect


def decisions_by_number(effects: list[Effect]) -> dict[int, bool]:
    return {each.number: each.allowed for each in effects if isinstance(each, QuotaDecided)}


def make_reply(
    admitted: tuple[bool, ...] = (),
    *,
    token: int = 5,
    lease: float = 0.0,
    usage_fraction: float = 0.5,
) -> QuotaReply:
    return QuotaReply(OK, token, admitted, lease, 0.7, usage_fraction, 77, 42.0)


def connected_client(amount: float = 40.0) -> tuple[QuotaClient, OwnershipView]:
    """Return a client whose owner replied once, at 10; its next keep-alive is due later."""
    client, ownership = make_client()
    client.handle_reply(
        only_request(client.admit(1, "t", amount, 10.0)).call, make_reply((True,)), 10.003
    )
    return client, ownership


@pytest.mark.parametrize("tenant", ["free", "unknown"])
def test_a_tenant_without_a_limit_is_admitted_without_an_owner(tenant: str) -> None:
    client, _ = make_client()
    assert client.admit(1, tenant, 5.0, 10.0) == [QuotaDecided(1, allowed=True, retry_after_s=0.0)]
    assert client.next_wake_at(10.0) == float("inf")


def test_first_request_has_a_usage_report_and_later_amounts_are_batched() -> None:
    client, _ = make_client()
    first = only_request(client.admit(1, "t", 40.0, 10.0))
    assert first.address == OTHER.address
    assert first.timeout_s == module.REQUEST_TIMEOUT_S
    assert first.request == QuotaRequest(
        "t", 5, "a", 1, (40.0,), 0.0, 0.0, 0.0, draining=False, last_level=None, usage_report=()
    )
    assert client.admit(2, "t", 10.0, 10.001) == []
    assert client.admit(3, "t", 20.0, 10.002) == []
    effects = client.handle_reply(first.call, make_reply((True,)), 10.003)
    assert decisions_by_number(effects) == {1: True}
    second = only_request(effects)
    assert second.request.amounts == (10.0, 20.0)
    assert second.request.usage_report is None
    effects = client.handle_reply(second.call, make_reply((False, True)), 10.006)
    assert effects == [
        QuotaDecided(2, allowed=False, retry_after_s=0.7),
        QuotaDecided(3, allowed=True, retry_after_s=0.0),
    ]


def test_report_wanted_resends_the_request_with_a_usage_report() -> None:
    client, _ = connected_client()
    sent_request = only_request(client.admit(2, "t", 5.0, 10.1))
    second = only_request(
        client.handle_reply(sent_request.call, QuotaReply(ReplyStatus.REPORT_WANTED, 5), 10.102)
    )
    assert second.request.amounts == (5.0,)
    assert second.request.usage_report is not None
    assert sum(used.amount for used in second.request.usage_report) == 40.0
    assert second.request.last_level is not None
    assert (
        second.request.last_level.term,
        second.request.last_level.level,
    ) == (
        77,
        42.0,
    )


def test_a_new_fencing_token_resends_the_usage_report() -> None:
    client, ownership = connected_client()
    ownership.update(6, (OTHER,))
    sent_request = only_request(client.admit(2, "t", 5.0, 10.1)).request
    assert sent_request.fencing_token == 6
    assert sent_request.usage_report is not None
    assert sent_request.last_level is not None
    assert sent_request.last_level.age_ms in (96, 97)


def test_a_token_refused_as_stale_is_not_used_again() -> None:
    """After a `STALE_TOKEN` reply, nothing is sent under the old token until a newer roster."""
    client, ownership = connected_client()
    sent_request = only_request(client.admit(2, "t", 5.0, 10.1))
    refused = QuotaReply(ReplyStatus.STALE_TOKEN, 6)
    assert client.handle_reply(sent_request.call, refused, 10.102) == [RefreshRoster()]
    assert client.next_wake_at(10.102) == pytest.approx(10.102 + module.RETRY_INTERVAL_S)
    assert client.wake(10.14) == client.admit(3, "t", 5.0, 10.15) == []
    ownership.update(6, (OTHER,))
    second = only_request(client.wake(10.18))
    assert (second.request.fencing_token, second.request.amounts) == (6, (5.0, 5.0))
    reply = make_reply((True, True))
    assert decisions_by_number(client.handle_reply(second.call, reply, 10.182)) == {
        2: True,
        3: True,
    }


def test_a_request_waiting_for_a_newer_roster_is_decided_locally_after_max_wait() -> None:
    client, _ = connected_client()
    sent_request = only_request(client.admit(2, "t", 5.0, 10.1))
    client.handle_reply(sent_request.call, QuotaReply(ReplyStatus.STALE_TOKEN, 6), 10.102)
    now = 10.102
    effects: list[Effect] = []
    while not effects:
        now = client.next_wake_at(now)
        effects = client.wake(now)
    assert decisions_by_number(effects) == {2: True}
    assert now == pytest.approx(10.1 + module.MAX_WAIT_S)


@pytest.mark.parametrize("status", [ReplyStatus.NOT_READY, ReplyStatus.NOT_OWNER])
def test_differing_rosters_refresh_the_roster_and_retry_after_the_interval(
    status: ReplyStatus,
) -> None:
    client, _ = connected_client()
    sent_request = only_request(client.admit(2, "t", 5.0, 10.1))
    assert client.handle_reply(sent_request.call, QuotaReply(status, 6), 10.102) == [
        RefreshRoster()
    ]
    assert client.next_wake_at(10.102) == pytest.approx(10.102 + module.RETRY_INTERVAL_S)
    second = only_request(client.wake(10.14))
    assert decisions_by_number(client.handle_reply(second.call, make_reply((True,)), 10.142)) == {
        2: True
    }


def test_a_request_waits_at_most_max_wait() -> None:
    client, _ = connected_client(100.0)
    now = 10.1
    decisions: dict[int, bool] = {}
    effects = client.admit(2, "t", 5.0, now)
    while not decisions:
        for effect in effects:
            if isinstance(effect, SendQuotaRequest):
                effects = client.handle_reply(
                    effect.call, QuotaReply(ReplyStatus.NOT_READY, 6), now
                )
        now = client.next_wake_at(now)
        effects = client.wake(now)
        decisions = decisions_by_number(effects)
    assert decisions == {2: True}  # at its own recent rate
    assert now <= 10.1 + module.MAX_WAIT_S + 0.001


def test_a_broken_connection_is_retried_immediately_and_a_time_out_is_not() -> None:
    client, _ = connected_client()
    sent_request = only_request(client.admit(2, "t", 5.0, 10.1))
    second = only_request(client.handle_reply(sent_request.call, None, 10.103))
    effects = client.handle_reply(second.call, None, 10.105)
    assert decisions_by_number(effects) == {2: True}
    client, _ = connected_client()
    sent_request = only_request(client.admit(2, "t", 5.0, 10.1))
    assert decisions_by_number(client.handle_reply(sent_request.call, None, 10.25)) == {2: True}


def client_with_unreachable_owner(usage_fraction: float = 0.5) -> QuotaClient:
    """Return a client with a usage of 100 whose owner is unreachable from 10.4 on."""
    client, _ = make_client()
    client.handle_reply(
        only_request(client.admit(1, "t", 100.0, 10.0)).call,
        make_reply((True,), usage_fraction=usage_fraction),
        10.003,
    )
    sent_request = only_request(client.wake(10.41))
    client.handle_reply(sent_request.call, None, 10.56)
    return client


def test_an_unreachable_owner_admits_the_recent_rate_for_a_limited_time() -> None:
    client = client_with_unreachable_owner(usage_fraction=0.0)
    rate = RECENT_RATE_FRACTION * 100 / 8
    total, now = 0.0, 10.6
    while now < 10.6 + 2 * RECENT_RATE_S:
        total += sum(decisions_by_number(client.admit(int(now * 1000), "t", 1.0, now)).values())
        now += 0.02
    min_local = MIN_LOCAL_FRACTION * ALLOWANCE
    assert rate * RECENT_RATE_S <= total <= rate * RECENT_RATE_S + 1 + min_local


@pytest.mark.parametrize(
    ("usage_fraction", "local_fraction"),
    [(0.5, 0.5 * LOCAL_FRACTION), (0.0, MIN_LOCAL_FRACTION), (1.0, LOCAL_FRACTION)],
)
def test_after_the_recent_rate_period_a_fraction_of_the_allowance_is_admitted(
    usage_fraction: float, local_fraction: float
) -> None:
    client = client_with_unreachable_owner(usage_fraction)
    late = 10.56 + RECENT_RATE_S
    total = sum(
        decisions_by_number(client.admit(number, "t", 1.0, late)).get(number, False)
        for number in range(2, 500)
    )
    assert total == int(local_fraction * ALLOWANCE + 1e-9)


def test_local_admissions_are_reported_once_the_owner_replies_again() -> None:
    client = client_with_unreachable_owner()
    effects = client.admit(2, "t", 5.0, 10.7)
    assert decisions_by_number(effects) == {2: True}
    probe = only_request(effects)
    assert probe.request.amounts == ()
    assert probe.request.admitted_locally == 5.0
    assert probe.request.usage_report is not None
    client.handle_reply(probe.call, make_reply(), 10.703)
    sent_request = only_request(client.admit(3, "t", 5.0, 10.71)).request
    assert sent_request.amounts == (5.0,)
    assert sent_request.admitted_locally == 0.0
    assert sent_request.usage_report is None


def test_a_draining_gateway_does_not_admit_at_its_recent_rate() -> None:
    client, _ = connected_client()
    client.draining = True
    sent_request = only_request(client.admit(2, "t", 50.0, 10.1))
    assert sent_request.request.draining
    assert decisions_by_number(client.handle_reply(sent_request.call, None, 10.25)) == {2: False}


def test_a_gateway_without_a_roster_decides_locally() -> None:
    client, _ = make_client(token=0)
    assert decisions_by_number(client.admit(1, "t", 1.0, 10.0)) == {1: True}
    assert decisions_by_number(client.admit(2, "t", 50.0, 10.0)) == {2: False}


def test_keep_alives_are_sent_only_while_there_is_recent_usage() -> None:
    client, _ = connected_client()
    now = 10.003
    keep_alives = 0
    while (due := client.next_wake_at(now)) < 30:
        now = due
        for effect in client.wake(now):
            assert isinstance(effect, SendQuotaRequest)
            assert effect.request.amounts == ()
            keep_alives += 1
            client.handle_reply(effect.call, make_reply(), now + 0.003)
    assert keep_alives == pytest.approx(RULE.window_s / module.KEEP_ALIVE_INTERVAL_S, abs=2)
    assert now < 19


def test_a_lease_admits_immediately_and_its_unused_rest_is_returned() -> None:
    client, _ = make_client()
    now = 10.0
    for number in range(1, 400):  # small requests: only then is a lease worth a request's amount
        effects = client.admit(number, "t", 1.0, now)
        requests = [each for each in effects if isinstance(each, SendQuotaRequest)]
        now += 0.01
        if requests and requests[0].request.lease_wanted:
            break
        for sent_request in requests:
            client.handle_reply(
                sent_request.call, make_reply((True,) * len(sent_request.request.amounts)), now
            )
    assert requests[0].request.lease_wanted >= 1.0
    client.handle_reply(requests[0].call, make_reply((True,), lease=2.5), now)
    assert decisions_by_number(client.admit(1000, "t", 1.0, now + 0.01)) == {1000: True}
    assert decisions_by_number(client.admit(1001, "t", 1.0, now + 0.02)) == {1001: True}
    late = only_request(client.wake(now + module.KEEP_ALIVE_INTERVAL_S + module.LEASE_DURATION_S))
    assert late.request.returned == pytest.approx(0.5)


def test_refunded_amounts_are_returned_with_the_next_request() -> None:
    client, _ = connected_client()
    client.refund("t", 40.0, 10.05)
    client.refund("unknown", 40.0, 10.05)
    sent_request = only_request(client.admit(2, "t", 5.0, 10.1)).request
    assert sent_request.returned == 40.0


def test_pending_requests_are_admitted_when_the_limit_is_removed() -> None:
    client, _ = make_client()
    client.admit(1, "t", 5.0, 10.0)
    client.admit(2, "t", 5.0, 10.0)
    assert decisions_by_number(client.configure({})) == {1: True, 2: True}
    assert client.handle_reply(1, make_reply((True,)), 10.02) == []
