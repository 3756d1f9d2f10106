"""Decides whether one register explains a history: a search over the orders of its calls.

Linearizability is that of Herlihy and Wing ("Linearizability", ACM TOPLAS 12(3), 1990): there is an
order of all calls that one register could have executed, in which each call stands between its
begin and its end. The search is that of Wing and Gong ("Testing and verifying concurrent objects",
JPDC 17, 1993): of the calls that may come next, one that the register allows is tried, and taken
back if nothing follows. As Lowe showed ("Testing for linearizability", CCPE 29(4), 2017), a state
that was reached before, by the same calls in another order, need not be searched again.

The register is the configuration: a change is put in force on top of the version that it names, and
one that was refused once is refused for good, also when its base comes into force later. A call
that changes nothing (a read, a refusal, a change confirmed once more) is placed as soon as it
is legal, which excludes no order of the others.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from roselink.simulation.history import CallResult, Change, History

if TYPE_CHECKING:
    from collections.abc import Iterator


class Kind(Enum):
    """What a call's caller knows of it."""

    CONFIRMED = 1
    REFUSED = 2
    # It may have put its change in force, at any time from its begin on, or never will.
    UNKNOWN = 3
    READ = 4


@dataclass(frozen=True, slots=True)
class Operation:
    """One call.

    Attributes:
        began: when it began.
        ended: when it ended; infinite for one without a response.
        kind: what its caller knows.
        change: the proposed change, or the one that was read; None for no configuration.
    """

    started_at: float
    ended_at: float
    kind: Kind
    change: Change | None


@dataclass(frozen=True, slots=True)
class _State:
    """A point of the search.

    Attributes:
        placed: which calls are placed, by index.
        current: the change that is in force.
        in_force: all that were in force up to then.
        refused: all that were refused up to then.
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
    """Whether some order of the calls is one that the register could have executed."""
    return _Search(operations).run()


class _Search:
    """The search over one history."""

    def __init__(self, operations: list[Operation]) -> None:
        self._operations = sorted(operations, key=lambda operation: operation.started_at)
        # A refused change is refused in every order, so nothing may put it in force.
        self._refused = {
            operation.change for operation in operations if operation.kind is Kind.REFUSED
        }
        self._required = sum(
            1 << index
            for index, operation in enumerate(self._operations)
            if operation.kind is not Kind.UNKNOWN
        )

    def run(self) -> bool:
        """Search; False once every order has failed."""
        seen: set[tuple[int, Change | None]] = set()
        pending = [self._place_non_mutating(_State())]
        while pending:
            state = pending.pop()
            if state.linearized & self._required == self._required:
                return True
            if (state.linearized, state.current) in seen:
                continue
            seen.add((state.linearized, state.current))
            pending += [
                self._place_non_mutating(_with_change(state, index, operation.change))
                for index, operation in self._candidates(state)
                if self._takes_effect(state, operation)
            ]
        return False

    def _place_non_mutating(self, state: _State) -> _State:
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
        """The calls that may come next: none that is not placed has ended before they began."""
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
            # Whichever of its calls came first may have been the one that was refused for good.
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
