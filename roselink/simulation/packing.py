"""The model checker's machines as values: pickled, with a fingerprint for comparison."""

from __future__ import annotations

import pickle
from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from roselink.coordination.effects import Persist, Store
from roselink.coordination.member import Member
from roselink.protocol.records import decode
from roselink.simulation.exceptions import UnsupportedTypeError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from roselink.protocol.chain import AcceptorState, StoredState, View

# The record numbers of the two records on a disk.
RECORD_NUMBERS = {Store.ACCEPTOR: 33, Store.STATE: 36}
# How many decoded records are cached.
CACHE_SIZE = 4096

# Caches by class: the names of its fields, and whether its objects are immutable values.
_field_names_of: dict[type[Any], tuple[str, ...]] = {}
_is_value_type: dict[type[Any], bool] = {}


@dataclass(slots=True)
class UnpackedMachine:
    """One machine in its mutable form.

    Attributes:
        member: the state machine of its process.
        disk: the durable records.
        saves: the saves that are not durable yet.
        starts: how many processes the machine has had.
    """

    member: Member
    disk: dict[Store, bytes]
    saves: list[Persist] = field(default_factory=list)
    starts: int = 1


@dataclass(frozen=True, slots=True)
class PackedMachine:
    """One machine as an immutable value, with the data that the invariants need.

    Attributes:
        data: the pickled machine.
        fingerprint: equal for machines with the same behaviour-relevant state.
        view: the view that the process follows.
        is_head: whether the process is the head of that view's chain.
        saving: whether any save is not durable yet.
        has_left: whether the process is leaving, and may end.
        acceptor_state: the record with the acceptor state on the disk; empty if there is none.
        state: the record with the configuration state on the disk; empty if there is none.
        durable_history: the history that the process considers durable.
    """

    data: bytes
    fingerprint: int
    view: View | None
    is_head: bool
    saving: bool
    has_left: bool
    acceptor_state: bytes
    state: bytes
    durable_history: bytes


def unpack(packed: PackedMachine) -> UnpackedMachine:
    """A mutable copy of the machine."""
    machine: UnpackedMachine = pickle.loads(packed.data)
    return machine


def pack(machine: UnpackedMachine) -> PackedMachine:
    """The machine as an immutable value."""
    member = machine.member
    components = (
        _hashable(member),
        _hashable(machine.disk),
        _hashable(machine.saves),
        machine.starts,
    )
    return PackedMachine(
        data=pickle.dumps(machine, protocol=pickle.HIGHEST_PROTOCOL),
        fingerprint=hash(components),
        view=member.view,
        is_head=member.chain.is_head,
        saving=bool(machine.saves),
        has_left=member.departure.requested and member.has_left,
        acceptor_state=machine.disk.get(Store.ACCEPTOR, b""),
        state=machine.disk.get(Store.STATE, b""),
        durable_history=member.chain.durable.history,
    )


@lru_cache(maxsize=CACHE_SIZE)
def stored_state(data: bytes) -> StoredState:
    """Decode the record with the configuration state on a disk."""
    stored: StoredState = decode(RECORD_NUMBERS[Store.STATE], data)
    return stored


@lru_cache(maxsize=CACHE_SIZE)
def stored_acceptor_state(data: bytes) -> AcceptorState:
    """Decode the record with the acceptor state on a disk."""
    acceptor_state: AcceptorState = decode(RECORD_NUMBERS[Store.ACCEPTOR], data)
    return acceptor_state


def _field_names(kind: type[Any]) -> tuple[str, ...]:
    """The names of a dataclass's fields."""
    names = _field_names_of.get(kind)
    if names is None:
        names = tuple(each.name for each in fields(kind))
        _field_names_of[kind] = names
    return names


def _is_value(kind: type[Any]) -> bool:
    """Whether the objects of a class are immutable and hashable by content."""
    known = _is_value_type.get(kind)
    if known is None:
        parameters = getattr(kind, "__dataclass_params__", None)
        frozen = parameters is not None and bool(parameters.frozen)
        known = frozen or issubclass(kind, (int, str, bytes, type(None), Enum))
        _is_value_type[kind] = known
    return known


def _hashable(value: Any) -> Any:
    """A hashable copy of an object of a machine, without callables and times.

    Raises:
        UnsupportedTypeError: no copy is defined for the class of the object.
    """
    kind = type(value)
    if _is_value(kind):
        return value
    if kind is float or callable(value):
        return None
    if kind in _HASHABLE_COPIES:
        return _HASHABLE_COPIES[kind](value)
    if is_dataclass(value):
        return tuple([_hashable(getattr(value, name)) for name in _field_names(kind)])
    raise UnsupportedTypeError(kind)


def _hashable_items(items: Iterable[Any]) -> tuple[Any, ...]:
    return tuple([_hashable(each) for each in items])


def _hashable_member(member: Member) -> tuple[Any, ...]:
    """The components of a member that determine its behaviour."""
    components = (
        member.acceptor,
        member.reply_gate,
        member.chain,
        member.proposer,
        member.reads,
        member.sequencer,
        member.pending_calls,
        member.departure,
    )
    return _hashable_items(components)


_HASHABLE_COPIES: dict[type[Any], Callable[[Any], Any]] = {
    list: _hashable_items,
    tuple: _hashable_items,
    dict: lambda items: tuple([(key, _hashable(each)) for key, each in items.items()]),
    set: frozenset,
    Member: _hashable_member,
}
