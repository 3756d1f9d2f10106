"""The linearizability search on possible and impossible histories of one register."""

from __future__ import annotations

import itertools
import random

import pytest

from roselink.simulation.history import Change
from roselink.simulation.linearizability import Kind, Operation, is_linearizable

INFINITY = float("inf")
V1 = Change(0, 1, "one")
OTHER_V1 = Change(0, 1, "conflicting 1")
V2 = Change(1, 2, "two")
OTHER_V2 = Change(1, 2, "conflicting 2")
V3 = Change(2, 3, "three")


def confirmed(change: Change, started_at: float, ended_at: float) -> Operation:
    return Operation(started_at, ended_at, Kind.CONFIRMED, change)


def refused(change: Change, started_at: float, ended_at: float) -> Operation:
    return Operation(started_at, ended_at, Kind.REFUSED, change)


def unknown(change: Change, started_at: float) -> Operation:
    return Operation(started_at, INFINITY, Kind.UNKNOWN, change)


def read(change: Change | None, started_at: float, ended_at: float) -> Operation:
    return Operation(started_at, ended_at, Kind.READ, change)


FIRST_CALL = confirmed(V1, 0, 1)


@pytest.mark.parametrize(
    "operations",
    [
        [],
        [read(None, 0, 1), confirmed(V1, 0, 2), read(V1, 1, 2)],
        [FIRST_CALL, confirmed(V2, 2, 6), read(V1, 3, 4), read(V2, 3, 4), read(V2, 5, 7)],
        [FIRST_CALL, confirmed(V2, 2, 4), refused(OTHER_V2, 2, 4), refused(OTHER_V2, 6, 7)],
        [FIRST_CALL, confirmed(V1, 2, 3), confirmed(V2, 2, 3), confirmed(V1, 4, 5)],
        [FIRST_CALL, unknown(V2, 2), read(V1, 4, 5), read(V2, 6, 7)],
        [FIRST_CALL, unknown(V2, 2), confirmed(V3, 4, 5)],
        [FIRST_CALL, unknown(V2, 2), unknown(OTHER_V2, 2), read(OTHER_V2, 8, 9)],
        [FIRST_CALL, unknown(V2, 2), read(V1, 90, 91)],
        [refused(V3, 0, 1), FIRST_CALL],
        # Refused permanently before its base was in force.
        [FIRST_CALL, refused(V3, 2, 3), confirmed(V2, 4, 5), refused(V3, 6, 7)],
        [FIRST_CALL, unknown(V3, 2), confirmed(V2, 4, 5), refused(V3, 6, 7)],
        # Only one of the two possible orders can be completed, so the search backtracks.
        [FIRST_CALL, unknown(V2, 2), unknown(OTHER_V2, 2), refused(V2, 3, 4), read(OTHER_V2, 5, 6)],
    ],
)
def test_history_of_one_register_is_linearizable(operations: list[Operation]) -> None:
    for order in itertools.islice(itertools.permutations(operations), 24):
        assert is_linearizable(list(order))


@pytest.mark.parametrize(
    "operations",
    [
        pytest.param([FIRST_CALL, read(None, 2, 3)], id="confirmed change is not returned"),
        pytest.param([read(V1, 0, 1), confirmed(V1, 2, 3)], id="returned before it was sent"),
        pytest.param([FIRST_CALL, confirmed(OTHER_V1, 0, 1)], id="two changes on one base"),
        pytest.param(
            [FIRST_CALL, confirmed(V2, 2, 3), confirmed(OTHER_V2, 2, 3)],
            id="two conflicting changes confirmed",
        ),
        pytest.param([FIRST_CALL, confirmed(V3, 2, 3)], id="unknown base"),
        pytest.param([FIRST_CALL, refused(V2, 2, 3)], id="valid change refused"),
        pytest.param(
            [FIRST_CALL, confirmed(V2, 2, 3), refused(V3, 4, 5)],
            id="first refused while its base is in force",
        ),
        pytest.param([FIRST_CALL, refused(V1, 2, 3)], id="refused after its confirmation"),
        pytest.param(
            [FIRST_CALL, confirmed(V2, 2, 3), read(V2, 4, 5), read(V1, 6, 7)], id="stale read"
        ),
        pytest.param(
            [FIRST_CALL, unknown(V2, 2), read(V2, 3, 4), read(V1, 5, 6)],
            id="returned change is no longer in force",
        ),
        pytest.param(
            [
                FIRST_CALL,
                unknown(V2, 2),
                unknown(OTHER_V2, 2),
                read(V2, 3, 4),
                read(OTHER_V2, 5, 6),
            ],
            id="two conflicting changes returned",
        ),
        pytest.param(
            [FIRST_CALL, unknown(V2, 2), refused(V2, 3, 4), read(V2, 5, 6)],
            id="refused, and in force by another call",
        ),
        # Each pair of these calls is linearizable; all together are not.
        pytest.param(
            [FIRST_CALL, confirmed(V2, 2, 9), read(V2, 3, 4), read(V1, 5, 6), read(V2, 7, 8)],
            id="old and new value alternate during the change",
        ),
    ],
)
def test_impossible_history_is_not_linearizable(operations: list[Operation]) -> None:
    for order in itertools.islice(itertools.permutations(operations), 24):
        assert not is_linearizable(list(order))


def random_history(rng: random.Random, *, stale_read: bool) -> list[Operation]:
    """Calls of a register, each around its execution time; `stale_read` appends a stale read."""
    changes: list[Change] = []
    operations: list[Operation] = []
    for time in range(1, 60):
        current = changes[-1] if changes else None
        version = current.version if current is not None else 0
        started_at = time - rng.uniform(0, 3)
        ended_at = time + rng.uniform(0, 3)
        if rng.random() < 0.3:
            change = Change(version, version + 1, f"change-{time}")
            changes.append(change)
            kind = rng.choice((Kind.CONFIRMED, Kind.CONFIRMED, Kind.UNKNOWN))
            ended_at = ended_at if kind is Kind.CONFIRMED else INFINITY
            operations.append(Operation(started_at, ended_at, kind, change))
        elif rng.random() < 0.2:
            refused_change = Change(version + 5, version + 9, f"refused-{time}")
            operations.append(refused(refused_change, started_at, ended_at))
        else:
            operations.append(read(current, started_at, ended_at))
    if stale_read:
        operations.append(read(changes[0], 90.0, 91.0))
        operations.append(read(changes[-1], 80.0, 81.0))
    return operations


@pytest.mark.parametrize("seed", range(40))
def test_random_history_is_linearizable_unless_a_stale_read_is_added(seed: int) -> None:
    assert is_linearizable(random_history(random.Random(seed), stale_read=False))
    assert not is_linearizable(random_history(random.Random(seed), stale_read=True))
