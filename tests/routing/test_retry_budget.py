"""The local retry budget never exceeds its ratio of the window's first sends."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roselink.routing.retry_budget import LocalRetryBudget

WINDOW_S = 10.0
RATIO = 0.2
STEPS = st.lists(
    st.tuples(st.sampled_from("ffffr"), st.floats(0, 3), st.integers(1, 40)), max_size=80
)


@settings(max_examples=300, deadline=None)
@given(STEPS, st.floats(0, 1e7), st.sampled_from([0.05, 0.2, 0.5, 1.0]))
def test_retries_in_a_window_stay_within_the_ratio_of_its_first_sends(
    steps: list[tuple[str, float, int]], start: float, ratio: float
) -> None:
    budget = LocalRetryBudget(ratio, WINDOW_S)
    now = start
    first_sends: list[float] = []
    retries: list[float] = []
    for kind, gap, count in steps:
        now += gap
        for _ in range(count):
            if kind == "f":
                budget.record_first_send(now)
                first_sends.append(now)
            elif budget.spend(now):
                retries.append(now)
                in_window = sum(now - WINDOW_S < at <= now for at in first_sends)
                assert sum(now - WINDOW_S < at <= now for at in retries) <= ratio * in_window


@pytest.mark.parametrize(
    ("first_sends", "pause_s", "granted"),
    [
        (0, 0.0, 0),
        (5, 0.0, 0),
        (6, 0.0, 1),
        (101, 0.0, 18),
        (101, 5.0, 18),
        (100, 10.0, 0),
        (1000, 60.0, 0),
    ],
)
def test_tokens_expire_with_the_window(first_sends: int, pause_s: float, granted: int) -> None:
    budget = LocalRetryBudget(RATIO, WINDOW_S)
    for _ in range(first_sends):
        budget.record_first_send(100.0)
    assert sum(budget.spend(100.0 + pause_s) for _ in range(1000)) == granted


def test_tokens_without_retries_are_capped_at_one_window() -> None:
    budget = LocalRetryBudget(RATIO, WINDOW_S)
    for step in range(10_000):  # 10 a second
        budget.record_first_send(step * 0.1)
    granted = sum(budget.spend(999.9) for _ in range(1000))
    assert 15 <= granted <= RATIO * 10 * WINDOW_S


def test_hedge_needs_half_of_the_earned_tokens_unspent() -> None:
    budget = LocalRetryBudget(RATIO, WINDOW_S)
    assert not budget.allows_hedge(0.0)
    for _ in range(100):
        budget.record_first_send(0.0)
    assert budget.allows_hedge(0.0)
    for _ in range(10):
        budget.spend(0.0)
    assert not budget.allows_hedge(0.0)
