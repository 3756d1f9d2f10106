"""The background scrub: a member reads its two records back from the disk. No I/O, no clock.

What a member acknowledged is safe only while its disk still has it. A record that rots unseen is
found when the process starts again, which after a loss of power may be too late: the same may have
happened to the others. So each member has its disk read the newest generation of each record from
time to time, and check it. A damaged one is written anew from memory, which is what the member goes
by while it runs. A disk on which that happens twice is reported.

The pace is slow, differs between members, and falls with the record's size. Nothing is read while a
save is in flight or a view is being agreed on: both wait for the same disk.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.coordination.effects import (
    Emit,
    RecordDamaged,
    Store,
    VerificationOutcome,
    VerifyRecord,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

# Between two reads of one member, times a factor drawn between the two bounds. Each of the two
# records is so read about three times a minute, in bursts of one.
READ_INTERVAL_S = 10.0
MIN_INTERVAL_FACTOR = 0.5
INTERVAL_FACTOR_RANGE = 1.0
# The least time for a record's bytes, so that a large state is read at a bounded rate.
MAX_BYTES_PER_S = 100_000.0
# A session's bits choose the factors.
FACTOR_VALUES = 97
FACTOR_SHIFTS = 40


@dataclass(slots=True)
class Scrubber:
    """When the next record is read, and what was found so far.

    Attributes:
        session: the member's process, whose bits spread the reads of different members.
        emit: takes the effects.
        checks: how many reads have ended with a result.
        damaged: how many records were found damaged.
        checked_at: when the last read ended; None before the first.
    """

    session: int
    emit: Emit
    checks: int = 0
    damaged: int = 0
    checked_at: float | None = None
    _next_read_at: float | None = None
    _read_in_flight: Store | None = None
    _reads_started: int = 0

    def request_due_read(self, now: float, sizes: Mapping[Store, int], *, is_idle: bool) -> None:
        """Have the next record read if it is due.

        Args:
            now: seconds of the member's clock.
            sizes: how many bytes each record has, about.
            is_idle: whether neither a save nor an agreement on a view is under way.
        """
        if self._next_read_at is None:
            self._next_read_at = now + self._interval_s(0)
        if self._read_in_flight is not None or now < self._next_read_at or not is_idle:
            return
        store = tuple(Store)[self._reads_started % len(Store)]
        self._reads_started += 1
        self._read_in_flight = store
        self._next_read_at = now + self._interval_s(sizes[store])
        self.emit(VerifyRecord(store))

    def on_verified(self, store: Store, outcome: VerificationOutcome, now: float) -> None:
        """Take the result of the read that was emitted last."""
        self._read_in_flight = None
        if outcome is VerificationOutcome.UNREADABLE:
            return
        self.checks += 1
        self.checked_at = now
        if outcome is VerificationOutcome.DAMAGED:
            self.damaged += 1
            self.emit(RecordDamaged(store, self.damaged))

    def _interval_s(self, size: int) -> float:
        bits = (self.session >> (self._reads_started % FACTOR_SHIFTS)) % FACTOR_VALUES
        factor = MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * bits / FACTOR_VALUES
        return max(READ_INTERVAL_S * factor, size / MAX_BYTES_PER_S)
