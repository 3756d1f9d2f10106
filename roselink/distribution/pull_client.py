"""Runs a `PullStateMachine`: calls over a `PeerPool`, a timer, and seeds from the settings."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from roselink.distribution.pull_state_machine import (
    ApplySnapshot,
    ConfigurationUnreadable,
    Effect,
    PayoffsReceived,
    PullStateMachine,
    SendPull,
    SnapshotConfirmed,
)
from roselink.model.settings import ProcessSettings, SettingsError, load_settings
from roselink.protocol.pull import DeltaPullReply, DeltaPullRequest, PullReply

if TYPE_CHECKING:
    from roselink.model.fleet import Member, Snapshot
    from roselink.protocol.payoffs import HostOutcomes
    from roselink.protocol.peer_pool import PeerPool
    from roselink.protocol.records import Record

log = logging.getLogger("roselink.distribution")

# Versions of hosts and roster are epoch * EPOCH_SPAN + counter (`VersionVector`).
EPOCH_SPAN = 1 << 32
# Interval of checks of the settings file, which may change without a signal.
SETTINGS_CHECK_INTERVAL_S = 1.0
Clock = Callable[[], float]
SnapshotCallback = Callable[["Snapshot"], None]


class FileStamp(NamedTuple):
    """File attributes that change when the settings file is written or replaced."""

    modified_ns: int
    size: int
    inode: int


class PullClient:
    """Keeps the snapshot in force at this gateway up to date.

    Times are of `time.monotonic`: an event loop's cached time is late after the process was
    suspended, and a lease checked against it would last too long.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        settings_path: str,
        pool: PeerPool,
        member: Member,
        clock: Clock = time.monotonic,
    ) -> None:
        """`settings_path` is the file that names the seeds; `member` is this gateway."""
        self._path = settings_path
        self._pool = pool
        self._clock = clock
        self._revoke_s = settings.thresholds.revoke_ms / 1000
        self._strict = settings.thresholds.revocation_strict
        rng = random.Random(os.urandom(8))
        self._machine = PullStateMachine(member, settings.seed_peers(), rng)
        self._on_snapshot: list[SnapshotCallback] = []
        self._on_confirmed: list[Callable[[float], None]] = []
        self._on_payoffs: Callable[[PayoffsReceived], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._settings_timer: asyncio.TimerHandle | None = None
        self._stamp = self._read_stamp()
        self._stopped = False

    def start(self) -> None:
        """Start to pull and to watch the settings file; needs a running event loop."""
        self._watch_settings()
        self._wake()

    def stop(self) -> None:
        """Cancel the timers and ignore outstanding replies."""
        self._stopped = True
        for timer in (self._timer, self._settings_timer):
            if timer is not None:
                timer.cancel()

    def snapshot(self) -> Snapshot | None:
        """Return the snapshot in force; None until a configuration is known."""
        return self._machine.snapshot

    def may_use_keys(self) -> bool:
        """Whether a request with an API key may be sent to a host now."""
        return self._machine.may_use_keys(self._clock(), self._revoke_s, strict=self._strict)

    def subscribe(self, callback: SnapshotCallback) -> None:
        """Call `callback` with each new snapshot, and at once with the one in force, if any."""
        self._on_snapshot.append(callback)
        if self._machine.snapshot is not None:
            callback(self._machine.snapshot)

    def subscribe_confirmed(self, callback: Callable[[float], None]) -> None:
        """Call `callback` on each confirmation, with a time after which the snapshot was newest."""
        self._on_confirmed.append(callback)

    def exchange_payoffs(
        self,
        outcomes: Callable[[], tuple[HostOutcomes, ...]],
        on_payoffs: Callable[[PayoffsReceived], None],
    ) -> None:
        """Send `outcomes()` with each pull; call `on_payoffs` with payoffs pooled over gateways."""
        self._machine.outcomes = outcomes
        self._on_payoffs = on_payoffs

    def cores(self) -> tuple[str, ...]:
        """Return the core members ("ip:port") of the last confirmed reply."""
        return tuple(f"{host}:{port}" for host, port in self._machine.cores)

    def add_core_hints(self, cores: Iterable[str]) -> None:
        """Add core addresses ("ip:port") received from a peer."""
        self._machine.add_core_hints(cores)

    def set_serving(self, *, serving: bool) -> None:
        """Set whether this gateway may be in the roster; the next pull, sent soon, reports it."""
        if serving != self._machine.serving:
            self._machine.serving = serving
            self.pull_soon()

    def pull_soon(self) -> None:
        """Send the next pull soon, because a newer version exists."""
        self._machine.pull_soon(self._clock())
        self._schedule()

    def reload(self) -> None:
        """Reload the seeds from the settings file; an invalid file changes nothing."""
        self._stamp = self._read_stamp()
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            log.warning("settings_rejected faults=%s", error)
            return
        self._machine.set_seeds(settings.seed_peers())
        self.pull_soon()

    def _watch_settings(self) -> None:
        if self._read_stamp() != self._stamp:
            self.reload()
        self._settings_timer = asyncio.get_running_loop().call_later(
            SETTINGS_CHECK_INTERVAL_S, self._watch_settings
        )

    def _read_stamp(self) -> FileStamp | None:
        try:
            file_status = os.stat(self._path)
        except OSError:
            return None
        return FileStamp(file_status.st_mtime_ns, file_status.st_size, file_status.st_ino)

    def _wake(self) -> None:
        self._timer = None
        self._perform(self._machine.wake(self._clock()))

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if self._stopped or self._machine.in_flight:
            return
        wait_s = max(0.0, self._machine.due_at - self._clock())
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._wake)

    def _reply_received(self, call: int, message: Record | None) -> None:
        if not self._stopped:
            reply = message if isinstance(message, PullReply | DeltaPullReply) else None
            self._perform(self._machine.reply_received(call, reply, self._clock()))

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendPull(call, address, pull, timeout_s):
                    on_reply = partial(self._reply_received, call)
                    self._pool.call(address, DeltaPullRequest(pull), timeout_s, on_reply)
                case ApplySnapshot(snapshot):
                    self._publish(snapshot)
                case SnapshotConfirmed(at):
                    for on_confirmed in self._on_confirmed:
                        on_confirmed(at)
                case PayoffsReceived():
                    if self._on_payoffs is not None:
                        self._on_payoffs(effect)
                case ConfigurationUnreadable(version, reason):
                    log.error("configuration_unreadable version=%d why=%s", version, reason)
        self._schedule()

    def _publish(self, snapshot: Snapshot) -> None:
        vector = snapshot.vector
        log.info(
            "snapshot_applied configuration=%d hosts=%d:%d roster=%d:%d",
            vector.configuration,
            *divmod(vector.hosts, EPOCH_SPAN),
            *divmod(vector.roster, EPOCH_SPAN),
        )
        for callback in self._on_snapshot:
            try:
                callback(snapshot)
            # An exception in one subscriber must not stop the other subscribers or the pulls.
            except Exception:
                log.exception("snapshot_callback_failed")
