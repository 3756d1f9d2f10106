"""Outlier ejection: servers that keep failing get no requests for a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.interface import Log
from roselink.balancer.server_state import INITIAL_PAYOFF

if TYPE_CHECKING:
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.state import BalancerState

# Payoff below which a server is ejected. Higher ejects bad ones sooner; lower spares unlucky ones.
EJECTION_PAYOFF = 0.3
# First ejection, but at least the longest deadline: a multiple of the work of one trial request per
# balancer that shares the server. Higher: fewer trials if broken; lower: back sooner if recovered.
EJECTION_TRIALS = 2.0
# Longest ejection, as a multiple of the first.
MAX_EJECTION_MULTIPLE = 4


def eject_outlier(state: BalancerState, server: ServerState) -> Log | None:
    """Ejects a server with a low payoff, for longer each time; returns the log line if it did."""
    if server.payoff >= EJECTION_PAYOFF or server.ejected_until_us > state.now_us:
        return None
    # Trial requests from all balancers that share a server must not overload it.
    sharing_fraction = min(1.0, state.recent_arrivals / max(1, len(state.candidates)))
    sharing_balancers = state.settings.balancers * sharing_fraction
    base_us = max(
        EJECTION_TRIALS * sharing_balancers * state.mean_cost_us,
        *(route.spec.deadline_us for route in state.routes),
    )
    ejection_us = int(base_us * min(MAX_EJECTION_MULTIPLE, 2**server.ejections))
    server.ejections += 1
    server.ejected_until_us = state.now_us + ejection_us
    server.last_outcome_us = server.ejected_until_us
    server.payoff = INITIAL_PAYOFF
    return Log(f"eject server={server.spec.id} for_ms={ejection_us // 1000}")
