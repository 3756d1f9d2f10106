"""One gateway's record of one host: payoff, own requests in flight, limit and ejections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.model.fleet import Host

# Payoff of a new host.
INITIAL_PAYOFF = 0.5
# Weight of the newest outcome in a payoff (an exponential moving average). A larger one reacts to
# changes sooner; a smaller one varies less with single outcomes.
PAYOFF_SMOOTHING = 0.12
# Consecutive failures without any response after which a host is ejected. More of them tolerate
# isolated failures; fewer eject a failed host sooner.
FAILURES_TO_EJECT = 2
# Duration of the first ejection; each further one is twice as long, up to the longest. Longer ones
# probe a failed host less often; shorter ones use a recovered host sooner.
FIRST_EJECTION_S = 0.2
LONGEST_EJECTION_S = 2.0
# Capacity up to which each request in flight counts as a full one; above it, as less.
FULL_WEIGHT_CAPACITY = 8.0
# Fraction of a host's limit from which one gateway's own requests count as saturating it. A larger
# one keeps keys at their hosts under load; a smaller one moves them to the next hosts of the ring.
SATURATED_FRACTION = 0.25
# Own requests in flight below which no host with a higher limit counts as saturated.
MIN_SATURATED = 2.0
# Multiplicative decrease: the limit after a rejection, relative to own requests in flight,
# including the rejected one. A smaller factor backs off further, and recovers later.
LIMIT_DECREASE = 0.8


@dataclass(slots=True, eq=False)
class HostRecord:
    """One gateway's record of one host; times in seconds of the decider's clock.

    Attributes:
        spec: The host's entry in the platform's list.
        limit: Adaptive limit of own requests in flight.
        payoff: Moving average of outcomes that met the target latency, from 0 to 1.
        pooled_payoff: The payoff pooled over all gateways; 1 unless they report a lower one.
        unreported_in_time: Outcomes that met the target, not yet reported to other gateways.
        unreported_missed: Outcomes that missed the target, not yet reported.
        in_flight: Own attempts in flight.
        pending_prompt_tokens: Prompt tokens to prefill for own attempts without a first event.
        last_response_at: When it last sent a first event or a response.
        consecutive_failures: Failures since the last response or ejection.
        ejections: Ejections since the last response.
        ejected_until: Time before which it gets no attempts.
        probation: Whether it was ejected and has not responded since; it then gets one probe
            request at a time.
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
        """Whether it may get a request: not ejected, and no probe request in flight."""
        return self.ejected_until <= now and not (self.probation and self.probe_in_flight)

    def below_limit(self) -> bool:
        """Whether own requests in flight are below the limit."""
        return self.in_flight < self.limit

    def is_saturated(self) -> bool:
        """Whether own requests in flight reach the fraction of the limit for one gateway."""
        return self.in_flight >= min(
            self.limit, max(MIN_SATURATED, SATURATED_FRACTION * self.limit)
        )

    def request_weight(self) -> float:
        """The load that one request in flight counts as, at most 1."""
        return min(1.0, FULL_WEIGHT_CAPACITY / max(1, self.spec.capacity))

    def record_payoff(self, *, in_time: bool) -> None:
        """Update the payoff from one outcome: 1 if it met the target latency, else 0."""
        if in_time:
            self.payoff += (1.0 - self.payoff) * PAYOFF_SMOOTHING
            self.unreported_in_time += 1
        else:
            self.payoff += (0.0 - self.payoff) * PAYOFF_SMOOTHING
            self.unreported_missed += 1

    def effective_payoff(self) -> float:
        """The payoff that host choice uses: the own one times the pooled one."""
        return self.payoff * self.pooled_payoff

    def record_response(self, now: float) -> None:
        """Reset failures, ejections and probation after a first event or a response."""
        self.last_response_at = now
        self.consecutive_failures = 0
        self.ejections = 0
        self.probation = False
        self.probe_in_flight = False

    def raise_limit(self) -> None:
        """Additive increase after a success: by 1 per `limit` successes, up to the capacity."""
        self.limit = min(float(self.spec.capacity), self.limit + 1.0 / self.limit)

    def lower_limit(self) -> None:
        """Multiplicative decrease after the host rejected an attempt as full."""
        self.limit = max(1.0, min(self.limit, LIMIT_DECREASE * (self.in_flight + 1)))

    def record_failure(self) -> bool:
        """Count a failure without any response; True if the host should be ejected."""
        self.consecutive_failures += 1
        return self.probation or self.consecutive_failures >= FAILURES_TO_EJECT

    def eject(self, now: float) -> None:
        """Eject the host, for twice as long each time up to `LONGEST_EJECTION_S`."""
        duration_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2.0**self.ejections)
        self.ejected_until = now + duration_s
        self.ejections += 1
        self.consecutive_failures = 0
        self.probation = True
        self.probe_in_flight = False


def new_host_record(spec: Host) -> HostRecord:
    """A record of a new host, whose limit is its capacity."""
    return HostRecord(spec, limit=float(max(1, spec.capacity)))
