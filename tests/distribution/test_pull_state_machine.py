"""Pulls of a gateway: choice of the member, timing, snapshots, and the lease on API keys."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from roselink.distribution import pull_state_machine as module
from roselink.distribution.pull_state_machine import (
    ApplySnapshot,
    ConfigurationUnreadable,
    Effect,
    PullStateMachine,
    SendPull,
    SnapshotConfirmed,
)
from roselink.model.fleet import Host, HostState, Member, VersionVector
from roselink.protocol.framing import FrameKind, encode_frame
from roselink.protocol.pull import PullReply, PullRequest

MEMBER = Member("edge-a-1", "10.1.0.16:7500", 7)
SEEDS = (("10.1.0.1", 7500), ("10.2.0.1", 7500), ("10.3.0.1", 7500))
CORES = ("10.1.0.1:7500", "10.9.0.9:7500")


def make_machine(seed: int = 1) -> PullStateMachine:
    return PullStateMachine(MEMBER, SEEDS, random.Random(seed))


def document(generation: int) -> bytes:
    return json.dumps({"generation": generation, "routes": [], "services": []}).encode()


def reply(version: int = 0, hosts_at: int = 0, roster_at: int = 0, **fields: Any) -> PullReply:
    values: dict[str, Any] = {
        "confirmed": True,
        "configuration": document(version) if version else None,
        "hosts": (host("h-1"),) if hosts_at else None,
        "roster": (MEMBER,) if roster_at else None,
        "cores": (),
    }
    return PullReply(vector=VersionVector(version, hosts_at, roster_at), **{**values, **fields})


def host(name: str) -> Host:
    return Host(name, "llm", "10.0.0.1:80", "z", "v1", 4, HostState.READY, 0.0, ())


def send(machine: PullStateMachine, now: float) -> SendPull:
    [effect] = machine.wake(now)
    assert isinstance(effect, SendPull)
    return effect


def exchange(machine: PullStateMachine, now: float, pull_reply: PullReply | None) -> list[Effect]:
    """Send one pull at `now` and deliver its outcome 2 ms later."""
    return machine.reply_received(send(machine, now).call, pull_reply, now + 0.002)


def test_nothing_is_sent_while_a_call_is_in_flight_or_none_is_due() -> None:
    machine = make_machine()
    first = send(machine, 1.0)
    assert machine.wake(1.1) == []
    machine.reply_received(first.call, reply(1, 1), 1.002)
    assert machine.wake(1.01) == []
    low, high = (
        module.PULL_INTERVAL_S * (1 - module.JITTER),
        module.PULL_INTERVAL_S * (1 + module.JITTER),
    )
    assert low <= machine.due_at - 1.002 <= high
    assert send(machine, machine.due_at).address == first.address


def test_first_pulls_are_distributed_over_the_seeds() -> None:
    assert {send(make_machine(seed), 0.0).address for seed in range(20)} == set(SEEDS)


@pytest.mark.parametrize(
    "failure",
    [
        None,
        PullReply(
            confirmed=False,
            vector=VersionVector(),
            configuration=None,
            hosts=None,
            roster=None,
            cores=(),
        ),
    ],
)
def test_after_a_failure_the_next_member_is_tried_immediately(failure: PullReply | None) -> None:
    machine = make_machine()
    addresses = []
    now = 1.0
    for _ in SEEDS:
        call = send(machine, now)
        addresses.append(call.address)
        now += 0.01
        machine.reply_received(call.call, failure, now)
        if len(addresses) < len(SEEDS):
            assert machine.due_at == now
    assert set(addresses) == set(SEEDS)
    assert 0 < machine.due_at - now <= module.INITIAL_BACKOFF_S * (1 + module.JITTER)


def test_repeated_failures_keep_retrying_within_the_backoff_bound() -> None:
    machine = make_machine()
    now = 1.0
    for _ in range(300):
        exchange(machine, now, None)
        assert machine.due_at - now <= 0.002 + module.MAX_BACKOFF_S * (1 + module.JITTER)
        now = max(now + 0.002, machine.due_at)
    assert send(machine, now).timeout_s == module.MAX_TIMEOUT_S
    machine.reply_received(in_flight_number(machine), reply(1), now)
    assert send(machine, machine.due_at).timeout_s == module.TIMEOUT_S


def test_a_late_reply_to_an_earlier_call_is_ignored() -> None:
    """Taken as the reply to the second call, it would extend the lease for outdated content."""
    machine = make_machine()
    first = send(machine, 1.0)
    machine.reply_received(first.call, None, 1.3)
    second = send(machine, machine.due_at)
    assert machine.reply_received(first.call, reply(3, 4), 1.4) == []
    assert machine.snapshot is None
    assert machine.confirmed_at is None
    assert machine.in_flight
    assert machine.reply_received(second.call, reply(3, 4), 1.5) != []
    assert machine.reply_received(second.call, reply(5, 6), 1.6) == []


def in_flight_number(machine: PullStateMachine) -> int:
    assert machine._pending is not None
    return machine._pending.call


def test_members_of_the_core_list_are_tried_before_seeds() -> None:
    machine = make_machine()
    exchange(machine, 1.0, reply(1, cores=("10.9.0.9:7500", "10.9.0.8:7500")))
    addresses = []
    now = machine.due_at
    for _ in range(5):
        addresses.append(send(machine, now).address)
        machine.reply_received(in_flight_number(machine), None, now)
    assert set(addresses[:2]) == {("10.9.0.9", 7500), ("10.9.0.8", 7500)}
    assert set(addresses[2:]) == set(SEEDS)


def test_new_seeds_and_hints_are_tried() -> None:
    machine = make_machine()
    machine.set_seeds([("10.5.0.5", 7500)])
    machine.add_core_hints(["10.6.0.6:7500", "broken"])
    addresses = set()
    for step in range(2):
        addresses.add(send(machine, 1.0 + step).address)
        machine.reply_received(in_flight_number(machine), None, 1.0 + step)
    assert addresses == {("10.5.0.5", 7500), ("10.6.0.6", 7500)}


def test_an_unconfirmed_reply_adds_only_its_core_hints() -> None:
    machine = make_machine()
    pull_reply = reply(3, 4, 5, confirmed=False, cores=("10.7.0.7:7500",))
    assert exchange(machine, 1.0, pull_reply) == []
    assert machine.snapshot is None
    addresses = set()
    for step in range(4):
        addresses.add(send(machine, 2.0 + step).address)
        machine.reply_received(in_flight_number(machine), None, 2.0 + step)
    assert ("10.7.0.7", 7500) in addresses


def test_a_snapshot_needs_a_configuration_and_its_sections_update_independently() -> None:
    machine = make_machine()
    assert exchange(machine, 1.0, reply(0, 4, 5)) == [SnapshotConfirmed(1.0)]
    assert machine.snapshot is None
    [applied, confirmed] = exchange(machine, 2.0, reply(3, 4, 5, hosts=None, roster=None))
    assert isinstance(applied, ApplySnapshot)
    assert confirmed == SnapshotConfirmed(2.0)
    assert applied.snapshot.configuration.generation == 3
    assert applied.snapshot.hosts == (host("h-1"),)
    assert applied.snapshot.roster == (MEMBER,)
    [applied, _] = exchange(machine, 3.0, reply(3, 6, 5, configuration=None, hosts=(), roster=None))
    assert isinstance(applied, ApplySnapshot)
    assert applied.snapshot.vector == VersionVector(3, 6, 5)
    assert applied.snapshot.hosts == ()


@pytest.mark.parametrize(
    ("later", "confirmed"),
    [
        (
            reply(2, 4, 5),
            False,
        ),  # older than the configuration in force: confirms nothing
        (reply(3, 2, 5), True),
        (reply(3, 4, 2), True),
        (reply(3, 0, 0), True),
        (
            reply(9, 4, 5, configuration=None),
            False,
        ),  # names a newer configuration without including it
    ],
)
def test_an_older_version_never_replaces_a_newer_one(later: PullReply, *, confirmed: bool) -> None:
    machine = make_machine()
    exchange(machine, 1.0, reply(3, 4, 5))
    before = machine.snapshot
    effects = exchange(machine, 2.0, later)
    assert machine.snapshot is before
    assert effects == ([SnapshotConfirmed(2.0)] if confirmed else [])
    assert machine.confirmed_at == (2.0 if confirmed else 1.0)
    assert send(machine, 9.0).pull.vector == VersionVector(3, 4, 5)


@pytest.mark.parametrize(
    "bad", [b"", b"{", b"[]", b"null", b'{"generation": 1, "routes": [{"name": "r"}]}', b"\xff"]
)
def test_an_undecodable_configuration_changes_nothing(bad: bytes) -> None:
    machine = make_machine()
    exchange(machine, 1.0, reply(3))
    [effect] = exchange(machine, 2.0, reply(4, configuration=bad))
    assert isinstance(effect, ConfigurationUnreadable)
    assert effect.version == 4
    assert machine.snapshot is not None
    assert machine.snapshot.configuration.generation == 3
    assert machine.confirmed_at == 1.0
    exchange(machine, 3.0, reply(4))
    assert machine.snapshot.configuration.generation == 4


@pytest.mark.parametrize(
    ("now", "strict", "allowed"),
    [
        (1.0, True, True),
        (1.0 + 5 - module.KEY_LEASE_MARGIN_S - 0.001, True, True),
        (1.0 + 5 - module.KEY_LEASE_MARGIN_S, True, False),
        (100.0, True, False),
        (100.0, False, True),
    ],
)
def test_the_key_lease_starts_when_the_last_confirmed_pull_was_sent(
    now: float, *, strict: bool, allowed: bool
) -> None:
    machine = make_machine()
    call = send(machine, 1.0)
    machine.reply_received(call.call, reply(3), 1.25)
    assert machine.may_use_keys(now, 5.0, strict=strict) is allowed


@pytest.mark.parametrize("strict", [True, False])
def test_without_a_snapshot_no_key_may_be_used(*, strict: bool) -> None:
    machine = make_machine()
    assert not machine.may_use_keys(1.0, 5.0, strict=strict)
    exchange(machine, 1.0, reply(0))
    assert not machine.may_use_keys(1.1, 5.0, strict=strict)


def test_replies_to_earlier_or_unknown_calls_are_ignored() -> None:
    machine = make_machine()
    call = send(machine, 1.0)
    machine.reply_received(call.call, None, 1.3)
    assert machine.reply_received(call.call, reply(9), 1.4) == []
    assert machine.reply_received(77, reply(9), 1.4) == []
    assert machine.snapshot is None


def test_pull_soon_advances_the_next_pull() -> None:
    machine = make_machine()
    exchange(machine, 1.0, reply(3, 1))
    machine.pull_soon(1.01)
    assert machine.due_at == 1.01 + module.PULL_SOON_DELAY_S
    machine.pull_soon(1.05)
    assert machine.due_at == 1.01 + module.PULL_SOON_DELAY_S


def test_without_a_host_list_pull_intervals_grow_to_the_normal_interval() -> None:
    machine, now = make_machine(), 1.0
    intervals = []
    for _ in range(8):
        exchange(machine, now, reply(3))
        intervals.append(machine.due_at - now - 0.002)
        now = machine.due_at
    most = 1 + module.JITTER
    assert intervals[0] <= 0.05 * most
    assert sum(intervals[:3]) < module.PULL_INTERVAL_S * most
    assert all(interval <= module.PULL_INTERVAL_S * most for interval in intervals)
    assert all(
        interval >= module.PULL_INTERVAL_S * (1 - module.JITTER) for interval in intervals[5:]
    )
    exchange(machine, now, reply(3, 1))
    assert machine.due_at - now >= module.PULL_INTERVAL_S * (1 - module.JITTER)


def test_a_pull_without_changes_is_below_200_bytes() -> None:
    vector = VersionVector(7, 1 << 33, 1 << 33)
    request = encode_frame(FrameKind.CALL, 1, PullRequest(MEMBER, vector, serving=True))
    pull_reply = encode_frame(
        FrameKind.REPLY,
        1,
        PullReply(
            confirmed=True,
            vector=vector,
            configuration=None,
            hosts=None,
            roster=None,
            cores=tuple(f"10.{n}.0.26:7500" for n in (1, 2, 3)),
        ),
    )
    assert len(request) < 200
    assert len(pull_reply) < 200


def test_random_failures_never_regress_versions_or_extend_the_key_lease() -> None:
    """Versions are acknowledged at known times; replies are late, lost, unconfirmed or old."""
    for seed in range(30):
        rng = random.Random(seed)
        machine = make_machine(seed)
        acknowledged: list[tuple[float, int]] = [(0.0, 1)]
        now, newest = 0.0, 0
        in_flight_call: tuple[SendPull, float] | None = None
        for _ in range(3000):
            now += rng.uniform(0.0, 0.05) if rng.random() > 0.003 else rng.uniform(1, 9)
            if rng.random() < 0.01:
                acknowledged.append((now, acknowledged[-1][1] + rng.randint(1, 3)))
            if in_flight_call is not None and rng.random() < 0.7:
                call, sent_at = in_flight_call
                in_flight_call = None
                known = max(version for at, version in acknowledged if at <= sent_at)
                old = rng.randint(1, known)
                confirmed = rng.random() < 0.5
                pull_reply = reply(known if confirmed else old, confirmed=confirmed)
                machine.reply_received(call.call, None if rng.random() < 0.2 else pull_reply, now)
            for effect in machine.wake(now):
                assert isinstance(effect, SendPull)
                in_flight_call = effect, now
            if machine.snapshot is not None:
                current = machine.snapshot.vector.configuration
                assert current >= newest
                newest = current
                if machine.may_use_keys(now, 5.0, strict=True):
                    assert all(at > now - 5.0 for at, version in acknowledged if version > current)


def test_a_reply_without_the_configuration_it_names_counts_as_failed() -> None:
    machine = make_machine()
    first = send(machine, 1.0)
    effects = machine.reply_received(first.call, reply(5, configuration=None), 1.002)
    assert not any(isinstance(effect, SnapshotConfirmed) for effect in effects)
    assert send(machine, machine.due_at).address != first.address


@pytest.mark.parametrize("malformed", ["", "10.7.0.1", ":7500", "10.7.0.1:", "10.7.0.1:x", "a:٣"])
def test_malformed_core_addresses_are_ignored(malformed: str) -> None:
    machine = make_machine()
    exchange(machine, 1.0, reply(1, 1, 1, cores=(malformed, *CORES)))
    tried = set()
    for _ in range(12):
        call = send(machine, machine.due_at)
        tried.add(f"{call.address[0]}:{call.address[1]}")
        machine.reply_received(call.call, None, machine.due_at + 0.5)
    assert set(CORES) <= tried
    assert all(address.startswith("10.") for address in tried)
    assert malformed not in tried


def test_a_reply_without_core_addresses_keeps_the_known_ones() -> None:
    machine = make_machine()
    exchange(machine, 1.0, reply(1, 1, 1, cores=("10.9.0.9:7500",)))
    exchange(machine, machine.due_at, reply(1, 1, 1, cores=()))
    tried = set()
    for _ in range(12):
        call = send(machine, machine.due_at)
        tried.add(call.address)
        machine.reply_received(call.call, None, machine.due_at + 0.5)
    assert ("10.9.0.9", 7500) in tried
