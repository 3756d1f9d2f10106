"""Compares two checkouts on the same days and seeds of the users' bench, run by run.

    python -m tools.compare BENCH BEFORE AFTER --days SITE:DAY ... --seeds 1 2 3

Runs of both sides alternate, so that both meet the same load of the machine. Printed are each pair,
and for each day and all days the mean difference of worth, of its parts and of each price, with a
95% confidence interval (Student's t). Worth is the report's `G`, which is not clipped.
"""

from __future__ import annotations

import json
import math
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import mean, stdev
from typing import Any

import defopt  # type: ignore[import-untyped]

# Student's t for a two-sided 95% interval, by degrees of freedom from 1 on; about 2 beyond.
T_95 = (
    12.71,
    4.30,
    3.18,
    2.78,
    2.57,
    2.45,
    2.36,
    2.31,
    2.26,
    2.23,
    2.20,
    2.18,
    2.16,
    2.14,
    2.13,
)
T_95_BEYOND = 2.0
# Mean differences of parts and prices below this are not printed.
LEAST_SHOWN = 0.0005
# How many characters of a failed run's output are printed.
OUTPUT_TAIL_CHARACTERS = 500


@dataclass(frozen=True, slots=True)
class Play:
    """One day of one site with one seed."""

    site: str
    day: str
    seed: int

    @property
    def name(self) -> str:
        """The site's file and the day."""
        return f"{Path(self.site).stem}:{Path(self.day).stem}"


@dataclass(frozen=True, slots=True)
class Measured:
    """The result of a run.

    Attributes:
        figures: the figures of its report, by name.
        faults: what went wrong.
    """

    figures: dict[str, float]
    faults: tuple[str, ...]


def measure(bench: str, tree: str, play: Play, why: str) -> Measured:
    """Run one day in a checkout."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [bench, "run", play.site, play.day, "--seed", str(play.seed), "--jobs", "1"]
        command += ["--report", str(report), "--why", why]
        ran = subprocess.run(command, cwd=tree, capture_output=True, text=True, check=False)
        if not report.exists():
            return Measured(
                {}, (ran.stdout[-OUTPUT_TAIL_CHARACTERS:] + ran.stderr[-OUTPUT_TAIL_CHARACTERS:],)
            )
        return read_report(json.loads(report.read_text()))


def read_report(report: dict[str, Any]) -> Measured:
    """Extract the figures of a report: worth, its parts, and its prices as worth lost."""
    figures = {"worth": float(report["G"])}
    figures |= {f"part: {name}": float(value) for name, _, value in report["parts"]}
    figures |= {f"price: {name}": float(value) for name, _, value in report["prices"]}
    figures["late"] = report["all"]["late"] / max(1, report["all"]["n"])
    figures["refused"] = report["all"]["refused"] / max(1, report["all"]["n"])
    faults = [f"broken: {rule}" for rule in report["breaks"]]
    faults += [f"ended by itself: {each}" for each in report["exits"]]
    faults += [f"short: {each}" for each in report["short"]]
    if report["fault"]:
        faults.append(f"fault: {report['fault']}")
    return Measured(figures, tuple(faults))


def interval(differences: list[float]) -> tuple[float, float]:
    """The mean, and half of the width of its 95% interval."""
    if not differences:
        return 0.0, math.inf
    if len(differences) == 1:
        return differences[0], math.inf
    freedom = len(differences) - 1
    factor = T_95[freedom - 1] if freedom <= len(T_95) else T_95_BEYOND
    return mean(differences), factor * stdev(differences) / math.sqrt(len(differences))


def show(title: str, pairs: list[tuple[Measured, Measured]]) -> None:
    """Print the differences of paired runs, figure by figure."""
    names = list(pairs[0][0].figures)
    for name in names:
        values = [(a.figures.get(name, 0.0), b.figures.get(name, 0.0)) for a, b in pairs]
        middle, half = interval([after - before for before, after in values])
        if name == "worth" or abs(middle) >= LEAST_SHOWN:
            before = mean(a for a, _ in values)
            after = mean(b for _, b in values)
            print(f"{title:40} {name:44} {before:8.4f} {after:8.4f}  {middle:+.4f} +- {half:.4f}")


# A run and its results in both checkouts.
Pair = tuple[Play, Measured, Measured]


def play_pairs(
    bench: str, before: str, after: str, plays: list[Play], jobs: int, why: str
) -> list[Pair]:
    """Run each day in both checkouts, one after the other."""
    with ThreadPoolExecutor(jobs) as pool:
        runs = [
            (
                play,
                pool.submit(measure, bench, before, play, f"Trial: {why}"),
                pool.submit(measure, bench, after, play, f"Trial: {why}"),
            )
            for play in plays
        ]
        return [(play, first.result(), second.result()) for play, first, second in runs]


def _play(day: str, seed: int) -> Play:
    site, _, name = day.rpartition(":")
    return Play(site, name, seed)


def compare(
    bench: str,
    before: str,
    after: str,
    *,
    days: list[str],
    seeds: list[int],
    jobs: int = 6,
    why: str = "Comparison of two checkouts",
) -> None:
    """Run each day with each seed in both checkouts.

    :param bench: the bench's program
    :param before: a checkout
    :param after: another one
    :param days: each SITE:DAY, where DAY is a name or a file
    :param seeds: seeds of the runs
    :param jobs: runs at a time
    :param why: for the bench's journal
    """
    done = play_pairs(
        bench, before, after, [_play(day, seed) for seed in seeds for day in days], jobs, why
    )
    for play, *both in done:
        worths = " ".join(f"{one.figures.get('worth', math.nan):.4f}" for one in both)
        print(
            f"{play.name:40} seed {play.seed:<8} {worths}",
            *(one.faults for one in both if one.faults),
        )
    complete = [
        (play, first, second) for play, first, second in done if first.figures and second.figures
    ]
    for name in dict.fromkeys(play.name for play, _, _ in complete):
        show(name, [(first, second) for play, first, second in complete if play.name == name])
    if complete:
        show("all", [(first, second) for _, first, second in complete])


if __name__ == "__main__":
    sys.exit(defopt.run(compare))
