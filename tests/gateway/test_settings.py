"""Invalid settings are rejected by name, and unusual valid settings work."""

from __future__ import annotations

from typing import Any

import pytest

from roselink.balancer.interface import (
    Effect,
    Group,
    Route,
    Send,
    Server,
    Settings,
    StreamStarted,
)
from roselink.balancer.settings_reader import read_settings
from roselink.routing.outcome import Outcome
from tests.support.balancer_harness import BalancerHarness, route, settings


@pytest.mark.parametrize(
    ("field", "values"),
    [
        ("balancers", {"balancers": 0}),
        ("max_attempts", {"max_attempts": 0}),
        ("cold_from", {"cold_from": 0.0}),
        ("fall_multiple", {"fall_multiple": -1.0}),
        ("drain_grace_us", {"drain_grace_us": -5}),
        ("tenant_quotas_per_s", {"tenant_quotas_per_s": (3.0, -1.0)}),
    ],
)
def test_invalid_settings_name_the_field(field: str, values: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=field):
        Settings(**values)


@pytest.mark.parametrize(
    "values", [{"aim_us": 0}, {"deadline_us": -1}, {"worth": -1.0}, {"late_worth": 2.0}]
)
def test_invalid_routes_name_the_field(values: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match="route." + next(iter(values))):
        Route(**values)


def test_a_route_without_semantics_is_rejected() -> None:
    with pytest.raises(ValueError, match="semantics"):
        read_settings({"lanes": [{"deadline": 5}]})


@pytest.mark.parametrize(
    "given",
    [
        settings(route(aim_us=None)),
        settings(route(aim_stretch=2.0)),
        settings(route(late_worth=0.5)),
        settings(route(Effect.KEYED, group=Group.ZONE)),
        settings(route(worth=0.0), balancers=9),
        settings(tenant_quotas_per_s=(1.0,), over_quota_worth=0.0),
        settings(warm_keys=True, parallel_tries=True),
    ],
)
@pytest.mark.parametrize("servers", [1, 40])
def test_unusual_valid_settings_serve_requests(given: Settings, servers: int) -> None:
    harness = BalancerHarness(given, servers)
    for n in range(300):
        request = harness.arrive(work_us=12_000 if n % 2 else None, key=f"k{n % 7}", tenant=n % 3)
        harness.pass_time(8_000)
        for _ in range(12):
            for attempt in range(len(harness.sends.get(request, []))):
                failed = n % 10 == 0 and attempt == 0
                harness.done(request, Outcome.ERROR if failed else Outcome.SUCCESS, 8_000, attempt)
            harness.pass_time(40_000)
    assert len(harness.sends) >= 270


def test_a_started_stream_is_not_hedged() -> None:
    harness = BalancerHarness(settings(route(stream=True), parallel_tries=True), 3)
    request = harness.arrive()
    harness.feed(StreamStarted(request, 0, 5_000))
    assert not any(isinstance(a, Send) for a in harness.pass_time(2_000_000))
    harness.done(request, Outcome.SUCCESS, 2_000_000)
    assert not harness.balancer.requests


def test_finished_requests_release_their_state() -> None:
    harness = BalancerHarness(settings(warm_keys=True), [Server(i) for i in range(5)])
    for n in range(2000):
        request = harness.arrive(key=f"key{n}")
        harness.pass_time(3_000)
        if request in harness.sends:
            harness.done(request, Outcome.SUCCESS, 3_000)
    harness.pass_time(5_000_000)
    harness.done(harness.arrive(), Outcome.SUCCESS)
    balancer = harness.balancer
    assert len(balancer.state.servers) == 5
    assert len(balancer.requests) == len(balancer.alarms) == 0
    assert all(len(r.latency) <= 128 for r in balancer.state.routes)
