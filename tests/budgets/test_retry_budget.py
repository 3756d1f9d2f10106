"""The retry budget of a service: grants by its owner and decisions of a requester."""

from __future__ import annotations

import pytest

from roselink.budgets.ownership import OwnershipView
from roselink.budgets.retry_budget import (
    FIRST_WINDOW_FRACTION,
    GRANTED_FRACTION,
    START_DELAY_S,
    RefreshRoster,
    RetryBudgetClient,
    RetryBudgetDecided,
    RetryBudgetOwner,
    SendRetryBudgetRequest,
)
from roselink.model.fleet import Member
from roselink.protocol.budgets import ReplyStatus, RetryBudgetReply, RetryBudgetRequest

OWN = Member("a", "10.0.0.1:7500", 1)
OTHER = Member("b", "10.0.0.2:7500", 2)
OK = ReplyStatus.DECIDED


def grant(owner: RetryBudgetOwner, at: float, times: int = 1) -> int:
    return sum(owner.decide(RetryBudgetRequest("s", 5), at).allowed for _ in range(times))


def test_a_term_grants_nothing_then_the_first_window_fraction_then_the_granted_fraction() -> None:
    owner = RetryBudgetOwner(10.0, 100.0)
    assert owner.decide(RetryBudgetRequest("s", 5), 0.0).status is ReplyStatus.NOT_READY
    owner.set_owned(["s"], 0.0)
    assert grant(owner, START_DELAY_S - 0.01, 5) == 0
    assert grant(owner, START_DELAY_S, 50) == 100 * FIRST_WINDOW_FRACTION
    assert grant(owner, 9.9, 50) == 0
    assert grant(owner, 10.1, 200) == 100 * (GRANTED_FRACTION - FIRST_WINDOW_FRACTION)
    assert grant(owner, 10.6, 200) == 100 * FIRST_WINDOW_FRACTION
    assert grant(owner, 20.0, 200) == 0
    assert grant(owner, 20.2, 200) == 100 * (GRANTED_FRACTION - FIRST_WINDOW_FRACTION)


@pytest.mark.parametrize(("unconfirmed_s", "granted"), [(1.3, 80), (9.9, 80), (10.0, 0)])
def test_a_term_ends_if_unconfirmed_for_a_full_window(unconfirmed_s: float, granted: int) -> None:
    owner = RetryBudgetOwner(10.0, 100.0)
    owner.set_owned(["s"], 0.0)
    owner.end_terms(unconfirmed_s)
    owner.set_owned(["s"], 30.0)
    assert grant(owner, 30.0, 200) == granted


def test_a_service_owned_again_starts_a_new_term() -> None:
    owner = RetryBudgetOwner(10.0, 100.0)
    owner.set_owned(["s"], 0.0)
    owner.set_owned([], 30.0)
    owner.set_owned(["s"], 31.0)
    assert grant(owner, 32.0, 200) == 100 * FIRST_WINDOW_FRACTION


def test_zero_slack_grants_nothing() -> None:
    owner = RetryBudgetOwner(10.0, 0.0)
    owner.set_owned(["s"], 0.0)
    assert grant(owner, 50.0, 5) == 0


def retry_client(slack: float = 52.0) -> RetryBudgetClient:
    ownership = OwnershipView(OWN)
    ownership.update(5, (OTHER,))
    return RetryBudgetClient(ownership, slack)


@pytest.mark.parametrize(
    ("outcome", "effects"),
    [
        (None, [RetryBudgetDecided(1, allowed=False)]),
        (RetryBudgetReply(OK, 5, allowed=True), [RetryBudgetDecided(1, allowed=True)]),
        (
            RetryBudgetReply(OK, 5, allowed=False, retry_after_s=0.1),
            [RetryBudgetDecided(1, allowed=False)],
        ),
        (
            RetryBudgetReply(ReplyStatus.STALE_TOKEN, 6, allowed=False),
            [RefreshRoster(), RetryBudgetDecided(1, allowed=False)],
        ),
        (
            RetryBudgetReply(ReplyStatus.NOT_READY, 4, allowed=False),
            [RefreshRoster(), RetryBudgetDecided(1, allowed=False)],
        ),
    ],
)
def test_a_retry_is_allowed_only_by_a_decided_reply(
    outcome: RetryBudgetReply | None, effects: list[object]
) -> None:
    client = retry_client()
    [sent_request] = client.request(1, "s", 10.0)
    assert isinstance(sent_request, SendRetryBudgetRequest)
    assert sent_request.address == OTHER.address
    assert sent_request.request.fencing_token == 5
    assert client.handle_reply(1, outcome, 10.01) == effects
    assert client.handle_reply(1, outcome, 10.01) == []


def test_a_token_refused_as_stale_is_not_used_again() -> None:
    ownership = OwnershipView(OWN)
    ownership.update(5, (OTHER,))
    client = RetryBudgetClient(ownership, 52.0)
    client.request(1, "s", 10.0)
    client.handle_reply(1, RetryBudgetReply(ReplyStatus.STALE_TOKEN, 7, allowed=False), 10.0)
    assert client.request(2, "s", 11.0) == [RetryBudgetDecided(2, allowed=False)]
    ownership.update(6, (OTHER,))
    assert client.request(3, "other", 11.0) == [RetryBudgetDecided(3, allowed=False)]
    ownership.update(7, (OTHER,))
    assert isinstance(client.request(4, "s", 11.0)[0], SendRetryBudgetRequest)


def test_a_refusal_is_reused_until_retry_after() -> None:
    client = retry_client()
    client.request(1, "s", 10.0)
    client.handle_reply(1, RetryBudgetReply(OK, 5, allowed=False, retry_after_s=0.1), 10.0)
    assert client.request(2, "s", 10.05) == [RetryBudgetDecided(2, allowed=False)]
    assert isinstance(client.request(3, "other", 10.05)[0], SendRetryBudgetRequest)
    assert isinstance(client.request(4, "s", 10.11)[0], SendRetryBudgetRequest)


def test_zero_slack_or_no_roster_refuses_every_retry() -> None:
    assert retry_client(0.0).request(1, "s", 10.0) == [RetryBudgetDecided(1, allowed=False)]
    assert RetryBudgetClient(OwnershipView(OWN), 52.0).request(1, "s", 10.0) == [
        RetryBudgetDecided(1, allowed=False)
    ]
