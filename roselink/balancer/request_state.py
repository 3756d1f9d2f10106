"""State of routes, of open requests and of their attempts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from roselink.routing.latency_tracker import LatencyTracker
from roselink.routing.outcome import NEVER_RAN, Outcome
from roselink.routing.token_bucket import TokenBucket

if TYPE_CHECKING:
    from roselink.balancer.interface import Arrived, Route
    from roselink.balancer.server_state import ServerState

TRACKED_LATENCIES = 128  # newest ones of a route, from which its percentiles are computed
# Answers after which only those of idle servers change a route's cost: latencies under overload
# must not become the reference.
COST_SAMPLES_MIN = 64
# Most answers over which a route's cost is averaged.
COST_SAMPLES_MAX = 1024


class RouteState:
    """A route with its retry budget, its latencies and its queues."""

    def __init__(self, spec: Route) -> None:
        """Starts without answers."""
        self.spec = spec
        self.retry_budget = TokenBucket(1.0)
        self.latency = LatencyTracker(maxlen=TRACKED_LATENCIES)
        self.target_latency_us = spec.aim_us or spec.deadline_us
        # Latency of an idle server; a cautious estimate until learned.
        self.cost_us = self.target_latency_us / 4
        # Number of answers learned from.
        self.samples = 0
        # Smoothed time-out of the clients.
        self.client_timeout_us = 0.0
        # Attempts with the time from which they are overdue, in order.
        self.overdue_schedule: deque[tuple[int, Attempt]] = deque()
        # Requests within their tenant's quota, and those over it.
        self.queues: tuple[deque[Request], deque[Request]] = (deque(), deque())

    def learn_cost(self, latency_us: int, *, idle_server: bool) -> None:
        """Updates the cost from the latency of one success."""
        self.samples += 1
        if idle_server or self.samples < COST_SAMPLES_MIN:
            step_us = (latency_us - self.cost_us) / min(self.samples, COST_SAMPLES_MAX)
            # The cost is a divisor, so it must not be 0.
            self.cost_us = max(1.0, self.cost_us + step_us)


class Attempt:
    """One send of a request to a server."""

    def __init__(self, server: ServerState, sent_us: int, request: Request, *, warm: bool) -> None:
        """Starts an attempt of `request`; `warm`: its server is not in slow start."""
        self.server = server
        self.sent_us = sent_us
        self.cost_us = request.cost_us
        # Whether the client stated the work of its request.
        self.has_work_hint = request.has_work_hint
        self.warm = warm
        self.outcome: Outcome | None = None
        # Whether this balancer had no other attempt at the server at the start of this one.
        self.idle_server = not server.in_flight
        # Whether the attempt has been counted as overdue.
        self.overdue = False
        # Whether the concurrency limit allows no further attempt beside this one.
        self.at_limit = False


class Request:
    """A client's request, kept until its final answer and the last outcome of its attempts."""

    def __init__(
        self, event: Arrived, route: RouteState, now_us: int, *, low_priority: bool
    ) -> None:
        """Reads an arrived request; `low_priority`: over its quota, or marked as a repeat."""
        self.id = event.request
        self.route = route
        self.cost_us = float(event.work_us or route.cost_us)
        self.has_work_hint = bool(event.work_us)
        self.low_priority = low_priority
        self.give_up_us = event.give_up_us
        # An answer after this time has less value.
        self.objective_deadline_us = event.give_up_us
        if route.spec.aim_us is not None:
            objective_us = route.spec.aim_us + int(route.spec.aim_stretch * self.cost_us)
            self.objective_deadline_us = min(self.give_up_us, now_us + objective_us)
        # An answer after this time has no value.
        self.useful_until_us = (
            self.give_up_us if route.spec.late_worth else self.objective_deadline_us
        )
        self.attempts: list[Attempt] = []
        self.in_flight = 0
        # Retry groups (an attempt and its hedge) that have ended without an answer.
        self.retry_groups = 0
        self.closed = False

    def may_have_run(self) -> list[Attempt]:
        """Attempts that a server may have run, including those in flight."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]
