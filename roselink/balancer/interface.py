"""Interface of the balancer: settings, events and actions.

Types only, no decisions. All times are integers: microseconds of a monotonic clock that the host
program chooses.
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
    """Whether a request may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"  # a group of servers deduplicates repeats for a limited time
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that deduplicate repeats of a keyed request among them."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """A server's state in discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """How a server list relates to the previous one."""

    FULL = 0
    CACHED = 1  # a full list, known from earlier
    CHANGES = 2
    FAILED = 3  # the call failed; there is no list


def _require(field: str, problem: str, *, valid: bool) -> None:
    if not valid:
        raise SettingsError(field, problem)


@dataclass(frozen=True, slots=True)
class Route:
    """A class of requests.

    Attributes:
        name: Name of the class in the settings.
        effect: Whether a request may run more than once.
        aim_us: Latency objective; None for none.
        deadline_us: Longest time that a client waits.
        worth: Value of an answer within the objective, relative to other routes.
        late_worth: Fraction of that value that a later answer has.
        group: The servers that deduplicate repeats.
        memory_span_us: How long they remember a request.
        stream: Whether answers are streamed.
        aim_stretch: Increase of the objective per unit of the request's work.
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
        """Raises `SettingsError` for an invalid value."""
        _require("route.aim_us", "must be above 0", valid=self.aim_us is None or self.aim_us > 0)
        _require("route.deadline_us", "must be above 0", valid=self.deadline_us > 0)
        _require("route.worth", "must not be negative", valid=self.worth >= 0)
        _require("route.late_worth", "must be between 0 and 1", valid=0 <= self.late_worth <= 1)
        _require("route.memory_span_us", "must not be negative", valid=self.memory_span_us >= 0)
        _require("route.aim_stretch", "must not be negative", valid=self.aim_stretch >= 0)


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a balancer.

    Attributes:
        routes: Classes of requests; if empty, a single unsafe class.
        balancers: Number of balancers that share the servers.
        number: Index of this balancer among them, from 0.
        zone: Zone that the balancer runs in.
        discovery_asks: Whether server lists are requested; otherwise they are pushed.
        tenant_quotas_per_s: Requests per second of each tenant, over all balancers.
        over_quota_worth: Fraction of its value that a request over quota has.
        max_attempts: Most attempts of one request.
        parallel_tries: Whether a request may have two attempts in flight.
        cancelling: Whether attempts can be cancelled.
        probing: Whether servers can be probed.
        retry_after: Whether a refusal may carry a retry-after time.
        max_retry_after_us: Longest retry-after time.
        ask_within_us: Time within which a balancer without a server list gets one.
        drain_grace_us: How long a draining server still accepts requests.
        cold_us: Duration of slow start.
        cold_from: Fraction of its capacity that a server has at its start.
        fall_multiple: Work, as a multiple of its capacity, at which a cold server fails.
        fall_window_us: Time over which that work is counted.
        answer_slack_us: How long after its deadline a request may still get its final answer.
        price_cross_zone: Cost of a request to another zone, in payoff.
        warm_keys: Whether a server is faster with keys that it has served before.
        hints_are_sizes: Whether a server's hint is its number of cores.
        clients_mark_repeats: Whether clients mark their retries.
        weight_whole: Weight of all requests in the operators' objective function.
        weight_worst_class: Weight of the worst class in it.
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
        """Raises `SettingsError` for an invalid value."""
        _require("balancers", "must be at least 1", valid=self.balancers >= 1)
        _require(
            "number",
            "must be at least 0 and below balancers",
            valid=0 <= self.number < self.balancers,
        )
        _require("max_attempts", "must be at least 1", valid=self.max_attempts >= 1)
        _require("cold_from", "must be above 0 and at most 1", valid=0 < self.cold_from <= 1)
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
        id: Server number, the same at every balancer.
        state: Whether the server takes new requests.
        zone: Zone that the server runs in.
        cell: Group within the zone that deduplicates repeats.
        kind: Kind of machine.
        hint: Size of the server; its number of cores if `Settings.hints_are_sizes`.
        started_us: Start time; None or 0 if long ago.
    """

    id: int
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    hint: float = 1.0
    started_us: int | None = None


class ServerList(NamedTuple):
    """Event: a full server list, changes to it, or a failed call for it."""

    kind: ListKind
    servers: tuple[Server, ...] = ()
    version: int = 0


class Arrived(NamedTuple):
    """Event: a client's request. One final answer is due before `give_up_us`.

    `work_us`: the client's estimate of the work; `repeat`: the client marked it as a retry.
    """

    request: int
    route: int
    give_up_us: int
    key: str | None = None
    work_us: int | None = None
    tenant: int = 0
    repeat: bool = False


class StreamStarted(NamedTuple):
    """Event: a streamed answer has begun; the request counts as answered from now on."""

    request: int
    attempt: int
    elapsed_us: int


class AttemptDone(NamedTuple):
    """Event: the outcome of an attempt. `closed`: the client already has its final answer."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed_us: int
    closed: bool = False
    load: Mapping[str, float] | None = None


class Departed(NamedTuple):
    """Event: the client has disconnected; no answer is due."""

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
        request: Number of the request; its attempts are numbered from 0.
        server: Number of the server.
        timeout_us: Time-out of the attempt; 0: until the client gives up.
        before_us: Time from which the request must not be written any more; 0: no limit.
    """

    request: int
    server: int
    timeout_us: int = 0
    before_us: int = 0


class Refuse(NamedTuple):
    """Action: final answer that signals to the client that a retry is safe."""

    request: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Action: final answer that does not say whether a retry is safe."""

    request: int


class Cancel(NamedTuple):
    """Action: stop waiting for an attempt."""

    request: int
    attempt: int


class Probe(NamedTuple):
    """Action: check a server."""

    server: int


class SetAlarm(NamedTuple):
    """Action: request an `Alarm` after a delay."""

    delay_us: int
    tag: int


class Watch(NamedTuple):
    """Action: start or end the subscription to changes of the server list."""

    on: bool = True


class Log(NamedTuple):
    """Action: a log line for operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetAlarm | Watch | Log
