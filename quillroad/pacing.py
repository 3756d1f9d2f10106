"""When to call discovery: paced by the size of the fleet, so that its gateways do not starve one another.

Discovery is one service for all gateways and handles calls in turn. A call that waits too long there fails,
yet its turn is worked off all the same. Gateways that all call at once, and again soon after they all failed,
thus keep its queue longer than any call may wait, for good. So the time over which the calls are spread grows
with the number of gateways, and the jitter covers all of it: what failed together must not return together.
"""

from __future__ import annotations

import random

SLOT_S = 0.1  # for each gateway's call: lists that come sooner against the load of a whole fleet's calls
SPREAD_LEAST_S = 1.0  # the spread grows to this at least: a few gateways need not hurry a service in trouble


class CallPacing:
    """The waits of one gateway between its calls for a watch."""

    def __init__(self, gateways: int, seed: int) -> None:
        self._slot_s = SLOT_S * gateways
        self._most_s = max(SPREAD_LEAST_S, 4 * self._slot_s)
        self._random = random.Random(seed)
        self._spread_s = self._slot_s

    def start_s(self) -> float:
        """Before the first call: after a release or a power cut the whole fleet starts at once."""
        return self._random.random() * self._slot_s

    def lost_s(self, heard: bool) -> float:
        """Before the next call, after a watch ended; `heard`: it had told something, so calls are served."""
        self._spread_s = self._slot_s if heard else min(self._most_s, 2 * self._spread_s)
        return self._random.random() * self._spread_s
