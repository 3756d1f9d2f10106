"""Whether this machine's disk completes saves in time. No I/O, no clock.

Times are seconds of the member's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# A save that takes longer than this plus the time for its bytes makes the disk unhealthy, and its
# machine ineligible for the chain. A larger value tolerates longer stalls; with a smaller one a
# stuck disk holds up writes for a shorter time.
STUCK_TIMEOUT_S = 0.3

# A save that takes at most this plus the time for its bytes makes the disk healthy again.
RECOVERED_WITHIN_S = 0.2

# Minimum write throughput of a healthy disk, by which the time for a save's bytes is estimated.
MIN_BYTES_PER_S = 20e6


@dataclass(slots=True)
class _Save:
    """A requested save.

    Attributes:
        started_at: when it became the first in the disk's queue.
        size: its size in bytes.
    """

    started_at: float
    size: int

    def within(self, limit_s: float, now: float) -> bool:
        """Whether it has taken at most the limit plus the time for its bytes."""
        return now - self.started_at <= limit_s + self.size / MIN_BYTES_PER_S


@dataclass(slots=True)
class DiskHealth:
    """The disk's health, judged by the requested saves.

    Attributes:
        healthy: whether the disk completes saves in time.
        last_save_failed: whether the save that ended last has failed.
    """

    healthy: bool = True
    last_save_failed: bool = False
    _saves: list[_Save] = field(default_factory=list)

    def save_requested(self, now: float, size: int) -> None:
        """Record the request of a save of `size` bytes."""
        self._saves.append(_Save(now, size))

    def save_ended(self, now: float, *, succeeded: bool) -> None:
        """Record the end of the oldest save."""
        save = self._saves.pop(0)
        if self._saves:
            self._saves[0].started_at = max(self._saves[0].started_at, now)
        self.last_save_failed = not succeeded
        if not succeeded or not save.within(STUCK_TIMEOUT_S, now):
            self.healthy = False
        elif save.within(RECOVERED_WITHIN_S, now):
            self.healthy = True

    def read_failed(self) -> None:
        """Record a failed read; the disk is unhealthy until it has completed a save."""
        self.healthy = False

    def check(self, now: float) -> bool:
        """Update the health by the save in flight; returns whether the disk is healthy."""
        if self._saves and not self._saves[0].within(STUCK_TIMEOUT_S, now):
            self.healthy = False
        return self.healthy

    @property
    def idle(self) -> bool:
        """Whether no save is in flight."""
        return not self._saves

    def discount_pause(self, pause_s: float, now: float) -> None:
        """Exclude a time during which this process didn't run from the saves' durations."""
        for save in self._saves:
            save.started_at = min(now, save.started_at + pause_s)
