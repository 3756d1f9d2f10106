"""Every error that roselink defines has a code of its own, and docs/operations.md lists it."""

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
CODE = re.compile(r"[A-Z]{3}-\d{3}\Z")
# It starts a program when it is imported.
PROGRAMS = ("roselink.__main__", "roselink.gateway.__main__")


def subclasses_of(base: type[RoselinkError]) -> Iterator[type[RoselinkError]]:
    """The class, and all that derive from it."""
    yield base
    for derived in base.__subclasses__():
        yield from subclasses_of(derived)


def codes() -> list[tuple[str, str]]:
    """Each code, with the name of its error."""
    for module in pkgutil.walk_packages(roselink.__path__, "roselink."):
        if module.name not in PROGRAMS:
            importlib.import_module(module.name)
    classes = {
        each for each in subclasses_of(RoselinkError) if each.__module__.startswith("roselink.")
    }
    named = [(each.code, each.__name__) for each in classes]
    return sorted(named + [(each.code, each.name) for each in ApiError])


def test_each_error_has_a_code_of_its_own() -> None:
    found = codes()
    assert len(found) > 60
    assert [each for each in found if not CODE.match(each[0])] == []
    numbers = [code for code, _ in found]
    assert sorted(set(numbers)) == numbers


def test_a_class_without_a_code_would_share_that_of_its_base() -> None:
    """So that the test above finds it."""

    class NamelessError(RoselinkError):
        pass

    assert NamelessError.code == RoselinkError.code


def test_the_docs_list_each_code() -> None:
    text = (ROOT / "docs" / "operations.md").read_text(encoding="utf-8")
    section = text.partition("\n## Error codes\n")[2].partition("\n## ")[0]
    listed = re.findall(r"^\| `([A-Z]{3}-\d{3})` \| `([A-Za-z_]+)` \|", section, re.MULTILINE)
    assert listed == codes()


@pytest.mark.parametrize(
    ("error", "code"), [(RoselinkError("x"), "RSL-000"), (OSError(), None), (None, None)]
)
def test_code_of(error: BaseException | None, code: str | None) -> None:
    assert code_of(error) == code
