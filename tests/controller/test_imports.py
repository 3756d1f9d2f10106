"""Imports of a starting core member wait while its members agree on a view."""

from __future__ import annotations

import asyncio
import sys

import pytest

from roselink.controller.stepwise_imports import MAX_VIEW_WAIT_S, StepwiseImporter

MODULE = "this"  # of the standard library, and imported by nothing else


class FakeMember:
    """Agrees on a view after a number of checks; each wait advances its clock by `wait_s`."""

    def __init__(self, checks_until_agreed: int, wait_s: float) -> None:
        self.checks_until_agreed, self.wait_s = checks_until_agreed, wait_s
        self.now = 0.0
        self.checks = 0

    def forming(self) -> bool:
        assert MODULE not in sys.modules
        self.checks += 1
        return self.checks <= self.checks_until_agreed

    async def sleep(self, delay: float) -> None:
        if delay > 0:
            self.now += self.wait_s


@pytest.mark.parametrize(
    ("checks_until_agreed", "wait_s", "checks"),
    [
        pytest.param(0, 0.02, 1, id="no view is being agreed"),
        pytest.param(3, 0.02, 4, id="a view is agreed after three checks"),
        pytest.param(99, MAX_VIEW_WAIT_S / 2, 2, id="no view within the longest wait"),
    ],
)
def test_an_import_waits_while_a_view_is_being_agreed(
    checks_until_agreed: int,
    wait_s: float,
    checks: int,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    member = FakeMember(checks_until_agreed, wait_s)
    monkeypatch.setattr(asyncio, "sleep", member.sleep)
    sys.modules.pop(MODULE, None)
    with pytest.raises(StopIteration):
        StepwiseImporter(member.forming, lambda: member.now).load((MODULE,)).send(None)
    assert MODULE in sys.modules
    assert member.checks == checks
