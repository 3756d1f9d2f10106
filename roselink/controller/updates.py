"""Updates of single items: how one is read, merged onto its base, and made an order of the chain.

An update names a section's items by `name`. What it adds or replaces stands under `upsert`, what it
takes away under `remove`; all else of the document it builds on stays, also fields that are not
known here. The merged document goes down the chain as any whole document does, so nothing behind
the operator's interface knows of updates. Decisions on what the interface's page leaves open:

- a section that is an object (`limits`) is replaced whole; it can't be removed;
- a section that the document has not yet begins empty, known or not; an update on base 0 builds on
  nothing;
- an item without a name, one that stands twice, or one that is both upserted and removed is a
  fault;
- a name to remove that is not there is none: what is asked for holds.
"""

from __future__ import annotations

import hashlib
import json
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from voluptuous import Invalid

from roselink.controller.chain_interface import (
    ConfigurationChange,
    Confirmation,
    OutcomeUnknown,
    SubmitOutcome,
)
from roselink.controller.field_validators import positive_whole
from roselink.controller.validation import (
    ValidationFailure,
    ValidationFault,
    ValidDocument,
    parse_json,
    validate_document,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

UPSERT, REMOVE, GENERATION = "upsert", "remove", "generation"
_DIGEST_PREFIX = b"config/update\0"  # no whole document's digest begins with these bytes


@dataclass(frozen=True, slots=True)
class Update:
    """An update whose own shape is right. `upsert` maps a section to its items, or to its new
    object.
    """

    generation: int
    upsert: Mapping[str, Any]
    remove: Mapping[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class UpdateRequest:
    """An update that an operator has sent: the version it builds on, and its name when it comes
    again.
    """

    base: int
    update: Update
    digest: bytes


def parse_update_request(base: int, body: bytes) -> UpdateRequest | ValidationFailure:
    """The update with this base and these bytes, or why it can't be read."""
    update = read_update(body)
    return (
        update
        if isinstance(update, ValidationFailure)
        else UpdateRequest(base, update, digest_of_update(base, body))
    )


def digest_of_update(base: int, body: bytes) -> bytes:
    """The name of the update with this base and these bytes; no whole document has the same."""
    return hashlib.sha256(_DIGEST_PREFIX + struct.pack("!q", base) + body).digest()


def read_update(body: bytes) -> Update | ValidationFailure:
    """Check an update by itself."""
    value = parse_json(body)
    if isinstance(value, ValidationFailure):
        return value
    if not isinstance(value, dict):
        return ValidationFailure((ValidationFault("", "must be an object"),))
    faults = tuple(_shape_faults(value))
    if faults:
        return ValidationFailure(faults)
    removed = {section: frozenset(names) for section, names in (value.get(REMOVE) or {}).items()}
    return Update(int(value[GENERATION]), value.get(UPSERT) or {}, removed)


def merge(document: Mapping[str, Any], update: Update) -> dict[str, Any]:
    """The document after the update. Items keep their places; new ones follow in the order given.

    The sections of `document` that the update names are lists of objects, or absent, or, where the
    update brings an object, anything.
    """
    merged = dict(document)
    for section in (*update.remove, *update.upsert):
        brought = update.upsert.get(section, [])
        if isinstance(brought, dict):
            merged[section] = brought
        else:
            merged[section] = _merged_items(
                document.get(section) or [], brought, update.remove.get(section, frozenset())
            )
    merged[GENERATION] = update.generation
    return merged


def proposal_from_update(
    base: int, update: Update, digest: bytes, confirmed: Confirmation
) -> ConfigurationChange | ValidationFailure:
    """The order that brings an update about, on a state confirmed after the update was read.

    Where the base is not in place the order has no document: the head then only looks for its
    digest, and refuses it otherwise. Where it is, all states of that generation hold the same
    document, so an order that is sent again, or taken by two members at once, brings the same
    result.
    """
    if base != confirmed.generation:
        return ConfigurationChange(base, update.generation, b"", digest)
    document = json.loads(confirmed.document) if confirmed.document is not None else _nothing()
    faults = tuple(_section_faults(document, update))
    if faults:
        return ValidationFailure(faults)
    merged = merge(document, update)
    checked = validate_document(merged)
    if isinstance(checked, ValidationFailure):
        return checked
    return _order(base, checked, digest)


def submit_update(
    call: UpdateRequest,
    confirm: Callable[[Callable[[Confirmation | None], None]], None],
    submit: Callable[[ConfigurationChange, Callable[[SubmitOutcome], None]], None],
    done: Callable[[SubmitOutcome | ValidationFailure], None],
) -> None:
    """Confirm the state, merge the update onto it, and have the order decided. `done` gets one
    outcome.
    """

    def on_state(confirmed: Confirmation | None) -> None:
        if confirmed is None:
            done(OutcomeUnknown())
            return
        order = proposal_from_update(call.base, call.update, call.digest, confirmed)
        if isinstance(order, ValidationFailure):
            done(order)
        else:
            submit(order, done)

    confirm(on_state)


def _order(base: int, checked: ValidDocument, digest: bytes) -> ConfigurationChange:
    # In ASCII: half a character, which JSON allows in fields that are passed over, has no bytes of
    # its own.
    document = json.dumps(checked.document, separators=(",", ":")).encode()
    return ConfigurationChange(base, checked.generation, document, digest)


def _nothing() -> dict[str, Any]:
    return {"routes": [], "services": []}


def _merged_items(
    present: list[dict[str, Any]], brought: list[dict[str, Any]], removed: frozenset[str]
) -> list[dict[str, Any]]:
    newest = {item["name"]: item for item in brought}
    items = []
    for item in present:
        name = item.get("name")
        if not isinstance(name, str):
            items.append(item)
        elif name not in removed:
            items.append(newest.pop(name, item))
    return items + list(newest.values())


def _shape_faults(value: Mapping[str, Any]) -> Iterable[ValidationFault]:
    try:
        positive_whole(value.get(GENERATION))
    except Invalid as invalid:
        yield ValidationFault(GENERATION, invalid.msg)
    sections = {}
    for part in (UPSERT, REMOVE):
        sections[part] = value.get(part) or {}
        if not isinstance(sections[part], dict):
            yield ValidationFault(part, "must be an object")
            return
        if GENERATION in sections[part]:
            yield ValidationFault(f"{part}.{GENERATION}", "is no section")
    for section, items in sections[UPSERT].items():
        yield from _upsert_faults(section, items, sections[REMOVE].get(section))
    for section, names in sections[REMOVE].items():
        yield from _remove_faults(section, names)


def _upsert_faults(section: str, items: Any, removed: Any) -> Iterable[ValidationFault]:
    path = f"{UPSERT}.{section}"
    if isinstance(items, dict):
        if removed:
            yield ValidationFault(
                f"{REMOVE}.{section}", "is an object, which has no items to remove"
            )
        return
    if not isinstance(items, list):
        yield ValidationFault(path, "must be a list of items, or an object")
        return
    seen: set[str] = set()
    for index, item in enumerate(items):
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            yield ValidationFault(f"{path}[{index}]", "must be an object with a name")
        elif name in seen:
            yield ValidationFault(f"{path}[{index}].name", "stands twice")
        elif isinstance(removed, list) and name in removed:
            yield ValidationFault(f"{path}[{index}].name", "is also removed")
        else:
            seen.add(name)


def _remove_faults(section: str, names: Any) -> Iterable[ValidationFault]:
    if not isinstance(names, list):
        yield ValidationFault(f"{REMOVE}.{section}", "must be a list of names")
        return
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name:
            yield ValidationFault(f"{REMOVE}.{section}[{index}]", "must be a name")


def _section_faults(document: Mapping[str, Any], update: Update) -> Iterable[ValidationFault]:
    """Sections that the update takes for lists, and that are something else in its base."""
    for section in {*update.remove, *update.upsert}:
        if isinstance(update.upsert.get(section), dict):
            continue
        present = document.get(section)
        if present is not None and not _is_items(present):
            yield ValidationFault(section, "is no list of items")


def _is_items(value: object) -> bool:
    return isinstance(value, list) and all(isinstance(item, dict) for item in value)
