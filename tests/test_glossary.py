"""docs/glossary.md names terms that the code uses, where it uses them, and each shared name."""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = ROOT / "roselink"
TERM = re.compile(r"`([A-Za-z_][A-Za-z_0-9]*)`")
PLACE = re.compile(r"`([a-z_/]+(?:\.py)?)`")
# The entry points of programs and the two words that every package may use for its main function.
NOT_TERMS = {"main", "run"}


@cache
def rows() -> list[list[str]]:
    """The cells of the glossary's table, without its head."""
    text = (ROOT / "docs" / "glossary.md").read_text(encoding="utf-8")
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in cells if not row[0].startswith("---") and row[2] != "term in the code"]


@cache
def names_of(path: Path) -> frozenset[str]:
    """Every name that a module defines, and its own."""
    found = {path.stem, path.parent.name}
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            found.add(node.name)
        elif isinstance(node, ast.arg):
            found.add(node.arg)
        elif isinstance(node, ast.Name | ast.Attribute) and isinstance(node.ctx, ast.Store):
            found.add(node.id if isinstance(node, ast.Name) else node.attr)
    return frozenset(found)


def exported() -> dict[str, set[str]]:
    """The packages that define each public class or function."""
    packages = defaultdict(set)
    for path in PACKAGE.rglob("*.py"):
        package = path.relative_to(PACKAGE).parts[0]
        for node in ast.parse(path.read_text(encoding="utf-8")).body:
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                packages[node.name].add(package)
    return packages


@pytest.mark.parametrize("row", rows(), ids=lambda row: row[2].strip("`"))
def test_a_term_stands_in_the_code_at_the_place_that_is_named(row: list[str]) -> None:
    _, _, terms, meaning, places = row
    found: set[str] = set()
    for place in PLACE.findall(places):
        path = PACKAGE / place
        files = [path] if path.suffix else sorted(path.rglob("*.py"))
        assert files, place
        assert all(file.exists() for file in files), place
        found = found.union(*(names_of(file) for file in files))
    assert meaning.endswith(".")
    assert TERM.findall(terms)
    assert set(TERM.findall(terms)) <= found


def test_a_name_that_two_packages_export_is_explained() -> None:
    explained = {term for row in rows() for term in TERM.findall(row[2])}
    shared = {
        name: sorted(packages)
        for name, packages in exported().items()
        if len(packages) > 1 and not name.startswith("_") and name not in NOT_TERMS
    }
    assert {name: where for name, where in shared.items() if name not in explained} == {}


def test_the_architecture_page_names_modules_that_are_there() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    named = set(re.findall(r"`([a-z_]+(?:/[a-z_]+)*\.py)`", text))
    assert len(named) > 40
    assert sorted(name for name in named if not (PACKAGE / name).exists()) == []
