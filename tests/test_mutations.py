"""Every guard in the mutation tables occurs once in the code, and tests detect a removed guard."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.mutations import MUTATIONS, ROOT, Mutation
from tests.mutations.conditions import TESTS_BY_PACKAGE, conditions_of
from tests.mutations.routing import ROUTING
from tests.mutations.runner import run_tests

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_each_guard_stands_once(mutation: Mutation) -> None:
    text = (ROOT / "roselink" / mutation.file).read_text(encoding="utf-8")
    assert text.count(mutation.guard) == 1
    compile(text.replace(mutation.guard, mutation.replacement), mutation.file, "exec")
    for tests in mutation.tests:
        assert (ROOT / tests).exists()


def test_names_tell_guards_apart() -> None:
    keys = [(mutation.file, mutation.name) for mutation in MUTATIONS]
    assert len(set(keys)) == len(keys)


@pytest.mark.parametrize(
    ("replacement", "caught"),
    [
        ("return RetryDecision.STOP", True),
        ("return RetryDecision.RETRY if outcome in NEVER_RAN or repeatable", False),
    ],
)
def test_a_removed_guard_is_detected(replacement: str, *, caught: bool) -> None:
    guard = "return RetryDecision.RETRY if outcome in NEVER_RAN or repeatable"
    tests = ("tests/routing/test_retries.py",)
    assert (
        run_tests(Mutation("any", "routing/classifier.py", guard, replacement, tests)).caught
        is caught
    )


@pytest.mark.parametrize("package", TESTS_BY_PACKAGE)
def test_every_condition_can_be_removed(package: str) -> None:
    conditions = conditions_of(package)
    assert conditions
    for mutation in conditions:
        compile(mutation.replacement, mutation.file, "exec")
        assert mutation.replacement != mutation.guard


def test_apply_rejects_a_guard_that_is_not_found(tmp_path: Path) -> None:
    (tmp_path / "roselink" / "routing").mkdir(parents=True)
    (tmp_path / "roselink" / "routing" / "classifier.py").write_text("nothing\n")
    with pytest.raises(ValueError, match="occurs 0 times"):
        Mutation("any", "routing/classifier.py", "guard", "", ROUTING).apply(tmp_path)
