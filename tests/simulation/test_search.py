"""Every order of a few steps of the real members, from the states in which views and orders
cross.
"""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import pytest

from roselink.coordination.proposal_round import ProposalRound
from roselink.coordination.reads import ReadRounds
from roselink.coordination.sequencer import ChangeSequencer
from roselink.simulation.search import Bounds, Found, search, walk
from roselink.simulation.system import (
    System,
    calm_system,
    left_behind,
    member_joining,
    order_on,
    settle,
    two_proposers,
    view_accepted,
    view_decided,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.protocol.chain import SubmitRequest, View

STATES = 1500  # of each search in CI
STATES_ON_DEMAND = 60_000  # the same with `many_seeds`
WALKS, STEPS = 8, 60
WALKS_ON_DEMAND = 600


def with_calls(begin: Callable[[], System]) -> System:
    """Two orders on the newest version at the chain's two ends, and a read at its tail.

    The search may begin one more read at any time.
    """
    system = begin()
    newest = system.told.newest
    base = 3 if newest else 0
    system.submit("a:1", order_on(base, 5, "one"))
    system.submit("c:1", order_on(base, 5, "other"))
    system.read("c:1")
    return system


STARTS: dict[str, tuple[Callable[[], System], Bounds]] = {
    "calm": (calm_system, Bounds(30, STATES, reads=0)),
    "a view is accepted": (view_accepted, Bounds(30, STATES, kills=1, proposals=0, reads=0)),
    "a view is decided": (view_decided, Bounds(30, STATES, kills=1, proposals=1, reads=0)),
    "a member joins": (member_joining, Bounds(30, STATES, kills=1, proposals=0, reads=0)),
    "two propose": (two_proposers, Bounds(30, STATES, kills=0, proposals=0, reads=0)),
    "the tail is left behind": (
        partial(left_behind, "c:1"),
        Bounds(30, STATES, kills=0, proposals=0),
    ),
    "the head is left behind": (
        partial(left_behind, "a:1"),
        Bounds(30, STATES, kills=0, proposals=0),
    ),
    "a disk is lost": (
        calm_system,
        Bounds(30, STATES, kills=0, wipes=1, proposals=1, sent_again=1, reads=0),
    ),
}


@pytest.mark.parametrize("start", STARTS)
def test_every_order_of_a_few_steps(start: str) -> None:
    begin, bounds = STARTS[start]
    found = search(with_calls(begin), bounds)
    assert found.depth >= 3
    assert found.states >= STATES


@pytest.mark.many_seeds
@pytest.mark.parametrize("start", STARTS)
def test_every_order_of_more_steps(start: str, capsys: pytest.CaptureFixture[str]) -> None:
    begin, bounds = STARTS[start]
    found = search(with_calls(begin), replace(bounds, states=STATES_ON_DEMAND))
    with capsys.disabled():
        print(f"\n{start}: {found}")


@pytest.mark.parametrize("start", STARTS)
@pytest.mark.parametrize("seed", range(WALKS))
def test_long_paths(start: str, seed: int) -> None:
    begin, bounds = STARTS[start]
    wide = Bounds(STEPS, STATES, 2, bounds.wipes, 3, 3, 4)
    settle(walk(with_calls(begin), wide, random.Random(seed)))


@pytest.mark.many_seeds
@pytest.mark.parametrize("start", STARTS)
@pytest.mark.parametrize("seed", range(WALKS, WALKS_ON_DEMAND))
def test_many_long_paths(start: str, seed: int) -> None:
    test_long_paths(start, seed)


# The search finds what it is for.


def hunt(start: str) -> Found:
    begin, bounds = STARTS[start]
    found = search(with_calls(begin), bounds)
    for seed in range(60):
        walk(
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


def shows_unconfirmed(self: ReadRounds, answer: object) -> list[object]:
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
