"""`roselink simulate`: runs scenarios with consecutive seeds, and prints those that failed.

The command calls one run of a scenario a day.
"""

from __future__ import annotations

import multiprocessing
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.simulation.scenarios import (
    run_fault_episodes,
    run_overlapping_faults,
    run_scenario_of_seed,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.simulation.scenario import ScenarioResult

# The largest core that tolerates the loss of one machine; a larger one tolerates two.
MAX_MACHINES_TOLERATING_ONE = 4


@dataclass(frozen=True, slots=True)
class Job:
    """One scenario to run.

    Attributes:
        seed: the seed of the scenario.
        machines: the number of core machines; None to derive it from the seed.
    """

    seed: int
    machines: int | None


@dataclass(frozen=True, slots=True)
class JobResult:
    """The result of a scenario.

    Attributes:
        seed: the seed of the scenario.
        result: what clients did; None if the scenario failed.
        failure: why the scenario failed; None if it passed.
    """

    seed: int
    result: ScenarioResult | None
    failure: str | None


def run_job(job: Job) -> JobResult:
    """Run one scenario."""
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
    """Run scenarios with consecutive seeds, and print the failures and a summary.

    Args:
        seed: the seed of the first scenario.
        days: how many scenarios.
        machines: how many core machines; None to derive the number from each seed.
        jobs: how many scenarios run in parallel.
        print_line: prints one line.

    Returns:
        How many scenarios failed.
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
