"""Costs of pulls without a network: at a gateway, at the tail, and of a change at both.

Frames are encoded and decoded as on the wire. The cost of a confirmed read at the tail and its
voters is not included.
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
from tools.exceptions import MeasurementError
from tools.measure import heap_bytes, machine, processor_us, show, show_line
from tools.synthetic_fleet import (
    make_configuration,
    make_cores,
    make_hosts,
    make_member,
    make_roster,
    replace_host,
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
    """A pull without changes, at a gateway.

    Attributes:
        cores: how many members the core has, all of which each reply names.
        gateway_us: processor time, in microseconds.
        pull_bytes: the size of the request.
        reply_bytes: the size of the reply.
    """

    cores: int
    gateway_us: float
    pull_bytes: int
    reply_bytes: int


@dataclass(frozen=True, slots=True)
class TailPull:
    """A pull without changes at the tail, and the size of a reply with the roster."""

    gateways: int
    tail_us: float
    roster_bytes: int


@dataclass(frozen=True, slots=True)
class HostList:
    """A whole list of hosts, from the tail to the data plane of a gateway; times in microseconds.

    Attributes:
        hosts: how many hosts.
        list_us: to publish the list at the tail.
        encode_us: to encode it for one gateway.
        decode_us: to decode it at a gateway.
        directory_us: to apply it in the data plane.
        one_us: to apply it in the data plane when only one host has changed.
        reply_bytes: the size of the reply.
        memory: bytes on a gateway's heap of the list and of the data plane's directory.
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
    """One replaced host, sent as a difference; times in microseconds.

    Attributes:
        hosts: how many hosts the list has.
        tail_us: at the tail, for each gateway after the first.
        gateway_us: at a gateway, up to its new list.
        reply_bytes: the size of the reply.
        list_again_us: at the tail, for the whole list instead, for each gateway after the first.
    """

    hosts: int
    tail_us: float
    gateway_us: float
    reply_bytes: int
    list_again_us: float


def _reply(
    vector: VersionVector,
    cores: int,
    *,
    hosts: tuple[Host, ...] | None = None,
    roster: tuple[Member, ...] | None = None,
) -> PullReply:
    """A confirmed reply without a configuration, of a core with so many members."""
    return PullReply(
        confirmed=True,
        vector=vector,
        configuration=None,
        hosts=hosts,
        roster=roster,
        cores=make_cores(cores),
    )


def quiet_pull(cores: int, pulls: int) -> QuietPull:
    """Measure a gateway's pulls from a core without changes."""
    puller = PullStateMachine(make_member(1), [("10.2.0.1", 7500)], random.Random(1))
    vector = VersionVector(1, EPOCH << 32 | 1, EPOCH << 32 | 1)
    reply = encode_frame(FrameKind.REPLY, 1, _reply(vector, cores))
    pull_bytes = len(
        encode_frame(FrameKind.CALL, 1, PullRequest(make_member(1), vector, serving=True))
    )
    reader = FrameDecoder()
    now = 0.0

    def pull() -> None:
        nonlocal now
        now = max(now + PULL_INTERVAL_S, puller.due_at)
        for effect in puller.wake(now):
            if isinstance(effect, SendPull):
                encode_frame(FrameKind.CALL, effect.call, effect.pull)
                for _, _, decoded in reader.feed(reply):
                    puller.reply_received(effect.call, decoded, now + 0.003)

    return QuietPull(cores, processor_us(pull, pulls), pull_bytes, len(reply))


def tail_pull(gateways: int, cores: int, pulls: int) -> TailPull:
    """Measure the tail with so many gateways, each of which has pulled lately."""
    pull_server = PullServer()
    pull_server.view_changed(0.0, EPOCH, None, make_cores(cores), is_tail=True)
    members = make_roster(gateways)
    confirmation = Confirmation(EPOCH, 1, b"", 1)
    now = 1.0
    number = 0
    interval_s = PULL_INTERVAL_S / gateways

    def pull_of(member: Member) -> PullReply | None:
        nonlocal number
        number += 1
        held = VersionVector(1, pull_server.versions.hosts, pull_server.versions.roster)
        data = encode_frame(FrameKind.CALL, number, PullRequest(member, held, serving=True))
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
        now += interval_s
        pull_of(members[number % gateways])

    tail_us = processor_us(pull, pulls)
    vector = VersionVector(1, 1, pull_server.versions.roster)
    roster = encode_frame(FrameKind.REPLY, 1, _reply(vector, cores, roster=members))
    return TailPull(gateways, tail_us, len(roster))


def host_list(count: int, cores: int, times: int) -> HostList:
    """Measure a changed list of so many hosts."""
    hosts = make_hosts(count)
    pull_server = PullServer()
    pull_server.view_changed(0.0, EPOCH, None, make_cores(cores), is_tail=True)
    reply = _reply(VersionVector(1, 1, 1), cores, hosts=hosts)
    data = encode_frame(FrameKind.REPLY, 1, reply)
    loop = asyncio.new_event_loop()
    try:
        directory_us = processor_us(_Directory(loop, hosts, make_hosts(count)), times)
        one_us = processor_us(_Directory(loop, hosts, replace_host(hosts, 0, 1)), times)
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
    """Measure a list of so many hosts, of which one is replaced.

    Raises:
        MeasurementError: the tail sent no reply, or the whole list.
    """
    hosts = make_hosts(count)
    members = make_roster(1)
    pull_server = PullServer()
    pull_server.view_changed(0.0, EPOCH, None, make_cores(MAX_VOTERS), is_tail=True)
    pull_server.hosts_listed(0.0, EPOCH, hosts)
    held = VersionVector(1, pull_server.versions.hosts, 0)
    pull_server.hosts_listed(0.0, EPOCH, replace_host(hosts, 0, 1))
    confirmation = Confirmation(EPOCH, 1, b"", 1)

    def reply_to(vector: VersionVector) -> bytes:
        pull_server.pull_received(0.0, 1, PullRequest(members[0], vector, serving=True), delta=True)
        for effect in pull_server.confirmation_received(0.0, 1, confirmation):
            if isinstance(effect, SendDeltaReply):
                return encode_frame(FrameKind.REPLY, 1, effect.reply)
        raise MeasurementError("reply", None)

    data = reply_to(held)
    reply: DeltaPullReply = FrameDecoder().feed(data)[0][2]
    if reply.host_changes is None:
        raise MeasurementError("difference", reply)

    def apply() -> None:
        FrameDecoder().feed(data)
        expand_reply(reply, held.hosts, hosts)

    return HostDifference(
        count,
        processor_us(lambda: reply_to(held), times),
        processor_us(apply, times),
        len(data),
        processor_us(lambda: reply_to(VersionVector()), times),
    )


class _Directory:
    """The data plane's directory of hosts, to which two lists are applied in turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop, *lists: tuple[Host, ...]) -> None:
        """Make a directory, and apply the first list."""
        self._directory = HostDirectory(FleetHostPool(loop, Descriptors(1000)))
        configuration = make_configuration(1, 1)
        snapshots = [Snapshot(VersionVector(1, 1, 1), configuration, hosts, ()) for hosts in lists]
        self._snapshots = itertools.cycle(snapshots)
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
