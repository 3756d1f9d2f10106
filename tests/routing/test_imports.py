"""`roselink.routing` depends only on `roselink.model`, and on no module that does I/O."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import roselink.routing

MODULES = sorted(Path(roselink.routing.__file__).parent.glob("*.py"))
ALLOWED_PACKAGES = {"roselink.routing", "roselink.model"}
# Standard modules that read clocks, files or sockets, or that start threads or processes.
IMPURE = {"asyncio", "os", "pathlib", "signal", "socket", "subprocess", "threading", "time"}


def imported_modules(path: Path) -> set[str]:
    """Names of all modules that a file imports, including those imported for type checks only."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            assert node.module is not None
            names.add(node.module)
    return names


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_routing_imports_the_model_and_pure_standard_modules_only(path: Path) -> None:
    names = imported_modules(path)
    own = {".".join(name.split(".")[:2]) for name in names if name.split(".")[0] == "roselink"}
    assert own <= ALLOWED_PACKAGES
    assert not {name.split(".")[0] for name in names} & IMPURE
