"""What a member does with each record that it receives. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from roselink.coordination.effects import Emit, Send
from roselink.coordination.reads import ReadRounds, WaitingRead
from roselink.protocol.chain import (
    Accept,
    Accepted,
    Ack,
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
    from collections.abc import Callable

    from roselink.coordination.ballots import ReplyGate
    from roselink.coordination.chain import ChainMember
    from roselink.coordination.orders import ChangeSequencer, PendingCalls
    from roselink.coordination.peering import PeerTable
    from roselink.coordination.presence import HeartbeatSender
    from roselink.coordination.proposing import Proposer
    from roselink.coordination.votes import Acceptor


@dataclass(slots=True)
class MessageHandler:
    """Hands each record to the parts of one member that it concerns.

    `follow` enters a decided view if it is newer; `committed` is called when the chain has
    committed.
    """

    voting: Acceptor
    ballots: ReplyGate
    chain: ChainMember
    peers: PeerTable
    presence: HeartbeatSender
    proposer: Proposer
    reads: ReadRounds
    orders: ChangeSequencer
    calls: PendingCalls
    emit: Emit
    follow: Callable[[View, float], None]
    committed: Callable[[float], None]

    def handle(self, message: object, now: float) -> None:
        """Take a record; one that is not the chain's is passed over."""
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, message, now)

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.sender.address == self.voting.voter.address:
            return
        self.peers.hear(heartbeat, now)
        if self.voting.voter.address not in heartbeat.heard:
            self.presence.greet(self.voting.view, now)
        if self.voting.view is not None and heartbeat.epoch < self.voting.view.epoch:
            self.emit(Send(heartbeat.sender.address, Decided(self.voting.voter, self.voting.view)))

    def _on_prepare(self, asked: Prepare, now: float) -> None:
        self.ballots.answer(asked.sender.address, self.voting.prepare(asked))

    def _on_accept(self, asked: Accept, now: float) -> None:
        self.ballots.answer(asked.sender.address, self.voting.accept(asked))

    def _on_promise(self, answer: Promise, now: float) -> None:
        self.proposer.promised(answer, now)

    def _on_refusal(self, answer: Refusal, now: float) -> None:
        self.proposer.refused(answer, now)

    def _on_accepted(self, answer: Accepted, now: float) -> None:
        decided = self.proposer.accepted(answer)
        if decided is not None:
            self.follow(decided, now)
            for address in self.presence.contacts(self.voting.view, now):
                self.emit(Send(address, Decided(self.voting.voter, decided)))

    def _on_decided(self, message: Decided, now: float) -> None:
        self.follow(message.view, now)

    def _on_sync(self, message: Sync, now: float) -> None:
        self.follow(message.view, now)
        if self.chain.on_sync(message, now):
            self.committed(now)

    def _on_write(self, message: Write, now: float) -> None:
        self.chain.on_write(message)

    def _on_ack(self, message: Ack, now: float) -> None:
        if self.chain.on_ack(message):
            self.committed(now)

    def _on_submit(self, message: SubmitRequest, now: float) -> None:
        if (
            self.voting.view is not None
            and message.epoch == self.voting.view.epoch
            and self.chain.is_head
        ):
            self.orders.take(message)

    def _on_submit_reply(self, message: SubmitReply, now: float) -> None:
        self.calls.settled(message)

    def _on_confirm_ask(self, message: ConfirmRequest, now: float) -> None:
        newest = self.voting.newest(message.epoch)
        answer = ConfirmReply(self.voting.voter, message.epoch, message.round, newest)
        self.emit(Send(message.sender.address, answer))

    def _on_confirm_answer(self, message: ConfirmReply, now: float) -> None:
        if self.voting.view is None:
            # and no round is under way: only an active tail begins one, and a new view drops it
            return
        state = self.chain.durable
        for read in self.reads.answer(message):
            document = None if read.known == state.sequence else state.document
            reply = ReadReply(
                read.number, self.voting.view.epoch, state.sequence, state.generation, document
            )
            self.emit(Send(read.asker, reply))
        self.reads.proceed(self.voting.view, now)

    def _on_read_ask(self, message: ReadRequest, now: float) -> None:
        if self.voting.view is not None and self.chain.at_end:
            waiting = WaitingRead(message.sender.address, message.number, message.known)
            self.reads.ask(waiting, self.voting.view, self.chain.active, now)

    def _on_read_reply(self, message: ReadReply, now: float) -> None:
        self.calls.confirmed(message)


_HANDLERS: dict[type[Any], Callable[[MessageHandler, Any, float], None]] = {
    Heartbeat: MessageHandler._on_heartbeat,
    Prepare: MessageHandler._on_prepare,
    Promise: MessageHandler._on_promise,
    Refusal: MessageHandler._on_refusal,
    Accept: MessageHandler._on_accept,
    Accepted: MessageHandler._on_accepted,
    Decided: MessageHandler._on_decided,
    Sync: MessageHandler._on_sync,
    Write: MessageHandler._on_write,
    Ack: MessageHandler._on_ack,
    ConfirmRequest: MessageHandler._on_confirm_ask,
    ConfirmReply: MessageHandler._on_confirm_answer,
    SubmitRequest: MessageHandler._on_submit,
    SubmitReply: MessageHandler._on_submit_reply,
    ReadRequest: MessageHandler._on_read_ask,
    ReadReply: MessageHandler._on_read_reply,
}
HANDLED = frozenset(_HANDLERS)
