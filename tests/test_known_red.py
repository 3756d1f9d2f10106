"""The list of known failing tests deselects only the tests that it names."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from types import ModuleType


@pytest.fixture(scope="module")
def known_red() -> ModuleType:
    path = Path(__file__).parent.parent / ".ci" / "known_red.py"
    spec = importlib.util.spec_from_file_location("known_red", path)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize(
    ("text", "tests"),
    [
        ("", []),
        ("\n\n", []),
        ("tests/a.py::test_a, it hangs, #3\n", ["tests/a.py::test_a"]),
        ("a::b, one, two and three, #3\n\nc::d[x-1], y, #4", ["a::b", "c::d[x-1]"]),
        ("command: ./run --soak | 1 to 5 | it hangs, each time | #3\n", []),
        ("command: ./run | 1 | it hangs | #3\na::b, cause, #3", ["a::b"]),
    ],
)
def test_list_is_parsed(known_red: ModuleType, text: str, tests: list[str]) -> None:
    assert known_red.parse_list(text) == tests


@pytest.mark.parametrize("text", ["a::b", "a::b, cause", "a::b, , #3", ", cause, #3"])
def test_incomplete_line_is_rejected(known_red: ModuleType, text: str) -> None:
    with pytest.raises(ValueError, match="needs test, cause and issue"):
        known_red.parse_list(text)


@pytest.mark.parametrize(
    "text",
    [
        "command: ./run | 1 | it hangs",
        "command: ./run | 1 |  | #3",
        "command: | 1 | it hangs | #3",
        "command:./run, it hangs, #3",
        "command: ./run | 1 | it hangs | #3 | more",
    ],
)
def test_incomplete_line_of_a_command_is_rejected(known_red: ModuleType, text: str) -> None:
    with pytest.raises(ValueError, match="needs command, seed, what was seen and issue"):
        known_red.parse_list(text)


COLLECTED = [
    "a.py::one",
    "a.py::one_more",
    "a.py::table[1]",
    "a.py::table[2]",
    "a.py::table[22]",
    "b.py::last",
]


@pytest.mark.parametrize(
    ("test", "errors"),
    [
        ("b.py::last", []),
        ("a.py::table", []),
        ("a.py::table[1]", []),
        ("a.py::one_more", []),
        ("a.py::none", ["no test matches a.py::none"]),
        ("a.py::one", ["a.py::one would also deselect a.py::one_more"]),
        ("b.py", ["b.py would also deselect b.py::last"]),
        ("a.py::tab", [f"a.py::tab would also deselect {test_id}" for test_id in COLLECTED[2:5]]),
    ],
)
def test_missing_and_ambiguous_entries_are_reported(
    known_red: ModuleType, test: str, errors: list[str]
) -> None:
    assert known_red.entry_errors([test], COLLECTED) == errors
