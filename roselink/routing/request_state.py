"""One request and its attempts, from its arrival to its final response and its last outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from roselink.routing.classifier import NEVER_SENT
from roselink.routing.outcome import NEVER_RAN, Outcome

if TYPE_CHECKING:
    from roselink.routing.events_and_actions import RequestFacts
    from roselink.routing.host_record import HostRecord
    from roselink.routing.policy import EffectivePolicy, RouteLatencies

# Attempts that may end unsent beyond the bound on attempts.
MAX_UNSENT_ATTEMPTS = 3


class RequestPhase(Enum):
    """What a request is waiting for."""

    AWAITING_HOST = auto()
    # For the outcomes of its attempts.
    IN_FLIGHT = auto()
    BACKING_OFF = auto()
    # For the owner of the service's shared slack.
    AWAITING_BUDGET = auto()
    # For the outcomes of attempts that no longer matter.
    CLOSED = auto()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt.

    Attributes:
        host: Where it went.
        sent_at: When, in seconds.
        pending_prompt_tokens: Prompt tokens still counted at its host.
        resumed: It resumes a stream of which the client has a part; it has no first event.
        is_probe: It is the probe request of a host on probation.
        outcome: How it ended; None while it is in flight.
        first_event_seen: Whether its first event came.
        overdue: It is past the target latency, and was counted as a miss.
    """

    host: HostRecord
    sent_at: float
    pending_prompt_tokens: int
    resumed: bool
    is_probe: bool = False
    outcome: Outcome | None = None
    first_event_seen: bool = False
    overdue: bool = False


@dataclass(slots=True, eq=False)
class Request:
    """A client's request.

    Attributes:
        facts: What decisions need of it.
        policy: Its route's policy, as it was at the arrival.
        route: What was learned of its route's latencies.
        phase: What it is waiting for.
        attempts: In the order in which they were sent.
        in_flight: Attempts without an outcome.
        failed_groups: Retry groups (an attempt and its hedges) that failed.
        progressed: Part of its stream went on to the client.
        winner: The attempt whose stream goes on to the client.
    """

    facts: RequestFacts
    policy: EffectivePolicy
    route: RouteLatencies
    phase: RequestPhase = RequestPhase.AWAITING_HOST
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    failed_groups: int = 0
    progressed: bool = False
    winner: Attempt | None = None

    @property
    def closed(self) -> bool:
        """Whether it has its final response."""
        return self.phase is RequestPhase.CLOSED

    def is_streaming(self) -> bool:
        """Whether its response is on its way to the client."""
        return self.winner is not None and self.winner.outcome is None

    def may_repeat(self) -> bool:
        """Whether it may run again; only a stream may once the client has part of it."""
        return self.policy.repeatable and (self.policy.streaming or not self.progressed)

    def has_attempts_left(self) -> bool:
        """Whether the bound on attempts leaves one more; a few that ended unsent are free."""
        unsent = sum(attempt.outcome in NEVER_SENT for attempt in self.attempts)
        sent = len(self.attempts) - unsent
        return sent < self.policy.max_attempts and unsent <= MAX_UNSENT_ATTEMPTS

    def may_have_run(self) -> bool:
        """Whether a host may have begun to work on it."""
        return any(attempt.outcome not in NEVER_RAN for attempt in self.attempts)

    def attempted_hosts(self) -> set[HostRecord]:
        """Hosts that an attempt was sent to."""
        return {attempt.host for attempt in self.attempts}
