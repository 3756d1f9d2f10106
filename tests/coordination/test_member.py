"""A whole member on its own: identities, what waits for the disk, liveness, and its disk's
health.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from roselink.coordination.disk_health import DiskHealth
from roselink.coordination.effects import (
    Effect,
    OutcomeUnknown,
    Persist,
    ReadDone,
    Send,
    Store,
    SubmitDone,
)
from roselink.coordination.member import Member, Start
from roselink.coordination.peer_table import PeerTable
from roselink.coordination.state import EMPTY, apply_change, digest_of
from roselink.coordination.views import first_view
from roselink.protocol.chain import (
    Accept,
    Accepted,
    AcceptorState,
    Ack,
    Ballot,
    ChainMessage,
    ChainReplica,
    ConfigurationChange,
    ConfirmReply,
    ConfirmRequest,
    Decided,
    Heartbeat,
    Prepare,
    Promise,
    ReadRequest,
    StoredState,
    SubmitRequest,
    Sync,
    View,
    Voter,
)
from roselink.protocol.records import decode

SEEDS = ("a:1", "b:1", "c:1")
VIEW = first_view(SEEDS)
A, B, C = VIEW.voters
ORDER = ConfigurationChange(0, 1, b"one", digest_of(0, b"one"))
STATE = StoredState(1, apply_change(EMPTY, ORDER, refused=False))
FRESH = Start(
    address="b:1",
    seeds=SEEDS,
    bootstrap=True,
    tolerated=1,
    session=40,
    fresh_incarnation=50,
    acceptor_state=None,
    state=None,
)
STORED = replace(
    FRESH, bootstrap=False, acceptor_state=AcceptorState(B, VIEW, None, None, None), state=STATE
)
BALLOT = Ballot(1, "a:1", 9)
NEXT = View(2, VIEW.voters, tuple(ChainReplica(voter, 1, 40) for voter in (B, C)))


class Harness:
    def __init__(self, start: Start) -> None:
        self.member = Member(start, 0.0)
        self.effects: list[Effect] = self.member.begin(0.0)

    def deliver(self, message: ChainMessage, now: float = 0.0) -> list[ChainMessage]:
        self.effects += self.member.receive(message, now)
        return self.sent()

    def sent(self) -> list[ChainMessage]:
        """What was sent, save heartbeats; saves stay waiting."""
        sent: list[ChainMessage] = [
            e.message
            for e in self.effects
            if isinstance(e, Send) and not isinstance(e.message, Heartbeat)
        ]
        self.effects = [e for e in self.effects if isinstance(e, Persist)]
        return sent

    def save(self, now: float = 0.0) -> Persist:
        """The oldest save is done."""
        oldest = next(e for e in self.effects if isinstance(e, Persist))
        self.effects.remove(oldest)
        self.effects += self.member.persisted(oldest.store, now)
        return oldest


def heartbeat_of(voter: Voter) -> Heartbeat:
    return Heartbeat(
        sender=voter,
        session=9,
        epoch=1,
        state_epoch=1,
        sequence=1,
        participating=False,
        disk_ok=True,
        leaving=False,
        chain_is_complete=False,
        reachable=("b:1",),
    )


def test_others_wait_for_a_member_until_its_view_is_active() -> None:
    new = Harness(FRESH)
    assert new.member.is_awaited(0.0)  # not on its disk yet
    while any(isinstance(effect, Persist) for effect in new.effects):
        new.save()
    assert not new.member.is_awaited(0.0)  # nobody is heard
    stored = Harness(STORED)
    assert not stored.member.is_awaited(0.0)
    stored.deliver(heartbeat_of(A))
    assert stored.member.is_awaited(0.1)
    assert not stored.member.is_awaited(9.0)  # silent since
    stored.member.chain.active = True
    assert not stored.member.is_awaited(0.1)


@pytest.mark.parametrize(
    ("start", "voter", "epoch"),
    [
        (FRESH, Voter("b:1", 0), 1),
        (replace(FRESH, address="d:1"), Voter("d:1", 50), 0),
        (replace(FRESH, bootstrap=False), Voter("b:1", 50), 0),
        (replace(STORED, state=None), Voter("b:1", 50), 0),
        (replace(STORED, acceptor_state=None), Voter("b:1", 50), 0),
        (STORED, Voter("b:1", 0), 1),
        (replace(STORED, bootstrap=True), Voter("b:1", 0), 1),
    ],
)
def test_identity(start: Start, voter: Voter, epoch: int) -> None:
    member = Harness(start).member
    assert member.voter == voter
    assert (member.view.epoch if member.view else 0) == epoch


def test_a_new_member_sends_nothing_before_its_identity_is_saved() -> None:
    harness = Harness(FRESH)
    assert harness.deliver(Prepare(A, 2, BALLOT)) == []
    harness.effects += harness.member.tick(0.1)
    assert all(isinstance(effect, Persist) for effect in harness.effects)
    assert decode(36, harness.save().payload) == StoredState(1, EMPTY)
    assert decode(33, harness.save().payload) == AcceptorState(B, VIEW, None, None, None)
    assert harness.member.chain.participating


def test_a_restarted_member_does_not_participate_but_votes() -> None:
    harness = Harness(STORED)
    assert not harness.member.chain.participating
    assert harness.deliver(ConfirmRequest(C, 1, 3)) == [ConfirmReply(B, 1, 3, is_newest=True)]
    assert harness.deliver(Prepare(A, 2, BALLOT)) == []
    saved = harness.save()
    assert saved.store is Store.ACCEPTOR
    assert decode(33, saved.payload).promised == BALLOT
    assert harness.sent() == [Promise(B, 2, BALLOT, None, None)]


def test_an_acceptance_is_sent_after_its_save_and_ends_confirmations_at_once() -> None:
    harness = Harness(STORED)
    assert harness.deliver(Accept(A, BALLOT, NEXT)) == []
    assert harness.deliver(ConfirmRequest(C, 1, 3)) == [ConfirmReply(B, 1, 3, is_newest=False)]
    saved = decode(33, harness.save().payload)
    assert (saved.accepted, saved.proposal) == (BALLOT, NEXT)
    assert harness.sent() == [Accepted(B, 2, BALLOT)]
    again = Harness(replace(STORED, acceptor_state=saved))
    assert again.deliver(ConfirmRequest(C, 1, 4)) == [ConfirmReply(B, 1, 4, is_newest=False)]


def test_with_a_refusing_disk_no_vote_is_sent_and_it_is_retried() -> None:
    harness = Harness(STORED)
    harness.deliver(Prepare(A, 2, BALLOT))
    harness.effects = harness.member.persist_failed(Store.ACCEPTOR, 0.0)
    assert harness.effects == []
    assert not harness.member.disk_is_healthy
    harness.effects = harness.member.tick(0.25)
    assert harness.save(0.26).store is Store.ACCEPTOR
    assert harness.member.disk_is_healthy
    assert harness.sent() == [Promise(B, 2, BALLOT, None, None)]


def test_a_decided_view_is_entered_and_sent_to_whoever_is_behind() -> None:
    harness = Harness(STORED)
    harness.deliver(Decided(A, NEXT))
    assert harness.member.view == NEXT
    assert harness.member.chain.is_head
    harness.deliver(Decided(A, VIEW))
    assert harness.member.view == NEXT
    assert harness.deliver(heartbeat_from(C, epoch=1)) == [Decided(B, NEXT)]
    assert harness.deliver(heartbeat_from(C, epoch=2)) == []


@pytest.mark.parametrize(("epoch", "accepted"), [(2, True), (1, False), (3, False)])
def test_a_head_accepts_changes_for_its_own_epoch_only(*, epoch: int, accepted: bool) -> None:
    """A late copy of an order whose caller has gone on to another head is not judged here as
    well.
    """
    harness = Harness(STORED)
    harness.deliver(Decided(A, NEXT))
    assert harness.member.chain.is_head
    harness.member.chain.on_ack(Ack(C, 2, 1))
    harness.sent()
    newer = ConfigurationChange(1, 2, b"two", digest_of(1, b"two"))
    harness.deliver(SubmitRequest(C, epoch, 9, newer))
    assert (harness.member.chain.applied.sequence == 2) is accepted


def test_calls_end_in_time_without_a_core() -> None:
    harness = Harness(STORED)
    change, _ = harness.member.submit(ORDER, 0.0)
    read, _ = harness.member.read(0.0)
    ends: list[tuple[float, Effect]] = []
    for step in range(1, 60):
        now = step * 0.05
        done = [e for e in harness.member.tick(now) if isinstance(e, SubmitDone | ReadDone)]
        ends += [(now, effect) for effect in done]
    assert [effect for _, effect in ends] == [
        ReadDone(read, None),
        SubmitDone(change, OutcomeUnknown()),
    ]
    assert [at for at, _ in ends] == pytest.approx([1.5, 2.5])


def heartbeat_from(sender: Voter, **changes: object) -> Heartbeat:
    well = Heartbeat(
        sender=sender,
        session=3,
        epoch=1,
        state_epoch=1,
        sequence=0,
        participating=True,
        disk_ok=True,
        leaving=False,
        chain_is_complete=True,
        reachable=("b:1", "a:1", "c:1"),
    )
    return replace(well, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("heartbeats", "now", "live", "stable"),
    [
        ([(0.0, heartbeat_from(A))], 0.1, True, False),
        ([(0.0, heartbeat_from(A)), (0.3, heartbeat_from(A))], 0.35, True, True),
        ([(0.0, heartbeat_from(A)), (0.3, heartbeat_from(A))], 0.8, False, True),
        ([(0.0, heartbeat_from(A, reachable=("c:1",)))], 0.1, False, False),
        (
            [
                (0.0, heartbeat_from(A)),
                (0.2, heartbeat_from(A, disk_ok=False)),
                (0.3, heartbeat_from(A)),
            ],
            0.4,
            True,
            False,
        ),
        ([(0.0, heartbeat_from(A)), (1.0, heartbeat_from(A))], 1.1, True, False),
        ([(0.0, heartbeat_from(A)), (0.3, heartbeat_from(A, session=4))], 0.4, True, False),
    ],
)
def test_peers(
    *, heartbeats: list[tuple[float, Heartbeat]], now: float, live: bool, stable: bool
) -> None:
    peers = PeerTable(B)
    for at, heartbeat in heartbeats:
        peers.on_heartbeat(heartbeat, at)
    own = Harness(STORED).member.heartbeats.own_status(None, now)
    seen = peers.snapshot(now, own, ())["a:1"]
    assert (seen.live, seen.stable) == (live, stable)


def test_an_own_pause_is_not_counted_as_silence_of_others() -> None:
    peers = PeerTable(B)
    peers.on_heartbeat(heartbeat_from(A), 0.0)
    assert peers.reachable(5.0) == ()
    peers.discount_pause(4.9, 5.0)
    assert peers.reachable(5.0) == ("a:1",)
    peers.discount_pause(4.9, 5.1)
    assert peers.reachable(5.6) == ()


@pytest.mark.parametrize(
    ("size", "seconds", "healthy"),
    [
        (0, 0.29, True),
        (0, 0.31, False),
        (4_500_000, 0.5, True),  # a document of 4 MB and a whole history
        (4_500_000, 0.54, False),
        (16_000_000, 1.05, True),
    ],
)
def test_a_large_save_may_take_longer(*, size: int, seconds: float, healthy: bool) -> None:
    disk = DiskHealth()
    disk.save_requested(0.0, size)
    assert disk.check(seconds) is healthy
    disk.save_ended(seconds, succeeded=True)
    assert disk.healthy is healthy


@pytest.mark.parametrize(
    ("saves", "now", "healthy"),
    [
        ([(0.0, 0.02, True)], 0.1, True),
        ([(0.0, 0.5, True)], 0.6, False),
        ([(0.0, None, True)], 0.2, True),
        ([(0.0, None, True)], 0.4, False),
        ([(0.0, 0.02, False)], 0.1, False),
        ([(0.0, 0.02, False), (0.1, 0.12, True)], 0.2, True),
        ([(0.0, 0.5, True), (0.6, 0.85, True)], 0.9, False),
        ([(0.0, 0.5, True), (0.6, 0.65, True)], 0.9, True),
    ],
)
def test_disk_health(
    *, saves: list[tuple[float, float | None, bool]], now: float, healthy: bool
) -> None:
    disk = DiskHealth()
    for began, ended, succeeded in saves:
        disk.save_requested(began, 0)
        if ended is not None:
            disk.save_ended(ended, succeeded=succeeded)
    assert disk.check(now) is healthy


def test_a_late_reply_of_a_former_round_begins_none_before_the_tail_has_the_state() -> None:
    """Else a tail shows the state of before, confirmed: seed 20348 of the simulated days."""
    harness = Harness(STORED)
    view = View(2, VIEW.voters, tuple(ChainReplica(voter, 1, 40) for voter in (A, B)))
    harness.deliver(Decided(A, view))
    assert harness.member.chain.is_last
    assert not harness.member.chain.active
    assert harness.deliver(ReadRequest(C, 7, -1)) == []
    assert harness.deliver(ConfirmReply(A, 1, 3, is_newest=True)) == []
    for voter in (A, C):
        assert harness.deliver(ConfirmReply(voter, 2, 1, is_newest=True)) == []


def test_a_refused_state_is_saved_again_though_another_save_brought_the_disk_back() -> None:
    """Else the chain never becomes active: seed 40040 of the simulated days."""
    harness = Harness(STORED)
    view = View(2, VIEW.voters, tuple(ChainReplica(voter, 1, 40) for voter in (A, B)))
    harness.deliver(Sync(A, view, STATE.state))
    saves = [effect for effect in harness.effects if isinstance(effect, Persist)]
    assert [save.store for save in saves] == [Store.STATE, Store.ACCEPTOR]
    harness.effects = harness.member.persist_failed(Store.STATE, 0.01)
    harness.effects += harness.member.persisted(Store.ACCEPTOR, 0.02)
    assert harness.member.disk_is_healthy
    harness.effects += harness.member.tick(0.05)
    again = [effect for effect in harness.effects if isinstance(effect, Persist)]
    assert [save.payload for save in again] == [saves[0].payload]
    harness.member.persisted(Store.STATE, 0.06)
    assert harness.member.chain.is_tail
