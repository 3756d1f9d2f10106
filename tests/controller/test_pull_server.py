"""The pull service: who answers, with what, and which gateways count as live."""

from __future__ import annotations

import zlib
from typing import Any

import pytest

from roselink.controller.chain_interface import Confirmation
from roselink.controller.gateway_roster import LivenessTimes
from roselink.controller.pull_effects import (
    ForwardedDeltaPull,
    ForwardedPull,
    ForwardToTail,
    PullEffect,
    RequestConfirmation,
    SendDeltaReply,
    SendReply,
)
from roselink.controller.pull_server import EPOCH_SHIFT, PullServer
from roselink.model.fleet import Host, HostState, Member, VersionVector
from roselink.protocol.pull import DeltaPullReply, PullReply, PullRequest
from roselink.protocol.records import decode, encode, record_number_of

CORES = ("10.0.0.1:7500", "10.0.0.2:7500", "10.0.0.3:7500")
TAIL = ("10.0.0.3", 7500)
TIMES = LivenessTimes(gateway_timeout_s=1.2, collection_s=0.6, stall_s=0.6)
EPOCH = 3
FIRST = (EPOCH << EPOCH_SHIFT) + 1
UNCONFIRMED = PullReply(False, VersionVector(), None, None, None, CORES)


def member(name: str, incarnation: int = 1) -> Member:
    return Member(name, f"10.1.0.{ord(name[0])}:7500", incarnation)


def pull(
    name: str = "a",
    held: VersionVector | None = None,
    incarnation: int = 1,
    *,
    serving: bool = True,
) -> PullRequest:
    return PullRequest(member(name, incarnation), held or VersionVector(), serving)


def host(name: str, **changes: Any) -> Host:
    values: dict[str, Any] = {
        "id": name,
        "service": "model",
        "address": "10.9.0.1:8080",
        "zone": "z",
        "generation": "v1",
        "capacity": 64,
        "state": HostState.READY,
        "warmup_left_ms": 0.0,
        "models": ("m",),
    }
    return Host(**(values | changes))


def confirmation(
    epoch: int = EPOCH, sequence: int = 5, document: bytes | None = b"{}"
) -> Confirmation:
    return Confirmation(epoch, sequence, document, 9)


class Tail:
    """A pull server at the tail, queried in steps of time.

    They are small enough that it never seems to have been stalled.
    """

    def __init__(self) -> None:
        self.pull_server = PullServer(TIMES)
        self.now = 100.0
        self.numbers = 0
        self.pull_server.view_changed(self.now, EPOCH, TAIL, CORES, is_tail=True)

    def ask(self, asked: PullRequest, end: Confirmation | None = None) -> PullReply:
        self.numbers += 1
        assert self.pull_server.pull_received(self.now, self.numbers, asked) == [
            RequestConfirmation(self.numbers)
        ]
        effects = self.pull_server.confirmation_received(
            self.now, self.numbers, end or confirmation(self.pull_server._epoch)
        )
        assert len(effects) == 1
        answer = effects[0]
        assert isinstance(answer, SendReply)
        assert answer.number == self.numbers
        return answer.reply

    def pass_time(self, seconds: float, *pulling: PullRequest) -> PullReply | None:
        """Let time go by in steps; these gateways pull at each."""
        end, reply = self.now + seconds, None
        while self.now < end - 1e-9:
            self.now = min(end, self.now + 0.3)
            for asked in pulling:
                reply = self.ask(asked)
        return reply


def names(reply: PullReply | None) -> list[str] | None:
    assert reply is not None
    return None if reply.roster is None else [each.name for each in reply.roster]


@pytest.mark.parametrize(
    ("is_tail", "tail", "forwarded", "effect"),
    [
        (True, TAIL, False, RequestConfirmation(1)),
        (True, TAIL, True, RequestConfirmation(1)),
        (False, TAIL, False, ForwardToTail(1, TAIL, ForwardedPull(pull()))),
        (False, TAIL, True, SendReply(1, UNCONFIRMED)),
        (False, None, False, SendReply(1, UNCONFIRMED)),
        (False, None, True, SendReply(1, UNCONFIRMED)),
    ],
)
def test_who_answers(is_tail: bool, tail: Any, forwarded: bool, effect: PullEffect) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, tail, CORES, is_tail=is_tail)
    assert pull_server.pull_received(0.1, 1, pull(), forwarded=forwarded) == [effect]


NOTHING = DeltaPullReply(False, VersionVector(), None, None, None, None, CORES)


@pytest.mark.parametrize(
    ("is_tail", "tail", "forwarded", "effect"),
    [
        (True, TAIL, False, RequestConfirmation(1)),
        (True, TAIL, True, RequestConfirmation(1)),
        (False, TAIL, False, ForwardToTail(1, TAIL, ForwardedDeltaPull(pull()))),
        (False, TAIL, True, SendDeltaReply(1, NOTHING)),
        (False, None, False, SendDeltaReply(1, NOTHING)),
        (False, None, True, SendDeltaReply(1, NOTHING)),
    ],
)
def test_who_answers_a_pull_of_changes(
    is_tail: bool, tail: Any, forwarded: bool, effect: PullEffect
) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, tail, CORES, is_tail=is_tail)
    assert pull_server.pull_received(0.1, 1, pull(), forwarded=forwarded, delta=True) == [effect]


def test_without_a_confirmation_a_pull_of_changes_brings_nothing() -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=True)
    pull_server.hosts_listed(0.1, EPOCH, (host("h"),))
    pull_server.pull_received(0.2, 1, pull(), delta=True)
    assert pull_server.confirmation_received(0.3, 1, None) == [SendDeltaReply(1, NOTHING)]


TOLD = DeltaPullReply(True, VersionVector(5, 6, 7), b"{}", b"list", None, (), CORES)


@pytest.mark.parametrize(
    ("changes", "answer", "effect"),
    [
        (True, TOLD, SendDeltaReply(1, TOLD)),
        (True, None, SendDeltaReply(1, NOTHING)),
        (
            True,
            PullReply(True, VersionVector(), None, None, None, ()),
            SendDeltaReply(1, NOTHING),
        ),
        (False, TOLD, SendReply(1, UNCONFIRMED)),
    ],
)
def test_the_tail_answers_in_kind(changes: bool, answer: Any, effect: PullEffect) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=False)
    pull_server.pull_received(0.1, 1, pull(), delta=changes)
    assert pull_server.forward_completed(0.2, 1, answer) == [effect]


def test_a_member_without_a_view_confirms_nothing() -> None:
    assert PullServer(TIMES).pull_received(0.1, 1, pull()) == [
        SendReply(1, PullReply(False, VersionVector(), None, None, None, ()))
    ]


RELAYED = PullReply(True, VersionVector(5, 6, 7), b"{}", (), (), CORES)


@pytest.mark.parametrize(("answer", "reply"), [(RELAYED, RELAYED), (None, UNCONFIRMED)])
def test_the_reply_of_the_tail_is_handed_on(answer: PullReply | None, reply: PullReply) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=False)
    pull_server.pull_received(0.1, 1, pull())
    assert pull_server.forward_completed(0.2, 1, answer) == [SendReply(1, reply)]
    assert pull_server.forward_completed(0.3, 1, answer) == []


@pytest.mark.parametrize(
    "end",
    [None, confirmation(EPOCH - 1), confirmation(EPOCH + 1)],
    ids=["none", "former view", "later view"],
)
def test_without_a_confirmation_in_this_view_nothing_is_said(end: Confirmation | None) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=True)
    pull_server.pull_received(0.1, 1, pull())
    assert pull_server.confirmation_received(0.2, 1, end) == [SendReply(1, UNCONFIRMED)]
    assert pull_server.confirmation_received(0.3, 1, confirmation()) == []


def test_a_read_confirmed_for_a_former_tail_counts_no_more() -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=True)
    pull_server.pull_received(0.1, 1, pull())
    pull_server.view_changed(0.2, EPOCH + 1, ("10.0.0.2", 7500), CORES, is_tail=False)
    assert pull_server.confirmation_received(0.3, 1, confirmation()) == [SendReply(1, UNCONFIRMED)]


@pytest.mark.parametrize(
    ("held", "sequence", "document", "expected"),
    [
        (0, 5, b"{}", b"{}"),
        (4, 5, b"{}", b"{}"),
        (5, 5, b"{}", None),
        (0, 0, None, None),
        (6, 5, b"{}", b"{}"),
    ],
)
def test_the_document_goes_where_the_sequence_differs(
    held: int, sequence: int, document: bytes | None, expected: bytes | None
) -> None:
    reply = Tail().ask(pull(held=VersionVector(held)), confirmation(EPOCH, sequence, document))
    assert (reply.confirmed, reply.vector.configuration, reply.configuration) == (
        True,
        sequence,
        expected,
    )


def test_a_document_is_compressed_once_for_all_gateways() -> None:
    tail = Tail()
    replies = []
    for sequence in (5, 5, 6):
        tail.pull_server.pull_received(tail.now, sequence, pull(), delta=True)
        [answer] = tail.pull_server.confirmation_received(
            tail.now, sequence, confirmation(EPOCH, sequence, b"%d" % sequence)
        )
        assert isinstance(answer, SendDeltaReply)
        replies.append(answer.reply.configuration)
    assert replies[0] is replies[1] is not None
    assert [zlib.decompress(each) for each in replies if each] == [b"5", b"5", b"6"]


def test_no_hosts_before_the_first_whole_list_of_the_view() -> None:
    tail = Tail()
    held = VersionVector(hosts=(2 << EPOCH_SHIFT) + 50)
    before = tail.ask(pull(held=held))
    assert (before.vector.hosts, before.hosts) == (0, None)
    tail.pull_server.hosts_listed(tail.now, EPOCH - 1, (host("h"),))
    assert tail.ask(pull(held=held)).hosts is None
    tail.pull_server.hosts_listed(tail.now, EPOCH, ())
    after = tail.ask(pull(held=held))
    assert (after.vector.hosts, after.hosts) == (FIRST, ())
    assert tail.ask(pull(held=after.vector)).hosts is None


@pytest.mark.parametrize(
    ("then", "raised"),
    [
        ((host("h"),), False),
        ((host("h", warmup_left_ms=900.0),), True),
        ((host("h", state=HostState.DRAINING),), True),
        ((host("h", capacity=65),), True),
        ((host("h", address="10.9.0.2:8080"),), True),
        ((host("h", models=("m", "n")),), True),
        ((host("h"), host("i")), True),
        ((), True),
    ],
)
def test_the_version_of_the_hosts_rises_with_their_content(
    then: tuple[Host, ...], raised: bool
) -> None:
    tail = Tail()
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h"),))
    tail.pull_server.hosts_listed(tail.now, EPOCH, then)
    reply = tail.ask(pull(held=VersionVector(hosts=FIRST)))
    assert reply.vector.hosts == FIRST + raised
    assert reply.hosts == (then if raised else None)


def test_neither_order_nor_passing_warm_up_is_a_change() -> None:
    tail = Tail()
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h", warmup_left_ms=900.0), host("i")))
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("i"), host("h", warmup_left_ms=300.0)))
    assert tail.pull_server.versions.hosts == FIRST
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("i"), host("h")))
    assert tail.pull_server.versions.hosts == FIRST + 1


def test_a_newer_view_has_newer_versions_and_waits_for_its_own_list() -> None:
    tail = Tail()
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h"),))
    held = tail.ask(pull()).vector
    tail.pull_server.view_changed(tail.now, EPOCH + 2, TAIL, CORES, is_tail=True)
    assert tail.ask(pull(held=held)).hosts is None
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h"),))
    assert tail.ask(pull(held=held)).hosts is None
    tail.pull_server.hosts_listed(tail.now, EPOCH + 2, (host("h"),))
    reply = tail.ask(pull(held=held))
    assert reply.vector.hosts == ((EPOCH + 2) << EPOCH_SHIFT) + 1 > held.hosts
    assert reply.hosts == (host("h"),)


def test_the_first_roster_waits_until_gateways_have_had_time() -> None:
    tail = Tail()
    early = tail.ask(pull("b"))
    assert (early.vector.roster, early.roster) == (0, None)
    tail.ask(pull("a"))
    tail.now += TIMES.collection_s
    reply = tail.ask(pull("c"))
    assert (reply.vector.roster, names(reply)) == (FIRST, ["a", "b", "c"])
    assert tail.ask(pull("c", held=reply.vector)).roster is None


def test_another_view_collects_again() -> None:
    tail = Tail()
    held = tail.pass_time(0.9, pull("a"), pull("b"))
    assert held is not None
    tail.pull_server.view_changed(tail.now, EPOCH + 1, TAIL, CORES, is_tail=True)
    assert tail.ask(pull("a", held=held.vector)).roster is None
    reply = tail.pass_time(0.6, pull("a", held=held.vector))
    assert names(reply) == ["a", "b"]
    assert reply is not None
    assert reply.vector.roster == ((EPOCH + 1) << EPOCH_SHIFT) + 1


def test_only_serving_gateways_are_in_the_roster() -> None:
    tail = Tail()
    assert names(tail.pass_time(0.9, pull("a"), pull("b", serving=False))) == ["a"]
    assert names(tail.ask(pull("b"))) == ["a", "b"]
    assert names(tail.ask(pull("a", serving=False))) == ["b"]


def test_a_silent_gateway_goes_after_its_time() -> None:
    tail = Tail()
    assert names(tail.pass_time(0.9, pull("a"), pull("b"))) == ["a", "b"]
    assert names(tail.pass_time(TIMES.gateway_timeout_s, pull("a"))) == ["a", "b"]
    reply = tail.pass_time(0.3, pull("a"))
    assert names(reply) == ["a"]
    assert reply is not None
    assert reply.vector.roster == FIRST + 1
    assert names(tail.ask(pull("b"))) == ["a", "b"]


def test_a_new_start_takes_the_place_of_the_old_one_at_once() -> None:
    tail = Tail()
    tail.pass_time(0.9, pull("a"), pull("b"))
    reply = tail.ask(pull("a", incarnation=2))
    assert reply.vector.roster == FIRST + 1
    assert reply.roster == (member("a", 2), member("b"))
    late = tail.ask(pull("a", incarnation=1))
    assert late.vector.roster == FIRST + 1
    assert late.roster == (member("a", 2), member("b"))


def test_no_gateway_goes_because_the_tail_stood_still() -> None:
    tail = Tail()
    tail.pass_time(0.9, pull("a"), pull("b"))
    tail.now += 30.0
    assert names(tail.ask(pull("a"))) == ["a", "b"]
    assert names(tail.pass_time(1.5, pull("a"))) == ["a"]


def test_how_far_gateways_are_behind() -> None:
    tail = Tail()
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h"),))
    tail.ask(pull("a", held=VersionVector(4, FIRST - 1)))
    tail.now += 0.25
    (lag,) = tail.pull_server.lags(tail.now)
    assert (lag.name, lag.silent_s, lag.configuration, lag.hosts, lag.roster) == (
        "a",
        0.25,
        4,
        1,
        0,
    )


def test_a_forwarded_pull_survives_the_wire() -> None:
    sent = ForwardedPull(pull("a", VersionVector(1, 2, 3)))
    assert decode(record_number_of(sent), encode(sent)) == sent
