"""Routes, keys, requests and admission, without I/O."""

from __future__ import annotations

import random
from typing import Any

import pytest

from roselink.dataplane.admission import (
    Admitted,
    Refusal,
    decide_admission,
    give_up_time,
    quota_cost,
    time_limit_s,
    unconfigured_retry_s,
)
from roselink.dataplane.proxy_request import (
    ProxyRequest,
    attempt_head,
    host_head,
    priority_of,
    read_request,
    relayed_headers,
)
from roselink.dataplane.route_table import RouteTable
from roselink.http.exceptions import BadRequestError
from roselink.model.configuration import Configuration, Route, Tenant
from tests.dataplane.harness import KEY, document


def table(**changes: Any) -> RouteTable:
    return RouteTable(Configuration.from_document(document(**changes)))


def routes(*told: tuple[str, str, str]) -> list[dict[str, Any]]:
    return [
        {
            "name": name,
            "hostname": host,
            "path_prefix": prefix,
            "kind": "idempotent",
            "service": "model",
        }
        for name, host, prefix in told
    ]


TOLD = routes(
    ("a", "One.example", "/a/"), ("ab", "one.example", "/a/b/"), ("root", "two.example", "/")
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("one.example", "/a/x", "a"),
        ("ONE.example:8080", "/a/", "a"),
        ("one.example", "/a/b/c/d", "ab"),
        ("one.example", "/a/b/", "ab"),
        ("one.example", "/a/b", "a"),
        ("one.example", "/a/bc/d", "a"),
        ("one.example", "/a", None),
        ("one.example", "/A/x", None),
        ("one.example", "/x/a/b/", None),
        ("one.example", "", None),
        ("two.example", "/any/thing", "root"),
        ("two.example:", "/", "root"),
        ("three.example", "/a/x", None),
        ("", "/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host: str, path: str, name: str | None) -> None:
    found = table(routes=TOLD).find(host, path)
    assert (found.route.name if found else None) == name


def test_a_split_is_drawn_by_its_weights() -> None:
    split = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
        {"service": "c", "weight": 0},
    ]
    [route] = routes(("r", "h", "/"))
    entry = table(routes=[route | {"traffic_split": split}]).find("h", "/x")
    assert entry is not None
    generator = random.Random(7)
    drawn = [entry.choose_service(generator) for _ in range(2000)]
    assert set(drawn) == {"a", "b"}
    assert 120 < drawn.count("b") < 280


HEADERS = [(b"Host", b"ficu.example"), (b"X-Request-Id", b"r1")]


def made(*more: tuple[bytes, bytes], url: bytes = b"/safe/x?q", body: bytes = b"") -> ProxyRequest:
    return read_request(b"POST", url, HEADERS + list(more), body, 100.0)


@pytest.mark.parametrize(
    "headers",
    [
        [(b"Host", b"a")],
        [(b"X-Request-Id", b"a")],
        [*HEADERS, (b"host", b"b")],
        [*HEADERS, (b"X-Request-ID", b"r1")],
        [*HEADERS, (b"X_Request_Id", b"r1")],
        [*HEADERS, (b"Authorization", b"Bearer a"), (b"Authorization", b"Bearer b")],
        [*HEADERS, (b"X-Request-Deadline", b"1"), (b"X-Request-Deadline", b"2")],
        [*HEADERS, (b"Last-Event-Id", b"1"), (b"Last-Event-Id", b"2")],
        [(b"Host", b""), (b"X-Request-Id", b"a")],
    ],
)
def test_what_is_in_doubt_is_no_request(headers: list[tuple[bytes, bytes]]) -> None:
    with pytest.raises(BadRequestError) as told:
        read_request(b"GET", b"/a/x", headers, b"", 0.0)
    assert told.value.status == 400


@pytest.mark.parametrize("url", [b"", b"*", b"http://ficu.example/a/", b"ficu.example:80"])
def test_only_paths_are_asked_for(url: bytes) -> None:
    with pytest.raises(BadRequestError):
        made(url=url)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"5000", 5.0),
        (b"0", 0.0),
        (b"12.5", 0.0125),
        (b"", None),
        (b"soon", None),
        (b"-1", None),
        (b"nan", None),
    ],
)
def test_deadlines(value: bytes, seconds: float | None) -> None:
    assert made((b"X-Request-Deadline", value)).deadline_s == seconds


@pytest.mark.parametrize(
    ("value", "key"),
    [
        (b"Bearer abc", "abc"),
        (b"bearer  abc ", "abc"),
        (b"Basic abc", None),
        (b"Bearer", None),
        (b"abc", None),
    ],
)
def test_keys(value: bytes, key: str | None) -> None:
    assert made((b"Authorization", value)).key == key


@pytest.mark.parametrize(
    ("usage", "tokens"),
    [
        (b"1460,80", (1460, 80)),
        (b" 1, 2", (1, 2)),
        (b"1460", None),
        (b"a,b", None),
        (b"1,-2", None),
    ],
)
def test_token_usage(usage: bytes, tokens: tuple[int, int] | None) -> None:
    assert made((b"X-Token-Usage", usage)).tokens == tokens


@pytest.mark.parametrize(
    ("prefix", "parts"),
    [
        (b"5c1e:800,91bd:410", [("5c1e", 800), ("91bd", 410)]),
        (b"5c1e:800, 91bd:410", [("5c1e", 800), ("91bd", 410)]),
        (b"", []),
        (b"5c1e", []),
        (b"5c1e:800,odd", []),
    ],
)
def test_prompt_parts(prefix: bytes, parts: list[tuple[str, int]]) -> None:
    assert [(part.id, part.tokens) for part in made((b"X-Prompt-Prefix", prefix)).prompt] == parts


def route_named(name: str) -> Route:
    return next(
        route for route in Configuration.from_document(document()).routes if route.name == name
    )


def tenant(**changes: Any) -> Tenant:
    told: dict[str, Any] = {
        "name": "huka",
        "api_keys": (KEY,),
        "priority": 1,
        "unit": "tokens",
        "plain_tokens": 200,
        "rate_per_s": 1.0,
        "burst": 1.0,
    }
    return Tenant(**(told | changes))


def test_a_host_gets_what_is_meant_for_it_and_no_more() -> None:
    request = made(
        (b"Connection", b"X-Hop, X-Request-Id, keep-alive"),
        (b"X-Hop", b"1"),
        (b"Keep-Alive", b"timeout=3"),
        (b"Authorization", b"Bearer secret"),
        (b"X_Tenant_Id", b"zoka"),
        (b"X-TENANT-ID", b"zoka"),
        (b"X-Target-Instance", b"i-9"),
        (b"Priority", b"0"),
        (b"Expect-Version", b"1"),
        (b"Expect", b"100-continue"),
        (b"Proxy-Authorization", b"p"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Trailer", b"a"),
        (b"Upgrade", b"h2c"),
        (b"X-Request-Deadline", b"900"),
        (b"Last-Event-Id", b"4"),
        (b"X-Model", b"m"),
        (b"Cookie", b"c"),
        body=b"abc",
    )
    assert host_head(request, route_named("safe"), tenant()).split(b"\r\n") == [
        b"POST /safe/x?q HTTP/1.1",
        b"Host: ficu.example",
        b"X-Request-Id: r1",
        b"X-Model: m",
        b"Cookie: c",
        b"Content-Length: 3",
        b"X-Tenant-Id: huka",
        b"",
    ]
    assert b"Priority: 4\r\n" in host_head(request, route_named("chat"), tenant())
    assert b"X-Tenant-Id" not in host_head(request, route_named("open"), None)
    assert (
        attempt_head("i-1", 25, b"") == b"X-Target-Instance: i-1\r\nX-Request-Deadline: 25\r\n\r\n"
    )
    assert b"Last-Event-Id: 7\r\n" in attempt_head("i-1", 25, b"7")


@pytest.mark.parametrize(
    ("rank", "priority", "sent"), [(0, 0, 0), (0, 2, 2), (1, 2, 5), (4, 5, 9), (-5, 0, 0)]
)
def test_a_tenants_rank_goes_before_the_routes(rank: int, priority: int, sent: int) -> None:
    route = Configuration.from_document(
        document(routes=[routes(("r", "h", "/"))[0] | {"priority": priority}])
    ).routes[0]
    assert priority_of(route, tenant(priority=rank)) == sent


def test_a_clients_answer_has_the_hosts_headers_but_those_of_its_connection() -> None:
    told = [
        (b"X-Response-Signature", b"s"),
        (b"Connection", b"close, X-Hop, X-Response-Signature"),
        (b"X-Hop", b"1"),
        (b"Keep-Alive", b"timeout=3"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Content-Length", b"3"),
        (b"Versions", b"2"),
        (b"Set-Cookie", b"a"),
        (b"Set-Cookie", b"b"),
    ]
    assert relayed_headers(told) == [
        (b"X-Response-Signature", b"s"),
        (b"Versions", b"2"),
        (b"Set-Cookie", b"a"),
        (b"Set-Cookie", b"b"),
    ]


GONE = Refusal(503, 0.25)


@pytest.mark.parametrize(
    ("url", "key", "usable", "known", "verdict"),
    [
        (b"/safe/x", KEY, True, True, "huka"),
        (b"/safe/x", "other", True, True, Refusal(401)),
        (b"/safe/x", "other", False, True, GONE),
        (b"/safe/x", KEY, False, True, GONE),
        (b"/open/x", "other", False, True, None),
        (b"/none/x", KEY, True, True, Refusal(404)),
        (b"/none/x", KEY, False, True, GONE),
        (b"/safe/x", KEY, True, False, GONE),
    ],
)
def test_what_the_configuration_says(
    url: bytes, key: str, usable: bool, known: bool, verdict: Refusal | str | None
) -> None:
    request = made((b"Authorization", b"Bearer " + key.encode()), url=url)
    got = decide_admission(table() if known else None, request, keys_usable=usable)
    if isinstance(got, Admitted):
        assert (got.tenant.name if got.tenant else None) == verdict
    else:
        assert got == verdict


@pytest.mark.parametrize(
    ("deadline", "chance", "told_s"),
    [
        (b"20000", 0.0, 0.72),
        (b"20000", 0.5, 1.2),
        (b"20000", 1.0, 1.68),
        (b"3000", 1.0, 0.9),
        (b"1500", 0.0, 0.45),
        (b"", 0.5, 1.2),
    ],
)
def test_when_clients_of_a_fleet_that_starts_come_back(
    deadline: bytes, chance: float, told_s: float
) -> None:
    request = made((b"X-Request-Deadline", deadline))
    assert unconfigured_retry_s(request, chance) == pytest.approx(told_s)


def test_without_tenants_no_key_is_asked_for() -> None:
    got = decide_admission(table(tenants=[]), made(), keys_usable=False)
    assert isinstance(got, Admitted)
    assert got.tenant is None


@pytest.mark.parametrize(
    ("told", "route", "seconds"),
    [
        (b"5000", "safe", 5.0),
        (b"20000", "safe", 15.0),
        (b"", "safe", 15.0),
        (b"5000", "brief", 0.3),
    ],
)
def test_the_shorter_time_counts(told: bytes, route: str, seconds: float) -> None:
    assert time_limit_s(made((b"X-Request-Deadline", told)), route_named(route)) == seconds


@pytest.mark.parametrize(("allowed", "margin"), [(5.0, 0.03), (0.04, 0.01), (0.0, 0.0)])
def test_the_last_word_comes_before_the_deadline(allowed: float, margin: float) -> None:
    assert give_up_time(100.0, 100.0 + allowed) == pytest.approx(100.0 + allowed - margin)


@pytest.mark.parametrize(
    ("unit", "usage", "amount"),
    [("tokens", b"1460,80", 1540.0), ("tokens", b"", 200.0), ("requests", b"1460,80", 1.0)],
)
def test_what_counts_against_a_quota(unit: str, usage: bytes, amount: float) -> None:
    assert quota_cost(made((b"X-Token-Usage", usage)), tenant(unit=unit)) == amount
