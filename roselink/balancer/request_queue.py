"""The queues of requests that wait for capacity: how long one waits, and which goes first."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import deque

    from roselink.balancer.request_state import Request
    from roselink.balancer.state import BalancerState

# Fraction of its aim that a request is queued here at most: capacity may come, against tries
# elsewhere.
MAX_QUEUED_FRACTION = 0.2


def max_queued_us(state: BalancerState, request: Request) -> float:
    """How long a request may wait so that it can still meet its aim, here or elsewhere."""
    latency_us = request.route.latency.percentile(0.5) or request.cost_us
    last_send_us = request.aim_deadline_us - latency_us
    # A try elsewhere has to come in time as well, and others may have capacity while there is none
    # here.
    return min(
        last_send_us - state.now_us,
        MAX_QUEUED_FRACTION * (request.aim_deadline_us - state.now_us),
    )


def queues_by_value(state: BalancerState) -> list[deque[Request]]:
    """Worth for cost first; over-quota tenants and marked repeats last."""
    weights = (-1.0, -state.settings.over_quota_worth)
    queues = [
        (weights[priority] * route.spec.worth / route.cost_us, queue)
        for route in state.routes
        for priority, queue in enumerate(route.queues)
    ]
    return [queue for _, queue in sorted(queues, key=lambda entry: entry[0])]
