"""The status log writes at most one line per interval, and none while the status is unchanged."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, cast

import pytest

from roselink.router.status_log import INTERVAL_S, StatusLog

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


class FakeTimer:
    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class FakeLoop:
    """The interface of an event loop that the status log uses."""

    def __init__(self) -> None:
        self.timers: list[FakeTimer] = []

    def call_later(self, delay_s: float, callback: Callable[[], None], *_: Any) -> FakeTimer:
        assert delay_s == INTERVAL_S
        self.timers.append(FakeTimer(callback))
        return self.timers[-1]


@pytest.mark.parametrize(
    ("statuses", "expected"),
    [
        (["a"], ["a"]),
        (["a", "a", "a"], ["a"]),
        (["a", "b", "b", "a"], ["a", "b", "a"]),
        (["", ""], []),
    ],
)
def test_only_changed_statuses_are_logged(
    caplog: pytest.LogCaptureFixture, statuses: list[str], expected: list[str]
) -> None:
    loop = FakeLoop()
    remaining = iter(statuses)
    status_log = StatusLog(cast("asyncio.AbstractEventLoop", loop), lambda: next(remaining))
    with caplog.at_level(logging.INFO, "roselink.router"):
        status_log.start()
        for number in range(len(statuses)):
            loop.timers[number].callback()
    assert [record.getMessage() for record in caplog.records] == [
        f"gateway_status {x}" for x in expected
    ]
    assert len(loop.timers) == len(statuses) + 1


def test_stop_logs_the_last_status_once_and_cancels_the_timer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    loop = FakeLoop()
    status_log = StatusLog(cast("asyncio.AbstractEventLoop", loop), lambda: "a")
    with caplog.at_level(logging.INFO, "roselink.router"):
        status_log.stop()
        assert caplog.records == []  # it was not started
        status_log.start()
        status_log.stop()
        status_log.stop()
    assert [record.getMessage() for record in caplog.records] == ["gateway_status a"]
    assert loop.timers[-1].cancelled
