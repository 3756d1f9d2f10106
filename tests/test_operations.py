"""docs/operations.md lists the fleet's log events, each once, and no others."""

from __future__ import annotations

import ast
import re
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parent.parent
PACKAGES = (
    "",
    "controller",
    "dataplane",
    "distribution",
    "budgets",
    "gossip",
    "model",
    "protocol",
    "router",
    "routing",
)
LEVELS = {"debug", "info", "warning", "error", "exception", "critical"}
NAME = re.compile(r"[a-z]+(_[a-z]+)*\Z")


def events() -> Iterator[tuple[str, str]]:
    """Each logged event's first word, and where it stands."""
    for package in PACKAGES:
        for path in sorted((ROOT / "roselink" / package).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and (text := _event(node)) is not None:
                    yield text.split(" ")[0], f"{path.name}:{node.lineno}"


def _event(call: ast.Call) -> str | None:
    """The text of a call that logs: of a logger named `log`, or a `LogWarning` that its driver
    logs.
    """
    function = call.func
    logs = (
        isinstance(function, ast.Attribute)
        and function.attr in LEVELS
        and ast.unparse(function.value).split(".")[-1].strip("_") == "log"
    )
    if not logs and not (isinstance(function, ast.Name) and function.id == "LogWarning"):
        return None
    first = call.args[0]
    if isinstance(first, ast.Constant) and isinstance(first.value, str):
        return first.value
    return None  # handed on by name from a `LogWarning`


def test_events_have_names() -> None:
    found = list(events())
    assert len(found) > 20
    assert [(event, place) for event, place in found if not NAME.match(event)] == []


def test_the_docs_list_the_events() -> None:
    text = (ROOT / "docs" / "operations.md").read_text()
    section = text.partition("\n## Events in the log\n")[2].partition("\n## ")[0]
    listed = re.findall(r"^\| `([a-z_]+)` \|", section, re.MULTILINE)
    assert sorted(listed) == sorted({event for event, _ in events()})
