"""Every condition of a package, each with the edit that removes it.

The tables of this package list guards chosen by hand. This module generates the others: it drops
each operand of `and` and `or`, and replaces each other condition of `if` by False. Tests need not
catch all of these: most survivors are shortcuts that change no result. The others need a test and a
row in a table, or the condition is superfluous.
"""

from __future__ import annotations

import ast
from typing import TYPE_CHECKING

from tests.mutations.mutation import ROOT, Mutation

if TYPE_CHECKING:
    from collections.abc import Iterator

# Tests of each package. Fast ones come first, since a run ends with the first failure.
TESTS_BY_PACKAGE = {
    "coordination": (
        "tests/coordination",
        "tests/simulation/test_scenarios.py",
        "tests/simulation/test_model_checker.py",
    ),
    "controller": ("tests/controller", "tests/simulation/test_disk.py"),
    "distribution": ("tests/distribution", "tests/controller/test_pull_server.py", "tests/router"),
    "budgets": ("tests/budgets", "tests/router"),
}


def conditions_of(package: str) -> list[Mutation]:
    """Return the conditions of one package of roselink, in the order of its files.

    Raises:
        KeyError: `TESTS_BY_PACKAGE` does not contain the package.
    """
    tests = TESTS_BY_PACKAGE[package]
    paths = sorted((ROOT / "roselink" / package).glob("*.py"))
    return [
        Mutation(f"{path.name}:{name}", f"{package}/{path.name}", text, replacement, tests)
        for path in paths
        for text in [path.read_text(encoding="utf-8")]
        for name, replacement in _removals(text)
    ]


def _removals(text: str) -> Iterator[tuple[str, str]]:
    """Yield a name with line and removed condition, and the full source without the condition."""
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.BoolOp):
            for operand in node.values:
                remaining = [ast.unparse(other) for other in node.values if other is not operand]
                joined = f" {'and' if isinstance(node.op, ast.And) else 'or'} ".join(
                    f"({other})" for other in remaining
                )
                yield _replace_expression(text, node, f"({joined})", ast.unparse(operand))
        elif isinstance(node, ast.If | ast.IfExp) and _is_simple(node.test):
            yield _replace_expression(text, node.test, "False", ast.unparse(node.test))


def _is_simple(test: ast.expr) -> bool:
    """Whether a condition has no operands and does not guard imports for type checking."""
    return not isinstance(test, ast.BoolOp) and ast.unparse(test) != "TYPE_CHECKING"


def _replace_expression(
    text: str, node: ast.expr, replacement: str, removed_source: str
) -> tuple[str, str]:
    """Return a name with line and removed condition, and the source with the replacement."""
    lines = text.encode().splitlines(keepends=True)
    assert node.end_lineno is not None
    start = sum(map(len, lines[: node.lineno - 1])) + node.col_offset
    end = sum(map(len, lines[: node.end_lineno - 1])) + (node.end_col_offset or 0)
    encoded = text.encode()
    changed = encoded[:start] + replacement.encode() + encoded[end:]
    return f"{node.lineno} without {removed_source}", changed.decode()
