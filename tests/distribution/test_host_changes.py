"""Lists of hosts out of whole lists and changes.

Alone, and between a tail's pull server and a gateway's machine.
"""

from __future__ import annotations

import random
import zlib
from dataclasses import replace

import pytest

from roselink.controller.chain_interface import Confirmation
from roselink.controller.pull_effects import RequestConfirmation, SendDeltaReply
from roselink.controller.pull_server import PullServer
from roselink.distribution.host_changes import expand_reply
from roselink.distribution.pull_state_machine import (
    ApplySnapshot,
    Effect,
    PullStateMachine,
    SendPull,
    SnapshotConfirmed,
)
from roselink.model.fleet import Host, HostState, Member, VersionVector
from roselink.protocol.framing import FrameDecoder, FrameKind, encode_frame
from roselink.protocol.pull import (
    DeltaPullReply,
    DeltaPullRequest,
    HostChanges,
    HostList,
    PullReply,
)
from roselink.protocol.records import encode

VECTOR = VersionVector(1, 9, 1)
CORES = ("10.2.0.1:7500",)
DOCUMENT = b'{"generation":1}'
MEMBER = Member("edge-1", "10.1.0.1:7500", 1)
EPOCH = 3


def host(name: str, state: HostState = HostState.READY, warmup_left_ms: float = 0.0) -> Host:
    return Host(name, "s", "10.0.0.1:8000", "z", "v1", 64, state, warmup_left_ms, ())


A, B, C = host("a"), host("b"), host("c")
DRAINING = host("b", HostState.DRAINING)


def reply(host_list: bytes | None = None, host_changes: bytes | None = None) -> DeltaPullReply:
    return DeltaPullReply(
        confirmed=True,
        vector=VECTOR,
        configuration=None,
        host_list=host_list,
        host_changes=host_changes,
        roster=None,
        cores=CORES,
    )


def expanded(configuration: bytes | None, hosts: tuple[Host, ...] | None) -> PullReply:
    """What a reply should come to."""
    return PullReply(
        confirmed=True,
        vector=VECTOR,
        configuration=configuration,
        hosts=hosts,
        roster=None,
        cores=CORES,
    )


def change(base: int, removed: tuple[str, ...] = (), updated: tuple[Host, ...] = ()) -> bytes:
    return encode(HostChanges(base, removed, updated))


@pytest.mark.parametrize(
    ("delta", "hosts"),
    [
        (reply(), None),
        (reply(encode(HostList((A, C)))), (A, C)),
        (reply(encode(HostList(()))), ()),
        (reply(None, change(5, ("a",))), (B,)),
        (reply(None, change(5, (), (C,))), (A, B, C)),
        (reply(None, change(5, (), (DRAINING,))), (A, DRAINING)),
        (reply(None, change(5, ("a", "b"), (C,))), (C,)),
        (reply(None, change(5, ("unknown",))), (A, B)),
        (reply(encode(HostList((C,))), change(5, ("a",))), (C,)),
    ],
)
def test_the_list_after_a_reply(delta: DeltaPullReply, hosts: tuple[Host, ...] | None) -> None:
    assert expand_reply(delta, 5, (B, A)) == expanded(None, hosts)


@pytest.mark.parametrize(
    "delta",
    [
        reply(None, change(4, ("a",))),
        reply(None, change(6, ("a",))),
        reply(None, change(5, ("a",))[:-1]),
        reply(None, b""),
        reply(encode(HostList((A,)))[:-3]),
        reply(b"\xff" * 9),
    ],
)
def test_a_reply_whose_hosts_are_of_no_use_is_none(delta: DeltaPullReply) -> None:
    assert expand_reply(delta, 5, (A, B)) is None


def test_a_configuration_comes_compressed() -> None:
    delta = replace(reply(), configuration=zlib.compress(DOCUMENT))
    assert expand_reply(delta, 5, ()) == expanded(DOCUMENT, None)


@pytest.mark.parametrize("malformed", [b"", DOCUMENT, zlib.compress(DOCUMENT)[:-1]])
def test_a_configuration_that_cannot_be_read_makes_the_reply_none(malformed: bytes) -> None:
    assert expand_reply(replace(reply(), configuration=malformed), 5, ()) is None


class Pair:
    """A gateway's machine and the pull server of a tail; messages go through their frames."""

    def __init__(self) -> None:
        self.machine = PullStateMachine(MEMBER, [("10.2.0.1", 7500)], random.Random(1))
        self.pull_server = PullServer()
        self.now, self.epoch = 10.0, EPOCH
        self.lists = self.changes = 0
        self.view(EPOCH)

    def view(self, epoch: int) -> None:
        self.epoch = epoch
        self.pull_server.view_changed(self.now, epoch, None, CORES, is_tail=True)

    def listed(self, *hosts: Host) -> None:
        self.pull_server.hosts_listed(self.now, self.epoch, hosts)

    def pull(self, *, lost: bool = False) -> list[Effect]:
        """One pull and its reply, or None in its place."""
        self.now = max(self.now + 0.1, self.machine.due_at)
        (send,) = self.machine.wake(self.now)
        assert isinstance(send, SendPull)
        delta_reply = self.send_reply(DeltaPullRequest(send.pull))
        return self.machine.reply_received(send.call, None if lost else delta_reply, self.now)

    def send_reply(self, request: DeltaPullRequest) -> DeltaPullReply:
        ((_, number, received),) = FrameDecoder().feed(encode_frame(FrameKind.CALL, 1, request))
        assert self.pull_server.pull_received(self.now, number, received.pull, delta=True) == [
            RequestConfirmation(1)
        ]
        (effect,) = self.pull_server.confirmation_received(
            self.now, number, Confirmation(self.epoch, 1, DOCUMENT, 1)
        )
        assert isinstance(effect, SendDeltaReply)
        self.lists += effect.reply.host_list is not None
        self.changes += effect.reply.host_changes is not None
        ((_, _, delta_reply),) = FrameDecoder().feed(encode_frame(FrameKind.REPLY, 1, effect.reply))
        assert isinstance(delta_reply, DeltaPullReply)
        return delta_reply

    @property
    def hosts(self) -> tuple[Host, ...]:
        assert self.machine.snapshot is not None
        return self.machine.snapshot.hosts


def test_a_gateway_gets_the_list_once_and_then_changes() -> None:
    pair = Pair()
    pair.listed(A, B, C, host("d"))
    pair.pull()
    assert (pair.hosts, pair.lists, pair.changes) == ((A, B, C, host("d")), 1, 0)
    assert [type(effect) for effect in pair.pull()] == [SnapshotConfirmed]
    pair.listed(A, DRAINING, host("d"), host("e"))
    assert [type(effect) for effect in pair.pull()] == [ApplySnapshot, SnapshotConfirmed]
    # Most of the list was new, so all of it came.
    assert (pair.hosts, pair.lists) == ((A, DRAINING, host("d"), host("e")), 2)
    pair.listed(A, host("d"), host("e"))
    pair.pull()
    assert (pair.hosts, pair.lists, pair.changes) == ((A, host("d"), host("e")), 2, 1)


def test_the_tail_of_another_view_sends_its_whole_list() -> None:
    pair = Pair()
    pair.listed(A, B)
    pair.pull()
    pair.view(EPOCH + 1)
    pair.pull()
    assert pair.hosts == (A, B)
    pair.listed(A, B)
    pair.pull()
    assert (pair.hosts, pair.lists, pair.changes) == ((A, B), 2, 0)
    assert pair.machine.snapshot is not None
    assert pair.machine.snapshot.vector.hosts == pair.pull_server.versions.hosts


def test_a_reply_that_cannot_be_read_moves_nothing_and_the_next_one_does() -> None:
    pair = Pair()
    pair.listed(A, B, C)
    pair.pull()
    before = pair.hosts
    pair.listed(A, B)
    pair.now = max(pair.now + 0.1, pair.machine.due_at)
    (send,) = pair.machine.wake(pair.now)
    assert isinstance(send, SendPull)
    torn = replace(pair.send_reply(DeltaPullRequest(send.pull)), host_changes=b"?")
    assert pair.machine.reply_received(send.call, torn, pair.now) == []
    assert pair.hosts is before
    pair.pull()
    assert pair.hosts == (A, B)


@pytest.mark.parametrize("seed", range(20))
def test_whatever_changes_and_whatever_is_lost_the_lists_agree(seed: int) -> None:
    rng = random.Random(seed)
    pair = Pair()
    listed = {f"h{number}": host(f"h{number}") for number in range(rng.randrange(30))}
    for step in range(150):
        for _ in range(rng.choice((0, 0, 1, 1, 3, 30))):
            name = f"h{rng.randrange(40)}"
            if rng.random() < 0.4:
                listed.pop(name, None)
            else:
                state = rng.choice((HostState.READY, HostState.DRAINING))
                listed[name] = host(name, state, rng.choice((0.0, 1000.0 - step)))
        if rng.random() < 0.05:
            pair.view(pair.epoch + 1)
        shuffled = list(listed.values())
        rng.shuffle(shuffled)
        pair.listed(*shuffled)
        if rng.random() < 0.5:
            pair.pull(lost=rng.random() < 0.3)
    pair.pull()
    pair.pull()
    assert [_plain(entry) for entry in pair.hosts] == [
        _plain(listed[name]) for name in sorted(listed)
    ]
    assert pair.lists
    assert pair.changes


def _plain(entry: Host) -> Host:
    """A host with what is left of its warm-up as yes or no, which is all that counts as a
    change.
    """
    return replace(entry, warmup_left_ms=float(entry.warmup_left_ms > 0))
