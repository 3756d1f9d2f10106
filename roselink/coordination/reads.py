"""Confirmed reads at the tail. No I/O, no clock.

A round asks every voter of the tail's epoch e whether it has accepted, or learned of, a view after
e. The reads that were requested before the round began get the tail's committed state once a
majority denies it.

C1. A confirmed read misses nothing that was acknowledged before it began.

  Proof. What was acknowledged in an epoch up to e is in the tail's state (V1 in
  `roselink.coordination.views`; the tail itself acknowledges in e). Suppose that a write was
  acknowledged in an epoch after e before the read began. Then the view e+1 had been decided before:
  a majority of the voters of e had saved its acceptance. Any other majority of the same voters has
  one of them in common (the quorum intersection of Paxos), and that voter, asked afterwards, does
  not deny it: a voter keeps its acceptance over a restart, and one that lost its disk has another
  identity and no vote. The tail itself replies like any other voter.

C2. Reads don't go backwards.

  Proof. A read returns what is on every disk of the chain, including the next head's, which had it
  before it left e; each later view begins with at least that.

In chain replication (van Renesse and Schneider, OSDI 2004) the tail alone serves reads, because a
configuration master stops every other tail. Here views are agreed as in Vertical Paxos (Lamport,
Malkhi and Zhou, PODC 2009), and a tail may be partitioned without detecting it, so each read needs
a round. No clock is read, and no clocks are compared.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from roselink.coordination.effects import Emit, Send
from roselink.coordination.views import majority
from roselink.protocol.chain import ConfirmReply, ConfirmRequest, View, Voter

# A round without a majority is restarted after this interval, together with the queued reads.
ROUND_RETRY_INTERVAL_S = 0.15


@dataclass(frozen=True, slots=True)
class WaitingRead:
    """A read that waits for the confirmation of a round.

    Attributes:
        requester: the peer address to which the reply is sent.
        number: the requester's number of the read.
        known_sequence: the sequence whose document the requester already has.
    """

    requester: str
    number: int
    known_sequence: int


@dataclass(slots=True)
class ReadRounds:
    """The tail's rounds, one at a time; reads requested during a round share the next one."""

    voter: Voter
    emit: Emit
    _round: int = 0
    _view: View | None = None
    _in_flight: list[WaitingRead] = field(default_factory=list)
    _queued: list[WaitingRead] = field(default_factory=list)
    _confirmed_by: set[Voter] = field(default_factory=set)
    _started_at: float = 0.0

    def clear(self) -> None:
        """Discard all reads, after a change of view."""
        self._in_flight = []
        self._queued = []
        self._view = None

    def request(self, read: WaitingRead, view: View, now: float, *, is_active: bool) -> None:
        """Queue a read for a round that begins now or later, once the chain is active."""
        if read in self._queued or read in self._in_flight:
            return
        self._queued.append(read)
        if is_active:
            self.advance(view, now)

    def on_reply(self, reply: ConfirmReply) -> list[WaitingRead]:
        """Count a voter's reply; returns the reads that it confirms."""
        view = self._view
        if (
            view is None
            or not self._in_flight
            or reply.round != self._round
            or reply.epoch != view.epoch
        ):
            return []
        if not reply.is_newest or reply.sender not in view.voters:
            return []
        self._confirmed_by.add(reply.sender)
        if len(self._confirmed_by) < majority(view):
            return []
        confirmed = self._in_flight
        self._in_flight = []
        return confirmed

    def advance(self, view: View, now: float) -> None:
        """Begin the next round if reads are queued, and restart one that has timed out."""
        if self._in_flight and now - self._started_at >= ROUND_RETRY_INTERVAL_S:
            self._queued = self._in_flight + self._queued
            self._in_flight = []
        if self._queued and not self._in_flight:
            self._begin(view, now)

    def _begin(self, view: View, now: float) -> None:
        self._view = view
        self._started_at = now
        self._in_flight = self._queued
        self._queued = []
        self._round += 1
        self._confirmed_by = set()
        for voter in view.voters:
            self.emit(Send(voter.address, ConfirmRequest(self.voter, view.epoch, self._round)))
