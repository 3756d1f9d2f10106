"""Decides whether a history is linearizable, by a search over the orders of its calls.

A history is linearizable (Herlihy and Wing, "Linearizability", ACM TOPLAS 12(3), 1990) if one
register could have executed all calls in some order, each at a time between its start and its end.
The search is that of Wing and Gong ("Testing and verifying concurrent objects", JPDC 17, 1993): it
tries a call that may come next and that the register allows, and backtracks if no complete order
follows. As Lowe showed ("Testing for linearizability", CCPE 29(4), 2017), a state that was reached
before, by the same calls in another order, need not be searched again.

The register is the configuration: a change takes effect if its base is the version in force. A
change that was refused once stays refused, even if its base comes into force later. A call that
changes nothing (a read, a refusal, a repeated confirmation) is linearized as soon as it is legal,
which excludes no order of the other calls.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from roselink.simulation.history import CallResult, Change, History

if TYPE_CHECKING:
    from collections.abc import Iterator


class Kind(Enum):
    """What the caller knows about the result of its call."""

    CONFIRMED = 1
    REFUSED = 2
    # The change may take effect at any time after the start of the call, or never.
    UNKNOWN = 3
    READ = 4


@dataclass(frozen=True, slots=True)
class Operation:
    """One call.

    Attributes:
        started_at: the start of the call.
        ended_at: the end of the call; infinite without a response.
        kind: what the caller knows.
        change: the proposed change, or the one that was read; None for no configuration.
    """

    started_at: float
    ended_at: float
    kind: Kind
    change: Change | None


@dataclass(frozen=True, slots=True)
class _State:
    """A state of the search.

    Attributes:
        linearized: the calls in the order so far, as a bit mask of their indices.
        current: the change in force.
        in_force: all changes that have been in force.
        refused: all changes that have been refused.
    """

    linearized: int = 0
    current: Change | None = None
    in_force: frozenset[Change] = frozenset()
    refused: frozenset[Change | None] = frozenset()

    @property
    def version(self) -> int:
        return 0 if self.current is None else self.current.version


_KINDS = {
    CallResult.CONFIRMED: Kind.CONFIRMED,
    CallResult.REFUSED: Kind.REFUSED,
    CallResult.UNKNOWN: Kind.UNKNOWN,
}


def operations_of(history: History) -> list[Operation]:
    """The calls of operators and readers."""
    operations = [
        Operation(
            call.started_at,
            call.ended_at if call.result is not CallResult.UNKNOWN else float("inf"),
            _KINDS[call.result],
            call.change,
        )
        for call in history.calls
    ]
    operations += [
        Operation(read.started_at, read.ended_at, Kind.READ, read.change)
        for read in history.observations
    ]
    return operations


def is_linearizable(operations: list[Operation]) -> bool:
    """Whether the register could have executed the calls in some order."""
    return _Search(operations).run()


class _Search:
    """The search over the calls of one history."""

    def __init__(self, operations: list[Operation]) -> None:
        self._operations = sorted(operations, key=lambda operation: operation.started_at)
        # A change that was refused in any call must not take effect in any order.
        self._refused = {
            operation.change for operation in operations if operation.kind is Kind.REFUSED
        }
        self._required = sum(
            1 << index
            for index, operation in enumerate(self._operations)
            if operation.kind is not Kind.UNKNOWN
        )

    def run(self) -> bool:
        """Search; False if no order is valid."""
        seen: set[tuple[int, Change | None]] = set()
        pending = [self._linearize_non_mutating(_State())]
        while pending:
            state = pending.pop()
            if state.linearized & self._required == self._required:
                return True
            if (state.linearized, state.current) in seen:
                continue
            seen.add((state.linearized, state.current))
            pending += [
                self._linearize_non_mutating(_with_change(state, index, operation.change))
                for index, operation in self._candidates(state)
                if self._takes_effect(state, operation)
            ]
        return False

    def _linearize_non_mutating(self, state: _State) -> _State:
        """The state after all calls that are legal now and change nothing."""
        while True:
            legal = [
                pair for pair in self._candidates(state) if self._is_non_mutating(state, pair[1])
            ]
            if not legal:
                return state
            refusals = {
                operation.change for _, operation in legal if operation.change in self._refused
            }
            linearized = state.linearized | sum(1 << index for index, _ in legal)
            state = replace(state, linearized=linearized, refused=state.refused | refusals)

    def _candidates(self, state: _State) -> Iterator[tuple[int, Operation]]:
        """The calls that may come next: those that started before any remaining call ended."""
        earliest_end = float("inf")
        for index, operation in enumerate(self._operations):
            if operation.started_at > earliest_end:
                return
            if not state.linearized >> index & 1:
                earliest_end = min(earliest_end, operation.ended_at)
                yield index, operation

    def _is_non_mutating(self, state: _State, operation: Operation) -> bool:
        if operation.kind is Kind.READ:
            return operation.change == state.current
        if operation.change in self._refused:
            # Any call with this change may be the first one, in which it was refused permanently.
            return operation.change in state.refused or not _is_acceptable(state, operation.change)
        return operation.change in state.in_force

    def _takes_effect(self, state: _State, operation: Operation) -> bool:
        return (
            operation.kind in (Kind.CONFIRMED, Kind.UNKNOWN)
            and operation.change not in self._refused
            and operation.change not in state.in_force
            and _is_acceptable(state, operation.change)
        )


def _is_acceptable(state: _State, change: Change | None) -> bool:
    return change is not None and change.base == state.version < change.version


def _with_change(state: _State, index: int, change: Change | None) -> _State:
    in_force = state.in_force if change is None else state.in_force | {change}
    return replace(
        state, linearized=state.linearized | 1 << index, current=change, in_force=in_force
    )
