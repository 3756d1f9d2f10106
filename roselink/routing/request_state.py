"""One request and its attempts, from its arrival to its final answer and its last outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from roselink.routing.classifier import NEVER_SENT
from roselink.routing.outcome import NEVER_RAN, Outcome

if TYPE_CHECKING:
    from roselink.routing.events_and_actions import RequestFacts
    from roselink.routing.host_record import HostRecord
    from roselink.routing.policy import EffectivePolicy, RouteRecord

UNSENT = 3  # attempts that may end unsent beyond the bound on attempts


class Stage(Enum):
    """What a request is waiting for."""

    HELD = auto()  # for a host
    OUT = auto()  # for its attempts
    BACKING_OFF = auto()
    ASKING = auto()  # for the owner of the shared slack
    CLOSED = auto()  # for the outcomes of attempts that no longer matter


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt. `reading`: prompt tokens still counted at its host."""

    host: HostRecord
    sent_at: float
    reading: int
    resumed: bool  # it goes on behind what the client has; no first event tells of it
    trial: bool = False
    outcome: Outcome | None = None
    started: bool = False  # its first event came
    late: bool = False  # past the aim, and counted


@dataclass(slots=True, eq=False)
class Request:
    """A client's request. `groups`: retry groups that failed; `progressed`: a part of the stream
    went on.
    """

    facts: RequestFacts
    policy: EffectivePolicy  # as it was at the arrival
    route: RouteRecord
    stage: Stage = Stage.HELD
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    groups: int = 0
    progressed: bool = False
    winner: Attempt | None = None  # whose stream goes on to the client

    @property
    def closed(self) -> bool:
        """Whether it has its final answer."""
        return self.stage is Stage.CLOSED

    def streams(self) -> bool:
        """Whether its answer is on its way to the client."""
        return self.winner is not None and self.winner.outcome is None

    def may_repeat(self) -> bool:
        """Whether it may run again. An answer that the client has a part of must be a stream for
        that.
        """
        return self.policy.repeatable and (self.policy.streaming or not self.progressed)

    def may_attempt(self) -> bool:
        """Whether the bound on attempts leaves one more; a few that ended unsent are free."""
        unsent = sum(attempt.outcome in NEVER_SENT for attempt in self.attempts)
        gone_to = len(self.attempts) - unsent
        return gone_to < self.policy.max_attempts and unsent <= UNSENT

    def may_have_run(self) -> bool:
        """Whether a host may have begun to work on it."""
        return any(attempt.outcome not in NEVER_RAN for attempt in self.attempts)

    def tried(self) -> set[HostRecord]:
        """Hosts it went to."""
        return {attempt.host for attempt in self.attempts}
