"""Whom a gateway pulls from and when, what comes into force, and how long keys may be used."""

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


def machine(seed: int = 1) -> PullStateMachine:
    return PullStateMachine(MEMBER, SEEDS, random.Random(seed))


def document(generation: int) -> bytes:
    return json.dumps({"generation": generation, "routes": [], "services": []}).encode()


def reply(version: int = 0, hosts_at: int = 0, roster_at: int = 0, **parts: Any) -> PullReply:
    values: dict[str, Any] = {
        "confirmed": True,
        "configuration": document(version) if version else None,
        "hosts": (host("h-1"),) if hosts_at else None,
        "roster": (MEMBER,) if roster_at else None,
        "cores": (),
    }
    return PullReply(vector=VersionVector(version, hosts_at, roster_at), **{**values, **parts})


def host(name: str) -> Host:
    return Host(name, "llm", "10.0.0.1:80", "z", "v1", 4, HostState.READY, 0.0, ())


def send(pulls: PullStateMachine, now: float) -> SendPull:
    [effect] = pulls.wake(now)
    assert isinstance(effect, SendPull)
    return effect


def exchange(pulls: PullStateMachine, now: float, answer: PullReply | None) -> list[Effect]:
    """One pull, sent at `now`, and its outcome 2 ms later."""
    return pulls.reply_received(send(pulls, now).call, answer, now + 0.002)


def test_nothing_is_sent_while_a_call_is_in_flight_or_none_is_due() -> None:
    pulls = machine()
    first = send(pulls, 1.0)
    assert pulls.wake(1.1) == []
    pulls.reply_received(first.call, reply(1, 1), 1.002)
    assert pulls.wake(1.01) == []
    low, high = (
        module.PULL_INTERVAL_S * (1 - module.JITTER),
        module.PULL_INTERVAL_S * (1 + module.JITTER),
    )
    assert low <= pulls.due_at - 1.002 <= high
    assert send(pulls, pulls.due_at).address == first.address


def test_gateways_spread_over_the_seeds() -> None:
    assert {send(machine(seed), 0.0).address for seed in range(20)} == set(SEEDS)


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
def test_after_a_failure_the_next_member_is_tried_at_once(failure: PullReply | None) -> None:
    pulls = machine()
    addresses = []
    now = 1.0
    for _ in SEEDS:
        call = send(pulls, now)
        addresses.append(call.address)
        now += 0.01
        pulls.reply_received(call.call, failure, now)
        if len(addresses) < len(SEEDS):
            assert pulls.due_at == now
    assert set(addresses) == set(SEEDS)
    assert 0 < pulls.due_at - now <= module.INITIAL_BACKOFF_S * (1 + module.JITTER)


def test_it_never_gives_up_and_waits_no_longer_than_the_bound() -> None:
    pulls = machine()
    now = 1.0
    for _ in range(300):
        exchange(pulls, now, None)
        assert pulls.due_at - now <= 0.002 + module.MAX_BACKOFF_S * (1 + module.JITTER)
        now = max(now + 0.002, pulls.due_at)
    assert send(pulls, now).timeout_s == module.MAX_TIMEOUT_S
    pulls.reply_received(send_number(pulls), reply(1), now)
    assert send(pulls, pulls.due_at).timeout_s == module.TIMEOUT_S


def test_a_late_reply_of_an_earlier_call_is_not_taken() -> None:
    """Its content may be older than what its number says, were it counted from the second call's
    sending.
    """
    pulls = machine()
    first = send(pulls, 1.0)
    pulls.reply_received(first.call, None, 1.3)
    second = send(pulls, pulls.due_at)
    assert pulls.reply_received(first.call, reply(3, 4), 1.4) == []
    assert pulls.snapshot is None
    assert pulls.confirmed_at is None
    assert pulls.in_flight
    assert pulls.reply_received(second.call, reply(3, 4), 1.5) != []
    assert pulls.reply_received(second.call, reply(5, 6), 1.6) == []


def send_number(pulls: PullStateMachine) -> int:
    assert pulls._pending is not None
    return pulls._pending.call


def test_the_cores_own_list_comes_first_and_seeds_are_the_last_resort() -> None:
    pulls = machine()
    exchange(pulls, 1.0, reply(1, cores=("10.9.0.9:7500", "10.9.0.8:7500")))
    addresses = []
    now = pulls.due_at
    for _ in range(5):
        addresses.append(send(pulls, now).address)
        pulls.reply_received(send_number(pulls), None, now)
    assert set(addresses[:2]) == {("10.9.0.9", 7500), ("10.9.0.8", 7500)}
    assert set(addresses[2:]) == set(SEEDS)


def test_new_seeds_and_hints_are_tried_too() -> None:
    pulls = machine()
    pulls.set_seeds([("10.5.0.5", 7500)])
    pulls.add_core_hints(["10.6.0.6:7500", "broken"])
    addresses = set()
    for step in range(2):
        addresses.add(send(pulls, 1.0 + step).address)
        pulls.reply_received(send_number(pulls), None, 1.0 + step)
    assert addresses == {("10.5.0.5", 7500), ("10.6.0.6", 7500)}


def test_an_unconfirmed_reply_counts_for_its_hints_only() -> None:
    pulls = machine()
    answer = reply(3, 4, 5, confirmed=False, cores=("10.7.0.7:7500",))
    assert exchange(pulls, 1.0, answer) == []
    assert pulls.snapshot is None
    addresses = set()
    for step in range(4):
        addresses.add(send(pulls, 2.0 + step).address)
        pulls.reply_received(send_number(pulls), None, 2.0 + step)
    assert ("10.7.0.7", 7500) in addresses


def test_a_snapshot_needs_a_configuration_and_each_part_moves_by_itself() -> None:
    pulls = machine()
    assert exchange(pulls, 1.0, reply(0, 4, 5)) == [SnapshotConfirmed(1.0)]
    assert pulls.snapshot is None
    [applied, confirmed] = exchange(pulls, 2.0, reply(3, 4, 5, hosts=None, roster=None))
    assert isinstance(applied, ApplySnapshot)
    assert confirmed == SnapshotConfirmed(2.0)
    assert applied.snapshot.configuration.generation == 3
    assert applied.snapshot.hosts == (host("h-1"),)
    assert applied.snapshot.roster == (MEMBER,)
    [applied, _] = exchange(pulls, 3.0, reply(3, 6, 5, configuration=None, hosts=(), roster=None))
    assert isinstance(applied, ApplySnapshot)
    assert applied.snapshot.vector == VersionVector(3, 6, 5)
    assert applied.snapshot.hosts == ()


@pytest.mark.parametrize(
    ("later", "confirmed"),
    [
        (
            reply(2, 4, 5),
            False,
        ),  # an older configuration than is in force here: no confirmation of it
        (reply(3, 2, 5), True),
        (reply(3, 4, 2), True),
        (reply(3, 0, 0), True),
        (
            reply(9, 4, 5, configuration=None),
            False,
        ),  # it names a newer one, and lacks it
    ],
)
def test_nothing_moves_back(later: PullReply, *, confirmed: bool) -> None:
    pulls = machine()
    exchange(pulls, 1.0, reply(3, 4, 5))
    before = pulls.snapshot
    effects = exchange(pulls, 2.0, later)
    assert pulls.snapshot is before
    assert effects == ([SnapshotConfirmed(2.0)] if confirmed else [])
    assert pulls.confirmed_at == (2.0 if confirmed else 1.0)
    assert send(pulls, 9.0).pull.vector == VersionVector(3, 4, 5)


@pytest.mark.parametrize(
    "bad", [b"", b"{", b"[]", b"null", b'{"generation": 1, "routes": [{"name": "r"}]}', b"\xff"]
)
def test_a_configuration_that_cannot_be_read_changes_nothing(bad: bytes) -> None:
    pulls = machine()
    exchange(pulls, 1.0, reply(3))
    [effect] = exchange(pulls, 2.0, reply(4, configuration=bad))
    assert isinstance(effect, ConfigurationUnreadable)
    assert effect.version == 4
    assert pulls.snapshot is not None
    assert pulls.snapshot.configuration.generation == 3
    assert pulls.confirmed_at == 1.0
    exchange(pulls, 3.0, reply(4))
    assert pulls.snapshot.configuration.generation == 4


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
def test_keys_may_be_used_for_a_time_from_the_sending_of_the_last_confirmed_pull(
    now: float, *, strict: bool, allowed: bool
) -> None:
    pulls = machine()
    call = send(pulls, 1.0)
    pulls.reply_received(call.call, reply(3), 1.25)
    assert pulls.may_use_keys(now, 5.0, strict=strict) is allowed


@pytest.mark.parametrize("strict", [True, False])
def test_without_a_snapshot_no_key_is_good(*, strict: bool) -> None:
    pulls = machine()
    assert not pulls.may_use_keys(1.0, 5.0, strict=strict)
    exchange(pulls, 1.0, reply(0))
    assert not pulls.may_use_keys(1.1, 5.0, strict=strict)


def test_late_and_foreign_replies_are_ignored() -> None:
    pulls = machine()
    call = send(pulls, 1.0)
    pulls.reply_received(call.call, None, 1.3)
    assert pulls.reply_received(call.call, reply(9), 1.4) == []
    assert pulls.reply_received(77, reply(9), 1.4) == []
    assert pulls.snapshot is None


def test_pull_soon_brings_the_next_pull_forward() -> None:
    pulls = machine()
    exchange(pulls, 1.0, reply(3, 1))
    pulls.pull_soon(1.01)
    assert pulls.due_at == 1.01 + module.PULL_SOON_DELAY_S
    pulls.pull_soon(1.05)
    assert pulls.due_at == 1.01 + module.PULL_SOON_DELAY_S


def test_without_any_list_of_hosts_the_next_pulls_come_soon_and_then_at_the_ordinary_pace() -> None:
    pulls, now = machine(), 1.0
    pauses = []
    for _ in range(8):
        exchange(pulls, now, reply(3))
        pauses.append(pulls.due_at - now - 0.002)
        now = pulls.due_at
    most = 1 + module.JITTER
    assert pauses[0] <= 0.05 * most
    assert sum(pauses[:3]) < module.PULL_INTERVAL_S * most
    assert all(pause <= module.PULL_INTERVAL_S * most for pause in pauses)
    assert all(pause >= module.PULL_INTERVAL_S * (1 - module.JITTER) for pause in pauses[5:])
    exchange(pulls, now, reply(3, 1))
    assert pulls.due_at - now >= module.PULL_INTERVAL_S * (1 - module.JITTER)


def test_a_pull_with_nothing_new_is_small() -> None:
    vector = VersionVector(7, 1 << 33, 1 << 33)
    request = encode_frame(FrameKind.CALL, 1, PullRequest(MEMBER, vector, serving=True))
    answer = encode_frame(
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
    assert len(answer) < 200


def test_a_play_with_random_failures_never_regresses_and_never_outlives_its_lease() -> None:
    """An operator's versions, acknowledged at known moments; replies late, lost, unconfirmed or
    old.
    """
    for seed in range(30):
        rng = random.Random(seed)
        pulls = machine(seed)
        acknowledged: list[tuple[float, int]] = [(0.0, 1)]
        now, newest = 0.0, 0
        open_call: tuple[SendPull, float] | None = None
        for _ in range(3000):
            now += rng.uniform(0.0, 0.05) if rng.random() > 0.003 else rng.uniform(1, 9)
            if rng.random() < 0.01:
                acknowledged.append((now, acknowledged[-1][1] + rng.randint(1, 3)))
            if open_call is not None and rng.random() < 0.7:
                call, sent_at = open_call
                open_call = None
                known = max(version for at, version in acknowledged if at <= sent_at)
                old = rng.randint(1, known)
                confirmed = rng.random() < 0.5
                answer = reply(known if confirmed else old, confirmed=confirmed)
                pulls.reply_received(call.call, None if rng.random() < 0.2 else answer, now)
            for effect in pulls.wake(now):
                assert isinstance(effect, SendPull)
                open_call = effect, now
            if pulls.snapshot is not None:
                current = pulls.snapshot.vector.configuration
                assert current >= newest
                newest = current
                if pulls.may_use_keys(now, 5.0, strict=True):
                    assert all(at > now - 5.0 for at, version in acknowledged if version > current)


def test_a_reply_that_names_a_version_and_lacks_it_counts_as_failed() -> None:
    pulls = machine()
    first = send(pulls, 1.0)
    effects = pulls.reply_received(first.call, reply(5, configuration=None), 1.002)
    assert not any(isinstance(effect, SnapshotConfirmed) for effect in effects)
    assert send(pulls, pulls.due_at).address != first.address


@pytest.mark.parametrize("malformed", ["", "10.7.0.1", ":7500", "10.7.0.1:", "10.7.0.1:x", "a:٣"])
def test_a_malformed_address_of_a_member_is_left_out(malformed: str) -> None:
    pulls = machine()
    exchange(pulls, 1.0, reply(1, 1, 1, cores=(malformed, *CORES)))
    asked = set()
    for _ in range(12):
        call = send(pulls, pulls.due_at)
        asked.add(f"{call.address[0]}:{call.address[1]}")
        pulls.reply_received(call.call, None, pulls.due_at + 0.5)
    assert set(CORES) <= asked
    assert all(address.startswith("10.") for address in asked)
    assert malformed not in asked


def test_a_reply_without_members_keeps_those_that_are_known() -> None:
    pulls = machine()
    exchange(pulls, 1.0, reply(1, 1, 1, cores=("10.9.0.9:7500",)))
    exchange(pulls, pulls.due_at, reply(1, 1, 1, cores=()))
    asked = set()
    for _ in range(12):
        call = send(pulls, pulls.due_at)
        asked.add(call.address)
        pulls.reply_received(call.call, None, pulls.due_at + 0.5)
    assert ("10.9.0.9", 7500) in asked
