"""When the loss of a view's majority is reported."""

from __future__ import annotations

import pytest

from roselink.controller.quorum_monitor import REPORT_AFTER_S, QuorumEvent, QuorumMonitor
from roselink.coordination.views import first_view

VIEW = first_view(("a:1", "b:1", "c:1", "d:1"))
MAJORITY = {"a:1", "b:1", "c:1"}
HALF = {"a:1", "b:1"}


def test_lost_and_regained_majority_are_reported_once_each() -> None:
    monitor = QuorumMonitor()
    assert monitor.update(VIEW, MAJORITY, 0.0) is None
    assert monitor.update(VIEW, HALF, 1.0) is None
    assert monitor.update(VIEW, HALF, 1.0 + REPORT_AFTER_S) is QuorumEvent.LOST
    assert monitor.update(VIEW, HALF, 5.0) is None
    assert monitor.update(VIEW, MAJORITY, 6.0) is QuorumEvent.REGAINED
    assert monitor.update(VIEW, MAJORITY, 7.0) is None


@pytest.mark.parametrize("back_after_s", [0.1, REPORT_AFTER_S - 0.01])
def test_short_loss_of_the_majority_is_not_reported(back_after_s: float) -> None:
    monitor = QuorumMonitor()
    assert monitor.update(VIEW, HALF, 1.0) is None
    assert monitor.update(VIEW, MAJORITY, 1.0 + back_after_s) is None
    assert monitor.update(VIEW, HALF, 1.0 + REPORT_AFTER_S) is None


def test_machines_that_are_no_voters_do_not_count() -> None:
    monitor = QuorumMonitor()
    assert monitor.update(VIEW, {*HALF, "e:1", "f:1"}, 0.0) is None
    assert monitor.update(VIEW, {*HALF, "e:1", "f:1"}, REPORT_AFTER_S) is QuorumEvent.LOST
