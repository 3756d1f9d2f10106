"""The search over the orders of calls: histories that a register can have, and that it can't."""

from __future__ import annotations

import itertools
import random

import pytest

from roselink.simulation.history import Change
from roselink.simulation.linearizability import Kind, Operation, is_linearizable

INFINITY = float("inf")
ONE = Change(0, 1, "one")
ALSO_ON_NONE = Change(0, 1, "also on none")
TWO = Change(1, 2, "two")
RIVAL = Change(1, 2, "rival")
THREE = Change(2, 3, "three")


def confirmed(change: Change, started_at: float, ended_at: float) -> Operation:
    return Operation(started_at, ended_at, Kind.CONFIRMED, change)


def refused(change: Change, started_at: float, ended_at: float) -> Operation:
    return Operation(started_at, ended_at, Kind.REFUSED, change)


def unknown(change: Change, started_at: float) -> Operation:
    return Operation(started_at, INFINITY, Kind.UNKNOWN, change)


def read(change: Change | None, started_at: float, ended_at: float) -> Operation:
    return Operation(started_at, ended_at, Kind.READ, change)


A = confirmed(ONE, 0, 1)


@pytest.mark.parametrize(
    "operations",
    [
        [],
        [read(None, 0, 1), confirmed(ONE, 0, 2), read(ONE, 1, 2)],
        [A, confirmed(TWO, 2, 6), read(ONE, 3, 4), read(TWO, 3, 4), read(TWO, 5, 7)],
        [A, confirmed(TWO, 2, 4), refused(RIVAL, 2, 4), refused(RIVAL, 6, 7)],
        [A, confirmed(ONE, 2, 3), confirmed(TWO, 2, 3), confirmed(ONE, 4, 5)],
        [A, unknown(TWO, 2), read(ONE, 4, 5), read(TWO, 6, 7)],
        [A, unknown(TWO, 2), confirmed(THREE, 4, 5)],
        [A, unknown(TWO, 2), unknown(RIVAL, 2), read(RIVAL, 8, 9)],
        [A, unknown(TWO, 2), read(ONE, 90, 91)],
        [refused(THREE, 0, 1), A],
        # Refused for good before its base was in force.
        [A, refused(THREE, 2, 3), confirmed(TWO, 4, 5), refused(THREE, 6, 7)],
        [A, unknown(THREE, 2), confirmed(TWO, 4, 5), refused(THREE, 6, 7)],
        # Only the second of two orders that begin alike goes on.
        [A, unknown(TWO, 2), unknown(RIVAL, 2), refused(TWO, 3, 4), read(RIVAL, 5, 6)],
    ],
)
def test_what_a_register_can_give(operations: list[Operation]) -> None:
    for order in itertools.islice(itertools.permutations(operations), 24):
        assert is_linearizable(list(order))


@pytest.mark.parametrize(
    "operations",
    [
        pytest.param([A, read(None, 2, 3)], id="what was confirmed is not shown"),
        pytest.param([read(ONE, 0, 1), confirmed(ONE, 2, 3)], id="shown before it was sent"),
        pytest.param([A, confirmed(ALSO_ON_NONE, 0, 1)], id="two on one base"),
        pytest.param([A, confirmed(TWO, 2, 3), confirmed(RIVAL, 2, 3)], id="two rivals confirmed"),
        pytest.param([A, confirmed(THREE, 2, 3)], id="built on nothing"),
        pytest.param([A, refused(TWO, 2, 3)], id="refused without a reason"),
        pytest.param(
            [A, confirmed(TWO, 2, 3), refused(THREE, 4, 5)], id="refused first with its base there"
        ),
        pytest.param([A, refused(ONE, 2, 3)], id="refused after it was confirmed"),
        pytest.param(
            [A, confirmed(TWO, 2, 3), read(TWO, 4, 5), read(ONE, 6, 7)], id="reads go back"
        ),
        pytest.param(
            [A, unknown(TWO, 2), read(TWO, 3, 4), read(ONE, 5, 6)],
            id="what was seen to be in force is gone again",
        ),
        pytest.param(
            [A, unknown(TWO, 2), unknown(RIVAL, 2), read(TWO, 3, 4), read(RIVAL, 5, 6)],
            id="each of two rivals was in force",
        ),
        pytest.param(
            [A, unknown(TWO, 2), refused(TWO, 3, 4), read(TWO, 5, 6)],
            id="refused, and in force by another copy",
        ),
        # Each pair of these is explained; only all together are not.
        pytest.param(
            [A, confirmed(TWO, 2, 9), read(TWO, 3, 4), read(ONE, 5, 6), read(TWO, 7, 8)],
            id="forth and back while the change is under way",
        ),
    ],
)
def test_what_no_register_can_give(operations: list[Operation]) -> None:
    for order in itertools.islice(itertools.permutations(operations), 24):
        assert not is_linearizable(list(order))


def drawn_history(rng: random.Random, *, spoilt: bool) -> list[Operation]:
    """The calls of a real register, each around its moment; `spoilt`: one read is moved back."""
    changes: list[Change] = []
    operations: list[Operation] = []
    for moment in range(1, 60):
        current = changes[-1] if changes else None
        version = current.version if current is not None else 0
        started_at = moment - rng.uniform(0, 3)
        ended_at = moment + rng.uniform(0, 3)
        if rng.random() < 0.3:
            change = Change(version, version + 1, f"change-{moment}")
            changes.append(change)
            kind = rng.choice((Kind.CONFIRMED, Kind.CONFIRMED, Kind.UNKNOWN))
            ended_at = ended_at if kind is Kind.CONFIRMED else INFINITY
            operations.append(Operation(started_at, ended_at, kind, change))
        elif rng.random() < 0.2:
            never = Change(version + 5, version + 9, f"never-{moment}")
            operations.append(refused(never, started_at, ended_at))
        else:
            operations.append(read(current, started_at, ended_at))
    if spoilt:
        operations.append(read(changes[0], 90.0, 91.0))
        operations.append(read(changes[-1], 80.0, 81.0))
    return operations


@pytest.mark.parametrize("seed", range(40))
def test_drawn_histories_of_a_register_pass_and_spoilt_ones_do_not(seed: int) -> None:
    assert is_linearizable(drawn_history(random.Random(seed), spoilt=False))
    assert not is_linearizable(drawn_history(random.Random(seed), spoilt=True))
