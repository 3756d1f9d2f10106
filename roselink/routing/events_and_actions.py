"""Inputs and outputs of the fleet decider: request facts, events and actions. Types only.

Times are seconds of one monotonic clock that the caller provides.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.model.configuration import Service
    from roselink.model.fleet import Host
    from roselink.routing.outcome import Outcome


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """One segment of a prompt; prompts with equal leading ids share those in a host's cache."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the decider uses of a request.

    Attributes:
        number: Identifies the request in events and actions.
        route: The route's name.
        service: The service's name.
        repeatable: Whether it may run more than once.
        streaming: Whether its response is a stream of events.
        arrived_at: When it arrived.
        deadline: When the final response is due.
        target_latency_s: Target for the time to the first event or, if not streaming, to the
            complete response; 0 for none.
        max_attempts: Bound on attempts, not counting those that ended before they were sent.
        priority: 0 is the highest; requests with larger numbers are rejected first.
        affinity: Whether hosts that have cached the prompt are preferred.
        prompt: The prompt's segments, in order; empty if unknown.
        tokens_in: Number of prompt tokens.
        tokens_out: Expected number of response tokens.
    """

    number: int
    route: str
    service: str
    repeatable: bool
    streaming: bool
    arrived_at: float
    deadline: float
    target_latency_s: float
    max_attempts: int
    priority: int
    affinity: bool
    prompt: tuple[PromptSegment, ...]
    tokens_in: int
    tokens_out: int


@dataclass(frozen=True, slots=True)
class TopologyChanged:
    """Event: the list of hosts and services has changed.

    Hosts that are missing from the list or draining get no new attempts.
    """

    hosts: tuple[Host, ...]
    services: tuple[Service, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a request within its tenant's quota. It gets one final response, by its deadline."""

    facts: RequestFacts


@dataclass(frozen=True, slots=True)
class BudgetDecided:
    """Event: the reply to an `AcquireSharedBudget`."""

    number: int
    allowed: bool


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """Event: the first event of a stream was relayed to the client.

    From then on the request can only be resumed, not started again.
    """

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt has ended.

    SUCCESS: the complete response was relayed. FULL: the host reported that it did not execute the
    request (`X-Not-Executed`, or 421). ERROR: an error response; the request may have run. TIMEOUT,
    RESET: sent, but no complete response. CONNECT_FAILED, MOOT: nothing was sent.

    Attributes:
        number: The request's number.
        attempt: The attempt's number.
        outcome: How it ended, see above.
        elapsed_s: Time since it was sent.
        progressed: Whether a part of its stream was relayed to the client.
        relayed: Whether this ERROR response was already relayed to the client.
        wrong_host: Whether the response was 421: another host has the address now.
    """

    number: int
    attempt: int
    outcome: Outcome
    elapsed_s: float
    progressed: bool = False
    relayed: bool = False
    wrong_host: bool = False


@dataclass(frozen=True, slots=True)
class RequestClosed:
    """Event: the client has disconnected, or has its final response."""

    number: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: a timer started by `StartTimer` is due."""

    tag: int


@dataclass(frozen=True, slots=True)
class PooledPayoffs:
    """Event: payoffs pooled over all gateways, from 0 to 1, by host id; hosts not named have 1.

    They hold until the next such event or for `topology.POOLED_PAYOFFS_S`, whichever is shorter.
    """

    hosts: tuple[tuple[str, float], ...]


Event = (
    TopologyChanged
    | RequestArrived
    | BudgetDecided
    | FirstEvent
    | AttemptEnded
    | RequestClosed
    | TimerFired
    | PooledPayoffs
)


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Action: send the request to a host. Attempts of a request are numbered from 0.

    With `resume` the stream resumes after the last event that the client received
    (`Last-Event-Id`).
    """

    number: int
    attempt: int
    host: str
    resume: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: cancel an attempt.

    It still ends with an `AttemptEnded`: CANCELLED, or MOOT if nothing was sent.
    """

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AcquireSharedBudget:
    """Action: request one retry from the owner of the service's shared slack.

    The reply is one `BudgetDecided`.
    """

    number: int
    service: str


class FailureReason(Enum):
    """Why the gateway itself generates a request's final response."""

    # 503: the request has not run and will not.
    NOT_RUN = "not_run"
    # 502: the request may have run.
    MAY_HAVE_RUN = "may_have_run"
    # 504: the deadline has passed; 503 if nothing was sent.
    OUT_OF_TIME = "out_of_time"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """Action: send a final response that the gateway generates.

    If the data plane still holds a host's error response from before a retry, it relays that one
    instead of a 502.

    Attributes:
        number: The request's number.
        reason: Determines the status code.
        retry_after_s: Delay after which the client may retry, for NOT_RUN; 0: at once.
    """

    number: int
    reason: FailureReason
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Action: start a timer that fires as `TimerFired` with this tag at the time `at`."""

    tag: int
    at: float


Action = SendAttempt | CancelAttempt | AcquireSharedBudget | FinalResponse | StartTimer
