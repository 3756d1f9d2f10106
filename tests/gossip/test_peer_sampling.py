"""Exchanges of views between gateways, and the effects of the digests received."""

from __future__ import annotations

import random

import pytest

from roselink.gossip import peer_sampling as module
from roselink.gossip.peer_sampling import (
    CoreAddressesLearned,
    NewerVersionLearned,
    PeerSampling,
    SendShuffleRequest,
)
from roselink.model.fleet import Member, VersionVector
from roselink.protocol.framing import FrameKind, encode_frame
from roselink.protocol.gossip import GossipDigest, ShuffleReply, ShuffleRequest, ViewEntry

OWN = Member("own", "10.0.0.1:7500", 1)
OTHERS = [Member(f"edge-{number}", f"10.0.1.{number}:7500", number) for number in range(30)]
CORES = ("10.1.0.1:7500",)
OLD_DIGEST = GossipDigest(VersionVector(), (), 10**9)


def make_view(known: int = 3) -> PeerSampling:
    view = PeerSampling(OWN, random.Random(1))
    view.add_members(OTHERS[:known])
    view.pull_confirmed(VersionVector(2, 2, 2), CORES, 10.0)
    return view


def names(view: PeerSampling) -> set[str]:
    return {entry.member.name for entry in view.view}


def test_a_view_is_bounded_and_excludes_the_own_gateway() -> None:
    view = PeerSampling(OWN, random.Random(1))
    view.add_members([OWN, *OTHERS])
    assert len(view.view) == module.VIEW_SIZE
    assert "own" not in names(view)
    view.request_received(
        ShuffleRequest(tuple(ViewEntry(member, 0) for member in [OWN, *OTHERS]), OLD_DIGEST), 10.0
    )
    assert len(view.view) == module.VIEW_SIZE
    assert "own" not in names(view)


def test_the_oldest_entry_becomes_the_partner_and_is_removed_without_a_reply() -> None:
    view = make_view(1)
    view.request_received(
        ShuffleRequest((ViewEntry(OTHERS[1], 7), ViewEntry(OTHERS[2], 3)), OLD_DIGEST), 10.0
    )
    [effect] = view.wake(10.0)
    assert isinstance(effect, SendShuffleRequest)
    assert effect.address == OTHERS[1].address
    assert effect.shuffle.entries[0] == ViewEntry(OWN, 0)
    assert names(view) == {"edge-0", "edge-2"}
    assert view.reply_received(None, 10.5) == []
    assert names(view) == {"edge-0", "edge-2"}


def test_entries_of_a_reply_replace_those_that_were_sent() -> None:
    view = make_view(8)
    [effect] = view.wake(10.0)
    assert isinstance(effect, SendShuffleRequest)
    view.reply_received(
        ShuffleReply(tuple(ViewEntry(member, 1) for member in OTHERS[20:24]), OLD_DIGEST), 10.01
    )
    assert len(view.view) == module.VIEW_SIZE
    assert {"edge-20", "edge-21", "edge-22", "edge-23"} <= names(view)


def test_a_younger_entry_replaces_an_older_one() -> None:
    view = make_view(1)
    restarted = Member(OTHERS[0].name, OTHERS[0].address, 99)
    view.wake(10.0)
    view.request_received(ShuffleRequest((ViewEntry(OTHERS[0], 5),), OLD_DIGEST), 10.0)
    view.request_received(ShuffleRequest((ViewEntry(restarted, 0),), OLD_DIGEST), 10.0)
    view.request_received(ShuffleRequest((ViewEntry(OTHERS[0], 3),), OLD_DIGEST), 10.0)
    assert view.view == (ViewEntry(restarted, 0),)


def test_exchanges_are_rare_while_pulls_are_confirmed_and_frequent_otherwise() -> None:
    view = make_view()
    times = []
    now = 10.0
    while now < 130.0:
        if now < 70.0:
            view.pull_confirmed(VersionVector(2, 2, 2), CORES, now)
        if view.wake(now):
            times.append(now)
            view.reply_received(
                ShuffleReply(tuple(ViewEntry(member, 0) for member in OTHERS[:3]), OLD_DIGEST), now
            )
        now += 0.5
    assert len([at for at in times if at < 70]) == pytest.approx(6, abs=2)
    assert len([at for at in times if at >= 72]) == pytest.approx(50, abs=12)


@pytest.mark.parametrize(
    ("digest", "learned"),
    [
        (OLD_DIGEST, []),
        (GossipDigest(VersionVector(2, 2, 2), CORES, 0), []),
        (GossipDigest(VersionVector(3, 2, 2), CORES, 0), [NewerVersionLearned()]),
        (GossipDigest(VersionVector(2, 3, 2), (), 0), [NewerVersionLearned()]),
        (GossipDigest(VersionVector(1, 2, 3), (), 0), [NewerVersionLearned()]),
        (GossipDigest(VersionVector(1, 1, 1), CORES, 0), []),
    ],
)
def test_a_digest_with_a_newer_version_is_reported(
    digest: GossipDigest, learned: list[object]
) -> None:
    assert make_view().request_received(ShuffleRequest((), digest), 10.5)[1] == learned


@pytest.mark.parametrize(("age_ms", "learned"), [(100, True), (3000, True), (6000, False)])
def test_core_addresses_are_adopted_from_a_peer_with_a_later_confirmation(
    age_ms: int, *, learned: bool
) -> None:
    digest = GossipDigest(VersionVector(), ("10.9.9.9:7500",), age_ms)
    effects = make_view().request_received(ShuffleRequest((), digest), 15.0)[1]
    assert effects == ([CoreAddressesLearned(("10.9.9.9:7500",))] if learned else [])


def test_views_stay_connected_and_drop_failed_gateways() -> None:
    rng = random.Random(3)
    members = OTHERS[:20]
    views = {
        member.address: PeerSampling(member, random.Random(member.incarnation))
        for member in members
    }
    for index, member in enumerate(members):  # initially each view has the next member only: a ring
        views[member.address].add_members([members[(index + 1) % len(members)]])
    now = 0.0
    dead: set[str] = set()
    for step in range(6000):
        now += 0.02
        if step == 3000:
            dead = {member.address for member in members[:8]}
        address = rng.choice([member.address for member in members if member.address not in dead])
        for effect in views[address].wake(now):
            assert isinstance(effect, SendShuffleRequest)
            if effect.address in dead:
                views[address].reply_received(None, now)
            else:
                reply, _ = views[effect.address].request_received(effect.shuffle, now)
                views[address].reply_received(reply, now)
    alive = [member for member in members if member.address not in dead]
    reached, frontier = {alive[0].address}, [alive[0].address]
    while frontier:
        for entry in views[frontier.pop()].view:
            if entry.member.address not in reached | dead:
                reached.add(entry.member.address)
                frontier.append(entry.member.address)
    assert reached == {member.address for member in alive}
    stale = sum(
        entry.member.address in dead for member in alive for entry in views[member.address].view
    )
    assert stale <= 0.1 * len(alive) * module.VIEW_SIZE


def test_traffic_while_pulls_are_confirmed_is_below_200_bytes_per_second() -> None:
    entries = tuple(
        ViewEntry(Member("edge-zg-maksimir-1", "10.1.0.16:7500", 2**55), 3) for _ in range(4)
    )
    digest = GossipDigest(
        VersionVector(9, 9, 9), tuple(f"10.{n}.0.26:7500" for n in (1, 2, 3)), 100
    )
    size = len(encode_frame(FrameKind.CALL, 1, ShuffleRequest(entries, digest))) + len(
        encode_frame(FrameKind.REPLY, 1, ShuffleReply(entries, digest))
    )
    assert (
        2 * size / module.CONFIRMED_INTERVAL_S < 200
    )  # bytes per second, own and peers' exchanges, sent and received
    assert size / module.CONFIRMED_INTERVAL_S < 100
