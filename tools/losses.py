"""Prints what reduces the score, from reports of the users' bench or entries of its journal.

    python -m tools.losses FILE...

Each day is a row: the score (`worth`), the loss of each of its parts (weight times the difference
to 1), and the loss to each price. The last row holds the mean over the days and half the width of
its 95% confidence interval; the columns are sorted by that mean.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import defopt  # type: ignore[import-untyped]

from tools.compare import confidence_interval

if TYPE_CHECKING:
    from collections.abc import Iterator

# Causes with a smaller mean loss are not printed.
MIN_SHOWN_LOSS = 0.0005


@dataclass(frozen=True, slots=True)
class DayLosses:
    """Score of one day, with its losses by cause."""

    name: str
    score: float
    causes: dict[str, float]


def read_days(document: dict[str, Any]) -> Iterator[DayLosses]:
    """Yield the days of a journal entry, or the single day of a report."""
    for number, day in enumerate(document.get("days", [document])):
        causes = {name: weight * (1.0 - value) for name, weight, value in day["parts"]}
        causes |= {name: value for name, _, value in day["prices"]}
        name = f"{document.get('site', 'report')}:{day.get('name', number)}"
        yield DayLosses(name, day["G"], causes)


def loss_table(days: list[DayLosses]) -> list[list[str]]:
    """Return the rows of the table: header, days, means."""
    names = list(dict.fromkeys(name for day in days for name in day.causes))
    columns = {
        name: confidence_interval([day.causes.get(name, 0.0) for day in days]) for name in names
    }
    shown = sorted(
        (name for name in names if columns[name][0] >= MIN_SHOWN_LOSS),
        key=lambda name: -columns[name][0],
    )
    score, half_width = confidence_interval([day.score for day in days])
    rows = [["day", "worth", *shown]]
    for day in days:
        rows.append(
            [day.name, f"{day.score:.3f}", *(f"{day.causes.get(name, 0.0):.4f}" for name in shown)]
        )
    means = [f"{columns[name][0]:.4f} +- {columns[name][1]:.4f}" for name in shown]
    return [*rows, ["mean", f"{score:.3f} +- {half_width:.3f}", *means]]


def print_losses(*files: str) -> None:
    """Print the losses of all days in the files as a table.

    :param files: reports (`run --report`) and journal entries
    """
    days = [
        day
        for file in files
        for day in read_days(json.loads(Path(file).read_text(encoding="utf-8")))
    ]
    for row in loss_table(days):
        print("| " + " | ".join(row) + " |")


if __name__ == "__main__":
    sys.exit(defopt.run(print_losses))
