"""Simulator protocol on standard input and output: decode, decide, encode.

Each input line is a batch of events for the instances of one process, each with its own
`Balancer`; each output line is the batch of their decisions. No decision is made here. The names
of the protocol appear only in this file and, for settings, in `settings_reader`; the library has
its own. Run as `python -m roselink.balancer.simulator_adapter`. An invalid batch ends the run with
status 2.
"""

from __future__ import annotations

import json
import sys
from typing import IO, TYPE_CHECKING, Any

from roselink.balancer.decider import Balancer
from roselink.balancer.exceptions import BatchError
from roselink.balancer.interface import (
    Action,
    Alarm,
    Arrived,
    AttemptDone,
    Cancel,
    Departed,
    Event,
    Fail,
    ListKind,
    Log,
    Probe,
    ProbeDone,
    Refuse,
    Send,
    Server,
    ServerList,
    SetAlarm,
    State,
    StreamStarted,
    Watch,
)
from roselink.balancer.settings_reader import read_settings
from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

OUTCOMES = {
    "success": Outcome.SUCCESS,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.FULL,
    "timed_out": Outcome.TIMEOUT,
    "unreachable": Outcome.CONNECT_FAILED,
    "broken": Outcome.RESET,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.MOOT,
}
STATES = {state.value: state for state in State}
LIST_KINDS = {kind.value: kind for kind in ListKind}
# Bits of an arrival's flags.
HAS_WORK = 1
IS_REPEAT = 2
# Exit status after an invalid batch.
STATUS_BAD_INPUT = 2
# Most characters of a malformed message in an error.
MAX_SHOWN_CHARACTERS = 80

# One protocol message: its name, then its values.
Message = list[Any]


def _optional(message: Message, index: int, default: Any = None) -> Any:
    """Returns a value, or the default if it is missing at the end or null."""
    value = message[index] if index < len(message) else None
    return default if value is None else value


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise BatchError(problem=f"expected an integer, not {value!r}")
    return value


def _read_server(entry: Message) -> Server:
    return Server(
        id=_integer(entry[0]),
        started_us=_optional(entry, 1),
        cell=_optional(entry, 2, 0),
        kind=_optional(entry, 3, 0),
        hint=_optional(entry, 4, 1.0),
        state=STATES[_optional(entry, 5, 1)],
        zone=_optional(entry, 6, 0),
    )


def _read_arrival(message: Message) -> Arrived:
    flags = _optional(message, 4, 0)
    return Arrived(
        request=_integer(message[1]),
        route=_integer(_optional(message, 2, 0)),
        give_up_us=_integer(message[3]),
        key=_optional(message, 5),
        work_us=_optional(message, 6) if flags & HAS_WORK else None,
        tenant=_optional(message, 7, 0),
        repeat=bool(flags & IS_REPEAT),
    )


def _read_attempt_done(message: Message) -> AttemptDone:
    return AttemptDone(
        request=_integer(message[1]),
        attempt=_integer(message[5]),
        outcome=OUTCOMES[message[4]],
        elapsed_us=_integer(message[6]),
        closed=bool(message[3]),
        load=_optional(message, 7),
    )


def _read_probe_done(message: Message) -> ProbeDone:
    return ProbeDone(
        server=_integer(message[1]),
        outcome=OUTCOMES[message[3]],
        elapsed_us=_integer(message[2]),
        load=_optional(message, 4),
    )


READERS: dict[str, Callable[[Message], Event]] = {
    "job_in": _read_arrival,
    "verdict": _read_attempt_done,
    "streaming": lambda message: StreamStarted(
        _integer(message[1]), _integer(message[2]), _integer(message[4])
    ),
    "hangup": lambda message: Departed(_integer(message[1])),
    "alarm": lambda message: Alarm(_integer(message[1])),
    "ping_result": _read_probe_done,
}

WRITERS: dict[type, Callable[[Any], Message]] = {
    Send: lambda action: ["route", action.request, action.server, action.timeout_us],
    Refuse: lambda action: ["deny", action.request, action.retry_after_us],
    Fail: lambda action: ["finish_error", action.request],
    Cancel: lambda action: ["revoke", action.request, action.attempt],
    Probe: lambda action: ["test", action.server],
    SetAlarm: lambda action: ["sleep", action.delay_us, action.tag],
    Watch: lambda action: ["stream_changes", action.on],
    Log: lambda action: ["log", action.text],
}


class InstanceBatch:
    """The events of one instance in one batch, and the resulting decisions."""

    def __init__(self, host: SimulatorHost, now_us: int, number: int) -> None:
        """Starts without events."""
        self._host = host
        self._now_us = now_us
        self._number = number
        self._events: list[Event] = []
        self.decisions: list[Message] = []

    def process(self, messages: list[Message]) -> None:
        """Passes events to the instance in order, in runs separated by a start or a stop.

        Raises:
            BatchError: A message is malformed, or its instance has not started.
        """
        for index, message in enumerate(messages):
            path_element = f"news[{index}]"
            try:
                self._read(message)
            except BatchError as error:
                raise error.within(path_element) from None
            except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
                shown = json.dumps(message)[:MAX_SHOWN_CHARACTERS]
                problem = f"{type(error).__name__}: {error} in {shown}"
                raise BatchError(problem=problem, path=(path_element,)) from None
        self._run()

    def _read(self, message: Message) -> None:
        name = message[0]
        reader = READERS.get(name)
        if reader is not None:
            self._events.append(reader(message))
            self._validate(self._events[-1])
        elif name == "ledger":
            self._host.lists[message[1]] = tuple(map(_read_server, message[2]))
        elif name == "endpoints":
            self._events.append(self._read_list(message))
        elif name == "provision":
            self._run()
            self._start(message)
        elif name == "detach":
            self._run()
            self._stop()
        elif name != "peer":
            raise BatchError(problem=f"unknown event {name!r}")

    def _read_list(self, message: Message) -> ServerList:
        kind = LIST_KINDS[message[2]]
        servers = () if kind is ListKind.FAILED else self._host.lists[message[1]]
        return ServerList(kind, servers, _optional(message, 3, 0))

    def _start(self, message: Message) -> None:
        """Starts an instance; seed and settings may come in either order."""
        seed = message[1]
        data = message[2]
        if isinstance(seed, dict):
            seed = message[2]
            data = message[1]
        self._host.instances[self._number] = Balancer(read_settings(data), seed)

    def _stop(self) -> None:
        if self._host.instances.pop(self._number, None) is None:
            raise BatchError(problem="detach for an instance that never started")

    def _balancer(self) -> Balancer:
        balancer = self._host.instances.get(self._number)
        if balancer is None:
            raise BatchError(problem=f"event for instance {self._number}, which never started")
        return balancer

    def _validate(self, event: Event) -> None:
        """Checks that the instance has started and that its settings have the class and tenant.

        Class 0 and tenant 0 are always allowed.
        """
        settings = self._balancer().settings
        if isinstance(event, Arrived):
            if not 0 <= event.route < max(1, len(settings.routes)):
                raise BatchError(problem=f"class {event.route} is not in the settings")
            if not 0 <= event.tenant < max(1, len(settings.tenant_quotas_per_s)):
                raise BatchError(problem=f"tenant {event.tenant} is not in the settings")

    def _run(self) -> None:
        """Passes the events read so far to the balancer."""
        events = self._events
        self._events = []
        if not events:
            return
        balancer = self._balancer()
        try:
            actions: list[Action] = balancer.handle(self._now_us, events)
        except Exception as error:  # noqa: BLE001 - reported as the fault of one instance only
            self.decisions.append(["bug", f"{type(error).__name__}: {error}"])
        else:
            self.decisions.extend(WRITERS[type(action)](action) for action in actions)


class SimulatorHost:
    """The instances of one process, which share only the server lists."""

    def __init__(self) -> None:
        """Starts without instances."""
        self.instances: dict[int, Balancer] = {}
        self.lists: dict[int, tuple[Server, ...]] = {}

    def reply(self, batch: Any) -> dict[str, Any]:
        """Returns the reply to one batch.

        Raises:
            BatchError: The batch is invalid.
        """
        if not isinstance(batch, dict) or type(batch.get("moment")) is not int:
            raise BatchError(problem="a batch must be an object with an integer 'moment'")
        if not isinstance(batch.get("parts"), list):
            raise BatchError(problem="a batch must have an array 'parts'")
        replies = []
        for index, entry in enumerate(batch["parts"]):
            path_element = f"parts[{index}]"
            try:
                number = entry["gateway"]
                instance = InstanceBatch(self, batch["moment"], number)
                instance.process(entry["news"])
            except BatchError as error:
                raise error.within(path_element) from None
            except (KeyError, TypeError) as error:
                problem = f"'gateway' and 'news' are required ({error!r})"
                raise BatchError(problem=problem, path=(path_element,)) from None
            if instance.decisions:
                replies.append({"gateway": number, "decisions": instance.decisions})
        return {"parts": replies}


def serve(source: IO[str], sink: IO[str]) -> int:
    """Replies to batches until the input ends; returns the exit status."""
    host = SimulatorHost()
    for number, line in enumerate(source, 1):
        try:
            reply = host.reply(json.loads(line))
        except (BatchError, ValueError) as error:
            print(f"benchlink: line {number}: {error}", file=sys.stderr)
            return STATUS_BAD_INPUT
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
