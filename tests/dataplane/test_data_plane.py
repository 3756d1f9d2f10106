"""The data plane on loopback: what hosts get, what clients get, and what never looks complete."""

from __future__ import annotations

import asyncio

import pytest

from roselink.http import host_pool
from roselink.routing.events_and_actions import FirstEvent, RequestClosed
from roselink.routing.outcome import Outcome
from tests.dataplane.harness import (
    KEY,
    event,
    plain,
    rejects,
    request,
    running_data_plane,
    sse,
    stream,
)
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import Behaviour, hang, sends
from tests.support.http_messages import Message


@on_loop
async def test_a_request_and_its_answer_go_through_unchanged() -> None:
    async with running_data_plane(
        plain(b"\x00body", "200 Fine", "X-Other: a", "Keep-Alive: timeout=5")
    ) as harness:
        async with harness.client() as client:
            got = await client.ask(
                "/safe/a%2Fb?q=1&r",
                body=b"hello",
                X_Tenant_Id="zoka",
                X_Model="m",
                Priority="0",
                X_Target_Instance="i-9",
                Expect_Version="4",
                TE="trailers",
                X_Request_Id="abc",
                Cookie="c=1",
            )
        assert (got.status, got.body, got.whole) == (200, b"\x00body", True)
        assert got.headers["x-response-signature"] == "3e1b.07.5a2"
        assert (got.headers["x-other"], got.headers["x-request-id"]) == ("a", "abc")
        assert "keep-alive" not in got.headers
        [seen] = harness.hosts[0].seen
        assert seen.first == "POST /safe/a%2Fb?q=1&r HTTP/1.1"
        assert seen.body == b"hello"
        deadline = int(seen.headers.pop("x-request-deadline"))
        assert 4800 < deadline < 5000
        assert seen.headers == {
            "host": "ficu.example",
            "x-request-id": "abc",
            "x-model": "m",
            "cookie": "c=1",
            "content-length": "5",
            "x-tenant-id": "huka",
            "x-target-instance": "i-0",
        }
        assert harness.decider.ends()[0].outcome is Outcome.SUCCESS
        assert harness.decider.count(RequestClosed) == 1
        assert not harness.data_plane.driver.open_requests


@on_loop
async def test_each_whole_event_goes_on_at_once_and_half_of_one_waits() -> None:
    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(sse(message) + b"8\r\nid: 1\nda\r\n")
        await steps.get()
        writer.write(b"6\r\nta: 1\n\r\n")
        await steps.get()
        writer.write(b"7\r\n\nid: 2\n\r\n")
        await steps.get()
        writer.write(b"a\r\ndata: 2\n\n\n\r\n0\r\n\r\n")

    steps: asyncio.Queue[None] = asyncio.Queue()
    async with running_data_plane(behave) as harness, harness.client() as client:
        client.writer.write(request("/chat/x"))
        await harness.hosts[0].came.get()
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.05)
        steps.put_nowait(None)
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.05)
        assert harness.decider.count(FirstEvent) == 0
        steps.put_nowait(None)
        status, headers = await client.head()
        assert (status, headers["versions"], headers["content-type"]) == (
            200,
            "3",
            "text/event-stream",
        )
        assert await client.chunk() == b"id: 1\ndata: 1\n\n"
        assert harness.decider.count(FirstEvent) == 1
        steps.put_nowait(None)
        assert await client.chunk() + await client.chunk() == b"id: 2\ndata: 2\n\n\n"
        assert await client.chunk() == b""
        assert harness.hosts[0].seen[0].headers["priority"] == "4"


@pytest.mark.parametrize("end", ["reset", "close", "garbage"])
@pytest.mark.parametrize("half", [b"id: 9\nda", b""])
@on_loop
async def test_a_cut_stream_goes_on_at_another_host_inside_the_answer(
    end: str, half: bytes
) -> None:
    first = stream(6, cut_after=2, half=half or b"\n", end=end)
    async with running_data_plane(first, stream(6)) as harness, harness.client() as client:
        got = await client.ask("/chat/x")
        assert (got.status, got.whole, got.ids) == (200, True, [1, 2, 3, 4, 5, 6])
        assert got.body == b"".join(event(number) for number in range(1, 7))
        assert harness.hosts[1].seen[0].headers["last-event-id"] == "2"
        assert harness.hosts[1].seen[0].headers["x-target-instance"] == "i-1"
        cut, whole = harness.decider.ends()
        assert (cut.outcome, cut.progressed, whole.outcome) == (
            Outcome.RESET,
            True,
            Outcome.SUCCESS,
        )
        assert [
            told.attempt for told in harness.decider.events if isinstance(told, FirstEvent)
        ] == [0, 1]


@on_loop
async def test_a_host_that_repeats_events_on_resumption_adds_none() -> None:
    async def again(message: Message, writer: asyncio.StreamWriter) -> None:
        message.headers.pop("last-event-id", None)
        await stream(5)(message, writer)

    async with (
        running_data_plane(stream(5, cut_after=3), again) as harness,
        harness.client() as client,
    ):
        got = await client.ask("/chat/x")
        assert (got.whole, got.ids) == (True, [1, 2, 3, 4, 5])


@on_loop
async def test_a_resumed_stream_with_a_gap_never_looks_complete() -> None:
    async def gap(message: Message, writer: asyncio.StreamWriter) -> None:
        message.headers["last-event-id"] = "3"
        await stream(5)(message, writer)

    async with (
        running_data_plane(stream(5, cut_after=2), gap, gap) as harness,
        harness.client() as client,
    ):
        got = await client.ask("/chat/x")
        assert (got.whole, got.ids) == (False, [1, 2])
        assert await client.ended()


@on_loop
async def test_the_clients_own_last_event_id_goes_along() -> None:
    async with (
        running_data_plane(stream(6, cut_after=5), stream(6)) as harness,
        harness.client() as client,
    ):
        got = await client.ask("/chat/x", Last_Event_Id="3")
        assert (got.whole, got.ids) == (True, [4, 5, 6])
        assert [host.seen[0].headers["last-event-id"] for host in harness.hosts] == ["3", "5"]


@pytest.mark.parametrize("end", ["reset", "close", "garbage"])
@on_loop
async def test_a_cut_stream_that_may_not_resume_never_looks_complete(end: str) -> None:
    async with (
        running_data_plane(stream(5, cut_after=2, end=end), stream(5)) as harness,
        harness.client() as client,
    ):
        got = await client.ask("/plan/x")
        assert (got.whole, got.ids) == (False, [1, 2])
        assert await client.ended()
        assert not harness.hosts[1].seen
        assert harness.decider.count(RequestClosed) == 1


@pytest.mark.parametrize("path", ["/plan/x", "/once/x"])
@pytest.mark.parametrize(
    ("behave", "status"),
    [
        (sends(b"", end=True), 502),
        (sends(b"no HTTP\r\n\r\n"), 502),
        (plain(b"x", stamp=False), 502),  # a success without its stamp is none
        (plain(b"x", "503 Busy"), 502),  # it does not say that it did not run
        (plain(b"x", "429 Much"), 502),
        (plain(b"fault", "500 Fault"), 500),
        (plain(b"late", "504 Late"), 504),
        (plain(b"none", "404 None"), 404),
        (rejects(), 503),
        (rejects("429 Much"), 503),
        (rejects("421 Other", "X-Any: 1"), 503),
        (sends(b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"), 503),
        (sends(b"HTTP/1.1 421 Other\r\nX-Instance-Id: i-7\r\nContent-Length: 0\r\n\r\n"), 503),
        (sends(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), 502),
        (sends(b"HTTP/1.1 500 Fault\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"), 502),
        (
            sends(b"HTTP/1.1 503 Full\r\nX-Request-Id: b\r\nX-Not-Executed: 1\r\n\r\n", end=True),
            502,
        ),
    ],
)
@on_loop
async def test_what_may_have_run_is_never_refused(
    path: str, behave: Behaviour, status: int
) -> None:
    async with running_data_plane(behave) as harness, harness.client() as client:
        got = await client.ask(path)
        assert got.status == status
        relayed = status in (500, 504, 404)
        assert ("x-response-signature" in got.headers) == relayed
        assert bool(got.body) == relayed
        assert ("retry-after" in got.headers) == (status == 503)
        assert len(harness.hosts[0].seen) == (3 if status == 503 else 1)


@pytest.mark.parametrize(
    "first", [rejects(), rejects("421 Other", "X-Any: 1"), rejects("429 Much")]
)
@pytest.mark.parametrize("path", ["/plan/x", "/once/x", "/safe/x"])
@on_loop
async def test_what_did_not_run_goes_to_another_host(path: str, first: Behaviour) -> None:
    second = stream(3) if path == "/plan/x" else plain(b"done")
    async with running_data_plane(first, second) as harness, harness.client() as client:
        got = await client.ask(path)
        assert (got.status, got.whole) == (200, True)
        assert harness.decider.ends()[0].outcome is Outcome.FULL


@on_loop
async def test_a_host_failure_is_tried_again_where_the_route_allows_it() -> None:
    async with (
        running_data_plane(plain(b"fault", "500 Fault"), plain(b"done")) as harness,
        harness.client() as client,
    ):
        assert (await client.ask("/safe/x")).body == b"done"
        assert (await client.ask("/once/x")).body == b"fault"


@pytest.mark.parametrize(
    ("asked", "status"),
    [
        ({"path": "/nowhere/x"}, 404),
        ({"path": "/safe"}, 404),
        ({"host": "other.example"}, 404),
        ({"key": None}, 401),
        ({"key": "unknown"}, 401),
        ({"path": "/open/x", "key": None}, 200),
        ({"path": "/open/x", "key": "unknown"}, 200),
        ({"host": "FICU.example:8080"}, 200),
        ({"X_Request_Id": None}, 400),
    ],
)
@on_loop
async def test_routes_and_keys(asked: dict[str, str], status: int) -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        assert (await client.ask(**asked)).status == status
        for seen in harness.hosts[0].seen:
            assert "authorization" not in seen.headers
            assert ("x-tenant-id" in seen.headers) == seen.first.startswith("POST /safe")


@on_loop
async def test_without_a_fresh_lease_no_key_is_used_and_the_gateway_is_not_ready() -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        harness.authority.fresh = False
        for path, status in (("/safe/x", 503), ("/nowhere/x", 503), ("/open/x", 200)):
            got = await client.ask(path)
            assert (got.status, "retry-after" in got.headers) == (status, status == 503)
        assert (await client.ask("/safe/x", key="unknown")).status == 503
        assert not harness.data_plane.ready()


@pytest.mark.parametrize("lost", ["lease", "key"])
@on_loop
async def test_a_lease_or_key_lost_meanwhile_stops_the_retry(lost: str) -> None:
    async def reject(message: Message, writer: asyncio.StreamWriter) -> None:
        if lost == "lease":
            harness.authority.fresh = False
        else:
            lines = harness.authority.now_in_force.hosts if harness.authority.now_in_force else ()
            harness.authority.tell(
                harness.snapshot(*lines, tenants=[{"name": "huka", "api_keys": ["new"]}])
            )
        await rejects()(message, writer)

    async with running_data_plane(reject, plain()) as harness, harness.client() as client:
        got = await client.ask("/safe/x")
        assert (got.status, "retry-after" in got.headers) == (503, True)
        assert not harness.hosts[1].seen


@pytest.mark.parametrize("later", [False, True])
@on_loop
async def test_quotas_are_asked_once_and_hold(later: bool) -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        harness.quotas.later = later
        assert (await client.ask(X_Token_Usage="1460,80")).status == 200
        assert (await client.ask()).status == 200
        assert (await client.ask(key="key-of-zoka")).status == 200  # without a limit
        assert (await client.ask("/open/x")).status == 200
        assert harness.quotas.asked == [("huka", 1540.0), ("huka", 200.0)]
        harness.quotas.allowed = False
        got = await client.ask()
        assert (got.status, got.headers["retry-after"]) == (429, "0.700")
        assert len(harness.hosts[0].seen) == 4


@on_loop
async def test_out_of_time_with_nothing_sent_promises_and_else_does_not() -> None:
    async with running_data_plane(hang) as harness, harness.client() as client:
        assert (await client.ask("/brief/x")).status == 504
        assert (await client.ask("/safe/x", X_Request_Deadline="200")).status == 504
        await until(lambda: len(harness.decider.ends()) == 2)
        assert [end.outcome for end in harness.decider.ends()] == [Outcome.TIMEOUT] * 2
        harness.authority.tell(harness.snapshot())
        harness.decider.hosts = ["i-gone"]
        assert (await client.ask("/once/x", X_Request_Deadline="200")).status == 503


@on_loop
async def test_a_client_that_leaves_ends_its_attempts() -> None:
    async with running_data_plane(hang) as harness:
        async with harness.client() as client:
            client.writer.write(request("/chat/x"))
            await harness.hosts[0].came.get()
        await harness.hosts[0].closed.get()
        await until(
            lambda: harness.decider.count(RequestClosed) == 1 and bool(harness.decider.ends())
        )
        assert harness.decider.ends()[0].outcome is Outcome.CANCELLED


@on_loop
async def test_a_surplus_answer_reaches_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)

    async def late(message: Message, writer: asyncio.StreamWriter) -> None:
        if len(harness.hosts[0].seen) > 1:
            other = Message("", {"x-request-id": "another"}, b"")
            await plain(b"of another")(other, writer)
        await plain(b"mine", "200 OK", "Keep-Alive: timeout=9")(message, writer)

    async with running_data_plane(late) as harness, harness.client() as client:
        assert (await client.ask("/once/x")).body == b"mine"
        assert (await client.ask("/once/x")).body == b"mine"
        assert len(harness.hosts[0].writers) == 1
        await until(lambda: len(harness.decider.ends()) == 2)
        assert not harness.data_plane.driver.hosts["i-0"].idle  # not used any more


@on_loop
async def test_bytes_behind_an_answer_reach_nobody() -> None:
    async with running_data_plane(
        plain(b"mine", tail=b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
    ) as harness:
        async with harness.client() as client:
            for _ in range(3):
                assert (await client.ask("/once/x")).body == b"mine"
        assert len(harness.hosts[0].writers) == 3


@on_loop
async def test_only_one_of_two_attempts_answers() -> None:
    async with running_data_plane(hang, plain(b"second")) as harness, harness.client() as client:
        harness.decider.hedges = 1
        assert (await client.ask("/safe/x")).body == b"second"
        await until(lambda: len(harness.decider.ends()) == 2)
        assert [end.outcome for end in harness.decider.ends()] == [
            Outcome.SUCCESS,
            Outcome.CANCELLED,
        ]


@on_loop
async def test_large_bodies_pass_both_ways_and_a_cut_one_never_looks_complete() -> None:
    body = bytes(range(256)) * 4096

    async def half(message: Message, writer: asyncio.StreamWriter) -> None:
        await plain(body)(Message("", message.headers, b""), writer)

    async def cut(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
            b"X-Request-Id: %b\r\nContent-Length: %d\r\n\r\n"
            % (message.headers["x-request-id"].encode(), len(body))
            + body[:-1]
        )
        writer.close()

    async with running_data_plane(half) as harness, harness.client() as client:
        got = await client.ask("/once/x", body=body)
        assert got.body == body
        assert harness.hosts[0].seen[0].body == body
        harness.hosts[0].behave = cut
        assert not (await client.ask("/once/x")).whole


@pytest.mark.parametrize(
    "data",
    [
        b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"Content_Length: 5\r\n\r\nhello",
        b"Host: ficu.example\r\n\r\n",
        b"X-Request-Id: 2\r\n\r\n",
        b"Authorization: Bearer x\r\n\r\n",
        b"X_Request_Id: 2\r\n\r\n",
    ],
)
@on_loop
async def test_no_request_is_smuggled(data: bytes) -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        opening = b"POST /safe/x HTTP/1.1\r\nHost: ficu.example\r\nX-Request-Id: 1\r\n"
        key = b"Authorization: Bearer %b\r\n" % KEY.encode()
        hidden = request("/safe/hidden")
        client.writer.write(opening + key + data + hidden)
        assert (await client.answer()).status == 400
        assert not harness.hosts[0].seen


@on_loop
async def test_a_chunked_body_goes_on_with_its_length() -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        client.writer.write(
            request("/safe/x", Content_Length=None, Transfer_Encoding="chunked")
            + b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Tenant-Id: zoka\r\n\r\n"
        )
        assert (await client.answer()).status == 200
        [seen] = harness.hosts[0].seen
        assert (seen.body, seen.headers["content-length"]) == (b"abcde", "5")
        assert "transfer-encoding" not in seen.headers


@on_loop
async def test_readiness() -> None:
    async with running_data_plane(plain()) as harness:

        async def asked() -> int:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.data_plane.readiness_port
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            status = int((await reader.readuntil(b"\r\n\r\n")).split()[1])
            writer.close()
            return status

        assert await asked() == 200
        harness.authority.fresh = False
        assert await asked() == 503
        harness.authority.fresh = True
        snapshot = harness.authority.now_in_force
        harness.authority.tell(harness.snapshot())
        assert await asked() == 503
        assert snapshot is not None
        harness.authority.tell(snapshot)
        assert await asked() == 200
        harness.data_plane.begin_drain()
        assert await asked() == 503
