"""`roselink simulate`: play days on a simulated control plane, and print what a failing seed came
to.
"""

from __future__ import annotations

import multiprocessing
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.simulation.days import Played, day_of_seed, storm_day, trouble_day

if TYPE_CHECKING:
    from collections.abc import Callable

LARGEST_TOLERATING_ONE = 4  # with more machines two may be lost at once


@dataclass(frozen=True, slots=True)
class Order:
    """One day to play: of a kind, size and links that follow from the seed, or of so many
    machines.
    """

    seed: int
    machines: int | None


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of it; `why` is None for a day on which all held."""

    seed: int
    played: Played | None
    why: str | None


def play(order: Order) -> Outcome:
    """Play one day."""
    try:
        if order.machines is None:
            played = day_of_seed(order.seed)
        elif order.seed % 2:
            tolerated = 1 if order.machines <= LARGEST_TOLERATING_ONE else 2
            played = trouble_day(order.seed, order.machines, tolerated, lossy=order.seed % 4 == 1)
        else:
            played = storm_day(order.seed, order.machines, 1)
    except AssertionError as failed:
        return Outcome(order.seed, None, str(failed))
    return Outcome(order.seed, played, None)


def play_days(
    seed: int, days: int, machines: int | None, jobs: int, say: Callable[[str], None]
) -> int:
    """Play days with consecutive seeds, `jobs` at a time; how many failed. What failed is said."""
    began = time.monotonic()
    orders = [Order(number, machines) for number in range(seed, seed + days)]
    failed = confirmed = 0
    with multiprocessing.Pool(jobs) as pool:
        for outcome in pool.imap_unordered(play, orders):
            if outcome.why is not None:
                failed += 1
                say(f"seed {outcome.seed}: {outcome.why}")
            elif outcome.played is not None:
                confirmed += outcome.played.confirmed
    say(
        f"{days} days, {failed} failed, {confirmed} confirmed calls, "
        f"{time.monotonic() - began:.1f} s"
    )
    return failed
