"""Updates of single items: parsed, merged onto their base, and proposed to the chain.

An update names a section's items by `name`. Items to add or replace are under `upsert`, names to
remove under `remove`; everything else of the document that it builds on stays, also unknown fields.
The merged document is proposed to the chain like any complete document, so only the operator's
interface knows of updates. Rules for cases that the interface's specification leaves open:

- a section that is an object (`limits`) is replaced completely; it can't be removed;
- a section that the document lacks starts empty, whether or not the schema knows it; an update on
  base 0 starts from an empty document;
- an item without a name, one that occurs twice, or one that is both upserted and removed is a
  fault;
- a name to remove that does not exist is not a fault: the requested state already holds.
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
from roselink.controller.field_validators import JsonObject, JsonValue, positive_integer
from roselink.controller.validation import (
    ValidationFailure,
    ValidationFault,
    ValidDocument,
    parse_json,
    validate_document,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

UPSERT = "upsert"
REMOVE = "remove"
GENERATION = "generation"
# Start of the digest's input, which distinguishes updates from complete documents.
_DIGEST_PREFIX = b"config/update\0"


@dataclass(frozen=True, slots=True)
class Update:
    """An update that is valid by itself.

    Attributes:
        generation: the operator's number for the document after the update.
        upsert: the items by section, or a section's new object.
        remove: the names to remove, by section.
    """

    generation: int
    upsert: JsonObject
    remove: Mapping[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class UpdateRequest:
    """An update as an operator sent it.

    Attributes:
        base: the generation that it builds on.
        update: the update.
        digest: identifies the update when it is sent again.
    """

    base: int
    update: Update
    digest: bytes


def parse_update_request(base: int, body: bytes) -> UpdateRequest | ValidationFailure:
    """Parse the update with this base and these bytes."""
    update = parse_update(body)
    if isinstance(update, ValidationFailure):
        return update
    return UpdateRequest(base, update, digest_of_update(base, body))


def digest_of_update(base: int, body: bytes) -> bytes:
    """The digest of this update on this base, distinct from those of complete documents."""
    return hashlib.sha256(_DIGEST_PREFIX + struct.pack("!q", base) + body).digest()


def parse_update(body: bytes) -> Update | ValidationFailure:
    """Parse an update and validate it by itself."""
    value = parse_json(body)
    if isinstance(value, ValidationFailure):
        return value
    if not isinstance(value, dict):
        return ValidationFailure((ValidationFault("", "must be an object"),))
    fields: JsonObject = value
    faults = tuple(_shape_faults(fields))
    if faults:
        return ValidationFailure(faults)
    removed = {section: frozenset(names) for section, names in (fields.get(REMOVE) or {}).items()}
    return Update(int(fields[GENERATION]), fields.get(UPSERT) or {}, removed)


def merge(document: JsonObject, update: Update) -> dict[str, Any]:
    """The document after the update; items keep their positions, and new ones are appended.

    The sections of `document` that the update names must be lists of objects or absent, except
    those that the update replaces by an object.
    """
    merged = dict(document)
    for section in (*update.remove, *update.upsert):
        upserted = update.upsert.get(section, [])
        if isinstance(upserted, dict):
            merged[section] = upserted
        else:
            merged[section] = _merge_items(
                document.get(section) or [], upserted, update.remove.get(section, frozenset())
            )
    merged[GENERATION] = update.generation
    return merged


def proposal_from_update(
    base: int, update: Update, digest: bytes, confirmation: Confirmation
) -> ConfigurationChange | ValidationFailure:
    """The change that an update proposes, on a state confirmed after the update was parsed.

    If the base is not the current generation, the change has no document: the chain's head then
    only looks up its digest, and rejects the change if that is unknown. Otherwise all states of
    the current generation have the same document, so a change that is sent again, or proposed by
    two members at once, has the same result.
    """
    if base != confirmation.generation:
        return ConfigurationChange(base, update.generation, b"", digest)
    document = (
        json.loads(confirmation.document)
        if confirmation.document is not None
        else _empty_document()
    )
    faults = tuple(_section_faults(document, update))
    if faults:
        return ValidationFailure(faults)
    merged = merge(document, update)
    valid = validate_document(merged)
    if isinstance(valid, ValidationFailure):
        return valid
    return _change_from_document(base, valid, digest)


def submit_update(
    request: UpdateRequest,
    confirm: Callable[[Callable[[Confirmation | None], None]], None],
    submit: Callable[[ConfigurationChange, Callable[[SubmitOutcome], None]], None],
    done: Callable[[SubmitOutcome | ValidationFailure], None],
) -> None:
    """Confirm the state, merge the update onto it, and have the change decided.

    Args:
        request: the update.
        confirm: reads the confirmed state; None when nothing could be confirmed.
        submit: has a change decided.
        done: called once with the outcome.
    """

    def on_confirmation(confirmation: Confirmation | None) -> None:
        if confirmation is None:
            done(OutcomeUnknown())
            return
        change = proposal_from_update(request.base, request.update, request.digest, confirmation)
        if isinstance(change, ValidationFailure):
            done(change)
        else:
            submit(change, done)

    confirm(on_confirmation)


def _change_from_document(base: int, valid: ValidDocument, digest: bytes) -> ConfigurationChange:
    # Escaped to ASCII: a lone surrogate, which ignored fields may contain, has no UTF-8 encoding.
    document = json.dumps(valid.document, separators=(",", ":")).encode()
    return ConfigurationChange(base, valid.generation, document, digest)


def _empty_document() -> JsonObject:
    return {"routes": [], "services": []}


def _merge_items(
    existing: Sequence[JsonObject], upserted: Sequence[JsonObject], removed: frozenset[str]
) -> list[JsonObject]:
    replacements = {item["name"]: item for item in upserted}
    items = []
    for item in existing:
        name = item.get("name")
        if not isinstance(name, str):
            items.append(item)
        elif name not in removed:
            items.append(replacements.pop(name, item))
    return items + list(replacements.values())


def _shape_faults(value: JsonObject) -> Iterable[ValidationFault]:
    try:
        positive_integer(value.get(GENERATION))
    except Invalid as invalid:
        yield ValidationFault(GENERATION, invalid.msg)
    sections = {}
    for field in (UPSERT, REMOVE):
        sections[field] = value.get(field) or {}
        if not isinstance(sections[field], dict):
            yield ValidationFault(field, "must be an object")
            return
        if GENERATION in sections[field]:
            yield ValidationFault(f"{field}.{GENERATION}", "is no section")
    for section, items in sections[UPSERT].items():
        yield from _upsert_faults(section, items, sections[REMOVE].get(section))
    for section, names in sections[REMOVE].items():
        yield from _remove_faults(section, names)


def _upsert_faults(section: str, items: JsonValue, removed: JsonValue) -> Iterable[ValidationFault]:
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


def _remove_faults(section: str, names: JsonValue) -> Iterable[ValidationFault]:
    if not isinstance(names, list):
        yield ValidationFault(f"{REMOVE}.{section}", "must be a list of names")
        return
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name:
            yield ValidationFault(f"{REMOVE}.{section}[{index}]", "must be a name")


def _section_faults(document: JsonObject, update: Update) -> Iterable[ValidationFault]:
    """Faults of sections that are lists in the update and something else in its base."""
    for section in {*update.remove, *update.upsert}:
        if isinstance(update.upsert.get(section), dict):
            continue
        existing = document.get(section)
        if existing is not None and not _is_list_of_objects(existing):
            yield ValidationFault(section, "is no list of items")


def _is_list_of_objects(value: JsonValue) -> bool:
    return isinstance(value, list) and all(isinstance(item, dict) for item in value)
