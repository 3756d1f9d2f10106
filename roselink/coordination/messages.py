"""Dispatch of the messages that a member receives. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar, TypeGuard

from roselink.coordination.effects import Emit, Send
from roselink.coordination.reads import ReadRounds, WaitingRead
from roselink.protocol.chain import (
    Accept,
    Accepted,
    Ack,
    ChainMessage,
    ConfirmReply,
    ConfirmRequest,
    Decided,
    Heartbeat,
    Prepare,
    Promise,
    ReadReply,
    ReadRequest,
    Refusal,
    SubmitReply,
    SubmitRequest,
    Sync,
    View,
    Write,
)

if TYPE_CHECKING:
    from roselink.coordination.acceptor import Acceptor
    from roselink.coordination.chain import ChainMember
    from roselink.coordination.departure import Departure
    from roselink.coordination.heartbeats import HeartbeatSender
    from roselink.coordination.peer_table import PeerTable
    from roselink.coordination.pending_calls import PendingCalls
    from roselink.coordination.proposer import Proposer
    from roselink.coordination.reply_gate import ReplyGate
    from roselink.coordination.sequencer import ChangeSequencer

# Takes the dispatcher, a message of the class in `MessageDispatcher.HANDLERS`, and `now`.
_Handler = Callable[[Any, Any, float], None]


@dataclass(slots=True)
class MessageDispatcher:
    """Dispatches each message to the state machines of one member.

    Attributes:
        adopt_view: enters a decided view if it is newer.
        on_committed: called when the chain has committed or has become active.
    """

    acceptor: Acceptor
    reply_gate: ReplyGate
    chain: ChainMember
    peers: PeerTable
    heartbeats: HeartbeatSender
    proposer: Proposer
    reads: ReadRounds
    sequencer: ChangeSequencer
    pending_calls: PendingCalls
    departure: Departure
    emit: Emit
    adopt_view: Callable[[View, float], None]
    on_committed: Callable[[float], None]

    def handle(self, message: ChainMessage, now: float) -> None:
        """Handle a message; one that is not a chain message is dropped."""
        handler = self.HANDLERS.get(type(message))
        if handler is not None:
            handler(self, message, now)

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.sender.address == self.acceptor.voter.address:
            return
        self.peers.on_heartbeat(heartbeat, now)
        if self.acceptor.voter.address not in heartbeat.reachable:
            self.heartbeats.send_early(self.acceptor.view, now)
        view = self.acceptor.view
        if view is not None and heartbeat.epoch < view.epoch:
            self.emit(Send(heartbeat.sender.address, Decided(self.acceptor.voter, view)))

    def _on_prepare(self, request: Prepare, _now: float) -> None:
        self.reply_gate.reply(request.sender.address, self.acceptor.prepare(request))

    def _on_accept(self, request: Accept, _now: float) -> None:
        self.reply_gate.reply(request.sender.address, self.acceptor.accept(request))

    def _on_promise(self, reply: Promise, now: float) -> None:
        self.departure.on_reply(reply)
        self.proposer.on_promise(reply, now)

    def _on_refusal(self, reply: Refusal, now: float) -> None:
        self.departure.on_reply(reply)
        self.proposer.on_refusal(reply, now)

    def _on_accepted(self, reply: Accepted, now: float) -> None:
        decided = self.proposer.on_accepted(reply)
        if decided is not None:
            self.adopt_view(decided, now)
            for address in self.heartbeats.contacts(self.acceptor.view, now):
                self.emit(Send(address, Decided(self.acceptor.voter, decided)))

    def _on_decided(self, message: Decided, now: float) -> None:
        self.adopt_view(message.view, now)

    def _on_sync(self, message: Sync, now: float) -> None:
        self.adopt_view(message.view, now)
        if self.chain.on_sync(message, now):
            self.on_committed(now)

    def _on_write(self, message: Write, _now: float) -> None:
        self.chain.on_write(message)

    def _on_ack(self, message: Ack, now: float) -> None:
        if self.chain.on_ack(message):
            self.on_committed(now)

    def _on_submit_request(self, message: SubmitRequest, _now: float) -> None:
        if (
            self.acceptor.view is not None
            and message.epoch == self.acceptor.view.epoch
            and self.chain.is_head
        ):
            self.sequencer.submit(message)

    def _on_submit_reply(self, message: SubmitReply, _now: float) -> None:
        self.pending_calls.on_submit_reply(message)

    def _on_confirm_request(self, message: ConfirmRequest, _now: float) -> None:
        is_newest = self.acceptor.is_newest(message.epoch)
        reply = ConfirmReply(self.acceptor.voter, message.epoch, message.round, is_newest)
        self.emit(Send(message.sender.address, reply))

    def _on_confirm_reply(self, message: ConfirmReply, now: float) -> None:
        if self.acceptor.view is None or not self.chain.is_tail:
            # No round is in flight: only the tail of an active view begins one, and a new view
            # clears it. A late reply must not begin one before the tail has the view's state.
            return
        state = self.chain.durable
        for read in self.reads.on_reply(message):
            document = None if read.known_sequence == state.sequence else state.document
            epoch = self.acceptor.view.epoch
            reply = ReadReply(read.number, epoch, state.sequence, state.generation, document)
            self.emit(Send(read.requester, reply))
        self.reads.advance(self.acceptor.view, now)

    def _on_read_request(self, message: ReadRequest, now: float) -> None:
        if self.acceptor.view is not None and self.chain.is_last:
            read = WaitingRead(message.sender.address, message.number, message.known_sequence)
            self.reads.request(read, self.acceptor.view, now, is_active=self.chain.active)

    def _on_read_reply(self, message: ReadReply, _now: float) -> None:
        self.pending_calls.on_read_reply(message)

    HANDLERS: ClassVar[dict[type[ChainMessage], _Handler]] = {
        Heartbeat: _on_heartbeat,
        Prepare: _on_prepare,
        Promise: _on_promise,
        Refusal: _on_refusal,
        Accept: _on_accept,
        Accepted: _on_accepted,
        Decided: _on_decided,
        Sync: _on_sync,
        Write: _on_write,
        Ack: _on_ack,
        ConfirmRequest: _on_confirm_request,
        ConfirmReply: _on_confirm_reply,
        SubmitRequest: _on_submit_request,
        SubmitReply: _on_submit_reply,
        ReadRequest: _on_read_request,
        ReadReply: _on_read_reply,
    }


def is_chain_message(message: object) -> TypeGuard[ChainMessage]:
    """Whether a member handles messages of this class."""
    return type(message) in MessageDispatcher.HANDLERS
