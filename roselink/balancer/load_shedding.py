"""Load shedding: the fraction of requests that is admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.payoff import EWMA_WEIGHT

if TYPE_CHECKING:
    from roselink.balancer.state import BalancerState

# Fraction of attempts in time at which load shedding holds steady: use of the fleet against wasted
# work.
IN_TIME_TARGET = 0.7
# What a memory full of good or bad outcomes would move the admitted fraction by: speed against
# calm.
SHEDDING_GAIN = 4.0
# Fraction still admitted at the worst: finding out that it is over against feeding a jam.
MIN_ADMITTED = 0.1


class LoadShedder:
    """Admits less while too few attempts are in time.

    Guards against jams that no limit of one balancer can bound.
    """

    def __init__(self, state: BalancerState) -> None:
        """Admits everything."""
        self._state = state
        self.admitted_fraction = 1.0

    def observe(self, value: float) -> None:
        """Learns from one outcome: 1 if it was in time, else 0."""
        step = SHEDDING_GAIN / max(1.0 / EWMA_WEIGHT, self._state.recent_arrivals)
        change = (value - IN_TIME_TARGET) * step
        self.admitted_fraction = min(1.0, max(MIN_ADMITTED, self.admitted_fraction + change))
