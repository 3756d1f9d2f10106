"""One core member: heartbeats, agreed views, the chain, orders and confirmed reads together. No I/O, no
clock.

Inputs are method calls with `now` (seconds of one monotonic clock); each returns the effects in order. What
the parts argue for: `views` (what is acknowledged outlives view changes), `votes` (one decided view an
epoch), `reads` (a confirmed read misses nothing), `orders` (a refusal lasts). What is left to this module:

- A vote leaves only after the disk has it: `_held` keeps each answer until its version of `Votes` is durable.
- A decided view is followed at once, before it is on this disk. A member that restarts with an older view is
  as one that hasn't heard of the newer one; it does not take part in any chain of its earlier process, as the
  view names another session. Its state may be of a later epoch than its view, which only says how new the
  state is.
- From the moment at which a member follows a newer view it takes nothing of the older epoch. Acceptance of a
  proposal alone changes nothing in its chain: the older epoch may still acknowledge through it, and the new
  head begins with what it has when it follows the new view itself.
- A process that was frozen wakes with its old view. Each write that it could still acknowledge is on the
  disks of that whole chain, the next head's too; a read needs answers to a round, which voters that accepted
  a newer view refuse.
- A member whose disk was lost has a new incarnation: it is another voter, and is let in by a view change.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from roselink.control.chain import ChainMember
from roselink.control.effects import Effect, Persist, Send, Store, ViewChanged
from roselink.control.orders import HeadOrders, OwnCalls
from roselink.control.peering import DiskHealth, Peers
from roselink.control.proposing import Proposer
from roselink.control.reads import ReadRounds, Waiting
from roselink.control.state import EMPTY
from roselink.control.views import Peer, Rules, first_view, link_of, whole
from roselink.control.votes import Voting
from roselink.protocol.chain import (
    Accept,
    Accepted,
    Ack,
    ConfigurationOrder,
    ConfirmAnswer,
    ConfirmAsk,
    Decided,
    Heartbeat,
    Prepare,
    Promise,
    ReadAsk,
    ReadReply,
    Refusal,
    StoredState,
    Submit,
    SubmitReply,
    Sync,
    View,
    Voter,
    Votes,
    Write,
)
from roselink.protocol.records import encode

HEARTBEAT_S = 0.1
TICK_S = 0.05  # how often the driver calls `tick`
SILENT_BEATS = 3  # a machine that says nothing gets one heartbeat in so many
SLEPT_S = 0.3  # ticks further apart mean that this process did not run
DISK_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class Start:
    """What a process starts with. `session` and `fresh_incarnation` are random, above 0.

    `votes` and `state` are None unless the disk held both.
    """

    address: str
    seeds: tuple[str, ...]
    bootstrap: bool
    tolerated: int
    session: int
    fresh_incarnation: int
    votes: Votes | None
    state: StoredState | None


@dataclass(slots=True)
class _Pending:
    """What happens on this member next, in order: effects out, and messages to itself."""

    effects: list[Effect] = field(default_factory=list)
    own: list[object] = field(default_factory=list)


class Member:
    """See the module."""

    def __init__(self, start: Start, now: float) -> None:
        self._start = start
        self._seeds = start.seeds
        self._out = _Pending()
        whole_new = start.votes is None or start.state is None
        self._fresh = whole_new and start.bootstrap and start.address in start.seeds
        self._saved_first = not whole_new
        voter = self._identity(whole_new)
        self.voting = Voting(voter) if start.votes is None or whole_new else Voting.restored(start.votes)
        self.chain = ChainMember(voter, start.session, self._emit)
        self._peers = Peers(voter)
        self._disk = DiskHealth()
        self._proposer = Proposer(voter, start.session, Rules(start.tolerated), self._emit)
        self._reads = ReadRounds(voter, self._emit)
        self._orders = HeadOrders(self.chain, self._emit)
        self._calls = OwnCalls(voter, self._emit)
        self._numbers = start.session
        self._held: list[tuple[int, Send]] = []
        self._saving_version: int | None = None
        self._durable_version = 0
        self._leaving = False
        self._announced = (0, False)
        self._ticked_at = now
        self._beat_at = float("-inf")
        self._beats = 0
        self._tried_disk_at = now
        if start.state is not None and not whole_new:
            self.chain.restore(start.state)

    def _identity(self, whole_new: bool) -> Voter:
        if not whole_new and self._start.votes is not None:
            return self._start.votes.voter
        return Voter(self._start.address, 0 if self._fresh else self._start.fresh_incarnation)

    @property
    def view(self) -> View | None:
        """The newest view that this member knows."""
        return self.voting.view

    @property
    def voter(self) -> Voter:
        """This member's identity."""
        return self.voting.voter

    @property
    def disk_fit(self) -> bool:
        """Whether the disk took the last saves, in time."""
        return self._disk.fit

    def begin(self, now: float) -> list[Effect]:
        """The first step of the process."""
        if self._saved_first:
            self.voting.version = self._durable_version = 1
            if self.view is not None:
                self._enter(now)
        else:
            self.chain.applied_epoch = 1 if self._fresh else 0
            if self._fresh:
                self.voting.view = first_view(self._start.seeds)
                self._peers.grace(now)
            self.voting.version = 1
            self._save_first()
        return self._flush(now)

    def _save_first(self) -> None:
        """Nothing leaves a new member before its identity and an empty state are on the disk."""
        self._emit(Persist(Store.STATE, encode(StoredState(self.chain.applied_epoch, EMPTY))))

    def tick(self, now: float) -> list[Effect]:
        """Every `TICK_S` or so."""
        gap = now - self._ticked_at
        if gap > SLEPT_S:
            self._peers.skip(gap, now)
            self._disk.skip(gap, now)
        self._ticked_at = now
        self._disk.check(now)
        self._retry_disk(now)
        self._calls.proceed(self.view, now)
        if self._saved_first:
            self._beat(now)
            self.chain.resend(now)
            if self.view is not None and self.chain.is_tail:
                self._reads.proceed(self.view, now)
            self._propose(now)
        return self._flush(now)

    def submit(self, order: ConfigurationOrder, now: float) -> tuple[int, list[Effect]]:
        """Carry an order; a `SubmitDone` of this number follows."""
        self._numbers += 1
        self._calls.submit(self._numbers, order, self._known_view(), now)
        return self._numbers, self._flush(now)

    def read(self, now: float) -> tuple[int, list[Effect]]:
        """Carry a confirmed read; a `ReadDone` of this number follows."""
        self._numbers += 1
        self._calls.read(self._numbers, self._known_view(), now)
        return self._numbers, self._flush(now)

    def leave(self, now: float) -> list[Effect]:
        """Ask the others for a view whose chain this member isn't in."""
        self._leaving = True
        self._beat_at = float("-inf")
        if self._saved_first:
            self._beat(now)
        return self._flush(now)

    @property
    def left(self) -> bool:
        """Whether the newest view's chain goes without this member."""
        return link_of(self.view, self.voter) is None

    def seeds_changed(self, seeds: tuple[str, ...]) -> None:
        """The settings name other machines to ask."""
        self._seeds = seeds

    def receive(self, message: object, now: float) -> list[Effect]:
        """Take one of the records that `HANDLED` names."""
        if self._saved_first:
            self._handle(message, now)
        return self._flush(now)

    def persisted(self, store: Store, now: float) -> list[Effect]:
        """The oldest `Persist` of that store is durable."""
        self._disk.ended(now, True)
        if not self._saved_first:
            self._first_saved(store, now)
        elif store is Store.STATE:
            if self.chain.on_persisted(now):
                self._committed(now)
        else:
            self._votes_saved()
        return self._flush(now)

    def persist_failed(self, store: Store, now: float) -> list[Effect]:
        """The disk has refused the oldest `Persist` of that store; nothing of it counts."""
        self._disk.ended(now, False)
        if self._saved_first and store is Store.STATE:
            self.chain.on_persist_failed()
        self._saving_version = None if store is Store.VOTES else self._saving_version
        return self._flush(now)

    # --- saves

    def _first_saved(self, store: Store, now: float) -> None:
        if store is Store.STATE:
            self._save_votes()
            return
        self._saved_first = True
        self.chain.durable_epoch = self.chain.applied_epoch
        self._votes_saved()
        if self.view is not None:
            self._enter(now)

    def _save_votes(self) -> None:
        if self._saving_version is None and self._durable_version < self.voting.version:
            self._saving_version = self.voting.version
            self._emit(Persist(Store.VOTES, encode(self.voting.record())))

    def _votes_saved(self) -> None:
        if self._saving_version is None:
            raise AssertionError("no votes were being saved")
        self._durable_version, self._saving_version = self._saving_version, None
        self._release()

    def _release(self) -> None:
        """Send the answers that the disk has."""
        due = [send for version, send in self._held if version <= self._durable_version]
        self._held = [held for held in self._held if held[0] > self._durable_version]
        for send in due:
            self._emit(send)

    def _retry_disk(self, now: float) -> None:
        """A disk that refused, or was too slow, is tried with a save of the votes."""
        if self._disk.fit or not self._disk.idle or now - self._tried_disk_at < DISK_RETRY_S:
            return
        self._tried_disk_at = now
        self._disk.refusing = False
        if not self._saved_first and self._saving_version is None:
            self._save_first()
            return
        if self._saved_first:
            self.chain.retry()
        if self._disk.idle:
            self.voting.version += 1

    # --- messages

    def _handle(self, message: object, now: float) -> None:
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, message, now)

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.sender.address == self.voter.address:
            return
        self._peers.hear(heartbeat, now)
        if self.view is not None and heartbeat.epoch < self.view.epoch:
            self._emit(Send(heartbeat.sender.address, Decided(self.voter, self.view)))

    def _on_prepare(self, asked: Prepare, now: float) -> None:
        self._vote(asked.sender.address, self.voting.prepare(asked))

    def _on_accept(self, asked: Accept, now: float) -> None:
        self._vote(asked.sender.address, self.voting.accept(asked))

    def _vote(self, to: str, answer: object) -> None:
        if answer is not None:
            self._held.append((self.voting.version, Send(to, answer)))

    def _on_promise(self, answer: Promise, now: float) -> None:
        self._proposer.promised(answer)

    def _on_refusal(self, answer: Refusal, now: float) -> None:
        self._proposer.refused(answer, now)

    def _on_accepted(self, answer: Accepted, now: float) -> None:
        decided = self._proposer.accepted(answer)
        if decided is not None:
            self._follow(decided, now)
            for address in self._contacts(now):
                self._emit(Send(address, Decided(self.voter, decided)))

    def _on_decided(self, message: Decided, now: float) -> None:
        self._follow(message.view, now)

    def _on_sync(self, message: Sync, now: float) -> None:
        self.chain.on_sync(message)

    def _on_write(self, message: Write, now: float) -> None:
        self.chain.on_write(message)

    def _on_ack(self, message: Ack, now: float) -> None:
        if self.chain.on_ack(message):
            self._committed(now)

    def _on_submit(self, message: Submit, now: float) -> None:
        if self.view is not None and message.epoch == self.view.epoch and self.chain.is_head:
            self._orders.take(message)

    def _on_submit_reply(self, message: SubmitReply, now: float) -> None:
        self._calls.settled(message)

    def _on_confirm_ask(self, message: ConfirmAsk, now: float) -> None:
        newest = self.voting.newest(message.epoch)
        answer = ConfirmAnswer(self.voter, message.epoch, message.round, newest)
        self._emit(Send(message.sender.address, answer))

    def _on_confirm_answer(self, message: ConfirmAnswer, now: float) -> None:
        if not self.chain.is_tail or self.view is None:
            return
        state = self.chain.durable
        for read in self._reads.answer(message):
            document = None if read.known == state.sequence else state.document
            reply = ReadReply(read.number, self.view.epoch, state.sequence, state.generation, document)
            self._emit(Send(read.asker, reply))
        self._reads.proceed(self.view, now)

    def _on_read_ask(self, message: ReadAsk, now: float) -> None:
        if self.view is not None and self.chain.at_end:
            waiting = Waiting(message.sender.address, message.number, message.known)
            self._reads.ask(waiting, self.view, self.chain.active, now)

    def _on_read_reply(self, message: ReadReply, now: float) -> None:
        self._calls.confirmed(message)

    # --- views

    def _known_view(self) -> View | None:
        return self.view if self._saved_first else None

    def _follow(self, view: View, now: float) -> None:
        if self.voting.adopt(view):
            self._fresh = False
            self._held = []
            self._enter(now)

    def _enter(self, now: float) -> None:
        if self.view is None:
            raise AssertionError("no view to enter")
        self._proposer.view_changed()
        self._reads.drop()
        self._orders.drop()
        self.chain.enter(self.view, self._fresh, now)
        self._announce()
        self._calls.view_changed(self.view, now)
        if self.chain.active:
            self._committed(now)

    def _committed(self, now: float) -> None:
        """Something was committed, or the chain has become active."""
        self._orders.settle()
        if self.view is not None and self.chain.is_tail:
            self._reads.proceed(self.view, now)
        self._announce()

    def _announce(self) -> None:
        """Tell of a new view, or that its chain has become active."""
        if self.view is not None and self._announced != (self.view.epoch, self.chain.active):
            self._announced = (self.view.epoch, self.chain.active)
            self._emit(ViewChanged(self.view))

    def _propose(self, now: float) -> None:
        if self.view is None or not self.voting.entitled:
            return
        outside = not self.chain.taking_part and self._peers.settled(now, self.view.epoch)
        picture = self._picture(now)
        self._proposer.consider(self.voting, picture, outside, now)

    def _picture(self, now: float) -> dict[str, Peer]:
        expected = self.view.chain if self.view is not None and self.view.epoch == 1 else ()
        return self._peers.picture(now, self._own_peer(now), [link.voter.address for link in expected])

    def _own_peer(self, now: float) -> Peer:
        return Peer(
            voter=self.voter,
            session=self._start.session,
            epoch=self.view.epoch if self.view is not None else 0,
            state_epoch=self.chain.durable_epoch,
            taking_part=self.chain.taking_part,
            disk_ok=self._disk.fit,
            leaving=self._leaving,
            live=True,
            steady=True,
            silent_s=0.0,
            heard=frozenset(self._peers.heard(now)),
        )

    # --- heartbeats

    def _contacts(self, now: float) -> list[str]:
        voters = self.view.voters if self.view is not None else ()
        known = (*self._seeds, *(voter.address for voter in voters), *self._peers.contacts(now))
        return [address for address in dict.fromkeys(known) if address != self.voter.address]

    def _beat(self, now: float) -> None:
        if now - self._beat_at < HEARTBEAT_S * 0.9:
            return
        self._beat_at = now
        own = self._own_peer(now)
        beat = Heartbeat(
            sender=self.voter,
            session=own.session,
            epoch=own.epoch,
            state_epoch=own.state_epoch,
            sequence=self.chain.durable.sequence,
            taking_part=own.taking_part,
            disk_ok=own.disk_ok,
            leaving=own.leaving,
            settled=self._settled(now),
            heard=tuple(sorted(own.heard)),
        )
        self._beats += 1
        speaking = self._peers.contacts(now)
        for address in self._contacts(now):
            if address in speaking or self._beats % SILENT_BEATS == 1:
                self._emit(Send(address, beat))

    def _settled(self, now: float) -> bool:
        if self.view is None or not self.chain.taking_part:
            return False
        picture = self._picture(now)
        fit = all(
            link.voter.address in picture and picture[link.voter.address].fit for link in self.view.chain
        )
        return fit and whole(self.view, picture)

    # --- effects

    def _emit(self, effect: Effect) -> None:
        if isinstance(effect, Send) and effect.to == self.voter.address:
            self._out.own.append(effect.message)
        else:
            self._out.effects.append(effect)

    def _flush(self, now: float) -> list[Effect]:
        """Deliver what the member told itself, save votes that changed, and hand the effects out."""
        while self._out.own:
            own, self._out.own = self._out.own, []
            for message in own:
                self._handle(message, now)
        if self._saved_first:
            self._release()
            if not self._disk.refusing:
                self._save_votes()
        effects, self._out.effects = self._out.effects, []
        for effect in effects:
            if isinstance(effect, Persist):
                self._disk.began(now)
        return effects


_HANDLERS: dict[type[Any], Callable[[Member, Any, float], None]] = {
    Heartbeat: Member._on_heartbeat,
    Prepare: Member._on_prepare,
    Promise: Member._on_promise,
    Refusal: Member._on_refusal,
    Accept: Member._on_accept,
    Accepted: Member._on_accepted,
    Decided: Member._on_decided,
    Sync: Member._on_sync,
    Write: Member._on_write,
    Ack: Member._on_ack,
    ConfirmAsk: Member._on_confirm_ask,
    ConfirmAnswer: Member._on_confirm_answer,
    Submit: Member._on_submit,
    SubmitReply: Member._on_submit_reply,
    ReadAsk: Member._on_read_ask,
    ReadReply: Member._on_read_reply,
}
HANDLED = frozenset(_HANDLERS)
