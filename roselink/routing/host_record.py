"""What one gateway knows of one host: payoff, own requests there, failures and rests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.model.fleet import Host

UNKNOWN = 0.5  # payoff of a host that nothing is known of
SMOOTH = 0.12  # weight of the newest outcome in a payoff
FAILURES = 2  # failures in a row without a sign of life that rest a host
FIRST_REST_S, LONGEST_REST_S = 0.2, 2.0
LIGHT = 8.0  # a host of this capacity or less feels each request as a whole one
SATURATED = 0.25  # part of a host's limit that one gateway may fill before it counts as saturated
FULL_PART = 0.8  # of the own requests out at a refusal: the new limit


@dataclass(slots=True, eq=False)
class HostRecord:
    """One host. `reading`: own prompt tokens sent there that no first event has answered yet."""

    spec: Host
    limit: float
    payoff: float = UNKNOWN
    pooled: float = 1.0  # payoff over all gateways; 1 where nothing speaks against it
    served_untold: int = 0  # outcomes that the other gateways have not been told of
    missed_untold: int = 0
    in_flight: int = 0
    reading: int = 0
    heard_at: float = field(default=float("-inf"))
    failures: int = 0
    rests: int = 0
    rested_until: float = 0.0
    probation: bool = False  # rested, and not heard of since: one trial at a time
    trial_out: bool = False

    def available(self, now: float) -> bool:
        """Whether it may get a request: not resting, and no trial of it under way."""
        return self.rested_until <= now and not (self.probation and self.trial_out)

    def has_room(self) -> bool:
        """Whether own requests there are below what it surely takes."""
        return self.in_flight < self.limit

    def saturated(self) -> bool:
        """Whether own requests fill a fair share of it."""
        return self.in_flight >= min(self.limit, max(2.0, SATURATED * self.limit))

    def weight(self) -> float:
        """What one running request takes of it, in whole requests."""
        return min(1.0, LIGHT / max(1, self.spec.capacity))

    def credit(self, worth: float) -> None:
        """Learn from one outcome: 1 if served within the aim, else 0."""
        self.payoff += (worth - self.payoff) * SMOOTH
        if worth > 0:
            self.served_untold += 1
        else:
            self.missed_untold += 1

    def expected(self) -> float:
        """The payoff by which it is compared."""
        return self.payoff * self.pooled

    def alive(self, now: float) -> None:
        """A first event or an answer came from it."""
        self.heard_at = now
        self.failures = self.rests = 0
        self.probation = self.trial_out = False

    def served(self) -> None:
        """An answer: it takes a little more than was thought."""
        self.limit = min(float(self.spec.capacity), self.limit + 1.0 / self.limit)

    def refused(self) -> None:
        """It was full with the own requests that are out."""
        self.limit = max(1.0, min(self.limit, FULL_PART * (self.in_flight + 1)))

    def failed(self) -> bool:
        """Count a failure without a sign of life; True when it has earned a rest."""
        self.failures += 1
        return self.probation or self.failures >= FAILURES

    def rest(self, now: float) -> None:
        """Send nothing there for a while, longer each time."""
        self.rested_until = now + min(LONGEST_REST_S, FIRST_REST_S * 2.0**self.rests)
        self.rests += 1
        self.failures = 0
        self.probation, self.trial_out = True, False


def new_host_record(spec: Host) -> HostRecord:
    """A host that nothing is known of."""
    return HostRecord(spec, limit=float(max(1, spec.capacity)))
