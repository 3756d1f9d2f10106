"""Records of hosts' payoffs: outcomes that gateways report, and payoffs pooled over the fleet.

In a large fleet each gateway sends a given host few requests, and would learn its payoff too slowly
from these alone. The payoff of an attempt is one if it was served within the objective, else zero.
"""

from __future__ import annotations

from dataclasses import dataclass

from roselink.protocol.records import record


@record(24)
@dataclass(frozen=True, slots=True)
class HostOutcomes:
    """One gateway's attempts at a host since its previous report.

    `served` counts the attempts served within the objective, `missed` all others.
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
    """The hosts whose payoff is below one; every other host has a payoff of one."""

    hosts: tuple[HostPayoff, ...]
