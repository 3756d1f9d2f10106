"""Loss tables, and the figures and confidence intervals that are read from synthetic reports."""

from __future__ import annotations

import math

import pytest

from tools.compare import confidence_interval, read_report
from tools.losses import loss_table, read_days

REPORT = {
    "G": 0.5,
    "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.3, 0.5]],
    "prices": [["machines", 100.0, 0.2], ["probes", 0.0, 0.0]],
    "all": {"n": 100, "late": 5, "refused": 2},
    "breaks": {"TWICE": ["x"]},
    "exits": [],
    "short": [],
    "fault": None,
}


def test_causes_are_sorted_by_mean_loss() -> None:
    head, row, mean = loss_table(list(read_days(REPORT)))
    assert head == ["day", "worth", "machines", "worst windows", "whole day"]
    assert row == ["report:0", "0.500", "0.2000", "0.1500", "0.0700"]
    assert mean[:2] == ["mean", "0.500 +- inf"]


def test_journal_entry_is_read_as_named_days() -> None:
    entry = {"site": "one", "days": [REPORT | {"name": "a"}, REPORT | {"name": "b", "G": 0.7}]}
    days = list(read_days(entry))
    assert [day.name for day in days] == ["one:a", "one:b"]
    assert loss_table(days)[-1][1] == "0.600 +- 1.271"


@pytest.mark.parametrize(
    ("values", "mean", "half_width"),
    [
        ([], 0.0, math.inf),
        ([0.3], 0.3, math.inf),
        ([1.0, 1.0, 1.0], 1.0, 0.0),
        ([0.0, 2.0], 1.0, 12.71),
    ],
)
def test_confidence_interval_of_few_values(
    values: list[float], mean: float, half_width: float
) -> None:
    assert confidence_interval(values) == pytest.approx((mean, half_width))


def test_figures_and_faults_of_a_report_are_extracted() -> None:
    result = read_report(REPORT)
    assert result.figures["late"] == 0.05
    assert result.figures["price: machines"] == 0.2
    assert result.faults == ("broken: TWICE",)
