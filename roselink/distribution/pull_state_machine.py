"""The gateway's pulls: which core member to ask and when, what is in force, and how long keys may
be used.

No clock and no I/O: `now` is seconds of one monotonic clock. Parts of the snapshot only move
forward. The lease on keys begins when a confirmed pull was SENT: a key's removal that was
acknowledged before then is in the reply, and one acknowledged later leaves `revoke_ms` from a
moment after it. A request was sent by its client before the gateway checks, so the check itself
needs no more than a margin for clock rates.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from roselink.distribution.host_changes import expand_reply
from roselink.model.configuration import Configuration, Limits
from roselink.model.fleet import Member, Snapshot, VersionVector
from roselink.protocol.exceptions import RecordError
from roselink.protocol.payoffs import HostOutcomes, PooledPayoffs
from roselink.protocol.pull import DeltaPullReply, PullReply, PullRequest
from roselink.protocol.records import decode_as

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

Address = tuple[str, int]

PULL_EVERY_S = 0.2
JITTER = 0.2  # of PULL_EVERY_S, either way
TIMEOUT_S = 0.3
TIMEOUT_GROWTH = 1.5  # after each round of failures: the core may be slow, not dead
TIMEOUT_MOST_S = 1.0
BARE_FIRST_S = 0.03  # between pulls that brought no list of hosts; it grows to the ordinary pause
BACKOFF_FIRST_S = 0.05  # after every known member failed once
BACKOFF_GROWTH = 1.5
BACKOFF_MOST_S = 0.25
SOONEST_AGAIN_S = 0.05  # between pulls that others asked for
KEY_MARGIN_S = 0.2
HINTS_MOST = 16


@dataclass(frozen=True, slots=True)
class SendPull:
    """Effect: call a core member; the outcome goes to `PullStateMachine.reply_received`."""

    call: int
    address: Address
    pull: PullRequest
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ApplySnapshot:
    """Effect: this snapshot is in force now."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class SnapshotConfirmed:
    """Effect: what is in force was the newest at a moment after `at`, when the pull was sent."""

    at: float


@dataclass(frozen=True, slots=True)
class ConfigurationUnreadable:
    """Effect: a configuration came that can't be read; the old one stays."""

    version: int
    why: str


@dataclass(frozen=True, slots=True)
class PayoffsReceived:
    """Effect: the hosts' pooled payoffs, 0 to 1, those not named are 1."""

    hosts: tuple[tuple[str, float], ...]


Effect = SendPull | ApplySnapshot | SnapshotConfirmed | ConfigurationUnreadable | PayoffsReceived


class PullStateMachine:
    """Pulls for ever from one core member that answers. One pull is under way at a time."""

    def __init__(self, member: Member, seeds: Iterable[Address], chance: random.Random) -> None:
        self.serving = False
        self.snapshot: Snapshot | None = None
        self.confirmed_at: float | None = None
        self.due_at = 0.0
        self.outcomes: Callable[[], tuple[HostOutcomes, ...]] = (
            tuple  # asked at each pull, for what is new
        )
        self._member, self._chance = member, chance
        self._seeds: tuple[Address, ...] = ()
        self._cores: tuple[Address, ...] = ()
        self._hints: tuple[Address, ...] = ()
        self._order: list[Address] = []
        self._vector = VersionVector()
        self._parts = Snapshot(self._vector, Configuration(0, (), (), Limits(), ()), (), ())
        self._calls = 0
        self._open: tuple[int, float] | None = None  # call number, sent at
        self._failures = 0
        self._timeout_s = TIMEOUT_S
        self._backoff_s = BACKOFF_FIRST_S
        self._payoffs: tuple[bytes, tuple[tuple[str, float], ...]] = b"", ()
        self._bare_s = BARE_FIRST_S
        self.set_seeds(seeds)

    @property
    def in_flight(self) -> bool:
        """Whether a call's outcome is awaited; `wake` does nothing until then."""
        return self._open is not None

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """The settings' seeds, now."""
        self._seeds = tuple(dict.fromkeys(seeds))
        self._arrange()

    def add_core_hints(self, cores: Iterable[str]) -> None:
        """Addresses ("ip:port") that someone has heard of; tried after the core's own list."""
        hints = tuple(dict.fromkeys((*_addresses(cores), *self._hints)))[:HINTS_MOST]
        if set(hints) != set(self._hints):
            self._hints = hints
            self._arrange()

    @property
    def cores(self) -> tuple[Address, ...]:
        """The core's members, as a confirmed reply named them last."""
        return self._cores

    def wake(self, now: float) -> list[Effect]:
        """The time `due_at` has come, perhaps."""
        if self._open is not None or now < self.due_at or not self._order:
            return []
        self._calls += 1
        self._open = self._calls, now
        pull = PullRequest(self._member, self._vector, self.serving, self.outcomes())
        return [SendPull(self._calls, self._order[0], pull, self._timeout_s)]

    def pull_soon(self, now: float) -> None:
        """Something newer exists: pull soon."""
        self.due_at = min(self.due_at, now + SOONEST_AGAIN_S)

    def reply_received(
        self, call: int, reply: PullReply | DeltaPullReply | None, now: float
    ) -> list[Effect]:
        """The outcome of a call: the reply, or None. A reply whose hosts can't be read counts as
        none.
        """
        if self._open is None or self._open[0] != call:
            return []
        sent_at = self._open[1]
        self._open = None
        if isinstance(reply, DeltaPullReply):
            reply = expand_reply(reply, self._vector.hosts, self._parts.hosts)
        if reply is None or not reply.confirmed:
            self._failed(now)
            if reply is not None:
                self.add_core_hints(reply.cores)
            return []
        effects = self._take(reply, sent_at)
        if not any(isinstance(effect, SnapshotConfirmed) for effect in effects):
            self._failed(now)
            return effects
        self._failures, self._timeout_s, self._backoff_s = 0, TIMEOUT_S, BACKOFF_FIRST_S
        self._learn(reply.cores)
        effects += self._take_payoffs(reply.payoffs)
        self.due_at = now + self._pause_s() * (1 + JITTER * (2 * self._chance.random() - 1))
        return effects

    def _pause_s(self) -> float:
        """Until the next pull. Without any list of hosts nothing goes on here: the core will have
        one soon, or not for long.
        """
        if self._vector.hosts:
            return PULL_EVERY_S
        self._bare_s = min(PULL_EVERY_S, self._bare_s * BACKOFF_GROWTH)
        return self._bare_s

    def may_use_keys(self, now: float, revoke_s: float, strict: bool) -> bool:
        """Whether a request with a key may be sent to a host now."""
        if self.snapshot is None or self.confirmed_at is None:
            return False
        return not strict or now < self.confirmed_at + revoke_s - KEY_MARGIN_S

    def _failed(self, now: float) -> None:
        """The next member at once; after each round of all, a growing wait."""
        self._order.append(self._order.pop(0))
        self._failures += 1
        if self._failures % len(self._order):
            self.due_at = now
            return
        self.due_at = now + self._backoff_s * (1 + JITTER * (2 * self._chance.random() - 1))
        self._timeout_s = min(TIMEOUT_MOST_S, self._timeout_s * TIMEOUT_GROWTH)
        self._backoff_s = min(BACKOFF_MOST_S, self._backoff_s * BACKOFF_GROWTH)

    def _learn(self, cores: Iterable[str]) -> None:
        """An empty list says nothing new."""
        known = tuple(dict.fromkeys(_addresses(cores)))
        if known and set(known) != set(self._cores):
            self._cores = known
            self._arrange()

    def _arrange(self) -> None:
        """The member that answered last stays first; then the core's own list, hints, and seeds,
        shuffled.
        """
        first = self._order[:1] if self._failures == 0 and self._calls else []
        order: list[Address] = [address for address in first if address in self._cores]
        for group in (self._cores, self._hints, self._seeds):
            rest = [address for address in group if address not in order]
            self._chance.shuffle(rest)
            order += rest
        self._order = order or self._order

    def _take(self, reply: PullReply, sent_at: float) -> list[Effect]:
        """Move each part forward. A reply that misses a configuration it should have confirms
        nothing.
        """
        held, told = self._vector, reply.vector
        changed = self._parts
        effects: list[Effect] = []
        if told.configuration > held.configuration and reply.configuration is not None:
            try:
                configuration = Configuration.from_document(json.loads(reply.configuration))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                effects.append(ConfigurationUnreadable(told.configuration, repr(error)))
            else:
                held = replace(held, configuration=told.configuration)
                changed = replace(changed, configuration=configuration)
        if told.hosts > held.hosts and reply.hosts is not None:
            held, changed = replace(held, hosts=told.hosts), replace(changed, hosts=reply.hosts)
        if told.roster > held.roster and reply.roster is not None:
            held, changed = replace(held, roster=told.roster), replace(changed, roster=reply.roster)
        if held != self._vector:
            self._vector, self._parts = held, replace(changed, vector=held)
            if held.configuration:
                self.snapshot = self._parts
                effects.append(ApplySnapshot(self._parts))
        if told.configuration == held.configuration:
            self.confirmed_at = max(sent_at, self.confirmed_at or sent_at)
            effects.append(SnapshotConfirmed(self.confirmed_at))
        return effects

    def _take_payoffs(self, told: bytes) -> list[Effect]:
        """Nothing is told twice that says nothing."""
        before, hosts = self._payoffs
        if told != before:
            hosts = _read_payoffs(told)
            self._payoffs = told, hosts
        return [PayoffsReceived(hosts)] if told or before else []


def _read_payoffs(told: bytes) -> tuple[tuple[str, float], ...]:
    """Advice only: what can't be read speaks against no host."""
    try:
        pooled = decode_as(PooledPayoffs, told) if told else PooledPayoffs(())
    except RecordError:
        return ()
    return tuple((entry.host, min(1.0, max(0.0, entry.percent / 100))) for entry in pooled.hosts)


def _addresses(texts: Iterable[str]) -> list[Address]:
    """Those that can be read."""
    parts = [text.rpartition(":") for text in texts]
    return [
        (host, int(port)) for host, _, port in parts if host and port.isascii() and port.isdigit()
    ]
