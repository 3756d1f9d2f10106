"""docs/operations.md lists every log event of the fleet once, and no others."""

from __future__ import annotations

import ast
import re
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parent.parent
LOGGING_PACKAGES = (
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
LOG_METHODS = {"debug", "info", "warning", "error", "exception", "critical"}
EVENT_PATTERN = re.compile(r"[a-z]+(_[a-z]+)*\Z")


def logged_events() -> Iterator[tuple[str, str]]:
    """Yield the name of each logged event, and the file and line of the call."""
    for package in LOGGING_PACKAGES:
        for path in sorted((ROOT / "roselink" / package).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and (text := _event_text(node)) is not None:
                    yield text.split(" ")[0], f"{path.name}:{node.lineno}"


def _event_text(call: ast.Call) -> str | None:
    """Return the text that a call logs: a call of a logger named `log`, or a `LogWarning` that a
    driver logs.
    """
    function = call.func
    is_log_call = (
        isinstance(function, ast.Attribute)
        and function.attr in LOG_METHODS
        and ast.unparse(function.value).split(".")[-1].strip("_") == "log"
    )
    if not is_log_call and not (isinstance(function, ast.Name) and function.id == "LogWarning"):
        return None
    argument = call.args[0]
    if isinstance(argument, ast.Constant) and isinstance(argument.value, str):
        return argument.value
    return None  # a variable: the text of a `LogWarning`


def test_event_names_are_snake_case() -> None:
    events = list(logged_events())
    assert len(events) > 20
    assert [(event, location) for event, location in events if not EVENT_PATTERN.match(event)] == []


def test_operations_page_lists_every_event() -> None:
    text = (ROOT / "docs" / "operations.md").read_text()
    section = text.partition("\n## Events in the log\n")[2].partition("\n## ")[0]
    listed = re.findall(r"^\| `([a-z_]+)` \|", section, re.MULTILINE)
    assert sorted(listed) == sorted({event for event, _ in logged_events()})
