"""Orders at the head, and the calls that this member carries for its own callers. No I/O, no clock.

The head judges an order on top of everything it has appended, and answers once the state that it
judged by is committed; a view change drops what wasn't answered, and the member that carries the
order sends it again.

Why a refused order never comes into force: a refusal rests on a committed state. Every later head's
state follows that one, generations only rise, and an order whose base is still to come is noted in
the state itself as refused.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.coordination.effects import (
    ChangeCommitted,
    Confirmation,
    Conflict,
    Emit,
    OutcomeUnknown,
    ReadDone,
    Send,
    StaleGeneration,
    SubmitDone,
    SubmitOutcome,
)
from roselink.coordination.state import ValidationKind, validate
from roselink.protocol.chain import (
    ConfigurationChange,
    OutcomeKind,
    ReadReply,
    ReadRequest,
    SubmitReply,
    SubmitRequest,
    View,
    Voter,
)

if TYPE_CHECKING:
    from roselink.coordination.chain import ChainMember

SUBMIT_ENDS_S = 2.5
READ_ENDS_S = 1.5
ORDER_AGAIN_S = 0.5
READ_AGAIN_S = 0.25

_KINDS = {
    ValidationKind.TAKEN: OutcomeKind.ACCEPTED,
    ValidationKind.APPEND: OutcomeKind.ACCEPTED,
    ValidationKind.NOT_NEWER: OutcomeKind.NOT_NEWER,
    ValidationKind.CONFLICT: OutcomeKind.CONFLICT,
    ValidationKind.REFUSE_FOR_GOOD: OutcomeKind.CONFLICT,
    ValidationKind.WITHOUT_DOCUMENT: OutcomeKind.UNSETTLED,
}


@dataclass(frozen=True, slots=True)
class _Verdict:
    """An answer that waits until `sequence` is committed."""

    sequence: int
    asker: str
    reply: SubmitReply


@dataclass(slots=True)
class ChangeSequencer:
    """Orders in the hands of the head."""

    chain: ChainMember
    emit: Emit
    _before: list[SubmitRequest] = field(default_factory=list)
    _answers: list[_Verdict] = field(default_factory=list)

    def drop(self) -> None:
        """Forget all: the view has changed."""
        self._before, self._answers = [], []

    def take(self, order: SubmitRequest) -> None:
        """Judge an order now, or once the chain is active."""
        if not self.chain.active:
            if all((o.sender, o.number) != (order.sender, order.number) for o in self._before):
                self._before.append(order)
            return
        self._judge(order)

    def settle(self) -> None:
        """Something was committed, or the chain has become active."""
        if not self.chain.active:
            return
        before, self._before = self._before, []
        for order in before:
            self._judge(order)
        due = [answer for answer in self._answers if answer.sequence <= self.chain.committed]
        self._answers = [
            answer for answer in self._answers if answer.sequence > self.chain.committed
        ]
        for answer in due:
            self.emit(Send(answer.asker, answer.reply))

    def _judge(self, asked: SubmitRequest) -> None:
        verdict = validate(self.chain.applied, asked.order)
        value = verdict.value
        sequence = self.chain.applied.sequence
        if verdict.kind is ValidationKind.TAKEN:
            sequence = value
        elif verdict.kind is ValidationKind.APPEND:
            sequence = self.chain.append(asked.order, refused=False)
        elif verdict.kind is ValidationKind.REFUSE_FOR_GOOD:
            sequence = self.chain.append(asked.order, refused=True)
        reply = SubmitReply(asked.number, _KINDS[verdict.kind], value)
        if sequence <= self.chain.committed:
            self.emit(Send(asked.sender.address, reply))
        elif all(
            (a.asker, a.reply.number) != (asked.sender.address, asked.number) for a in self._answers
        ):
            self._answers.append(_Verdict(sequence, asked.sender.address, reply))


@dataclass(slots=True)
class _Call:
    ends_at: float
    sent_at: float = float("-inf")


@dataclass(slots=True)
class _OrderCall(_Call):
    order: ConfigurationChange = field(kw_only=True)


@dataclass(slots=True)
class PendingCalls:
    """Orders and reads of this member's callers, sent to head and tail again and again until they
    end.
    """

    voter: Voter
    emit: Emit
    _orders: dict[int, _OrderCall] = field(default_factory=dict)
    _reads: dict[int, _Call] = field(default_factory=dict)
    _seen: Confirmation | None = None

    def submit(
        self, number: int, order: ConfigurationChange, view: View | None, now: float
    ) -> None:
        """Carry an order; ends with one `SubmitDone`."""
        self._orders[number] = _OrderCall(now + SUBMIT_ENDS_S, order=order)
        self.proceed(view, now)

    def read(self, number: int, view: View | None, now: float) -> None:
        """Carry a read; ends with one `ReadDone`."""
        self._reads[number] = _Call(now + READ_ENDS_S)
        self.proceed(view, now)

    def view_changed(self, view: View, now: float) -> None:
        """What had no answer goes to the new head and tail at once."""
        for call in (*self._orders.values(), *self._reads.values()):
            call.sent_at = float("-inf")
        self.proceed(view, now)

    def proceed(self, view: View | None, now: float) -> None:
        """End what is overdue, and send again what has had no answer for a time."""
        for number in [n for n, call in self._orders.items() if now >= call.ends_at]:
            del self._orders[number]
            self.emit(SubmitDone(number, OutcomeUnknown()))
        for number in [n for n, call in self._reads.items() if now >= call.ends_at]:
            del self._reads[number]
            self.emit(ReadDone(number, None))
        if view is None:
            return
        for number, call in list(self._orders.items()):
            if now - call.sent_at >= ORDER_AGAIN_S:
                call.sent_at = now
                self.emit(
                    Send(
                        view.chain[0].voter.address,
                        SubmitRequest(self.voter, view.epoch, number, call.order),
                    )
                )
        known = self._seen.sequence if self._seen is not None else -1
        for number, read in list(self._reads.items()):
            if now - read.sent_at >= READ_AGAIN_S:
                read.sent_at = now
                self.emit(
                    Send(view.chain[-1].voter.address, ReadRequest(self.voter, number, known))
                )

    def settled(self, reply: SubmitReply) -> None:
        """The head's answer."""
        if self._orders.pop(reply.number, None) is not None:
            self.emit(SubmitDone(reply.number, _outcome(reply)))

    def confirmed(self, reply: ReadReply) -> None:
        """The tail's answer."""
        if reply.number not in self._reads:
            return
        document = reply.document
        if document is None and reply.sequence > 0:
            if self._seen is None or self._seen.sequence != reply.sequence:
                return
            document = self._seen.document
        del self._reads[reply.number]
        shown = Confirmation(reply.epoch, reply.sequence, document or None, reply.generation)
        if self._seen is None or reply.sequence >= self._seen.sequence:
            self._seen = shown
        self.emit(ReadDone(reply.number, shown))


def _outcome(reply: SubmitReply) -> SubmitOutcome:
    if reply.kind is OutcomeKind.ACCEPTED:
        return ChangeCommitted(reply.value)
    if reply.kind is OutcomeKind.CONFLICT:
        return Conflict(reply.value)
    if reply.kind is OutcomeKind.NOT_NEWER:
        return StaleGeneration(reply.value)
    return OutcomeUnknown()
