"""What a balancer knows of one server."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.balancer.interface import Server

# Payoff of a server of which nothing is known.
INITIAL_PAYOFF = 0.5


class ServerState:
    """A listed server with its payoff, ejection and slow start."""

    def __init__(self, spec: Server) -> None:
        """A server of which nothing but its line in the list is known."""
        self.spec = spec
        self.payoff = INITIAL_PAYOFF
        # Its position in the order of servers that is common to all balancers.
        self.order_key = zlib.crc32(b"%d" % spec.id)
        # Own attempts in flight, and those of them that are past their aim.
        self.in_flight = 0
        self.overdue = 0
        # Time of its last outcome.
        self.observed_us = 0
        # Outlier ejections in a row, and the end of the latest.
        self.ejections = 0
        self.ejected_until_us = 0
        # Slow start: when our fraction of a cold server's capacity allows the next request.
        self.next_send_us = 0

    def is_available(self, now_us: int) -> bool:
        """Whether it is neither ejected nor has an overdue attempt."""
        return self.ejected_until_us <= now_us and not self.overdue
