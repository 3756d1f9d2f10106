"""Every error class of roselink has a unique code, which docs/operations.md lists."""

from __future__ import annotations

import importlib
import pkgutil
import re
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

import roselink
from roselink.controller.api_errors import ApiError
from roselink.exceptions import RoselinkError, code_of

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parent.parent
CODE_PATTERN = re.compile(r"[A-Z]{3}-\d{3}\Z")
# Modules that start a program when they are imported.
ENTRY_POINTS = ("roselink.__main__", "roselink.gateway.__main__")


def subclasses_of(base: type[RoselinkError]) -> Iterator[type[RoselinkError]]:
    """Yield the class and all classes derived from it."""
    yield base
    for derived in base.__subclasses__():
        yield from subclasses_of(derived)


def error_codes() -> list[tuple[str, str]]:
    """Return each code with the name of its error, sorted."""
    for module in pkgutil.walk_packages(roselink.__path__, "roselink."):
        if module.name not in ENTRY_POINTS:
            importlib.import_module(module.name)
    classes = {
        error for error in subclasses_of(RoselinkError) if error.__module__.startswith("roselink.")
    }
    entries = [(error.code, error.__name__) for error in classes]
    return sorted(entries + [(error.code, error.name) for error in ApiError])


def test_error_codes_are_valid_and_unique() -> None:
    entries = error_codes()
    assert len(entries) > 60
    assert [error for error in entries if not CODE_PATTERN.match(error[0])] == []
    codes = [code for code, _ in entries]
    assert sorted(set(codes)) == codes


def test_class_without_a_code_inherits_the_code_of_its_base() -> None:
    """The uniqueness test detects a class without a code, because it has the code of its base."""

    class UncodedError(RoselinkError):
        pass

    assert UncodedError.code == RoselinkError.code


def test_operations_page_lists_every_error_code() -> None:
    text = (ROOT / "docs" / "operations.md").read_text(encoding="utf-8")
    section = text.partition("\n## Error codes\n")[2].partition("\n## ")[0]
    listed = re.findall(r"^\| `([A-Z]{3}-\d{3})` \| `([A-Za-z_]+)` \|", section, re.MULTILINE)
    assert listed == error_codes()


@pytest.mark.parametrize(
    ("error", "code"), [(RoselinkError("x"), "RSL-000"), (OSError(), None), (None, None)]
)
def test_code_of_returns_the_code_or_none(error: BaseException | None, code: str | None) -> None:
    assert code_of(error) == code
