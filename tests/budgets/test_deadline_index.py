"""Deadlines by name: which are due and which is earliest, compared with a plain dict."""

from __future__ import annotations

import random

import pytest

from roselink.budgets.deadline_index import NEVER, DeadlineIndex

Step = tuple[str, float]


@pytest.mark.parametrize(
    ("steps", "now", "due", "first"),
    [
        ([], 9.0, [], NEVER),
        ([("a", 1.0)], 0.5, [], 1.0),
        ([("a", 1.0)], 1.0, ["a"], NEVER),
        ([("a", 2.0), ("b", 1.0)], 1.5, ["b"], 2.0),
        ([("a", 2.0), ("b", 1.0)], 2.0, ["b", "a"], NEVER),
        ([("a", 1.0), ("a", 2.0)], 1.5, [], 2.0),
        ([("a", 2.0), ("a", 1.0)], 1.5, ["a"], NEVER),
        ([("a", 1.0), ("a", 2.0), ("a", 1.0)], 2.0, ["a"], NEVER),
        ([("a", 1.0), ("a", NEVER)], 2.0, [], NEVER),
        ([("a", NEVER)], 2.0, [], NEVER),
    ],
)
def test_pop_due_returns_due_names_earliest_first(
    steps: list[Step], now: float, due: list[str], first: float
) -> None:
    deadlines = DeadlineIndex()
    for name, at in steps:
        deadlines.set(name, at)
    assert deadlines.pop_due(now) == due
    assert deadlines.earliest() == first


@pytest.mark.parametrize("seed", range(10))
def test_index_agrees_with_a_plain_dict_under_random_updates(seed: int) -> None:
    rng = random.Random(seed)
    deadlines, expected = DeadlineIndex(), dict[str, float]()
    for step in range(3000):
        name = f"n{rng.randrange(30)}"
        at = rng.choice((step + rng.randrange(50), NEVER, step))
        deadlines.set(name, at)
        expected[name] = at
        assert deadlines.earliest() == min(expected.values())
        if rng.random() < 0.2:
            due = deadlines.pop_due(step)
            assert sorted(due) == sorted(each for each, when in expected.items() if when <= step)
            assert [expected[each] for each in due] == sorted(expected[each] for each in due)
            expected = {each: when for each, when in expected.items() if when > step}
            assert deadlines.earliest() == min(expected.values(), default=NEVER)
        assert len(deadlines._heap) <= 2 * 30 + 65
