"""Whether this machine's disk takes saves in time. No I/O, no clock.

Times are seconds of the member's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# A save that takes longer than this, and than its bytes take, makes the disk unhealthy.
STUCK_TIMEOUT_S = 0.3

# A save that takes no longer than this, and than its bytes take, makes it healthy again.
RECOVERED_WITHIN_S = 0.2

# The least that a healthy disk writes in a second.
MIN_BYTES_PER_S = 20e6


@dataclass(slots=True)
class _Save:
    """A requested save.

    Attributes:
        started_at: when it was the first in the disk's queue.
        size: its bytes.
    """

    started_at: float
    size: int

    def within(self, limit_s: float, now: float) -> bool:
        """Whether it has taken no longer than the limit and the time for its bytes."""
        return now - self.started_at <= limit_s + self.size / MIN_BYTES_PER_S


@dataclass(slots=True)
class DiskHealth:
    """The disk's health, by the saves that were requested.

    Attributes:
        healthy: whether it takes saves, in time.
        last_save_failed: whether it refused the last one that ended.
    """

    healthy: bool = True
    last_save_failed: bool = False
    _saves: list[_Save] = field(default_factory=list)

    def save_requested(self, now: float, size: int) -> None:
        """A save of `size` bytes was requested."""
        self._saves.append(_Save(now, size))

    def save_ended(self, now: float, *, succeeded: bool) -> None:
        """The oldest save has ended."""
        save = self._saves.pop(0)
        if self._saves:
            self._saves[0].started_at = max(self._saves[0].started_at, now)
        self.last_save_failed = not succeeded
        if not succeeded or not save.within(STUCK_TIMEOUT_S, now):
            self.healthy = False
        elif save.within(RECOVERED_WITHIN_S, now):
            self.healthy = True

    def read_failed(self) -> None:
        """The disk could not read a record: it has to take a save before it counts as healthy."""
        self.healthy = False

    def check(self, now: float) -> bool:
        """Whether the disk is healthy now."""
        if self._saves and not self._saves[0].within(STUCK_TIMEOUT_S, now):
            self.healthy = False
        return self.healthy

    @property
    def idle(self) -> bool:
        """Whether no save is in flight."""
        return not self._saves

    def discount_pause(self, pause_s: float, now: float) -> None:
        """Don't count a time in which this process did not run."""
        for save in self._saves:
            save.started_at = min(now, save.started_at + pause_s)
