"""Judgements of orders, answers of the head, rounds of reads."""

from __future__ import annotations

import doctest
from dataclasses import replace

import pytest

from roselink.coordination import state as state_module
from roselink.coordination.chain import ChainMember
from roselink.coordination.effects import Confirmation, Effect, ReadDone, Send
from roselink.coordination.orders import ChangeSequencer, PendingCalls
from roselink.coordination.reads import ReadRounds, WaitingRead
from roselink.coordination.state import (
    EMPTY,
    HISTORY_LIMIT,
    Validation,
    ValidationKind,
    apply_change,
    digest_of,
    find,
    validate,
)
from roselink.coordination.views import first_view
from roselink.protocol.chain import (
    Ack,
    ChainReplica,
    ConfigurationChange,
    ConfigurationState,
    ConfirmReply,
    ConfirmRequest,
    OutcomeKind,
    ReadReply,
    ReadRequest,
    StoredState,
    SubmitReply,
    SubmitRequest,
    View,
    Voter,
)

A, B, C = (Voter(name, 0) for name in "abc")
VIEW = View(3, (A, B, C), tuple(ChainReplica(voter, 1, 7) for voter in (A, B)))


def order(base: int, generation: int, text: str = "x") -> ConfigurationChange:
    document = f"{base} {generation} {text}".encode()
    return ConfigurationChange(base, generation, document, digest_of(base, document))


def without_document(base: int, generation: int) -> ConfigurationChange:
    return ConfigurationChange(base, generation, b"", digest_of(base, b"no document"))


FIRST, EARLY = order(0, 5), order(9, 12)
HELD = apply_change(apply_change(EMPTY, FIRST, refused=False), EARLY, refused=True)
LATER = apply_change(HELD, order(5, 9), refused=False)


@pytest.mark.parametrize(
    ("state", "asked", "expected"),
    [
        (EMPTY, FIRST, Validation(ValidationKind.APPEND, 1)),
        (EMPTY, order(0, 0), Validation(ValidationKind.NOT_NEWER, 0)),
        (HELD, FIRST, Validation(ValidationKind.TAKEN, 1)),
        (LATER, FIRST, Validation(ValidationKind.TAKEN, 1)),
        (HELD, order(5, 9), Validation(ValidationKind.APPEND, 3)),
        (HELD, order(0, 9), Validation(ValidationKind.CONFLICT, 5)),
        (HELD, order(5, 5), Validation(ValidationKind.NOT_NEWER, 5)),
        (HELD, order(9, 3), Validation(ValidationKind.NOT_NEWER, 5)),
        (HELD, order(9, 13), Validation(ValidationKind.REFUSE_FOR_GOOD, 5)),
        (HELD, EARLY, Validation(ValidationKind.CONFLICT, 5)),
        (LATER, EARLY, Validation(ValidationKind.CONFLICT, 9)),
        (HELD, without_document(5, 9), Validation(ValidationKind.WITHOUT_DOCUMENT, 5)),
        (HELD, without_document(0, 9), Validation(ValidationKind.CONFLICT, 5)),
        (HELD, without_document(9, 13), Validation(ValidationKind.REFUSE_FOR_GOOD, 5)),
        (HELD, replace(FIRST, document=b""), Validation(ValidationKind.TAKEN, 1)),
    ],
)
def test_judge(state: ConfigurationState, asked: ConfigurationChange, expected: Validation) -> None:
    assert validate(state, asked) == expected


def test_the_history_is_bounded_and_keeps_the_newest() -> None:
    state = EMPTY
    orders = [order(n, n + 1) for n in range(HISTORY_LIMIT + 2)]
    entry = len(apply_change(EMPTY, FIRST, refused=False).history)
    full = replace(state, sequence=1, history=b"\1" * (entry * HISTORY_LIMIT))
    after = apply_change(full, orders[0], refused=False)
    assert len(after.history) == entry * HISTORY_LIMIT
    assert find(after, orders[0].digest) == (1, 2)


def test_a_digest_is_found_at_the_begin_of_an_entry_only() -> None:
    """The bytes of an order's name may stand anywhere in others' entries by chance."""
    entry = apply_change(EMPTY, order(0, 5), refused=False).history
    inside = entry[16:48]
    assert find(replace(EMPTY, history=entry), inside) is None
    assert find(replace(EMPTY, history=entry + inside + entry[32:]), inside) is not None


def test_examples_of_the_state_module() -> None:
    assert doctest.testmod(state_module).failed == 0


class Head:
    """The head of a chain of two, active."""

    def __init__(self) -> None:
        self.effects: list[Effect] = []
        self.chain = ChainMember(A, 7, self.effects.append)
        self.chain.restore(StoredState(2, HELD))
        self.orders = ChangeSequencer(self.chain, self.effects.append)
        self.chain.enter(VIEW, False, 0.0)

    def activate(self) -> None:
        self.chain.on_ack(Ack(B, 3, self.chain.applied.sequence))
        self.orders.settle()

    def ask(self, asked: ConfigurationChange, number: int = 1) -> list[SubmitReply]:
        self.orders.take(SubmitRequest(C, 3, number, asked))
        return self.replies()

    def replies(self) -> list[SubmitReply]:
        effects = list(self.effects)
        self.effects.clear()
        return [
            e.message for e in effects if isinstance(e, Send) and isinstance(e.message, SubmitReply)
        ]

    def committed(self, sequence: int) -> list[SubmitReply]:
        self.chain.on_ack(Ack(B, 3, sequence))
        self.orders.settle()
        return self.replies()


def test_orders_wait_for_an_active_chain() -> None:
    head = Head()
    assert head.ask(FIRST) == head.ask(FIRST) == []
    head.activate()
    assert head.replies() == [SubmitReply(1, OutcomeKind.ACCEPTED, 1)]


def test_an_answer_waits_for_what_it_rests_on() -> None:
    head = Head()
    head.activate()
    assert head.ask(order(5, 9), 1) == []
    assert head.ask(order(5, 9), 2) == []
    assert head.ask(order(5, 8, "other"), 3) == []
    assert head.ask(order(9, 20), 4) == []
    assert head.ask(order(9, 20), 4) == []
    assert head.committed(3) == [
        SubmitReply(1, OutcomeKind.ACCEPTED, 3),
        SubmitReply(2, OutcomeKind.ACCEPTED, 3),
        SubmitReply(3, OutcomeKind.NOT_NEWER, 9),
    ]
    assert head.committed(4) == [SubmitReply(4, OutcomeKind.ACCEPTED, 4)]
    assert head.ask(order(5, 30, "late"), 5) == [SubmitReply(5, OutcomeKind.CONFLICT, 20)]


def test_a_refusal_that_could_turn_false_is_committed_first() -> None:
    head = Head()
    head.activate()
    assert head.ask(order(50, 60)) == []
    assert head.committed(3) == [SubmitReply(1, OutcomeKind.CONFLICT, 5)]


def test_a_new_view_drops_what_had_no_answer() -> None:
    head = Head()
    head.activate()
    head.ask(order(5, 9))
    head.orders.drop()
    assert head.committed(3) == []


class Rounds:
    def __init__(self) -> None:
        self.effects: list[Effect] = []
        self.reads = ReadRounds(B, self.effects.append)
        self.view = first_view("abc")

    def ask(self, number: int) -> None:
        self.reads.ask(WaitingRead("c", number, -1), self.view, True, 0.0)

    def asked(self) -> list[int]:
        effects = list(self.effects)
        self.effects.clear()
        return [
            e.message.round
            for e in effects
            if isinstance(e, Send) and isinstance(e.message, ConfirmRequest)
        ]

    def answer(self, voter: Voter, number: int, newest: bool = True, epoch: int = 1) -> list[int]:
        return [
            read.number for read in self.reads.answer(ConfirmReply(voter, epoch, number, newest))
        ]


def test_a_majority_confirms_the_reads_of_the_round() -> None:
    rounds = Rounds()
    rounds.ask(1)
    assert rounds.asked() == [1, 1, 1]
    rounds.ask(2)
    assert rounds.asked() == []
    assert rounds.answer(A, 1) == rounds.answer(A, 1) == []
    assert rounds.answer(C, 1, newest=False) == rounds.answer(Voter("c", 5), 1) == []
    assert rounds.answer(C, 1, epoch=2) == rounds.answer(C, 9) == []
    assert rounds.answer(C, 1) == [1]
    rounds.reads.proceed(rounds.view, 0.0)
    assert rounds.asked() == [2, 2, 2]
    assert rounds.answer(A, 1) == rounds.answer(C, 1) == rounds.answer(A, 2) == []
    assert rounds.answer(B, 2) == [2]


def test_a_round_without_a_majority_is_asked_again_and_a_new_view_drops_it() -> None:
    rounds = Rounds()
    rounds.ask(1)
    rounds.answer(A, 1)
    rounds.asked()
    rounds.reads.proceed(rounds.view, 0.1)
    assert rounds.asked() == []
    rounds.reads.proceed(rounds.view, 0.2)
    assert rounds.asked() == [2, 2, 2]
    assert rounds.answer(C, 1) == rounds.answer(C, 2) == []
    rounds.reads.drop()
    assert rounds.answer(A, 2) == []


def test_a_reply_that_leaves_the_document_out_shows_the_one_of_its_own_sequence() -> None:
    """A read that knew an older version is not shown the newer document under the older number."""
    effects: list[Effect] = []
    calls = PendingCalls(B, effects.append)
    view = first_view("abc")
    calls.read(1, view, 0.0)
    calls.confirmed(ReadReply(1, 1, 4, 5, b"four"))
    calls.read(2, view, 0.1)
    calls.read(3, view, 0.1)
    calls.confirmed(ReadReply(3, 1, 6, 7, b"six"))
    effects.clear()
    calls.confirmed(ReadReply(2, 1, 4, 5, None))
    assert effects == []
    calls.proceed(view, 0.5)
    assert [e.message for e in effects if isinstance(e, Send)] == [ReadRequest(B, 2, 6)]
    effects.clear()
    calls.confirmed(ReadReply(2, 1, 6, 7, None))
    assert effects == [ReadDone(2, Confirmation(1, 6, b"six", 7))]
