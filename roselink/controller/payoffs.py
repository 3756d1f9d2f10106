"""Payoffs of hosts, pooled from the reports of all gateways. Sans I/O.

A host's payoff is its fraction of served outcomes. Outcomes decay exponentially and their weight is
bounded, so that a host which recovers is trusted soon. A host that gateways avoid gets few new
outcomes; its payoff recovers by the decay alone. `now` is in seconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.protocol.payoffs import HostOutcomes, HostPayoff, PooledPayoffs
from roselink.protocol.records import encode

if TYPE_CHECKING:
    from collections.abc import Iterable

# Half-life of an outcome's weight, in seconds. A longer one avoids a failing host for longer, a
# shorter one returns to a recovered host sooner.
HALF_LIFE_S = 2.0
# Largest total weight of a host's outcomes. A larger one makes payoffs steadier, a smaller one lets
# them change sooner.
MAX_WEIGHT = 12.0
# A host whose outcomes weigh less is dropped.
MIN_WEIGHT = 0.05
# Served outcomes that are assumed of each host in addition to those reported.
PRIOR_SERVED = 1.0
# Only payoffs below this are published.
PUBLISH_BELOW = 0.75
# Payoffs are rounded to multiples of this, so that the published record changes rarely.
ROUNDING_PERCENT = 5
# Shortest time between two encodings of the published record, in seconds.
PUBLISH_INTERVAL_S = 0.1
# Hosts with outcomes; reports about further hosts are ignored.
MAX_HOSTS = 4096
# Each count of one host in one report is limited to this.
MAX_REPORTED_COUNT = 1000


@dataclass(slots=True)
class _DecayedOutcomes:
    """Weights of a host's outcomes, decayed up to the time `updated_at`."""

    served: float
    missed: float
    updated_at: float

    def decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.served *= factor
        self.missed *= factor
        self.updated_at = max(self.updated_at, now)

    def add(self, served: int, missed: int) -> None:
        self.served += min(MAX_REPORTED_COUNT, max(0, served))
        self.missed += min(MAX_REPORTED_COUNT, max(0, missed))
        excess = (self.served + self.missed) / MAX_WEIGHT
        if excess > 1.0:
            self.served /= excess
            self.missed /= excess

    def payoff(self) -> float:
        return (self.served + PRIOR_SERVED) / (self.served + self.missed + PRIOR_SERVED)


class PayoffPool:
    """The hosts' outcomes that one member has pooled while it is the tail."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self._hosts: dict[str, _DecayedOutcomes] = {}
        self._encoded = b""
        self._encoded_at = float("-inf")

    def add_report(self, now: float, outcomes: Iterable[HostOutcomes]) -> None:
        """Add a gateway's report."""
        for outcome in outcomes:
            totals = self._hosts.get(outcome.host)
            if totals is None:
                if len(self._hosts) >= MAX_HOSTS:
                    continue
                totals = self._hosts[outcome.host] = _DecayedOutcomes(0.0, 0.0, now)
            totals.decay(now)
            totals.add(outcome.served, outcome.missed)

    def encoded(self, now: float) -> bytes:
        """The `PooledPayoffs` record to send; empty when no host's payoff is low."""
        if now - self._encoded_at >= PUBLISH_INTERVAL_S:
            self._encoded_at = now
            low = self._low_payoffs(now)
            self._encoded = encode(PooledPayoffs(low)) if low else b""
        return self._encoded

    def _low_payoffs(self, now: float) -> tuple[HostPayoff, ...]:
        low = []
        for name, totals in list(self._hosts.items()):
            totals.decay(now)
            if totals.served + totals.missed < MIN_WEIGHT:
                del self._hosts[name]
            elif totals.payoff() < PUBLISH_BELOW:
                low.append(
                    HostPayoff(
                        name, ROUNDING_PERCENT * round(totals.payoff() * 100 / ROUNDING_PERCENT)
                    )
                )
        return tuple(sorted(low, key=lambda entry: entry.host))
