"""A gateway's status line: at most one an interval, none while nothing changes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, cast

import pytest

from roselink.router.status_log import INTERVAL_S, StatusLog

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


class Timer:
    def __init__(self, work: Callable[[], None]) -> None:
        self.work = work
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Loop:
    """What the status log uses of an event loop."""

    def __init__(self) -> None:
        self.timers: list[Timer] = []

    def call_later(self, delay_s: float, work: Callable[[], None], *_: Any) -> Timer:
        assert delay_s == INTERVAL_S
        self.timers.append(Timer(work))
        return self.timers[-1]


@pytest.mark.parametrize(
    ("states", "written"),
    [
        (["a"], ["a"]),
        (["a", "a", "a"], ["a"]),
        (["a", "b", "b", "a"], ["a", "b", "a"]),
        (["", ""], []),
    ],
)
def test_only_what_changed_is_written(
    caplog: pytest.LogCaptureFixture, states: list[str], written: list[str]
) -> None:
    loop = Loop()
    remaining = iter(states)
    status_log = StatusLog(cast("asyncio.AbstractEventLoop", loop), lambda: next(remaining))
    with caplog.at_level(logging.INFO, "roselink.router"):
        status_log.start()
        for number in range(len(states)):
            loop.timers[number].work()
    assert [record.getMessage() for record in caplog.records] == [
        f"gateway_status {x}" for x in written
    ]
    assert len(loop.timers) == len(states) + 1


def test_the_last_state_is_written_at_the_end_and_no_timer_is_left(
    caplog: pytest.LogCaptureFixture,
) -> None:
    loop = Loop()
    status_log = StatusLog(cast("asyncio.AbstractEventLoop", loop), lambda: "a")
    with caplog.at_level(logging.INFO, "roselink.router"):
        status_log.stop()
        assert caplog.records == []  # it had not started
        status_log.start()
        status_log.stop()
        status_log.stop()
    assert [record.getMessage() for record in caplog.records] == ["gateway_status a"]
    assert loop.timers[-1].cancelled
