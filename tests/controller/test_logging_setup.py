"""The rate limit of log lines per event."""

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
def test_lines_beyond_the_rate_limit_are_dropped_and_counted(
    lines: list[tuple[float, str]], expected: list[int | None]
) -> None:
    limiter = EventRateLimiter(burst=2, per_s=1.0)
    assert [limiter.spend(now, event) for now, event in lines] == expected


def test_the_number_of_token_buckets_is_bounded() -> None:
    limiter = EventRateLimiter(burst=1, per_s=0.0)
    for number in range(3 * MAX_EVENTS):
        assert limiter.spend(0.0, f"event {number}") == 0
    assert len(limiter._buckets) <= MAX_EVENTS
