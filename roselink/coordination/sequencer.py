"""Submitted changes at the head. No I/O, no clock.

The head validates a change against everything that it has appended, and replies once the state
against which it validated is committed. A view change discards requests without a reply; the member
that submitted the change sends it again.

H1. A refused change is never committed.

  Proof. A refusal is sent only once the state on which it depends is committed. Every later head's
  state follows that one (V1 in `roselink.coordination.views`), and the change is refused in every
  state that follows as well (S1 in `roselink.coordination.state`): generations only increase, and a
  change whose base is a future generation is recorded in the state itself as refused.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.coordination.effects import Emit, Send
from roselink.coordination.state import ValidationKind, validate
from roselink.protocol.chain import OutcomeKind, SubmitReply, SubmitRequest

if TYPE_CHECKING:
    from roselink.coordination.chain import ChainMember

_OUTCOME_KINDS = {
    ValidationKind.COMMITTED: OutcomeKind.COMMITTED,
    ValidationKind.APPEND: OutcomeKind.COMMITTED,
    ValidationKind.STALE_GENERATION: OutcomeKind.STALE_GENERATION,
    ValidationKind.CONFLICT: OutcomeKind.CONFLICT,
    ValidationKind.REFUSE_PERMANENTLY: OutcomeKind.CONFLICT,
    ValidationKind.DOCUMENT_MISSING: OutcomeKind.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class _WaitingReply:
    """A reply that is sent once `sequence` is committed."""

    sequence: int
    requester: str
    reply: SubmitReply


@dataclass(slots=True)
class ChangeSequencer:
    """The head's handling of submitted changes; assigns a sequence to each accepted one."""

    chain: ChainMember
    emit: Emit
    _queued_requests: list[SubmitRequest] = field(default_factory=list)
    _waiting_replies: list[_WaitingReply] = field(default_factory=list)

    def clear(self) -> None:
        """Discard all requests and replies, after a change of view."""
        self._queued_requests = []
        self._waiting_replies = []

    def submit(self, request: SubmitRequest) -> None:
        """Validate a change now, or queue it until the chain is active."""
        if not self.chain.active:
            if all(
                (waiting.sender, waiting.number) != (request.sender, request.number)
                for waiting in self._queued_requests
            ):
                self._queued_requests.append(request)
            return
        self._sequence(request)

    def on_committed(self) -> None:
        """Handle a commit, or the activation of the chain."""
        if not self.chain.active:
            return
        queued_requests = self._queued_requests
        self._queued_requests = []
        for request in queued_requests:
            self._sequence(request)
        committed = self.chain.committed
        released = [waiting for waiting in self._waiting_replies if waiting.sequence <= committed]
        self._waiting_replies = [
            waiting for waiting in self._waiting_replies if waiting.sequence > committed
        ]
        for waiting in released:
            self.emit(Send(waiting.requester, waiting.reply))

    def _sequence(self, request: SubmitRequest) -> None:
        """Validate and append a change, and reply once the state it depends on is committed."""
        validation = validate(self.chain.applied, request.change)
        sequence = self.chain.applied.sequence
        if validation.kind is ValidationKind.COMMITTED:
            sequence = validation.value
        elif validation.kind is ValidationKind.APPEND:
            sequence = self.chain.append(request.change, refused=False)
        elif validation.kind is ValidationKind.REFUSE_PERMANENTLY:
            sequence = self.chain.append(request.change, refused=True)
        requester = request.sender.address
        reply = SubmitReply(request.number, _OUTCOME_KINDS[validation.kind], validation.value)
        if sequence <= self.chain.committed:
            self.emit(Send(requester, reply))
        elif all(
            (waiting.requester, waiting.reply.number) != (requester, request.number)
            for waiting in self._waiting_replies
        ):
            self._waiting_replies.append(_WaitingReply(sequence, requester, reply))
