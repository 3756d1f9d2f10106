"""The replicated configuration state and the rules by which an order changes it. Pure functions of
values.

The history holds the newest orders as packed entries of digest, generation and sequence. An entry
of generation 0 is an order that was refused although a later state might have let it in; it stays
refused.

>>> first = ConfigurationChange(0, 5, b"{}", digest_of(0, b"{}"))
>>> validate(EMPTY, first)
Validation(kind=<ValidationKind.APPEND: 1>, value=1)
>>> state = apply_change(EMPTY, first, refused=False)
>>> validate(state, first)
Validation(kind=<ValidationKind.TAKEN: 2>, value=1)
>>> validate(state, ConfigurationChange(0, 6, b"[]", digest_of(0, b"[]")))
Validation(kind=<ValidationKind.CONFLICT: 4>, value=5)
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass
from enum import Enum

from roselink.protocol.chain import ConfigurationChange, ConfigurationState

HISTORY_LIMIT = 10_000  # orders whose digests are kept
DIGEST_BYTES = 32
EMPTY = ConfigurationState(0, 0, b"", b"")

_ENTRY = struct.Struct(f"!{DIGEST_BYTES}sqq")


class ValidationKind(Enum):
    """What the head does with an order."""

    APPEND = 1
    TAKEN = 2
    NOT_NEWER = 3
    CONFLICT = 4
    REFUSE_FOR_GOOD = 5  # a later state might let it in: note the refusal first
    WITHOUT_DOCUMENT = (
        6  # it may be let in now, but came without its document: it has to be made and sent
    )


@dataclass(frozen=True, slots=True)
class Validation:
    """A judgement; `value` is the sequence of the write, or the generation that is current."""

    kind: ValidationKind
    value: int


def digest_of(base: int, document: bytes) -> bytes:
    """The name of the order with this base and document."""
    return hashlib.sha256(struct.pack("!q", base) + document).digest()


def validate(state: ConfigurationState, order: ConfigurationChange) -> Validation:
    """What becomes of an order on top of `state`.

    Each refusal stays true in every state that follows: generations only rise. An order without a
    document only asks for its outcome, or for its refusal: it is never appended.
    """
    entry = find(state, order.digest)
    if entry is not None:
        generation, sequence = entry
        if generation:
            return Validation(ValidationKind.TAKEN, sequence)
        return Validation(ValidationKind.CONFLICT, state.generation)
    if order.generation <= state.generation:
        return Validation(ValidationKind.NOT_NEWER, state.generation)
    if order.base < state.generation:
        return Validation(ValidationKind.CONFLICT, state.generation)
    if order.base > state.generation:
        return Validation(ValidationKind.REFUSE_FOR_GOOD, state.generation)
    if not order.document:
        return Validation(ValidationKind.WITHOUT_DOCUMENT, state.generation)
    return Validation(ValidationKind.APPEND, state.sequence + 1)


def find(state: ConfigurationState, digest: bytes) -> tuple[int, int] | None:
    """The (generation, sequence) under which the history holds a digest."""
    key = _key(digest)
    at = state.history.find(key)
    while at >= 0:
        if at % _ENTRY.size == 0:
            _, generation, sequence = _ENTRY.unpack_from(state.history, at)
            return generation, sequence
        at = state.history.find(key, at + 1)
    return None


def apply_change(
    state: ConfigurationState, order: ConfigurationChange, refused: bool
) -> ConfigurationState:
    """The state after the order, or after the note that it is refused."""
    sequence = state.sequence + 1
    generation = 0 if refused else order.generation
    entry = _ENTRY.pack(_key(order.digest), generation, sequence)
    history = (state.history + entry)[-HISTORY_LIMIT * _ENTRY.size :]
    if refused:
        return ConfigurationState(sequence, state.generation, state.document, history)
    return ConfigurationState(sequence, order.generation, order.document, history)


def _key(digest: bytes) -> bytes:
    return digest[:DIGEST_BYTES].ljust(DIGEST_BYTES, b"\0")
