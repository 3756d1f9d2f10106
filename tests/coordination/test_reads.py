"""The rounds by which the tail confirms reads."""

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

    def request(self, number: int) -> None:
        self.reads.request(WaitingRead("c", number, -1), self.view, 0.0, is_active=True)

    def requested_rounds(self) -> list[int]:
        effects = list(self.effects)
        self.effects.clear()
        return [
            e.message.round
            for e in effects
            if isinstance(e, Send) and isinstance(e.message, ConfirmRequest)
        ]

    def reply(self, voter: Voter, number: int, *, newest: bool = True, epoch: int = 1) -> list[int]:
        return [
            read.number for read in self.reads.on_reply(ConfirmReply(voter, epoch, number, newest))
        ]


def test_majority_confirms_the_reads_of_a_round() -> None:
    rounds = Rounds()
    rounds.request(1)
    assert rounds.requested_rounds() == [1, 1, 1]
    rounds.request(2)
    assert rounds.requested_rounds() == []
    assert rounds.reply(A, 1) == rounds.reply(A, 1) == []
    assert rounds.reply(C, 1, newest=False) == rounds.reply(Voter("c", 5), 1) == []
    assert rounds.reply(C, 1, epoch=2) == rounds.reply(C, 9) == []
    assert rounds.reply(C, 1) == [1]
    rounds.reads.advance(rounds.view, 0.0)
    assert rounds.requested_rounds() == [2, 2, 2]
    assert rounds.reply(A, 1) == rounds.reply(C, 1) == rounds.reply(A, 2) == []
    assert rounds.reply(B, 2) == [2]


def test_read_repeated_in_a_new_view_begins_a_round_at_once() -> None:
    """If the previous view's round stayed in flight, the read would wait for its time-out."""
    rounds = Rounds()
    rounds.request(1)
    rounds.request(2)
    assert rounds.requested_rounds() == [1, 1, 1]
    rounds.reads.clear()
    rounds.request(1)
    assert rounds.requested_rounds() == [2, 2, 2]
    assert rounds.reply(A, 2) == []
    assert rounds.reply(C, 2) == [1]


def test_round_without_majority_is_restarted_and_cleared_by_a_new_view() -> None:
    rounds = Rounds()
    rounds.request(1)
    rounds.reply(A, 1)
    rounds.requested_rounds()
    rounds.reads.advance(rounds.view, 0.1)
    assert rounds.requested_rounds() == []
    rounds.reads.advance(rounds.view, 0.2)
    assert rounds.requested_rounds() == [2, 2, 2]
    assert rounds.reply(C, 1) == rounds.reply(C, 2) == []
    rounds.reads.clear()
    assert rounds.reply(A, 2) == []
