"""`simulate`: a day that holds, one that does not, and what it refuses to begin."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from roselink.__main__ import main
from roselink.cli import EXIT_FAULTS, EXIT_UNAVAILABLE
from roselink.simulation import command
from roselink.simulation.command import Job, JobResult, run_job
from roselink.simulation.exceptions import ScenarioError
from roselink.simulation.history import Violation

if TYPE_CHECKING:
    from roselink.simulation.scenarios import ScenarioResult


def test_a_day_that_holds(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["simulate", "--seed", "3"]) == 0
    assert "1 days, 0 failed" in capsys.readouterr().out


def test_a_failing_seed_is_explained(monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(_: int) -> ScenarioResult:
        raise ScenarioError("unexplained", (Violation("an old configuration was shown", "3 at 7"),))

    monkeypatch.setattr(command, "run_scenario_of_seed", fails)
    outcome = run_job(Job(7, None))
    assert outcome.failure is not None
    assert "an old configuration was shown: 3 at 7" in outcome.failure


def test_failures_decide_the_exit_status(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(command, "run_days", lambda *_: 1)
    assert main(["simulate", "--days", "2"]) == EXIT_UNAVAILABLE


@pytest.mark.parametrize("arguments", [["--days", "0"], ["--jobs", "0"], ["--machines", "10"]])
def test_what_can_not_be_simulated_is_refused(arguments: list[str]) -> None:
    assert main(["simulate", *arguments]) == EXIT_FAULTS


@pytest.mark.parametrize(("seed", "machines"), [(2, 4), (5, 3)])
def test_the_size_may_be_given(seed: int, machines: int) -> None:
    outcome = run_job(Job(seed, machines))
    assert outcome == JobResult(seed, outcome.result, None)
