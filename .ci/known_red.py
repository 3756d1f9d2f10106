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
LIST = ROOT / "KNOWN-RED.txt"
FIELDS = 3


def read(text: str) -> list[str]:
    """The tests that the file names; raises ValueError for a line that isn't whole."""
    tests = []
    for line in filter(None, map(str.strip, text.splitlines())):
        fields = [field.strip() for field in line.rsplit(", ", FIELDS - 1)]
        if len(fields) < FIELDS or not all(fields):
            message = f"needs test, cause, issue: {line!r}"
            raise ValueError(message)
        tests.append(line.split(", ", 1)[0].strip())
    return tests


def faults(tests: list[str], collected: list[str]) -> list[str]:
    """What keeps these from standing for just these tests."""
    found = []
    for test in tests:
        matches = [one for one in collected if one.startswith(test)]
        others = [one for one in matches if one != test and not one.startswith(f"{test}[")]
        if not matches:
            found.append(f"there is no test {test}")
        found += [f"{test} would take {other} along" for other in others]
    return found


def collect() -> list[str]:
    """The ids of all tests."""
    command = [
        sys.executable,
        "-m",
        "pytest",
        "--collect-only",
    ]  # the project's own options make it one id a line
    variables = {name: value for name, value in os.environ.items() if name != "PYTEST_ADDOPTS"}
    run = subprocess.run(
        command, cwd=ROOT, env=variables, capture_output=True, text=True, check=True
    )
    return [line for line in run.stdout.splitlines() if "::" in line]


def main() -> int:
    """Print the options; the exit status."""
    if not LIST.exists():
        return 0
    text = LIST.read_text()
    try:
        tests = read(text)
    except ValueError as error:
        sys.stderr.write(f"{LIST.name}: {error}\n")
        return 1
    if found := faults(tests, collect()) if tests else []:
        sys.stderr.writelines(f"{LIST.name}: {fault}\n" for fault in found)
        return 1
    sys.stderr.write(f"{LIST.name}: these fail for known faults and are passed over:\n{text}")
    sys.stdout.write(" ".join(shlex.quote(f"--deselect={test}") for test in tests))
    return 0


if __name__ == "__main__":
    sys.exit(main())
