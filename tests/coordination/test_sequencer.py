"""The head's replies to submitted changes."""

from __future__ import annotations

from roselink.coordination.chain import ChainMember
from roselink.coordination.effects import Effect, Send
from roselink.coordination.sequencer import ChangeSequencer
from roselink.coordination.state import (
    EMPTY,
    apply_change,
    digest_of,
)
from roselink.protocol.chain import (
    Ack,
    ChainReplica,
    ConfigurationChange,
    OutcomeKind,
    StoredState,
    SubmitReply,
    SubmitRequest,
    View,
    Voter,
)

A, B, C = (Voter(name, 0) for name in "abc")
VIEW = View(3, (A, B, C), tuple(ChainReplica(voter, 1, 7) for voter in (A, B)))


def change_on(base: int, generation: int, text: str = "x") -> ConfigurationChange:
    document = f"{base} {generation} {text}".encode()
    return ConfigurationChange(base, generation, document, digest_of(base, document))


FIRST, EARLY = change_on(0, 5), change_on(9, 12)
REFUSED_ONE = apply_change(apply_change(EMPTY, FIRST, refused=False), EARLY, refused=True)


class Head:
    """The head of a chain of two replicas."""

    def __init__(self) -> None:
        self.effects: list[Effect] = []
        self.chain = ChainMember(A, 7, self.effects.append)
        self.chain.restore(StoredState(2, REFUSED_ONE))
        self.sequencer = ChangeSequencer(self.chain, self.effects.append)
        self.chain.enter(VIEW, 0.0, is_bootstrapping=False)

    def activate(self) -> None:
        self.chain.on_ack(Ack(B, 3, self.chain.applied.sequence))
        self.sequencer.on_committed()

    def submit(self, change: ConfigurationChange, number: int = 1) -> list[SubmitReply]:
        self.sequencer.submit(SubmitRequest(C, 3, number, change))
        return self.replies()

    def replies(self) -> list[SubmitReply]:
        effects = list(self.effects)
        self.effects.clear()
        return [
            e.message for e in effects if isinstance(e, Send) and isinstance(e.message, SubmitReply)
        ]

    def commit(self, sequence: int) -> list[SubmitReply]:
        self.chain.on_ack(Ack(B, 3, sequence))
        self.sequencer.on_committed()
        return self.replies()


def test_changes_are_queued_until_the_chain_is_active() -> None:
    head = Head()
    assert head.submit(FIRST) == head.submit(FIRST) == []
    head.activate()
    assert head.replies() == [SubmitReply(1, OutcomeKind.COMMITTED, 1)]


def test_reply_is_sent_once_its_sequence_is_committed() -> None:
    head = Head()
    head.activate()
    assert head.submit(change_on(5, 9), 1) == []
    assert head.submit(change_on(5, 9), 2) == []
    assert head.submit(change_on(5, 8, "other"), 3) == []
    assert head.submit(change_on(9, 20), 4) == []
    assert head.submit(change_on(9, 20), 4) == []
    assert head.commit(3) == [
        SubmitReply(1, OutcomeKind.COMMITTED, 3),
        SubmitReply(2, OutcomeKind.COMMITTED, 3),
        SubmitReply(3, OutcomeKind.STALE_GENERATION, 9),
    ]
    assert head.commit(4) == [SubmitReply(4, OutcomeKind.COMMITTED, 4)]
    assert head.submit(change_on(5, 30, "late"), 5) == [SubmitReply(5, OutcomeKind.CONFLICT, 20)]


def test_refusal_of_a_future_base_is_committed_before_its_reply() -> None:
    head = Head()
    head.activate()
    assert head.submit(change_on(50, 60)) == []
    assert head.commit(3) == [SubmitReply(1, OutcomeKind.CONFLICT, 5)]


def test_clear_discards_pending_replies() -> None:
    head = Head()
    head.activate()
    head.submit(change_on(5, 9))
    head.sequencer.clear()
    assert head.commit(3) == []
