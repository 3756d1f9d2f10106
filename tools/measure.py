"""What the experiments share: processor time of a call, bytes on the heap, a fitted line, a printed
table.
"""

from __future__ import annotations

import gc
import platform
import sys
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

ROUNDS, MOST_ROUNDS = 3, 30
CALM = 1.15  # of the fixed loop's least time
MICROSECONDS = 1e6
Cell = str | int | float

_probes: list[float] = []


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line, y = fixed + slope * x, and how much of y's variance it explains (0 to
    1).
    """

    fixed: float
    slope: float
    explained: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """The line through some points; raises ValueError with fewer than two different x.

    >>> fit([(1, 3), (2, 5), (3, 7)])
    Line(fixed=1.0, slope=2.0, explained=1.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / max(1, count)
    mean_y = sum(y for _, y in points) / max(1, count)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        raise ValueError("a line needs two sizes")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    fixed = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    left = sum((y - fixed - slope * x) ** 2 for x, y in points)
    return Line(fixed, slope, 1.0 if not total else 1.0 - left / total)


def processor_us(work: Callable[[], object], times: int) -> float:
    """Processor time of one call in microseconds: the least of some rounds, each of `times` calls.

    Other programs on the machine slow this one down, in processor time too. So a fixed loop is
    timed on both sides of each round, and a round counts as calm when both took little longer than
    the loop's least. Rounds are added, up to `MOST_ROUNDS`, until `ROUNDS` of them were calm.
    """
    best, calm = float("inf"), 0
    gc.collect()
    for _ in range(MOST_ROUNDS):
        before = _probe_us()
        began = time.process_time()
        for _ in range(times):
            work()
        spent = time.process_time() - began
        best = min(best, spent)
        calm += max(before, _probe_us()) <= CALM * _least_probe_us()
        if calm >= ROUNDS:
            break
    return best / times * MICROSECONDS


def _probe_us() -> float:
    """Processor time of the fixed loop."""
    began = time.process_time()
    total = 0
    for number in range(20_000):
        total += number
    spent = (time.process_time() - began) * MICROSECONDS
    _probes.append(spent)
    return spent


def _least_probe_us() -> float:
    return min(_probes)


def heap_bytes(build: Callable[[], object]) -> int:
    """Bytes that what `build` returns keeps on Python's heap."""
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
    """The processor, its speed at a fixed loop just now, and the interpreter, for the page."""
    model = platform.machine()
    try:
        for line in Path("/proc/cpuinfo").read_text().splitlines():
            if line.startswith("model name"):
                model = line.partition(":")[2].strip()
                break
    except OSError:
        pass
    for _ in range(200):
        _probe_us()
    return f"{model}, Python {sys.version.split()[0]}, fixed loop {_least_probe_us():.0f} us"


def show(title: str, columns: Sequence[str], rows: Iterable[Sequence[Cell]]) -> None:
    """Print a table."""
    texts = [list(columns), *[[_text(cell) for cell in row] for row in rows]]
    widths = [max(len(row[place]) for row in texts) for place in range(len(columns))]
    print(f"\n{title}")
    for row in texts:
        print("  " + "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))


def show_line(what: str, unit: str, by: str, points: Sequence[tuple[float, float]]) -> Line:
    """Print and return the line through some points."""
    line = fit(points)
    print(
        f"  {what}: {line.fixed:.4g} + {line.slope:.4g} {unit} per {by} "
        f"(explains {line.explained:.3f})"
    )
    return line


def _text(cell: Cell) -> str:
    return (
        f"{cell:,.2f}"
        if isinstance(cell, float)
        else f"{cell:,}"
        if isinstance(cell, int)
        else cell
    )
