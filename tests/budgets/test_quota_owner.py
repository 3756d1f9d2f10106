"""Quota decisions of an owner: bucket level, terms, reservations and leases."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roselink.budgets import tenant_bucket as module
from roselink.budgets.quota_owner import MAX_RETRY_AFTER_S, QuotaOwner
from roselink.budgets.usage import OVERDRAFT_FRACTION, START_FRACTION, QuotaLimit, QuotaRule
from roselink.model.fleet import Member
from roselink.protocol.budgets import (
    BucketLevel,
    QuotaReply,
    QuotaRequest,
    ReplyStatus,
    UsageSample,
)

LIMIT = QuotaLimit(100.0, 100.0)
EXACT = QuotaRule(window_s=8.0, over=0.0, slack=0.0)
LOOSE = QuotaRule(window_s=8.0, over=0.1, slack=30.0)
ALLOWANCE = LOOSE.allowance(LIMIT)  # 120
A, B = Member("a", "10.0.0.1:1", 1), Member("b", "10.0.0.2:1", 2)


def request(
    *amounts: float,
    member: Member = A,
    report: tuple[UsageSample, ...] | None = (),
    **values: object,
) -> QuotaRequest:
    defaults: dict[str, object] = {
        "lease_wanted": 0.0,
        "returned": 0.0,
        "admitted_locally": 0.0,
        "draining": False,
        "last_level": None,
    }
    return QuotaRequest(
        "t",
        5,
        member.name,
        member.incarnation,
        amounts,
        usage_report=report,
        **{**defaults, **values},  # type: ignore[arg-type]
    )


def make_owner(rule: QuotaRule = EXACT, at: float = 0.0, limit: QuotaLimit = LIMIT) -> QuotaOwner:
    owner = QuotaOwner(rule, 1000)
    owner.configure({"t": limit, "free": QuotaLimit(0.0, 0.0)}, at)
    owner.set_owned(["t", "free"], (A, B), at)
    return owner


def full_owner(rule: QuotaRule = EXACT) -> QuotaOwner:
    """Return an owner whose bucket is full at the time 10."""
    return make_owner(rule, 0.0)


def test_a_tenant_that_is_not_owned_is_not_ready() -> None:
    owner = QuotaOwner(EXACT, 1000)
    owner.configure({"t": LIMIT}, 0.0)
    assert owner.decide(request(1.0), 0.0).status is ReplyStatus.NOT_READY
    owner.set_owned(["t"], (A,), 0.0)
    assert owner.decide(request(), 0.0).status is ReplyStatus.DECIDED
    owner.set_owned([], (A,), 1.0)
    assert owner.decide(request(), 1.0).status is ReplyStatus.NOT_READY


def test_an_unknown_requester_must_report_first() -> None:
    owner = full_owner()
    assert owner.decide(request(1.0, report=None), 10.0).status is ReplyStatus.REPORT_WANTED
    assert owner.decide(request(1.0, report=()), 10.0).admitted == (True,)
    assert owner.decide(request(1.0, report=None), 10.0).admitted == (True,)


@pytest.mark.parametrize(
    ("amounts", "admitted"),
    [
        ((), ()),
        ((100.0,), (True,)),
        ((60.0, 60.0, 40.0), (True, False, True)),  # decided one by one, in order
        ((250.0,), (True,)),  # above the burst: requires a full bucket, makes it negative
        ((1.0, 250.0), (True, False)),
        ((0.0, 0.0), (True, True)),
    ],
)
def test_a_full_bucket_admits_its_burst(
    amounts: tuple[float, ...], admitted: tuple[bool, ...]
) -> None:
    assert full_owner().decide(request(*amounts), 10.0).admitted == admitted


def test_the_bucket_refills_at_the_rate_from_a_negative_level() -> None:
    owner = full_owner()
    owner.decide(request(250.0), 10.0)
    refused = owner.decide(request(10.0), 10.5)
    assert refused.admitted == (False,)
    assert refused.retry_after_s == pytest.approx(1.1)  # level -100, needs 10 at 100 per second
    assert owner.decide(request(10.0), 11.59).admitted == (False,)
    assert owner.decide(request(10.0), 11.61).admitted == (True,)


def test_a_clock_that_does_not_advance_refills_nothing() -> None:
    owner = full_owner()
    owner.decide(request(100.0), 10.0)
    assert owner.decide(request(1.0), 10.0).admitted == (False,)
    assert owner.decide(request(1.0), 9.0).admitted == (False,)


def test_retry_after_is_capped() -> None:
    owner = make_owner(limit=QuotaLimit(1.0, 1000.0))
    assert owner.decide(request(500.0), 1.0).retry_after_s == MAX_RETRY_AFTER_S


def test_the_overdraft_is_a_fraction_of_the_allowance() -> None:
    overdraft = OVERDRAFT_FRACTION * ALLOWANCE
    owner = full_owner(LOOSE)
    assert owner.decide(request(100.0, overdraft - 0.01, 1.0), 10.0).admitted == (True, True, False)


@pytest.mark.parametrize(
    ("at", "expected_level"), [(0.0, 0.0), (0.5, 50 + START_FRACTION * 120 / 2), (1.0, 100.0)]
)
def test_a_term_without_a_known_level_starts_empty_and_gains_credit(
    at: float, expected_level: float
) -> None:
    reply = make_owner(LOOSE).decide(request(), at)
    assert reply.level == pytest.approx(expected_level)


@pytest.mark.parametrize(
    ("level", "age_ms", "starts_at"),
    [
        (80.0, 100, 90.0),
        (-50.0, 100, -40.0),
        (100.0, 0, 100.0),
        (99.0, 500, 100.0),
        (80.0, 1500, 0.0),  # old: others may have used the refill since
        (-300.0, 1500, -150.0),
    ],
)
def test_a_term_counts_from_the_previous_owners_level(
    level: float, age_ms: int, starts_at: float
) -> None:
    reply = make_owner().decide(request(last_level=BucketLevel(7, level, 0.0, age_ms)), 0.0)
    assert reply.level == pytest.approx(starts_at)


def test_the_newest_reported_level_is_adopted_less_own_admissions() -> None:
    owner = make_owner()
    assert owner.decide(
        request(30.0, last_level=BucketLevel(7, 40.0, 0.0, 200)), 0.0
    ).level == pytest.approx(30.0)
    newer = owner.decide(request(member=B, last_level=BucketLevel(7, 20.0, 0.0, 100)), 0.1)
    assert newer.level == pytest.approx(20 + 10 - 30)
    older = owner.decide(request(member=B, last_level=BucketLevel(6, 100.0, 0.0, 5000)), 0.1)
    assert older.level == pytest.approx(newer.level)


def test_a_reported_level_of_the_current_term_is_ignored() -> None:
    owner = full_owner()
    first = owner.decide(request(60.0), 10.0)
    second = owner.decide(request(last_level=BucketLevel(first.term, 100.0, 0.0, 0)), 10.1)
    assert second.level == pytest.approx(50.0)


def test_local_admissions_lower_the_level_and_returned_amounts_raise_it() -> None:
    owner = full_owner()
    assert owner.decide(request(admitted_locally=70.0), 10.0).level == pytest.approx(30.0)
    assert owner.decide(request(returned=20.0), 10.0).level == pytest.approx(50.0)
    assert owner.decide(request(returned=500.0), 10.0).level == pytest.approx(100.0)


def test_a_new_term_begins_empty_after_end_terms() -> None:
    owner = full_owner()
    first = owner.decide(request(50.0), 10.0)
    owner.set_owned(["t"], (A, B), 10.0)
    assert owner.decide(request(), 10.0).term == first.term
    owner.end_terms()
    owner.set_owned(["t"], (A, B), 10.0)
    second = owner.decide(request(), 10.0)
    assert second.term != first.term
    assert second.level == 0.0


def test_the_rate_of_an_unreachable_requester_with_recent_usage_is_reserved() -> None:
    owner = full_owner()
    owner.decide(request(80.0, member=B), 10.0)  # a rate of 10 per second over the window
    unreachable = module.UNREACHABLE_AFTER_S
    assert owner.decide(request(100.0), 10.0 + unreachable + 0.5).admitted == (False,)
    assert owner.decide(request(94.0), 10.0 + unreachable + 0.5).admitted == (True,)
    late = 10.0 + unreachable + module.MAX_RESERVE_S + 2
    reserved = 10 * module.MAX_RESERVE_S
    assert owner.decide(request(101.0 - reserved), late).admitted == (False,)
    assert owner.decide(request(99.0 - reserved), late).admitted == (True,)
    assert owner.decide(request(100.0), 10.0 + LOOSE.window_s + 5).admitted == (True,)


def test_a_new_owner_reserves_for_usage_that_only_the_previous_owner_reported() -> None:
    """Of a total usage of 120 only 40 are reported: 10 per second remain reserved."""
    owner = make_owner()
    owner.decide(
        request(report=(UsageSample(100, 40.0),), last_level=BucketLevel(7, 100.0, 120.0, 0)), 0.0
    )
    later = module.UNREACHABLE_AFTER_S + 1.0
    assert owner.decide(request(91.0), later).admitted == (False,)
    owner.decide(request(member=B, report=(UsageSample(100, 80.0),)), later)
    assert owner.decide(request(91.0), later).admitted == (True,)


def test_recent_usage_excludes_draining_requesters() -> None:
    owner = full_owner()
    owner.decide(request(30.0), 10.0)
    assert owner.decide(request(20.0, member=B), 10.0).recent_usage == pytest.approx(50.0)
    assert owner.decide(request(member=B, draining=True), 10.0).recent_usage == pytest.approx(30.0)


@pytest.mark.parametrize("state", ["draining", "restarted", "reachable"])
def test_nothing_is_reserved_for_a_process_that_admits_nothing_locally(state: str) -> None:
    owner = full_owner()
    owner.decide(request(80.0, member=B, draining=state == "draining"), 10.0)
    if state == "restarted":
        owner.set_owned(["t"], (A, Member("b", B.address, 3)), 10.1)
    if state == "reachable":
        owner.decide(request(member=B), 12.9)
    assert owner.decide(request(100.0), 13.0).admitted == (True,)


def test_leases_are_granted_only_above_half_of_the_burst() -> None:
    owner = full_owner()
    assert owner.decide(request(10.0, lease_wanted=20.0), 10.0).lease_granted == 20.0
    assert owner.decide(request(10.0, lease_wanted=20.0), 10.0).lease_granted == pytest.approx(10.0)
    assert owner.decide(request(10.0, lease_wanted=20.0), 10.0).lease_granted == 0.0


def test_usage_fraction_is_the_requesters_part_of_recent_usage() -> None:
    owner = full_owner()
    assert owner.decide(request(), 10.0).usage_fraction == 0.0
    assert owner.decide(request(30.0), 10.0).usage_fraction == 1.0
    assert owner.decide(request(10.0, member=B), 10.0).usage_fraction == pytest.approx(0.25)
    reported = owner.decide(
        request(member=B, report=(UsageSample(2000, 30.0), UsageSample(9000, 500.0))), 10.5
    )
    assert reported.usage_fraction == pytest.approx(0.5)


@pytest.mark.parametrize(
    ("limit", "level"),
    [
        (QuotaLimit(100.0, 150.0), 90.0),
        (QuotaLimit(100.0, 20.0), 20.0),
        (QuotaLimit(500.0, 100.0), 40.0),
        (LIMIT, 40.0),
    ],
)
def test_a_changed_limit_applies_immediately(limit: QuotaLimit, level: float) -> None:
    owner = full_owner()
    owner.decide(request(60.0), 10.0)
    owner.configure({"t": limit}, 10.0)
    assert owner.decide(request(), 10.0).level == pytest.approx(level)


def test_a_tenant_whose_limit_was_removed_is_not_ready() -> None:
    owner = full_owner()
    owner.configure({"t": QuotaLimit(0.0, 100.0)}, 10.0)
    owner.set_owned(["t"], (A,), 10.0)
    assert owner.decide(request(1.0), 10.0) == QuotaReply(ReplyStatus.NOT_READY, 5)


def admitted_greedily(owner: QuotaOwner, now: float) -> float:
    """Request small amounts until one is refused; returns the sum of those admitted."""
    reply = owner.decide(request(*[5.0] * 60), now)
    return 5.0 * sum(reply.admitted)


def test_burst_that_is_lowered_and_restored_is_not_granted_anew() -> None:
    """A tenant got its whole burst again each time its limit was lowered and restored."""
    owner = full_owner()
    assert owner.decide(request(100.0), 10.0).admitted == (True,)
    for turn in range(4):
        owner.configure({"t": QuotaLimit(100.0, 10.0)}, 10.0 + turn)
        owner.configure({"t": LIMIT}, 10.0 + turn)
        assert admitted_greedily(owner, 10.0 + turn) <= (100.0 if turn else 0.0) + 5.0


def test_burst_above_the_greatest_of_the_last_window_is_available_immediately() -> None:
    owner = full_owner()
    assert owner.decide(request(100.0), 10.0).admitted == (True,)
    owner.configure({"t": QuotaLimit(100.0, 10.0)}, 10.0)
    owner.configure({"t": QuotaLimit(100.0, 160.0)}, 10.0)
    assert owner.decide(request(60.0), 10.0).admitted == (True,)
    assert owner.decide(request(1.0), 10.0).admitted == (False,)


def test_burst_is_available_again_once_the_former_one_is_older_than_a_window() -> None:
    owner = full_owner()
    owner.configure({"t": QuotaLimit(1.0, 10.0)}, 10.0)
    assert owner.decide(request(10.0), 10.0).admitted == (True,)
    owner.configure({"t": QuotaLimit(1.0, 100.0)}, 10.0 + EXACT.window_s + 0.1)
    assert owner.decide(request(90.0), 10.0 + EXACT.window_s + 0.1).admitted == (True,)


LIMITS = st.sampled_from([10.0, 40.0, 100.0, 250.0])
PAUSES_S = st.sampled_from([0.0, 0.1, 0.5, 1.0, 3.0, 7.9, 8.1])


@given(st.lists(st.tuples(PAUSES_S, LIMITS, LIMITS), min_size=1, max_size=12))
def test_no_series_of_limits_admits_more_than_the_greatest_in_any_window(
    changes: list[tuple[float, float, float]],
) -> None:
    """B1, for a tenant that requests all that it can get after each change and each 0.25 s."""
    owner = full_owner()
    now = 10.0
    in_force = [(0.0, LIMIT)]
    admitted = [(now, admitted_greedily(owner, now))]
    for pause_s, rate_per_s, burst in changes:
        end = now + pause_s
        while now < end:
            now = min(end, now + 0.25)
            admitted.append((now, admitted_greedily(owner, now)))
        in_force.append((now, QuotaLimit(rate_per_s, burst)))
        owner.configure({"t": in_force[-1][1]}, now)
        admitted.append((now, admitted_greedily(owner, now)))
    for start, _ in admitted:
        end = start + EXACT.window_s
        used = sum(amount for at, amount in admitted if start <= at < end)
        limits = [
            limit
            for (begun, limit), (ended, _) in zip(
                in_force, [*in_force[1:], (float("inf"), LIMIT)], strict=True
            )
            if begun < end and ended >= start
        ]
        rate_per_s = max(limit.rate_per_s for limit in limits)
        burst = max(limit.burst for limit in limits)
        assert used <= rate_per_s * EXACT.window_s + burst + 0.001
