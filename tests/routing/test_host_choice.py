"""Power of two choices: scores, exploration, the hash ring and prefix affinity."""

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

WITHOUT_AFFINITY = FACTS
WITH_AFFINITY = replace(
    FACTS, affinity=True, prompt=prompt("group", "session", "own"), tokens_in=3000
)


def ready_of(*records: HostRecord) -> ReadyHosts:
    ready = ReadyHosts()
    ready.replace(list(records))
    return ready


def ready_hosts(count: int, zone: str = "z") -> ReadyHosts:
    return ready_of(*(new_host_record(host(f"h{n}", zone=zone)) for n in range(count)))


def chooser(
    seed: int = 1, zone: str = "z", prefix_cache: PrefixCacheTracker | None = None
) -> HostChooser:
    return HostChooser(zone, random.Random(seed), prefix_cache or PrefixCacheTracker())


def pick_counts(
    ready: ReadyHosts, facts: RequestFacts, seed: int = 1, times: int = 2000
) -> dict[str, int]:
    host_chooser = chooser(seed)
    counts = dict.fromkeys((h.spec.id for h in ready.hosts), 0)
    for _ in range(times):
        found = host_chooser.pick(ready, facts, (), 0.0)
        assert found is not None
        counts[found.spec.id] += 1
    return counts


def test_new_host_has_score_one_half() -> None:
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
def test_score_is_payoff_over_one_plus_in_flight_times_zone_factor(
    payoff: float, in_flight: int, zone: str, expected: float
) -> None:
    record = replace(new_host_record(host("a", zone=zone)), payoff=payoff, in_flight=in_flight)
    assert chooser().score(record) == pytest.approx(expected)


def test_one_pick_in_twenty_goes_to_the_lower_scored_host() -> None:
    better = new_host_record(host("a"))
    worse = new_host_record(host("b"))
    better.payoff = 1.0
    worse.payoff = 0.2
    counts = pick_counts(ready_of(better, worse), WITHOUT_AFFINITY, times=20_000)
    assert 0.04 < counts["b"] / 20_000 < 0.06


LONG_PROMPT = replace(
    FACTS, affinity=True, prompt=prompt("group", "session", "own"), tokens_in=9000
)
SHORT_PROMPT = replace(FACTS, affinity=True, prompt=prompt("other", "chat", "own"), tokens_in=300)


def picks_outside_home(requests: list[RequestFacts], times: int) -> list[int]:
    """Number of picks of each request that went to another host than the key's home."""
    ready = ready_hosts(6)
    host_chooser = chooser()
    homes = [next(iter(ready.ranked(facts.prompt[-2].id, 1))) for facts in requests]
    outside_home = [0] * len(requests)
    for turn in range(times):
        index = turn % len(requests)
        outside_home[index] += (
            host_chooser.pick(ready, requests[index], (), 0.0) is not homes[index]
        )
    return outside_home


def with_segment_tokens(facts: RequestFacts, *tokens: int) -> RequestFacts:
    segments = tuple(
        replace(segment, tokens=size) for segment, size in zip(facts.prompt, tokens, strict=True)
    )
    return replace(facts, prompt=segments)


def test_exploration_is_deferred_from_expensive_to_cheap_picks() -> None:
    long = with_segment_tokens(LONG_PROMPT, 2500, 3800, 2900)
    short = with_segment_tokens(SHORT_PROMPT, 100, 70, 200)
    expensive, cheap = picks_outside_home([long, short], 20_000)
    assert expensive == 0
    assert 0.045 < cheap / 20_000 < 0.055  # the rate over all picks, cheap and expensive


def test_exploration_rate_holds_if_every_pick_is_expensive() -> None:
    (expensive,) = picks_outside_home([with_segment_tokens(LONG_PROMPT, 2500, 3800, 2900)], 20_000)
    assert 0.045 < expensive / 20_000 < 0.055


def test_less_loaded_of_two_hosts_is_preferred() -> None:
    idle = new_host_record(host("a"))
    busy = new_host_record(host("b"))
    busy.in_flight = 3
    counts = pick_counts(ready_of(idle, busy), WITHOUT_AFFINITY)
    assert counts["a"] > 0.9 * 2000


def test_random_picks_are_spread_evenly() -> None:
    counts = pick_counts(ready_hosts(10), WITHOUT_AFFINITY, times=20_000)
    assert min(counts.values()) > 1600
    assert max(counts.values()) < 2400


def test_excluded_host_is_not_picked() -> None:
    ready = ready_hosts(3)
    for _ in range(200):
        found = chooser().pick(ready, WITHOUT_AFFINITY, set(ready.hosts[:2]), 0.0)
        assert found is ready.hosts[2]
    assert chooser().pick(ready, WITHOUT_AFFINITY, set(ready.hosts), 0.0) is None


def test_host_at_its_limit_is_picked_only_if_all_are() -> None:
    ready = ready_hosts(3)
    for host_at_limit in ready.hosts[:2]:
        host_at_limit.limit = host_at_limit.in_flight = 2
    assert {h for h, n in pick_counts(ready, WITHOUT_AFFINITY).items() if n} == {"h2"}
    ready.hosts[2].limit = ready.hosts[2].in_flight = 2
    assert all(pick_counts(ready, WITHOUT_AFFINITY).values())


# --- hash ring


def test_ring_order_does_not_depend_on_the_order_of_the_host_list() -> None:
    names = [f"i-{n:08x}" for n in range(50)]
    shuffled = names[:]
    random.Random(3).shuffle(shuffled)
    one = HashRing(names)
    other = HashRing(shuffled)
    for key in range(200):
        assert list(one.walk(f"{key}")) == list(other.walk(f"{key}"))


def test_ring_order_does_not_depend_on_the_process() -> None:
    walk = list(HashRing(["a", "b", "c", "d"]).walk("5c1e07a2"))
    assert walk == EXPECTED_RING_ORDER


EXPECTED_RING_ORDER = ["c", "b", "a", "d"]


@pytest.mark.parametrize("count", [2, 6, 9, 70, 1100])
def test_removing_a_host_moves_only_its_keys(count: int) -> None:
    names = [f"i-{n:08x}" for n in range(count)]
    full_ring = HashRing(names)
    reduced_ring = HashRing(names[1:])
    for key in range(500):
        first, second = list(full_ring.walk(f"{key}"))[:2]
        (now, *_) = reduced_ring.walk(f"{key}")
        assert now == (first if first != names[0] else second)


@pytest.mark.parametrize("count", [3, 6, 9, 30])
def test_homes_of_keys_are_spread_evenly(count: int) -> None:
    ring = HashRing(f"i-{n:08x}" for n in range(count))
    counts: dict[str, int] = {}
    for key in range(count * 300):
        home = next(iter(ring.walk(f"{key}")))
        counts[home] = counts.get(home, 0) + 1
    assert min(counts.values()) > 300 * 0.6
    assert max(counts.values()) < 300 * 1.4


def test_large_ring_has_eight_points_per_host() -> None:
    ring = HashRing(f"i-{n:08x}" for n in range(12_000))
    assert len(ring) == 96_000
    walk = ring.walk("key")
    assert next(walk) != next(walk)


# --- affinity


def homes(ready: ReadyHosts, key: str) -> list[str]:
    return [record.spec.id for record in ready.ranked(key, 4)]


def test_all_gateways_pick_the_same_home_for_a_session() -> None:
    homes_picked = set()
    for seed in range(20):
        counts = pick_counts(ready_hosts(6), WITH_AFFINITY, seed, times=200)
        best = max(counts, key=counts.__getitem__)
        assert counts[best] > 0.85 * 200
        homes_picked.add(best)
        assert {h for h, n in counts.items() if n} <= set(homes(ready_hosts(6), "session")[:2])
    assert len(homes_picked) == 1


def test_second_host_of_the_ring_is_picked_if_the_home_is_more_loaded() -> None:
    ready = ready_hosts(6)
    home, second = list(ready.ranked("session", 2))
    home.pending_prompt_tokens = 20_000
    counts = pick_counts(ready, WITH_AFFINITY, times=400)
    assert counts[second.spec.id] > 0.85 * 400
    second.pending_prompt_tokens = 20_000
    counts = pick_counts(ready, WITH_AFFINITY, times=400)
    assert counts[home.spec.id] > 0.85 * 400


def test_host_with_cached_prefix_is_preferred_for_the_cache_lifetime() -> None:
    ready = ready_hosts(6)
    prefix_cache = PrefixCacheTracker()
    home, second = list(ready.ranked("session", 2))
    host_chooser = chooser(prefix_cache=prefix_cache)
    home.in_flight = 32  # weighs as 4 requests at a capacity of 64
    second_before_prefill = sum(
        host_chooser.pick(ready, WITH_AFFINITY, (), 0.0) is second for _ in range(200)
    )
    home.in_flight = 4
    prefix_cache.record_prefill(second.spec.id, WITH_AFFINITY.prompt[:2], 0.0)
    second_while_cached = sum(
        host_chooser.pick(ready, WITH_AFFINITY, (), 1.0) is second for _ in range(200)
    )
    second_after_expiry = sum(
        host_chooser.pick(ready, WITH_AFFINITY, (), 60.0) is second for _ in range(200)
    )
    assert second_before_prefill > 170
    assert second_while_cached > 170
    assert second_after_expiry < 30


def test_saturated_hosts_are_replaced_by_the_next_of_the_ring_then_by_any() -> None:
    ready = ready_hosts(8)
    ranked = list(ready.ranked("session", 8))
    for record in ranked[:2]:
        record.in_flight = 16
    counts = pick_counts(ready, WITH_AFFINITY, times=400)
    assert {h for h, n in counts.items() if n} == {ranked[2].spec.id, ranked[3].spec.id}
    for record in ranked[2:4]:
        record.in_flight = 16
    counts = pick_counts(ready, WITH_AFFINITY, times=2000)
    assert sum(n > 0 for n in counts.values()) >= 5


def test_sessions_of_an_ejected_host_move_to_the_next_hosts_of_the_ring() -> None:
    ready = ready_hosts(6)
    home, second, third, _ = ready.ranked("session", 4)
    assert ready.eject(home, 0.0, certain=True)
    counts = pick_counts(ready, WITH_AFFINITY, times=400)
    assert {h for h, n in counts.items() if n} == {second.spec.id, third.spec.id}


@pytest.mark.parametrize(
    ("segment_ids", "recurs", "key"),
    [
        (("group", "session", "own"), False, "session"),
        (("group", "session"), True, "session"),
        (("session",), True, "session"),
        (("own",), False, "own"),
    ],
)
def test_affinity_key_is_the_last_shared_segment(
    segment_ids: tuple[str, ...], *, recurs: bool, key: str
) -> None:
    prefix_cache = PrefixCacheTracker()
    for number in range(100):
        last = segment_ids[-1] if recurs else f"{segment_ids[-1]}{number}"
        prefix_cache.observe_arrival(replace(WITH_AFFINITY, prompt=prompt(*segment_ids[:-1], last)))
    assert (
        prefix_cache.shared_segments(replace(WITH_AFFINITY, prompt=prompt(*segment_ids)))[-1].id
        == key
    )


@pytest.mark.parametrize(
    ("prefilled", "is_home", "expected"),
    [
        ((), False, 2000),
        ((), True, 200),
        (("group",), False, 1000),
        (("session",), False, 2000),  # not usable without the segment before it
        (("group", "session"), False, 0),
    ],
)
def test_uncached_tokens_by_prefilled_segments(
    prefilled: tuple[str, ...], *, is_home: bool, expected: float
) -> None:
    prefix_cache = PrefixCacheTracker()
    prefix_cache.record_prefill("h0", prompt(*prefilled), 0.0)
    assert prefix_cache.uncached_tokens(
        "h0", WITH_AFFINITY.prompt[:2], 1.0, is_home=is_home
    ) == pytest.approx(expected)


def test_prefix_cache_tracker_is_bounded() -> None:
    prefix_cache = PrefixCacheTracker()
    for number in range(20_000):
        facts = replace(
            WITH_AFFINITY, route=f"r{number}", prompt=prompt(f"s{number}", f"o{number}")
        )
        prefix_cache.observe_arrival(facts)
        prefix_cache.record_prefill(f"h{number}", facts.prompt, 0.0)
        prefix_cache.record_prefill(f"h{number}", prompt("hot"), 0.0)
    assert len(prefix_cache._hosts_by_segment) <= 8192
    assert len(prefix_cache._recent_last_segments) <= 2048
    assert len(prefix_cache._routes) <= 1024
    assert len(prefix_cache._hosts_by_segment["hot"]) <= 16
