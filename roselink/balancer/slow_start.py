"""Slow start (rule 4): a cold server gets no more work than all balancers together may send it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.balancer.kind_speeds import KindSpeeds
    from roselink.balancer.request_state import Request
    from roselink.balancer.server_state import ServerState
    from roselink.balancer.state import BalancerState

# Fraction of the operators' cold-start budget to use at most: sends of many balancers cluster.
COLD_BUDGET_FRACTION = 0.5
# Least load of cold servers, as a fraction of the most.
MIN_LOAD_FRACTION = 0.25
# What the load of cold servers gains by an answer in time, and loses by another outcome.
LOAD_INCREASE = 0.01
LOAD_DECREASE = 0.1


class SlowStart:
    """Spaces the sends to each cold server.

    A send is followed by a pause in which an even share of the server's capacity does its work:
    the capacity that it surely has by now, divided by the number of balancers.
    """

    def __init__(self, state: BalancerState, speeds: KindSpeeds) -> None:
        """Starts with as much work as the cold servers surely can do."""
        self._state = state
        self.speeds = speeds
        # Work offered to cold servers by all balancers, over what they surely can do.
        self.load_factor = 1.0

    def is_cold(self, server: ServerState) -> bool:
        """Whether it started less than the settings' `cold_us` ago."""
        started_us = server.spec.started_us or 0
        return bool(started_us) and self._state.now_us < started_us + self._state.settings.cold_us

    def capacity_fraction(self, server: ServerState) -> float:
        """The fraction of its capacity that a server surely has by now."""
        if not self.is_cold(server):
            return 1.0
        settings = self._state.settings
        age_us = max(0, self._state.now_us - (server.spec.started_us or 0))
        return settings.cold_from + (1.0 - settings.cold_from) * age_us / settings.cold_us

    def core_speed(self, server: ServerState) -> float:
        """Work in a unit of time that a core surely does: as warm ones of its kind, less by age."""
        return self.capacity_fraction(server) * self.speeds.speed(server.spec.kind)

    def start(self, server: ServerState) -> None:
        """Begins a cold server with a random pause.

        Guards against all balancers sending to it at the same time.
        """
        if self.is_cold(server):
            self.pause(server, self._state.mean_cost_us * self._state.random.random())

    def pause(self, server: ServerState, cost_us: float) -> None:
        """Adds the pause that follows work of `cost_us`."""
        begin_us = max(server.next_send_us, self._state.now_us)
        server.next_send_us = begin_us + self._pause_us(server, cost_us)

    def allows(self, request: Request, server: ServerState) -> bool:
        """Whether a server may have a request: it is warm, or its pause is over and time is left.

        The time left is to suffice for the work at the server's present speed.
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
        """Learns the load from one answer of a cold server.

        Most cold servers warm sooner than their operators promise, and some are bad: answers tell
        how much they can take.
        """
        max_load = COLD_BUDGET_FRACTION * self._state.settings.fall_multiple
        change = LOAD_INCREASE if in_time else -LOAD_DECREASE
        self.load_factor = min(
            max_load, max(max_load * MIN_LOAD_FRACTION, self.load_factor + change)
        )

    def _pause_us(self, server: ServerState, cost_us: float) -> int:
        """How long our even share of what a cold server can do takes to do this work."""
        settings = self._state.settings
        cores = max(1.0, server.spec.hint) if settings.hints_are_sizes else 1.0
        speed = self.load_factor * cores * self.core_speed(server) / settings.balancers
        return int(cost_us / speed)

    def _skip_missed_slots(self, server: ServerState) -> None:
        """Moves a turn not used in time to the end of a later pause.

        Guards against a burst after a calm stretch, in which all balancers at once would use the
        turns that they kept.
        """
        state = self._state
        unused_us = state.now_us - server.next_send_us
        expired_us = unused_us - COLD_BUDGET_FRACTION * state.settings.fall_window_us
        if expired_us > 0:
            pause_us = max(1, self._pause_us(server, state.mean_cost_us))
            server.next_send_us += math.ceil(expired_us / pause_us) * pause_us
