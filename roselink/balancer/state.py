"""State that the modules of one balancer share."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from roselink.balancer.interface import Route, Settings
from roselink.balancer.request_state import RouteState

if TYPE_CHECKING:
    from roselink.balancer.server_state import ServerState

# Decay time of outcomes, as a fraction of `ask_within_us`. Higher widens windows; lower keeps
# payoffs fresher.
DECAY_TIME_FRACTION = 0.25
# Requests over which the mean work is smoothed.
COST_SAMPLES_MAX = 64


class BalancerState:
    """Settings, clock, random source, servers and recent load of one balancer."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Starts without servers and traffic."""
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = 0
        self.routes = [RouteState(spec) for spec in settings.routes or (Route(),)]
        self.servers: dict[int, ServerState] = {}
        # The ready servers, in the same order at every balancer.
        self.candidates: list[ServerState] = []
        # Those of them that are in slow start.
        self.cold: list[ServerState] = []
        # Requests in the queues, including closed ones.
        self.queued = 0
        # Attempts of this balancer in flight at warm servers.
        self.in_flight = 0
        # Time constant of the exponential decay of outcomes and arrivals.
        self.decay_time_us = DECAY_TIME_FRACTION * settings.ask_within_us
        # Number of recent arrivals, with exponential decay.
        self.recent_arrivals = 0.0
        self.recent_arrivals_updated_us = 0
        # Mean work of a request. Until learned, an estimate weighted by work, so that the first
        # slow-start pauses are not too short for expensive classes.
        costs = [route.cost_us for route in self.routes]
        self.mean_cost_us = sum(cost * cost for cost in costs) / sum(costs)
        self.cost_samples = 1

    def count_arrival(self) -> None:
        """Adds one arrival to the recent arrivals."""
        elapsed_us = self.now_us - self.recent_arrivals_updated_us
        self.recent_arrivals = 1.0 + self.recent_arrivals * math.exp(
            -elapsed_us / self.decay_time_us
        )
        self.recent_arrivals_updated_us = self.now_us

    def learn_cost(self, cost_us: float) -> None:
        """Updates the mean work from that of one request."""
        self.cost_samples = min(COST_SAMPLES_MAX, self.cost_samples + 1)
        self.mean_cost_us += (cost_us - self.mean_cost_us) / self.cost_samples
