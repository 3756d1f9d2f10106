"""Outcomes sent with each pull, and pooled payoffs received with its reply."""

from __future__ import annotations

import random

import pytest

from roselink.distribution.pull_state_machine import PayoffsReceived, PullStateMachine, SendPull
from roselink.model.fleet import Member, VersionVector
from roselink.protocol.payoffs import HostOutcomes, HostPayoff, PooledPayoffs
from roselink.protocol.pull import PullReply
from roselink.protocol.records import encode

REDUCED_PAYOFFS = encode(PooledPayoffs((HostPayoff("h", 25), HostPayoff("odd", 900))))


def make_machine() -> PullStateMachine:
    return PullStateMachine(Member("a", "10.0.0.9:7500", 1), [("10.0.0.1", 7500)], random.Random(1))


def exchange(
    machine: PullStateMachine, now: float, payoffs: bytes
) -> tuple[SendPull, list[PayoffsReceived]]:
    (sent,) = machine.wake(now)
    assert isinstance(sent, SendPull)
    reply = PullReply(
        confirmed=True,
        vector=VersionVector(),
        configuration=None,
        hosts=None,
        roster=None,
        cores=(),
        payoffs=payoffs,
    )
    effects = machine.reply_received(sent.call, reply, now + 0.01)
    return sent, [effect for effect in effects if isinstance(effect, PayoffsReceived)]


def test_each_pull_sends_only_new_outcomes() -> None:
    machine = make_machine()
    pending_outcomes = [(HostOutcomes("h", 1, 2),), ()]
    machine.outcomes = lambda: pending_outcomes.pop(0)
    assert exchange(machine, 0.0, b"")[0].pull.outcomes == (HostOutcomes("h", 1, 2),)
    assert exchange(machine, 1.0, b"")[0].pull.outcomes == ()


@pytest.mark.parametrize("unreadable", [b"x", REDUCED_PAYOFFS + b"x", REDUCED_PAYOFFS[:-1]])
def test_payoffs_are_delivered_with_each_reply_and_once_when_they_become_empty(
    unreadable: bytes,
) -> None:
    machine = make_machine()
    reduced = PayoffsReceived((("h", 0.25), ("odd", 1.0)))
    replies = [b"", REDUCED_PAYOFFS, REDUCED_PAYOFFS, unreadable, b"", b""]
    received = [exchange(machine, float(at), reply)[1] for at, reply in enumerate(replies)]
    assert received == [[], [reduced], [reduced], [PayoffsReceived(())], [PayoffsReceived(())], []]
