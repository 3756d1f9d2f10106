"""Costs of pulls without a network: at a gateway, at the tail, and of a host change at both.

Frames are encoded and decoded as on the wire. The confirmed read by the tail and its voters is not
included.
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
from roselink.coordination.voter_plan import MAX_VOTERS
from roselink.dataplane.fleet_host_pool import FleetHostPool
from roselink.dataplane.host_directory import HostDirectory
from roselink.distribution.host_changes import expand_reply
from roselink.distribution.pull_state_machine import PULL_INTERVAL_S, PullStateMachine, SendPull
from roselink.http.descriptors import Descriptors
from roselink.model.fleet import Host, Member, Snapshot, VersionVector
from roselink.protocol.framing import FrameDecoder, FrameKind, encode_frame
from roselink.protocol.pull import DeltaPullReply, PullReply, PullRequest
from tools.exceptions import MeasurementError
from tools.measure import describe_machine, heap_bytes, print_fit, print_table, processor_us
from tools.synthetic_fleet import (
    make_configuration,
    make_core_addresses,
    make_hosts,
    make_member,
    make_roster,
    replace_host,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

HOST_COUNTS = (60, 600, 3_000, 12_000)
GATEWAY_COUNTS = (6, 60, 175, 350)
CORE_SIZES = (3, 9, 54)
PULL_COUNT = 500
REPETITIONS = 3
EPOCH = 1


@dataclass(frozen=True, slots=True)
class UnchangedPull:
    """Cost at a gateway of a pull without changes.

    Attributes:
        cores: number of core members, all of which each reply lists.
        gateway_us: processor time, in microseconds.
        pull_bytes: size of the request.
        reply_bytes: size of the reply.
    """

    cores: int
    gateway_us: float
    pull_bytes: int
    reply_bytes: int


@dataclass(frozen=True, slots=True)
class TailPull:
    """Cost at the tail of a pull without changes, and the size of a reply with the roster."""

    gateways: int
    tail_us: float
    roster_bytes: int


@dataclass(frozen=True, slots=True)
class FullListCost:
    """Cost of a full host list from the tail to a gateway's data plane; times in microseconds.

    Attributes:
        hosts: number of hosts.
        publish_us: publishing the list at the tail.
        encode_us: encoding the reply for one gateway.
        decode_us: decoding the reply at a gateway.
        apply_us: applying the list in the data plane, with new objects for all hosts.
        apply_one_us: applying a list with one replaced host in the data plane.
        reply_bytes: size of the reply.
        gateway_heap_bytes: heap size of the list and the data plane's host directory.
    """

    hosts: int
    publish_us: float
    encode_us: float
    decode_us: float
    apply_us: float
    apply_one_us: float
    reply_bytes: int
    gateway_heap_bytes: int


@dataclass(frozen=True, slots=True)
class HostDeltaCost:
    """Cost of one replaced host that is sent as a delta; times in microseconds.

    Attributes:
        hosts: number of hosts in the list.
        tail_us: replying with the delta at the tail, to each gateway after the first.
        gateway_us: decoding the delta and expanding it to the new list at a gateway.
        reply_bytes: size of the reply.
        full_list_us: replying with the full list at the tail, to each gateway after the first.
    """

    hosts: int
    tail_us: float
    gateway_us: float
    reply_bytes: int
    full_list_us: float


def _reply(
    vector: VersionVector,
    cores: int,
    *,
    hosts: tuple[Host, ...] | None = None,
    roster: tuple[Member, ...] | None = None,
) -> PullReply:
    """Return a confirmed reply without a configuration, from a core with `cores` members."""
    return PullReply(
        confirmed=True,
        vector=vector,
        configuration=None,
        hosts=hosts,
        roster=roster,
        cores=make_core_addresses(cores),
    )


def unchanged_pull(cores: int, pulls: int) -> UnchangedPull:
    """Measure a gateway that pulls from a core without changes."""
    pull_state = PullStateMachine(make_member(1), [("10.2.0.1", 7500)], random.Random(1))
    vector = VersionVector(1, EPOCH << 32 | 1, EPOCH << 32 | 1)
    reply = encode_frame(FrameKind.REPLY, 1, _reply(vector, cores))
    pull_bytes = len(
        encode_frame(FrameKind.CALL, 1, PullRequest(make_member(1), vector, serving=True))
    )
    decoder = FrameDecoder()
    now = 0.0

    def pull() -> None:
        nonlocal now
        now = max(now + PULL_INTERVAL_S, pull_state.due_at)
        for effect in pull_state.wake(now):
            if isinstance(effect, SendPull):
                encode_frame(FrameKind.CALL, effect.call, effect.pull)
                for _, _, decoded in decoder.feed(reply):
                    pull_state.reply_received(effect.call, decoded, now + 0.003)

    return UnchangedPull(cores, processor_us(pull, pulls), pull_bytes, len(reply))


def tail_pull(gateways: int, cores: int, pulls: int) -> TailPull:
    """Measure the tail with `gateways` gateways, each of which has pulled recently."""
    pull_server = PullServer()
    pull_server.view_changed(0.0, EPOCH, None, make_core_addresses(cores), is_tail=True)
    members = make_roster(gateways)
    confirmation = Confirmation(EPOCH, 1, b"", 1)
    now = 1.0
    number = 0
    interval_s = PULL_INTERVAL_S / gateways

    def handle_pull(member: Member) -> PullReply | None:
        nonlocal number
        number += 1
        known_vector = VersionVector(1, pull_server.versions.hosts, pull_server.versions.roster)
        data = encode_frame(FrameKind.CALL, number, PullRequest(member, known_vector, serving=True))
        for _, _, message in FrameDecoder().feed(data):
            pull_server.pull_received(now, number, message)
        for effect in pull_server.confirmation_received(now, number, confirmation):
            if isinstance(effect, SendReply):
                encode_frame(FrameKind.REPLY, effect.number, effect.reply)
                return effect.reply
        return None

    for member in members * 2:
        handle_pull(member)

    def pull() -> None:
        nonlocal now
        now += interval_s
        handle_pull(members[number % gateways])

    tail_us = processor_us(pull, pulls)
    vector = VersionVector(1, 1, pull_server.versions.roster)
    roster = encode_frame(FrameKind.REPLY, 1, _reply(vector, cores, roster=members))
    return TailPull(gateways, tail_us, len(roster))


def full_list_cost(count: int, cores: int, repetitions: int) -> FullListCost:
    """Measure a changed list of `count` hosts."""
    hosts = make_hosts(count)
    pull_server = PullServer()
    pull_server.view_changed(0.0, EPOCH, None, make_core_addresses(cores), is_tail=True)
    reply = _reply(VersionVector(1, 1, 1), cores, hosts=hosts)
    data = encode_frame(FrameKind.REPLY, 1, reply)
    loop = asyncio.new_event_loop()
    try:
        apply_us = processor_us(_DirectoryUpdate(loop, hosts, make_hosts(count)), repetitions)
        apply_one_us = processor_us(
            _DirectoryUpdate(loop, hosts, replace_host(hosts, 0, 1)), repetitions
        )
        gateway_heap_bytes = heap_bytes(lambda: _directory_from_frame(loop, data))
    finally:
        loop.close()
    return FullListCost(
        count,
        processor_us(lambda: pull_server.hosts_listed(1.0, EPOCH, hosts), repetitions),
        processor_us(lambda: encode_frame(FrameKind.REPLY, 1, reply), repetitions),
        processor_us(lambda: FrameDecoder().feed(data), repetitions),
        apply_us,
        apply_one_us,
        len(data),
        gateway_heap_bytes,
    )


def host_delta_cost(count: int, repetitions: int) -> HostDeltaCost:
    """Measure a list of `count` hosts of which one is replaced.

    Raises:
        MeasurementError: the tail sent no delta reply, or one with the full list.
    """
    hosts = make_hosts(count)
    members = make_roster(1)
    pull_server = PullServer()
    pull_server.view_changed(0.0, EPOCH, None, make_core_addresses(MAX_VOTERS), is_tail=True)
    pull_server.hosts_listed(0.0, EPOCH, hosts)
    known_vector = VersionVector(1, pull_server.versions.hosts, 0)
    pull_server.hosts_listed(0.0, EPOCH, replace_host(hosts, 0, 1))
    confirmation = Confirmation(EPOCH, 1, b"", 1)

    def reply_frame_to(vector: VersionVector) -> bytes:
        pull_server.pull_received(0.0, 1, PullRequest(members[0], vector, serving=True), delta=True)
        for effect in pull_server.confirmation_received(0.0, 1, confirmation):
            if isinstance(effect, SendDeltaReply):
                return encode_frame(FrameKind.REPLY, 1, effect.reply)
        raise MeasurementError("pull", None)

    data = reply_frame_to(known_vector)
    reply: DeltaPullReply = FrameDecoder().feed(data)[0][2]
    if reply.host_changes is None:
        raise MeasurementError("delta", reply)

    def apply_delta() -> None:
        FrameDecoder().feed(data)
        expand_reply(reply, known_vector.hosts, hosts)

    return HostDeltaCost(
        count,
        processor_us(lambda: reply_frame_to(known_vector), repetitions),
        processor_us(apply_delta, repetitions),
        len(data),
        processor_us(lambda: reply_frame_to(VersionVector()), repetitions),
    )


class _DirectoryUpdate:
    """Applies the given host lists in turn to a directory of the data plane."""

    def __init__(self, loop: asyncio.AbstractEventLoop, *lists: tuple[Host, ...]) -> None:
        """Create a directory and apply the first list."""
        self._directory = HostDirectory(FleetHostPool(loop, Descriptors(1000)))
        configuration = make_configuration(1, 1)
        snapshots = [Snapshot(VersionVector(1, 1, 1), configuration, hosts, ()) for hosts in lists]
        self._snapshots = itertools.cycle(snapshots)
        self()

    def __call__(self) -> None:
        self._directory.update(next(self._snapshots))


def _directory_from_frame(loop: asyncio.AbstractEventLoop, data: bytes) -> _DirectoryUpdate:
    reply = FrameDecoder().feed(data)[0][2]
    return _DirectoryUpdate(loop, reply.hosts)


def main(
    sizes: Sequence[int] = HOST_COUNTS,
    gateways: Sequence[int] = GATEWAY_COUNTS,
    cores: Sequence[int] = CORE_SIZES,
    pulls: int = PULL_COUNT,
    repetitions: int = REPETITIONS,
) -> None:
    """Measure and print all four costs."""
    print(describe_machine())
    unchanged = [unchanged_pull(count, pulls) for count in cores]
    columns: tuple[str, ...] = ("core members", "gateway us", "pull bytes", "reply bytes")
    print_table(
        "A pull without changes",
        columns,
        [(cost.cores, cost.gateway_us, cost.pull_bytes, cost.reply_bytes) for cost in unchanged],
    )
    print_fit("gateway", "us", "core member", [(cost.cores, cost.gateway_us) for cost in unchanged])
    print_fit(
        "reply", "bytes", "core member", [(cost.cores, cost.reply_bytes) for cost in unchanged]
    )
    tails = [tail_pull(count, MAX_VOTERS, pulls) for count in gateways]
    columns = ("gateways", "tail us", "reply bytes with roster")
    print_table(
        "A pull at the tail",
        columns,
        [(cost.gateways, cost.tail_us, cost.roster_bytes) for cost in tails],
    )
    print_fit("tail", "us", "gateway", [(cost.gateways, cost.tail_us) for cost in tails])
    print_fit("roster", "bytes", "gateway", [(cost.gateways, cost.roster_bytes) for cost in tails])
    lists = [full_list_cost(count, MAX_VOTERS, repetitions) for count in sizes]
    columns = (
        "hosts",
        "publish at tail us",
        "encode at tail us",
        "decode at gateway us",
        "apply us",
        "apply one host us",
        "reply bytes",
        "heap bytes",
    )
    print_table(
        "A changed host list",
        columns,
        [
            (
                cost.hosts,
                cost.publish_us,
                cost.encode_us,
                cost.decode_us,
                cost.apply_us,
                cost.apply_one_us,
                cost.reply_bytes,
                cost.gateway_heap_bytes,
            )
            for cost in lists
        ],
    )
    print_fit(
        "published at the tail", "us", "host", [(cost.hosts, cost.publish_us) for cost in lists]
    )
    print_fit("encoded at the tail", "us", "host", [(cost.hosts, cost.encode_us) for cost in lists])
    print_fit(
        "decoded at a gateway", "us", "host", [(cost.hosts, cost.decode_us) for cost in lists]
    )
    print_fit(
        "applied in the data plane", "us", "host", [(cost.hosts, cost.apply_us) for cost in lists]
    )
    print_fit(
        "one replaced host applied",
        "us",
        "host",
        [(cost.hosts, cost.apply_one_us) for cost in lists],
    )
    print_fit("reply", "bytes", "host", [(cost.hosts, cost.reply_bytes) for cost in lists])
    print_fit(
        "list and directory",
        "bytes",
        "host",
        [(cost.hosts, cost.gateway_heap_bytes) for cost in lists],
    )
    deltas = [host_delta_cost(count, repetitions) for count in sizes]
    columns = ("hosts", "tail us", "gateway us", "reply bytes", "full list at tail us")
    print_table(
        "One replaced host, sent as a delta",
        columns,
        [
            (cost.hosts, cost.tail_us, cost.gateway_us, cost.reply_bytes, cost.full_list_us)
            for cost in deltas
        ],
    )
    print_fit("delta at the tail", "us", "host", [(cost.hosts, cost.tail_us) for cost in deltas])
    print_fit(
        "delta at a gateway", "us", "host", [(cost.hosts, cost.gateway_us) for cost in deltas]
    )
    print_fit(
        "full list at the tail", "us", "host", [(cost.hosts, cost.full_list_us) for cost in deltas]
    )


if __name__ == "__main__":
    main()
