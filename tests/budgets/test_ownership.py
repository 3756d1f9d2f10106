"""Ownership of keys, and the fencing tokens under which an owner serves requests."""

from __future__ import annotations

import pytest

from roselink.budgets.ownership import CONFIRMATION_VALID_S, OwnershipView, rendezvous_owner
from roselink.model.fleet import Member
from roselink.protocol.budgets import ReplyStatus

ROSTER = tuple(
    Member(f"edge-{name}", f"10.0.0.{number}:7500", number)
    for number, name in enumerate("abcdef", 1)
)
KEYS = [f"quota/t{number}" for number in range(600)]


def test_an_empty_roster_has_no_owner() -> None:
    assert rendezvous_owner("quota/x", ()) is None
    assert OwnershipView(ROSTER[0]).find("quota/x") is None


def test_the_owner_does_not_depend_on_roster_order() -> None:
    for key in KEYS[:50]:
        assert rendezvous_owner(key, ROSTER) == rendezvous_owner(key, tuple(reversed(ROSTER)))


def test_keys_are_distributed_over_all_members() -> None:
    counts = {member.name: 0 for member in ROSTER}
    for key in KEYS:
        owner = rendezvous_owner(key, ROSTER)
        assert owner is not None
        counts[owner.name] += 1
    assert min(counts.values()) > 60


def test_only_the_keys_of_a_removed_member_change_owner() -> None:
    for key in KEYS:
        before, after = rendezvous_owner(key, ROSTER), rendezvous_owner(key, ROSTER[1:])
        assert before == after or before == ROSTER[0]


def test_a_restarted_member_keeps_its_keys() -> None:
    restarted = Member(ROSTER[0].name, ROSTER[0].address, 99)
    for key in KEYS:
        before, after = (
            rendezvous_owner(key, ROSTER),
            rendezvous_owner(key, (restarted, *ROSTER[1:])),
        )
        assert before is not None
        assert after is not None
        assert before.name == after.name


def test_an_older_or_equal_roster_is_not_adopted() -> None:
    view = OwnershipView(ROSTER[0])
    assert view.update(5, ROSTER)
    assert not view.update(5, ROSTER[1:])
    assert not view.update(4, ROSTER[1:])
    assert view.fencing_token == 5
    assert view.size == 6
    assert view.update(6, ROSTER[:2])
    assert view.size == 2


def key_of(member: Member) -> str:
    return next(key for key in KEYS if rendezvous_owner(key, ROSTER) == member)


@pytest.mark.parametrize(
    ("owner", "token", "at", "status"),
    [
        (0, 5, 10.1, ReplyStatus.DECIDED),
        (0, 4, 10.1, ReplyStatus.STALE_TOKEN),
        (0, 6, 10.1, ReplyStatus.NOT_READY),
        (1, 5, 10.1, ReplyStatus.NOT_OWNER),
        (0, 5, 10.0 + CONFIRMATION_VALID_S - 0.001, ReplyStatus.DECIDED),
        (0, 5, 10.0 + CONFIRMATION_VALID_S + 0.001, ReplyStatus.NOT_READY),
        (0, 4, 10.0 + CONFIRMATION_VALID_S + 0.001, ReplyStatus.STALE_TOKEN),
    ],
)
def test_check_request_status_by_owner_token_and_confirmation_age(
    owner: int, token: int, at: float, status: ReplyStatus
) -> None:
    view = OwnershipView(ROSTER[0])
    view.update(5, ROSTER)
    view.confirm(10.0, 10.05)
    assert view.check_request(key_of(ROSTER[owner]), token, at) is status


def test_a_superseded_owner_decides_nothing_until_it_adopts_the_newer_roster() -> None:
    """Its roster is not the newest, so another gateway may already own the key."""
    view = OwnershipView(ROSTER[0])
    view.update(5, ROSTER)
    view.confirm(10.0, 10.05)
    key = key_of(ROSTER[0])
    assert view.check_request(key, 6, 10.1) is ReplyStatus.NOT_READY
    assert view.check_request(key, 5, 10.1) is ReplyStatus.STALE_TOKEN
    assert (view.fencing_token, view.newest_token, view.is_superseded) == (5, 6, True)
    view.update(6, ROSTER)
    assert view.check_request(key, 6, 10.1) is ReplyStatus.DECIDED


def test_a_member_without_a_confirmation_is_not_ready() -> None:
    view = OwnershipView(ROSTER[0])
    view.update(5, ROSTER)
    assert view.check_request(key_of(ROSTER[0]), 5, 0.0) is ReplyStatus.NOT_READY


def test_a_process_does_not_own_keys_of_its_earlier_incarnation() -> None:
    view = OwnershipView(Member(ROSTER[0].name, ROSTER[0].address, 99))
    view.update(5, ROSTER)
    view.confirm(10.0, 10.0)
    assert view.check_request(key_of(ROSTER[0]), 5, 10.1) is ReplyStatus.NOT_OWNER


def test_confirm_returns_how_long_the_view_was_unconfirmed() -> None:
    view = OwnershipView(ROSTER[0])
    assert view.confirm(10.0, 10.1) == float("inf")
    assert view.confirm(10.2, 10.3) == pytest.approx(0.3)
    assert view.confirm(10.1, 13.0) == pytest.approx(2.8)
    assert view.is_confirmed(10.2 + CONFIRMATION_VALID_S - 0.01)
    assert not view.is_confirmed(10.2 + CONFIRMATION_VALID_S + 0.01)
