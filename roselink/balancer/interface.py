"""What goes into the balancer and what comes out: settings, events, actions.

Types only, no decisions. All times are integers: microseconds of one clock that the host program
chooses; it only has to advance.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from roselink.balancer.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from roselink.routing.outcome import Outcome


class Effect(Enum):
    """What a second run of the same request would do."""

    SAFE = "safe"
    KEYED = "keyed"  # repeats are dropped by a group of servers, for a time
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """A server's state in discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """How a server list relates to the one before."""

    FULL = 0
    CACHED = 1
    CHANGES = 2
    FAILED = 3


def _require(field: str, problem: str, *, valid: bool) -> None:
    if not valid:
        raise SettingsError(field, problem)


@dataclass(frozen=True, slots=True)
class Route:
    """One class of request.

    Attributes:
        name: Its name in the settings.
        effect: What a second run of a request would do.
        aim_us: The latency objective; None for none.
        deadline_us: The longest that a client waits.
        worth: The value of an answer within the aim, against other routes.
        late_worth: The fraction of it that an answer past the aim has.
        group: The servers that drop each other's repeats.
        memory_span_us: How long they do.
        stream: Whether its answers are streamed.
        aim_stretch: What the aim grows by, for each unit of the request's work.
    """

    name: str = ""
    effect: Effect = Effect.UNSAFE
    aim_us: int | None = None
    deadline_us: int = 30_000_000
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    memory_span_us: int = 0
    stream: bool = False
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        """Raises `SettingsError` for a value that cannot work."""
        _require("route.aim_us", "must be above 0", valid=self.aim_us is None or self.aim_us > 0)
        _require("route.deadline_us", "must be above 0", valid=self.deadline_us > 0)
        _require("route.worth", "must not be negative", valid=self.worth >= 0)
        _require("route.late_worth", "must lie between 0 and 1", valid=0 <= self.late_worth <= 1)
        _require("route.memory_span_us", "must not be negative", valid=self.memory_span_us >= 0)
        _require("route.aim_stretch", "must not be negative", valid=self.aim_stretch >= 0)


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer knows before its first event.

    Attributes:
        routes: The classes of request; none: one class, all of it unsafe.
        balancers: How many balancers share the servers.
        number: Which of them this is, from 0.
        zone: The zone it runs in.
        discovery_asks: Whether lists of servers are requested; else they are pushed.
        tenant_quotas_per_s: Requests a second of each tenant, over all balancers.
        over_quota_worth: The fraction of its worth that a request over quota has.
        max_attempts: Sends of one request at most.
        parallel_tries: Whether a request may have two attempts in flight.
        cancelling: Whether attempts can be cancelled.
        probing: Whether servers can be probed.
        retry_after: Whether a refusal may carry a time to come back after.
        max_retry_after_us: The longest such time.
        ask_within_us: Within which a balancer with no list has one.
        drain_grace_us: How long a draining server still takes requests.
        cold_us: How long a server is in slow start.
        cold_from: The fraction of its capacity that it starts with.
        fall_multiple: The work, over its capacity, at which a cold server fails.
        fall_window_us: The time over which that work is counted.
        answer_slack_us: How late after its deadline a final answer may come.
        price_cross_zone: What a request to another zone costs, in payoff.
        warm_keys: Whether a server is quicker with keys that it has served before.
        hints_are_sizes: Whether a server's hint is its number of cores.
        clients_mark_repeats: Whether clients mark their retries.
        weight_whole: The weight of all requests in the operators' objective.
        weight_worst_class: The weight of the worst class in it.
    """

    routes: tuple[Route, ...] = ()
    balancers: int = 1
    number: int = 0
    zone: int = 0
    discovery_asks: bool = False
    tenant_quotas_per_s: tuple[float, ...] = ()
    over_quota_worth: float = 1.0
    max_attempts: int = 3
    parallel_tries: bool = False
    cancelling: bool = False
    probing: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    ask_within_us: int = 10_000_000
    drain_grace_us: int = 0
    cold_us: int = 0
    cold_from: float = 1.0
    fall_multiple: float = 1.0
    fall_window_us: int = 1_000_000
    answer_slack_us: int = 0
    price_cross_zone: float = 0.0
    warm_keys: bool = False
    hints_are_sizes: bool = False
    clients_mark_repeats: bool = False
    weight_whole: float = 1.0
    weight_worst_class: float = 0.0

    def __post_init__(self) -> None:
        """Raises `SettingsError` for a value that cannot work."""
        _require("balancers", "must be at least 1", valid=self.balancers >= 1)
        _require(
            "number", "must lie from 0 to below balancers", valid=0 <= self.number < self.balancers
        )
        _require("max_attempts", "must be at least 1", valid=self.max_attempts >= 1)
        _require("cold_from", "must lie above 0, and be 1 at most", valid=0 < self.cold_from <= 1)
        _require("fall_multiple", "must be above 0", valid=self.fall_multiple > 0)
        _require("fall_window_us", "must be above 0", valid=self.fall_window_us > 0)
        _require("ask_within_us", "must be above 0", valid=self.ask_within_us > 0)
        for field in (
            "zone",
            "over_quota_worth",
            "max_retry_after_us",
            "drain_grace_us",
            "cold_us",
        ):
            _require(field, "must not be negative", valid=getattr(self, field) >= 0)
        _require(
            "tenant_quotas_per_s",
            "must not be negative",
            valid=all(quota >= 0 for quota in self.tenant_quotas_per_s),
        )


class Server(NamedTuple):
    """One entry of a server list.

    Attributes:
        id: Its number, the same at every balancer.
        state: Whether it takes new requests.
        zone: The zone it runs in.
        cell: The group within its zone that drops repeats.
        kind: Its kind of machine.
        hint: Its size, by `Settings.hints_are_sizes`.
        started_us: When it started; None or 0: long ago.
    """

    id: int
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    hint: float = 1.0
    started_us: int | None = None


class ServerList(NamedTuple):
    """Event: the list of servers, full or in changes; or a failed call for it."""

    kind: ListKind
    servers: tuple[Server, ...] = ()
    version: int = 0


class Arrived(NamedTuple):
    """Event: a client's request. The balancer now owes one final answer before `give_up_us`."""

    request: int
    route: int
    give_up_us: int
    key: str | None = None
    work_us: int | None = None
    tenant: int = 0
    repeat: bool = False


class StreamStarted(NamedTuple):
    """Event: a streamed answer has begun; the attempt belongs to the client from now on."""

    request: int
    attempt: int
    elapsed_us: int


class AttemptDone(NamedTuple):
    """Event: what became of a send. `closed`: the client has its final answer already."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed_us: int
    closed: bool = False
    load: Mapping[str, float] | None = None


class Departed(NamedTuple):
    """Event: the client has gone; no answer is owed."""

    request: int


class Alarm(NamedTuple):
    """Event: an alarm set by `SetAlarm` is due."""

    tag: int


class ProbeDone(NamedTuple):
    """Event: the result of a probe."""

    server: int
    outcome: Outcome
    elapsed_us: int
    load: Mapping[str, float] | None = None


Event = ServerList | Arrived | StreamStarted | AttemptDone | Departed | Alarm | ProbeDone


class Send(NamedTuple):
    """Action: start an attempt.

    Attributes:
        request: Whose attempt it is; the attempts of a request count from 0.
        server: The number of the server.
        timeout_us: The attempt's time-out; 0: until the client gives up.
        before_us: Once the clock shows this, the attempt must not be written any more; 0: no limit.
    """

    request: int
    server: int
    timeout_us: int = 0
    before_us: int = 0


class Refuse(NamedTuple):
    """Action: final answer; it says to the client that trying again is harmless."""

    request: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Action: final answer that promises nothing."""

    request: int


class Cancel(NamedTuple):
    """Action: stop waiting for an attempt."""

    request: int
    attempt: int


class Probe(NamedTuple):
    """Action: check a server."""

    server: int


class SetAlarm(NamedTuple):
    """Action: ask for an `Alarm` after a delay."""

    delay_us: int
    tag: int


class Watch(NamedTuple):
    """Action: subscribe to changes of the server list (or end that)."""

    on: bool = True


class Log(NamedTuple):
    """Action: a line for the people on call."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetAlarm | Watch | Log
