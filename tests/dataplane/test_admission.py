"""Routes, API keys, request parsing and admission, without I/O."""

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
    attempt_headers,
    common_head,
    priority_of,
    read_request,
    relayed_headers,
)
from roselink.dataplane.route_table import RouteTable
from roselink.http.exceptions import BadRequestError
from roselink.model.configuration import Configuration, Route, Tenant
from tests.dataplane.harness import API_KEY, document


def route_table(**changes: Any) -> RouteTable:
    return RouteTable(Configuration.from_document(document(**changes)))


def routes(*entries: tuple[str, str, str]) -> list[dict[str, Any]]:
    return [
        {
            "name": name,
            "hostname": host,
            "path_prefix": prefix,
            "kind": "idempotent",
            "service": "model",
        }
        for name, host, prefix in entries
    ]


ROUTES = routes(
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
def test_find_returns_route_with_longest_matching_prefix(
    host: str, path: str, name: str | None
) -> None:
    found = route_table(routes=ROUTES).find(host, path)
    assert (found.route.name if found else None) == name


def test_choose_service_follows_split_weights() -> None:
    split = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
        {"service": "c", "weight": 0},
    ]
    [route] = routes(("r", "h", "/"))
    entry = route_table(routes=[route | {"traffic_split": split}]).find("h", "/x")
    assert entry is not None
    generator = random.Random(7)
    drawn = [entry.choose_service(generator) for _ in range(2000)]
    assert set(drawn) == {"a", "b"}
    assert 120 < drawn.count("b") < 280


HEADERS = [(b"Host", b"ficu.example"), (b"X-Request-Id", b"r1")]


def parse(*more: tuple[bytes, bytes], url: bytes = b"/safe/x?q", body: bytes = b"") -> ProxyRequest:
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
def test_missing_duplicate_or_misspelt_header_is_rejected_with_400(
    headers: list[tuple[bytes, bytes]],
) -> None:
    with pytest.raises(BadRequestError) as caught:
        read_request(b"GET", b"/a/x", headers, b"", 0.0)
    assert caught.value.status == 400


@pytest.mark.parametrize("url", [b"", b"*", b"http://ficu.example/a/", b"ficu.example:80"])
def test_request_target_other_than_path_is_rejected(url: bytes) -> None:
    with pytest.raises(BadRequestError):
        parse(url=url)


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
def test_request_deadline_is_parsed_or_ignored_if_invalid(
    value: bytes, seconds: float | None
) -> None:
    assert parse((b"X-Request-Deadline", value)).deadline_s == seconds


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
def test_bearer_key_is_parsed_or_ignored_if_invalid(value: bytes, key: str | None) -> None:
    assert parse((b"Authorization", value)).key == key


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
def test_token_usage_is_parsed_or_ignored_if_invalid(
    usage: bytes, tokens: tuple[int, int] | None
) -> None:
    assert parse((b"X-Token-Usage", usage)).tokens == tokens


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
def test_prompt_prefix_is_parsed_or_ignored_if_invalid(
    prefix: bytes, parts: list[tuple[str, int]]
) -> None:
    assert [(part.id, part.tokens) for part in parse((b"X-Prompt-Prefix", prefix)).prompt] == parts


def route_named(name: str) -> Route:
    return next(
        route for route in Configuration.from_document(document()).routes if route.name == name
    )


def tenant(**changes: Any) -> Tenant:
    fields: dict[str, Any] = {
        "name": "huka",
        "api_keys": (API_KEY,),
        "priority": 1,
        "unit": "tokens",
        "plain_tokens": 200,
        "rate_per_s": 1.0,
        "burst": 1.0,
    }
    return Tenant(**(fields | changes))


def test_common_head_drops_hop_by_hop_and_gateway_headers() -> None:
    request = parse(
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
    assert common_head(request, route_named("safe"), tenant()).split(b"\r\n") == [
        b"POST /safe/x?q HTTP/1.1",
        b"Host: ficu.example",
        b"X-Request-Id: r1",
        b"X-Model: m",
        b"Cookie: c",
        b"Content-Length: 3",
        b"X-Tenant-Id: huka",
        b"",
    ]
    assert b"Priority: 4\r\n" in common_head(request, route_named("chat"), tenant())
    assert b"X-Tenant-Id" not in common_head(request, route_named("open"), None)
    assert (
        attempt_headers("i-1", 25, b"")
        == b"X-Target-Instance: i-1\r\nX-Request-Deadline: 25\r\n\r\n"
    )
    assert b"Last-Event-Id: 7\r\n" in attempt_headers("i-1", 25, b"7")


@pytest.mark.parametrize(
    ("tenant_priority", "priority", "sent"),
    [(0, 0, 0), (0, 2, 2), (1, 2, 5), (4, 5, 9), (-5, 0, 0)],
)
def test_tenant_priority_outweighs_route_priority(
    tenant_priority: int, priority: int, sent: int
) -> None:
    route = Configuration.from_document(
        document(routes=[routes(("r", "h", "/"))[0] | {"priority": priority}])
    ).routes[0]
    assert priority_of(route, tenant(priority=tenant_priority)) == sent


def test_relayed_headers_drop_hop_by_hop_headers() -> None:
    headers = [
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
    assert relayed_headers(headers) == [
        (b"X-Response-Signature", b"s"),
        (b"Versions", b"2"),
        (b"Set-Cookie", b"a"),
        (b"Set-Cookie", b"b"),
    ]


UNCONFIRMED = Refusal(503, 0.25)


@pytest.mark.parametrize(
    ("url", "key", "keys_usable", "configured", "expected"),
    [
        (b"/safe/x", API_KEY, True, True, "huka"),
        (b"/safe/x", "other", True, True, Refusal(401)),
        (b"/safe/x", "other", False, True, UNCONFIRMED),
        (b"/safe/x", API_KEY, False, True, UNCONFIRMED),
        (b"/open/x", "other", False, True, None),
        (b"/none/x", API_KEY, True, True, Refusal(404)),
        (b"/none/x", API_KEY, False, True, UNCONFIRMED),
        (b"/safe/x", API_KEY, True, False, UNCONFIRMED),
    ],
)
def test_decide_admission_by_route_key_and_key_confirmation(
    url: bytes, key: str, keys_usable: bool, configured: bool, expected: Refusal | str | None
) -> None:
    request = parse((b"Authorization", b"Bearer " + key.encode()), url=url)
    got = decide_admission(route_table() if configured else None, request, keys_usable=keys_usable)
    if isinstance(got, Admitted):
        assert (got.tenant.name if got.tenant else None) == expected
    else:
        assert got == expected


@pytest.mark.parametrize(
    ("deadline", "random_value", "delay_s"),
    [
        (b"20000", 0.0, 0.72),
        (b"20000", 0.5, 1.2),
        (b"20000", 1.0, 1.68),
        (b"3000", 1.0, 0.9),
        (b"1500", 0.0, 0.45),
        (b"", 0.5, 1.2),
    ],
)
def test_unconfigured_retry_delay_is_jittered_and_capped_by_deadline(
    deadline: bytes, random_value: float, delay_s: float
) -> None:
    request = parse((b"X-Request-Deadline", deadline))
    assert unconfigured_retry_s(request, random_value) == pytest.approx(delay_s)


def test_configuration_without_tenants_requires_no_key() -> None:
    got = decide_admission(route_table(tenants=[]), parse(), keys_usable=False)
    assert isinstance(got, Admitted)
    assert got.tenant is None


@pytest.mark.parametrize(
    ("deadline", "route", "seconds"),
    [
        (b"5000", "safe", 5.0),
        (b"20000", "safe", 15.0),
        (b"", "safe", 15.0),
        (b"5000", "brief", 0.3),
    ],
)
def test_time_limit_is_shorter_of_deadline_and_route_timeout(
    deadline: bytes, route: str, seconds: float
) -> None:
    assert time_limit_s(parse((b"X-Request-Deadline", deadline)), route_named(route)) == seconds


@pytest.mark.parametrize(("allowed", "margin"), [(5.0, 0.03), (0.04, 0.01), (0.0, 0.0)])
def test_give_up_time_precedes_deadline_by_margin(allowed: float, margin: float) -> None:
    assert give_up_time(100.0, 100.0 + allowed) == pytest.approx(100.0 + allowed - margin)


@pytest.mark.parametrize(
    ("unit", "usage", "amount"),
    [("tokens", b"1460,80", 1540.0), ("tokens", b"", 200.0), ("requests", b"1460,80", 1.0)],
)
def test_quota_cost_by_tenant_unit(unit: str, usage: bytes, amount: float) -> None:
    assert quota_cost(parse((b"X-Token-Usage", usage)), tenant(unit=unit)) == amount
