"""`roselink simulate`: runs days on a simulated control plane, and prints the failing seeds."""

from __future__ import annotations

import multiprocessing
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.simulation.scenarios import (
    ScenarioResult,
    run_fault_episodes,
    run_overlapping_faults,
    run_scenario_of_seed,
)

if TYPE_CHECKING:
    from collections.abc import Callable

# A core with more machines tolerates the loss of two.
MAX_MACHINES_TOLERATING_ONE = 4


@dataclass(frozen=True, slots=True)
class Job:
    """One day to run.

    Attributes:
        seed: what the day follows from.
        machines: how many; None if the number follows from the seed as well.
    """

    seed: int
    machines: int | None


@dataclass(frozen=True, slots=True)
class JobResult:
    """The result of a day.

    Attributes:
        seed: the seed of the day.
        result: what clients did; None if the day failed.
        failure: why the day failed; None if it passed.
    """

    seed: int
    result: ScenarioResult | None
    failure: str | None


def run_job(job: Job) -> JobResult:
    """Run one day."""
    try:
        if job.machines is None:
            result = run_scenario_of_seed(job.seed)
        elif job.seed % 2:
            tolerated = 1 if job.machines <= MAX_MACHINES_TOLERATING_ONE else 2
            result = run_fault_episodes(job.seed, job.machines, tolerated, lossy=job.seed % 4 == 1)
        else:
            result = run_overlapping_faults(job.seed, job.machines, 1)
    except AssertionError as error:
        return JobResult(job.seed, None, str(error))
    return JobResult(job.seed, result, None)


def run_days(
    seed: int, days: int, machines: int | None, jobs: int, print_line: Callable[[str], None]
) -> int:
    """Run days with consecutive seeds, and print those that failed and a summary.

    Args:
        seed: the seed of the first day.
        days: how many days.
        machines: how many core machines; None if the number follows from the seed.
        jobs: how many days at a time.
        print_line: prints one line.

    Returns:
        How many days failed.
    """
    began = time.monotonic()
    job_list = [Job(number, machines) for number in range(seed, seed + days)]
    failed = 0
    confirmed = 0
    with multiprocessing.Pool(jobs) as pool:
        for done in pool.imap_unordered(run_job, job_list):
            if done.failure is not None:
                failed += 1
                print_line(f"seed {done.seed}: {done.failure}")
            elif done.result is not None:
                confirmed += done.result.confirmed
    print_line(
        f"{days} days, {failed} failed, {confirmed} confirmed calls, "
        f"{time.monotonic() - began:.1f} s"
    )
    return failed
