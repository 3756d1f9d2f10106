"""What goes into the fleet's decisions and what comes out: facts, events, actions. Types only.

Times are seconds of one monotonic clock that the host program chooses. `Outcome` is the gateway's
own.
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
class PromptPart:
    """One part of a prompt, in order; the same leading ids share that part of a host's cache."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """All that decisions need of a request. `give_up_at`: when it must have its final answer.

    `repeatable`: it may run more than once. `aim_s`: time to the first event, or to the whole
    answer where it isn't streaming, within which it earns its full worth (0: none told).
    """

    number: int
    route: str
    service: str
    repeatable: bool
    streaming: bool
    arrived_at: float
    give_up_at: float
    aim_s: float
    max_attempts: int
    priority: int
    affinity: bool
    prompt: tuple[PromptPart, ...]
    tokens_in: int
    tokens_out: int


@dataclass(frozen=True, slots=True)
class TopologyChanged:
    """Event: the hosts and services now in force. A host that is missing or draining takes nothing
    new.
    """

    hosts: tuple[Host, ...]
    services: tuple[Service, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a request within its quota. One final answer is owed before `give_up_at`."""

    facts: RequestFacts


@dataclass(frozen=True, slots=True)
class BudgetDecided:
    """Event: the answer to `AcquireSharedBudget`."""

    number: int
    allowed: bool


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """Event: the first event of a stream went on to the client. From now on only resumption may
    repeat it.
    """

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: what became of an attempt. `progressed`: part of its stream went on to the client.

    SUCCESS: the whole answer went on. FULL: the host said it did not run (`X-Not-Executed`, or
    421). ERROR: an answer that may have run; `relayed` says that the client has it already.
    TIMEOUT, RESET: sent, no whole answer. CONNECT_FAILED, MOOT: nothing was sent. `wrong_host`:
    421, another host has the address.
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
    """Event: payoffs of hosts over all gateways, 0 to 1, by id; of the others nothing bad is known.
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
    """Action: send the request to a host. Attempts of a request count from 0. With `resume` the
    stream goes on behind the last event that the client got (`Last-Event-Id`).
    """

    number: int
    attempt: int
    host: str
    resume: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: stop waiting for an attempt; its outcome comes as CANCELLED, or MOOT when nothing was
    sent.
    """

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AcquireSharedBudget:
    """Action: ask the owner of the service's shared slack for one repeat; `BudgetDecided` answers,
    once.
    """

    number: int
    service: str


class FailureReason(Enum):
    """Why a request gets a final answer of ours."""

    NOT_RUN = "not_run"  # 503: it has not run and never will
    MAY_HAVE_RUN = "may_have_run"  # 502
    OUT_OF_TIME = "out_of_time"  # 504; with nothing sent, 503


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """Action: the final answer. A host's own failure that was held back for a retry is passed on
    instead of a 502 where the data plane still has it. `retry_after_s`: when to come back, for
    NOT_RUN; 0: at once.
    """

    number: int
    reason: FailureReason
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Action: ask for `TimerFired` at a time."""

    tag: int
    at: float


Action = SendAttempt | CancelAttempt | AcquireSharedBudget | FinalResponse | StartTimer
