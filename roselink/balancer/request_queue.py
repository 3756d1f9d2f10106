"""Queues of requests that wait for capacity: longest wait and order."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import deque

    from roselink.balancer.request_state import Request
    from roselink.balancer.state import BalancerState

# Largest fraction of the time left to its objective that a request is queued. Higher: capacity may
# become available here; lower: more time for a retry at another balancer.
MAX_QUEUED_FRACTION = 0.2


def max_queued_us(state: BalancerState, request: Request) -> float:
    """How long a request may wait and still meet its objective, here or elsewhere."""
    latency_us = request.route.latency.percentile(0.5) or request.cost_us
    last_send_us = request.objective_deadline_us - latency_us
    # A retry at another balancer, which may have capacity now, must meet the objective too.
    return min(
        last_send_us - state.now_us,
        MAX_QUEUED_FRACTION * (request.objective_deadline_us - state.now_us),
    )


def queues_by_value(state: BalancerState) -> list[deque[Request]]:
    """Orders the queues by value per cost; low-priority ones count at `over_quota_worth` of it."""
    weights = (-1.0, -state.settings.over_quota_worth)
    queues = [
        (weights[priority] * route.spec.worth / route.cost_us, queue)
        for route in state.routes
        for priority, queue in enumerate(route.queues)
    ]
    return [queue for _, queue in sorted(queues, key=lambda entry: entry[0])]
