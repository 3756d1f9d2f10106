"""Rounds by which the tail confirms reads."""

from __future__ import annotations

from roselink.coordination.effects import Effect, Send
from roselink.coordination.reads import ReadRounds, WaitingRead
from roselink.coordination.views import first_view
from roselink.protocol.chain import (
    ConfirmReply,
    ConfirmRequest,
    Voter,
)

A, B, C = (Voter(name, 0) for name in "abc")


class Rounds:
    def __init__(self) -> None:
        self.effects: list[Effect] = []
        self.reads = ReadRounds(B, self.effects.append)
        self.view = first_view("abc")

    def ask(self, number: int) -> None:
        self.reads.request(WaitingRead("c", number, -1), self.view, 0.0, is_active=True)

    def asked(self) -> list[int]:
        effects = list(self.effects)
        self.effects.clear()
        return [
            e.message.round
            for e in effects
            if isinstance(e, Send) and isinstance(e.message, ConfirmRequest)
        ]

    def answer(
        self, voter: Voter, number: int, *, newest: bool = True, epoch: int = 1
    ) -> list[int]:
        return [
            read.number for read in self.reads.on_reply(ConfirmReply(voter, epoch, number, newest))
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


def test_a_round_without_a_majority_is_retried_and_a_new_view_drops_it() -> None:
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
