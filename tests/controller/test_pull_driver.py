"""The driver of the pull service: which record it handles, and where replies go."""

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
    RELAYED,
    TAIL,
    TIMES,
    TOLD,
    UNCONFIRMED,
    confirmation,
    pull,
)


class FakePool:
    def __init__(self) -> None:
        self.calls: list[tuple[Any, object, float, Any]] = []

    def call(self, address: Any, message: object, timeout_s: float, done: Any) -> None:
        self.calls.append((address, message, timeout_s, done))


def service(node: FakeChain) -> tuple[PullDriver, FakePool]:
    pool = FakePool()
    made = PullDriver(node, pool, TIMES, clock=lambda: 100.0)
    made.start()
    return made, pool


def test_driver_at_the_tail() -> None:
    node = FakeChain()
    made, _ = service(node)
    replies: list[AnyReply] = []
    assert made.handle(("10.1.0.1", 4000), pull(), replies.append)
    assert replies == []
    node.reads.get_nowait()(confirmation())
    assert [(reply.confirmed, reply.configuration, reply.cores) for reply in replies] == [
        (True, b"{}", CORES)
    ]


def test_driver_at_another_member() -> None:
    node = FakeChain()
    node.is_tail = False
    made, pool = service(node)
    replies: list[AnyReply] = []
    for _ in range(2):
        assert made.handle(("10.1.0.1", 4000), pull(), replies.append)
    for (address, message, timeout_s, done), answer in zip(
        pool.calls, (RELAYED, "odd"), strict=True
    ):
        assert (address, message, timeout_s) == (TAIL, ForwardedPull(pull()), FORWARD_TIMEOUT_S)
        done(answer)
    assert replies == [RELAYED, UNCONFIRMED]


def test_driver_follows_the_view_and_the_core() -> None:
    node = FakeChain()
    made, _ = service(node)
    node.change_view(EPOCH + 1, None, is_tail=False)
    node.cores = CORES[:2]
    replies: list[AnyReply] = []
    assert made.handle(("10.1.0.1", 4000), ForwardedPull(pull()), replies.append)
    assert replies == [PullReply(False, VersionVector(), None, None, None, CORES[:2])]


def test_driver_leaves_other_records_alone() -> None:
    made, _ = service(FakeChain())
    assert not made.handle(("10.1.0.1", 4000), RELAYED, lambda answer: None)


def test_driver_of_changes_at_the_tail_and_at_another_member() -> None:
    node = FakeChain()
    made, pool = service(node)
    replies: list[Any] = []
    assert made.handle(("10.1.0.1", 4000), DeltaPullRequest(pull()), replies.append)
    node.reads.get_nowait()(confirmation())
    assert made.handle(("10.0.0.1", 4000), ForwardedDeltaPull(pull()), replies.append)
    node.reads.get_nowait()(confirmation())
    assert [(type(reply), reply.confirmed) for reply in replies] == [(DeltaPullReply, True)] * 2
    node.change_view(4, ("10.0.0.2", 7500), is_tail=False)
    made.handle(("10.1.0.1", 4000), DeltaPullRequest(pull()), replies.append)
    ((address, message, _, done),) = pool.calls
    assert (address, message) == (("10.0.0.2", 7500), ForwardedDeltaPull(pull()))
    done(TOLD)
    assert replies[-1] == TOLD
