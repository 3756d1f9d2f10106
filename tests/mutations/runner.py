"""Applies one mutation to a copy of the tree and runs its tests there."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from tests.mutations.mutation import ROOT

if TYPE_CHECKING:
    from tests.mutations.mutation import Mutation

COPIED_PATHS = ("roselink", "tests", "pyproject.toml", "docs", "README.md")
# Time limit of the tests of one mutation, in seconds. A run that exceeds it counts as caught.
TIME_LIMIT_S = 400

# Exit statuses of pytest.
EXIT_PASSED = 0
EXIT_FAILED = 1


class PytestRunError(ValueError):
    """pytest neither passed nor failed, so it did not run the tests of a mutation.

    Attributes:
        mutation: mutation whose tests did not run.
        status: exit status of pytest.
    """

    def __init__(self, mutation: Mutation, status: int) -> None:
        """Store the mutation and the exit status of pytest."""
        super().__init__(f"{mutation.name}: pytest exited with status {status}")
        self.mutation = mutation
        self.status = status


@dataclass(frozen=True, slots=True)
class MutationResult:
    """Whether a test caught a mutation, and the duration of the run in seconds."""

    mutation: Mutation
    caught: bool
    seconds: float


def copy_tree(destination: Path) -> None:
    """Copy the files of the project that the tests need."""
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(
                source, destination / name, ignore=shutil.ignore_patterns("__pycache__")
            )
        else:
            shutil.copy(source, destination / name)


def run_tests(mutation: Mutation) -> MutationResult:
    """Remove one guard in a copy of the tree and run its tests; a time-out counts as caught.

    Raises:
        GuardNotFoundError: the guard's text does not occur exactly once in its file.
        PytestRunError: pytest did not run the tests.
    """
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder)
        copy_tree(tree)
        mutation.apply(tree)
        command = [
            sys.executable,
            "-m",
            "pytest",
            "-x",
            "-q",
            "-p",
            "no:cacheprovider",
            *mutation.tests,
        ]
        environment = {**os.environ, "PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"}
        environment.pop("PYTEST_ADDOPTS", None)
        try:
            completed = subprocess.run(
                command,
                cwd=tree,
                env=environment,
                capture_output=True,
                timeout=TIME_LIMIT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            caught = True
        else:
            if completed.returncode not in (EXIT_PASSED, EXIT_FAILED):
                raise PytestRunError(mutation, completed.returncode)
            caught = completed.returncode == EXIT_FAILED
    return MutationResult(mutation, caught, time.monotonic() - started_at)
