"""One member's part in a chain: what it passes on, acknowledges, takes and refuses."""

from __future__ import annotations

from dataclasses import replace

import pytest

from roselink.coordination.chain import ChainMember
from roselink.coordination.effects import Effect, Persist, Send, Store
from roselink.coordination.state import EMPTY, apply_change, digest_of
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

A, B, C = (Voter(name, 0) for name in "abc")
VIEW = View(3, (A, B, C), tuple(ChainReplica(voter, 1, 7) for voter in (A, B, C)))
FIRST = ConfigurationChange(0, 1, b"one", digest_of(0, b"one"))
SECOND = ConfigurationChange(1, 2, b"two", digest_of(1, b"two"))
STATE = apply_change(EMPTY, FIRST, refused=False)


def sync(sender: Voter, epoch: int, state: ConfigurationState) -> Sync:
    """The state with which an epoch of the same members begins."""
    return Sync(sender, replace(VIEW, epoch=epoch), state)


SYNC = sync(A, 3, STATE)
WRITE = Write(A, 3, 2, refused=False, change=SECOND)


class Stage:
    """One member in `VIEW`, and what it gave out."""

    def __init__(self, voter: Voter, session: int = 7, stored: StoredState | None = None) -> None:
        self.effects: list[Effect] = []
        self.member = ChainMember(voter, session, self.effects.append)
        self.member.restore(stored or StoredState(2, STATE))
        self.member.enter(VIEW, 0.0, is_fresh=False)

    def out(self) -> list[Effect]:
        effects = list(self.effects)
        self.effects.clear()
        return effects

    def sent(self) -> list[tuple[str, object]]:
        return [(effect.to, effect.message) for effect in self.out() if isinstance(effect, Send)]

    def saved(self) -> list[tuple[str, object]]:
        """One save is done; what is sent by it."""
        self.out()
        self.member.on_persisted(0.0)
        return self.sent()


def middle() -> Stage:
    """The middle member, synced and active."""
    stage = Stage(B)
    stage.member.on_sync(SYNC, 0.0)
    stage.saved()
    stage.member.on_ack(Ack(C, 3, 1))
    stage.out()
    return stage


def test_the_head_pushes_its_durable_state() -> None:
    assert Stage(A).sent() == [("b", sync(A, 3, STATE))]


def test_the_head_saves_what_it_had_not_saved_before_it_pushes() -> None:
    stage = Stage(A)
    stage.member.on_ack(Ack(B, 3, 1))
    stage.member.append(SECOND, refused=False)
    stage.out()
    stage.member.enter(replace(VIEW, epoch=4), 0.0, is_fresh=False)
    assert stage.sent() == []
    newest = apply_change(STATE, SECOND, refused=False)
    stage.member.on_persisted(0.0)
    assert ("b", sync(A, 4, newest)) in stage.sent()


def test_a_member_saves_before_it_passes_on() -> None:
    stage = Stage(B)
    stage.member.on_sync(SYNC, 0.0)
    assert stage.out() == [Persist(Store.STATE, encode(StoredState(3, STATE)))]
    assert stage.saved() == [("c", sync(B, 3, STATE))]
    assert not stage.member.active


def test_a_state_that_is_on_the_disk_is_passed_on_at_once() -> None:
    stage = Stage(B)
    stage.member.durable = stage.member.applied = STATE
    stage.member.durable_epoch = stage.member.applied_epoch = 3
    assert not stage.member.on_sync(SYNC, 0.0)
    assert stage.sent() == [("c", sync(B, 3, STATE))]


def test_the_tail_commits_with_its_save() -> None:
    stage = Stage(C)
    stage.member.on_sync(sync(B, 3, STATE), 0.0)
    assert not stage.member.is_tail
    assert stage.saved() == [("b", Ack(C, 3, 1))]
    assert stage.member.is_tail
    assert stage.member.committed == 1


def test_a_write_goes_down_after_the_save_and_its_acknowledgement_up() -> None:
    stage = middle()
    stage.member.on_write(WRITE)
    assert stage.sent() == []
    assert stage.saved() == [("c", Write(B, 3, 2, refused=False, change=SECOND))]
    assert stage.member.on_ack(Ack(C, 3, 2))
    assert stage.sent() == [("a", Ack(B, 3, 2))]
    assert not stage.member.on_ack(Ack(C, 3, 2))


def test_writes_that_come_during_a_save_share_the_next() -> None:
    stage = middle()
    third = ConfigurationChange(2, 3, b"three", digest_of(2, b"three"))
    stage.member.on_write(WRITE)
    stage.member.on_write(Write(A, 3, 3, refused=False, change=third))
    assert stage.saved() == [("c", Write(B, 3, 2, refused=False, change=SECOND))]
    assert stage.saved() == [("c", Write(B, 3, 3, refused=False, change=third))]


def test_a_write_given_again_is_acknowledged_again_and_a_gap_is_not_taken() -> None:
    stage = middle()
    stage.member.on_write(Write(A, 3, 1, refused=False, change=FIRST))
    assert stage.sent() == [("a", Ack(B, 3, 1))]
    stage.member.on_write(Write(A, 3, 3, refused=False, change=SECOND))
    assert stage.member.applied.sequence == 1


@pytest.mark.parametrize(
    "message",
    [
        sync(A, 2, EMPTY),
        sync(A, 4, EMPTY),
        sync(C, 3, EMPTY),
        sync(Voter("a", 9), 3, EMPTY),
        replace(WRITE, epoch=2),
        replace(WRITE, epoch=4),
        replace(WRITE, sender=C),
        Ack(A, 3, 9),
        Ack(C, 2, 9),
        Ack(Voter("c", 9), 3, 9),
    ],
)
def test_what_another_epoch_or_machine_sends_is_not_taken(message: Sync | Write | Ack) -> None:
    stage = middle()
    before = stage.member.applied, stage.member.committed
    give(stage, message)
    assert (stage.member.applied, stage.member.committed) == before
    assert stage.out() == []


def give(stage: Stage, message: Sync | Write | Ack) -> None:
    if isinstance(message, Sync):
        stage.member.on_sync(message, 0.0)
    elif isinstance(message, Write):
        stage.member.on_write(message)
    else:
        stage.member.on_ack(message)


@pytest.mark.parametrize("voter", [A, B, C])
def test_a_process_that_started_later_takes_no_part(voter: Voter) -> None:
    stage = Stage(voter, session=8)
    assert not stage.member.participating
    for message in (SYNC, sync(B, 3, STATE), WRITE, Ack(B, 3, 1), Ack(C, 3, 1)):
        give(stage, message)
    assert stage.out() == []
    assert not stage.member.is_head
    assert not stage.member.is_tail


def test_a_member_that_was_not_synced_takes_no_write() -> None:
    stage = Stage(B)
    stage.member.on_write(WRITE)
    assert stage.out() == []


def test_a_refused_save_is_tried_again_and_nothing_leaves_before() -> None:
    stage = middle()
    stage.member.on_write(WRITE)
    stage.out()
    stage.member.on_persist_failed()
    assert stage.out() == []
    stage.member.retry_save()
    assert [type(effect) for effect in stage.out()] == [Persist]
    stage.member.on_persisted(0.0)
    assert stage.sent() == [("c", Write(B, 3, 2, refused=False, change=SECOND))]


def test_a_save_of_the_older_epoch_passes_nothing_on_in_the_newer() -> None:
    stage = middle()
    stage.member.on_write(WRITE)
    stage.out()
    stage.member.enter(replace(VIEW, epoch=4), 0.0, is_fresh=False)
    assert stage.saved() == []
    stage.member.on_sync(sync(A, 4, STATE), 0.0)
    assert stage.saved() == [("c", sync(B, 4, STATE))]


def test_what_has_no_acknowledgement_is_sent_again() -> None:
    head = Stage(A)
    head.out()
    head.member.resend(0.1)
    assert head.sent() == []
    head.member.resend(0.5)
    assert head.sent() == [("b", sync(A, 3, STATE))]
    head.member.on_ack(Ack(B, 3, 1))
    head.member.append(SECOND, refused=False)
    head.saved()
    head.member.resend(0.6)
    assert head.sent() == [("b", Write(A, 3, 2, refused=False, change=SECOND))]
    head.member.on_ack(Ack(B, 3, 2))
    head.member.resend(9.0)
    assert head.sent() == []


def test_only_the_head_of_an_active_view_appends() -> None:
    with pytest.raises(AssertionError):
        Stage(A).member.append(SECOND, refused=False)
