"""The draw of two, its scores, and how affinity shapes it."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from roselink.routing.affinity import PrefixCacheTracker
from roselink.routing.host_choice import HostChooser
from roselink.routing.host_record import HostRecord, new_host_record
from roselink.routing.ready_hosts import ReadyHosts
from roselink.routing.ring import HashRing
from tests.routing.builders import FACTS, host, prompt

if TYPE_CHECKING:
    from roselink.routing.events_and_actions import (
        RequestFacts,
    )

PLAIN = FACTS
MODEL = replace(FACTS, affinity=True, prompt=prompt("group", "session", "own"), tokens_in=3000)


def ready_of(*states: HostRecord) -> ReadyHosts:
    ready = ReadyHosts()
    ready.replace(list(states))
    return ready


def ready_hosts(count: int, zone: str = "z") -> ReadyHosts:
    return ready_of(*(new_host_record(host(f"h{n}", zone=zone)) for n in range(count)))


def chooser(
    seed: int = 1, zone: str = "z", memory: PrefixCacheTracker | None = None
) -> HostChooser:
    return HostChooser(zone, random.Random(seed), memory or PrefixCacheTracker())


def picked(
    ready: ReadyHosts, facts: RequestFacts, seed: int = 1, times: int = 2000
) -> dict[str, int]:
    choose = chooser(seed)
    counts = dict.fromkeys((h.spec.id for h in ready.hosts), 0)
    for _ in range(times):
        found = choose.pick(ready, facts, (), 0.0)
        assert found is not None
        counts[found.spec.id] += 1
    return counts


def test_an_unknown_host_scores_one_half() -> None:
    assert chooser().score(new_host_record(host("a"))) == 0.5


@pytest.mark.parametrize(
    ("payoff", "in_flight", "zone", "expected"),
    [
        (1.0, 0, "z", 1.0),
        (1.0, 1, "z", 0.5),
        (0.5, 4, "z", 0.1),
        (0.0, 0, "z", 0.0),
        (1.0, 0, "y", 0.95),
    ],
)
def test_payoff_over_one_plus_in_flight(
    payoff: float, in_flight: int, zone: str, expected: float
) -> None:
    state = replace(new_host_record(host("a", zone=zone)), payoff=payoff, in_flight=in_flight)
    assert chooser().score(state) == pytest.approx(expected)


def test_one_in_twenty_goes_to_the_lower() -> None:
    better = new_host_record(host("a"))
    worse = new_host_record(host("b"))
    better.payoff = 1.0
    worse.payoff = 0.2
    counts = picked(ready_of(better, worse), PLAIN, times=20_000)
    assert 0.04 < counts["b"] / 20_000 < 0.06


LONG = replace(FACTS, affinity=True, prompt=prompt("group", "session", "own"), tokens_in=9000)
SHORT = replace(FACTS, affinity=True, prompt=prompt("other", "chat", "own"), tokens_in=300)


def lower_picks(kinds: list[RequestFacts], times: int) -> list[int]:
    """How many picks of each kind of request went to a host that is not the key's home."""
    ready = ready_hosts(6)
    choose = chooser()
    homes = [next(iter(ready.ranked(facts.prompt[-2].id, 1))) for facts in kinds]
    elsewhere = [0] * len(kinds)
    for turn in range(times):
        kind = turn % len(kinds)
        elsewhere[kind] += choose.pick(ready, kinds[kind], (), 0.0) is not homes[kind]
    return elsewhere


def parts(facts: RequestFacts, *tokens: int) -> RequestFacts:
    sized = tuple(
        replace(part, tokens=size) for part, size in zip(facts.prompt, tokens, strict=True)
    )
    return replace(facts, prompt=sized)


def test_a_pick_that_would_reread_many_tokens_defers_its_exploration_to_a_cheaper_one() -> None:
    long = parts(LONG, 2500, 3800, 2900)
    short = parts(SHORT, 100, 70, 200)
    expensive, cheap = lower_picks([long, short], 20_000)
    assert expensive == 0
    assert 0.045 < cheap / 20_000 < 0.055  # of all picks, as ever


def test_where_no_pick_is_cheap_one_in_twenty_still_goes_to_the_lower() -> None:
    (expensive,) = lower_picks([parts(LONG, 2500, 3800, 2900)], 20_000)
    assert 0.045 < expensive / 20_000 < 0.055


def test_of_two_hosts_the_busier_loses() -> None:
    idle = new_host_record(host("a"))
    busy = new_host_record(host("b"))
    busy.in_flight = 3
    counts = picked(ready_of(idle, busy), PLAIN)
    assert counts["a"] > 0.9 * 2000


def test_the_draw_reaches_every_host_evenly() -> None:
    counts = picked(ready_hosts(10), PLAIN, times=20_000)
    assert min(counts.values()) > 1600
    assert max(counts.values()) < 2400


def test_an_excluded_host_is_not_picked() -> None:
    ready = ready_hosts(3)
    for _ in range(200):
        found = chooser().pick(ready, PLAIN, set(ready.hosts[:2]), 0.0)
        assert found is ready.hosts[2]
    assert chooser().pick(ready, PLAIN, set(ready.hosts), 0.0) is None


def test_a_full_host_is_picked_only_if_all_are() -> None:
    ready = ready_hosts(3)
    for full in ready.hosts[:2]:
        full.limit = full.in_flight = 2
    assert {h for h, n in picked(ready, PLAIN).items() if n} == {"h2"}
    ready.hosts[2].limit = ready.hosts[2].in_flight = 2
    assert all(picked(ready, PLAIN).values())


# --- the ring


def test_every_gateway_finds_the_same_hosts_for_a_key() -> None:
    names = [f"i-{n:08x}" for n in range(50)]
    shuffled = names[:]
    random.Random(3).shuffle(shuffled)
    one = HashRing(names)
    other = HashRing(shuffled)
    for key in range(200):
        assert list(one.walk(f"{key}")) == list(other.walk(f"{key}"))


def test_positions_on_the_ring_do_not_depend_on_the_process() -> None:
    walk = list(HashRing(["a", "b", "c", "d"]).walk("5c1e07a2"))
    assert walk == FIXED_WALK


FIXED_WALK = ["c", "b", "a", "d"]


@pytest.mark.parametrize("count", [2, 6, 9, 70, 1100])
def test_only_the_lost_hosts_sessions_move(count: int) -> None:
    names = [f"i-{n:08x}" for n in range(count)]
    before = HashRing(names)
    after = HashRing(names[1:])
    for key in range(500):
        first, second = list(before.walk(f"{key}"))[:2]
        (now, *_) = after.walk(f"{key}")
        assert now == (first if first != names[0] else second)


@pytest.mark.parametrize("count", [3, 6, 9, 30])
def test_homes_are_spread_evenly(count: int) -> None:
    ring = HashRing(f"i-{n:08x}" for n in range(count))
    counts: dict[str, int] = {}
    for key in range(count * 300):
        home = next(iter(ring.walk(f"{key}")))
        counts[home] = counts.get(home, 0) + 1
    assert min(counts.values()) > 300 * 0.6
    assert max(counts.values()) < 300 * 1.4


def test_a_ring_of_very_many_hosts_is_walked_in_a_few_steps() -> None:
    ring = HashRing(f"i-{n:08x}" for n in range(12_000))
    assert len(ring) == 96_000
    walk = ring.walk("key")
    assert next(walk) != next(walk)


# --- affinity


def homes(ready: ReadyHosts, key: str) -> list[str]:
    return [state.spec.id for state in ready.ranked(key, 4)]


def test_gateways_agree_on_a_sessions_home() -> None:
    homes_picked = set()
    for seed in range(20):
        counts = picked(ready_hosts(6), MODEL, seed, times=200)
        best = max(counts, key=counts.__getitem__)
        assert counts[best] > 0.85 * 200
        homes_picked.add(best)
        assert {h for h, n in counts.items() if n} <= set(homes(ready_hosts(6), "session")[:2])
    assert len(homes_picked) == 1


def test_the_other_of_the_pair_wins_when_the_home_is_more_loaded() -> None:
    ready = ready_hosts(6)
    home, second = list(ready.ranked("session", 2))
    home.pending_prompt_tokens = 20_000
    counts = picked(ready, MODEL, times=400)
    assert counts[second.spec.id] > 0.85 * 400
    second.pending_prompt_tokens = 20_000
    counts = picked(ready, MODEL, times=400)
    assert counts[home.spec.id] > 0.85 * 400


def test_a_host_known_to_cache_the_prefix_is_preferred() -> None:
    ready = ready_hosts(6)
    memory = PrefixCacheTracker()
    home, second = list(ready.ranked("session", 2))
    choose = chooser(memory=memory)
    home.in_flight = 32  # loads of 4 requests
    lost = sum(choose.pick(ready, MODEL, (), 0.0) is second for _ in range(200))
    home.in_flight = 4
    memory.record_prefill(second.spec.id, MODEL.prompt[:2], 0.0)
    kept = sum(choose.pick(ready, MODEL, (), 1.0) is second for _ in range(200))
    forgotten = sum(choose.pick(ready, MODEL, (), 60.0) is second for _ in range(200))
    assert lost > 170
    assert kept > 170
    assert forgotten < 30


def test_saturated_hosts_of_the_pair_give_way_to_the_next_of_the_ring_then_to_any() -> None:
    ready = ready_hosts(8)
    ranked = list(ready.ranked("session", 8))
    for state in ranked[:2]:
        state.in_flight = 16
    counts = picked(ready, MODEL, times=400)
    assert {h for h, n in counts.items() if n} == {ranked[2].spec.id, ranked[3].spec.id}
    for state in ranked[2:4]:
        state.in_flight = 16
    counts = picked(ready, MODEL, times=2000)
    assert sum(n > 0 for n in counts.values()) >= 5


def test_an_ejected_hosts_sessions_go_to_the_next() -> None:
    ready = ready_hosts(6)
    home, second, third, _ = ready.ranked("session", 4)
    assert ready.eject(home, 0.0, certain=True)
    counts = picked(ready, MODEL, times=400)
    assert {h for h, n in counts.items() if n} == {second.spec.id, third.spec.id}


@pytest.mark.parametrize(
    ("parts", "comes_again", "key"),
    [
        (("group", "session", "own"), False, "session"),
        (("group", "session"), True, "session"),
        (("session",), True, "session"),
        (("own",), False, "own"),
    ],
)
def test_the_key_is_the_last_shared_part(
    parts: tuple[str, ...], *, comes_again: bool, key: str
) -> None:
    memory = PrefixCacheTracker()
    for number in range(100):
        last = parts[-1] if comes_again else f"{parts[-1]}{number}"
        memory.observe_arrival(replace(MODEL, prompt=prompt(*parts[:-1], last)))
    assert memory.shared_segments(replace(MODEL, prompt=prompt(*parts)))[-1].id == key


@pytest.mark.parametrize(
    ("read", "home", "expected"),
    [
        ((), False, 2000),
        ((), True, 200),
        (("group",), False, 1000),
        (("session",), False, 2000),  # a part without those before it is of no use
        (("group", "session"), False, 0),
    ],
)
def test_uncached_tokens(read: tuple[str, ...], *, home: bool, expected: float) -> None:
    memory = PrefixCacheTracker()
    memory.record_prefill("h0", prompt(*read), 0.0)
    assert memory.uncached_tokens("h0", MODEL.prompt[:2], 1.0, is_home=home) == pytest.approx(
        expected
    )


def test_prefix_memory_is_bounded() -> None:
    memory = PrefixCacheTracker()
    for number in range(20_000):
        facts = replace(MODEL, route=f"r{number}", prompt=prompt(f"s{number}", f"o{number}"))
        memory.observe_arrival(facts)
        memory.record_prefill(f"h{number}", facts.prompt, 0.0)
        memory.record_prefill(f"h{number}", prompt("hot"), 0.0)
    assert len(memory._hosts_by_segment) <= 8192
    assert len(memory._recent_last_segments) <= 2048
    assert len(memory._routes) <= 1024
    assert len(memory._hosts_by_segment["hot"]) <= 16
