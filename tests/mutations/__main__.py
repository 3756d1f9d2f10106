"""`python -m tests.mutations`: removes guards one at a time and prints those that no test caught.

`--drawn N --seed S` selects N of them at random. `--conditions PACKAGE` selects every condition of
a package instead, to find guards that the tables lack.
"""

from __future__ import annotations

import random
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import defopt  # type: ignore[import-untyped]

from tests.mutations import MUTATIONS
from tests.mutations.conditions import conditions_of
from tests.mutations.runner import run_tests


def run(
    *,
    drawn: int | None = None,
    seed: int = 0,
    jobs: int = 4,
    only: str = "",
    conditions: str | None = None,
) -> int:
    """Remove guards one at a time and print those whose removal no test caught.

    :param drawn: number of guards to select at random; all by default
    :param seed: seed of the random selection
    :param jobs: number of guards tested at a time
    :param only: select guards whose name or file contains this text
    :param conditions: package whose conditions replace the tables
    """
    available = MUTATIONS if conditions is None else conditions_of(conditions)
    selected = [
        mutation for mutation in available if only in mutation.name or only in mutation.file
    ]
    if drawn is not None:
        selected = random.Random(seed).sample(selected, min(drawn, len(selected)))
    started_at = time.monotonic()
    survivors = []
    with ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(run_tests, selected):
            if not result.caught:
                survivors.append(result.mutation)
                print(
                    f"not caught ({result.seconds:.0f} s): "
                    f"{result.mutation.file}: {result.mutation.name}",
                    flush=True,
                )
    print(
        f"{len(selected)} removed, {len(survivors)} not caught, "
        f"{time.monotonic() - started_at:.0f} s"
    )
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
