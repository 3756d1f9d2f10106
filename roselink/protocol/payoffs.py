"""What gateways tell the core of their hosts, and what it tells all of them: payoffs pooled over
the fleet.

Beside many others a gateway sends a host a request now and then, and learns from these alone too
slowly. The payoff stays the design's: one if served within the aim, else zero.
"""

from __future__ import annotations

from dataclasses import dataclass

from roselink.protocol.records import record


@record(24)
@dataclass(frozen=True, slots=True)
class HostOutcomes:
    """What one gateway saw of a host since it last told: attempts served within the aim, and the
    others.
    """

    host: str
    served: int
    missed: int


@record(25)
@dataclass(frozen=True, slots=True)
class HostPayoff:
    """A host's payoff over all gateways, in hundredths."""

    host: str
    percent: int


@record(26)
@dataclass(frozen=True, slots=True)
class PooledPayoffs:
    """The hosts whose payoff has fallen; of all others nothing speaks against them."""

    hosts: tuple[HostPayoff, ...]
