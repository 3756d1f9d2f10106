"""Logs: JSON, one event a line, with a bound on lines of each event."""

from __future__ import annotations

import pytest

from tests.controller.reactor import REACTOR  # isort: skip - first: it installs the reactor

from roselink.controller.logging_setup import MAX_EVENTS, EventRateLimiter

assert REACTOR.running


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([(0.0, "a"), (0.0, "a"), (0.0, "a")], [0, 0, None]),
        ([(0.0, "a"), (0.0, "a"), (0.0, "b")], [0, 0, 0]),
        ([(0.0, "a"), (0.0, "a"), (0.0, "a"), (0.5, "a"), (1.0, "a")], [0, 0, None, None, 2]),
        ([(0.0, "a"), (9.0, "a"), (9.0, "a"), (9.0, "a")], [0, 0, 0, None]),
    ],
)
def test_lines_beyond_the_budget_are_counted(
    lines: list[tuple[float, str]], expected: list[int | None]
) -> None:
    budget = EventRateLimiter(burst=2, per_s=1.0)
    assert [budget.spend(now, event) for now, event in lines] == expected


def test_the_number_of_events_kept_apart_is_bounded() -> None:
    budget = EventRateLimiter(burst=1, per_s=0.0)
    for number in range(3 * MAX_EVENTS):
        assert budget.spend(0.0, f"event {number}") == 0
    assert len(budget._buckets) <= MAX_EVENTS
