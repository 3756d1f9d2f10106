"""The history of all client calls, and a checker that shares no code with what it checks.

The configuration is modelled as a register that changes replace by compare-and-set: a change names
its base version and its own, higher version. The checker is independent of views, chains and
sequence numbers. From the start and end of each call it derives which changes were ever in force,
and reports every result that is impossible for one linearizable register (Herlihy and Wing, 1990).
It does not search for an order of the calls, as `linearizability` does; it checks necessary
conditions, each in a method of `HistoryChecker`.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


class CallResult(Enum):
    """What an operator knows about its change after a call."""

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Change:
    """A proposed change of the configuration, which may be sent in several calls.

    Attributes:
        base: the version that it replaces.
        version: its own version.
        name: its unique name.
        keys: the API keys of its configuration.
    """

    base: int
    version: int
    name: str
    keys: frozenset[str] = frozenset()


@dataclass(slots=True)
class ChangeCall:
    """One call that submits a change; without a response, `ended_at` is infinite."""

    change: Change
    started_at: float
    ended_at: float = float("inf")
    result: CallResult = CallResult.UNKNOWN


@dataclass(frozen=True, slots=True)
class Observation:
    """A configuration that was returned as the newest one between two times.

    It comes from a read or from the confirmation of a gateway's pull, which says that the
    gateway's configuration was the newest one at some time after `started_at`.
    """

    started_at: float
    ended_at: float
    change: Change | None


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A gateway's process uses a configuration from this time on."""

    gateway: str
    process_number: int
    at: float
    change: Change


@dataclass(frozen=True, slots=True)
class KeyUse:
    """A gateway admits a request with this API key."""

    gateway: str
    at: float
    key: str


@dataclass(slots=True)
class History:
    """The recorded calls and configurations of one run."""

    calls: list[ChangeCall] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)
    applied: list[ConfigurationApplied] = field(default_factory=list)
    key_uses: list[KeyUse] = field(default_factory=list)

    def begin_call(self, change: Change, now: float) -> ChangeCall:
        """Record the start of a call."""
        call = ChangeCall(change, now)
        self.calls.append(call)
        return call

    def newest_confirmed(self) -> int:
        """The highest version of a confirmed change."""
        return max(
            (call.change.version for call in self.calls if call.result is CallResult.CONFIRMED),
            default=0,
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A result that is impossible for one register; `rule` names the violated condition."""

    rule: str
    detail: str


class HistoryChecker:
    """Checks one history, whose times were all taken from one clock, in seconds."""

    def __init__(self, history: History, revoke_s: float = float("inf")) -> None:
        """Take a history; gateways may accept a removed key for `revoke_s` more seconds."""
        self._history = history
        self._revoke_s = revoke_s
        self._evidence = self._first_evidence()
        self._first_sent: dict[Change, float] = {}
        for call in history.calls:
            self._first_sent.setdefault(call.change, call.started_at)

    def violations(self) -> list[Violation]:
        """All violations; empty if the history satisfies all conditions."""
        return [
            *self._duplicate_versions(),
            *self._refused_in_force(),
            *self._invalid_bases(),
            *self._observed_before_sent(),
            *self._stale_results(),
            *self._unjustified_refusals(),
            *self._gateway_regressions(),
            *self._removed_keys_used(),
        ]

    def _first_evidence(self) -> dict[Change, float]:
        """The earliest time at which each change is known to have been in force."""
        evidence: dict[Change, float] = {}

        def add(change: Change, at: float) -> None:
            evidence[change] = min(at, evidence.get(change, at))

        for call in self._history.calls:
            if call.result is CallResult.CONFIRMED:
                add(call.change, call.ended_at)
        for observation in self._history.observations:
            if observation.change is not None:
                add(observation.change, observation.ended_at)
        for applied in self._history.applied:
            add(applied.change, applied.at)
        return evidence

    def _duplicate_versions(self) -> Iterator[Violation]:
        by_version: dict[int, Change] = {}
        by_base: dict[int, Change] = {}
        for change in self._evidence:
            if by_version.setdefault(change.version, change) != change:
                yield Violation("two changes with one version", str(change.version))
            if by_base.setdefault(change.base, change) != change:
                yield Violation("two changes on one base", str(change.base))

    def _refused_in_force(self) -> Iterator[Violation]:
        for call in self._history.calls:
            if call.result is CallResult.REFUSED and call.change in self._evidence:
                yield Violation("a refused change is in force", _describe(call.change))

    def _invalid_bases(self) -> Iterator[Violation]:
        """Each change in force has a lower base version, which may have been in force itself."""
        refused = {call.change for call in self._history.calls if call.result is CallResult.REFUSED}
        possible = {change.version for change in self._first_sent if change not in refused}
        for change in self._evidence:
            if change.version <= change.base or (change.base and change.base not in possible):
                yield Violation("invalid base version", _describe(change))

    def _observed_before_sent(self) -> Iterator[Violation]:
        for change, at in self._evidence.items():
            if at < self._first_sent.get(change, float("inf")):
                yield Violation("returned before it was sent", _describe(change))

    def _stale_results(self) -> Iterator[Violation]:
        """A read that starts after a change is known to be in force returns it or a later one."""
        known = _RunningMaximum((at, change.version) for change, at in self._evidence.items())
        for observation in self._history.observations:
            returned = observation.change.version if observation.change is not None else 0
            if returned < known.before(observation.started_at):
                yield Violation(
                    "a stale configuration was returned",
                    f"version {returned} at {observation.started_at:.3f}",
                )
        for change, sent in self._first_sent.items():
            if change in self._evidence and change.version <= known.before(sent):
                yield Violation("a change lowered the version", _describe(change))

    def _unjustified_refusals(self) -> Iterator[Violation]:
        """A change whose base is the newest version is not refused.

        Except if the newest version was another one at some time during the call, or if the change
        had been refused before.
        """
        replaced: dict[int, float] = {}
        for change in self._evidence:
            sent = self._first_sent.get(change, 0.0)
            replaced[change.base] = min(sent, replaced.get(change.base, sent))
        known = {change.version: at for change, at in self._evidence.items()}
        known[0] = 0.0
        refused_before: set[Change] = set()
        for call in sorted(self._history.calls, key=lambda call: call.started_at):
            change = call.change
            if call.result is not CallResult.REFUSED or change in refused_before:
                continue
            refused_before.add(change)
            was_newest = change.base in known and known[change.base] <= call.started_at
            if was_newest and call.ended_at < replaced.get(change.base, float("inf")):
                competing = [c for c in self._first_sent if c.base == change.base and c != change]
                if change.version > change.base and not competing:
                    yield Violation("a valid change was refused", _describe(change))

    def _gateway_regressions(self) -> Iterator[Violation]:
        newest: dict[tuple[str, int], int] = defaultdict(int)
        for each in self._history.applied:
            process = (each.gateway, each.process_number)
            if each.change.version < newest[process]:
                yield Violation(
                    "a gateway applied an older configuration", f"{each.gateway} at {each.at:.3f}"
                )
            newest[process] = each.change.version

    def _removed_keys_used(self) -> Iterator[Violation]:
        """No key is accepted more than `revoke_s` after the confirmation of a change without it.

        Except if a later change with the key was sent by then, which may be in force.
        """
        confirmed = [call for call in self._history.calls if call.result is CallResult.CONFIRMED]
        for key in {use.key for use in self._history.key_uses}:
            without_key = _RunningMaximum(
                (call.ended_at, call.change.version)
                for call in confirmed
                if key not in call.change.keys
            )
            with_key = _RunningMaximum(
                (sent, change.version)
                for change, sent in self._first_sent.items()
                if key in change.keys
            )
            for use in self._history.key_uses:
                if use.key == key and without_key.before(use.at - self._revoke_s) > with_key.before(
                    use.at
                ):
                    yield Violation(
                        "a removed key was accepted", f"{key} at {use.at:.3f} by {use.gateway}"
                    )


class _RunningMaximum:
    """The highest version that was known before a given time."""

    def __init__(self, known: Iterable[tuple[float, int]]) -> None:
        """Take the pairs (time, version) of the evidence, in any order."""
        self._times: list[float] = []
        self._versions: list[int] = []
        newest = 0
        for at, version in sorted(known):
            newest = max(newest, version)
            self._times.append(at)
            self._versions.append(newest)

    def before(self, at: float) -> int:
        """The highest version that was known before `at`; 0 if there is none."""
        index = bisect_left(self._times, at)
        return self._versions[index - 1] if index else 0


def _describe(change: Change) -> str:
    return f"version {change.version} on base {change.base} ({change.name})"
