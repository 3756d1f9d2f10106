"""Host lists from full lists and changes.

The decoder by itself, and the pull server of a tail together with a gateway's state machine.
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


def make_reply(host_list: bytes | None = None, host_changes: bytes | None = None) -> DeltaPullReply:
    return DeltaPullReply(
        confirmed=True,
        vector=VECTOR,
        configuration=None,
        host_list=host_list,
        host_changes=host_changes,
        roster=None,
        cores=CORES,
    )


def make_expanded_reply(configuration: bytes | None, hosts: tuple[Host, ...] | None) -> PullReply:
    """Return the expected result of `expand_reply`."""
    return PullReply(
        confirmed=True,
        vector=VECTOR,
        configuration=configuration,
        hosts=hosts,
        roster=None,
        cores=CORES,
    )


def encode_changes(
    base: int, removed: tuple[str, ...] = (), updated: tuple[Host, ...] = ()
) -> bytes:
    return encode(HostChanges(base, removed, updated))


@pytest.mark.parametrize(
    ("delta", "hosts"),
    [
        (make_reply(), None),
        (make_reply(encode(HostList((A, C)))), (A, C)),
        (make_reply(encode(HostList(()))), ()),
        (make_reply(None, encode_changes(5, ("a",))), (B,)),
        (make_reply(None, encode_changes(5, (), (C,))), (A, B, C)),
        (make_reply(None, encode_changes(5, (), (DRAINING,))), (A, DRAINING)),
        (make_reply(None, encode_changes(5, ("a", "b"), (C,))), (C,)),
        (make_reply(None, encode_changes(5, ("unknown",))), (A, B)),
        (make_reply(encode(HostList((C,))), encode_changes(5, ("a",))), (C,)),
    ],
)
def test_expand_reply_applies_full_lists_and_changes(
    delta: DeltaPullReply, hosts: tuple[Host, ...] | None
) -> None:
    assert expand_reply(delta, 5, (B, A)) == make_expanded_reply(None, hosts)


@pytest.mark.parametrize(
    "delta",
    [
        make_reply(None, encode_changes(4, ("a",))),
        make_reply(None, encode_changes(6, ("a",))),
        make_reply(None, encode_changes(5, ("a",))[:-1]),
        make_reply(None, b""),
        make_reply(encode(HostList((A,)))[:-3]),
        make_reply(b"\xff" * 9),
    ],
)
def test_expand_reply_returns_none_for_malformed_hosts_or_another_base(
    delta: DeltaPullReply,
) -> None:
    assert expand_reply(delta, 5, (A, B)) is None


def test_expand_reply_decompresses_the_configuration() -> None:
    delta = replace(make_reply(), configuration=zlib.compress(DOCUMENT))
    assert expand_reply(delta, 5, ()) == make_expanded_reply(DOCUMENT, None)


@pytest.mark.parametrize("malformed", [b"", DOCUMENT, zlib.compress(DOCUMENT)[:-1]])
def test_expand_reply_returns_none_for_an_invalid_compressed_configuration(
    malformed: bytes,
) -> None:
    assert expand_reply(replace(make_reply(), configuration=malformed), 5, ()) is None


class PullPair:
    """A gateway's state machine and a tail's pull server; messages are encoded as frames."""

    def __init__(self) -> None:
        self.machine = PullStateMachine(MEMBER, [("10.2.0.1", 7500)], random.Random(1))
        self.pull_server = PullServer()
        self.now, self.epoch = 10.0, EPOCH
        self.lists = self.changes = 0
        self.set_view(EPOCH)

    def set_view(self, epoch: int) -> None:
        self.epoch = epoch
        self.pull_server.view_changed(self.now, epoch, None, CORES, is_tail=True)

    def set_hosts(self, *hosts: Host) -> None:
        self.pull_server.hosts_listed(self.now, self.epoch, hosts)

    def pull(self, *, lost: bool = False) -> list[Effect]:
        """Run one pull; if `lost`, the gateway receives None instead of the reply."""
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


def test_a_gateway_gets_the_full_list_first_and_small_changes_afterwards() -> None:
    pair = PullPair()
    pair.set_hosts(A, B, C, host("d"))
    pair.pull()
    assert (pair.hosts, pair.lists, pair.changes) == ((A, B, C, host("d")), 1, 0)
    assert [type(effect) for effect in pair.pull()] == [SnapshotConfirmed]
    pair.set_hosts(A, DRAINING, host("d"), host("e"))
    assert [type(effect) for effect in pair.pull()] == [ApplySnapshot, SnapshotConfirmed]
    # Most of the list changed, so the full list was sent.
    assert (pair.hosts, pair.lists) == ((A, DRAINING, host("d"), host("e")), 2)
    pair.set_hosts(A, host("d"), host("e"))
    pair.pull()
    assert (pair.hosts, pair.lists, pair.changes) == ((A, host("d"), host("e")), 2, 1)


def test_the_tail_of_a_new_view_sends_its_full_list() -> None:
    pair = PullPair()
    pair.set_hosts(A, B)
    pair.pull()
    pair.set_view(EPOCH + 1)
    pair.pull()
    assert pair.hosts == (A, B)
    pair.set_hosts(A, B)
    pair.pull()
    assert (pair.hosts, pair.lists, pair.changes) == ((A, B), 2, 0)
    assert pair.machine.snapshot is not None
    assert pair.machine.snapshot.vector.hosts == pair.pull_server.versions.hosts


def test_an_undecodable_reply_changes_nothing_and_the_next_one_applies() -> None:
    pair = PullPair()
    pair.set_hosts(A, B, C)
    pair.pull()
    before = pair.hosts
    pair.set_hosts(A, B)
    pair.now = max(pair.now + 0.1, pair.machine.due_at)
    (send,) = pair.machine.wake(pair.now)
    assert isinstance(send, SendPull)
    malformed_reply = replace(pair.send_reply(DeltaPullRequest(send.pull)), host_changes=b"?")
    assert pair.machine.reply_received(send.call, malformed_reply, pair.now) == []
    assert pair.hosts is before
    pair.pull()
    assert pair.hosts == (A, B)


@pytest.mark.parametrize("seed", range(20))
def test_host_lists_agree_after_random_changes_and_lost_replies(seed: int) -> None:
    rng = random.Random(seed)
    pair = PullPair()
    current = {f"h{number}": host(f"h{number}") for number in range(rng.randrange(30))}
    for step in range(150):
        for _ in range(rng.choice((0, 0, 1, 1, 3, 30))):
            name = f"h{rng.randrange(40)}"
            if rng.random() < 0.4:
                current.pop(name, None)
            else:
                state = rng.choice((HostState.READY, HostState.DRAINING))
                current[name] = host(name, state, rng.choice((0.0, 1000.0 - step)))
        if rng.random() < 0.05:
            pair.set_view(pair.epoch + 1)
        shuffled = list(current.values())
        rng.shuffle(shuffled)
        pair.set_hosts(*shuffled)
        if rng.random() < 0.5:
            pair.pull(lost=rng.random() < 0.3)
    pair.pull()
    pair.pull()
    assert [_with_binary_warmup(entry) for entry in pair.hosts] == [
        _with_binary_warmup(current[name]) for name in sorted(current)
    ]
    assert pair.lists
    assert pair.changes


def _with_binary_warmup(entry: Host) -> Host:
    """Reduce the remaining warm-up to 0 or 1: other differences of it are not sent as changes."""
    return replace(entry, warmup_left_ms=float(entry.warmup_left_ms > 0))
