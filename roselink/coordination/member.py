"""One core member: heartbeats, agreed views, the chain, orders and confirmed reads together. No
I/O, no clock.

Inputs are method calls with `now` (seconds of one monotonic clock); each returns the effects in
order. What the parts argue for: `views` (what is acknowledged outlives view changes), `votes` (one
decided view an epoch), `reads` (a confirmed read misses nothing), `orders` (a refusal lasts). What
is left to this module:

- A vote leaves only after the disk has it: `ballots` keeps each answer until its version of `AcceptorState`
  is durable.
- A decided view is followed at once, before it is on this disk. A member that restarts with an
  older view is as one that hasn't heard of the newer one; it does not take part in any chain of its
  earlier process, as the view names another session. Its state may be of a later epoch than its
  view, which only says how new the state is.
- From the moment at which a member follows a newer view it takes nothing of the older epoch.
  Acceptance of a proposal alone changes nothing in its chain: the older epoch may still acknowledge
  through it, and the new head begins with what it has when it follows the new view itself.
- A process that was frozen wakes with its old view. Each write that it could still acknowledge is
  on the disks of that whole chain, the next head's too; a read needs answers to a round, which
  voters that accepted a newer view refuse.
- A member whose disk was lost has a new incarnation: it is another voter, and is let in by a view
change.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from roselink.coordination.ballots import ReplyGate
from roselink.coordination.chain import ChainMember
from roselink.coordination.effects import Effect, Persist, Send, Store, ViewChanged
from roselink.coordination.messages import MessageHandler
from roselink.coordination.orders import ChangeSequencer, PendingCalls
from roselink.coordination.peering import DiskHealth, PeerTable
from roselink.coordination.presence import HeartbeatSender
from roselink.coordination.proposing import Proposer
from roselink.coordination.reads import ReadRounds
from roselink.coordination.state import EMPTY
from roselink.coordination.views import ViewPolicy, first_view, majority, replica_of, reunited
from roselink.coordination.votes import Acceptor
from roselink.protocol.chain import (
    AcceptorState,
    ConfigurationChange,
    StoredState,
    View,
    Voter,
)
from roselink.protocol.records import encode

TICK_S = 0.05  # how often the driver calls `tick`
START_PATIENCE_S = (
    0.3  # after its start a member waits so long for the chain's others before it plans
)
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
    votes: AcceptorState | None
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
        self._out = _Pending()
        whole_new = start.votes is None or start.state is None
        self._fresh = whole_new and start.bootstrap and start.address in start.seeds
        self._saved_first = not whole_new
        voter = self._identity(whole_new)
        self.voting = (
            Acceptor(voter) if start.votes is None or whole_new else Acceptor.restored(start.votes)
        )
        self.ballots = ReplyGate(self.voting, self.emit)
        self.chain = ChainMember(voter, start.session, self.emit)
        self.peers = PeerTable(voter)
        self.disk = DiskHealth()
        self.presence = HeartbeatSender(
            voter, start.session, start.seeds, self.chain, self.peers, self.disk, self.emit
        )
        self.proposer = Proposer(voter, start.session, ViewPolicy(start.tolerated), self.emit)
        self.reads = ReadRounds(voter, self.emit)
        self.orders = ChangeSequencer(self.chain, self.emit)
        self.calls = PendingCalls(voter, self.emit)
        self._messages = MessageHandler(
            voting=self.voting,
            ballots=self.ballots,
            chain=self.chain,
            peers=self.peers,
            presence=self.presence,
            proposer=self.proposer,
            reads=self.reads,
            orders=self.orders,
            calls=self.calls,
            emit=self.emit,
            follow=self.follow,
            committed=self.committed,
        )
        self._numbers = start.session
        self._announced = (0, False)
        self._ticked_at = self._began_at = now
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
        return self.disk.fit

    def forming(self, now: float) -> bool:
        """Whether others wait for this member: it is not on its disk yet, or a majority of the
        voters is heard while the newest view's chain is not active here.
        """
        if not self._saved_first:
            return True
        if self.view is None or self.chain.active:
            return False
        heard = {self.voter.address, *self.peers.heard(now)}
        return sum(voter.address in heard for voter in self.view.voters) >= majority(self.view)

    def begin(self, now: float) -> list[Effect]:
        """The first step of the process."""
        if self._saved_first:
            self.ballots.restored()
            if self.view is not None:
                self._enter(now)
        else:
            self.chain.applied_epoch = 1 if self._fresh else 0
            if self._fresh:
                self.voting.view = first_view(self._start.seeds)
                self.peers.grace(now)
            self.voting.version = 1
            self._save_first()
        return self._flush(now)

    def _save_first(self) -> None:
        """Nothing leaves a new member before its identity and an empty state are on the disk."""
        self.emit(Persist(Store.STATE, encode(StoredState(self.chain.applied_epoch, EMPTY))))

    def tick(self, now: float) -> list[Effect]:
        """Every `TICK_S` or so."""
        gap = now - self._ticked_at
        if gap > SLEPT_S:
            self.peers.skip(gap, now)
            self.disk.skip(gap, now)
        self._ticked_at = now
        self.disk.check(now)
        self._retry_disk(now)
        self.calls.proceed(self._known_view(), now)
        if self._saved_first:
            self.presence.beat(self.view, now)
            self.chain.resend(now)
            if self.view is not None and self.chain.is_tail:
                self.reads.proceed(self.view, now)
            self._propose(now)
        return self._flush(now)

    def submit(self, order: ConfigurationChange, now: float) -> tuple[int, list[Effect]]:
        """Carry an order; a `SubmitDone` of this number follows."""
        self._numbers += 1
        self.calls.submit(self._numbers, order, self._known_view(), now)
        return self._numbers, self._flush(now)

    def read(self, now: float) -> tuple[int, list[Effect]]:
        """Carry a confirmed read; a `ReadDone` of this number follows."""
        self._numbers += 1
        self.calls.read(self._numbers, self._known_view(), now)
        return self._numbers, self._flush(now)

    def leave(self, now: float) -> list[Effect]:
        """Ask the others for a view whose chain this member isn't in."""
        self.presence.leave()
        if self._saved_first:
            self.presence.beat(self.view, now)
        return self._flush(now)

    @property
    def left(self) -> bool:
        """Whether the newest view's chain goes without this member."""
        return replica_of(self.view, self.voter) is None

    def seeds_changed(self, seeds: tuple[str, ...]) -> None:
        """The settings name other machines to ask."""
        self.presence.seeds = seeds

    def receive(self, message: object, now: float) -> list[Effect]:
        """Take one of the records that `messages.HANDLED` names."""
        if self._saved_first:
            self._messages.handle(message, now)
        return self._flush(now)

    def persisted(self, store: Store, now: float) -> list[Effect]:
        """The oldest `Persist` of that store is durable."""
        self.disk.ended(now, True)
        if not self._saved_first:
            self._first_saved(store, now)
        elif store is Store.STATE:
            if self.chain.on_persisted(now):
                self.committed(now)
        else:
            self.ballots.saved()
        return self._flush(now)

    def persist_failed(self, store: Store, now: float) -> list[Effect]:
        """The disk has refused the oldest `Persist` of that store; nothing of it counts."""
        self.disk.ended(now, False)
        if store is Store.ACCEPTOR:
            self.ballots.save_failed()
        elif self._saved_first:
            self.chain.on_persist_failed()
        return self._flush(now)

    def take_effects(self, now: float) -> list[Effect]:
        """What a call to one of this member's parts has brought about."""
        return self._flush(now)

    # --- saves

    def _first_saved(self, store: Store, now: float) -> None:
        if store is Store.STATE:
            self.ballots.save()
            return
        self._saved_first = True
        self.chain.durable_epoch = self.chain.applied_epoch
        self.ballots.saved()
        if self.view is not None:
            self._enter(now)

    def _retry_disk(self, now: float) -> None:
        """A disk that refused, or was too slow, is tried with a save of the votes."""
        if self.disk.fit or not self.disk.idle or now - self._tried_disk_at < DISK_RETRY_S:
            return
        self._tried_disk_at = now
        self.disk.refusing = False
        if not self._saved_first:
            self._save_first()
            return
        self.chain.retry()
        self.ballots.touch()

    # --- views

    def _known_view(self) -> View | None:
        return self.view if self._saved_first else None

    def follow(self, view: View, now: float) -> None:
        """A decided view: enter it if it is newer."""
        if self.voting.adopt(view):
            self._fresh = False
            self.ballots.drop()
            self._enter(now)

    def _enter(self, now: float) -> None:
        if self.view is None:
            raise AssertionError("no view to enter")
        self.proposer.view_changed(now)
        self.reads.drop()
        self.orders.drop()
        self.chain.enter(self.view, self._fresh, now)
        self._announce()
        self.calls.view_changed(self.view, now)
        if self.chain.active:
            self.committed(now)

    def committed(self, now: float) -> None:
        """Something was committed, or the chain has become active."""
        self.orders.settle()
        if self.view is not None and self.chain.is_tail:
            self.reads.proceed(self.view, now)
        self._announce()

    def _announce(self) -> None:
        """Tell of a new view, or that its chain has become active."""
        if self.view is not None and self._announced != (self.view.epoch, self.chain.active):
            self._announced = (self.view.epoch, self.chain.active)
            self.emit(ViewChanged(self.view))

    def _propose(self, now: float) -> None:
        if self.view is None or not self.voting.entitled:
            return
        outside = not self.chain.participating and self.peers.settled(now, self.view.epoch)
        picture = self.presence.picture(self.view, now)
        if now - self._began_at < START_PATIENCE_S and not reunited(self.view, picture):
            return  # the others may be starting too, after a loss of the whole core
        self.proposer.consider(self.voting, picture, outside, now)

    # --- effects

    def emit(self, effect: Effect) -> None:
        """Give out an effect; what goes to this member itself is handled before the input ends."""
        if isinstance(effect, Send) and effect.to == self.voter.address:
            self._out.own.append(effect.message)
        else:
            self._out.effects.append(effect)

    def _flush(self, now: float) -> list[Effect]:
        """Deliver what the member told itself, save votes that changed, and hand the effects
        out.
        """
        while self._out.own:
            own, self._out.own = self._out.own, []
            for message in own:
                self._messages.handle(message, now)
        if self._saved_first:
            self.ballots.release()
            if not self.disk.refusing:
                self.ballots.save()
        effects, self._out.effects = self._out.effects, []
        for effect in effects:
            if isinstance(effect, Persist):
                self.disk.began(now, len(effect.payload))
        return effects
