"""Common parts of the benchmarks: processor time, heap size, fitted lines, printed tables."""

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

# A measurement ends after this number of undisturbed rounds, or at the latest after `MAX_ROUNDS`.
UNDISTURBED_ROUNDS = 3
MAX_ROUNDS = 30
# A round is undisturbed if the fixed loop, timed before and after it, took at most this multiple of
# the loop's shortest time. A larger ratio accepts slower rounds; a smaller one needs more rounds.
MAX_UNDISTURBED_RATIO = 1.15
FIXED_LOOP_STEPS = 20_000
MICROSECONDS_PER_S = 1e6
Cell = str | int | float

# All measured times of the fixed loop, in microseconds.
_fixed_loop_us: list[float] = []


@dataclass(frozen=True, slots=True)
class FittedLine:
    """A least-squares line, y = intercept + slope * x.

    Attributes:
        intercept: y at x = 0.
        slope: increase of y per unit of x.
        r_squared: the fraction of the variance of y that the line explains, 0 to 1.
    """

    intercept: float
    slope: float
    r_squared: float


def fit_line(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Fit a least-squares line to points.

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

    The result is the shortest of several rounds of `repetitions` calls each.

    Other programs on the machine increase even the processor time of this one. Therefore a fixed
    loop is timed before and after each round, and a round counts as undisturbed if both times are
    close to the loop's shortest time. Rounds are added, up to `MAX_ROUNDS`, until
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
    return min_cpu_time_s / repetitions * MICROSECONDS_PER_S


def _time_fixed_loop_us() -> float:
    """Time the fixed loop, store its processor time and return it."""
    started_at = time.process_time()
    total = 0
    for number in range(FIXED_LOOP_STEPS):
        total += number
    cpu_us = (time.process_time() - started_at) * MICROSECONDS_PER_S
    _fixed_loop_us.append(cpu_us)
    return cpu_us


def _min_fixed_loop_us() -> float:
    return min(_fixed_loop_us)


def heap_bytes(build: Callable[[], object]) -> int:
    """Measure how many bytes the result of `build` occupies on Python's heap."""
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
    """Describe the processor, the interpreter and the current time of the fixed loop."""
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
    """Print a table with right-aligned columns."""
    texts = [list(columns), *[[_text(cell) for cell in row] for row in rows]]
    widths = [max(len(row[column]) for row in texts) for column in range(len(columns))]
    print(f"\n{title}")
    for row in texts:
        print("  " + "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))


def print_fit(label: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> FittedLine:
    """Fit a line to points, print it and return it."""
    line = fit_line(points)
    print(
        f"  {label}: {line.intercept:.4g} + {line.slope:.4g} {unit} per {per} "
        f"(R^2 {line.r_squared:.3f})"
    )
    return line


def _text(cell: Cell) -> str:
    if isinstance(cell, float):
        return f"{cell:,.2f}"
    return f"{cell:,}" if isinstance(cell, int) else cell
