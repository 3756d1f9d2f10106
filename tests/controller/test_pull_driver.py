"""The driver of the pull service: which records it handles, and where replies are sent."""

from __future__ import annotations

from typing import Any

from roselink.controller.pull_driver import FORWARD_TIMEOUT_S, PullDriver
from roselink.controller.pull_effects import (
    AnyReply,
    ForwardedDeltaPull,
    ForwardedPull,
)
from roselink.model.fleet import VersionVector
from roselink.protocol.pull import DeltaPullReply, DeltaPullRequest, PullReply
from tests.controller.fakes import FakeChain
from tests.controller.test_pull_server import (
    CORES,
    EPOCH,
    TAIL,
    TAIL_DELTA_REPLY,
    TAIL_REPLY,
    TIMES,
    UNCONFIRMED,
    confirmation,
    pull,
)


class FakePool:
    def __init__(self) -> None:
        self.calls: list[tuple[Any, object, float, Any]] = []

    def call(self, address: Any, message: object, timeout_s: float, done: Any) -> None:
        self.calls.append((address, message, timeout_s, done))


def start_driver(chain: FakeChain) -> tuple[PullDriver, FakePool]:
    pool = FakePool()
    driver = PullDriver(chain, pool, TIMES, clock=lambda: 100.0)
    driver.start()
    return driver, pool


def test_pull_at_the_tail_waits_for_a_confirmed_read() -> None:
    chain = FakeChain()
    driver, _ = start_driver(chain)
    replies: list[AnyReply] = []
    assert driver.handle(("10.1.0.1", 4000), pull(), replies.append)
    assert replies == []
    chain.reads.get_nowait()(confirmation())
    assert [(reply.confirmed, reply.configuration, reply.cores) for reply in replies] == [
        (True, b"{}", CORES)
    ]


def test_pull_at_another_member_is_forwarded_to_the_tail() -> None:
    chain = FakeChain()
    chain.is_tail = False
    driver, pool = start_driver(chain)
    replies: list[AnyReply] = []
    for _ in range(2):
        assert driver.handle(("10.1.0.1", 4000), pull(), replies.append)
    for (address, message, timeout_s, done), tail_reply in zip(
        pool.calls, (TAIL_REPLY, "odd"), strict=True
    ):
        assert (address, message, timeout_s) == (TAIL, ForwardedPull(pull()), FORWARD_TIMEOUT_S)
        done(tail_reply)
    assert replies == [TAIL_REPLY, UNCONFIRMED]


def test_driver_uses_the_current_view_and_core() -> None:
    chain = FakeChain()
    driver, _ = start_driver(chain)
    chain.change_view(EPOCH + 1, None, is_tail=False)
    chain.cores = CORES[:2]
    replies: list[AnyReply] = []
    assert driver.handle(("10.1.0.1", 4000), ForwardedPull(pull()), replies.append)
    assert replies == [PullReply(False, VersionVector(), None, None, None, CORES[:2])]


def test_other_records_are_not_handled() -> None:
    driver, _ = start_driver(FakeChain())
    assert not driver.handle(("10.1.0.1", 4000), TAIL_REPLY, lambda reply: None)


def test_delta_pulls_at_the_tail_and_at_another_member() -> None:
    chain = FakeChain()
    driver, pool = start_driver(chain)
    replies: list[Any] = []
    assert driver.handle(("10.1.0.1", 4000), DeltaPullRequest(pull()), replies.append)
    chain.reads.get_nowait()(confirmation())
    assert driver.handle(("10.0.0.1", 4000), ForwardedDeltaPull(pull()), replies.append)
    chain.reads.get_nowait()(confirmation())
    assert [(type(reply), reply.confirmed) for reply in replies] == [(DeltaPullReply, True)] * 2
    chain.change_view(4, ("10.0.0.2", 7500), is_tail=False)
    driver.handle(("10.1.0.1", 4000), DeltaPullRequest(pull()), replies.append)
    ((address, message, _, done),) = pool.calls
    assert (address, message) == (("10.0.0.2", 7500), ForwardedDeltaPull(pull()))
    done(TAIL_DELTA_REPLY)
    assert replies[-1] == TAIL_DELTA_REPLY
