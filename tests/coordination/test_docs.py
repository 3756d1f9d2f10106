"""The example in docs/coordination.md prints the documented output; packages import only allowed
packages, and no module reads the wall clock.
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
# `exceptions` has the base class of all errors, and imports nothing from roselink.
ALLOWED_IMPORTS = {
    "coordination": {"coordination", "protocol", "exceptions"},
    "model": {"model", "exceptions"},
    "protocol": {"protocol", "model", "exceptions"},
}
WALL_CLOCKS = {"time", "time_ns", "now", "utcnow", "today"}
LOGGING_MODULES = {"startup_log.py", "logging_setup.py"}


def modules(package: str) -> list[Path]:
    return sorted((ROOT / "roselink" / package).glob("*.py"))


def imported_packages(path: Path) -> set[str]:
    """The roselink packages that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("roselink."):
            found.add(node.module.split(".")[1])
    return found


def test_documented_example_prints_the_documented_output() -> None:
    text = PAGE.read_text()
    example = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert len(example) == 1
    expected = re.search(r"It prints `(.*)`\.", text)
    assert expected is not None
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(example[0], str(PAGE), "exec"), {"__name__": "example"})
    assert printed.getvalue().strip() == expected.group(1)


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_packages_import_only_allowed_packages(package: str) -> None:
    for path in modules(package):
        assert imported_packages(path) <= ALLOWED_IMPORTS[package], path.name


def test_base_exception_imports_nothing_from_roselink() -> None:
    assert imported_packages(ROOT / "roselink" / "exceptions.py") == set()


def test_only_the_cli_imports_the_simulation() -> None:
    for path in (ROOT / "roselink").rglob("*.py"):
        if path.parent.name != "simulation" and path.name != "cli.py":
            assert "simulation" not in imported_packages(path), path


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
def test_no_module_reads_the_wall_clock(package: str) -> None:
    """A jump of a machine's clock may only affect log timestamps."""
    for path in modules(package):
        if path.name in LOGGING_MODULES:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                owner = ast.unparse(node.func.value)
                reads_wall_clock = node.func.attr in WALL_CLOCKS and owner in {
                    "time",
                    "datetime",
                    "date",
                }
                assert not reads_wall_clock, f"{path.name}:{node.lineno}"
