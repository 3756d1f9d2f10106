"""What one gateway knows of one host: payoff, its own requests there, failures and ejections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.model.fleet import Host

# Payoff of a host that nothing is known of.
INITIAL_PAYOFF = 0.5
# Weight of the newest outcome in a payoff.
PAYOFF_SMOOTHING = 0.12
# Consecutive failures without any response that eject a host.
FAILURES_TO_EJECT = 2
# The first ejection; each further one is twice as long, up to the longest.
FIRST_EJECTION_S = 0.2
LONGEST_EJECTION_S = 2.0
# On a host of this capacity or less each request weighs as a full one.
FULL_WEIGHT_CAPACITY = 8.0
# Fraction of a host's limit that one gateway may use before the host counts as saturated.
SATURATED_FRACTION = 0.25
# Own requests in flight at which no host counts as saturated yet.
MIN_SATURATED = 2.0
# The new limit after a rejection, as a fraction of the own requests in flight.
LIMIT_DECREASE = 0.8


@dataclass(slots=True, eq=False)
class HostRecord:
    """One host. Times in seconds of the decider's clock.

    Attributes:
        spec: The host as listed.
        limit: Own requests in flight that it is believed to accept.
        payoff: Fraction of recent outcomes that met their target, 0 to 1.
        pooled_payoff: The payoff over all gateways; 1 where no gateway reports anything worse.
        unreported_in_time: Outcomes within their target not yet reported to the other gateways.
        unreported_missed: Outcomes that missed it, not yet reported.
        in_flight: Own attempts in flight there.
        pending_prompt_tokens: Own prompt tokens sent there whose attempts have no first event yet.
        last_response_at: When a first event or a response last came from it.
        consecutive_failures: Failures since then or since the last ejection.
        ejections: Ejections since the last response.
        ejected_until: No attempts before this time.
        probation: It was ejected, and has not responded since: one probe request at a time.
        probe_in_flight: Whether that probe request is in flight.
    """

    spec: Host
    limit: float
    payoff: float = INITIAL_PAYOFF
    pooled_payoff: float = 1.0
    unreported_in_time: int = 0
    unreported_missed: int = 0
    in_flight: int = 0
    pending_prompt_tokens: int = 0
    last_response_at: float = field(default=float("-inf"))
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probation: bool = False
    probe_in_flight: bool = False

    def is_available(self, now: float) -> bool:
        """Whether it may get a request: not ejected, and no probe request of it in flight."""
        return self.ejected_until <= now and not (self.probation and self.probe_in_flight)

    def below_limit(self) -> bool:
        """Whether own requests in flight are fewer than it is believed to accept."""
        return self.in_flight < self.limit

    def is_saturated(self) -> bool:
        """Whether own requests use as much of it as one gateway should."""
        return self.in_flight >= min(
            self.limit, max(MIN_SATURATED, SATURATED_FRACTION * self.limit)
        )

    def request_weight(self) -> float:
        """Load of one running request on it, in full requests."""
        return min(1.0, FULL_WEIGHT_CAPACITY / max(1, self.spec.capacity))

    def record_payoff(self, *, in_time: bool) -> None:
        """Learn from one outcome: payoff 1 if served within the target latency, else 0."""
        if in_time:
            self.payoff += (1.0 - self.payoff) * PAYOFF_SMOOTHING
            self.unreported_in_time += 1
        else:
            self.payoff += (0.0 - self.payoff) * PAYOFF_SMOOTHING
            self.unreported_missed += 1

    def effective_payoff(self) -> float:
        """The payoff by which it is compared: the own one times the one over all gateways."""
        return self.payoff * self.pooled_payoff

    def record_response(self, now: float) -> None:
        """A first event or a response came from it: end failures, ejections and probation."""
        self.last_response_at = now
        self.consecutive_failures = 0
        self.ejections = 0
        self.probation = False
        self.probe_in_flight = False

    def raise_limit(self) -> None:
        """After a success: additive increase, one for each window of successes."""
        self.limit = min(float(self.spec.capacity), self.limit + 1.0 / self.limit)

    def lower_limit(self) -> None:
        """After a rejection: it was full with the own requests in flight."""
        self.limit = max(1.0, min(self.limit, LIMIT_DECREASE * (self.in_flight + 1)))

    def record_failure(self) -> bool:
        """Count a failure without any response; True when it is to be ejected."""
        self.consecutive_failures += 1
        return self.probation or self.consecutive_failures >= FAILURES_TO_EJECT

    def eject(self, now: float) -> None:
        """Send nothing there until `ejected_until`, twice as long each time."""
        duration_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2.0**self.ejections)
        self.ejected_until = now + duration_s
        self.ejections += 1
        self.consecutive_failures = 0
        self.probation = True
        self.probe_in_flight = False


def new_host_record(spec: Host) -> HostRecord:
    """A host that nothing is known of."""
    return HostRecord(spec, limit=float(max(1, spec.capacity)))
