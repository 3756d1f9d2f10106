"""Compares two checkouts on the same days and seeds of the users' bench, run by run.

    python -m tools.compare BENCH BEFORE AFTER --days SITE:DAY ... --seeds 1 2 3

Runs of both checkouts alternate, so that both see the same load on the machine. The program prints
each pair, and for each day and for all days the mean difference of the score, of its parts and of
each price, with a 95% confidence interval (Student's t). The score, printed as `worth`, is the
report's `G`, which is not clipped.
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

# Student's t for a two-sided 95% interval, by degrees of freedom from 1 to 15.
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
# The factor for more degrees of freedom, where t is between 2.12 and 1.96.
T_95_LARGE = 2.0
# Mean differences of figures other than the score are not printed if they are smaller than this.
MIN_SHOWN_DIFFERENCE = 0.0005
# Number of characters printed from the end of a failed run's output and error streams, each.
OUTPUT_TAIL_CHARACTERS = 500


@dataclass(frozen=True, slots=True)
class BenchRun:
    """One day of one site with one seed."""

    site: str
    day: str
    seed: int

    @property
    def name(self) -> str:
        """File names of the site and the day, without directories and suffixes."""
        return f"{Path(self.site).stem}:{Path(self.day).stem}"


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of a run.

    Attributes:
        figures: the figures of its report, by name; empty if there is no report.
        faults: broken rules and other faults that the report lists, or the end of the output if
            there is no report.
    """

    figures: dict[str, float]
    faults: tuple[str, ...]


def run_bench(bench: str, checkout: str, run: BenchRun, why: str) -> RunResult:
    """Run one day of the bench in a checkout and read its report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [bench, "run", run.site, run.day, "--seed", str(run.seed), "--jobs", "1"]
        command += ["--report", str(report), "--why", why]
        completed = subprocess.run(
            command, cwd=checkout, capture_output=True, text=True, check=False
        )
        if not report.exists():
            return RunResult(
                {},
                (
                    completed.stdout[-OUTPUT_TAIL_CHARACTERS:]
                    + completed.stderr[-OUTPUT_TAIL_CHARACTERS:],
                ),
            )
        return read_report(json.loads(report.read_text()))


def read_report(report: dict[str, Any]) -> RunResult:
    """Extract the score, its parts, the score lost to each price, and the rates of a report."""
    figures = {"worth": float(report["G"])}
    figures |= {f"part: {name}": float(value) for name, _, value in report["parts"]}
    figures |= {f"price: {name}": float(value) for name, _, value in report["prices"]}
    figures["late"] = report["all"]["late"] / max(1, report["all"]["n"])
    figures["refused"] = report["all"]["refused"] / max(1, report["all"]["n"])
    faults = [f"broken: {rule}" for rule in report["breaks"]]
    faults += [f"ended by itself: {entry}" for entry in report["exits"]]
    faults += [f"short: {entry}" for entry in report["short"]]
    if report["fault"]:
        faults.append(f"fault: {report['fault']}")
    return RunResult(figures, tuple(faults))


def confidence_interval(differences: list[float]) -> tuple[float, float]:
    """Return the mean and half the width of its 95% confidence interval."""
    if not differences:
        return 0.0, math.inf
    if len(differences) == 1:
        return differences[0], math.inf
    degrees_of_freedom = len(differences) - 1
    factor = T_95[degrees_of_freedom - 1] if degrees_of_freedom <= len(T_95) else T_95_LARGE
    return mean(differences), factor * stdev(differences) / math.sqrt(len(differences))


def print_differences(title: str, pairs: list[tuple[RunResult, RunResult]]) -> None:
    """Print the mean difference of each figure over paired runs."""
    names = list(pairs[0][0].figures)
    for name in names:
        values = [
            (first.figures.get(name, 0.0), second.figures.get(name, 0.0)) for first, second in pairs
        ]
        center, half_width = confidence_interval([after - before for before, after in values])
        if name == "worth" or abs(center) >= MIN_SHOWN_DIFFERENCE:
            before = mean(first for first, _ in values)
            after = mean(second for _, second in values)
            print(
                f"{title:40} {name:44} {before:8.4f} {after:8.4f}  "
                f"{center:+.4f} +- {half_width:.4f}"
            )


# A run with its results in the first and in the second checkout.
PairedResult = tuple[BenchRun, RunResult, RunResult]


def run_pairs(
    bench: str, before: str, after: str, runs: list[BenchRun], jobs: int, why: str
) -> list[PairedResult]:
    """Run each day in both checkouts; the two runs of a day are submitted one after the other."""
    with ThreadPoolExecutor(jobs) as pool:
        submitted = [
            (
                run,
                pool.submit(run_bench, bench, before, run, f"Trial: {why}"),
                pool.submit(run_bench, bench, after, run, f"Trial: {why}"),
            )
            for run in runs
        ]
        return [(run, first.result(), second.result()) for run, first, second in submitted]


def _parse_run(day: str, seed: int) -> BenchRun:
    site, _, name = day.rpartition(":")
    return BenchRun(site, name, seed)


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

    :param bench: path of the bench's program
    :param before: directory of the checkout to compare with
    :param after: directory of the changed checkout
    :param days: SITE:DAY of each day, where DAY is a name or a file
    :param seeds: seeds of the runs
    :param jobs: number of runs at a time
    :param why: reason that the bench's journal records
    """
    paired_results = run_pairs(
        bench, before, after, [_parse_run(day, seed) for seed in seeds for day in days], jobs, why
    )
    for run, *results in paired_results:
        scores = " ".join(f"{result.figures.get('worth', math.nan):.4f}" for result in results)
        print(
            f"{run.name:40} seed {run.seed:<8} {scores}",
            *(result.faults for result in results if result.faults),
        )
    complete_pairs = [
        (run, first, second)
        for run, first, second in paired_results
        if first.figures and second.figures
    ]
    for name in dict.fromkeys(run.name for run, _, _ in complete_pairs):
        print_differences(
            name, [(first, second) for run, first, second in complete_pairs if run.name == name]
        )
    if complete_pairs:
        print_differences("all", [(first, second) for _, first, second in complete_pairs])


if __name__ == "__main__":
    sys.exit(defopt.run(compare))
