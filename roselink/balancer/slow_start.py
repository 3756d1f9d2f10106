"""Slow start (rule 4 of `decider`): bounds the work of all balancers at a cold server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.balancer.kind_speeds import KindSpeeds
    from roselink.balancer.request_state import Request
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.state import BalancerState

# Largest fraction of `fall_multiple` and `fall_window_us` to use, as sends of balancers cluster.
COLD_BUDGET_FRACTION = 0.5
# Lower bound of the load factor, as a fraction of its upper bound.
MIN_LOAD_FRACTION = 0.25
# Increase of the load factor by an answer in time, and decrease by any other outcome.
LOAD_INCREASE = 0.01
LOAD_DECREASE = 0.1


class SlowStart:
    """Spaces the sends to each cold server.

    Each send is followed by a pause, as long as an even share of the server's capacity takes for
    the work: the capacity guaranteed by now, divided by the number of balancers.
    """

    def __init__(self, state: BalancerState, speeds: KindSpeeds) -> None:
        """Starts with as much work as the guaranteed capacity of cold servers."""
        self._state = state
        self.speeds = speeds
        # Work sent to cold servers by all balancers, relative to their guaranteed capacity.
        self.load_factor = 1.0

    def is_cold(self, server: ServerState) -> bool:
        """Whether the server started less than `Settings.cold_us` ago."""
        started_us = server.spec.started_us or 0
        return bool(started_us) and self._state.now_us < started_us + self._state.settings.cold_us

    def capacity_fraction(self, server: ServerState) -> float:
        """Fraction of its capacity that a server is guaranteed to have by now."""
        if not self.is_cold(server):
            return 1.0
        settings = self._state.settings
        age_us = max(0, self._state.now_us - (server.spec.started_us or 0))
        return settings.cold_from + (1.0 - settings.cold_from) * age_us / settings.cold_us

    def core_speed(self, server: ServerState) -> float:
        """Guaranteed work per unit of time of a core: that of a warm one, reduced in slow start."""
        return self.capacity_fraction(server) * self.speeds.speed(server.spec.kind)

    def start(self, server: ServerState) -> None:
        """Begins the slow start of a cold server with a random pause.

        Without it, all balancers would send to the server at the same time.
        """
        if self.is_cold(server):
            self.pause(server, self._state.mean_cost_us * self._state.random.random())

    def pause(self, server: ServerState, cost_us: float) -> None:
        """Adds the pause that follows work of `cost_us`."""
        begin_us = max(server.next_send_us, self._state.now_us)
        server.next_send_us = begin_us + self._pause_us(server, cost_us)

    def allows(self, request: Request, server: ServerState) -> bool:
        """Whether a server may take a request: it is warm, or its pause is over and time suffices.

        The remaining time must cover the work at the server's current speed.
        """
        if not self.is_cold(server):
            return True
        self._skip_missed_slots(server)
        now_us = self._state.now_us
        remaining_us = request.useful_until_us - now_us
        return (
            server.next_send_us <= now_us
            and request.cost_us <= self.core_speed(server) * remaining_us
        )

    def learn(self, *, in_time: bool) -> None:
        """Updates the load factor from one outcome of a cold server.

        Most cold servers warm up sooner than the operators guarantee, and some are bad: outcomes
        show how much work they can take.
        """
        max_load = COLD_BUDGET_FRACTION * self._state.settings.fall_multiple
        change = LOAD_INCREASE if in_time else -LOAD_DECREASE
        self.load_factor = min(
            max_load, max(max_load * MIN_LOAD_FRACTION, self.load_factor + change)
        )

    def _pause_us(self, server: ServerState, cost_us: float) -> int:
        """How long this balancer's share of a cold server takes for work of `cost_us`."""
        settings = self._state.settings
        cores = max(1.0, server.spec.hint) if settings.hints_are_sizes else 1.0
        speed = self.load_factor * cores * self.core_speed(server) / settings.balancers
        return int(cost_us / speed)

    def _skip_missed_slots(self, server: ServerState) -> None:
        """Moves a send slot that was not used in time to the end of a later pause.

        Otherwise, after a time without traffic, all balancers would use their old slots in one
        burst.
        """
        state = self._state
        unused_us = state.now_us - server.next_send_us
        expired_us = unused_us - COLD_BUDGET_FRACTION * state.settings.fall_window_us
        if expired_us > 0:
            pause_us = max(1, self._pause_us(server, state.mean_cost_us))
            server.next_send_us += math.ceil(expired_us / pause_us) * pause_us
