"""Confirmed reads at the tail. No I/O, no clock.

A round asks every voter of the tail's epoch e whether it has accepted, or heard of, a view after e.
The reads that waited before the round began get the tail's committed state once a majority says no.

Why such a read misses nothing acknowledged before it began: what was acknowledged in an epoch up to
e is in the tail's state (`roselink.coordination.views`; the tail itself acknowledges in e). Suppose
that a write was acknowledged in an epoch after e before the read began. Then the view e+1 had been
decided before: a majority of the voters of e had put its acceptance on their disks. Any majority of
the same voters has one of them in common, and that one, asked afterwards, does not say yes: a voter
keeps its acceptance over a restart, and one that lost its disk has another identity and no vote.
The tail itself answers like any other voter.

Why reads don't go backwards: a read shows what is on every disk of the chain, the next head's too,
which had it before it left e; each later view begins with at least that. No clock is read, and no
clocks are compared.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from roselink.coordination.effects import Emit, Send
from roselink.coordination.views import majority
from roselink.protocol.chain import ConfirmReply, ConfirmRequest, View, Voter

ROUND_AGAIN_S = 0.15


@dataclass(frozen=True, slots=True)
class WaitingRead:
    """A read that waits: who asked, under which number, and which sequence's document it holds."""

    asker: str
    number: int
    known: int


@dataclass(slots=True)
class ReadRounds:
    """Rounds of one tail, one at a time; what comes meanwhile shares the next."""

    voter: Voter
    emit: Emit
    _round: int = 0
    _view: View | None = None
    _asking: list[WaitingRead] = field(default_factory=list)
    _next: list[WaitingRead] = field(default_factory=list)
    _confirmed_by: set[Voter] = field(default_factory=set)
    _began: float = 0.0

    def drop(self) -> None:
        """Forget all reads: the view has changed."""
        self._asking, self._next = [], []
        self._view = None

    def ask(self, read: WaitingRead, view: View, active: bool, now: float) -> None:
        """Take a read; it needs a round that begins now or later, once the chain is active."""
        if read in self._next or read in self._asking:
            return
        self._next.append(read)
        if active:
            self.proceed(view, now)

    def answer(self, answer: ConfirmReply) -> list[WaitingRead]:
        """Count a voter's answer; the reads that are confirmed by it."""
        view = self._view
        if (
            view is None
            or not self._asking
            or answer.round != self._round
            or answer.epoch != view.epoch
        ):
            return []
        if not answer.newest or answer.sender not in view.voters:
            return []
        self._confirmed_by.add(answer.sender)
        if len(self._confirmed_by) < majority(view):
            return []
        confirmed, self._asking = self._asking, []
        return confirmed

    def proceed(self, view: View, now: float) -> None:
        """Begin the next round if reads wait, and a round again that has had no majority for a
        time.
        """
        if self._asking and now - self._began >= ROUND_AGAIN_S:
            self._next, self._asking = self._asking + self._next, []
        if self._next and not self._asking:
            self._begin(view, now)

    def _begin(self, view: View, now: float) -> None:
        self._view, self._began = view, now
        self._asking, self._next = self._next, []
        self._round += 1
        self._confirmed_by = set()
        for voter in view.voters:
            self.emit(Send(voter.address, ConfirmRequest(self.voter, view.epoch, self._round)))
