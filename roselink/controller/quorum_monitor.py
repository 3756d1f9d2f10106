"""Tells when a member's view has lost its majority for longer than a view change takes.

No I/O, no clock. Without a majority of the voters no read is confirmed and no view is agreed, and
neither a log of views nor a count of voters shows which voters are missing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from roselink.coordination.views import majority

if TYPE_CHECKING:
    from collections.abc import Collection

    from roselink.protocol.chain import View

# A majority that is missing for less than this time is not reported: restarts and short pauses of
# processes end within it.
REPORT_AFTER_S = 1.0


class QuorumEvent(Enum):
    """A change that the driver logs."""

    LOST = "lost"
    REGAINED = "regained"


@dataclass(slots=True)
class QuorumMonitor:
    """Watches whether a majority of the newest view's voters is reachable."""

    _missing_since: float | None = None
    _reported: bool = False

    def update(self, view: View, reachable: Collection[str], now: float) -> QuorumEvent | None:
        """Take the current observation; returns the event that it completes, if any.

        Args:
            view: the newest known view.
            reachable: the addresses of the reachable machines, this one included.
            now: seconds of the member's clock.
        """
        if sum(voter.address in reachable for voter in view.voters) >= majority(view):
            self._missing_since = None
            if not self._reported:
                return None
            self._reported = False
            return QuorumEvent.REGAINED
        if self._missing_since is None:
            self._missing_since = now
        if self._reported or now - self._missing_since < REPORT_AFTER_S:
            return None
        self._reported = True
        return QuorumEvent.LOST
