"""A simulated core machine: the real member and pull service, and a disk that outlives both."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from roselink.controller.pull_effects import (
    ForwardedDeltaPull,
    ForwardToTail,
    PullEffect,
    RequestConfirmation,
    SendDeltaReply,
    SendReply,
)
from roselink.controller.pull_server import PullServer
from roselink.controller.storage import Storage, record_number
from roselink.coordination.effects import (
    Confirmation,
    Effect,
    Persist,
    ReadDone,
    Send,
    Store,
    SubmitDone,
    SubmitOutcome,
    VerifyRecord,
    ViewChanged,
    ViewProposed,
)
from roselink.coordination.member import TICK_S, Member, Start
from roselink.simulation.disk import FOLDER, MemoryFiles
from roselink.simulation.exceptions import ProcessCrashError, ProcessNotRunningError
from roselink.simulation.removal_check import check_removals

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.protocol.chain import ConfigurationChange
    from roselink.protocol.pull import DeltaPullReply, DeltaPullRequest, PullReply
    from roselink.simulation.cluster import Cluster
    from roselink.simulation.network import ReplyHandler

# The latency of a save, in seconds, and the bounds of a random factor that it is multiplied by.
SAVE_LATENCY_S = 0.015
LATENCY_FACTORS = (0.7, 1.5)
# The interval at which a save on a stalled disk is retried, in seconds.
STALL_POLL_S = 0.05
# The interval at which a stopping process checks whether it may end, and the time after which it
# ends in any case, in seconds.
STOP_POLL_S = 0.02
STOP_LIMIT_S = 4.0
# The approximate number of disk operations of one save; a killed process ends at one of them.
OPERATIONS_PER_SAVE = 14
FORWARD_TIMEOUT_S = 0.4
# The period of processor quotas, in seconds.
QUOTA_PERIOD_S = 0.1
MIN_WAIT_S = 1e-6
# The interval of calls for the platform's host list, and the latency of a call, in seconds.
HOST_LIST_INTERVAL_S = 0.3
HOST_LIST_LATENCY_S = 0.02


@dataclass
class Disk:
    """A disk that saves one record at a time through the real `Storage`.

    Attributes:
        files: the folder, which simulates losses of power.
        queue: the saves that have not completed.
        latency_s: the latency of a save before the random factor, in seconds.
        busy: whether a save is in progress.
        stalled: whether no save completes.
    """

    files: MemoryFiles = field(default_factory=MemoryFiles)
    queue: list[Persist] = field(default_factory=list)
    latency_s: float = SAVE_LATENCY_S
    busy: bool = False
    stalled: bool = False

    @property
    def full(self) -> bool:
        """Whether the disk is full, so that every write fails."""
        return self.files.full

    @full.setter
    def full(self, full: bool) -> None:
        self.files.full = full


@dataclass(frozen=True, slots=True)
class ProcessorQuota:
    """A processor quota: in each period the process runs until its share is spent.

    Attributes:
        busy_s: how long the process runs in each period, in seconds.
        phase_s: the start of one of its periods, in seconds of virtual time.
    """

    busy_s: float
    phase_s: float

    def throttled_s(self, now: float) -> float:
        """How long the process is throttled from now on, in seconds; 0 while it runs."""
        into_period_s = (now - self.phase_s) % QUOTA_PERIOD_S
        if into_period_s < self.busy_s:
            return 0.0
        # Rounding may leave a wait too short to advance the clock, which would be repeated forever.
        return max(QUOTA_PERIOD_S - into_period_s, MIN_WAIT_S)


class Machine:
    """One core machine with a disk and at most one process.

    Attributes:
        address: its peer address, host and port.
        member: the state machine of its process; None while no process runs.
        process_number: counts starts and ends of processes; a step that was scheduled under
            another number is dropped.
        frozen: whether the process is suspended.
        deferred: the inputs that arrived while the process was suspended.
        quota: the processor quota; None if the process is never throttled.
    """

    def __init__(self, cluster: Cluster, address: str) -> None:
        """Create a machine with an empty disk and no process."""
        self.cluster = cluster
        self.address = address
        self.disk = Disk()
        self.member: Member | None = None
        self.process_number = 0
        self.frozen = False
        self.deferred: list[Callable[[], None]] = []
        self.quota: ProcessorQuota | None = None
        self.pending_submits: dict[int, Callable[[SubmitOutcome], None]] = {}
        self.pending_reads: dict[int, Callable[[Confirmation | None], None]] = {}
        self.storage = Storage(FOLDER, self.disk.files)
        self.pull_server = PullServer()
        self.pending_pulls: dict[int, ReplyHandler] = {}

    @property
    def running(self) -> bool:
        """Whether it has a process that is not suspended."""
        return self.member is not None and not self.frozen

    def start(self, *, bootstrap: bool = False) -> None:
        """Start a process from the records on the disk; with `bootstrap` it may form a new core."""
        self.process_number += 1
        self.storage = Storage(FOLDER, self.disk.files)
        acceptor_state, state = self.storage.load()
        rng = self.cluster.random
        start = Start(
            address=self.address,
            seeds=self.cluster.seeds,
            bootstrap=bootstrap,
            tolerated=self.cluster.tolerated,
            session=rng.getrandbits(60) + 1,
            fresh_incarnation=rng.getrandbits(60) + 1,
            acceptor_state=acceptor_state,
            state=state,
        )
        self.member = Member(start, self.cluster.now)
        self.pull_server = PullServer()
        self.frozen = False
        self.perform(self.member.begin(self.cluster.now))
        self._tick(self.process_number)
        self._read_platform(self.process_number)

    def stop(self, ended: Callable[[], object] = lambda: None) -> None:
        """Have the process leave, and end once it may, as after SIGTERM.

        Args:
            ended: called when the process has ended, unless it was killed.
        """
        if self.member is None:
            return
        self.run(self.process_number, lambda member: member.leave(self.cluster.now))
        self._end_when_left(self.process_number, self.cluster.now + STOP_LIMIT_S, ended)

    def _end_when_left(
        self, process_number: int, deadline: float, ended: Callable[[], object]
    ) -> None:
        if process_number != self.process_number or self.member is None:
            return
        now = self.cluster.now
        if not self.frozen and (now >= deadline or self.member.may_end(now)):
            self.kill()
            ended()
            return
        again = partial(self._end_when_left, process_number, deadline, ended)
        self.cluster.after(STOP_POLL_S, again)

    def kill(self, *, power_loss: bool = False) -> None:
        """End the process at once, possibly during a save.

        Args:
            power_loss: whether the machine loses power too, so that unsynced writes may be lost or
                torn.
        """
        self.process_number += 1
        self.member = None
        self.frozen = False
        self.deferred = []
        self.pending_submits = {}
        self.pending_reads = {}
        self.pending_pulls = {}
        queue = self.disk.queue
        self.disk.queue = []
        self.disk.busy = False
        if queue and not self.disk.stalled:
            self._interrupt_save(queue[0])
        if power_loss:
            self.disk.files.lose_power(self.cluster.random)

    def _interrupt_save(self, save: Persist) -> None:
        """Run a save that crashes at a random disk operation."""
        files = self.disk.files
        files.inject_failure(
            self.cluster.random.randint(1, OPERATIONS_PER_SAVE), ProcessCrashError, persistent=True
        )
        try:
            self.storage.save(save.store, record_number(save.store), save.payload)
        except (ProcessCrashError, OSError):
            pass  # the disk keeps the state that the save left
        finally:
            files.clear_failure()

    def wipe(self) -> None:
        """Replace the disk by an empty one; no process may run."""
        self.disk = Disk()

    def freeze(self) -> None:
        """Suspend the process until `resume`."""
        self.frozen = True

    def resume(self) -> None:
        """Resume a suspended process, which first handles the inputs that arrived meanwhile."""
        self.frozen = False
        deferred = self.deferred
        self.deferred = []
        for step in deferred:
            step()

    def run(self, process_number: int, step: Callable[[Member], list[Effect]]) -> None:
        """Run a step of the process with this number, now or when it resumes."""
        if process_number != self.process_number or self.member is None:
            return
        if self.frozen:
            self.deferred.append(lambda: self.run(process_number, step))
            return
        throttled_s = self._throttled_s()
        if throttled_s:
            self.cluster.after(throttled_s, lambda: self.run(process_number, step))
            return
        self.perform(step(self.member))

    def _throttled_s(self) -> float:
        """How long the process is throttled from now on, in seconds."""
        return 0.0 if self.quota is None else self.quota.throttled_s(self.cluster.now)

    # --- calls

    def submit(self, change: ConfigurationChange, done: Callable[[SubmitOutcome], None]) -> None:
        """Submit a configuration change to the process.

        Raises:
            ProcessNotRunningError: no process runs.
        """
        if self.member is None:
            raise ProcessNotRunningError(self.address)
        number, effects = self.member.submit(change, self.cluster.now)
        self.pending_submits[number] = done
        self.perform(effects)

    def read(self, done: Callable[[Confirmation | None], None]) -> None:
        """Have the process read the configuration and the core confirm it.

        Raises:
            ProcessNotRunningError: no process runs.
        """
        if self.member is None:
            raise ProcessNotRunningError(self.address)
        number, effects = self.member.read(self.cluster.now)
        self.pending_reads[number] = done
        self.perform(effects)

    def handle_pull(
        self, message: DeltaPullRequest | ForwardedDeltaPull, send_reply: ReplyHandler, _: Member
    ) -> list[Effect]:
        """Handle a pull from a gateway, or one that another member forwarded."""
        number = self.cluster.next_number()
        self.pending_pulls[number] = send_reply
        forwarded = isinstance(message, ForwardedDeltaPull)
        self._serve(
            self.pull_server.pull_received(
                self.cluster.now, number, message.pull, forwarded=forwarded, delta=True
            )
        )
        return []

    # --- effects

    def perform(self, effects: list[Effect]) -> None:
        """Carry out the effects that the member's state machine returned."""
        for effect in effects:
            if isinstance(effect, Send):
                self.cluster.network.send(self.address, effect)
            elif isinstance(effect, Persist):
                self.disk.queue.append(effect)
                self._save_next(self.process_number)
            elif isinstance(effect, VerifyRecord):
                self._verify(self.process_number, effect.store)
            elif isinstance(effect, SubmitDone):
                self.pending_submits.pop(effect.number)(effect.outcome)
            elif isinstance(effect, ReadDone):
                self.pending_reads.pop(effect.number)(effect.confirmation)
            elif isinstance(effect, ViewChanged):
                self._view_changed()
            elif isinstance(effect, ViewProposed):
                check_removals(self.cluster, effect)

    def _view_changed(self) -> None:
        if self.member is None or self.member.view is None:
            return
        view = self.member.view
        host, _, port = view.chain[-1].voter.address.rpartition(":")
        cores = tuple(voter.address for voter in view.voters)
        is_tail = self.member.chain.is_tail
        self._serve(
            self.pull_server.view_changed(
                self.cluster.now, view.epoch, (host, int(port)), cores, is_tail=is_tail
            )
        )

    def _serve(self, effects: list[PullEffect]) -> None:
        for effect in effects:
            match effect:
                case RequestConfirmation(number):
                    self.read(partial(self._confirmed, number))
                case ForwardToTail(number, (host, port), message):
                    forwarded = partial(self._forwarded, self.process_number, number)
                    receiver = f"{host}:{port}"
                    self.cluster.network.call(
                        self.address, receiver, message, FORWARD_TIMEOUT_S, forwarded
                    )
                case SendReply(number, reply) | SendDeltaReply(number, reply):
                    send_reply = self.pending_pulls.pop(number, None)
                    if send_reply is not None:
                        send_reply(reply)

    def _confirmed(self, number: int, confirmation: Confirmation | None) -> None:
        self._serve(self.pull_server.confirmation_received(self.cluster.now, number, confirmation))

    def _forwarded(
        self, process_number: int, number: int, reply: PullReply | DeltaPullReply | None
    ) -> None:
        def step(_member: Member) -> list[Effect]:
            self._serve(self.pull_server.forward_completed(self.cluster.now, number, reply))
            return []

        self.run(process_number, step)

    def _read_platform(self, process_number: int) -> None:
        """Request the platform's host list periodically while the member is the tail."""
        if process_number != self.process_number or self.member is None:
            return
        self.cluster.after(HOST_LIST_INTERVAL_S, partial(self._read_platform, process_number))
        if self.frozen or not self.member.chain.is_tail or self.member.view is None:
            return
        hosts = self.cluster.listed_hosts()
        epoch = self.member.view.epoch

        def listed(_member: Member) -> list[Effect]:
            self._serve(self.pull_server.hosts_listed(self.cluster.now, epoch, hosts))
            return []

        self.cluster.after(HOST_LIST_LATENCY_S, lambda: self.run(process_number, listed))

    # --- the disk

    def _save_next(self, process_number: int) -> None:
        if self.disk.queue and not self.disk.busy:
            self.disk.busy = True
            latency = self.disk.latency_s * self.cluster.random.uniform(*LATENCY_FACTORS)
            self.cluster.after(latency, lambda: self._saved(process_number))

    def _saved(self, process_number: int) -> None:
        if process_number != self.process_number:
            return
        if self.disk.stalled:
            self.cluster.after(STALL_POLL_S, lambda: self._saved(process_number))
            return
        self.disk.busy = False
        save = self.disk.queue.pop(0)
        try:
            self.storage.save(save.store, record_number(save.store), save.payload)
        except OSError:
            self.run(
                process_number, lambda member: member.persist_failed(save.store, self.cluster.now)
            )
        else:
            self.run(process_number, lambda member: member.persisted(save.store, self.cluster.now))
        self._save_next(process_number)

    def _verify(self, process_number: int, store: Store) -> None:
        """Read a record back after the latency of the disk."""

        def read(member: Member) -> list[Effect]:
            return member.verified(store, self.storage.verify(store), self.cluster.now)

        self.cluster.after(self.disk.latency_s, lambda: self.run(process_number, read))

    def _tick(self, process_number: int) -> None:
        if process_number != self.process_number or self.member is None:
            return
        throttled_s = self._throttled_s()
        if throttled_s:
            self.cluster.after(throttled_s, lambda: self._tick(process_number))
            return
        if not self.frozen:
            self.perform(self.member.tick(self.cluster.now))
        self.cluster.after(TICK_S, lambda: self._tick(process_number))
