"""Outcomes go out with each pull; pooled payoffs come back with its reply."""

from __future__ import annotations

import random

import pytest

from roselink.distribution.pull_state_machine import PayoffsReceived, PullStateMachine, SendPull
from roselink.model.fleet import Member, VersionVector
from roselink.protocol.payoffs import HostOutcomes, HostPayoff, PooledPayoffs
from roselink.protocol.pull import PullReply
from roselink.protocol.records import encode

FALLEN = encode(PooledPayoffs((HostPayoff("h", 25), HostPayoff("odd", 900))))


def machine() -> PullStateMachine:
    return PullStateMachine(Member("a", "10.0.0.9:7500", 1), [("10.0.0.1", 7500)], random.Random(1))


def exchange(
    made: PullStateMachine, now: float, payoffs: bytes
) -> tuple[SendPull, list[PayoffsReceived]]:
    (sent,) = made.wake(now)
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
    effects = made.reply_received(sent.call, reply, now + 0.01)
    return sent, [effect for effect in effects if isinstance(effect, PayoffsReceived)]


def test_each_pull_brings_what_is_new() -> None:
    made = machine()
    fresh = [(HostOutcomes("h", 1, 2),), ()]
    made.outcomes = lambda: fresh.pop(0)
    assert exchange(made, 0.0, b"")[0].pull.outcomes == (HostOutcomes("h", 1, 2),)
    assert exchange(made, 1.0, b"")[0].pull.outcomes == ()


@pytest.mark.parametrize("unreadable", [b"x", FALLEN + b"x", FALLEN[:-1]])
def test_payoffs_are_passed_on_while_some_have_fallen_and_once_when_none_has(
    unreadable: bytes,
) -> None:
    made = machine()
    fallen = PayoffsReceived((("h", 0.25), ("odd", 1.0)))
    replies = [b"", FALLEN, FALLEN, unreadable, b"", b""]
    received = [exchange(made, float(at), reply)[1] for at, reply in enumerate(replies)]
    assert received == [[], [fallen], [fallen], [PayoffsReceived(())], [PayoffsReceived(())], []]
