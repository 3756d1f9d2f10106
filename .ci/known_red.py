"""Prints pytest options that deselect the tests listed in KNOWN-RED.txt.

A line is `test, cause, issue`, where `test` is pytest's id of one test. An id without the brackets
of a parametrized case covers all cases of its test. The options go to standard output; the lines of
the file and errors go to standard error. A line is an error (exit status 1) if it lacks a field,
matches no test, or would deselect other tests too, since pytest compares the beginnings of ids.

A line `command: COMMAND | SEED | SEEN | ISSUE` is a case outside the test run. It is printed, and
deselects nothing.
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
COMMAND_PREFIX = "command: "
COMMAND_FIELD_COUNT = 4


def parse_list(text: str) -> list[str]:
    """Return the tests that the file lists; raise ValueError for a line that lacks a field."""
    tests = []
    for line in filter(None, map(str.strip, text.splitlines())):
        if line.startswith(COMMAND_PREFIX.strip()):
            check_command_line(line)
            continue
        fields = [field.strip() for field in line.rsplit(", ", FIELD_COUNT - 1)]
        if len(fields) < FIELD_COUNT or not all(fields):
            message = f"a line needs test, cause and issue: {line!r}"
            raise ValueError(message)
        tests.append(line.split(", ", 1)[0].strip())
    return tests


def check_command_line(line: str) -> None:
    """Raise ValueError unless the line has a command, its seed, what was seen and an issue."""
    fields = [field.strip() for field in line.removeprefix(COMMAND_PREFIX.strip()).split(" | ")]
    if len(fields) != COMMAND_FIELD_COUNT or not all(fields):
        message = f"a line needs command, seed, what was seen and issue: {line!r}"
        raise ValueError(message)


def entry_errors(tests: list[str], collected: list[str]) -> list[str]:
    """Return an error for each entry without a test, and for each other test that it deselects."""
    errors = []
    for test in tests:
        matches = [test_id for test_id in collected if test_id.startswith(test)]
        others = [
            test_id for test_id in matches if test_id != test and not test_id.startswith(f"{test}[")
        ]
        if not matches:
            errors.append(f"no test matches {test}")
        errors += [f"{test} would also deselect {other}" for other in others]
    return errors


def collect_test_ids() -> list[str]:
    """Return the ids of all tests."""
    command = [
        sys.executable,
        "-m",
        "pytest",
        "--collect-only",
    ]  # the options in pyproject.toml make it print one id per line
    environment = {name: value for name, value in os.environ.items() if name != "PYTEST_ADDOPTS"}
    completed = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, check=True
    )
    return [line for line in completed.stdout.splitlines() if "::" in line]


def main() -> int:
    """Print the options and return the exit status."""
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
    sys.stderr.write(f"{LIST_PATH.name}: deselected tests, which fail for known faults:\n{text}")
    sys.stdout.write(" ".join(shlex.quote(f"--deselect={test}") for test in tests))
    return 0


if __name__ == "__main__":
    sys.exit(main())
