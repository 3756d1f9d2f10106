"""What goes into the fleet's decisions and what comes out: facts, events, actions. Types only.

Times are seconds of one monotonic clock that the host program chooses.
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
    """One part of a prompt, in order; equal leading ids share the parts in a host's cache."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """All that decisions need of a request.

    Attributes:
        number: Names the request in events and actions.
        route: The route's name.
        service: The service's name.
        repeatable: It may run more than once.
        streaming: Its response is a stream of events.
        arrived_at: When it came.
        deadline: When it must have its final response.
        target_latency_s: Time to the first event, or to the complete response where it is not
            streaming, within which it counts as served in time; 0 for none.
        max_attempts: Bound on attempts, those that were not sent aside.
        priority: Its rank; larger ranks are rejected first.
        affinity: The route prefers hosts that have cached the prompt.
        prompt: The prompt's parts; empty if they are unknown.
        tokens_in: Tokens of the prompt.
        tokens_out: Expected tokens of the response.
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
    """Event: the hosts and services now in force.

    A host that is missing or draining takes nothing new.
    """

    hosts: tuple[Host, ...]
    services: tuple[Service, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a request within its quota. It gets one final response before its deadline."""

    facts: RequestFacts


@dataclass(frozen=True, slots=True)
class BudgetDecided:
    """Event: the reply to `AcquireSharedBudget`."""

    number: int
    allowed: bool


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """Event: the first event of a stream went on to the client.

    From now on the request can be repeated by resumption only.
    """

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: how an attempt ended.

    SUCCESS: the complete response went on. FULL: the host said that it did not run
    (`X-Not-Executed`, or 421). ERROR: a response that may have run. TIMEOUT, RESET: sent, no
    complete response. CONNECT_FAILED, MOOT: nothing was sent.

    Attributes:
        number: The request's.
        attempt: The attempt's.
        outcome: See above.
        elapsed_s: Since it was sent.
        progressed: Part of its stream went on to the client.
        relayed: The client already has this ERROR response.
        wrong_host: 421, another host has the address.
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
    """Event: the client has left, or has its final answer."""

    number: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: a timer set by `StartTimer` is due."""

    tag: int


@dataclass(frozen=True, slots=True)
class PooledPayoffs:
    """Event: payoffs of hosts over all gateways, 0 to 1, by id; those not named have the best.

    They hold until the next such event, and for a time of the decider's own.
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
    """Action: send the request to a host. Attempts of a request count from 0.

    With `resume` the stream resumes after the last event that the client got (`Last-Event-Id`).
    """

    number: int
    attempt: int
    host: str
    resume: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: stop waiting for an attempt.

    Its outcome comes as CANCELLED, or as MOOT when nothing was sent.
    """

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AcquireSharedBudget:
    """Action: request one retry from the owner of the service's shared slack.

    `BudgetDecided` replies, once.
    """

    number: int
    service: str


class FailureReason(Enum):
    """Why a request gets a final response of the gateway's own."""

    # 503: it has not run and never will.
    NOT_RUN = "not_run"
    # 502.
    MAY_HAVE_RUN = "may_have_run"
    # 504; with nothing sent, 503.
    OUT_OF_TIME = "out_of_time"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """Action: the gateway's own final response.

    Where the data plane still has a host's own failure, kept for the time of a retry, it passes
    that on instead of a 502.

    Attributes:
        number: The request's.
        reason: Why.
        retry_after_s: When the client is to come back, for NOT_RUN; 0: at once.
    """

    number: int
    reason: FailureReason
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Action: request a `TimerFired` with this tag at a time."""

    tag: int
    at: float


Action = SendAttempt | CancelAttempt | AcquireSharedBudget | FinalResponse | StartTimer
