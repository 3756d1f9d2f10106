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

from tools.exceptions import TooFewPointsError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

# So many undisturbed rounds are enough; and the most rounds in all.
ROUNDS = 3
MOST_ROUNDS = 30
# A round is undisturbed if the fixed loop took at most so many times its least time around it.
UNDISTURBED_FACTOR = 1.15
FIXED_LOOP_STEPS = 20_000
MICROSECONDS = 1e6
Cell = str | int | float

# All times of the fixed loop, in microseconds.
_fixed_loop_us: list[float] = []


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line, y = fixed + slope * x.

    Attributes:
        fixed: y at x = 0.
        slope: of the line.
        explained: the fraction of the variance of y that the line explains, 0 to 1.
    """

    fixed: float
    slope: float
    explained: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to some points.

    Raises:
        TooFewPointsError: all points have the same x.

    >>> fit([(1, 3), (2, 5), (3, 7)])
    Line(fixed=1.0, slope=2.0, explained=1.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / max(1, count)
    mean_y = sum(y for _, y in points) / max(1, count)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        raise TooFewPointsError(list(points))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    fixed = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    unexplained = sum((y - fixed - slope * x) ** 2 for x, y in points)
    return Line(fixed, slope, 1.0 if not total else 1.0 - unexplained / total)


def processor_us(work: Callable[[], object], times: int) -> float:
    """Measure the processor time of one call, in microseconds.

    It is the least of some rounds, each of `times` calls.

    Other programs on the machine slow this one down, in processor time too. So a fixed loop is
    timed on both sides of each round, and a round counts as undisturbed when both took little
    longer than the loop's least time. Rounds are added, up to `MOST_ROUNDS`, until `ROUNDS` of
    them were undisturbed.
    """
    best = float("inf")
    undisturbed = 0
    gc.collect()
    for _ in range(MOST_ROUNDS):
        before = _time_fixed_loop_us()
        began = time.process_time()
        for _ in range(times):
            work()
        spent = time.process_time() - began
        best = min(best, spent)
        undisturbed += (
            max(before, _time_fixed_loop_us()) <= UNDISTURBED_FACTOR * _least_fixed_loop_us()
        )
        if undisturbed >= ROUNDS:
            break
    return best / times * MICROSECONDS


def _time_fixed_loop_us() -> float:
    """Processor time of the fixed loop."""
    began = time.process_time()
    total = 0
    for number in range(FIXED_LOOP_STEPS):
        total += number
    spent = (time.process_time() - began) * MICROSECONDS
    _fixed_loop_us.append(spent)
    return spent


def _least_fixed_loop_us() -> float:
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


def machine() -> str:
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
    return f"{model}, Python {sys.version.split()[0]}, fixed loop {_least_fixed_loop_us():.0f} us"


def show(title: str, columns: Sequence[str], rows: Iterable[Sequence[Cell]]) -> None:
    """Print a table."""
    texts = [list(columns), *[[_text(cell) for cell in row] for row in rows]]
    widths = [max(len(row[column]) for row in texts) for column in range(len(columns))]
    print(f"\n{title}")
    for row in texts:
        print("  " + "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))


def show_line(what: str, unit: str, by: str, points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to some points, print it and return it."""
    line = fit(points)
    print(
        f"  {what}: {line.fixed:.4g} + {line.slope:.4g} {unit} per {by} "
        f"(explains {line.explained:.3f})"
    )
    return line


def _text(cell: Cell) -> str:
    if isinstance(cell, float):
        return f"{cell:,.2f}"
    return f"{cell:,}" if isinstance(cell, int) else cell
