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
TIME_LIMIT_S = 400

# pytest's exit statuses
EXIT_PASSED = 0
EXIT_FAILED = 1


class PytestRunError(ValueError):
    """pytest neither passed nor failed: it did not run the tests of a mutation.

    Attributes:
        mutation: the mutation whose tests did not run.
        status: pytest's exit status.
    """

    def __init__(self, mutation: Mutation, status: int) -> None:
        """Note which mutation's tests did not run, and pytest's exit status."""
        super().__init__(f"{mutation.name}: pytest ended with {status}")
        self.mutation = mutation
        self.status = status


@dataclass(frozen=True, slots=True)
class MutationResult:
    """Whether a test caught a mutation, and after how many seconds."""

    mutation: Mutation
    caught: bool
    seconds: float


def copy_tree(destination: Path) -> None:
    """Copy the parts of the project that tests need."""
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(
                source, destination / name, ignore=shutil.ignore_patterns("__pycache__")
            )
        else:
            shutil.copy(source, destination / name)


def run_tests(mutation: Mutation) -> MutationResult:
    """Remove one guard on a copy, and run its tests; a time-out counts as caught.

    Raises:
        GuardNotFoundError: the guard's text does not stand exactly once in its file.
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
