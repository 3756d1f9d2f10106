"""The command `simulate`: days with and without violations, and refused options."""

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
    from roselink.simulation.scenario import ScenarioResult


def test_a_day_without_violations_exits_with_status_0(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["simulate", "--seed", "3"]) == 0
    assert "1 days, 0 failed" in capsys.readouterr().out


def test_a_violation_is_reported_with_its_details(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_violation(_: int) -> ScenarioResult:
        raise ScenarioError("unexplained", (Violation("an old configuration was shown", "3 at 7"),))

    monkeypatch.setattr(command, "run_scenario_of_seed", raise_violation)
    outcome = run_job(Job(7, None))
    assert outcome.failure is not None
    assert "an old configuration was shown: 3 at 7" in outcome.failure


def test_a_failed_day_exits_with_status_1(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(command, "run_days", lambda *_: 1)
    assert main(["simulate", "--days", "2"]) == EXIT_UNAVAILABLE


@pytest.mark.parametrize("arguments", [["--days", "0"], ["--jobs", "0"], ["--machines", "10"]])
def test_simulate_options_out_of_range_are_refused(arguments: list[str]) -> None:
    assert main(["simulate", *arguments]) == EXIT_FAULTS


@pytest.mark.parametrize(("seed", "machines"), [(2, 4), (5, 3)])
def test_a_day_with_a_given_number_of_machines_has_no_violations(seed: int, machines: int) -> None:
    result = run_job(Job(seed, machines))
    assert result == JobResult(seed, result.result, None)
