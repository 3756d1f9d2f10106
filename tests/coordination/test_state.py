"""Validation of changes, and the history that it uses."""

from __future__ import annotations

import doctest
from dataclasses import replace

import pytest

from roselink.coordination import state as state_module
from roselink.coordination.state import (
    EMPTY,
    HISTORY_LIMIT,
    Validation,
    ValidationKind,
    apply_change,
    digest_of,
    find_in_history,
    validate,
)
from roselink.protocol.chain import (
    ConfigurationChange,
    ConfigurationState,
)


def change_on(base: int, generation: int, text: str = "x") -> ConfigurationChange:
    document = f"{base} {generation} {text}".encode()
    return ConfigurationChange(base, generation, document, digest_of(base, document))


def without_document(base: int, generation: int) -> ConfigurationChange:
    return ConfigurationChange(base, generation, b"", digest_of(base, b"no document"))


FIRST, EARLY = change_on(0, 5), change_on(9, 12)
REFUSED_ONE = apply_change(apply_change(EMPTY, FIRST, refused=False), EARLY, refused=True)
LATER = apply_change(REFUSED_ONE, change_on(5, 9), refused=False)


@pytest.mark.parametrize(
    ("state", "change", "expected"),
    [
        (EMPTY, FIRST, Validation(ValidationKind.APPEND, 1)),
        (EMPTY, change_on(0, 0), Validation(ValidationKind.STALE_GENERATION, 0)),
        (REFUSED_ONE, FIRST, Validation(ValidationKind.COMMITTED, 1)),
        (LATER, FIRST, Validation(ValidationKind.COMMITTED, 1)),
        (REFUSED_ONE, change_on(5, 9), Validation(ValidationKind.APPEND, 3)),
        (REFUSED_ONE, change_on(0, 9), Validation(ValidationKind.CONFLICT, 5)),
        (REFUSED_ONE, change_on(5, 5), Validation(ValidationKind.STALE_GENERATION, 5)),
        (REFUSED_ONE, change_on(9, 3), Validation(ValidationKind.STALE_GENERATION, 5)),
        (REFUSED_ONE, change_on(9, 13), Validation(ValidationKind.REFUSE_PERMANENTLY, 5)),
        (REFUSED_ONE, EARLY, Validation(ValidationKind.CONFLICT, 5)),
        (LATER, EARLY, Validation(ValidationKind.CONFLICT, 9)),
        (REFUSED_ONE, without_document(5, 9), Validation(ValidationKind.DOCUMENT_MISSING, 5)),
        (REFUSED_ONE, without_document(0, 9), Validation(ValidationKind.CONFLICT, 5)),
        (REFUSED_ONE, without_document(9, 13), Validation(ValidationKind.REFUSE_PERMANENTLY, 5)),
        (REFUSED_ONE, replace(FIRST, document=b""), Validation(ValidationKind.COMMITTED, 1)),
    ],
)
def test_validation_by_history_generation_and_base(
    state: ConfigurationState, change: ConfigurationChange, expected: Validation
) -> None:
    assert validate(state, change) == expected


def test_history_is_bounded_and_keeps_the_newest_entries() -> None:
    state = EMPTY
    changes = [change_on(n, n + 1) for n in range(HISTORY_LIMIT + 2)]
    entry = len(apply_change(EMPTY, FIRST, refused=False).history)
    full = replace(state, sequence=1, history=b"\1" * (entry * HISTORY_LIMIT))
    after = apply_change(full, changes[0], refused=False)
    assert len(after.history) == entry * HISTORY_LIMIT
    assert find_in_history(after, changes[0].digest) == (1, 2)


def test_digest_is_found_only_at_the_start_of_an_entry() -> None:
    """A digest's bytes may occur by chance inside other entries, or across two of them."""
    entry = apply_change(EMPTY, change_on(0, 5), refused=False).history
    inside = entry[16:48]
    assert find_in_history(replace(EMPTY, history=entry), inside) is None
    assert find_in_history(replace(EMPTY, history=entry + inside + entry[32:]), inside) is not None


def test_examples_of_the_state_module() -> None:
    assert doctest.testmod(state_module).failed == 0
