"""The model checker on the real members, from states with concurrent view changes and calls."""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import pytest

from roselink.coordination import voter_plan
from roselink.coordination.departure import Departure
from roselink.coordination.proposal_round import ProposalRound
from roselink.coordination.reads import ReadRounds
from roselink.coordination.sequencer import ChangeSequencer
from roselink.coordination.views import replica_of
from roselink.simulation.exceptions import InvariantViolatedError
from roselink.simulation.initial_states import (
    change_on,
    idle_system,
    member_joining,
    member_partitioned,
    members_leaving,
    run_to_quiescence,
    two_proposers,
    view_accepted,
    view_decided,
)
from roselink.simulation.model_checker import Bounds, Exploration, explore, random_walk

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.protocol.chain import SubmitRequest, View, Voter
    from roselink.simulation.system_state import System

STATES = 1500  # of each exploration in CI
STATES_MANY_SEEDS = 60_000  # with `many_seeds`
WALKS, STEPS = 8, 60
WALKS_MANY_SEEDS = 600


def with_calls(create_state: Callable[[], System]) -> System:
    """Submit two changes on the newest version, at the head and the tail, and read at the tail.

    The exploration may start one more read at any time.
    """
    system = create_state()
    newest = system.client_knowledge.newest
    base = 3 if newest else 0
    system.submit("a:1", change_on(base, 5, "one"))
    system.submit("c:1", change_on(base, 5, "other"))
    system.read("c:1")
    return system


def walk_bounds_of(bounds: Bounds) -> Bounds:
    """The limits of a random path from the state that has these limits of an exploration."""
    return Bounds(STEPS, STATES, 2, bounds.wipes, 3, 3, 4, bounds.leaves)


INITIAL_STATES: dict[str, tuple[Callable[[], System], Bounds]] = {
    "idle chain": (idle_system, Bounds(30, STATES, reads=0)),
    "view accepted": (view_accepted, Bounds(30, STATES, kills=1, proposals=0, reads=0)),
    "view decided": (view_decided, Bounds(30, STATES, kills=1, proposals=1, reads=0)),
    "member joining": (member_joining, Bounds(30, STATES, kills=1, proposals=0, reads=0)),
    "two proposers": (two_proposers, Bounds(30, STATES, kills=0, proposals=0, reads=0)),
    "tail partitioned": (
        partial(member_partitioned, "c:1"),
        Bounds(30, STATES, kills=0, proposals=0),
    ),
    "head partitioned": (
        partial(member_partitioned, "a:1"),
        Bounds(30, STATES, kills=0, proposals=0),
    ),
    "members leaving": (
        members_leaving,
        Bounds(30, STATES, kills=1, proposals=0, reads=0, leaves=1),
    ),
    "disk lost": (
        idle_system,
        Bounds(30, STATES, kills=0, wipes=1, proposals=1, retransmissions=1, reads=0),
    ),
}


@pytest.mark.parametrize("initial_state", INITIAL_STATES)
def test_invariants_hold_in_every_order_of_a_few_steps(initial_state: str) -> None:
    create_state, bounds = INITIAL_STATES[initial_state]
    exploration = explore(with_calls(create_state), bounds)
    assert exploration.depth >= 3
    assert exploration.states >= STATES


@pytest.mark.many_seeds
@pytest.mark.parametrize("initial_state", INITIAL_STATES)
def test_invariants_hold_in_every_order_of_more_steps(
    initial_state: str, capsys: pytest.CaptureFixture[str]
) -> None:
    create_state, bounds = INITIAL_STATES[initial_state]
    exploration = explore(with_calls(create_state), replace(bounds, states=STATES_MANY_SEEDS))
    with capsys.disabled():
        print(f"\n{initial_state}: {exploration}")


@pytest.mark.parametrize("initial_state", INITIAL_STATES)
@pytest.mark.parametrize("seed", range(WALKS))
def test_invariants_hold_on_a_long_random_path(initial_state: str, seed: int) -> None:
    create_state, bounds = INITIAL_STATES[initial_state]
    walk_bounds = walk_bounds_of(bounds)
    run_to_quiescence(random_walk(with_calls(create_state), walk_bounds, random.Random(seed)))


@pytest.mark.many_seeds
@pytest.mark.parametrize("initial_state", INITIAL_STATES)
@pytest.mark.parametrize("seed", range(WALKS, WALKS_MANY_SEEDS))
def test_invariants_hold_on_many_long_random_paths(initial_state: str, seed: int) -> None:
    test_invariants_hold_on_a_long_random_path(initial_state, seed)


# The model checker detects faults in the state machines.


def explore_and_walk(initial_state: str) -> Exploration:
    create_state, bounds = INITIAL_STATES[initial_state]
    exploration = explore(with_calls(create_state), bounds)
    for seed in range(60):
        random_walk(
            with_calls(create_state),
            walk_bounds_of(bounds),
            random.Random(seed),
        )
    return exploration


def reply_before_commit(self: ChangeSequencer, request: SubmitRequest) -> None:
    """Replies to a request before its change is committed."""
    before = self.chain.committed
    self.chain.committed = 1 << 60
    try:
        self._sequence(request)
    finally:
        self.chain.committed = before


def confirm_after_one_reply(self: ReadRounds, _reply: object) -> list[object]:
    """Confirms reads after a single reply."""
    confirmed, self._in_flight = self._in_flight, []
    return list(confirmed)


def propose_ignoring_accepted_view(self: ProposalRound) -> View:
    """Proposes the proposer's own view instead of one that was accepted before."""
    return self.preferred


def ends_once_it_knows_the_view(self: Departure, view: View | None) -> bool:
    """Ends a process as soon as it knows a view without itself."""
    return view is None or replica_of(view, self.voter) is None


@pytest.mark.parametrize(
    ("initial_state", "owner", "name", "replacement"),
    [
        ("idle chain", ChangeSequencer, "submit", reply_before_commit),
        ("tail partitioned", ReadRounds, "on_reply", confirm_after_one_reply),
        ("view accepted", ProposalRound, "_choose", propose_ignoring_accepted_view),
        ("members leaving", Departure, "is_complete", ends_once_it_knows_the_view),
    ],
)
def test_exploration_detects_a_removed_guard(
    monkeypatch: pytest.MonkeyPatch,
    initial_state: str,
    owner: type[object],
    name: str,
    replacement: object,
) -> None:
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        explore_and_walk(initial_state)


def test_exploration_shows_that_voters_that_left_deprived_the_rest_of_their_majority(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The plan of voters before the fix, under which a process ended once it was in no chain."""

    def keep_leaving_voters(_voters: list[Voter], _peers: object) -> None:
        return None

    monkeypatch.setattr(voter_plan, "_first_leaving", keep_leaving_voters)
    monkeypatch.setattr(Departure, "is_complete", ends_once_it_knows_the_view)
    with pytest.raises(InvariantViolatedError, match="are no majority"):
        explore_and_walk("members leaving")
