"""State of one server, as seen by one balancer."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.balancer.interface import Server

# Payoff of a server without outcomes.
INITIAL_PAYOFF = 0.5


class ServerState:
    """A listed server with its payoff, ejection and slow start."""

    def __init__(self, spec: Server) -> None:
        """Starts with the entry of the server list only."""
        self.spec = spec
        self.payoff = INITIAL_PAYOFF
        # Sort key of the server order that is common to all balancers.
        self.sort_key = zlib.crc32(b"%d" % spec.id)
        # Attempts of this balancer in flight, and how many of them are overdue.
        self.in_flight = 0
        self.overdue = 0
        # Time of the last outcome, or the end of an ejection after it.
        self.last_outcome_us = 0
        # Outlier ejections in a row, and the end of the latest.
        self.ejections = 0
        self.ejected_until_us = 0
        # Slow start: from when this balancer's share of a cold server allows the next request.
        self.next_send_us = 0

    def is_available(self, now_us: int) -> bool:
        """Whether the server is not ejected and has no overdue attempt."""
        return self.ejected_until_us <= now_us and not self.overdue
