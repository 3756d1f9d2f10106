"""The data plane on loopback: relaying, resumption, retries, refusals and truncation."""

from __future__ import annotations

import asyncio

import pytest

from roselink.http import host_pool
from roselink.routing.events_and_actions import FirstEvent, RequestClosed
from roselink.routing.outcome import Outcome
from tests.dataplane.harness import (
    API_KEY,
    event,
    request,
    respond,
    respond_not_executed,
    running_data_plane,
    stream,
    stream_head,
)
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import Behaviour, hang, send_bytes
from tests.support.http_messages import Message


@on_loop
async def test_request_and_response_are_relayed_unchanged() -> None:
    async with running_data_plane(
        respond(b"\x00body", "200 Fine", "X-Other: a", "Keep-Alive: timeout=5")
    ) as harness:
        async with harness.client() as client:
            response = await client.send_request(
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
        assert (response.status, response.body, response.complete) == (200, b"\x00body", True)
        assert response.headers["x-response-signature"] == "3e1b.07.5a2"
        assert (response.headers["x-other"], response.headers["x-request-id"]) == ("a", "abc")
        assert "keep-alive" not in response.headers
        [seen] = harness.hosts[0].seen
        assert seen.start_line == "POST /safe/a%2Fb?q=1&r HTTP/1.1"
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
        assert harness.decider.attempt_ends()[0].outcome is Outcome.SUCCESS
        assert harness.decider.count(RequestClosed) == 1
        assert not harness.data_plane.driver.open_requests


@on_loop
async def test_complete_events_are_relayed_at_once_and_incomplete_ones_buffered() -> None:
    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(message) + b"8\r\nid: 1\nda\r\n")
        await steps.get()
        writer.write(b"6\r\nta: 1\n\r\n")
        await steps.get()
        writer.write(b"7\r\n\nid: 2\n\r\n")
        await steps.get()
        writer.write(b"a\r\ndata: 2\n\n\n\r\n0\r\n\r\n")

    steps: asyncio.Queue[None] = asyncio.Queue()
    async with running_data_plane(behave) as harness, harness.client() as client:
        client.writer.write(request("/chat/x"))
        await harness.hosts[0].arrivals.get()
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.05)
        steps.put_nowait(None)
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.05)
        assert harness.decider.count(FirstEvent) == 0
        steps.put_nowait(None)
        status, headers = await client.read_head()
        assert (status, headers["versions"], headers["content-type"]) == (
            200,
            "3",
            "text/event-stream",
        )
        assert await client.read_chunk() == b"id: 1\ndata: 1\n\n"
        assert harness.decider.count(FirstEvent) == 1
        steps.put_nowait(None)
        assert await client.read_chunk() + await client.read_chunk() == b"id: 2\ndata: 2\n\n\n"
        assert await client.read_chunk() == b""
        assert harness.hosts[0].seen[0].headers["priority"] == "4"


@pytest.mark.parametrize("end", ["reset", "close", "garbage"])
@pytest.mark.parametrize("incomplete_event", [b"id: 9\nda", b""])
@on_loop
async def test_interrupted_stream_resumes_at_another_host_in_same_response(
    end: str, incomplete_event: bytes
) -> None:
    first = stream(6, cut_after=2, incomplete_event=incomplete_event or b"\n", end=end)
    async with running_data_plane(first, stream(6)) as harness, harness.client() as client:
        response = await client.send_request("/chat/x")
        assert (response.status, response.complete, response.ids) == (200, True, [1, 2, 3, 4, 5, 6])
        assert response.body == b"".join(event(number) for number in range(1, 7))
        assert harness.hosts[1].seen[0].headers["last-event-id"] == "2"
        assert harness.hosts[1].seen[0].headers["x-target-instance"] == "i-1"
        interrupted, resumed = harness.decider.attempt_ends()
        assert (interrupted.outcome, interrupted.progressed, resumed.outcome) == (
            Outcome.RESET,
            True,
            Outcome.SUCCESS,
        )
        assert [
            event.attempt for event in harness.decider.events if isinstance(event, FirstEvent)
        ] == [0, 1]


@on_loop
async def test_events_repeated_on_resumption_are_dropped() -> None:
    async def stream_from_start(message: Message, writer: asyncio.StreamWriter) -> None:
        message.headers.pop("last-event-id", None)
        await stream(5)(message, writer)

    async with (
        running_data_plane(stream(5, cut_after=3), stream_from_start) as harness,
        harness.client() as client,
    ):
        response = await client.send_request("/chat/x")
        assert (response.complete, response.ids) == (True, [1, 2, 3, 4, 5])


@on_loop
async def test_resumed_stream_with_gap_is_aborted() -> None:
    async def stream_with_gap(message: Message, writer: asyncio.StreamWriter) -> None:
        message.headers["last-event-id"] = "3"
        await stream(5)(message, writer)

    async with (
        running_data_plane(stream(5, cut_after=2), stream_with_gap, stream_with_gap) as harness,
        harness.client() as client,
    ):
        response = await client.send_request("/chat/x")
        assert (response.complete, response.ids) == (False, [1, 2])
        assert await client.closed_by_peer()


@on_loop
async def test_last_event_id_of_client_is_sent_to_first_host() -> None:
    async with (
        running_data_plane(stream(6, cut_after=5), stream(6)) as harness,
        harness.client() as client,
    ):
        response = await client.send_request("/chat/x", Last_Event_Id="3")
        assert (response.complete, response.ids) == (True, [4, 5, 6])
        assert [host.seen[0].headers["last-event-id"] for host in harness.hosts] == ["3", "5"]


@pytest.mark.parametrize("end", ["reset", "close", "garbage"])
@on_loop
async def test_interrupted_non_resumable_stream_is_aborted(end: str) -> None:
    async with (
        running_data_plane(stream(5, cut_after=2, end=end), stream(5)) as harness,
        harness.client() as client,
    ):
        response = await client.send_request("/plan/x")
        assert (response.complete, response.ids) == (False, [1, 2])
        assert await client.closed_by_peer()
        assert not harness.hosts[1].seen
        assert harness.decider.count(RequestClosed) == 1


@pytest.mark.parametrize("path", ["/plan/x", "/once/x"])
@pytest.mark.parametrize(
    ("behave", "status"),
    [
        (send_bytes(b"", end=True), 502),
        (send_bytes(b"no HTTP\r\n\r\n"), 502),
        (respond(b"x", signed=False), 502),  # a success without a signature is an error
        (respond(b"x", "503 Busy"), 502),  # no X-Not-Executed: it may have run
        (respond(b"x", "429 Much"), 502),
        (respond(b"fault", "500 Fault"), 500),
        (respond(b"late", "504 Late"), 504),
        (respond(b"none", "404 None"), 404),
        (respond_not_executed(), 503),
        (respond_not_executed("429 Much"), 503),
        (respond_not_executed("421 Other", "X-Any: 1"), 503),
        # Without the request's id a rejection is no response to it.
        (send_bytes(b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"), 502),
        (send_bytes(b"HTTP/1.1 421 Other\r\nX-Instance-Id: i-7\r\nContent-Length: 0\r\n\r\n"), 502),
        (send_bytes(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), 502),
        (
            send_bytes(
                b"HTTP/1.1 500 Fault\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"
            ),
            502,
        ),
        (
            send_bytes(
                b"HTTP/1.1 503 Full\r\nX-Request-Id: b\r\nX-Not-Executed: 1\r\n\r\n", end=True
            ),
            502,
        ),
    ],
)
@on_loop
async def test_refusal_is_sent_only_if_request_has_not_run(
    path: str, behave: Behaviour, status: int
) -> None:
    async with running_data_plane(behave) as harness, harness.client() as client:
        response = await client.send_request(path)
        assert response.status == status
        relayed = status in (500, 504, 404)
        assert ("x-response-signature" in response.headers) == relayed
        assert bool(response.body) == relayed
        assert ("retry-after" in response.headers) == (status == 503)
        assert len(harness.hosts[0].seen) == (3 if status == 503 else 1)


@pytest.mark.parametrize(
    "first",
    [
        respond_not_executed(),
        respond_not_executed("421 Other", "X-Any: 1"),
        respond_not_executed("429 Much"),
    ],
)
@pytest.mark.parametrize("path", ["/plan/x", "/once/x", "/safe/x"])
@on_loop
async def test_rejected_request_is_retried_at_another_host(path: str, first: Behaviour) -> None:
    second = stream(3) if path == "/plan/x" else respond(b"done")
    async with running_data_plane(first, second) as harness, harness.client() as client:
        response = await client.send_request(path)
        assert (response.status, response.complete) == (200, True)
        assert harness.decider.attempt_ends()[0].outcome is Outcome.FULL


@on_loop
async def test_host_error_is_retried_only_on_repeatable_route() -> None:
    async with (
        running_data_plane(respond(b"fault", "500 Fault"), respond(b"done")) as harness,
        harness.client() as client,
    ):
        assert (await client.send_request("/safe/x")).body == b"done"
        assert (await client.send_request("/once/x")).body == b"fault"


@pytest.mark.parametrize(
    ("arguments", "status"),
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
async def test_status_by_route_and_key(arguments: dict[str, str], status: int) -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        assert (await client.send_request(**arguments)).status == status
        for seen in harness.hosts[0].seen:
            assert "authorization" not in seen.headers
            assert ("x-tenant-id" in seen.headers) == seen.start_line.startswith("POST /safe")


@on_loop
async def test_without_confirmed_keys_gateway_refuses_keyed_routes_and_is_not_ready() -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        harness.authority.keys_usable = False
        for path, status in (("/safe/x", 503), ("/nowhere/x", 503), ("/open/x", 200)):
            response = await client.send_request(path)
            assert (response.status, "retry-after" in response.headers) == (status, status == 503)
        assert (await client.send_request("/safe/x", key="unknown")).status == 503
        assert not harness.data_plane.ready()


@pytest.mark.parametrize("lost", ["lease", "key"])
@on_loop
async def test_request_is_not_retried_after_loss_of_lease_or_key(lost: str) -> None:
    async def reject(message: Message, writer: asyncio.StreamWriter) -> None:
        if lost == "lease":
            harness.authority.keys_usable = False
        else:
            entries = (
                harness.authority.current_snapshot.hosts
                if harness.authority.current_snapshot
                else ()
            )
            harness.authority.publish(
                harness.snapshot(*entries, tenants=[{"name": "huka", "api_keys": ["new"]}])
            )
        await respond_not_executed()(message, writer)

    async with running_data_plane(reject, respond()) as harness, harness.client() as client:
        response = await client.send_request("/safe/x")
        assert (response.status, "retry-after" in response.headers) == (503, True)
        assert not harness.hosts[1].seen


@pytest.mark.parametrize("delayed", [False, True])
@on_loop
async def test_quota_is_requested_once_and_refusal_gives_429(delayed: bool) -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        harness.quotas.delayed = delayed
        assert (await client.send_request(X_Token_Usage="1460,80")).status == 200
        assert (await client.send_request()).status == 200
        assert (
            await client.send_request(key="key-of-zoka")
        ).status == 200  # tenant without a quota
        assert (await client.send_request("/open/x")).status == 200
        assert harness.quotas.requested == [("huka", 1540.0), ("huka", 200.0)]
        harness.quotas.allowed = False
        response = await client.send_request()
        assert (response.status, response.headers["retry-after"]) == (429, "0.700")
        assert len(harness.hosts[0].seen) == 4


@on_loop
async def test_deadline_gives_503_if_nothing_was_sent_and_504_otherwise() -> None:
    async with running_data_plane(hang) as harness, harness.client() as client:
        assert (await client.send_request("/brief/x")).status == 504
        assert (await client.send_request("/safe/x", X_Request_Deadline="200")).status == 504
        await until(lambda: len(harness.decider.attempt_ends()) == 2)
        assert [end.outcome for end in harness.decider.attempt_ends()] == [Outcome.TIMEOUT] * 2
        harness.authority.publish(harness.snapshot())
        harness.decider.hosts = ["i-gone"]
        assert (await client.send_request("/once/x", X_Request_Deadline="200")).status == 503


@on_loop
async def test_client_disconnect_cancels_attempts() -> None:
    async with running_data_plane(hang) as harness:
        async with harness.client() as client:
            client.writer.write(request("/chat/x"))
            await harness.hosts[0].arrivals.get()
        await harness.hosts[0].closed.get()
        await until(
            lambda: (
                harness.decider.count(RequestClosed) == 1 and bool(harness.decider.attempt_ends())
            )
        )
        assert harness.decider.attempt_ends()[0].outcome is Outcome.CANCELLED


@on_loop
async def test_response_to_another_request_is_discarded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)

    async def late(message: Message, writer: asyncio.StreamWriter) -> None:
        if len(harness.hosts[0].seen) > 1:
            other = Message("", {"x-request-id": "another"}, b"")
            await respond(b"of another")(other, writer)
        await respond(b"mine", "200 OK", "Keep-Alive: timeout=9")(message, writer)

    async with running_data_plane(late) as harness, harness.client() as client:
        assert (await client.send_request("/once/x")).body == b"mine"
        assert (await client.send_request("/once/x")).body == b"mine"
        assert len(harness.hosts[0].writers) == 1
        await until(lambda: len(harness.decider.attempt_ends()) == 2)
        assert not harness.data_plane.driver.hosts["i-0"].idle  # the connection is not reused


@on_loop
async def test_bytes_after_response_close_connection() -> None:
    async with running_data_plane(
        respond(b"mine", trailing=b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
    ) as harness:
        async with harness.client() as client:
            for _ in range(3):
                assert (await client.send_request("/once/x")).body == b"mine"
        assert len(harness.hosts[0].writers) == 3


@on_loop
async def test_hedged_attempt_is_cancelled_after_success_of_other() -> None:
    async with running_data_plane(hang, respond(b"second")) as harness, harness.client() as client:
        harness.decider.hedges = 1
        assert (await client.send_request("/safe/x")).body == b"second"
        await until(lambda: len(harness.decider.attempt_ends()) == 2)
        assert [end.outcome for end in harness.decider.attempt_ends()] == [
            Outcome.SUCCESS,
            Outcome.CANCELLED,
        ]


@on_loop
async def test_large_bodies_are_relayed_and_truncated_one_is_aborted() -> None:
    body = bytes(range(256)) * 4096

    async def respond_with_body(message: Message, writer: asyncio.StreamWriter) -> None:
        await respond(body)(Message("", message.headers, b""), writer)

    async def truncate(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
            b"X-Request-Id: %b\r\nContent-Length: %d\r\n\r\n"
            % (message.headers["x-request-id"].encode(), len(body))
            + body[:-1]
        )
        writer.close()

    async with running_data_plane(respond_with_body) as harness, harness.client() as client:
        response = await client.send_request("/once/x", body=body)
        assert response.body == body
        assert harness.hosts[0].seen[0].body == body
        harness.hosts[0].behave = truncate
        assert not (await client.send_request("/once/x")).complete


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
async def test_ambiguous_framing_or_headers_are_rejected(data: bytes) -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        opening = b"POST /safe/x HTTP/1.1\r\nHost: ficu.example\r\nX-Request-Id: 1\r\n"
        key = b"Authorization: Bearer %b\r\n" % API_KEY.encode()
        smuggled = request("/safe/hidden")
        client.writer.write(opening + key + data + smuggled)
        assert (await client.read_response()).status == 400
        assert not harness.hosts[0].seen


@on_loop
async def test_chunked_request_body_is_sent_with_content_length() -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        client.writer.write(
            request("/safe/x", Content_Length=None, Transfer_Encoding="chunked")
            + b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Tenant-Id: zoka\r\n\r\n"
        )
        assert (await client.read_response()).status == 200
        [seen] = harness.hosts[0].seen
        assert (seen.body, seen.headers["content-length"]) == (b"abcde", "5")
        assert "transfer-encoding" not in seen.headers


@on_loop
async def test_readiness_follows_keys_hosts_and_drain() -> None:
    async with running_data_plane(respond()) as harness:

        async def readiness_status() -> int:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.data_plane.readiness_port
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            status = int((await reader.readuntil(b"\r\n\r\n")).split()[1])
            writer.close()
            return status

        assert await readiness_status() == 200
        harness.authority.keys_usable = False
        assert await readiness_status() == 503
        harness.authority.keys_usable = True
        snapshot = harness.authority.current_snapshot
        harness.authority.publish(harness.snapshot())
        assert await readiness_status() == 503
        assert snapshot is not None
        harness.authority.publish(snapshot)
        assert await readiness_status() == 200
        harness.data_plane.begin_drain()
        assert await readiness_status() == 503
