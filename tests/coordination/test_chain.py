"""One replica of a chain: the messages that it forwards, acknowledges, accepts and drops."""

from __future__ import annotations

from dataclasses import replace

import pytest

from roselink.coordination.chain import ChainMember
from roselink.coordination.effects import Effect, Persist, Send, Store
from roselink.coordination.exceptions import BrokenInvariantError
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
    """The initial state of an epoch with the members of `VIEW`."""
    return Sync(sender, replace(VIEW, epoch=epoch), state)


SYNC = sync(A, 3, STATE)
WRITE = Write(A, 3, 2, refused=False, change=SECOND)


class Harness:
    """One member in `VIEW`, and the effects that it has emitted."""

    def __init__(self, voter: Voter, session: int = 7, stored: StoredState | None = None) -> None:
        self.effects: list[Effect] = []
        self.member = ChainMember(voter, session, self.effects.append)
        self.member.restore(stored or StoredState(2, STATE))
        self.member.enter(VIEW, 0.0, is_bootstrapping=False)

    def take_effects(self) -> list[Effect]:
        effects = list(self.effects)
        self.effects.clear()
        return effects

    def sent(self) -> list[tuple[str, object]]:
        return [
            (effect.to, effect.message)
            for effect in self.take_effects()
            if isinstance(effect, Send)
        ]

    def complete_save(self) -> list[tuple[str, object]]:
        """Complete one save; returns the messages sent as a result."""
        self.take_effects()
        self.member.on_persisted(0.0)
        return self.sent()


def middle() -> Harness:
    """The second member of the chain, synced and active."""
    harness = Harness(B)
    harness.member.on_sync(SYNC, 0.0)
    harness.complete_save()
    harness.member.on_ack(Ack(C, 3, 1))
    harness.take_effects()
    return harness


def test_head_syncs_its_durable_state() -> None:
    assert Harness(A).sent() == [("b", sync(A, 3, STATE))]


def test_head_saves_unsaved_state_before_it_syncs() -> None:
    harness = Harness(A)
    harness.member.on_ack(Ack(B, 3, 1))
    harness.member.append(SECOND, refused=False)
    harness.take_effects()
    harness.member.enter(replace(VIEW, epoch=4), 0.0, is_bootstrapping=False)
    assert harness.sent() == []
    newest = apply_change(STATE, SECOND, refused=False)
    harness.member.on_persisted(0.0)
    assert ("b", sync(A, 4, newest)) in harness.sent()


def test_initial_state_is_saved_before_it_is_forwarded() -> None:
    harness = Harness(B)
    harness.member.on_sync(SYNC, 0.0)
    assert harness.take_effects() == [Persist(Store.STATE, encode(StoredState(3, STATE)))]
    assert harness.complete_save() == [("c", sync(B, 3, STATE))]
    assert not harness.member.active


def test_durable_initial_state_is_forwarded_at_once() -> None:
    harness = Harness(B)
    harness.member.durable = harness.member.applied = STATE
    harness.member.durable_epoch = harness.member.applied_epoch = 3
    assert not harness.member.on_sync(SYNC, 0.0)
    assert harness.sent() == [("c", sync(B, 3, STATE))]


def test_tail_commits_when_its_save_completes() -> None:
    harness = Harness(C)
    harness.member.on_sync(sync(B, 3, STATE), 0.0)
    assert not harness.member.is_tail
    assert harness.complete_save() == [("b", Ack(C, 3, 1))]
    assert harness.member.is_tail
    assert harness.member.committed == 1


def test_write_is_forwarded_after_its_save_and_its_ack_is_returned() -> None:
    harness = middle()
    harness.member.on_write(WRITE)
    assert harness.sent() == []
    assert harness.complete_save() == [("c", Write(B, 3, 2, refused=False, change=SECOND))]
    assert harness.member.on_ack(Ack(C, 3, 2))
    assert harness.sent() == [("a", Ack(B, 3, 2))]
    assert not harness.member.on_ack(Ack(C, 3, 2))


def test_writes_received_during_a_save_share_the_next_save() -> None:
    harness = middle()
    third = ConfigurationChange(2, 3, b"three", digest_of(2, b"three"))
    harness.member.on_write(WRITE)
    harness.member.on_write(Write(A, 3, 3, refused=False, change=third))
    assert harness.complete_save() == [("c", Write(B, 3, 2, refused=False, change=SECOND))]
    assert harness.complete_save() == [("c", Write(B, 3, 3, refused=False, change=third))]


def test_repeated_write_is_acknowledged_again_and_sequence_gap_is_dropped() -> None:
    harness = middle()
    harness.member.on_write(Write(A, 3, 1, refused=False, change=FIRST))
    assert harness.sent() == [("a", Ack(B, 3, 1))]
    harness.member.on_write(Write(A, 3, 3, refused=False, change=SECOND))
    assert harness.member.applied.sequence == 1


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
def test_messages_of_other_epochs_and_senders_are_dropped(message: Sync | Write | Ack) -> None:
    harness = middle()
    before = harness.member.applied, harness.member.committed
    deliver(harness, message)
    assert (harness.member.applied, harness.member.committed) == before
    assert harness.take_effects() == []


def deliver(harness: Harness, message: Sync | Write | Ack) -> None:
    if isinstance(message, Sync):
        harness.member.on_sync(message, 0.0)
    elif isinstance(message, Write):
        harness.member.on_write(message)
    else:
        harness.member.on_ack(message)


@pytest.mark.parametrize("voter", [A, B, C])
def test_process_of_another_session_does_not_participate(voter: Voter) -> None:
    harness = Harness(voter, session=8)
    assert not harness.member.participating
    for message in (SYNC, sync(B, 3, STATE), WRITE, Ack(B, 3, 1), Ack(C, 3, 1)):
        deliver(harness, message)
    assert harness.take_effects() == []
    assert not harness.member.is_head
    assert not harness.member.is_tail


def test_unsynced_member_drops_writes() -> None:
    harness = Harness(B)
    harness.member.on_write(WRITE)
    assert harness.take_effects() == []


def test_ack_before_the_state_was_forwarded_raises_broken_invariant() -> None:
    """No member can have sent such an `Ack` (K3 in `chain`)."""
    harness = Harness(B)
    for _ in range(2):
        with pytest.raises(BrokenInvariantError):
            harness.member.on_ack(Ack(C, 3, 1))
        harness.member.on_sync(SYNC, 0.0)  # received, but not durable yet
    assert not harness.member.active


def test_new_epochs_head_retries_a_failed_save_and_then_syncs() -> None:
    harness = Harness(A)
    harness.member.on_ack(Ack(B, 3, 1))
    harness.member.append(SECOND, refused=False)
    harness.take_effects()
    harness.member.on_persist_failed()
    harness.member.enter(replace(VIEW, epoch=4), 0.0, is_bootstrapping=False)
    newest = apply_change(STATE, SECOND, refused=False)
    assert harness.take_effects() == [Persist(Store.STATE, encode(StoredState(3, newest)))]
    assert harness.complete_save() == [("b", sync(A, 4, newest))]
    assert harness.take_effects() == []


def test_roles_before_and_after_activation() -> None:
    """Reads served by another member than the tail could return uncommitted state."""
    head, tail = Harness(A), Harness(C)
    head.member.on_ack(Ack(B, 3, 1))
    tail.member.on_sync(sync(B, 3, STATE), 0.0)
    assert (tail.member.is_last, tail.member.is_tail) == (True, False)
    tail.complete_save()
    members = [head.member, middle().member, tail.member]
    assert all(member.active for member in members)
    assert [member.is_head for member in members] == [True, False, False]
    assert [member.is_last for member in members] == [False, False, True]
    assert [member.is_tail for member in members] == [False, False, True]


@pytest.mark.parametrize("voter", [A, B, C, Voter("d", 0)])
def test_process_outside_the_chain_has_no_role(voter: Voter) -> None:
    member = Harness(voter, session=8).member
    assert (member.is_head, member.is_last, member.is_tail) == (False, False, False)


def test_failed_save_is_retried_and_nothing_is_forwarded_before() -> None:
    harness = middle()
    harness.member.on_write(WRITE)
    harness.take_effects()
    harness.member.on_persist_failed()
    assert harness.take_effects() == []
    harness.member.retry_save()
    assert [type(effect) for effect in harness.take_effects()] == [Persist]
    harness.member.on_persisted(0.0)
    assert harness.sent() == [("c", Write(B, 3, 2, refused=False, change=SECOND))]


def test_save_of_an_older_epoch_forwards_nothing_in_the_newer_epoch() -> None:
    harness = middle()
    harness.member.on_write(WRITE)
    harness.take_effects()
    harness.member.enter(replace(VIEW, epoch=4), 0.0, is_bootstrapping=False)
    assert harness.complete_save() == []
    harness.member.on_sync(sync(A, 4, STATE), 0.0)
    assert harness.complete_save() == [("c", sync(B, 4, STATE))]


def test_unacknowledged_messages_are_sent_again() -> None:
    head = Harness(A)
    head.take_effects()
    head.member.resend(0.1)
    assert head.sent() == []
    head.member.resend(0.5)
    assert head.sent() == [("b", sync(A, 3, STATE))]
    head.member.on_ack(Ack(B, 3, 1))
    head.member.append(SECOND, refused=False)
    head.complete_save()
    head.member.resend(0.6)
    assert head.sent() == [("b", Write(A, 3, 2, refused=False, change=SECOND))]
    head.member.on_ack(Ack(B, 3, 2))
    head.member.resend(9.0)
    assert head.sent() == []


def test_append_before_activation_raises() -> None:
    with pytest.raises(AssertionError):
        Harness(A).member.append(SECOND, refused=False)
