"""One member's part in the chain of one epoch after the other. No I/O, no clock.

An epoch begins with the head's state: it goes down the chain as `Sync`, each member puts it on its
disk before it passes it on, and the tail's `Ack` travels back; from then the chain is active there.
Writes take the same way. Nothing of another epoch is taken, and none of an epoch that this process
isn't in the view for. `applied` may run ahead of the disk; only what is durable is passed on,
acknowledged or shown. What the tail has on its disk is on every disk of the chain: it is committed.

Messages may be lost, doubled or come out of order: each is taken only in its place, and sent again
until the `Ack` that covers it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from roselink.coordination.effects import Emit, Persist, Send, Store
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

SYNC_AGAIN_S = 0.3  # and the time for the state at SYNC_BYTES_S
SYNC_BYTES_S = 4e6
WRITE_AGAIN_S = 0.2


@dataclass(slots=True)
class ChainMember:
    """The state, where it is durable, and the part in the present epoch's chain."""

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
    _begun: bool = False
    _first: ConfigurationState = EMPTY
    _passed: int = 0
    _sent_at: float = 0.0

    def restore(self, stored: StoredState) -> None:
        """The state as it was on the disk."""
        self.applied = self.durable = stored.state
        self.applied_epoch = self.durable_epoch = stored.epoch

    @property
    def is_head(self) -> bool:
        """Whether this process is the head of the newest view that it knows."""
        return self.participating and self._predecessor is None

    @property
    def at_end(self) -> bool:
        """Whether this process is the last of its view's chain, active or not."""
        return self.participating and self._successor is None

    @property
    def is_tail(self) -> bool:
        """Whether this process is the tail, and its view is active."""
        return self.participating and self.active and self._successor is None

    def enter(self, view: View, fresh: bool, now: float) -> None:
        """Leave the present epoch and take this process's part in the new view, if it has one."""
        link = replica_of(view, self.voter)
        self.view = view
        # No process has the session 0: it stands in the first view, in which any process takes part
        # that made it.
        self.participating = link is not None and (
            fresh if link.session == 0 else link.session == self.session
        )
        self.synced = self.active = self._begun = False
        self.committed = -1
        self._unacknowledged = []
        self._predecessor = self._successor = None
        if link is None or not self.participating:
            return
        place = view.chain.index(link)
        self._predecessor = view.chain[place - 1] if place else None
        self._successor = view.chain[place + 1] if place + 1 < len(view.chain) else None
        if self._predecessor is None:
            self.synced = True
            self.applied_epoch = (
                view.epoch if self.applied is not self.durable else self.applied_epoch
            )
            self._save()
            self._advance(now)

    def on_sync(self, message: Sync, now: float) -> bool:
        """The state with which the epoch begins, from the predecessor; whether it committed
        anything.
        """
        if not self._from(self._predecessor, message.sender, message.epoch):
            return False
        if self.synced:
            self._acknowledge()
            return False
        self.synced = True
        self.applied, self.applied_epoch = message.state, message.epoch
        self._save()
        return self._saving is None and self._advance(now)

    def on_write(self, message: Write) -> None:
        """A change, from the predecessor; one that isn't next is passed over, and comes again."""
        if not self._from(self._predecessor, message.sender, message.epoch) or not self.synced:
            return
        if message.sequence == self.applied.sequence + 1:
            self._append(message)
        else:
            self._acknowledge()

    def append(self, order: ConfigurationChange, refused: bool) -> int:
        """As the head: take a change; its sequence."""
        if self.view is None or not self.is_head or not self.active:
            raise AssertionError("only the head of an active view appends")
        sequence = self.applied.sequence + 1
        self._append(Write(self.voter, self.view.epoch, sequence, refused, order))
        return sequence

    def on_ack(self, message: Ack) -> bool:
        """All up to a sequence is committed; whether that is news."""
        if not self._from(self._successor, message.sender, message.epoch) or not self.synced:
            return False
        return self._commit(message.sequence)

    def on_persisted(self, now: float) -> bool:
        """The save that was under way is durable; whether anything was committed by it."""
        if self._saving is None:
            raise AssertionError("no state was being saved")
        self.durable, self.durable_epoch = self._saving.state, self._saving.epoch
        self._saving = None
        self._save()
        return self._advance(now)

    def on_persist_failed(self) -> None:
        """The disk has refused; `retry` tries again."""
        self._saving = None

    def retry(self) -> None:
        """Save again what a refusing disk did not take."""
        self._save()

    def resend(self, now: float) -> None:
        """Send again what has no acknowledgement after a time."""
        if self._successor is None or not self.participating or not self._begun:
            return
        if not self.active:
            size = len(self._first.document) + len(self._first.history)
            if now - self._sent_at >= SYNC_AGAIN_S + size / SYNC_BYTES_S:
                self._send_sync(now)
        elif self._unacknowledged and now - self._sent_at >= WRITE_AGAIN_S:
            self._sent_at = now
            for write in self._unacknowledged:
                if write.sequence <= self._passed:
                    self._send_write(write)

    def _append(self, write: Write) -> None:
        self.applied = apply_change(self.applied, write.order, write.refused)
        self.applied_epoch = write.epoch
        if self._successor is not None:
            self._unacknowledged.append(write)
        self._save()

    def _save(self) -> None:
        """Save the newest state, one save at a time; what comes meanwhile goes together into the
        next.
        """
        if self._saving is not None:
            return
        if self.applied is self.durable and self.applied_epoch == self.durable_epoch:
            return
        self._saving = StoredState(self.applied_epoch, self.applied)
        self.emit(Persist(Store.STATE, encode(self._saving)))

    def _on_disk(self) -> bool:
        """Whether the epoch's first state is durable here."""
        if self.view is None or not self.synced:
            return False
        if self._predecessor is None:
            return self._begun or self.durable is self.applied
        return self.durable_epoch == self.view.epoch

    def _advance(self, now: float) -> bool:
        """Pass on, or commit at the tail, what has become durable."""
        if not self.participating or not self._on_disk():
            return False
        if not self._begun:
            self._begun = True
            self._first, self._passed = self.durable, self.durable.sequence
            self._send_sync(now)
        if self._successor is None:
            return self._commit(self.durable.sequence)
        for write in self._unacknowledged:
            if self._passed < write.sequence <= self.durable.sequence:
                self._send_write(write)
                self._passed, self._sent_at = write.sequence, now
        return False

    def _commit(self, sequence: int) -> bool:
        news = not self.active or sequence > self.committed
        self.active = True
        self.committed = max(self.committed, sequence)
        self._unacknowledged = [
            write for write in self._unacknowledged if write.sequence > self.committed
        ]
        self._acknowledge()
        return news

    def _acknowledge(self) -> None:
        if self.active and self._predecessor is not None and self.view is not None:
            ack = Ack(self.voter, self.view.epoch, self.committed)
            self.emit(Send(self._predecessor.voter.address, ack))

    def _send_sync(self, now: float) -> None:
        if self._successor is not None and self.view is not None:
            self._sent_at = now
            self.emit(Send(self._successor.voter.address, Sync(self.voter, self.view, self._first)))

    def _send_write(self, write: Write) -> None:
        if self._successor is not None:
            own = Write(self.voter, write.epoch, write.sequence, write.refused, write.order)
            self.emit(Send(self._successor.voter.address, own))

    def _from(self, link: ChainReplica | None, sender: Voter, epoch: int) -> bool:
        return (
            self.participating
            and self.view is not None
            and epoch == self.view.epoch
            and link is not None
            and link.voter == sender
        )
