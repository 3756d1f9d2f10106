"""The background scrub: a member reads its two records back from the disk. No I/O, no clock.

Acknowledged writes are safe only while they stay intact on the disk. Without the scrub, silent
corruption would be found when the process restarts, which after a power failure may be too late:
the other members' records may be corrupt as well. So each member periodically reads and checks the
newest generation of each record. A damaged record is rewritten from the copy in memory, which is
authoritative while the process runs. A disk on which that happens twice is reported.

Reads are infrequent, happen at different times on different members, and the interval grows with
the record's size. Nothing is read while a save is in flight or a view is being agreed on, because
both need the same disk.
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

# The interval between two reads of one member is this value times a factor, which lies between the
# minimum and the minimum plus the range. So each of the two records is read about three times a
# minute, one at a time.
READ_INTERVAL_S = 10.0
MIN_INTERVAL_FACTOR = 0.5
INTERVAL_FACTOR_RANGE = 1.0
# Maximum average read rate, which lengthens the interval after the read of a large record.
MAX_BYTES_PER_S = 100_000.0
# The factors are taken from the session's bits: this many values, from this many bit positions.
FACTOR_VALUES = 97
FACTOR_SHIFTS = 40


@dataclass(slots=True)
class Scrubber:
    """Schedules the reads of records, and counts their results.

    Attributes:
        session: identifies the member's process; its bits spread the reads of different members.
        emit: called with each effect.
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
            sizes: the approximate size of each record, in bytes.
            is_idle: whether neither a save nor an agreement on a view is in progress.
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
        """Handle the result of the read that was emitted last."""
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
