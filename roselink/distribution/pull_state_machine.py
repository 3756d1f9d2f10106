"""The state machine of pulls: timing, choice of the core member, snapshot and lease on API keys.

This module reads no clock and performs no I/O: `now` is in seconds of one monotonic clock. The
version of each section of the snapshot only increases. The lease on API keys starts when a
confirmed pull was sent, not when its reply was received: a key's removal that was acknowledged
before that is in the reply, and one acknowledged later has `revoke_ms` from a time after the start
of the lease. Clients send requests before the gateway checks the lease, so the check needs only a
margin for differing clock rates.
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

# Interval of pulls. A smaller value distributes changes sooner and loads the core more.
PULL_INTERVAL_S = 0.2
# Largest random deviation of an interval or a backoff, as a fraction of it. It keeps gateways from
# pulling at the same time.
JITTER = 0.2
# Time-out of a pull, before any failure. A larger value delays the next member if one has failed; a
# smaller one counts slow members as failed.
TIMEOUT_S = 0.3
# Growth of the time-out after all members failed: the core may be slow rather than down.
TIMEOUT_GROWTH = 1.5
MAX_TIMEOUT_S = 1.0
# Initial interval while no host list is known; it grows to `PULL_INTERVAL_S`.
INITIAL_INTERVAL_S = 0.03
# Backoff after all known members failed.
INITIAL_BACKOFF_S = 0.05
BACKOFF_GROWTH = 1.5
MAX_BACKOFF_S = 0.25
# Longest delay of the next pull after `pull_soon`. A larger value merges more calls into one pull.
PULL_SOON_DELAY_S = 0.05
# The lease on API keys ends earlier by this margin, for differing clock rates.
KEY_LEASE_MARGIN_S = 0.2
# Number of hinted core addresses that are kept.
MAX_HINTS = 16


@dataclass(frozen=True, slots=True)
class SendPull:
    """Effect: call a core member; `PullStateMachine.reply_received` takes the outcome."""

    call: int
    address: Address
    pull: PullRequest
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ApplySnapshot:
    """Effect: a new snapshot is in force."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class SnapshotConfirmed:
    """Effect: the snapshot was the newest at a time after `at`, when the pull was sent."""

    at: float


@dataclass(frozen=True, slots=True)
class ConfigurationUnreadable:
    """Effect: a received configuration can't be decoded; the old one stays in force."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class PayoffsReceived:
    """Effect: the hosts' pooled payoffs, 0 to 1; 1 for hosts not listed."""

    hosts: tuple[tuple[str, float], ...]


Effect = SendPull | ApplySnapshot | SnapshotConfirmed | ConfigurationUnreadable | PayoffsReceived


class _PendingPull(NamedTuple):
    """The pull in flight."""

    call: int
    sent_at: float


class PullStateMachine:
    """Pulls repeatedly; after a failure it tries the next core member.

    At most one pull is in flight. `due_at` is when `wake` sends the next one; `outcomes` is called
    for each pull and returns the attempts at hosts since its previous call.
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
        # Core members in the order in which they are tried.
        self._candidates: list[Address] = []
        self._vector = VersionVector()
        # The newest sections received; published as `snapshot` once a configuration is known.
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
        """Whether a pull is in flight; `wake` does nothing until its outcome is processed."""
        return self._pending is not None

    @property
    def cores(self) -> tuple[Address, ...]:
        """The core members of the last confirmed reply."""
        return self._cores

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the core members from the settings."""
        self._seeds = tuple(dict.fromkeys(seeds))
        self._rebuild_candidates()

    def add_core_hints(self, cores: Iterable[str]) -> None:
        """Add core members ("ip:port") from other sources, tried after the core's own list."""
        hints = tuple(dict.fromkeys((*_parse_addresses(cores), *self._hints)))[:MAX_HINTS]
        if set(hints) != set(self._hints):
            self._hints = hints
            self._rebuild_candidates()

    def wake(self, now: float) -> list[Effect]:
        """Send a pull if one is due and none is in flight."""
        if self._pending is not None or now < self.due_at or not self._candidates:
            return []
        self._last_call += 1
        self._pending = _PendingPull(self._last_call, now)
        pull = PullRequest(self._member, self._vector, self.serving, self.outcomes())
        return [SendPull(self._last_call, self._candidates[0], pull, self._timeout_s)]

    def pull_soon(self, now: float) -> None:
        """Send the next pull soon, because a newer version exists."""
        self.due_at = min(self.due_at, now + PULL_SOON_DELAY_S)

    def reply_received(
        self, call: int, reply: PullReply | DeltaPullReply | None, now: float
    ) -> list[Effect]:
        """Process the outcome of a pull: the reply, or None if there was none.

        A `DeltaPullReply` that can't be expanded counts as None.
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
        """Whether a request with an API key may be sent to a host now.

        Args:
            now: the time in seconds.
            revoke_s: the time within which the removal of a key must take effect.
            strict: whether keys become invalid when the lease expires without a confirmed pull.
        """
        if self.snapshot is None or self.confirmed_at is None:
            return False
        return not strict or now < self.confirmed_at + revoke_s - KEY_LEASE_MARGIN_S

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + JITTER * (2 * self._rng.random() - 1))

    def _next_interval_s(self) -> float:
        """Return the interval until the next pull.

        A gateway without a host list can't serve, and the core will have a list soon, so the first
        intervals are short.
        """
        if self._vector.hosts:
            return PULL_INTERVAL_S
        self._initial_interval_s = min(PULL_INTERVAL_S, self._initial_interval_s * BACKOFF_GROWTH)
        return self._initial_interval_s

    def _pull_failed(self, now: float) -> None:
        """Schedule the next member at once, or after a growing backoff once all have failed."""
        self._candidates.append(self._candidates.pop(0))
        self._failures += 1
        if self._failures % len(self._candidates):
            self.due_at = now
            return
        self.due_at = now + self._jittered(self._backoff_s)
        self._timeout_s = min(MAX_TIMEOUT_S, self._timeout_s * TIMEOUT_GROWTH)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * BACKOFF_GROWTH)

    def _set_cores(self, texts: Iterable[str]) -> None:
        """Adopt the core's own list of its members; an empty one changes nothing."""
        cores = tuple(dict.fromkeys(_parse_addresses(texts)))
        if cores and set(cores) != set(self._cores):
            self._cores = cores
            self._rebuild_candidates()

    def _rebuild_candidates(self) -> None:
        """Order: the last member that replied, the core's own list, hints, seeds; each shuffled."""
        first = self._candidates[:1] if self._failures == 0 and self._last_call else []
        candidates: list[Address] = [address for address in first if address in self._cores]
        for group in (self._cores, self._hints, self._seeds):
            rest = [address for address in group if address not in candidates]
            self._rng.shuffle(rest)
            candidates += rest
        self._candidates = candidates or self._candidates

    def _apply_reply(self, reply: PullReply, sent_at: float) -> list[Effect]:
        """Apply the newer sections of a reply.

        A reply that names a newer configuration and doesn't include it confirms nothing.
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
        """Return the payoffs as an effect of every reply, but empty ones only once."""
        before = self._encoded_payoffs
        if encoded != before:
            self._payoffs = PayoffsReceived(_decode_payoffs(encoded))
            self._encoded_payoffs = encoded
        return [self._payoffs] if encoded or before else []


def _decode_payoffs(encoded: bytes) -> tuple[tuple[str, float], ...]:
    """Decode payoffs; none if malformed: they are advisory, and hosts not listed have 1."""
    try:
        pooled = decode_as(PooledPayoffs, encoded) if encoded else PooledPayoffs(())
    except RecordError:
        return ()
    return tuple((entry.host, min(1.0, max(0.0, entry.percent / 100))) for entry in pooled.hosts)


def _parse_addresses(texts: Iterable[str]) -> list[Address]:
    """Parse addresses of the form "ip:port"; malformed ones are omitted."""
    pairs = [text.rpartition(":") for text in texts]
    return [
        (host, int(port)) for host, _, port in pairs if host and port.isascii() and port.isdigit()
    ]
