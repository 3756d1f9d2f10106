"""The example of docs/coordination.md prints what the page says; packages import no more than they
may.
"""

from __future__ import annotations

import ast
import contextlib
import io
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "coordination.md"
# `exceptions` is the one module of the base class, and imports nothing of roselink itself.
ALLOWED = {
    "coordination": {"coordination", "protocol", "exceptions"},
    "model": {"model", "exceptions"},
    "protocol": {"protocol", "model", "exceptions"},
}
WALL_CLOCKS = {"time", "time_ns", "now", "utcnow", "today"}
OF_LOGS = {"startup_log.py", "logging_setup.py"}


def modules(package: str) -> list[Path]:
    return sorted((ROOT / "roselink" / package).glob("*.py"))


def imported(path: Path) -> set[str]:
    """The packages of roselink that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("roselink."):
            found.add(node.module.split(".")[1])
    return found


def test_the_example_prints_what_the_page_says() -> None:
    text = PAGE.read_text()
    example = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert len(example) == 1
    expected = re.search(r"It prints `(.*)`\.", text)
    assert expected is not None
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(example[0], str(PAGE), "exec"), {"__name__": "example"})
    assert printed.getvalue().strip() == expected.group(1)


@pytest.mark.parametrize("package", ALLOWED)
def test_packages_import_no_more_than_they_may(package: str) -> None:
    for path in modules(package):
        assert imported(path) <= ALLOWED[package], path.name


def test_the_base_exception_imports_nothing_of_roselink() -> None:
    assert imported(ROOT / "roselink" / "exceptions.py") == set()


def test_no_program_imports_the_simulation() -> None:
    for path in (ROOT / "roselink").rglob("*.py"):
        if path.parent.name != "simulation" and path.name != "cli.py":
            assert "simulation" not in imported(path), path


@pytest.mark.parametrize(
    "package",
    [
        "coordination",
        "controller",
        "distribution",
        "budgets",
        "gossip",
        "dataplane",
        "routing",
        "router",
    ],
)
def test_nothing_reads_the_time_of_day(package: str) -> None:
    """A step of a machine's clock can change nothing but the stamps of its log."""
    for path in modules(package):
        if path.name in OF_LOGS:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                owner = ast.unparse(node.func.value)
                wall = node.func.attr in WALL_CLOCKS and owner in {"time", "datetime", "date"}
                assert not wall, f"{path.name}:{node.lineno}"
