"""The replicated configuration state, and the rules by which changes are applied to it.

Pure functions of values. The history holds the newest changes as packed entries of digest,
generation and sequence. An entry with generation 0 is a change that was refused although a later
state might have accepted it; it stays refused.

S1. A change that was refused is refused in every state that follows.

  Proof. Every write keeps or raises the generation. A change whose generation isn't above the
  current one, or whose base is below it, is refused for the same reason in every later state. One
  whose base is a future generation could be accepted later; its refusal is first written into the
  state, as a history entry that `validate` finds.

>>> first = ConfigurationChange(0, 5, b"{}", digest_of(0, b"{}"))
>>> validate(EMPTY, first)
Validation(kind=<ValidationKind.APPEND: 1>, value=1)
>>> state = apply_change(EMPTY, first, refused=False)
>>> validate(state, first)
Validation(kind=<ValidationKind.COMMITTED: 2>, value=1)
>>> validate(state, ConfigurationChange(0, 6, b"[]", digest_of(0, b"[]")))
Validation(kind=<ValidationKind.CONFLICT: 4>, value=5)
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass
from enum import Enum

from roselink.protocol.chain import ConfigurationChange, ConfigurationState

# Maximum number of history entries. A change that is sent again is recognized until this many
# others have been recorded after it. The history is part of every save and sync.
HISTORY_LIMIT = 10_000

# Size of a SHA-256 digest.
DIGEST_BYTES = 32

EMPTY = ConfigurationState(0, 0, b"", b"")

_ENTRY = struct.Struct(f"!{DIGEST_BYTES}sqq")


class ValidationKind(Enum):
    """The head's decision on a change."""

    APPEND = 1
    COMMITTED = 2
    STALE_GENERATION = 3
    CONFLICT = 4
    # A later state might accept the change, so the refusal is recorded first.
    REFUSE_PERMANENTLY = 5
    # The change would be accepted, but came without its document, which must be built and sent.
    DOCUMENT_MISSING = 6


@dataclass(frozen=True, slots=True)
class Validation:
    """The result of a validation.

    `value` is the sequence of the write for APPEND and COMMITTED, else the current generation.
    """

    kind: ValidationKind
    value: int


def digest_of(base: int, document: bytes) -> bytes:
    """The digest that identifies the change with this base and document."""
    return hashlib.sha256(struct.pack("!q", base) + document).digest()


def validate(state: ConfigurationState, change: ConfigurationChange) -> Validation:
    """Decide on a change that is submitted in `state`.

    Each refusal is also valid in every state that follows (S1). A change without a document only
    asks for its earlier outcome or for its refusal: it is never appended.
    """
    entry = find_in_history(state, change.digest)
    if entry is not None:
        generation, sequence = entry
        if generation:
            return Validation(ValidationKind.COMMITTED, sequence)
        return Validation(ValidationKind.CONFLICT, state.generation)
    if change.generation <= state.generation:
        return Validation(ValidationKind.STALE_GENERATION, state.generation)
    if change.base < state.generation:
        return Validation(ValidationKind.CONFLICT, state.generation)
    if change.base > state.generation:
        return Validation(ValidationKind.REFUSE_PERMANENTLY, state.generation)
    if not change.document:
        return Validation(ValidationKind.DOCUMENT_MISSING, state.generation)
    return Validation(ValidationKind.APPEND, state.sequence + 1)


def find_in_history(state: ConfigurationState, digest: bytes) -> tuple[int, int] | None:
    """The (generation, sequence) of the history entry with a digest, or None."""
    key = _padded_digest(digest)
    offset = state.history.find(key)
    while offset >= 0:
        if offset % _ENTRY.size == 0:
            _, generation, sequence = _ENTRY.unpack_from(state.history, offset)
            return generation, sequence
        offset = state.history.find(key, offset + 1)
    return None


def history_length(state: ConfigurationState) -> int:
    """The number of changes in the history."""
    return len(state.history) // _ENTRY.size


def apply_change(
    state: ConfigurationState, change: ConfigurationChange, *, refused: bool
) -> ConfigurationState:
    """The state after the change, or after its recorded refusal."""
    sequence = state.sequence + 1
    generation = 0 if refused else change.generation
    entry = _ENTRY.pack(_padded_digest(change.digest), generation, sequence)
    history = (state.history + entry)[-HISTORY_LIMIT * _ENTRY.size :]
    if refused:
        return ConfigurationState(sequence, state.generation, state.document, history)
    return ConfigurationState(sequence, change.generation, change.document, history)


def _padded_digest(digest: bytes) -> bytes:
    return digest[:DIGEST_BYTES].ljust(DIGEST_BYTES, b"\0")
