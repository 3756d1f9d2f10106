"""Outlier ejection: servers that keep failing get nothing for a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.interface import Log
from roselink.balancer.server_state import INITIAL_PAYOFF

if TYPE_CHECKING:
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.state import BalancerState

# A payoff below this ejects: quick to leave a bad server against patience with an unlucky one.
EJECTION_PAYOFF = 0.3
# First ejection, in the work of one trial by each balancer sharing: pause against early return.
EJECTION_TRIALS = 2.0
# An ejection is at most so many times as long as the first.
MAX_EJECTION_MULTIPLE = 4


def eject_outlier(state: BalancerState, server: ServerState) -> Log | None:
    """Ejects a server whose payoff is too low, for longer each time; the line to log if it did."""
    if server.payoff >= EJECTION_PAYOFF or server.ejected_until_us > state.now_us:
        return None
    # Guards against the trials of all that share a server jamming what they test.
    sharing_fraction = min(1.0, state.recent_arrivals / max(1, len(state.candidates)))
    sharing_balancers = state.settings.balancers * sharing_fraction
    base_us = max(
        EJECTION_TRIALS * sharing_balancers * state.mean_cost_us,
        *(route.spec.deadline_us for route in state.routes),
    )
    ejection_us = int(base_us * min(MAX_EJECTION_MULTIPLE, 2**server.ejections))
    server.ejections += 1
    server.ejected_until_us = state.now_us + ejection_us
    server.observed_us = server.ejected_until_us
    server.payoff = INITIAL_PAYOFF
    return Log(f"eject server={server.spec.id} for_ms={ejection_us // 1000}")
