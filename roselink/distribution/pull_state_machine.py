"""When a gateway pulls and from which core member, what is in force, and how long keys may be used.

No clock and no I/O: `now` is in seconds of one monotonic clock. Each part of the snapshot only
moves forward. The lease on keys begins when a confirmed pull was SENT: a key's removal that was
acknowledged before then is in the reply, and one acknowledged later leaves `revoke_ms` from a
moment after it. A request was sent by its client before the gateway checks, so the check itself
needs no more than a margin for clock rates.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, NamedTuple

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

    from roselink.protocol.peer_connection import Address

PULL_INTERVAL_S = 0.2
# Fraction of an interval or a backoff, either way.
JITTER = 0.2
TIMEOUT_S = 0.3
# After each round of failures: the core may be slow, not dead.
TIMEOUT_GROWTH = 1.5
MAX_TIMEOUT_S = 1.0
# Between pulls while there is no list of hosts; it grows to the ordinary interval.
INITIAL_INTERVAL_S = 0.03
# After every known member failed once.
INITIAL_BACKOFF_S = 0.05
BACKOFF_GROWTH = 1.5
MAX_BACKOFF_S = 0.25
# Until a pull that `pull_soon` asks for.
PULL_SOON_DELAY_S = 0.05
# The lease on keys ends so much earlier, for clocks of different rates.
KEY_LEASE_MARGIN_S = 0.2
MAX_HINTS = 16


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
    """Effect: a configuration came that can't be read; the old one stays in force."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class PayoffsReceived:
    """Effect: the hosts' pooled payoffs, 0 to 1; those not named are 1."""

    hosts: tuple[tuple[str, float], ...]


Effect = SendPull | ApplySnapshot | SnapshotConfirmed | ConfigurationUnreadable | PayoffsReceived


class _PendingPull(NamedTuple):
    """The pull whose outcome is awaited."""

    call: int
    sent_at: float


class PullStateMachine:
    """Pulls for ever, from one core member after the other until one replies.

    One pull is in flight at a time. `due_at` is when `wake` sends the next one; `outcomes` is
    called for each pull, and returns the attempts at hosts since its call before.
    """

    def __init__(self, member: Member, seeds: Iterable[Address], rng: random.Random) -> None:
        """`member` is this gateway; `seeds` are core members from the settings."""
        self.serving = False
        self.snapshot: Snapshot | None = None
        self.confirmed_at: float | None = None
        self.due_at = 0.0
        self.outcomes: Callable[[], tuple[HostOutcomes, ...]] = tuple
        self._member = member
        self._rng = rng
        self._seeds: tuple[Address, ...] = ()
        self._cores: tuple[Address, ...] = ()
        self._hints: tuple[Address, ...] = ()
        # Core members in the sequence in which they are tried.
        self._candidates: list[Address] = []
        self._vector = VersionVector()
        # The newest of each part; it becomes `snapshot` once there is a configuration.
        self._latest = Snapshot(self._vector, Configuration(0, (), (), Limits(), ()), (), ())
        self._last_call = 0
        self._pending: _PendingPull | None = None
        self._failures = 0
        self._timeout_s = TIMEOUT_S
        self._backoff_s = INITIAL_BACKOFF_S
        self._encoded_payoffs = b""
        self._payoffs = PayoffsReceived(())
        self._initial_interval_s = INITIAL_INTERVAL_S
        self.set_seeds(seeds)

    @property
    def in_flight(self) -> bool:
        """Whether a pull's outcome is awaited; `wake` does nothing until then."""
        return self._pending is not None

    @property
    def cores(self) -> tuple[Address, ...]:
        """The core's members, as a confirmed reply named them last."""
        return self._cores

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the core members that the settings name."""
        self._seeds = tuple(dict.fromkeys(seeds))
        self._order_candidates()

    def add_core_hints(self, cores: Iterable[str]) -> None:
        """Add core members ("ip:port") that others named; tried after the core's own list."""
        hints = tuple(dict.fromkeys((*_parse_addresses(cores), *self._hints)))[:MAX_HINTS]
        if set(hints) != set(self._hints):
            self._hints = hints
            self._order_candidates()

    def wake(self, now: float) -> list[Effect]:
        """Send a pull if one is due and none is in flight."""
        if self._pending is not None or now < self.due_at or not self._candidates:
            return []
        self._last_call += 1
        self._pending = _PendingPull(self._last_call, now)
        pull = PullRequest(self._member, self._vector, self.serving, self.outcomes())
        return [SendPull(self._last_call, self._candidates[0], pull, self._timeout_s)]

    def pull_soon(self, now: float) -> None:
        """Bring the next pull forward: something newer exists."""
        self.due_at = min(self.due_at, now + PULL_SOON_DELAY_S)

    def reply_received(
        self, call: int, reply: PullReply | DeltaPullReply | None, now: float
    ) -> list[Effect]:
        """Take the outcome of a pull: the reply, or None.

        A reply whose hosts can't be decoded counts as none.
        """
        if self._pending is None or self._pending.call != call:
            return []
        sent_at = self._pending.sent_at
        self._pending = None
        if isinstance(reply, DeltaPullReply):
            reply = expand_reply(reply, self._vector.hosts, self._latest.hosts)
        if reply is None or not reply.confirmed:
            self._pull_failed(now)
            if reply is not None:
                self.add_core_hints(reply.cores)
            return []
        effects = self._apply_reply(reply, sent_at)
        if not any(isinstance(effect, SnapshotConfirmed) for effect in effects):
            self._pull_failed(now)
            return effects
        self._failures = 0
        self._timeout_s = TIMEOUT_S
        self._backoff_s = INITIAL_BACKOFF_S
        self._set_cores(reply.cores)
        effects += self._apply_payoffs(reply.payoffs)
        self.due_at = now + self._jittered(self._next_interval_s())
        return effects

    def may_use_keys(self, now: float, revoke_s: float, *, strict: bool) -> bool:
        """Whether a request with a key may be sent to a host now.

        Args:
            now: seconds of the machine's clock.
            revoke_s: within how many seconds the removal of a key takes effect.
            strict: whether keys end with their lease when no pull is confirmed.
        """
        if self.snapshot is None or self.confirmed_at is None:
            return False
        return not strict or now < self.confirmed_at + revoke_s - KEY_LEASE_MARGIN_S

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + JITTER * (2 * self._rng.random() - 1))

    def _next_interval_s(self) -> float:
        """Until the next pull.

        Without any list of hosts the gateway serves nothing: the core will have a list soon, so
        the first pulls follow each other closely.
        """
        if self._vector.hosts:
            return PULL_INTERVAL_S
        self._initial_interval_s = min(PULL_INTERVAL_S, self._initial_interval_s * BACKOFF_GROWTH)
        return self._initial_interval_s

    def _pull_failed(self, now: float) -> None:
        """Try the next member at once; after each round of all, wait for a growing backoff."""
        self._candidates.append(self._candidates.pop(0))
        self._failures += 1
        if self._failures % len(self._candidates):
            self.due_at = now
            return
        self.due_at = now + self._jittered(self._backoff_s)
        self._timeout_s = min(MAX_TIMEOUT_S, self._timeout_s * TIMEOUT_GROWTH)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * BACKOFF_GROWTH)

    def _set_cores(self, texts: Iterable[str]) -> None:
        """Take the core's own list of its members; an empty one changes nothing."""
        cores = tuple(dict.fromkeys(_parse_addresses(texts)))
        if cores and set(cores) != set(self._cores):
            self._cores = cores
            self._order_candidates()

    def _order_candidates(self) -> None:
        """Order: the member that replied last, the core's own list, hints, seeds; each shuffled."""
        first = self._candidates[:1] if self._failures == 0 and self._last_call else []
        candidates: list[Address] = [address for address in first if address in self._cores]
        for group in (self._cores, self._hints, self._seeds):
            rest = [address for address in group if address not in candidates]
            self._rng.shuffle(rest)
            candidates += rest
        self._candidates = candidates or self._candidates

    def _apply_reply(self, reply: PullReply, sent_at: float) -> list[Effect]:
        """Move each part forward.

        A reply that names a newer configuration and lacks it confirms nothing.
        """
        current = self._vector
        newest = reply.vector
        latest = self._latest
        effects: list[Effect] = []
        if newest.configuration > current.configuration and reply.configuration is not None:
            try:
                configuration = Configuration.from_document(json.loads(reply.configuration))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                effects.append(ConfigurationUnreadable(newest.configuration, repr(error)))
            else:
                current = replace(current, configuration=newest.configuration)
                latest = replace(latest, configuration=configuration)
        if newest.hosts > current.hosts and reply.hosts is not None:
            current = replace(current, hosts=newest.hosts)
            latest = replace(latest, hosts=reply.hosts)
        if newest.roster > current.roster and reply.roster is not None:
            current = replace(current, roster=newest.roster)
            latest = replace(latest, roster=reply.roster)
        if current != self._vector:
            self._vector = current
            self._latest = replace(latest, vector=current)
            if current.configuration:
                self.snapshot = self._latest
                effects.append(ApplySnapshot(self._latest))
        if newest.configuration == current.configuration:
            self.confirmed_at = max(sent_at, self.confirmed_at or sent_at)
            effects.append(SnapshotConfirmed(self.confirmed_at))
        return effects

    def _apply_payoffs(self, encoded: bytes) -> list[Effect]:
        """Payoffs are passed on with every reply, but empty ones only once."""
        before = self._encoded_payoffs
        if encoded != before:
            self._payoffs = PayoffsReceived(_decode_payoffs(encoded))
            self._encoded_payoffs = encoded
        return [self._payoffs] if encoded or before else []


def _decode_payoffs(encoded: bytes) -> tuple[tuple[str, float], ...]:
    """Payoffs are advice only: with bytes that can't be decoded every host has a payoff of 1."""
    try:
        pooled = decode_as(PooledPayoffs, encoded) if encoded else PooledPayoffs(())
    except RecordError:
        return ()
    return tuple((entry.host, min(1.0, max(0.0, entry.percent / 100))) for entry in pooled.hosts)


def _parse_addresses(texts: Iterable[str]) -> list[Address]:
    """Addresses from "ip:port"; malformed ones are left out."""
    pairs = [text.rpartition(":") for text in texts]
    return [
        (host, int(port)) for host, _, port in pairs if host and port.isascii() and port.isdigit()
    ]
