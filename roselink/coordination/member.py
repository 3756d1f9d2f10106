"""One core member: heartbeats, agreed views, the chain, changes and confirmed reads combined.

It does no I/O and reads no clock. Inputs are method calls with `now` (seconds of one monotonic
clock); each returns the effects in order. The modules document and prove their invariants: V1 to V5
in `views` (acknowledged writes survive view changes), A1 to A3 in `acceptor` and R1 to R4 in
`proposal_round` (Paxos decides one view per epoch), K1 to K3 in `chain` (what is committed), C1 and
C2 in `reads` (a confirmed read misses no write), H1 in `sequencer` and S1 in `state` (a refusal is
permanent). This module has to ensure:

M1. A vote is sent only once it is durable: `reply_gate` buffers each reply until its version of the
    `AcceptorState` is on the disk.
M2. A decided view is entered at once, before it is on this disk. A member that restarts with an
    older view is equivalent to one that hasn't learned of the newer one; it does not participate in
    any chain of its earlier process, because the view names another session. Its state may be of a
    later epoch than its view; that epoch only says how new the state is.
M3. Once a member has entered a newer view, it handles no message of the older epoch. Accepting a
    proposal changes nothing in its chain: the older epoch may still acknowledge through it, and the
    new head begins with the state that it has when it enters the new view itself.
M4. A process that was suspended resumes with its old view. Each write that it could still
    acknowledge is on the disks of that entire chain, including the next head's; a read needs
    replies to a round, which voters that accepted a newer view refuse.
M5. A member whose disk was lost has a new incarnation: it is a different voter, and is added by a
    view change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.coordination.acceptor import Acceptor
from roselink.coordination.chain import ChainMember
from roselink.coordination.departure import Departure
from roselink.coordination.disk_health import DiskHealth
from roselink.coordination.effects import (
    Effect,
    Persist,
    Send,
    Store,
    VerificationOutcome,
    ViewChanged,
)
from roselink.coordination.exceptions import DriverContractError
from roselink.coordination.heartbeats import HeartbeatSender
from roselink.coordination.messages import MessageDispatcher
from roselink.coordination.peer_status import ViewPolicy
from roselink.coordination.peer_table import PeerTable
from roselink.coordination.pending_calls import PendingCalls
from roselink.coordination.proposer import Proposer
from roselink.coordination.reads import ReadRounds
from roselink.coordination.reply_gate import ReplyGate
from roselink.coordination.scrub import Scrubber
from roselink.coordination.sequencer import ChangeSequencer
from roselink.coordination.state import EMPTY
from roselink.coordination.views import (
    chain_is_reconnected,
    first_view,
    majority,
)
from roselink.coordination.voter_plan import staying_voters_lack_majority
from roselink.protocol.chain import (
    AcceptorState,
    ConfigurationChange,
    StoredState,
    View,
    Voter,
)
from roselink.protocol.records import encode

if TYPE_CHECKING:
    from roselink.protocol.chain import ChainMessage

# Interval at which the driver calls `tick`.
TICK_S = 0.05

# After its start a member waits at most this time for the chain's other machines before it plans.
START_WAIT_S = 0.3

# If two ticks are further apart than this, the process was suspended in between.
PAUSE_THRESHOLD_S = 0.3

# Interval between saves that test whether an unhealthy disk has recovered.
DISK_RETRY_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class Start:
    """The parameters and the durable state with which a process starts.

    Attributes:
        address: its peer address.
        seeds: the addresses of the first view, which get heartbeats in every view.
        bootstrap: whether this is the first start of a new system.
        tolerated: how many machines may be lost at once.
        session: a random number above 0 that identifies this process.
        fresh_incarnation: a random number above 0, used if the disk is empty.
        acceptor_state: the acceptor state on the disk; None unless the disk has both records.
        state: the chain's state on the disk; None unless the disk has both records.
    """

    address: str
    seeds: tuple[str, ...]
    bootstrap: bool
    tolerated: int
    session: int
    fresh_incarnation: int
    acceptor_state: AcceptorState | None
    state: StoredState | None


@dataclass(slots=True)
class _PendingOutput:
    """The effects of the current input so far, and its messages to this member itself."""

    effects: list[Effect] = field(default_factory=list)
    own_messages: list[ChainMessage] = field(default_factory=list)


class Member:
    """One member: call `begin` once, then `tick`, `receive` and the other inputs."""

    def __init__(self, start: Start, now: float) -> None:
        """Create the state machines; nothing is emitted before `begin`."""
        self._start = start
        self._pending_output = _PendingOutput()
        is_new = start.acceptor_state is None or start.state is None
        self._is_bootstrapping = is_new and start.bootstrap and start.address in start.seeds
        self._is_on_disk = not is_new
        voter = self._identity(is_new=is_new)
        self.acceptor = (
            Acceptor(voter)
            if start.acceptor_state is None or is_new
            else Acceptor.from_record(start.acceptor_state)
        )
        self.reply_gate = ReplyGate(self.acceptor, self.emit)
        self.chain = ChainMember(voter, start.session, self.emit)
        self.peers = PeerTable(voter)
        self.disk = DiskHealth()
        self.heartbeats = HeartbeatSender(
            voter, start.session, start.seeds, self.chain, self.peers, self.disk, self.emit
        )
        self._policy = ViewPolicy(start.tolerated)
        self.proposer = Proposer(voter, start.session, self._policy, self.emit)
        self.departure = Departure(voter, start.session, self._policy, self.emit)
        self.reads = ReadRounds(voter, self.emit)
        self.sequencer = ChangeSequencer(self.chain, self.emit)
        self.pending_calls = PendingCalls(voter, self.emit)
        self.scrubber = Scrubber(start.session, self.emit)
        self._dispatcher = self._message_dispatcher()
        self._last_number = start.session
        self._reported_view = (0, False)
        self._ticked_at = now
        self._started_at = now
        self._disk_retried_at = now
        if start.state is not None and not is_new:
            self.chain.restore(start.state)

    def _message_dispatcher(self) -> MessageDispatcher:
        return MessageDispatcher(
            acceptor=self.acceptor,
            reply_gate=self.reply_gate,
            chain=self.chain,
            peers=self.peers,
            heartbeats=self.heartbeats,
            proposer=self.proposer,
            reads=self.reads,
            sequencer=self.sequencer,
            pending_calls=self.pending_calls,
            departure=self.departure,
            emit=self.emit,
            adopt_view=self.adopt_view,
            on_committed=self.on_committed,
        )

    def _identity(self, *, is_new: bool) -> Voter:
        if not is_new and self._start.acceptor_state is not None:
            return self._start.acceptor_state.voter
        return Voter(
            self._start.address, 0 if self._is_bootstrapping else self._start.fresh_incarnation
        )

    @property
    def view(self) -> View | None:
        """The newest view that this member knows."""
        return self.acceptor.view

    @property
    def voter(self) -> Voter:
        """This member's identity."""
        return self.acceptor.voter

    @property
    def disk_is_healthy(self) -> bool:
        """Whether the disk has completed the last saves, in time."""
        return self.disk.healthy

    def is_awaited(self, now: float) -> bool:
        """Whether other members may be waiting for this one.

        They may be until its initial records are on its disk, and while a majority of the voters is
        reachable but the newest view's chain is not active at this member.
        """
        if not self._is_on_disk:
            return True
        if self.view is None or self.chain.active:
            return False
        reachable = {self.voter.address, *self.peers.reachable(now)}
        return sum(voter.address in reachable for voter in self.view.voters) >= majority(self.view)

    def begin(self, now: float) -> list[Effect]:
        """Perform the first step of the process."""
        if self._is_on_disk:
            self.reply_gate.restored()
            if self.view is not None:
                self._enter(now)
        else:
            self.chain.applied_epoch = 1 if self._is_bootstrapping else 0
            if self._is_bootstrapping:
                self.acceptor.view = first_view(self._start.seeds)
                self.peers.start_grace(now)
            self.acceptor.version = 1
            self._save_initial_state()
        return self._flush(now)

    def _save_initial_state(self) -> None:
        """Save an empty state. A new member sends nothing before state and identity are saved."""
        self.emit(Persist(Store.STATE, encode(StoredState(self.chain.applied_epoch, EMPTY))))

    def tick(self, now: float) -> list[Effect]:
        """Perform all actions that are due; called about every `TICK_S`."""
        pause_s = now - self._ticked_at
        if pause_s > PAUSE_THRESHOLD_S:
            self.peers.discount_pause(pause_s, now)
            self.disk.discount_pause(pause_s, now)
        self._ticked_at = now
        self.disk.check(now)
        self._retry_disk(now)
        self.pending_calls.advance(self._known_view(), now)
        if self._is_on_disk:
            self.heartbeats.send_due(self.view, now)
            self.chain.resend(now)
            if self.view is not None and self.chain.is_tail:
                self.reads.advance(self.view, now)
            self._propose(now)
            self.departure.advance(self.view, now)
            self._scrub(now)
        return self._flush(now)

    def submit(self, change: ConfigurationChange, now: float) -> tuple[int, list[Effect]]:
        """Submit a change; a `SubmitDone` with the returned number follows."""
        self._last_number += 1
        self.pending_calls.submit(self._last_number, change, self._known_view(), now)
        return self._last_number, self._flush(now)

    def read(self, now: float) -> tuple[int, list[Effect]]:
        """Request a confirmed read; a `ReadDone` with the returned number follows."""
        self._last_number += 1
        self.pending_calls.read(self._last_number, self._known_view(), now)
        return self._last_number, self._flush(now)

    def leave(self, now: float) -> list[Effect]:
        """Request a view without this member; the process ends once it `may_end`."""
        self.departure.request(now)
        self.heartbeats.leave()
        if self._is_on_disk:
            self.heartbeats.send_due(self.view, now)
            self.departure.advance(self.view, now)
        return self._flush(now)

    @property
    def has_left(self) -> bool:
        """Whether no later view needs this process (D1 in `departure`)."""
        return self.departure.is_complete(self.view)

    def may_end(self, now: float) -> bool:
        """Whether the leaving process may end: it has left, or its wait is in vain (D2)."""
        return self.has_left or (
            self.departure.is_overdue(now)
            and (
                self.view is None
                or not staying_voters_lack_majority(
                    self.view, self.heartbeats.snapshot(self.view, now), self._policy
                )
            )
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds to which heartbeats are sent, after a change of the settings."""
        self.heartbeats.seeds = seeds

    def receive(self, message: ChainMessage, now: float) -> list[Effect]:
        """Handle a message that `messages.is_chain_message` accepts."""
        if self._is_on_disk:
            self._dispatcher.handle(message, now)
        return self._flush(now)

    def persisted(self, store: Store, now: float) -> list[Effect]:
        """Handle the completion of the oldest `Persist` of the store."""
        self.disk.save_ended(now, succeeded=True)
        if not self._is_on_disk:
            self._on_initial_record_saved(store, now)
        elif store is Store.STATE:
            if self.chain.on_persisted(now):
                self.on_committed(now)
        else:
            self.reply_gate.saved()
        return self._flush(now)

    def persist_failed(self, store: Store, now: float) -> list[Effect]:
        """Handle the failure of the oldest `Persist` of the store; nothing of it is durable."""
        self.disk.save_ended(now, succeeded=False)
        if store is Store.ACCEPTOR:
            self.reply_gate.save_failed()
        elif self._is_on_disk:
            self.chain.on_persist_failed()
        return self._flush(now)

    def verified(self, store: Store, outcome: VerificationOutcome, now: float) -> list[Effect]:
        """Handle the result of the `VerifyRecord` of the store."""
        self.scrubber.on_verified(store, outcome, now)
        if outcome is VerificationOutcome.UNREADABLE:
            self.disk.read_failed()
        elif outcome is VerificationOutcome.DAMAGED:
            self._rewrite_record(store)
        return self._flush(now)

    def collect_effects(self, now: float) -> list[Effect]:
        """The effects of calls to this member's state machines from outside."""
        return self._flush(now)

    # --- saves

    def _on_initial_record_saved(self, store: Store, now: float) -> None:
        if store is Store.STATE:
            self.reply_gate.save()
            return
        self._is_on_disk = True
        self.chain.durable_epoch = self.chain.applied_epoch
        self.reply_gate.saved()
        if self.view is not None:
            self._enter(now)

    def _retry_disk(self, now: float) -> None:
        """Test a disk that failed, or was too slow, with a save of the acceptor state."""
        if not self.disk.idle:
            return
        if self.disk.healthy:
            if self._is_on_disk:
                # Repeats a failed save of the state if the disk recovered with another save.
                self.chain.retry_save()
            return
        if now - self._disk_retried_at < DISK_RETRY_INTERVAL_S:
            return
        self._disk_retried_at = now
        self.disk.last_save_failed = False
        if not self._is_on_disk:
            self._save_initial_state()
            return
        self.chain.retry_save()
        self.reply_gate.request_save()

    def _scrub(self, now: float) -> None:
        """Request that a record be read back while the disk isn't needed for anything else."""
        state = self.chain.durable
        self.scrubber.request_due_read(
            now,
            {Store.ACCEPTOR: 0, Store.STATE: len(state.document) + len(state.history)},
            is_idle=self.disk.healthy
            and self.disk.idle
            and self.acceptor.accepted is None
            and (self.chain.active or not self.chain.participating),
        )

    def _rewrite_record(self, store: Store) -> None:
        if store is Store.STATE:
            self.chain.rewrite_durable_state()
        else:
            self.reply_gate.request_save()

    # --- views

    def _known_view(self) -> View | None:
        return self.view if self._is_on_disk else None

    def adopt_view(self, view: View, now: float) -> None:
        """Enter a decided view if it is newer than the current one."""
        if self.acceptor.enter(view):
            self._is_bootstrapping = False
            self._enter(now)

    def _enter(self, now: float) -> None:
        if self.view is None:
            raise DriverContractError("_enter", "a view is known")
        self.proposer.view_changed(now)
        self.reads.clear()
        self.sequencer.clear()
        self.chain.enter(self.view, now, is_bootstrapping=self._is_bootstrapping)
        self._report_view_change()
        self.departure.advance(self.view, now)
        self.pending_calls.view_changed(self.view, now)
        if self.chain.active:
            self.on_committed(now)

    def on_committed(self, now: float) -> None:
        """Handle a commit, or the activation of the chain."""
        self.sequencer.on_committed()
        if self.view is not None and self.chain.is_tail:
            self.reads.advance(self.view, now)
        self._report_view_change()

    def _report_view_change(self) -> None:
        """Emit `ViewChanged` if the view is new, or its chain has become active."""
        if self.view is not None and self._reported_view != (self.view.epoch, self.chain.active):
            self._reported_view = (self.view.epoch, self.chain.active)
            self.emit(ViewChanged(self.view))

    def _propose(self, now: float) -> None:
        if self.view is None or not self.acceptor.is_voter:
            return
        is_outside_chain = not self.chain.participating and self.peers.reports_complete_chain(
            now, self.view.epoch
        )
        snapshot = self.heartbeats.snapshot(self.view, now)
        if now - self._started_at < START_WAIT_S and not chain_is_reconnected(self.view, snapshot):
            return  # the others may be starting too, after a loss of the entire core
        self.proposer.advance(self.acceptor, snapshot, now, outside_complete_chain=is_outside_chain)

    # --- effects

    def emit(self, effect: Effect) -> None:
        """Emit an effect; a message to this member itself is handled before the input ends."""
        if isinstance(effect, Send) and effect.to == self.voter.address:
            self._pending_output.own_messages.append(effect.message)
        else:
            self._pending_output.effects.append(effect)

    def _flush(self, now: float) -> list[Effect]:
        """Handle own messages, and save the acceptor state; returns the effects to perform."""
        while self._pending_output.own_messages:
            messages = self._pending_output.own_messages
            self._pending_output.own_messages = []
            for message in messages:
                self._dispatcher.handle(message, now)
        if self._is_on_disk:
            self.reply_gate.release()
            if not self.disk.last_save_failed:
                self.reply_gate.save()
        effects = self._pending_output.effects
        self._pending_output.effects = []
        for effect in effects:
            if isinstance(effect, Persist):
                self.disk.save_requested(now, len(effect.payload))
        return effects
