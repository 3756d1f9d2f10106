"""Voters of the next view: those that leave are dropped, and a majority of the rest stays."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roselink.coordination.peer_status import PeerStatus, ViewPolicy
from roselink.coordination.views import first_view, majority
from roselink.coordination.voter_plan import (
    MAX_VOTERS,
    plan_voters,
    required_voters,
    staying_voters_lack_majority,
)
from tests.coordination.test_views import absent, joiner, peer, snapshot

NAMES = "abcdefghi"


def leaving(name: str) -> PeerStatus:
    return peer(name, leaving=True)


def voters_after(names: str, tolerated: int, *peers: PeerStatus) -> str:
    voters = plan_voters(first_view(names), snapshot(*peers), ViewPolicy(tolerated))
    return "".join(voter.address for voter in voters)


def present(names: str) -> tuple[PeerStatus, ...]:
    return tuple(peer(name) for name in names)


@pytest.mark.parametrize(
    ("names", "tolerated", "peers", "expected"),
    [
        pytest.param("abcd", 1, (leaving("a"), *present("bcd")), "bcd", id="one of four leaves"),
        pytest.param(
            "abcdef",
            1,
            (leaving("a"), leaving("b"), leaving("c"), *present("def")),
            "def",
            id="three of six leave together",
        ),
        pytest.param(
            "abc", 1, (leaving("a"), *present("bc")), "abc", id="as many voters as required"
        ),
        pytest.param(
            "abcd",
            1,
            (leaving("a"), leaving("b"), *present("cd")),
            "bcd",
            id="two leave, one would be missing",
        ),
        pytest.param(
            "abc", 1, (leaving("a"), *present("bc"), joiner("d")), "dbc", id="joiner replaces"
        ),
        pytest.param(
            "abcd",
            1,
            (leaving("a"), *present("bc"), absent("d")),
            "abc",
            id="absent voter is dropped first",
        ),
        pytest.param(
            "abcd",
            1,
            (leaving("a"), *present("bc"), absent("d", 0.2)),
            "bcd",
            id="voter that is lost but not absent yet stays",
        ),
        pytest.param(
            "abcdefghi",
            2,
            (leaving("a"), *present("bcdefghi"), joiner("j")),
            "jbcdefghi",
            id="joiner replaces one of the most voters",
        ),
        pytest.param("ab", 0, (leaving("a"), *present("b")), "b", id="no loss is tolerated"),
    ],
)
def test_voters_after_departures(
    names: str, tolerated: int, peers: tuple[PeerStatus, ...], expected: str
) -> None:
    assert voters_after(names, tolerated, *peers) == expected


@given(data=st.data())
def test_majority_of_the_planned_voters_stays(data: st.DataObject) -> None:
    """Q1, over all views of up to `MAX_VOTERS`, departures, absences, losses and joiners."""
    tolerated = data.draw(st.integers(0, 3))
    policy = ViewPolicy(tolerated)
    count = data.draw(st.integers(required_voters(policy), MAX_VOTERS))
    order = data.draw(st.permutations(NAMES[:count]))
    staying_count = data.draw(st.integers(tolerated + 1, count))
    staying = set(order[:staying_count])
    departing = order[staying_count:]
    peers = [peer(name) for name in staying]
    lost: set[str] = set()
    for name in departing:
        kind = data.draw(st.sampled_from(("leaving", "absent", "forgotten", "lost")))
        if kind == "lost" and len(lost) == tolerated:
            kind = "absent"
        if kind == "leaving":
            peers.append(leaving(name))
        elif kind == "absent":
            peers.append(absent(name))
        elif kind == "lost":
            lost.add(name)
            peers.append(absent(name, 0.2))
    peers += [joiner(name) for name in "xyz"[: data.draw(st.integers(0, 3))]]
    statuses = snapshot(*data.draw(st.permutations(peers)))
    view = first_view(NAMES[:count])
    voters = plan_voters(view, statuses, policy)
    assert required_voters(policy) <= len(voters) <= MAX_VOTERS
    stays = sum(voter.address in staying or voter.address in "xyz" for voter in voters)
    assert stays > len(voters) // 2
    if len(voters) > required_voters(policy):
        dropped = set(departing) - lost
        assert not dropped & {voter.address for voter in voters}
    assert majority(view) <= len(view.voters)


@pytest.mark.parametrize(
    ("names", "peers", "expected"),
    [
        pytest.param("abcd", (leaving("a"), *present("bcd")), False, id="three of four stay"),
        pytest.param(
            "abcd", (leaving("a"), leaving("b"), *present("cd")), True, id="two of four stay"
        ),
        pytest.param(
            "abcd", (leaving("a"), *present("bc"), absent("d")), True, id="two stay, one is lost"
        ),
        pytest.param(
            "abc", (leaving("a"), leaving("b"), peer("c")), False, id="too few stay for a chain"
        ),
        pytest.param("abc", (leaving("a"), leaving("b"), leaving("c")), False, id="all leave"),
    ],
)
def test_voters_that_stay_lack_a_majority(
    names: str, peers: tuple[PeerStatus, ...], *, expected: bool
) -> None:
    view = first_view(names)
    assert staying_voters_lack_majority(view, snapshot(*peers), ViewPolicy(1)) is expected
