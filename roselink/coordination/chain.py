"""One member's replica in the chains of successive epochs. No I/O, no clock.

Chain replication (van Renesse and Schneider, OSDI 2004), under views that are agreed on outside the
chain, as in Vertical Paxos (Lamport, Malkhi and Zhou, PODC 2009). An epoch begins with the head's
state: it is sent down the chain as `Sync`, each member saves it before it forwards it, and the
tail's `Ack` is sent back up; the chain is active at each member that has received the `Ack`. Writes
take the same path. It follows that:

K1. What is on the tail's disk is on every disk of the chain: it is committed. `applied` may be
    ahead of the disk; only durable state is forwarded, acknowledged or returned to readers.
K2. A member handles messages of its current epoch only, and only if its process is the one that the
    view names. Once it has entered a newer view, it acknowledges nothing of the older epoch.
K3. A member receives an `Ack` of an epoch only after it has saved that epoch's initial state.

  Proof. A successor acknowledges only while its chain is active. It becomes active with an `Ack`
  from its own successor, or at the tail with the tail's save of the initial state. That state
  reached the tail from member to member, and each of them had saved it, including this process: a
  process enters an epoch once, and another process of the same machine doesn't participate in it.

Messages may be lost, duplicated or reordered: a member handles each only in sequence, and sends it
again until it gets the `Ack` that covers it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from roselink.coordination.effects import Emit, Persist, Send, Store
from roselink.coordination.exceptions import DriverContractError, UnreachableMessageError
from roselink.coordination.state import EMPTY, apply_change
from roselink.coordination.views import replica_of
from roselink.protocol.chain import (
    Ack,
    ChainReplica,
    ConfigurationChange,
    ConfigurationState,
    StoredState,
    Sync,
    View,
    Voter,
    Write,
)
from roselink.protocol.records import encode

# An unacknowledged `Sync` is sent again after this interval plus the transfer time of its bytes.
SYNC_RETRY_INTERVAL_S = 0.3
SYNC_BYTES_PER_S = 4e6

# Unacknowledged writes are sent again after this interval.
WRITE_RETRY_INTERVAL_S = 0.2


@dataclass(slots=True)
class ChainMember:
    """The applied and the durable state, and the replica in the current epoch's chain.

    Attributes:
        voter: this member.
        session: identifies its process.
        emit: called with each effect.
        applied: the newest state in memory; `applied_epoch` is its epoch.
        durable: the newest state on the disk; `durable_epoch` is its epoch.
        view: the newest view that this member has entered.
        participating: whether this process is in the chain of that view.
        synced: whether it has the state with which the epoch begins.
        active: whether it knows that every member of the chain has saved that state.
        committed: the highest sequence that it knows to be on every disk; -1 for none.
    """

    voter: Voter
    session: int
    emit: Emit
    applied: ConfigurationState = EMPTY
    applied_epoch: int = 0
    durable: ConfigurationState = EMPTY
    durable_epoch: int = 0
    view: View | None = None
    participating: bool = False
    synced: bool = False
    active: bool = False
    committed: int = -1
    _saving: StoredState | None = None
    _predecessor: ChainReplica | None = None
    _successor: ChainReplica | None = None
    _unacknowledged: list[Write] = field(default_factory=list)
    _epoch_started: bool = False
    _initial_state: ConfigurationState = EMPTY
    _forwarded: int = 0
    _sent_at: float = 0.0

    def restore(self, stored: StoredState) -> None:
        """Start from the state that was read from the disk."""
        self.applied = stored.state
        self.durable = stored.state
        self.applied_epoch = stored.epoch
        self.durable_epoch = stored.epoch

    @property
    def is_head(self) -> bool:
        """Whether this process is the head of the newest view that it knows."""
        return self.participating and self._predecessor is None

    @property
    def is_last(self) -> bool:
        """Whether this process is the last in its view's chain, active or not."""
        return self.participating and self._successor is None

    @property
    def is_tail(self) -> bool:
        """Whether this process is the last in its view's chain, and the chain is active."""
        return self.participating and self.active and self._successor is None

    def enter(self, view: View, now: float, *, is_bootstrapping: bool) -> None:
        """Leave the current epoch, and participate in the new view if it names this process.

        Args:
            view: the new view.
            now: seconds of the member's clock.
            is_bootstrapping: whether this process made the first view of a new system.
        """
        replica = replica_of(view, self.voter)
        self.view = view
        # Session 0 stands for no process. Only the first view has it, and only processes that
        # made that view themselves participate in it.
        self.participating = replica is not None and (
            is_bootstrapping if replica.session == 0 else replica.session == self.session
        )
        self.synced = False
        self.active = False
        self._epoch_started = False
        self.committed = -1
        self._unacknowledged = []
        self._predecessor = None
        self._successor = None
        if replica is None or not self.participating:
            return
        index = view.chain.index(replica)
        self._predecessor = view.chain[index - 1] if index else None
        self._successor = view.chain[index + 1] if index + 1 < len(view.chain) else None
        if self._predecessor is None:
            # State that is not saved yet keeps the epoch in which this member received it (V1).
            self.synced = True
            self._save()
            self._advance(now)

    def on_sync(self, message: Sync, now: float) -> bool:
        """Handle the epoch's initial state; returns whether that committed anything."""
        if not self._is_from(self._predecessor, message.sender, message.epoch):
            return False
        if self.synced:
            self._acknowledge()
            return False
        self.synced = True
        self.applied = message.state
        self.applied_epoch = message.epoch
        self._save()
        return self._saving is None and self._advance(now)

    def on_write(self, message: Write) -> None:
        """Handle a change from the predecessor, which sends one that is out of sequence again."""
        if not self._is_from(self._predecessor, message.sender, message.epoch) or not self.synced:
            return
        if message.sequence == self.applied.sequence + 1:
            self._append(message)
        else:
            self._acknowledge()

    def append(self, change: ConfigurationChange, *, refused: bool) -> int:
        """Append a change at the head; returns its sequence.

        Raises:
            DriverContractError: this process is not the head of an active view.
        """
        if self.view is None or not self.is_head or not self.active:
            raise DriverContractError("append", "this process is the head of an active view")
        sequence = self.applied.sequence + 1
        self._append(Write(self.voter, self.view.epoch, sequence, refused, change))
        return sequence

    def on_ack(self, message: Ack) -> bool:
        """Handle an acknowledgement; returns whether it committed anything new.

        Raises:
            UnreachableMessageError: this member has not forwarded the epoch's state (K3).
        """
        if not self._is_from(self._successor, message.sender, message.epoch):
            return False
        if not self._epoch_started:
            raise UnreachableMessageError(Ack, "the epoch's state has not left this member")
        return self._commit(message.sequence)

    def on_persisted(self, now: float) -> bool:
        """Handle the completion of the save in flight; returns whether it committed anything.

        Raises:
            DriverContractError: no save was in flight.
        """
        if self._saving is None:
            raise DriverContractError("on_persisted", "a save of the state is in flight")
        self.durable = self._saving.state
        self.durable_epoch = self._saving.epoch
        self._saving = None
        self._save()
        return self._advance(now)

    def on_persist_failed(self) -> None:
        """Handle the failure of the save in flight; `retry_save` repeats it."""
        self._saving = None

    def retry_save(self) -> None:
        """Save the applied state if an earlier save of it failed."""
        self._save()

    def rewrite_durable_state(self) -> None:
        """Save the durable state again, because the copy on the disk is damaged.

        A save that is already in flight, or one of a newer state, replaces the damaged copy too.
        """
        self._save()
        if self._saving is None:
            self._saving = StoredState(self.durable_epoch, self.durable)
            self.emit(Persist(Store.STATE, encode(self._saving)))

    def resend(self, now: float) -> None:
        """Send again what is unacknowledged after its retry interval."""
        if self._successor is None or not self.participating or not self._epoch_started:
            return
        if not self.active:
            size = len(self._initial_state.document) + len(self._initial_state.history)
            if now - self._sent_at >= SYNC_RETRY_INTERVAL_S + size / SYNC_BYTES_PER_S:
                self._send_sync(now)
        elif self._unacknowledged and now - self._sent_at >= WRITE_RETRY_INTERVAL_S:
            self._sent_at = now
            for write in self._unacknowledged:
                if write.sequence <= self._forwarded:
                    self._send_write(write)

    def _append(self, write: Write) -> None:
        self.applied = apply_change(self.applied, write.change, refused=write.refused)
        self.applied_epoch = write.epoch
        if self._successor is not None:
            self._unacknowledged.append(write)
        self._save()

    def _save(self) -> None:
        """Save the newest state, one save at a time; changes during a save share the next."""
        if self._saving is not None:
            return
        if self.applied is self.durable and self.applied_epoch == self.durable_epoch:
            return
        self._saving = StoredState(self.applied_epoch, self.applied)
        self.emit(Persist(Store.STATE, encode(self._saving)))

    def _initial_state_is_durable(self) -> bool:
        """Whether the epoch's initial state is on this member's disk."""
        if self.view is None or not self.synced:
            return False
        if self._predecessor is None:
            return self._epoch_started or self.durable is self.applied
        return self.durable_epoch == self.view.epoch

    def _advance(self, now: float) -> bool:
        """Forward newly durable writes, or commit them at the tail; whether it committed."""
        if not self.participating or not self._initial_state_is_durable():
            return False
        if not self._epoch_started:
            self._epoch_started = True
            self._initial_state = self.durable
            self._forwarded = self.durable.sequence
            self._send_sync(now)
        if self._successor is None:
            return self._commit(self.durable.sequence)
        for write in self._unacknowledged:
            if self._forwarded < write.sequence <= self.durable.sequence:
                self._send_write(write)
                self._forwarded = write.sequence
                self._sent_at = now
        return False

    def _commit(self, sequence: int) -> bool:
        is_new = not self.active or sequence > self.committed
        self.active = True
        self.committed = max(self.committed, sequence)
        self._unacknowledged = [
            write for write in self._unacknowledged if write.sequence > self.committed
        ]
        self._acknowledge()
        return is_new

    def _acknowledge(self) -> None:
        if self.active and self._predecessor is not None and self.view is not None:
            ack = Ack(self.voter, self.view.epoch, self.committed)
            self.emit(Send(self._predecessor.voter.address, ack))

    def _send_sync(self, now: float) -> None:
        if self._successor is not None and self.view is not None:
            self._sent_at = now
            sync = Sync(self.voter, self.view, self._initial_state)
            self.emit(Send(self._successor.voter.address, sync))

    def _send_write(self, write: Write) -> None:
        if self._successor is not None:
            forwarded = Write(self.voter, write.epoch, write.sequence, write.refused, write.change)
            self.emit(Send(self._successor.voter.address, forwarded))

    def _is_from(self, replica: ChainReplica | None, sender: Voter, epoch: int) -> bool:
        return (
            self.participating
            and self.view is not None
            and epoch == self.view.epoch
            and replica is not None
            and replica.voter == sender
        )
