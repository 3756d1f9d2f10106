"""Payoffs pooled from the gateways' reports: weight, decay and publication."""

from __future__ import annotations

import pytest

from roselink.controller.payoffs import MAX_HOSTS, PUBLISH_INTERVAL_S, PayoffPool
from roselink.controller.pull_effects import SendDeltaReply
from roselink.controller.pull_server import PullServer
from roselink.distribution.host_changes import expand_reply
from roselink.protocol.payoffs import HostOutcomes, PooledPayoffs
from roselink.protocol.pull import PullRequest
from roselink.protocol.records import decode, encode, record_number_of, record_number_of_class
from tests.controller.test_pull_server import (
    CORES,
    EPOCH,
    TAIL,
    TIMES,
    TailHarness,
    confirmation,
    member,
    pull,
)


def published_payoffs(data: bytes) -> dict[str, int]:
    if not data:
        return {}
    pooled = decode(record_number_of_class(PooledPayoffs), data)
    return {entry.host: entry.percent for entry in pooled.hosts}


@pytest.mark.parametrize(
    ("served", "missed", "after_s", "percent"),
    [
        (10, 0, 0.0, None),
        (0, 1, 0.0, 50),  # the assumed served outcome and one miss
        (0, 12, 0.0, 10),
        (0, 500, 0.0, 10),  # the weight of outcomes is bounded
        (7, 5, 0.0, 60),
        (11, 1, 0.0, None),
        (0, 12, 4.0, 25),  # outcomes decay
        (0, 12, 12.0, None),
        (-5, -5, 0.0, None),
    ],
)
def test_payoff_of_a_reported_host_after_some_time(
    served: int, missed: int, after_s: float, percent: int | None
) -> None:
    pool = PayoffPool()
    pool.add_report(1.0, [HostOutcomes("h", served, missed)])
    assert published_payoffs(pool.encoded(1.0 + after_s)).get("h") == percent


def test_misses_of_many_gateways_add_up_and_successes_restore_the_host() -> None:
    pool = PayoffPool()
    for gateway in range(10):
        pool.add_report(0.01 * gateway, [HostOutcomes("h", 0, 1), HostOutcomes("healthy", 1, 0)])
    assert published_payoffs(pool.encoded(0.1)) == {"h": 10}
    for gateway in range(30):
        pool.add_report(1.0 + 0.01 * gateway, [HostOutcomes("h", 1, 0)])
    assert published_payoffs(pool.encoded(1.3)) == {}


def test_payoffs_are_encoded_at_most_once_per_publish_interval() -> None:
    pool = PayoffPool()
    assert pool.encoded(1.0) == b""
    pool.add_report(1.0, [HostOutcomes("h", 0, 9)])
    assert pool.encoded(1.0 + PUBLISH_INTERVAL_S / 2) == b""
    assert published_payoffs(pool.encoded(1.0 + PUBLISH_INTERVAL_S)) == {"h": 10}


def test_the_number_of_hosts_is_bounded_and_decayed_hosts_are_dropped() -> None:
    pool = PayoffPool()
    pool.add_report(0.0, [HostOutcomes(f"h{number}", 0, 1) for number in range(MAX_HOSTS + 10)])
    assert len(published_payoffs(pool.encoded(0.0))) == MAX_HOSTS
    assert pool.encoded(60.0) == b""
    assert not pool._hosts


def test_the_tail_pools_reported_outcomes_and_a_new_view_resets_them() -> None:
    tail = TailHarness()
    tail.complete_pull(
        PullRequest(member("a"), pull().vector, serving=True, outcomes=(HostOutcomes("h", 0, 3),))
    )
    tail.now += PUBLISH_INTERVAL_S
    assert published_payoffs(tail.complete_pull(pull("b")).payoffs) == {"h": 25}
    tail.pull_server.view_changed(tail.now, EPOCH + 1, TAIL, CORES, is_tail=True)
    assert tail.complete_pull(pull("b")).payoffs == b""


def test_a_delta_reply_carries_payoffs_to_the_gateway() -> None:
    tail = TailHarness()
    tail.complete_pull(
        PullRequest(member("a"), pull().vector, serving=True, outcomes=(HostOutcomes("h", 0, 3),))
    )
    tail.now += PUBLISH_INTERVAL_S
    tail.pull_server.pull_received(tail.now, 99, pull("b"), delta=True)
    (effect,) = tail.pull_server.confirmation_received(tail.now, 99, confirmation(EPOCH))
    assert isinstance(effect, SendDeltaReply)
    full_reply = expand_reply(effect.reply, 0, ())
    assert full_reply is not None
    assert published_payoffs(full_reply.payoffs) == {"h": 25}


def test_a_member_that_is_not_the_tail_ignores_reported_outcomes() -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=False)
    pull_server.pull_received(
        0.1,
        1,
        PullRequest(member("a"), pull().vector, serving=True, outcomes=(HostOutcomes("h", 0, 3),)),
    )
    assert pull_server._reply_builder.payoffs.encoded(1.0) == b""


def test_a_pull_request_with_outcomes_decodes_to_itself() -> None:
    sent = PullRequest(
        member("a"), pull().vector, serving=True, outcomes=(HostOutcomes("h", 4, 3),)
    )
    assert decode(record_number_of(sent), encode(sent)) == sent
