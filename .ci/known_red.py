"""Tells pytest to pass over the tests in KNOWN-RED.txt, and prints their lines.

A line is `test, cause, issue`, where `test` is pytest's id of one test; without the brackets of a
table's case it stands for all its cases. The options go to standard output, all else to standard
error. A line that isn't whole, names no test, or would take other tests along (pytest goes by the
begin of ids) is an error: exit status 1.
"""

from __future__ import annotations

import os
import shlex
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIST_PATH = ROOT / "KNOWN-RED.txt"
FIELD_COUNT = 3


def parse_list(text: str) -> list[str]:
    """The tests that the file names; raises ValueError for a line that isn't whole."""
    tests = []
    for line in filter(None, map(str.strip, text.splitlines())):
        fields = [field.strip() for field in line.rsplit(", ", FIELD_COUNT - 1)]
        if len(fields) < FIELD_COUNT or not all(fields):
            message = f"needs test, cause, issue: {line!r}"
            raise ValueError(message)
        tests.append(line.split(", ", 1)[0].strip())
    return tests


def entry_errors(tests: list[str], collected: list[str]) -> list[str]:
    """What keeps these from standing for just these tests."""
    errors = []
    for test in tests:
        matches = [test_id for test_id in collected if test_id.startswith(test)]
        others = [
            test_id for test_id in matches if test_id != test and not test_id.startswith(f"{test}[")
        ]
        if not matches:
            errors.append(f"there is no test {test}")
        errors += [f"{test} would take {other} along" for other in others]
    return errors


def collect_test_ids() -> list[str]:
    """The ids of all tests."""
    command = [
        sys.executable,
        "-m",
        "pytest",
        "--collect-only",
    ]  # the project's own options make it one id a line
    environment = {name: value for name, value in os.environ.items() if name != "PYTEST_ADDOPTS"}
    completed = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, check=True
    )
    return [line for line in completed.stdout.splitlines() if "::" in line]


def main() -> int:
    """Print the options; the exit status."""
    if not LIST_PATH.exists():
        return 0
    text = LIST_PATH.read_text()
    try:
        tests = parse_list(text)
    except ValueError as error:
        sys.stderr.write(f"{LIST_PATH.name}: {error}\n")
        return 1
    if errors := entry_errors(tests, collect_test_ids()) if tests else []:
        sys.stderr.writelines(f"{LIST_PATH.name}: {message}\n" for message in errors)
        return 1
    sys.stderr.write(f"{LIST_PATH.name}: these fail for known faults and are passed over:\n{text}")
    sys.stdout.write(" ".join(shlex.quote(f"--deselect={test}") for test in tests))
    return 0


if __name__ == "__main__":
    sys.exit(main())
