"""Pulls in one process, without a network: a gateway's side, the tail's side, and what a change
costs each.

Frames are made and read as on the wire. What a confirmed read costs the tail and its voters isn't
in here.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.controller.chain_interface import Confirmation
from roselink.controller.pull_effects import SendDeltaReply, SendReply
from roselink.controller.pull_server import PullServer
from roselink.coordination.views import MAX_VOTERS
from roselink.dataplane.fleet_host_pool import FleetHostPool
from roselink.dataplane.host_directory import HostDirectory
from roselink.distribution.host_changes import expand_reply
from roselink.distribution.pull_state_machine import PULL_INTERVAL_S, PullStateMachine, SendPull
from roselink.http.descriptors import Descriptors
from roselink.model.fleet import Host, Member, Snapshot, VersionVector
from roselink.protocol.framing import FrameDecoder, FrameKind, encode_frame
from roselink.protocol.pull import DeltaPullReply, PullReply, PullRequest
from tools.measure import heap_bytes, machine, processor_us, show, show_line
from tools.shapes import (
    make_configuration,
    make_cores,
    make_hosts,
    make_member,
    make_roster,
    replaced,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

HOSTS = (60, 600, 3_000, 12_000)
GATEWAYS = (6, 60, 175, 350)
CORES = (3, 9, 54)
PULLS = 500
CHANGES = 3
EPOCH = 1


@dataclass(frozen=True, slots=True)
class QuietPull:
    """A pull that brings nothing, at a gateway; `cores`: members of the core, which each reply
    names.
    """

    cores: int
    gateway_us: float
    pull_bytes: int
    reply_bytes: int


@dataclass(frozen=True, slots=True)
class TailPull:
    """The same at the tail, and a pull that brings the roster."""

    gateways: int
    tail_us: float
    roster_bytes: int


@dataclass(frozen=True, slots=True)
class HostList:
    """A whole list of hosts: made known at the tail, encoded for one gateway, and read and taken
    there.

    `one_us`: taken by the data plane where all lines but one are those of before. `memory`: bytes
    on a gateway's heap of the list and of the data plane's directory.
    """

    hosts: int
    list_us: float
    encode_us: float
    decode_us: float
    directory_us: float
    one_us: float
    reply_bytes: int
    memory: int


@dataclass(frozen=True, slots=True)
class HostDifference:
    """One host of a list replaced, sent as what changed: at the tail for one gateway after the
    first, and at a gateway up to its new list. `list_again_us`: the tail's whole list for one
    gateway after the first.
    """

    hosts: int
    tail_us: float
    gateway_us: float
    reply_bytes: int
    list_again_us: float


def quiet_pull(cores: int, pulls: int) -> QuietPull:
    """One gateway against a core that has nothing new."""
    machine_ = PullStateMachine(make_member(1), [("10.2.0.1", 7500)], random.Random(1))
    vector = VersionVector(1, EPOCH << 32 | 1, EPOCH << 32 | 1)
    reply = encode_frame(
        FrameKind.REPLY, 1, PullReply(True, vector, None, None, None, make_cores(cores))
    )
    pull_bytes = len(encode_frame(FrameKind.CALL, 1, PullRequest(make_member(1), vector, True)))
    reader = FrameDecoder()
    now = 0.0

    def pull() -> None:
        nonlocal now
        now = max(now + PULL_INTERVAL_S, machine_.due_at)
        for effect in machine_.wake(now):
            if isinstance(effect, SendPull):
                encode_frame(FrameKind.CALL, effect.call, effect.pull)
                for _, _, answer in reader.feed(reply):
                    machine_.reply_received(effect.call, answer, now + 0.003)

    return QuietPull(cores, processor_us(pull, pulls), pull_bytes, len(reply))


def tail_pull(gateways: int, cores: int, pulls: int) -> TailPull:
    """The tail's side with so many gateways, each of which pulled a moment ago."""
    pull_server = PullServer()
    pull_server.view_changed(0.0, EPOCH, None, make_cores(cores), is_tail=True)
    members = make_roster(gateways)
    confirmation = Confirmation(EPOCH, 1, b"", 1)
    now, number, step = 1.0, 0, PULL_INTERVAL_S / gateways

    def pull_of(member: Member) -> PullReply | None:
        nonlocal number
        number += 1
        held = VersionVector(1, pull_server.versions.hosts, pull_server.versions.roster)
        data = encode_frame(FrameKind.CALL, number, PullRequest(member, held, True))
        for _, _, message in FrameDecoder().feed(data):
            pull_server.pull_received(now, number, message)
        for effect in pull_server.confirmation_received(now, number, confirmation):
            if isinstance(effect, SendReply):
                encode_frame(FrameKind.REPLY, effect.number, effect.reply)
                return effect.reply
        return None

    for member in members * 2:
        pull_of(member)

    def pull() -> None:
        nonlocal now
        now += step
        pull_of(members[number % gateways])

    tail_us = processor_us(pull, pulls)
    vector = VersionVector(1, 1, pull_server.versions.roster)
    roster = encode_frame(
        FrameKind.REPLY, 1, PullReply(True, vector, None, None, members, make_cores(cores))
    )
    return TailPull(gateways, tail_us, len(roster))


def host_list(count: int, cores: int, times: int) -> HostList:
    """A changed list of so many hosts."""
    hosts = make_hosts(count)
    pull_server = PullServer()
    pull_server.view_changed(0.0, EPOCH, None, make_cores(cores), is_tail=True)
    reply = PullReply(True, VersionVector(1, 1, 1), None, hosts, None, make_cores(cores))
    data = encode_frame(FrameKind.REPLY, 1, reply)
    loop = asyncio.new_event_loop()
    try:
        directory_us = processor_us(_Directory(loop, hosts, make_hosts(count)), times)
        one_us = processor_us(_Directory(loop, hosts, replaced(hosts, 0, 1)), times)
        memory = heap_bytes(lambda: _received(loop, data))
    finally:
        loop.close()
    return HostList(
        count,
        processor_us(lambda: pull_server.hosts_listed(1.0, EPOCH, hosts), times),
        processor_us(lambda: encode_frame(FrameKind.REPLY, 1, reply), times),
        processor_us(lambda: FrameDecoder().feed(data), times),
        directory_us,
        one_us,
        len(data),
        memory,
    )


def host_difference(count: int, times: int) -> HostDifference:
    """A list of so many hosts, of which one is replaced."""
    hosts, members = make_hosts(count), make_roster(1)
    pull_server = PullServer()
    pull_server.view_changed(0.0, EPOCH, None, make_cores(MAX_VOTERS), is_tail=True)
    pull_server.hosts_listed(0.0, EPOCH, hosts)
    held = VersionVector(1, pull_server.versions.hosts, 0)
    pull_server.hosts_listed(0.0, EPOCH, replaced(hosts, 0, 1))
    confirmation = Confirmation(EPOCH, 1, b"", 1)

    def answer(vector: VersionVector) -> bytes:
        pull_server.pull_received(0.0, 1, PullRequest(members[0], vector, True), delta=True)
        for effect in pull_server.confirmation_received(0.0, 1, confirmation):
            if isinstance(effect, SendDeltaReply):
                return encode_frame(FrameKind.REPLY, 1, effect.reply)
        raise RuntimeError("no answer")

    data = answer(held)
    reply: DeltaPullReply = FrameDecoder().feed(data)[0][2]
    if reply.host_changes is None:
        raise RuntimeError("the whole list came")

    def take() -> None:
        FrameDecoder().feed(data)
        expand_reply(reply, held.hosts, hosts)

    return HostDifference(
        count,
        processor_us(lambda: answer(held), times),
        processor_us(take, times),
        len(data),
        processor_us(lambda: answer(VersionVector()), times),
    )


class _Directory:
    """The data plane's list of hosts, which takes over two lists in turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop, *lists: tuple[Host, ...]) -> None:
        self._directory = HostDirectory(FleetHostPool(loop, Descriptors(1000)))
        configuration = make_configuration(1, 1)
        made = [Snapshot(VersionVector(1, 1, 1), configuration, hosts, ()) for hosts in lists]
        self._snapshots = itertools.cycle(made)
        self()

    def __call__(self) -> None:
        self._directory.update(next(self._snapshots))


def _received(loop: asyncio.AbstractEventLoop, data: bytes) -> _Directory:
    reply = FrameDecoder().feed(data)[0][2]
    return _Directory(loop, reply.hosts)


def main(
    sizes: Sequence[int] = HOSTS,
    gateways: Sequence[int] = GATEWAYS,
    cores: Sequence[int] = CORES,
    pulls: int = PULLS,
    changes: int = CHANGES,
) -> None:
    """Measure and print."""
    print(machine())
    quiet = [quiet_pull(count, pulls) for count in cores]
    columns: tuple[str, ...] = ("core members", "gateway us", "pull bytes", "reply bytes")
    show(
        "A pull that brings nothing",
        columns,
        [(q.cores, q.gateway_us, q.pull_bytes, q.reply_bytes) for q in quiet],
    )
    show_line("gateway", "us", "core member", [(q.cores, q.gateway_us) for q in quiet])
    show_line("reply", "bytes", "core member", [(q.cores, q.reply_bytes) for q in quiet])
    tails = [tail_pull(count, MAX_VOTERS, pulls) for count in gateways]
    columns = ("gateways", "tail us", "reply bytes with roster")
    show("A pull at the tail", columns, [(d.gateways, d.tail_us, d.roster_bytes) for d in tails])
    show_line("tail", "us", "gateway", [(d.gateways, d.tail_us) for d in tails])
    show_line("roster", "bytes", "gateway", [(d.gateways, d.roster_bytes) for d in tails])
    lists = [host_list(count, MAX_VOTERS, changes) for count in sizes]
    columns = (
        "hosts",
        "tail lists us",
        "tail encodes us",
        "gateway decodes us",
        "data plane takes us",
        "but for one us",
        "reply bytes",
        "heap bytes",
    )
    show(
        "A changed list of hosts",
        columns,
        [
            (
                h.hosts,
                h.list_us,
                h.encode_us,
                h.decode_us,
                h.directory_us,
                h.one_us,
                h.reply_bytes,
                h.memory,
            )
            for h in lists
        ],
    )
    show_line("listed at the tail", "us", "host", [(h.hosts, h.list_us) for h in lists])
    show_line("encoded at the tail", "us", "host", [(h.hosts, h.encode_us) for h in lists])
    show_line("decoded at a gateway", "us", "host", [(h.hosts, h.decode_us) for h in lists])
    show_line("taken by the data plane", "us", "host", [(h.hosts, h.directory_us) for h in lists])
    show_line("taken but for one", "us", "host", [(h.hosts, h.one_us) for h in lists])
    show_line("reply", "bytes", "host", [(h.hosts, h.reply_bytes) for h in lists])
    show_line("list and directory", "bytes", "host", [(h.hosts, h.memory) for h in lists])
    ones = [host_difference(count, changes) for count in sizes]
    columns = ("hosts", "tail us", "gateway us", "reply bytes", "whole list again us")
    show(
        "One host replaced, sent as what changed",
        columns,
        [(o.hosts, o.tail_us, o.gateway_us, o.reply_bytes, o.list_again_us) for o in ones],
    )
    show_line("difference at the tail", "us", "host", [(o.hosts, o.tail_us) for o in ones])
    show_line("difference at a gateway", "us", "host", [(o.hosts, o.gateway_us) for o in ones])
    show_line("whole list again", "us", "host", [(o.hosts, o.list_again_us) for o in ones])


if __name__ == "__main__":
    main()
