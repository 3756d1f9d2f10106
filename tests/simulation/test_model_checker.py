"""The model checker on the real members, from states in which view changes and commands race."""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import pytest

from roselink.coordination.proposal_round import ProposalRound
from roselink.coordination.reads import ReadRounds
from roselink.coordination.sequencer import ChangeSequencer
from roselink.simulation.initial_states import (
    change_on,
    idle_system,
    member_joining,
    member_partitioned,
    run_to_quiescence,
    two_proposers,
    view_accepted,
    view_decided,
)
from roselink.simulation.model_checker import Bounds, Exploration, explore, random_walk

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.protocol.chain import SubmitRequest, View
    from roselink.simulation.system_state import System

STATES = 1500  # of each search in CI
STATES_ON_DEMAND = 60_000  # the same with `many_seeds`
WALKS, STEPS = 8, 60
WALKS_ON_DEMAND = 600


def with_calls(begin: Callable[[], System]) -> System:
    """Two orders on the newest version at the chain's two ends, and a read at its tail.

    The search may begin one more read at any time.
    """
    system = begin()
    newest = system.client_knowledge.newest
    base = 3 if newest else 0
    system.submit("a:1", change_on(base, 5, "one"))
    system.submit("c:1", change_on(base, 5, "other"))
    system.read("c:1")
    return system


STARTS: dict[str, tuple[Callable[[], System], Bounds]] = {
    "calm": (idle_system, Bounds(30, STATES, reads=0)),
    "a view is accepted": (view_accepted, Bounds(30, STATES, kills=1, proposals=0, reads=0)),
    "a view is decided": (view_decided, Bounds(30, STATES, kills=1, proposals=1, reads=0)),
    "a member joins": (member_joining, Bounds(30, STATES, kills=1, proposals=0, reads=0)),
    "two propose": (two_proposers, Bounds(30, STATES, kills=0, proposals=0, reads=0)),
    "the tail is left behind": (
        partial(member_partitioned, "c:1"),
        Bounds(30, STATES, kills=0, proposals=0),
    ),
    "the head is left behind": (
        partial(member_partitioned, "a:1"),
        Bounds(30, STATES, kills=0, proposals=0),
    ),
    "a disk is lost": (
        idle_system,
        Bounds(30, STATES, kills=0, wipes=1, proposals=1, retransmissions=1, reads=0),
    ),
}


@pytest.mark.parametrize("start", STARTS)
def test_every_order_of_a_few_steps(start: str) -> None:
    begin, bounds = STARTS[start]
    found = explore(with_calls(begin), bounds)
    assert found.depth >= 3
    assert found.states >= STATES


@pytest.mark.many_seeds
@pytest.mark.parametrize("start", STARTS)
def test_every_order_of_more_steps(start: str, capsys: pytest.CaptureFixture[str]) -> None:
    begin, bounds = STARTS[start]
    found = explore(with_calls(begin), replace(bounds, states=STATES_ON_DEMAND))
    with capsys.disabled():
        print(f"\n{start}: {found}")


@pytest.mark.parametrize("start", STARTS)
@pytest.mark.parametrize("seed", range(WALKS))
def test_long_paths(start: str, seed: int) -> None:
    begin, bounds = STARTS[start]
    wide = Bounds(STEPS, STATES, 2, bounds.wipes, 3, 3, 4)
    run_to_quiescence(random_walk(with_calls(begin), wide, random.Random(seed)))


@pytest.mark.many_seeds
@pytest.mark.parametrize("start", STARTS)
@pytest.mark.parametrize("seed", range(WALKS, WALKS_ON_DEMAND))
def test_many_long_paths(start: str, seed: int) -> None:
    test_long_paths(start, seed)


# The search finds what it is for.


def hunt(start: str) -> Exploration:
    begin, bounds = STARTS[start]
    found = explore(with_calls(begin), bounds)
    for seed in range(60):
        random_walk(
            with_calls(begin), Bounds(STEPS, STATES, 2, bounds.wipes, 3, 3, 4), random.Random(seed)
        )
    return found


def answers_at_once(self: ChangeSequencer, order: SubmitRequest) -> None:
    """An order's answer does not wait until it is committed."""
    before = self.chain.committed
    self.chain.committed = 1 << 60
    try:
        self._sequence(order)
    finally:
        self.chain.committed = before


def shows_unconfirmed(self: ReadRounds, _answer: object) -> list[object]:
    """One answer confirms."""
    confirmed, self._in_flight = self._in_flight, []
    return list(confirmed)


def forgets_what_was_accepted(self: ProposalRound) -> View:
    """A proposer puts its own view forward, whatever was accepted before."""
    return self.wanted


@pytest.mark.parametrize(
    ("start", "owner", "name", "broken"),
    [
        ("calm", ChangeSequencer, "submit", answers_at_once),
        ("the tail is left behind", ReadRounds, "on_reply", shows_unconfirmed),
        ("a view is accepted", ProposalRound, "_choose", forgets_what_was_accepted),
    ],
)
def test_a_guard_that_is_gone_is_found(
    monkeypatch: pytest.MonkeyPatch, start: str, owner: type[object], name: str, broken: object
) -> None:
    monkeypatch.setattr(owner, name, broken)
    with pytest.raises(AssertionError):
        hunt(start)
