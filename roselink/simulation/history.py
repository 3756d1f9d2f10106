"""What callers were told, and a judge of it that shares no code with what it judges.

A configuration is a register that orders replace: an order names the version it builds on and its
own, higher one. The judge knows nothing of views, chains or sequences. From calls with their begin
and end it works out which orders were ever in force, and names everything that no single register
could have said.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


class Said(Enum):
    """How a call of an operator ended."""

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    UNCLEAR = "unclear"


@dataclass(frozen=True, slots=True)
class Change:
    """An order, whoever sends it and how often. `keys` are those that its configuration holds."""

    base: int
    version: int
    text: str
    keys: frozenset[str] = frozenset()


@dataclass(slots=True)
class OrderCall:
    """One call with a change. Without an end it had no answer."""

    change: Change
    began: float
    ended: float = float("inf")
    said: Said = Said.UNCLEAR


@dataclass(frozen=True, slots=True)
class Reading:
    """A configuration that someone was shown as the newest: one call from its begin to its end, or
    a gateway's confirmation, which says that what it holds was the newest after `began`.
    """

    began: float
    ended: float
    change: Change | None


@dataclass(frozen=True, slots=True)
class InForce:
    """A gateway's process goes by a configuration from now on."""

    gateway: str
    life: int
    at: float
    change: Change


@dataclass(frozen=True, slots=True)
class KeyUse:
    """A gateway lets a request with this key through."""

    gateway: str
    at: float
    key: str


@dataclass(slots=True)
class History:
    """All of one run."""

    orders: list[OrderCall] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)
    in_force: list[InForce] = field(default_factory=list)
    key_uses: list[KeyUse] = field(default_factory=list)

    def order(self, change: Change, now: float) -> OrderCall:
        """A call begins."""
        call = OrderCall(change, now)
        self.orders.append(call)
        return call

    def newest_confirmed(self) -> int:
        """The highest version of a confirmed order."""
        return max(
            (call.change.version for call in self.orders if call.said is Said.CONFIRMED), default=0
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """Something that no single register could have said. `rule` names what is broken."""

    rule: str
    detail: str


class Judge:
    """Judges one history. Times are seconds of the one clock by which the calls were recorded."""

    def __init__(self, history: History, revoke_s: float = float("inf")) -> None:
        self._history, self._revoke_s = history, revoke_s
        self._evidence = self._first_evidence()
        self._first_sent: dict[Change, float] = {}
        for call in history.orders:
            self._first_sent.setdefault(call.change, call.began)

    def violations(self) -> list[Violation]:
        """All that is wrong; empty for a history that one register explains."""
        return [
            *self._one_change_a_version(),
            *self._refused_and_in_force(),
            *self._built_on_nothing(),
            *self._shown_too_early(),
            *self._older_than_known(),
            *self._refused_without_reason(),
            *self._regresses(),
            *self._late_keys(),
        ]

    def _first_evidence(self) -> dict[Change, float]:
        """When each change is first known to be in force."""
        evidence: dict[Change, float] = {}

        def note(change: Change, at: float) -> None:
            evidence[change] = min(at, evidence.get(change, at))

        for call in self._history.orders:
            if call.said is Said.CONFIRMED:
                note(call.change, call.ended)
        for reading in self._history.readings:
            if reading.change is not None:
                note(reading.change, reading.ended)
        for state in self._history.in_force:
            note(state.change, state.at)
        return evidence

    def _one_change_a_version(self) -> Iterator[Violation]:
        by_version: dict[int, Change] = {}
        by_base: dict[int, Change] = {}
        for change in self._evidence:
            if by_version.setdefault(change.version, change) != change:
                yield Violation("two changes under one number", str(change.version))
            if by_base.setdefault(change.base, change) != change:
                yield Violation("two changes on one base", str(change.base))

    def _refused_and_in_force(self) -> Iterator[Violation]:
        for call in self._history.orders:
            if call.said is Said.REFUSED and call.change in self._evidence:
                yield Violation("a refused change is in force", _named(call.change))

    def _built_on_nothing(self) -> Iterator[Violation]:
        """The version below each change in force is one that was sent, and may be in force
        itself.
        """
        refused = {call.change for call in self._history.orders if call.said is Said.REFUSED}
        possible = {change.version for change in self._first_sent if change not in refused}
        for change in self._evidence:
            if change.version <= change.base or (change.base and change.base not in possible):
                yield Violation("built on what never was", _named(change))

    def _shown_too_early(self) -> Iterator[Violation]:
        for change, at in self._evidence.items():
            if at < self._first_sent.get(change, float("inf")):
                yield Violation("shown before it was sent", _named(change))

    def _older_than_known(self) -> Iterator[Violation]:
        """What begins after something is known to be in force shows it, or what came after it."""
        known = _RisingBound((at, change.version) for change, at in self._evidence.items())
        for reading in self._history.readings:
            shown = reading.change.version if reading.change is not None else 0
            if shown < known.before(reading.began):
                yield Violation("an old configuration was shown", f"{shown} at {reading.began:.3f}")
        for change, sent in self._first_sent.items():
            if change in self._evidence and change.version <= known.before(sent):
                yield Violation("a change went back", _named(change))

    def _refused_without_reason(self) -> Iterator[Violation]:
        """A change on top of the newest version is taken, unless the version was another at some
        moment of the call, or the change had been refused for that before.
        """
        replaced: dict[int, float] = {}
        for change in self._evidence:
            sent = self._first_sent.get(change, 0.0)
            replaced[change.base] = min(sent, replaced.get(change.base, sent))
        known = {change.version: at for change, at in self._evidence.items()}
        known[0] = 0.0
        refused_before: set[Change] = set()
        for call in sorted(self._history.orders, key=lambda call: call.began):
            change = call.change
            if call.said is not Said.REFUSED or change in refused_before:
                continue
            refused_before.add(change)
            was_newest = change.base in known and known[change.base] <= call.began
            if was_newest and call.ended < replaced.get(change.base, float("inf")):
                rivals = [c for c in self._first_sent if c.base == change.base and c != change]
                if change.version > change.base and not rivals:
                    yield Violation("a proper change was refused", _named(change))

    def _regresses(self) -> Iterator[Violation]:
        newest: dict[tuple[str, int], int] = defaultdict(int)
        for state in self._history.in_force:
            process = state.gateway, state.life
            if state.change.version < newest[process]:
                yield Violation("a gateway went back", f"{state.gateway} at {state.at:.3f}")
            newest[process] = state.change.version

    def _late_keys(self) -> Iterator[Violation]:
        """A key is used no later than `revoke_s` after a confirmed change without it, unless a
        later change that was sent by then, and may be in force, has it.
        """
        confirmed = [call for call in self._history.orders if call.said is Said.CONFIRMED]
        for key in {use.key for use in self._history.key_uses}:
            without = _RisingBound(
                (call.ended, call.change.version)
                for call in confirmed
                if key not in call.change.keys
            )
            having = _RisingBound(
                (sent, change.version)
                for change, sent in self._first_sent.items()
                if key in change.keys
            )
            for use in self._history.key_uses:
                if use.key == key and without.before(use.at - self._revoke_s) > having.before(
                    use.at
                ):
                    yield Violation(
                        "a removed key was used", f"{key} at {use.at:.3f} by {use.gateway}"
                    )


class _RisingBound:
    """The highest version known before a moment."""

    def __init__(self, known: Iterable[tuple[float, int]]) -> None:
        self._times: list[float] = []
        self._versions: list[int] = []
        newest = 0
        for at, version in sorted(known):
            newest = max(newest, version)
            self._times.append(at)
            self._versions.append(newest)

    def before(self, at: float) -> int:
        """The highest version whose evidence came before `at`."""
        place = bisect_left(self._times, at)
        return self._versions[place - 1] if place else 0


def _named(change: Change) -> str:
    return f"{change.version} on {change.base} ({change.text})"
