"""What a member does with each record that it receives. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from roselink.control.effects import Send
from roselink.control.reads import Waiting
from roselink.protocol.chain import (
    Accept,
    Accepted,
    Ack,
    ConfirmAnswer,
    ConfirmAsk,
    Decided,
    Heartbeat,
    Prepare,
    Promise,
    ReadAsk,
    ReadReply,
    Refusal,
    Submit,
    SubmitReply,
    Sync,
    Write,
)

if TYPE_CHECKING:
    from roselink.control.member import Member


def handle(member: Member, message: object, now: float) -> None:
    """Take a record; one that is not the chain's is passed over."""
    handler = _HANDLERS.get(type(message))
    if handler is not None:
        handler(member, message, now)


def _on_heartbeat(member: Member, heartbeat: Heartbeat, now: float) -> None:
    if heartbeat.sender.address == member.voter.address:
        return
    member.peers.hear(heartbeat, now)
    if member.voter.address not in heartbeat.heard:
        member.presence.greet(member.view, now)
    if member.view is not None and heartbeat.epoch < member.view.epoch:
        member.emit(Send(heartbeat.sender.address, Decided(member.voter, member.view)))


def _on_prepare(member: Member, asked: Prepare, now: float) -> None:
    member.ballots.answer(asked.sender.address, member.voting.prepare(asked))


def _on_accept(member: Member, asked: Accept, now: float) -> None:
    member.ballots.answer(asked.sender.address, member.voting.accept(asked))


def _on_promise(member: Member, answer: Promise, now: float) -> None:
    member.proposer.promised(answer, now)


def _on_refusal(member: Member, answer: Refusal, now: float) -> None:
    member.proposer.refused(answer, now)


def _on_accepted(member: Member, answer: Accepted, now: float) -> None:
    decided = member.proposer.accepted(answer)
    if decided is not None:
        member.follow(decided, now)
        for address in member.presence.contacts(member.view, now):
            member.emit(Send(address, Decided(member.voter, decided)))


def _on_decided(member: Member, message: Decided, now: float) -> None:
    member.follow(message.view, now)


def _on_sync(member: Member, message: Sync, now: float) -> None:
    member.follow(message.view, now)
    member.chain.on_sync(message)


def _on_write(member: Member, message: Write, now: float) -> None:
    member.chain.on_write(message)


def _on_ack(member: Member, message: Ack, now: float) -> None:
    if member.chain.on_ack(message):
        member.committed(now)


def _on_submit(member: Member, message: Submit, now: float) -> None:
    if member.view is not None and message.epoch == member.view.epoch and member.chain.is_head:
        member.orders.take(message)


def _on_submit_reply(member: Member, message: SubmitReply, now: float) -> None:
    member.calls.settled(message)


def _on_confirm_ask(member: Member, message: ConfirmAsk, now: float) -> None:
    newest = member.voting.newest(message.epoch)
    answer = ConfirmAnswer(member.voter, message.epoch, message.round, newest)
    member.emit(Send(message.sender.address, answer))


def _on_confirm_answer(member: Member, message: ConfirmAnswer, now: float) -> None:
    if not member.chain.is_tail or member.view is None:
        return
    state = member.chain.durable
    for read in member.reads.answer(message):
        document = None if read.known == state.sequence else state.document
        reply = ReadReply(read.number, member.view.epoch, state.sequence, state.generation, document)
        member.emit(Send(read.asker, reply))
    member.reads.proceed(member.view, now)


def _on_read_ask(member: Member, message: ReadAsk, now: float) -> None:
    if member.view is not None and member.chain.at_end:
        waiting = Waiting(message.sender.address, message.number, message.known)
        member.reads.ask(waiting, member.view, member.chain.active, now)


def _on_read_reply(member: Member, message: ReadReply, now: float) -> None:
    member.calls.confirmed(message)


_HANDLERS: dict[type[Any], Callable[[Member, Any, float], None]] = {
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
    ConfirmAsk: _on_confirm_ask,
    ConfirmAnswer: _on_confirm_answer,
    Submit: _on_submit,
    SubmitReply: _on_submit_reply,
    ReadAsk: _on_read_ask,
    ReadReply: _on_read_reply,
}
HANDLED = frozenset(_HANDLERS)
