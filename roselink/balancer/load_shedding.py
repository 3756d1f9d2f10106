"""Load shedding: the fraction of requests that is admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.payoff import EWMA_WEIGHT

if TYPE_CHECKING:
    from roselink.balancer.state import BalancerState

# Fraction of attempts in time at which the admitted fraction is steady. Higher wastes less work;
# lower uses the fleet more.
IN_TIME_TARGET = 0.7
# Change of the admitted fraction by all recent outcomes together, per unit of distance from the
# target. Higher reacts sooner; lower is steadier.
SHEDDING_GAIN = 4.0
# Least admitted fraction. Higher notices the end of an overload sooner; lower adds less to it.
MIN_ADMITTED_FRACTION = 0.1


class LoadShedder:
    """Lowers the admitted fraction while too few attempts are in time.

    Ends overload that no limit of a single balancer can bound.
    """

    def __init__(self, state: BalancerState) -> None:
        """Starts by admitting every request."""
        self._state = state
        self.admitted_fraction = 1.0

    def observe(self, value: float) -> None:
        """Updates the fraction from one outcome: 1 if it was in time, else 0."""
        step = SHEDDING_GAIN / max(1.0 / EWMA_WEIGHT, self._state.recent_arrivals)
        change = (value - IN_TIME_TARGET) * step
        self.admitted_fraction = min(
            1.0, max(MIN_ADMITTED_FRACTION, self.admitted_fraction + change)
        )
