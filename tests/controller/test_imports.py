"""When a starting core member imports what can wait."""

from __future__ import annotations

import asyncio
import sys

import pytest

from roselink.controller.stepwise_imports import MAX_VIEW_WAIT_S, StepwiseImporter

MODULE = "this"  # of the standard library, and imported by nothing else


class Member:
    """Agrees on a view after a number of looks; each wait for it takes as long on its clock."""

    def __init__(self, looks: int, wait_s: float) -> None:
        self.looks, self.wait_s = looks, wait_s
        self.now = 0.0
        self.asked = 0

    def forming(self) -> bool:
        assert MODULE not in sys.modules
        self.asked += 1
        return self.asked <= self.looks

    async def sleep(self, delay: float) -> None:
        if delay > 0:
            self.now += self.wait_s


@pytest.mark.parametrize(
    ("looks", "wait_s", "asked"),
    [
        pytest.param(0, 0.02, 1, id="no view is being agreed"),
        pytest.param(3, 0.02, 4, id="until one is agreed"),
        pytest.param(99, MAX_VIEW_WAIT_S / 2, 2, id="no longer than there is patience"),
    ],
)
def test_an_import_waits_while_a_view_is_agreed(
    looks: int,
    wait_s: float,
    asked: int,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    member = Member(looks, wait_s)
    monkeypatch.setattr(asyncio, "sleep", member.sleep)
    sys.modules.pop(MODULE, None)
    with pytest.raises(StopIteration):
        StepwiseImporter(member.forming, lambda: member.now).load((MODULE,)).send(None)
    assert MODULE in sys.modules
    assert member.asked == asked
