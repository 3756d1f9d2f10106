"""What a gateway asks of a quota's owner, and what it decides without one."""

from __future__ import annotations

import pytest

from roselink.budgets import quota_client as module
from roselink.budgets.local_admission import RECENT_RATE_FRACTION, RECENT_RATE_S
from roselink.budgets.ownership import OwnershipView
from roselink.budgets.quota_client import Effect, QuotaClient, QuotaDecided, SendQuotaRequest
from roselink.budgets.retry_budget import (
    RefreshRoster,
    RetryBudgetClient,
    RetryBudgetDecided,
    SendRetryBudgetRequest,
)
from roselink.budgets.usage import LOCAL_FRACTION, NEWCOMER_FRACTION, QuotaLimit, QuotaRule
from roselink.model.fleet import Member
from roselink.protocol.budgets import QuotaReply, QuotaRequest, ReplyStatus, RetryBudgetReply

OWN, OTHER = Member("a", "10.0.0.1:7500", 1), Member("b", "10.0.0.2:7500", 2)
LIMIT = QuotaLimit(100.0, 100.0)
RULE = QuotaRule(window_s=8.0, over=0.1, slack=30.0)
ALLOWANCE = RULE.allowance(LIMIT)  # 120
OK = ReplyStatus.DECIDED


def client(token: int = 5) -> tuple[QuotaClient, OwnershipView]:
    roles = OwnershipView(OWN)
    if token:
        roles.update(token, (OTHER,))
        roles.confirm(9.9, 9.9)
    asker = QuotaClient(roles, RULE)
    asker.configure({"t": LIMIT, "free": QuotaLimit(0.0, 0.0)}, 0.0)
    return asker, roles


def sent(effects: list[Effect]) -> SendQuotaRequest:
    [effect] = [each for each in effects if isinstance(each, SendQuotaRequest)]
    return effect


def decided(effects: list[Effect]) -> dict[int, bool]:
    return {each.number: each.allowed for each in effects if isinstance(each, QuotaDecided)}


def answer(*admitted: bool, token: int = 5, ahead: float = 0.0, share: float = 0.5) -> QuotaReply:
    return QuotaReply(OK, token, admitted, ahead, 0.7, share, 77, 42.0)


def settled(amount: float = 40.0) -> tuple[QuotaClient, OwnershipView]:
    """A client whose owner has answered once, at 10; an ask of it is due later."""
    asker, roles = client()
    asker.answered(sent(asker.admit(1, "t", amount, 10.0)).call, answer(True), 10.003)
    return asker, roles


@pytest.mark.parametrize("tenant", ["free", "unknown"])
def test_a_tenant_without_a_limit_is_never_asked_for(tenant: str) -> None:
    asker, _ = client()
    assert asker.admit(1, tenant, 5.0, 10.0) == [QuotaDecided(1, True, 0.0)]
    assert asker.due_at(10.0) == float("inf")


def test_the_first_ask_brings_a_report_and_what_arrives_meanwhile_goes_together_next() -> None:
    asker, _ = client()
    first = sent(asker.admit(1, "t", 40.0, 10.0))
    assert first.address == OTHER.address and first.timeout_s == module.REQUEST_TIMEOUT_S
    assert first.ask == QuotaRequest("t", 5, "a", 1, (40.0,), 0.0, 0.0, 0.0, False, None, ())
    assert asker.admit(2, "t", 10.0, 10.001) == []
    assert asker.admit(3, "t", 20.0, 10.002) == []
    effects = asker.answered(first.call, answer(True), 10.003)
    assert decided(effects) == {1: True}
    second = sent(effects)
    assert second.ask.amounts == (10.0, 20.0) and second.ask.report is None
    effects = asker.answered(second.call, answer(False, True), 10.006)
    assert effects == [QuotaDecided(2, False, 0.7), QuotaDecided(3, True, 0.0)]


def test_an_owner_that_wants_a_report_gets_one_at_once() -> None:
    asker, _ = settled()
    ask = sent(asker.admit(2, "t", 5.0, 10.1))
    again = sent(asker.answered(ask.call, QuotaReply(ReplyStatus.REPORT_WANTED, 5), 10.102))
    assert again.ask.amounts == (5.0,)
    assert again.ask.report is not None and sum(used.amount for used in again.ask.report) == 40.0
    assert again.ask.known is not None and (again.ask.known.term, again.ask.known.level) == (
        77,
        42.0,
    )


def test_a_new_token_brings_the_report_again() -> None:
    asker, roles = settled()
    roles.update(6, (OTHER,))
    ask = sent(asker.admit(2, "t", 5.0, 10.1)).ask
    assert ask.token == 6 and ask.report is not None
    assert ask.known is not None and ask.known.age_ms in (96, 97)


@pytest.mark.parametrize(
    "status", [ReplyStatus.STALE_TOKEN, ReplyStatus.NOT_READY, ReplyStatus.NOT_OWNER]
)
def test_when_rosters_differ_it_pulls_and_asks_again_soon(status: ReplyStatus) -> None:
    asker, _ = settled()
    ask = sent(asker.admit(2, "t", 5.0, 10.1))
    assert asker.answered(ask.call, QuotaReply(status, 6), 10.102) == [RefreshRoster()]
    assert asker.due_at(10.102) == pytest.approx(10.102 + module.RETRY_INTERVAL_S)
    again = sent(asker.wake(10.14))
    assert decided(asker.answered(again.call, answer(True), 10.142)) == {2: True}


def test_a_request_waits_no_longer_than_the_bound() -> None:
    asker, _ = settled(100.0)
    now = 10.1
    decisions: dict[int, bool] = {}
    effects = asker.admit(2, "t", 5.0, now)
    while not decisions:
        for effect in effects:
            if isinstance(effect, SendQuotaRequest):
                effects = asker.answered(effect.call, QuotaReply(ReplyStatus.NOT_READY, 6), now)
        now = asker.due_at(now)
        effects = asker.wake(now)
        decisions = decided(effects)
    assert decisions == {2: True}  # at the own recent rate
    assert now <= 10.1 + module.MAX_WAIT_S + 0.001


def test_a_broken_connection_is_tried_again_at_once_and_a_silent_owner_is_not() -> None:
    asker, _ = settled()
    ask = sent(asker.admit(2, "t", 5.0, 10.1))
    again = sent(asker.answered(ask.call, None, 10.103))
    effects = asker.answered(again.call, None, 10.105)
    assert decided(effects) == {2: True}
    asker, _ = settled()
    ask = sent(asker.admit(2, "t", 5.0, 10.1))
    assert decided(asker.answered(ask.call, None, 10.25)) == {2: True}


def alone(share: float = 0.5) -> QuotaClient:
    """A client with a use of 100 in its window, whose owner fell silent at 10.4."""
    asker, _ = client()
    asker.answered(sent(asker.admit(1, "t", 100.0, 10.0)).call, answer(True, share=share), 10.003)
    ask = sent(asker.wake(10.41))
    asker.answered(ask.call, None, 10.56)
    return asker


def test_without_an_owner_it_goes_on_at_its_recent_rate_for_a_while() -> None:
    asker = alone(share=0.0)
    rate = RECENT_RATE_FRACTION * 100 / 8
    total, now = 0.0, 10.6
    while now < 10.6 + 2 * RECENT_RATE_S:
        total += sum(decided(asker.admit(int(now * 1000), "t", 1.0, now)).values())
        now += 0.02
    newcomer = NEWCOMER_FRACTION * ALLOWANCE
    assert rate * RECENT_RATE_S <= total <= rate * RECENT_RATE_S + 1 + newcomer


@pytest.mark.parametrize(
    ("share", "part"),
    [(0.5, 0.5 * LOCAL_FRACTION), (0.0, NEWCOMER_FRACTION), (1.0, LOCAL_FRACTION)],
)
def test_after_that_only_a_part_of_the_allowance_is_used(share: float, part: float) -> None:
    asker = alone(share)
    late = 10.56 + RECENT_RATE_S
    total = sum(
        decided(asker.admit(number, "t", 1.0, late)).get(number, False) for number in range(2, 500)
    )
    assert total == int(part * ALLOWANCE + 1e-9)


def test_an_owner_that_answers_again_hears_of_all_of_it() -> None:
    asker = alone()
    effects = asker.admit(2, "t", 5.0, 10.7)
    assert decided(effects) == {2: True}
    probe = sent(effects)
    assert probe.ask.amounts == () and probe.ask.alone == 5.0 and probe.ask.report is not None
    asker.answered(probe.call, answer(), 10.703)
    ask = sent(asker.admit(3, "t", 5.0, 10.71)).ask
    assert ask.amounts == (5.0,) and ask.alone == 0.0 and ask.report is None


def test_a_gateway_that_leaves_has_nothing_held_back() -> None:
    asker, _ = settled()
    asker.leaving = True
    ask = sent(asker.admit(2, "t", 50.0, 10.1))
    assert ask.ask.leaving
    assert decided(asker.answered(ask.call, None, 10.25)) == {2: False}


def test_a_gateway_without_a_roster_decides_by_itself() -> None:
    asker, _ = client(token=0)
    assert decided(asker.admit(1, "t", 1.0, 10.0)) == {1: True}
    assert decided(asker.admit(2, "t", 50.0, 10.0)) == {2: False}


def test_signs_of_life_go_out_while_there_was_use_lately() -> None:
    asker, _ = settled()
    now, signs = 10.003, 0
    while (due := asker.due_at(now)) < 30:
        now = due
        for effect in asker.wake(now):
            assert isinstance(effect, SendQuotaRequest) and effect.ask.amounts == ()
            signs += 1
            asker.answered(effect.call, answer(), now + 0.003)
    assert signs == pytest.approx(RULE.window_s / module.KEEP_ALIVE_INTERVAL_S, abs=2)
    assert now < 19


def test_tokens_lent_ahead_decide_at_once_and_the_rest_goes_back() -> None:
    asker, _ = client()
    now = 10.0
    for number in range(1, 400):  # many small requests: a request's worth comes ahead
        effects = asker.admit(number, "t", 1.0, now)
        asks = [each for each in effects if isinstance(each, SendQuotaRequest)]
        now += 0.01
        if asks and asks[0].ask.ahead:
            break
        for ask in asks:
            asker.answered(ask.call, answer(*[True] * len(ask.ask.amounts)), now)
    assert asks[0].ask.ahead >= 1.0
    asker.answered(asks[0].call, answer(True, ahead=2.5), now)
    assert decided(asker.admit(1000, "t", 1.0, now + 0.01)) == {1000: True}
    assert decided(asker.admit(1001, "t", 1.0, now + 0.02)) == {1001: True}
    late = sent(asker.wake(now + module.KEEP_ALIVE_INTERVAL_S + module.LEASE_DURATION_S))
    assert late.ask.returned == pytest.approx(0.5)


def test_what_did_not_run_is_given_back() -> None:
    asker, _ = settled()
    asker.give_back("t", 40.0, 10.05)
    asker.give_back("unknown", 40.0, 10.05)
    ask = sent(asker.admit(2, "t", 5.0, 10.1)).ask
    assert ask.returned == 40.0


def test_requests_of_a_tenant_whose_limit_goes_are_admitted() -> None:
    asker, _ = client()
    asker.admit(1, "t", 5.0, 10.0)
    asker.admit(2, "t", 5.0, 10.0)
    assert decided(asker.configure({}, 10.01)) == {1: True, 2: True}
    assert asker.answered(1, answer(True), 10.02) == []


# The shared slack of repeats


def repeats(slack: float = 52.0) -> RetryBudgetClient:
    roles = OwnershipView(OWN)
    roles.update(5, (OTHER,))
    return RetryBudgetClient(roles, slack)


@pytest.mark.parametrize(
    ("outcome", "effects"),
    [
        (None, [RetryBudgetDecided(1, False)]),
        (RetryBudgetReply(OK, 5, True), [RetryBudgetDecided(1, True)]),
        (RetryBudgetReply(OK, 5, False, 0.1), [RetryBudgetDecided(1, False)]),
        (
            RetryBudgetReply(ReplyStatus.STALE_TOKEN, 6, False),
            [RefreshRoster(), RetryBudgetDecided(1, False)],
        ),
        (
            RetryBudgetReply(ReplyStatus.NOT_READY, 4, False),
            [RefreshRoster(), RetryBudgetDecided(1, False)],
        ),
    ],
)
def test_a_repeat_is_allowed_only_by_its_owner(
    outcome: RetryBudgetReply | None, effects: list[object]
) -> None:
    asker = repeats()
    [ask] = asker.ask(1, "s", 10.0)
    assert (
        isinstance(ask, SendRetryBudgetRequest)
        and ask.address == OTHER.address
        and ask.ask.token == 5
    )
    assert asker.answered(1, outcome, 10.01) == effects
    assert asker.answered(1, outcome, 10.01) == []


def test_a_refusal_stands_for_a_moment() -> None:
    asker = repeats()
    asker.ask(1, "s", 10.0)
    asker.answered(1, RetryBudgetReply(OK, 5, False, 0.1), 10.0)
    assert asker.ask(2, "s", 10.05) == [RetryBudgetDecided(2, False)]
    assert isinstance(asker.ask(3, "other", 10.05)[0], SendRetryBudgetRequest)
    assert isinstance(asker.ask(4, "s", 10.11)[0], SendRetryBudgetRequest)


def test_without_a_slack_or_a_roster_the_answer_is_no() -> None:
    assert repeats(0.0).ask(1, "s", 10.0) == [RetryBudgetDecided(1, False)]
    assert RetryBudgetClient(OwnershipView(OWN), 52.0).ask(1, "s", 10.0) == [
        RetryBudgetDecided(1, False)
    ]
