"""A single member: identity, messages that wait for a save, liveness of peers, disk health."""

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
CHANGE = ConfigurationChange(0, 1, b"one", digest_of(0, b"one"))
STATE = StoredState(1, apply_change(EMPTY, CHANGE, refused=False))
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
        """The messages sent so far, without heartbeats; saves stay pending."""
        sent: list[ChainMessage] = [
            e.message
            for e in self.effects
            if isinstance(e, Send) and not isinstance(e.message, Heartbeat)
        ]
        self.effects = [e for e in self.effects if isinstance(e, Persist)]
        return sent

    def save(self, now: float = 0.0) -> Persist:
        """Complete the oldest save."""
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


def test_member_is_awaited_until_its_view_is_active() -> None:
    new = Harness(FRESH)
    assert new.member.is_awaited(0.0)  # its identity is not saved yet
    while any(isinstance(effect, Persist) for effect in new.effects):
        new.save()
    assert not new.member.is_awaited(0.0)  # no peer is reachable
    stored = Harness(STORED)
    assert not stored.member.is_awaited(0.0)
    stored.deliver(heartbeat_of(A))
    assert stored.member.is_awaited(0.1)
    assert not stored.member.is_awaited(9.0)  # no heartbeat since
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
def test_identity_and_view_after_start(start: Start, voter: Voter, epoch: int) -> None:
    member = Harness(start).member
    assert member.voter == voter
    assert (member.view.epoch if member.view else 0) == epoch


def test_new_member_sends_nothing_before_its_identity_is_saved() -> None:
    harness = Harness(FRESH)
    assert harness.deliver(Prepare(A, 2, BALLOT)) == []
    harness.effects += harness.member.tick(0.1)
    assert all(isinstance(effect, Persist) for effect in harness.effects)
    assert decode(36, harness.save().payload) == StoredState(1, EMPTY)
    assert decode(33, harness.save().payload) == AcceptorState(B, VIEW, None, None, None)
    assert harness.member.chain.participating


def test_restarted_member_votes_but_does_not_participate() -> None:
    harness = Harness(STORED)
    assert not harness.member.chain.participating
    assert harness.deliver(ConfirmRequest(C, 1, 3)) == [ConfirmReply(B, 1, 3, is_newest=True)]
    assert harness.deliver(Prepare(A, 2, BALLOT)) == []
    saved = harness.save()
    assert saved.store is Store.ACCEPTOR
    assert decode(33, saved.payload).promised == BALLOT
    assert harness.sent() == [Promise(B, 2, BALLOT, None, None)]


def test_acceptance_is_sent_after_its_save_and_ends_confirmations_at_once() -> None:
    harness = Harness(STORED)
    assert harness.deliver(Accept(A, BALLOT, NEXT)) == []
    assert harness.deliver(ConfirmRequest(C, 1, 3)) == [ConfirmReply(B, 1, 3, is_newest=False)]
    saved = decode(33, harness.save().payload)
    assert (saved.accepted, saved.proposal) == (BALLOT, NEXT)
    assert harness.sent() == [Accepted(B, 2, BALLOT)]
    restarted = Harness(replace(STORED, acceptor_state=saved))
    assert restarted.deliver(ConfirmRequest(C, 1, 4)) == [ConfirmReply(B, 1, 4, is_newest=False)]


def test_failed_save_of_a_vote_is_retried_and_the_vote_is_not_sent_before() -> None:
    harness = Harness(STORED)
    harness.deliver(Prepare(A, 2, BALLOT))
    harness.effects = harness.member.persist_failed(Store.ACCEPTOR, 0.0)
    assert harness.effects == []
    assert not harness.member.disk_is_healthy
    harness.effects = harness.member.tick(0.25)
    assert harness.save(0.26).store is Store.ACCEPTOR
    assert harness.member.disk_is_healthy
    assert harness.sent() == [Promise(B, 2, BALLOT, None, None)]


def test_decided_view_is_entered_and_sent_to_members_with_an_older_view() -> None:
    harness = Harness(STORED)
    harness.deliver(Decided(A, NEXT))
    assert harness.member.view == NEXT
    assert harness.member.chain.is_head
    harness.deliver(Decided(A, VIEW))
    assert harness.member.view == NEXT
    assert harness.deliver(heartbeat_from(C, epoch=1)) == [Decided(B, NEXT)]
    assert harness.deliver(heartbeat_from(C, epoch=2)) == []


@pytest.mark.parametrize(("epoch", "accepted"), [(2, True), (1, False), (3, False)])
def test_head_accepts_changes_for_its_own_epoch_only(*, epoch: int, accepted: bool) -> None:
    """A change for another epoch may be decided by that epoch's head, so not here as well."""
    harness = Harness(STORED)
    harness.deliver(Decided(A, NEXT))
    assert harness.member.chain.is_head
    harness.member.chain.on_ack(Ack(C, 2, 1))
    harness.sent()
    newer = ConfigurationChange(1, 2, b"two", digest_of(1, b"two"))
    harness.deliver(SubmitRequest(C, epoch, 9, newer))
    assert (harness.member.chain.applied.sequence == 2) is accepted


def test_calls_time_out_without_other_members() -> None:
    harness = Harness(STORED)
    change, _ = harness.member.submit(CHANGE, 0.0)
    read, _ = harness.member.read(0.0)
    completed: list[tuple[float, Effect]] = []
    for step in range(1, 60):
        now = step * 0.05
        done = [e for e in harness.member.tick(now) if isinstance(e, SubmitDone | ReadDone)]
        completed += [(now, effect) for effect in done]
    assert [effect for _, effect in completed] == [
        ReadDone(read, None),
        SubmitDone(change, OutcomeUnknown()),
    ]
    assert [at for at, _ in completed] == pytest.approx([1.5, 2.5])


def heartbeat_from(sender: Voter, **changes: object) -> Heartbeat:
    healthy_heartbeat = Heartbeat(
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
    return replace(healthy_heartbeat, **changes)  # type: ignore[arg-type]


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
def test_peer_is_live_and_stable_by_its_heartbeats(
    *, heartbeats: list[tuple[float, Heartbeat]], now: float, live: bool, stable: bool
) -> None:
    peers = PeerTable(B)
    for at, heartbeat in heartbeats:
        peers.on_heartbeat(heartbeat, at)
    own_status = Harness(STORED).member.heartbeats.own_status(None, now)
    status = peers.snapshot(now, own_status, ())["a:1"]
    assert (status.live, status.stable) == (live, stable)


def test_own_suspension_does_not_count_as_missing_heartbeats() -> None:
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
        (4_500_000, 0.5, True),  # a document of 4 MB and a full history
        (4_500_000, 0.54, False),
        (16_000_000, 1.05, True),
    ],
)
def test_time_limit_of_a_save_grows_with_its_size(
    *, size: int, seconds: float, healthy: bool
) -> None:
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
def test_disk_health_by_the_durations_and_results_of_saves(
    *, saves: list[tuple[float, float | None, bool]], now: float, healthy: bool
) -> None:
    disk = DiskHealth()
    for began, ended, succeeded in saves:
        disk.save_requested(began, 0)
        if ended is not None:
            disk.save_ended(ended, succeeded=succeeded)
    assert disk.check(now) is healthy


def test_late_confirm_reply_begins_no_round_before_the_tail_has_the_state() -> None:
    """Otherwise the tail confirms reads of an outdated state (simulation, seed 20348)."""
    harness = Harness(STORED)
    view = View(2, VIEW.voters, tuple(ChainReplica(voter, 1, 40) for voter in (A, B)))
    harness.deliver(Decided(A, view))
    assert harness.member.chain.is_last
    assert not harness.member.chain.active
    assert harness.deliver(ReadRequest(C, 7, -1)) == []
    assert harness.deliver(ConfirmReply(A, 1, 3, is_newest=True)) == []
    for voter in (A, C):
        assert harness.deliver(ConfirmReply(voter, 2, 1, is_newest=True)) == []


def test_failed_state_save_is_retried_after_another_save_succeeds() -> None:
    """Otherwise the chain never becomes active (simulation, seed 40040)."""
    harness = Harness(STORED)
    view = View(2, VIEW.voters, tuple(ChainReplica(voter, 1, 40) for voter in (A, B)))
    harness.deliver(Sync(A, view, STATE.state))
    saves = [effect for effect in harness.effects if isinstance(effect, Persist)]
    assert [save.store for save in saves] == [Store.STATE, Store.ACCEPTOR]
    harness.effects = harness.member.persist_failed(Store.STATE, 0.01)
    harness.effects += harness.member.persisted(Store.ACCEPTOR, 0.02)
    assert harness.member.disk_is_healthy
    harness.effects += harness.member.tick(0.05)
    retries = [effect for effect in harness.effects if isinstance(effect, Persist)]
    assert [save.payload for save in retries] == [saves[0].payload]
    harness.member.persisted(Store.STATE, 0.06)
    assert harness.member.chain.is_tail
