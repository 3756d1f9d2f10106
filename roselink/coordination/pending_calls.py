"""Changes and reads that this member's own callers have requested. No I/O, no clock.

Each is sent to the head or the tail of the newest view, and is sent again until a reply arrives or
it times out.
"""

from __future__ import annotations

from dataclasses import dataclass, field

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

# A call without a reply ends without an outcome after this time.
SUBMIT_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 1.5

# A request without a reply is sent again after this interval.
SUBMIT_RETRY_INTERVAL_S = 0.5
READ_RETRY_INTERVAL_S = 0.25


@dataclass(slots=True)
class _Call:
    deadline: float
    sent_at: float = float("-inf")


@dataclass(slots=True)
class _SubmitCall(_Call):
    change: ConfigurationChange = field(kw_only=True)


@dataclass(slots=True)
class PendingCalls:
    """The calls of this member's callers by number; each ends with exactly one effect."""

    voter: Voter
    emit: Emit
    _submits: dict[int, _SubmitCall] = field(default_factory=dict)
    _reads: dict[int, _Call] = field(default_factory=dict)
    _newest_read: Confirmation | None = None

    def submit(
        self, number: int, change: ConfigurationChange, view: View | None, now: float
    ) -> None:
        """Submit a change; ends with one `SubmitDone`."""
        self._submits[number] = _SubmitCall(now + SUBMIT_TIMEOUT_S, change=change)
        self.advance(view, now)

    def read(self, number: int, view: View | None, now: float) -> None:
        """Request a read; ends with one `ReadDone`."""
        self._reads[number] = _Call(now + READ_TIMEOUT_S)
        self.advance(view, now)

    def view_changed(self, view: View, now: float) -> None:
        """Send all calls without a reply to the new head and tail at once."""
        for call in (*self._submits.values(), *self._reads.values()):
            call.sent_at = float("-inf")
        self.advance(view, now)

    def advance(self, view: View | None, now: float) -> None:
        """End calls that timed out, and retry those whose retry interval has passed."""
        for number in [n for n, call in self._submits.items() if now >= call.deadline]:
            del self._submits[number]
            self.emit(SubmitDone(number, OutcomeUnknown()))
        for number in [n for n, call in self._reads.items() if now >= call.deadline]:
            del self._reads[number]
            self.emit(ReadDone(number, None))
        if view is None:
            return
        for number, submit in list(self._submits.items()):
            if now - submit.sent_at >= SUBMIT_RETRY_INTERVAL_S:
                submit.sent_at = now
                submit_request = SubmitRequest(self.voter, view.epoch, number, submit.change)
                self.emit(Send(view.chain[0].voter.address, submit_request))
        known_sequence = self._newest_read.sequence if self._newest_read is not None else -1
        for number, read in list(self._reads.items()):
            if now - read.sent_at >= READ_RETRY_INTERVAL_S:
                read.sent_at = now
                read_request = ReadRequest(self.voter, number, known_sequence)
                self.emit(Send(view.chain[-1].voter.address, read_request))

    def on_submit_reply(self, reply: SubmitReply) -> None:
        """End a change with the head's reply."""
        if self._submits.pop(reply.number, None) is not None:
            self.emit(SubmitDone(reply.number, _outcome(reply)))

    def on_read_reply(self, reply: ReadReply) -> None:
        """End a read with the tail's reply.

        A reply without a document refers to the document of the reply's sequence. If this member
        has another one by now, the reply is dropped, and the read is sent again.
        """
        if reply.number not in self._reads:
            return
        document = reply.document
        if document is None and reply.sequence > 0:
            if self._newest_read is None or self._newest_read.sequence != reply.sequence:
                return
            document = self._newest_read.document
        del self._reads[reply.number]
        confirmation = Confirmation(reply.epoch, reply.sequence, document or None, reply.generation)
        if self._newest_read is None or reply.sequence >= self._newest_read.sequence:
            self._newest_read = confirmation
        self.emit(ReadDone(reply.number, confirmation))


def _outcome(reply: SubmitReply) -> SubmitOutcome:
    if reply.kind is OutcomeKind.COMMITTED:
        return ChangeCommitted(reply.value)
    if reply.kind is OutcomeKind.CONFLICT:
        return Conflict(reply.value)
    if reply.kind is OutcomeKind.STALE_GENERATION:
        return StaleGeneration(reply.value)
    return OutcomeUnknown()
