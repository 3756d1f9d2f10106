"""The state of one request and its attempts, until its final response and last outcome."""

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

# Attempts that may end unsent without counting against the bound on attempts.
MAX_UNSENT_ATTEMPTS = 3


class RequestPhase(Enum):
    """The phase of a request, by what it waits for."""

    AWAITING_HOST = auto()
    # Waits for the outcomes of its attempts.
    IN_FLIGHT = auto()
    BACKING_OFF = auto()
    # Waits for the decision of the owner of the service's shared slack.
    AWAITING_BUDGET = auto()
    # Has its final response; attempts that no longer matter may still be in flight.
    CLOSED = auto()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        host: The host that it was sent to.
        sent_at: When it was sent, in seconds.
        pending_prompt_tokens: Prompt tokens that it still adds to its host's pending ones.
        resumed: Whether it resumes a stream that was relayed in part; it has no first event.
        is_probe: Whether it is the probe request of a host on probation.
        outcome: How it ended; None while it is in flight.
        first_event_seen: Whether its first event was received.
        overdue: Whether it exceeded the target latency and was counted as a miss.
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
        facts: The facts that decisions use.
        policy: The policy of its route, as it was at the arrival.
        route: The latencies of its route.
        phase: What it waits for.
        attempts: Its attempts, in the order in which they were sent.
        in_flight: Number of attempts without an outcome.
        failed_groups: Number of retry groups (an attempt and its hedges) that failed.
        progressed: Whether a part of its stream was relayed to the client.
        winner: The attempt whose stream is relayed to the client.
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
        """Whether it has its final response or its client has left."""
        return self.phase is RequestPhase.CLOSED

    def is_streaming(self) -> bool:
        """Whether a stream is being relayed to the client."""
        return self.winner is not None and self.winner.outcome is None

    def may_repeat(self) -> bool:
        """Whether it may run again; once a part was relayed, only a stream may."""
        return self.policy.repeatable and (self.policy.streaming or not self.progressed)

    def allows_another_attempt(self) -> bool:
        """Whether the bound on attempts allows one more; some that ended unsent don't count."""
        unsent = sum(attempt.outcome in NEVER_SENT for attempt in self.attempts)
        sent = len(self.attempts) - unsent
        return sent < self.policy.max_attempts and unsent <= MAX_UNSENT_ATTEMPTS

    def may_have_run(self) -> bool:
        """Whether a host may have executed it, in part or completely."""
        return any(attempt.outcome not in NEVER_RAN for attempt in self.attempts)

    def attempted_hosts(self) -> set[HostRecord]:
        """Hosts that an attempt was sent to."""
        return {attempt.host for attempt in self.attempts}
