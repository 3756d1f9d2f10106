"""docs/glossary.md lists terms of the code, their locations, and every name that packages share."""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = ROOT / "roselink"
TERM_PATTERN = re.compile(r"`([A-Za-z_][A-Za-z_0-9]*)`")
LOCATION_PATTERN = re.compile(r"`([a-z_/]+(?:\.py)?)`")
# Names of entry points, which any package may define.
EXEMPT_NAMES = {"main", "run"}


@cache
def glossary_rows() -> list[list[str]]:
    """Return the cells of the glossary's table, without the header."""
    text = (ROOT / "docs" / "glossary.md").read_text(encoding="utf-8")
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in cells if not row[0].startswith("---") and row[2] != "term in the code"]


@cache
def defined_names(path: Path) -> frozenset[str]:
    """Return every name that a module defines, and the names of the module and its package."""
    names = {path.stem, path.parent.name}
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            names.add(node.name)
        elif isinstance(node, ast.arg):
            names.add(node.arg)
        elif isinstance(node, ast.Name | ast.Attribute) and isinstance(node.ctx, ast.Store):
            names.add(node.id if isinstance(node, ast.Name) else node.attr)
    return frozenset(names)


def exporting_packages() -> dict[str, set[str]]:
    """Return the packages that define each top-level class or function."""
    packages = defaultdict(set)
    for path in PACKAGE.rglob("*.py"):
        package = path.relative_to(PACKAGE).parts[0]
        for node in ast.parse(path.read_text(encoding="utf-8")).body:
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                packages[node.name].add(package)
    return packages


@pytest.mark.parametrize("row", glossary_rows(), ids=lambda row: row[2].strip("`"))
def test_term_is_defined_at_its_listed_location(row: list[str]) -> None:
    _, _, terms, meaning, locations = row
    names: set[str] = set()
    for location in LOCATION_PATTERN.findall(locations):
        path = PACKAGE / location
        files = [path] if path.suffix else sorted(path.rglob("*.py"))
        assert files, location
        assert all(file.exists() for file in files), location
        names = names.union(*(defined_names(file) for file in files))
    assert meaning.endswith(".")
    assert TERM_PATTERN.findall(terms)
    assert set(TERM_PATTERN.findall(terms)) <= names


def test_name_exported_by_two_packages_is_in_the_glossary() -> None:
    documented = {term for row in glossary_rows() for term in TERM_PATTERN.findall(row[2])}
    shared = {
        name: sorted(packages)
        for name, packages in exporting_packages().items()
        if len(packages) > 1 and not name.startswith("_") and name not in EXEMPT_NAMES
    }
    assert {name: exporters for name, exporters in shared.items() if name not in documented} == {}


def test_architecture_page_names_existing_modules() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    modules = set(re.findall(r"`([a-z_]+(?:/[a-z_]+)*\.py)`", text))
    assert len(modules) > 40
    assert sorted(name for name in modules if not (PACKAGE / name).exists()) == []
