"""Payoffs of hosts, pooled from what all gateways report. Sans I/O; `now` in seconds of a steady
clock.

Evidence halves with time, and what is kept of it is bounded: a host that recovers is believed soon.
A host that few requests reach any more, since it is avoided, returns by that alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.protocol.payoffs import HostOutcomes, HostPayoff, PooledPayoffs
from roselink.protocol.records import encode

if TYPE_CHECKING:
    from collections.abc import Iterable

HALF_S = 2.0
MOST_WEIGHT = 12.0  # outcomes that are remembered of a host
LEAST_WEIGHT = 0.05  # below, a host is forgotten
PRIOR = 1.0  # outcomes that speak for a host before any came
FALLEN = 0.75  # payoffs below this are told
STEP = 5  # hundredths that payoffs are rounded to, so that what is told changes seldom
PUBLISH_S = 0.1  # between two sums
MOST_HOSTS = 4096
MOST_COUNT = 1000  # of a report's own figures


@dataclass(slots=True)
class _Evidence:
    served: float
    missed: float
    at: float

    def age(self, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self.at) / HALF_S)
        self.served, self.missed, self.at = (
            self.served * kept,
            self.missed * kept,
            max(self.at, now),
        )

    def add(self, served: int, missed: int) -> None:
        self.served += min(MOST_COUNT, max(0, served))
        self.missed += min(MOST_COUNT, max(0, missed))
        excess = (self.served + self.missed) / MOST_WEIGHT
        if excess > 1.0:
            self.served, self.missed = self.served / excess, self.missed / excess

    def payoff(self) -> float:
        return (self.served + PRIOR) / (self.served + self.missed + PRIOR)


class PayoffPool:
    """The evidence of one member while it is the tail."""

    def __init__(self) -> None:
        self._hosts: dict[str, _Evidence] = {}
        self._told = b""
        self._summed_at = float("-inf")

    def heard(self, now: float, outcomes: Iterable[HostOutcomes]) -> None:
        """A gateway's report."""
        for outcome in outcomes:
            known = self._hosts.get(outcome.host)
            if known is None:
                if len(self._hosts) >= MOST_HOSTS:
                    continue
                known = self._hosts[outcome.host] = _Evidence(0.0, 0.0, now)
            known.age(now)
            known.add(outcome.served, outcome.missed)

    def told(self, now: float) -> bytes:
        """The `PooledPayoffs` record to send; empty when no host's payoff has fallen."""
        if now - self._summed_at >= PUBLISH_S:
            self._summed_at = now
            fallen = self._fallen(now)
            self._told = encode(PooledPayoffs(fallen)) if fallen else b""
        return self._told

    def _fallen(self, now: float) -> tuple[HostPayoff, ...]:
        fallen = []
        for name, evidence in list(self._hosts.items()):
            evidence.age(now)
            if evidence.served + evidence.missed < LEAST_WEIGHT:
                del self._hosts[name]
            elif evidence.payoff() < FALLEN:
                fallen.append(HostPayoff(name, STEP * round(evidence.payoff() * 100 / STEP)))
        return tuple(sorted(fallen, key=lambda entry: entry.host))
