"""The asyncio driver of one core member's chain: clock, peers' connections, disk thread."""

from __future__ import annotations

import asyncio
import queue
import secrets
import threading
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from roselink.controller.chain_interface import DiskStatus
from roselink.controller.chain_log import ChainLog
from roselink.controller.exceptions import DataDirMissingError
from roselink.controller.startup_log import log
from roselink.controller.storage import Storage, record_number
from roselink.coordination.effects import (
    Confirmation,
    Effect,
    OutcomeUnknown,
    Persist,
    ReadDone,
    RecordDamaged,
    Send,
    Store,
    SubmitDone,
    SubmitOutcome,
    VerificationOutcome,
    VerifyRecord,
    ViewChanged,
    ViewProposed,
)
from roselink.coordination.member import TICK_S, Member, Start
from roselink.coordination.messages import is_chain_message
from roselink.protocol.chain import AcceptorState, ConfigurationChange, StoredState, View

if TYPE_CHECKING:
    from roselink.model.settings import ProcessSettings
    from roselink.protocol.peer_connection import Address, ReplySender
    from roselink.protocol.peer_pool import PeerPool

LOAD_RETRY_INTERVAL_S = 0.2
_LEAVE_CHECK_INTERVAL_S = 0.02
# Sessions and incarnations are random, so that no two starts share one, and stay below the largest
# integer of a record.
_SESSION_BITS = 61

LoadedRecords = tuple[AcceptorState | None, StoredState | None]
Job = Callable[[], None] | None


class ChainDriver:
    """One core member on real sockets and a real disk.

    All methods are for the event loop's thread.
    """

    def __init__(
        self, settings: ProcessSettings, pool: PeerPool, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Make the driver; `start` reads the disk and joins the chain.

        Args:
            settings: the process's settings, with a `data_dir`.
            pool: the connections to the other members.
            loop: the event loop.

        Raises:
            DataDirMissingError: the settings name no disk folder.
        """
        if settings.data_dir is None:
            raise DataDirMissingError(settings.node_name)
        self._settings = settings
        self._pool = pool
        self._loop = loop
        self._storage = Storage(settings.data_dir)
        self._jobs: queue.SimpleQueue[Job] = queue.SimpleQueue()
        self._worker: threading.Thread | None = None
        self._member: Member | None = None
        self._running = False
        self._log = ChainLog()
        self._timer: asyncio.TimerHandle | None = None
        self._submits: dict[int, Callable[[SubmitOutcome], None]] = {}
        self._reads: dict[int, Callable[[Confirmation | None], None]] = {}
        self._view_callbacks: list[Callable[[], None]] = []

    # --- start and stop

    def start(self) -> None:
        """Read the disk, then join the chain.

        Nothing else can be done before the disk is read, so the event loop's thread reads it. The
        first save or verification starts the disk's worker thread.
        """
        self._running = True
        self._load_records()

    async def stop(self) -> None:
        """Leave the chain and the voters, and stop; a caller may limit the time by cancelling."""
        try:
            if self._member is not None and self._running:
                await self._leave(self._member)
        finally:
            self.halt()

    async def _leave(self, member: Member) -> None:
        self._perform(member.leave(self._loop.time()))
        try:
            while not member.may_end(self._loop.time()):
                await asyncio.sleep(_LEAVE_CHECK_INTERVAL_S)
        finally:
            self._log.left(member)

    def halt(self) -> None:
        """Stop at once; calls in flight end with an unknown outcome."""
        self._running = False
        self._jobs.put(None)
        if self._timer is not None:
            self._timer.cancel()
        submits = self._submits
        self._submits = {}
        reads = self._reads
        self._reads = {}
        for submit_done in submits.values():
            submit_done(OutcomeUnknown())
        for read_done in reads.values():
            read_done(None)

    # --- calls

    def handle(self, peer: Address, message: object, reply: ReplySender) -> bool:
        """Handle a chain record from a peer; return False for any other record."""
        if not is_chain_message(message):
            return False
        if self._member is not None and self._running:
            self._perform(self._member.receive(message, self._loop.time()))
        return True

    def submit(self, change: ConfigurationChange, done: Callable[[SubmitOutcome], None]) -> None:
        """Submit a change to the chain's head; `done` gets its outcome within about 2.5 s."""
        if self._member is None or not self._running:
            done(OutcomeUnknown())
            return
        number, effects = self._member.submit(change, self._loop.time())
        self._submits[number] = done
        self._perform(effects)

    def confirm(self, done: Callable[[Confirmation | None], None]) -> None:
        """Read the committed state linearizably, as of a moment after this call.

        `done` gets None if nothing could be confirmed within about 1.5 s.
        """
        if self._member is None or not self._running:
            done(None)
            return
        number, effects = self._member.read(self._loop.time())
        self._reads[number] = done
        self._perform(effects)

    def set_seeds(self, settings: ProcessSettings) -> None:
        """Use the seeds of a changed settings file."""
        self._settings = settings
        if self._member is not None:
            self._member.set_seeds(_seeds(settings))

    def on_view_change(self, callback: Callable[[], None]) -> None:
        """Register a callback, called when the view changes or its chain becomes active."""
        self._view_callbacks.append(callback)

    # --- the view

    @property
    def is_tail(self) -> bool:
        """Whether this member is the tail of an active view, to its knowledge."""
        return self._member is not None and self._running and self._member.chain.is_tail

    @property
    def tail(self) -> Address | None:
        """The peer address of the newest known view's tail."""
        view = self._member.view if self._member is not None else None
        return None if view is None else _address(view.chain[-1].voter.address)

    @property
    def epoch(self) -> int:
        """The newest known view's epoch; 0 before the first."""
        view = self._member.view if self._member is not None else None
        return 0 if view is None else view.epoch

    def core_addresses(self) -> tuple[str, ...]:
        """The peer addresses of the newest known view's voters."""
        view = self._member.view if self._member is not None else None
        return () if view is None else tuple(voter.address for voter in view.voters)

    def chain_addresses(self) -> tuple[str, ...]:
        """The peer addresses of the newest known view's chain, from head to tail."""
        view = self._member.view if self._member is not None else None
        return () if view is None else tuple(replica.voter.address for replica in view.chain)

    @property
    def forming(self) -> bool:
        """Whether enough members are live to agree on a view, and none is active here yet.

        Each delay of a message delays the view then, so other work should be deferred.
        """
        return (
            self._member is not None
            and self._running
            and self._member.is_awaited(self._loop.time())
        )

    @property
    def disk_ok(self) -> bool:
        """Whether the last saves succeeded in time."""
        return self._member is not None and self._member.disk_is_healthy

    def disk_status(self) -> DiskStatus:
        """The disk's health, and what the scrub has found on it."""
        if self._member is None:
            return DiskStatus(healthy=False, checks=0, damaged=0, checked_s=None)
        scrubber = self._member.scrubber
        checked_s = None
        if scrubber.checked_at is not None:
            checked_s = self._loop.time() - scrubber.checked_at
        return DiskStatus(self.disk_ok, scrubber.checks, scrubber.damaged, checked_s)

    # --- effects

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._perform_one(effect)

    def _perform_one(self, effect: Effect) -> None:
        match effect:
            case Send(to, message):
                self._pool.notify(_address(to), message)
            case Persist():
                self._save(effect)
            case VerifyRecord(store):
                self._verify(store)
            case RecordDamaged() | ViewProposed():
                self._log.note(effect)
            case SubmitDone(number, outcome):
                if (submit_done := self._submits.pop(number, None)) is not None:
                    submit_done(outcome)
            case ReadDone(number, confirmation):
                if (read_done := self._reads.pop(number, None)) is not None:
                    read_done(confirmation)
            case ViewChanged(view):
                self._view_changed(view)

    def _view_changed(self, view: View) -> None:
        self._log.view_changed(view, is_tail=self.is_tail)
        for callback in self._view_callbacks:
            callback()

    def _tick(self) -> None:
        if self._member is None or not self._running:
            return
        # Scheduled before the work, so that an exception in one tick doesn't end all later ones.
        self._timer = self._loop.call_later(TICK_S, self._tick)
        now = self._loop.time()
        self._perform(self._member.tick(now))
        self._log.quorum(self._member, now)

    # --- the disk's worker thread

    def _run_jobs(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()

    def _queue_job(self, job: Callable[[], None]) -> None:
        if self._worker is None:
            self._worker = threading.Thread(target=self._run_jobs, name="disk", daemon=True)
            self._worker.start()
        self._jobs.put(job)

    def _call_in_loop(self, callback: Callable[[], None]) -> None:
        """Schedule a call on the event loop's thread; drop it if the loop is closed."""
        try:
            self._loop.call_soon_threadsafe(callback)
        except RuntimeError:
            log.info("disk_result_dropped")

    def _load_records(self) -> None:
        """Read the disk, with retries until it succeeds, and start the member."""
        if not self._running:
            return
        try:
            loaded = self._storage.load()
        except OSError as error:
            log.warning("disk_read_failed", error=str(error))
            self._loop.call_later(LOAD_RETRY_INTERVAL_S, self._load_records)
            return
        self._log_unusable_records(loaded)
        self._start_member(loaded)

    def _log_unusable_records(self, loaded: LoadedRecords) -> None:
        for store, generation in self._storage.damaged:
            log.warning("disk_record_unusable", record=store.value, generation=generation)
        if self._storage.damaged and loaded == (None, None):
            log.error("disk_counts_as_lost")

    def _start_member(self, loaded: LoadedRecords) -> None:
        settings = self._settings
        start = Start(
            address=f"{settings.ip}:{settings.peer_port}",
            seeds=_seeds(settings),
            bootstrap=settings.bootstrap,
            tolerated=settings.tolerated_nodes,
            session=secrets.randbits(_SESSION_BITS) + 1,
            fresh_incarnation=secrets.randbits(_SESSION_BITS) + 1,
            acceptor_state=loaded[0],
            state=loaded[1],
        )
        now = self._loop.time()
        self._member = Member(start, now)
        self._perform(self._member.begin(now))
        self._tick()

    def _save(self, effect: Persist) -> None:
        def job() -> None:
            try:
                self._storage.save(effect.store, record_number(effect.store), effect.payload)
            except OSError as error:
                log.warning("disk_write_failed", error=str(error))
                self._call_in_loop(partial(self._save_ended, effect.store, succeeded=False))
            else:
                self._call_in_loop(partial(self._save_ended, effect.store, succeeded=True))

        self._queue_job(job)

    def _save_ended(self, store: Store, *, succeeded: bool) -> None:
        if self._member is None or not self._running:
            return
        now = self._loop.time()
        if succeeded:
            self._perform(self._member.persisted(store, now))
        else:
            self._perform(self._member.persist_failed(store, now))

    def _verify(self, store: Store) -> None:
        def job() -> None:
            outcome = self._storage.verify(store)
            self._call_in_loop(partial(self._verified, store, outcome))

        self._queue_job(job)

    def _verified(self, store: Store, outcome: VerificationOutcome) -> None:
        if self._member is not None and self._running:
            self._perform(self._member.verified(store, outcome, self._loop.time()))


def _seeds(settings: ProcessSettings) -> tuple[str, ...]:
    return tuple(f"{host}:{port}" for host, port in settings.seed_peers())


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)
