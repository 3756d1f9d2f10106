"""Shared by the measurements: processor time, bytes on the heap, fitted lines, printed tables."""

from __future__ import annotations

import gc
import platform
import sys
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from tools.exceptions import DegenerateFitError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

# So many undisturbed rounds are enough; and the most rounds in all.
UNDISTURBED_ROUNDS = 3
MAX_ROUNDS = 30
# A round is undisturbed if the fixed loop took at most so many times its least time around it.
MAX_UNDISTURBED_RATIO = 1.15
FIXED_LOOP_STEPS = 20_000
MICROSECONDS = 1e6
Cell = str | int | float

# All times of the fixed loop, in microseconds.
_fixed_loop_us: list[float] = []


@dataclass(frozen=True, slots=True)
class FittedLine:
    """A least-squares line, y = intercept + slope * x.

    Attributes:
        intercept: y at x = 0.
        slope: of the line.
        r_squared: the fraction of the variance of y that the line explains, 0 to 1.
    """

    intercept: float
    slope: float
    r_squared: float


def fit_line(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Fit a line to some points.

    Raises:
        DegenerateFitError: all points have the same x.

    >>> fit_line([(1, 3), (2, 5), (3, 7)])
    FittedLine(intercept=1.0, slope=2.0, r_squared=1.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / max(1, count)
    mean_y = sum(y for _, y in points) / max(1, count)
    x_variation = sum((x - mean_x) ** 2 for x, _ in points)
    if not x_variation:
        raise DegenerateFitError(list(points))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_variation
    intercept = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return FittedLine(intercept, slope, 1.0 if not total else 1.0 - residual / total)


def processor_us(work: Callable[[], object], repetitions: int) -> float:
    """Measure the processor time of one call, in microseconds.

    It is the least of some rounds, each of `repetitions` calls.

    Other programs on the machine slow this one down, in processor time too. So a fixed loop is
    timed on both sides of each round, and a round counts as undisturbed when both took little
    longer than the loop's least time. Rounds are added, up to `MAX_ROUNDS`, until
    `UNDISTURBED_ROUNDS` of them were undisturbed.
    """
    min_cpu_time_s = float("inf")
    undisturbed = 0
    gc.collect()
    for _ in range(MAX_ROUNDS):
        before = _time_fixed_loop_us()
        started_at = time.process_time()
        for _ in range(repetitions):
            work()
        cpu_time_s = time.process_time() - started_at
        min_cpu_time_s = min(min_cpu_time_s, cpu_time_s)
        undisturbed += (
            max(before, _time_fixed_loop_us()) <= MAX_UNDISTURBED_RATIO * _min_fixed_loop_us()
        )
        if undisturbed >= UNDISTURBED_ROUNDS:
            break
    return min_cpu_time_s / repetitions * MICROSECONDS


def _time_fixed_loop_us() -> float:
    """Processor time of the fixed loop."""
    started_at = time.process_time()
    total = 0
    for number in range(FIXED_LOOP_STEPS):
        total += number
    cpu_us = (time.process_time() - started_at) * MICROSECONDS
    _fixed_loop_us.append(cpu_us)
    return cpu_us


def _min_fixed_loop_us() -> float:
    return min(_fixed_loop_us)


def heap_bytes(build: Callable[[], object]) -> int:
    """Measure how many bytes on Python's heap are kept by what `build` returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return size


def describe_machine() -> str:
    """Describe the processor, its present speed at a fixed loop, and the interpreter."""
    model = platform.machine()
    try:
        for line in Path("/proc/cpuinfo").read_text().splitlines():
            if line.startswith("model name"):
                model = line.partition(":")[2].strip()
                break
    except OSError:
        pass
    for _ in range(200):
        _time_fixed_loop_us()
    return f"{model}, Python {sys.version.split()[0]}, fixed loop {_min_fixed_loop_us():.0f} us"


def print_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[Cell]]) -> None:
    """Print a table."""
    texts = [list(columns), *[[_text(cell) for cell in row] for row in rows]]
    widths = [max(len(row[column]) for row in texts) for column in range(len(columns))]
    print(f"\n{title}")
    for row in texts:
        print("  " + "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))


def print_fit(label: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> FittedLine:
    """Fit a line to some points, print it and return it."""
    line = fit_line(points)
    print(
        f"  {label}: {line.intercept:.4g} + {line.slope:.4g} {unit} per {per} "
        f"(explains {line.r_squared:.3f})"
    )
    return line


def _text(cell: Cell) -> str:
    if isinstance(cell, float):
        return f"{cell:,.2f}"
    return f"{cell:,}" if isinstance(cell, int) else cell
