"""Which view is proposed next, as tables of what is known."""

from __future__ import annotations

from dataclasses import replace

import pytest

from roselink.coordination.views import (
    PeerStatus,
    ViewPolicy,
    first_view,
    is_intact,
    majority,
    plan,
    should_await_joiners,
)
from roselink.protocol.chain import ChainReplica, View, Voter

NAMES = ("a", "b", "c", "d", "e")
ALL = frozenset(NAMES)


def peer(name: str, **changes: object) -> PeerStatus:
    well = PeerStatus(
        voter=Voter(name, 0),
        session=1,
        epoch=1,
        state_epoch=1,
        participating=True,
        disk_ok=True,
        leaving=False,
        live=True,
        stable=True,
        since_heartbeat_s=0.0,
        reachable=ALL - {name},
    )
    return replace(well, **changes)  # type: ignore[arg-type]


def gone(name: str, since_heartbeat_s: float = 0.5) -> PeerStatus:
    return peer(name, live=False, stable=False, since_heartbeat_s=since_heartbeat_s)


def joiner(name: str, **changes: object) -> PeerStatus:
    return peer(name, voter=Voter(name, 77), epoch=0, state_epoch=0, participating=False, **changes)


def snapshot(*peers: PeerStatus) -> dict[str, PeerStatus]:
    return {each.voter.address: each for each in peers}


def planned(view: View, tolerated: int, *peers: PeerStatus) -> tuple[str, str] | None:
    """Voters and chain of the plan, as names."""
    proposal = plan(view, snapshot(*peers), ViewPolicy(tolerated))
    if proposal is None:
        return None
    assert proposal.epoch == view.epoch + 1
    assert {replica.voter for replica in proposal.chain} <= set(proposal.voters)
    voters = "".join(voter.address for voter in proposal.voters)
    return voters, "".join(replica.voter.address for replica in proposal.chain)


def unstable(name: str) -> PeerStatus:
    return joiner(name, stable=False)


JOINED_BY_C = (peer("a"), peer("b"), joiner("c"))


@pytest.mark.parametrize(
    ("peers", "waits"),
    [
        pytest.param(JOINED_BY_C, False, id="one joins"),
        pytest.param((*JOINED_BY_C, joiner("d")), False, id="two join"),
        pytest.param((*JOINED_BY_C, unstable("d")), True, id="another may soon"),
        pytest.param((*JOINED_BY_C, gone("d")), False, id="another is gone"),
        pytest.param(
            (*JOINED_BY_C, joiner("d", stable=False, disk_ok=False)), False, id="another can't"
        ),
        pytest.param(
            (gone("a"), peer("b"), joiner("c"), unstable("d")), False, id="the head is gone"
        ),
        pytest.param(
            (peer("a", session=9), peer("b"), joiner("c"), unstable("d")),
            False,
            id="the head is restarted",
        ),
        pytest.param((peer("a"), peer("b"), unstable("c")), False, id="nothing is proposed"),
    ],
)
def test_joiners_wait_for_each_other(*, peers: tuple[PeerStatus, ...], waits: bool) -> None:
    pair = View(
        1,
        (Voter("a", 0), Voter("b", 0)),
        tuple(ChainReplica(Voter(name, 0), 1, 1) for name in "ab"),
    )
    proposal = plan(pair, snapshot(*peers), ViewPolicy(0))
    assert waits is (
        proposal is not None and should_await_joiners(pair, proposal, snapshot(*peers))
    )


THREE = first_view("abc")
FOUR = first_view("abcd")
FIVE = first_view("abcde")
SHORT = View(4, THREE.voters, tuple(ChainReplica(Voter(name, 0), 1, 1) for name in "ab"))
AB = (peer("a", epoch=4), peer("b", epoch=4))


@pytest.mark.parametrize(
    ("view", "tolerated", "peers", "expected"),
    [
        pytest.param(THREE, 1, (peer("a"), peer("b"), peer("c")), None, id="all well"),
        pytest.param(THREE, 1, (gone("a"), peer("b"), peer("c")), ("abc", "bc"), id="head gone"),
        pytest.param(THREE, 1, (peer("a"), gone("b"), peer("c")), ("abc", "ac"), id="middle gone"),
        pytest.param(THREE, 1, (peer("a"), peer("b"), gone("c")), ("abc", "ab"), id="tail gone"),
        pytest.param(
            THREE, 1, (peer("a"), peer("b"), gone("c", 9.0)), ("abc", "ab"), id="dead voter stays"
        ),
        pytest.param(THREE, 1, (peer("a"), gone("b"), gone("c")), None, id="too few for a chain"),
        pytest.param(
            THREE, 1, (peer("a"), peer("b"), peer("c", disk_ok=False)), ("abc", "ab"), id="bad disk"
        ),
        pytest.param(
            THREE, 1, (peer("a", leaving=True), peer("b"), peer("c")), ("abc", "bc"), id="leaving"
        ),
        pytest.param(
            THREE,
            1,
            (peer("a", participating=False), peer("b"), peer("c")),
            ("abc", "abc"),
            id="restarted",
        ),
        pytest.param(THREE, 1, (peer("a"), peer("b"), joiner("c")), ("abc", "acb"), id="wiped"),
        pytest.param(
            THREE,
            1,
            (peer("a"), peer("b"), gone("c", 1.0), joiner("d")),
            ("abd", "adb"),
            id="replaced",
        ),
        pytest.param(
            THREE,
            1,
            (peer("a"), peer("b"), gone("c", 0.4), joiner("d")),
            ("abcd", "adb"),
            id="new, none dead yet",
        ),
        pytest.param(
            THREE,
            1,
            (peer("a"), peer("b"), gone("c", 0.5), joiner("d")),
            ("abd", "adb"),
            id="new, one just gone",
        ),
        pytest.param(
            THREE,
            1,
            (peer("a"), peer("b"), peer("c"), joiner("d")),
            ("abcd", "abdc"),
            id="joiner goes before the tail",
        ),
        pytest.param(
            THREE,
            1,
            (peer("a"), peer("b"), peer("c"), joiner("d", stable=False)),
            None,
            id="joiner not stable",
        ),
        pytest.param(
            THREE,
            1,
            (peer("a", reachable=frozenset("c")), peer("b", reachable=frozenset("c")), peer("c")),
            ("abc", "ac"),
            id="two that don't hear each other",
        ),
        pytest.param(
            FOUR,
            1,
            (peer("a"), peer("b"), peer("c"), gone("d", 3.0)),
            ("abc", "abc"),
            id="spare voter goes",
        ),
        pytest.param(
            FOUR,
            1,
            (peer("a"), peer("b"), peer("c"), gone("d", 0.4)),
            ("abcd", "abc"),
            id="not at once",
        ),
        pytest.param(
            FIVE,
            2,
            (peer("a"), gone("b", 9), peer("c"), gone("d", 9), peer("e")),
            ("abcde", "ace"),
            id="5",
        ),
        pytest.param(
            FIVE,
            2,
            (peer("a"), gone("b"), gone("c"), gone("d"), peer("e")),
            None,
            id="5, three gone",
        ),
        pytest.param(
            SHORT,
            1,
            (*AB, peer("c", epoch=4, participating=False)),
            ("abc", "acb"),
            id="back again",
        ),
        pytest.param(
            SHORT, 1, (*AB, peer("c", epoch=4, stable=False)), None, id="back, not stable"
        ),
        pytest.param(
            SHORT,
            1,
            (gone("a"), gone("b"), peer("c", epoch=4)),
            None,
            id="only one that the chain went on without",
        ),
        pytest.param(
            SHORT,
            1,
            (gone("a"), AB[1], peer("c", epoch=4)),
            ("abc", "bc"),
            id="one left, one comes back",
        ),
        pytest.param(
            SHORT,
            1,
            (gone("a"), peer("b", state_epoch=0), peer("c", epoch=4)),
            None,
            id="none is_intact: wait",
        ),
    ],
)
def test_plan(
    view: View, tolerated: int, peers: tuple[PeerStatus, ...], expected: tuple[str, str] | None
) -> None:
    assert planned(view, tolerated, *peers) == expected


GROWN = View(
    5, THREE.voters, (*SHORT.chain[:1], ChainReplica(Voter("c", 0), 5, 1), *SHORT.chain[1:])
)
NEW_C = peer("c", epoch=5, state_epoch=4)


# Two joined between the head and the tail: the state reaches d by c.
WIDE = View(
    5,
    FIVE.voters,
    tuple(
        ChainReplica(Voter(name, 0), since, 1)
        for name, since in (("a", 1), ("b", 1), ("c", 5), ("d", 5), ("e", 1))
    ),
)
A5, B5, E5 = (peer(name, epoch=5, state_epoch=4) for name in "abe")
NEW_D = replace(NEW_C, voter=Voter("d", 0), reachable=ALL - {"d"})


@pytest.mark.parametrize(
    ("view", "tolerated", "peers", "young", "old"),
    [
        pytest.param(
            GROWN,
            1,
            (peer("a", epoch=5), gone("b"), NEW_C),
            None,
            None,
            id="a new member takes the state over",
        ),
        pytest.param(
            GROWN,
            1,
            (peer("a", epoch=5), gone("b"), replace(NEW_C, state_epoch=5)),
            ("abc", "ac"),
            ("abc", "ac"),
            id="it has it",
        ),
        pytest.param(
            GROWN,
            1,
            (peer("a", epoch=5), peer("b", epoch=5, disk_ok=False), NEW_C),
            None,
            None,
            id="bad disk: the same",
        ),
        pytest.param(
            GROWN,
            1,
            (peer("a", epoch=5), peer("b", epoch=5, leaving=True), NEW_C),
            None,
            None,
            id="leaving: the same",
        ),
        pytest.param(
            GROWN,
            1,
            (peer("a", epoch=5), peer("b", epoch=5), replace(NEW_C, disk_ok=False)),
            ("abc", "ab"),
            ("abc", "ab"),
            id="enough others",
        ),
        pytest.param(
            GROWN,
            1,
            (peer("a", epoch=5), gone("b"), replace(NEW_C, session=9, participating=False)),
            ("abc", "ac"),
            ("abc", "ac"),
            id="a new process of it waits for the next view",
        ),
        pytest.param(
            GROWN,
            1,
            (peer("a", epoch=5, session=9, participating=False), gone("b"), NEW_C),
            None,
            ("abc", "ac"),
            id="a new process of the head passes nothing on",
        ),
        pytest.param(
            WIDE,
            2,
            (A5, B5, NEW_C, NEW_D, gone("e")),
            None,
            None,
            id="both take the state over",
        ),
        pytest.param(
            WIDE,
            2,
            (A5, gone("b"), NEW_C, NEW_D, E5),
            None,
            ("abcde", "acde"),
            id="who passes it on is gone",
        ),
        pytest.param(
            WIDE,
            2,
            (A5, gone("b"), replace(NEW_C, state_epoch=5), NEW_D, E5),
            ("abcde", "acde"),
            ("abcde", "acde"),
            id="three have it",
        ),
        pytest.param(
            WIDE,
            2,
            (A5, B5, replace(NEW_C, session=9, participating=False), NEW_D, gone("e")),
            None,
            ("abcde", "acdb"),
            id="a new process of who passes it on",
        ),
    ],
)
def test_a_chain_waits_for_who_takes_the_state_over(
    view: View,
    tolerated: int,
    peers: tuple[PeerStatus, ...],
    young: tuple[str, str] | None,
    old: tuple[str, str] | None,
) -> None:
    """Else the loss of too few intact members would leave a chain that nobody can head.

    For the first second it also waits where the state's way is broken: who is suspected may live.
    """
    for is_recent, expected in ((True, young), (False, old)):
        proposal = plan(view, snapshot(*peers), ViewPolicy(tolerated), is_recent=is_recent)
        if expected is None:
            assert proposal is None
            continue
        assert proposal is not None
        assert "".join(voter.address for voter in proposal.voters) == expected[0]
        assert "".join(replica.voter.address for replica in proposal.chain) == expected[1]


def test_since_is_kept_by_those_who_stay_and_new_for_the_others() -> None:
    proposal = plan(
        SHORT, snapshot(*AB, peer("c", epoch=4, participating=False, session=9)), ViewPolicy(1)
    )
    assert proposal is not None
    assert {
        replica.voter.address: (replica.since, replica.session) for replica in proposal.chain
    } == {
        "a": (1, 1),
        "b": (1, 1),
        "c": (5, 9),
    }


@pytest.mark.parametrize(
    ("since", "state_epoch", "expected"),
    [(1, 1, True), (3, 3, True), (3, 5, True), (3, 2, False), (1, 0, False)],
)
def test_intact(*, since: int, state_epoch: int, expected: bool) -> None:
    voter = Voter("a", 0)
    view = View(5, (voter,), (ChainReplica(voter, since, 1),))
    assert is_intact(view, peer("a", state_epoch=state_epoch)) is expected
    assert not is_intact(view, joiner("a", reachable=ALL))
    assert not is_intact(view, peer("b"))


def test_a_view_that_never_became_active_leaves_the_old_members_able_to_lead() -> None:
    second = plan(THREE, snapshot(peer("a"), peer("b"), gone("c")), ViewPolicy(1))
    assert second is not None
    third = plan(second, snapshot(gone("a"), peer("b", epoch=2), peer("c", epoch=2)), ViewPolicy(1))
    assert third is not None
    assert third.chain[0].voter.address == "b"


@pytest.mark.parametrize(
    ("names", "expected"), [("a", 1), ("ab", 2), ("abc", 2), ("abcd", 3), ("abcde", 3)]
)
def test_majority(names: str, expected: int) -> None:
    assert majority(first_view(names)) == expected
