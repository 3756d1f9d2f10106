"""The pull service: which member replies, with what, and which gateways count as live."""

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
FIRST_VERSION = (EPOCH << EPOCH_SHIFT) + 1
UNCONFIRMED = PullReply(False, VersionVector(), None, None, None, CORES)


def member(name: str, incarnation: int = 1) -> Member:
    return Member(name, f"10.1.0.{ord(name[0])}:7500", incarnation)


def pull(
    name: str = "a",
    known_versions: VersionVector | None = None,
    incarnation: int = 1,
    *,
    serving: bool = True,
) -> PullRequest:
    return PullRequest(member(name, incarnation), known_versions or VersionVector(), serving)


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


class TailHarness:
    """A pull server at the tail, in simulated time.

    `advance` takes steps shorter than `stall_s`, so that the server does not detect a stall.
    """

    def __init__(self) -> None:
        self.pull_server = PullServer(TIMES)
        self.now = 100.0
        self.last_number = 0
        self.pull_server.view_changed(self.now, EPOCH, TAIL, CORES, is_tail=True)

    def complete_pull(
        self, request: PullRequest, confirmed_read: Confirmation | None = None
    ) -> PullReply:
        self.last_number += 1
        assert self.pull_server.pull_received(self.now, self.last_number, request) == [
            RequestConfirmation(self.last_number)
        ]
        effects = self.pull_server.confirmation_received(
            self.now, self.last_number, confirmed_read or confirmation(self.pull_server._epoch)
        )
        assert len(effects) == 1
        effect = effects[0]
        assert isinstance(effect, SendReply)
        assert effect.number == self.last_number
        return effect.reply

    def advance(self, seconds: float, *pulls: PullRequest) -> PullReply | None:
        """Advance the time in steps, with these pulls at each; return the last reply."""
        end, reply = self.now + seconds, None
        while self.now < end - 1e-9:
            self.now = min(end, self.now + 0.3)
            for request in pulls:
                reply = self.complete_pull(request)
        return reply


def roster_names(reply: PullReply | None) -> list[str] | None:
    assert reply is not None
    return None if reply.roster is None else [gateway.name for gateway in reply.roster]


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
def test_pull_is_confirmed_by_the_tail_or_forwarded_once(
    is_tail: bool, tail: Any, forwarded: bool, effect: PullEffect
) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, tail, CORES, is_tail=is_tail)
    assert pull_server.pull_received(0.1, 1, pull(), forwarded=forwarded) == [effect]


UNCONFIRMED_DELTA_REPLY = DeltaPullReply(False, VersionVector(), None, None, None, None, CORES)


@pytest.mark.parametrize(
    ("is_tail", "tail", "forwarded", "effect"),
    [
        (True, TAIL, False, RequestConfirmation(1)),
        (True, TAIL, True, RequestConfirmation(1)),
        (False, TAIL, False, ForwardToTail(1, TAIL, ForwardedDeltaPull(pull()))),
        (False, TAIL, True, SendDeltaReply(1, UNCONFIRMED_DELTA_REPLY)),
        (False, None, False, SendDeltaReply(1, UNCONFIRMED_DELTA_REPLY)),
        (False, None, True, SendDeltaReply(1, UNCONFIRMED_DELTA_REPLY)),
    ],
)
def test_delta_pull_is_confirmed_by_the_tail_or_forwarded_once(
    is_tail: bool, tail: Any, forwarded: bool, effect: PullEffect
) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, tail, CORES, is_tail=is_tail)
    assert pull_server.pull_received(0.1, 1, pull(), forwarded=forwarded, delta=True) == [effect]


def test_delta_pull_without_a_confirmation_gets_an_unconfirmed_reply() -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=True)
    pull_server.hosts_listed(0.1, EPOCH, (host("h"),))
    pull_server.pull_received(0.2, 1, pull(), delta=True)
    assert pull_server.confirmation_received(0.3, 1, None) == [
        SendDeltaReply(1, UNCONFIRMED_DELTA_REPLY)
    ]


TAIL_DELTA_REPLY = DeltaPullReply(True, VersionVector(5, 6, 7), b"{}", b"list", None, (), CORES)


@pytest.mark.parametrize(
    ("delta", "tail_reply", "effect"),
    [
        (True, TAIL_DELTA_REPLY, SendDeltaReply(1, TAIL_DELTA_REPLY)),
        (True, None, SendDeltaReply(1, UNCONFIRMED_DELTA_REPLY)),
        (
            True,
            PullReply(True, VersionVector(), None, None, None, ()),
            SendDeltaReply(1, UNCONFIRMED_DELTA_REPLY),
        ),
        (False, TAIL_DELTA_REPLY, SendReply(1, UNCONFIRMED)),
    ],
)
def test_reply_of_the_tail_is_returned_only_if_of_the_requested_type(
    delta: bool, tail_reply: Any, effect: PullEffect
) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=False)
    pull_server.pull_received(0.1, 1, pull(), delta=delta)
    assert pull_server.forward_completed(0.2, 1, tail_reply) == [effect]


def test_a_member_without_a_view_confirms_nothing() -> None:
    assert PullServer(TIMES).pull_received(0.1, 1, pull()) == [
        SendReply(1, PullReply(False, VersionVector(), None, None, None, ()))
    ]


TAIL_REPLY = PullReply(True, VersionVector(5, 6, 7), b"{}", (), (), CORES)


@pytest.mark.parametrize(("tail_reply", "reply"), [(TAIL_REPLY, TAIL_REPLY), (None, UNCONFIRMED)])
def test_reply_of_the_tail_is_returned_once(tail_reply: PullReply | None, reply: PullReply) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=False)
    pull_server.pull_received(0.1, 1, pull())
    assert pull_server.forward_completed(0.2, 1, tail_reply) == [SendReply(1, reply)]
    assert pull_server.forward_completed(0.3, 1, tail_reply) == []


@pytest.mark.parametrize(
    "confirmed_read",
    [None, confirmation(EPOCH - 1), confirmation(EPOCH + 1)],
    ids=["none", "former view", "later view"],
)
def test_without_a_confirmation_in_this_view_the_reply_is_unconfirmed(
    confirmed_read: Confirmation | None,
) -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=True)
    pull_server.pull_received(0.1, 1, pull())
    assert pull_server.confirmation_received(0.2, 1, confirmed_read) == [SendReply(1, UNCONFIRMED)]
    assert pull_server.confirmation_received(0.3, 1, confirmation()) == []


def test_confirmation_is_not_used_by_a_member_that_is_no_longer_tail() -> None:
    pull_server = PullServer(TIMES)
    pull_server.view_changed(0.0, EPOCH, TAIL, CORES, is_tail=True)
    pull_server.pull_received(0.1, 1, pull())
    pull_server.view_changed(0.2, EPOCH + 1, ("10.0.0.2", 7500), CORES, is_tail=False)
    assert pull_server.confirmation_received(0.3, 1, confirmation()) == [SendReply(1, UNCONFIRMED)]


@pytest.mark.parametrize(
    ("known_version", "sequence", "document", "expected"),
    [
        (0, 5, b"{}", b"{}"),
        (4, 5, b"{}", b"{}"),
        (5, 5, b"{}", None),
        (0, 0, None, None),
        (6, 5, b"{}", b"{}"),
    ],
)
def test_document_is_sent_if_the_sequence_differs(
    known_version: int, sequence: int, document: bytes | None, expected: bytes | None
) -> None:
    reply = TailHarness().complete_pull(
        pull(known_versions=VersionVector(known_version)), confirmation(EPOCH, sequence, document)
    )
    assert (reply.confirmed, reply.vector.configuration, reply.configuration) == (
        True,
        sequence,
        expected,
    )


def test_a_document_is_compressed_once_for_all_gateways() -> None:
    tail = TailHarness()
    replies = []
    for sequence in (5, 5, 6):
        tail.pull_server.pull_received(tail.now, sequence, pull(), delta=True)
        [effect] = tail.pull_server.confirmation_received(
            tail.now, sequence, confirmation(EPOCH, sequence, b"%d" % sequence)
        )
        assert isinstance(effect, SendDeltaReply)
        replies.append(effect.reply.configuration)
    assert replies[0] is replies[1] is not None
    assert [zlib.decompress(document) for document in replies if document] == [b"5", b"5", b"6"]


def test_no_hosts_before_the_first_complete_list_of_the_view() -> None:
    tail = TailHarness()
    known_versions = VersionVector(hosts=(2 << EPOCH_SHIFT) + 50)
    before = tail.complete_pull(pull(known_versions=known_versions))
    assert (before.vector.hosts, before.hosts) == (0, None)
    tail.pull_server.hosts_listed(tail.now, EPOCH - 1, (host("h"),))
    assert tail.complete_pull(pull(known_versions=known_versions)).hosts is None
    tail.pull_server.hosts_listed(tail.now, EPOCH, ())
    after = tail.complete_pull(pull(known_versions=known_versions))
    assert (after.vector.hosts, after.hosts) == (FIRST_VERSION, ())
    assert tail.complete_pull(pull(known_versions=after.vector)).hosts is None


@pytest.mark.parametrize(
    ("second_list", "is_new_version"),
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
def test_hosts_version_increases_when_their_content_changes(
    second_list: tuple[Host, ...], is_new_version: bool
) -> None:
    tail = TailHarness()
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h"),))
    tail.pull_server.hosts_listed(tail.now, EPOCH, second_list)
    reply = tail.complete_pull(pull(known_versions=VersionVector(hosts=FIRST_VERSION)))
    assert reply.vector.hosts == FIRST_VERSION + is_new_version
    assert reply.hosts == (second_list if is_new_version else None)


def test_order_and_remaining_warm_up_time_do_not_change_the_hosts_version() -> None:
    tail = TailHarness()
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h", warmup_left_ms=900.0), host("i")))
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("i"), host("h", warmup_left_ms=300.0)))
    assert tail.pull_server.versions.hosts == FIRST_VERSION
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("i"), host("h")))
    assert tail.pull_server.versions.hosts == FIRST_VERSION + 1


def test_newer_view_has_higher_versions_and_waits_for_its_own_list() -> None:
    tail = TailHarness()
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h"),))
    known_versions = tail.complete_pull(pull()).vector
    tail.pull_server.view_changed(tail.now, EPOCH + 2, TAIL, CORES, is_tail=True)
    assert tail.complete_pull(pull(known_versions=known_versions)).hosts is None
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h"),))
    assert tail.complete_pull(pull(known_versions=known_versions)).hosts is None
    tail.pull_server.hosts_listed(tail.now, EPOCH + 2, (host("h"),))
    reply = tail.complete_pull(pull(known_versions=known_versions))
    assert reply.vector.hosts == ((EPOCH + 2) << EPOCH_SHIFT) + 1 > known_versions.hosts
    assert reply.hosts == (host("h"),)


def test_first_roster_is_published_after_the_collection_time() -> None:
    tail = TailHarness()
    early = tail.complete_pull(pull("b"))
    assert (early.vector.roster, early.roster) == (0, None)
    tail.complete_pull(pull("a"))
    tail.now += TIMES.collection_s
    reply = tail.complete_pull(pull("c"))
    assert (reply.vector.roster, roster_names(reply)) == (FIRST_VERSION, ["a", "b", "c"])
    assert tail.complete_pull(pull("c", known_versions=reply.vector)).roster is None


def test_new_view_collects_the_roster_again() -> None:
    tail = TailHarness()
    former_reply = tail.advance(0.9, pull("a"), pull("b"))
    assert former_reply is not None
    tail.pull_server.view_changed(tail.now, EPOCH + 1, TAIL, CORES, is_tail=True)
    assert tail.complete_pull(pull("a", known_versions=former_reply.vector)).roster is None
    reply = tail.advance(0.6, pull("a", known_versions=former_reply.vector))
    assert roster_names(reply) == ["a", "b"]
    assert reply is not None
    assert reply.vector.roster == ((EPOCH + 1) << EPOCH_SHIFT) + 1


def test_only_serving_gateways_are_in_the_roster() -> None:
    tail = TailHarness()
    assert roster_names(tail.advance(0.9, pull("a"), pull("b", serving=False))) == ["a"]
    assert roster_names(tail.complete_pull(pull("b"))) == ["a", "b"]
    assert roster_names(tail.complete_pull(pull("a", serving=False))) == ["b"]


def test_gateway_without_pulls_is_dropped_after_its_timeout() -> None:
    tail = TailHarness()
    assert roster_names(tail.advance(0.9, pull("a"), pull("b"))) == ["a", "b"]
    assert roster_names(tail.advance(TIMES.gateway_timeout_s, pull("a"))) == ["a", "b"]
    reply = tail.advance(0.3, pull("a"))
    assert roster_names(reply) == ["a"]
    assert reply is not None
    assert reply.vector.roster == FIRST_VERSION + 1
    assert roster_names(tail.complete_pull(pull("b"))) == ["a", "b"]


def test_new_incarnation_replaces_the_former_at_once() -> None:
    tail = TailHarness()
    tail.advance(0.9, pull("a"), pull("b"))
    reply = tail.complete_pull(pull("a", incarnation=2))
    assert reply.vector.roster == FIRST_VERSION + 1
    assert reply.roster == (member("a", 2), member("b"))
    late = tail.complete_pull(pull("a", incarnation=1))
    assert late.vector.roster == FIRST_VERSION + 1
    assert late.roster == (member("a", 2), member("b"))


def test_stall_of_the_tail_drops_no_gateway() -> None:
    tail = TailHarness()
    tail.advance(0.9, pull("a"), pull("b"))
    tail.now += 30.0
    assert roster_names(tail.complete_pull(pull("a"))) == ["a", "b"]
    assert roster_names(tail.advance(1.5, pull("a"))) == ["a"]


def test_lags_of_gateways() -> None:
    tail = TailHarness()
    tail.pull_server.hosts_listed(tail.now, EPOCH, (host("h"),))
    tail.complete_pull(pull("a", known_versions=VersionVector(4, FIRST_VERSION - 1)))
    tail.now += 0.25
    (lag,) = tail.pull_server.lags(tail.now)
    assert (lag.name, lag.silent_s, lag.configuration, lag.hosts, lag.roster) == (
        "a",
        0.25,
        4,
        1,
        0,
    )


def test_forwarded_pull_is_equal_after_encoding_and_decoding() -> None:
    sent = ForwardedPull(pull("a", VersionVector(1, 2, 3)))
    assert decode(record_number_of(sent), encode(sent)) == sent
