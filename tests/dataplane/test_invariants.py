"""Invariants for any decider: deadlines, single execution, complete streams."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from roselink.dataplane import fleet_host_pool
from roselink.dataplane.drain import DrainTimes
from roselink.dataplane.fleet_host_connection import PROVABLY_UNSENT_LIMIT_BYTES
from roselink.dataplane.proxy_request import Headers, read_request
from roselink.http import host_pool
from roselink.http.pending_request import RequestOrigin
from roselink.routing.events_and_actions import Action, AttemptEnded, RequestArrived
from roselink.routing.outcome import NEVER_RAN, Outcome
from tests.dataplane.harness import (
    API_KEY,
    DataPlaneHarness,
    FakeDecider,
    event,
    host_entry,
    request,
    respond,
    respond_not_executed,
    response_head,
    running_data_plane,
    stream,
    stream_head,
)
from tests.dataplane.harness import chunk as chunk_of
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import Behaviour, FakeHost, hang
from tests.support.http_messages import Message, reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.dataplane.exchange import ClientResponse

PAUSE_S = 0.2
TIMING_TOLERANCE_MS = 120  # for scheduling delays of the test machine


class RetryingDecider(FakeDecider):
    """Decider that retries after every failure and resumes every response that has begun."""

    def handle_end(self, event: AttemptEnded) -> list[Action]:
        self.open_attempts[event.number] -= 1
        if event.outcome is Outcome.SUCCESS or event.relayed or self.sent[event.number] > 4:
            return []
        return [self.send(event.number, event.progressed)]


def sent_deadline_ms(harness: DataPlaneHarness, host: int) -> int:
    return int(harness.hosts[host].seen[0].headers["x-request-deadline"])


# Deadlines.


@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/plan/x", "/chat/x"])
@on_loop
async def test_retry_sends_remaining_time_as_deadline(path: str) -> None:
    async def reject_slowly(message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(PAUSE_S)
        await respond_not_executed()(message, writer)

    last = stream(2) if path in ("/plan/x", "/chat/x") else respond()
    async with (
        running_data_plane(reject_slowly, reject_slowly, last) as harness,
        harness.client() as client,
    ):
        assert (await client.send_request(path, X_Request_Deadline="1000")).status == 200
        deadlines_ms = [sent_deadline_ms(harness, host) for host in range(3)]
        for attempt, deadline_ms in enumerate(deadlines_ms):
            maximum = 1000 - attempt * PAUSE_S * 1000
            assert maximum - TIMING_TOLERANCE_MS < deadline_ms < maximum


@pytest.mark.parametrize(
    ("path", "maximum"), [("/brief/x", 300), ("/safe/x", 15000), ("/chat/x", 15000)]
)
@on_loop
async def test_host_deadline_is_capped_by_route_timeout(path: str, maximum: int) -> None:
    last = stream(2) if path == "/chat/x" else respond()
    async with running_data_plane(last) as harness, harness.client() as client:
        assert (await client.send_request(path, X_Request_Deadline="60000")).status == 200
        assert maximum - TIMING_TOLERANCE_MS < sent_deadline_ms(harness, 0) < maximum
        await client.send_request(path, X_Request_Deadline=None)
        assert int(harness.hosts[0].seen[1].headers["x-request-deadline"]) < maximum


@on_loop
async def test_resumption_sends_remaining_time_as_deadline() -> None:
    async def reject_slowly(message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(PAUSE_S)
        await stream(4, cut_after=2)(message, writer)

    async with running_data_plane(reject_slowly, stream(4)) as harness, harness.client() as client:
        assert (await client.send_request("/chat/x", X_Request_Deadline="1000")).ids == [1, 2, 3, 4]
        assert sent_deadline_ms(harness, 1) < 1000 - PAUSE_S * 1000


@on_loop
async def test_no_attempt_is_sent_after_deadline() -> None:
    async def late(message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.3)
        await respond_not_executed()(message, writer)

    async with running_data_plane(late, respond()) as harness, harness.client() as client:
        assert (await client.send_request("/safe/x", X_Request_Deadline="200")).status == 504
        await asyncio.sleep(0.3)
        assert not harness.hosts[1].seen


# Single execution.


@pytest.mark.parametrize("path", ["/once/x", "/plan/x"])
@pytest.mark.parametrize("behave", [hang, respond(b"x", "500 Fault"), respond(signed=False)])
@on_loop
async def test_non_repeatable_request_that_may_have_run_is_not_resent(
    path: str, behave: Behaviour
) -> None:
    decider = RetryingDecider()
    decider.hedges = 1
    async with (
        running_data_plane(behave, respond(), custom_decider=decider) as harness,
        harness.client() as client,
    ):
        await client.send_request(path, X_Request_Deadline="200")
        assert len(harness.hosts[0].seen) == 1
        assert not harness.hosts[1].seen


@on_loop
async def test_non_resumable_stream_is_not_resumed_on_request_of_decider() -> None:
    async with (
        running_data_plane(
            stream(5, cut_after=2), stream(5), custom_decider=RetryingDecider()
        ) as harness,
        harness.client() as client,
    ):
        response = await client.send_request("/plan/x")
        assert (response.complete, response.ids) == (False, [1, 2])
        assert not harness.hosts[1].seen


@on_loop
async def test_stream_without_ids_is_not_resumed() -> None:
    async def unnumbered(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(message) + chunk_of(b"data: one\n\n"))
        await asyncio.sleep(0.03)
        writer.close()

    async with (
        running_data_plane(unnumbered, stream(3), custom_decider=RetryingDecider()) as harness,
        harness.client() as client,
    ):
        response = await client.send_request("/chat/x")
        assert (response.complete, response.body) == (False, b"data: one\n\n")
        assert not harness.hosts[1].seen


@on_loop
async def test_interrupted_relay_of_plain_response_is_not_retried() -> None:
    async def cut(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(response_head(message) + b"Content-Length: 900000\r\n\r\n" + bytes(400_000))
        await asyncio.sleep(0.05)
        writer.close()

    async with (
        running_data_plane(cut, respond(), custom_decider=RetryingDecider()) as harness,
        harness.client() as client,
    ):
        assert not (await client.send_request("/safe/x")).complete
        assert not harness.hosts[1].seen


async def reset_before_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read part of a request and reset the connection while the rest is being written."""
    await reader.read(1000)
    reset(writer)


@pytest.mark.parametrize(
    "size", [40 * PROVABLY_UNSENT_LIMIT_BYTES, 100 * PROVABLY_UNSENT_LIMIT_BYTES]
)
@on_loop
async def test_long_request_with_failed_write_counts_as_may_have_run(size: int) -> None:
    listener = await asyncio.start_server(reset_before_end, "127.0.0.1", 0, limit=1024)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    async with running_data_plane(
        respond(), respond(), limits={"max_body_bytes": 200 * PROVABLY_UNSENT_LIMIT_BYTES}
    ) as harness:
        breaking = host_entry(harness.hosts[0], id="i-breaking", address=address)
        entries = (breaking, host_entry(harness.hosts[1]))
        harness.authority.publish(
            harness.snapshot(*entries, limits={"max_body_bytes": 200 * PROVABLY_UNSENT_LIMIT_BYTES})
        )
        async with harness.client() as client:
            assert (await client.send_request("/once/x", body=bytes(size))).status == 502
        assert not harness.hosts[1].seen
        assert [end.outcome for end in harness.decider.attempt_ends()] == [Outcome.RESET]
    listener.close()


# Disconnected clients.


class DisconnectedClient:
    """Client whose disconnect the event loop has not reported yet."""

    def __init__(self) -> None:
        self.statuses: list[int] = []

    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        self.statuses.append(status)

    def send_status(self, status: int, retry_after_s: float | None = None) -> None:
        self.statuses.append(status)

    def send_head(self, status: int, headers: Headers, length: int | None) -> None:
        self.statuses.append(status)

    def send_body(self, data: bytes) -> None: ...

    def send_end(self) -> None: ...

    def abort_response(self) -> None: ...

    def has_left(self) -> bool:
        return True

    def is_write_paused(self) -> bool:
        return False

    def request_origin(self) -> RequestOrigin:
        return RequestOrigin(0, sent_ahead=False, idle_s=0.0, promised_s=0.0)


@pytest.mark.parametrize("path", [b"/once/x", b"/safe/x", b"/chat/x"])
@pytest.mark.parametrize("reuse_connection", [False, True])
@on_loop
async def test_no_attempt_is_sent_for_disconnected_client(
    path: bytes, reuse_connection: bool
) -> None:
    async with running_data_plane(respond(b"ok", "200 OK", "Keep-Alive: timeout=9")) as harness:
        if reuse_connection:
            async with harness.client() as client:
                assert (await client.send_request("/safe/x")).status == 200
        before = len(harness.hosts[0].seen)
        disconnected_client: ClientResponse = DisconnectedClient()
        headers = [
            (b"Host", b"ficu.example"),
            (b"X-Request-Id", b"left"),
            (b"Authorization", b"Bearer " + API_KEY.encode()),
        ]
        proxy_request = read_request(b"POST", path, headers, b"", asyncio.get_running_loop().time())
        harness.data_plane.driver.accept(proxy_request, disconnected_client)
        await until(lambda: not harness.data_plane.driver.open_requests)
        await asyncio.sleep(0.05)
        assert len(harness.hosts[0].seen) == before
        assert harness.data_plane.driver.counts["departed"] == 1
        assert harness.quotas.returned == [("huka", 200.0)]


# Response integrity.


@on_loop
async def test_resumed_stream_that_skips_events_is_aborted_at_gap() -> None:
    async def skip_events(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(message) + chunk_of(event(4)) + chunk_of(event(5)))
        writer.write(b"0\r\n\r\n")

    async with (
        running_data_plane(stream(5, cut_after=2), skip_events, skip_events) as harness,
        harness.client() as client,
    ):
        response = await client.send_request("/chat/x")
        assert (response.complete, response.ids) == (False, [1, 2])
        outcomes = [end.outcome for end in harness.decider.attempt_ends()[1:]]
        assert outcomes
        assert set(outcomes) == {Outcome.RESET}  # a host that skipped events has no success


@pytest.mark.parametrize("reuse_delay_s", [0.0, 0.05])
@on_loop
async def test_bytes_shortly_after_response_are_discarded(
    reuse_delay_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", reuse_delay_s)
    monkeypatch.setattr(fleet_host_pool, "NON_REPEATABLE_IDLE_LIMIT_S", 1.0)

    async def respond_twice(message: Message, writer: asyncio.StreamWriter) -> None:
        head = (
            response_head(message, "200 OK", "Keep-Alive: timeout=9") + b"Content-Length: 4\r\n\r\n"
        )
        writer.write(head + b"mine")
        await asyncio.sleep(0.01)
        writer.write(head + b"more")

    async with running_data_plane(respond_twice) as harness, harness.client() as client:
        for _ in range(4):
            response = await client.send_request("/once/x")
            assert (response.status, response.body) == (200, b"mine")
            await asyncio.sleep(0.03)


class EarlyRejectingHost(FakeHost):
    """Host that rejects requests before their body, which it reads later on the connection."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.violations: list[bytes] = []
        self.bodies = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not head.startswith(b"POST /"):
                    self.violations.append(head[:60])
                headers = dict(
                    line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
                )
                refusal = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nKeep-Alive: timeout=9\r\n"
                writer.write(
                    refusal
                    + b"X-Request-Id: "
                    + headers[b"X-Request-Id"]
                    + b"\r\nContent-Length: 0\r\n\r\n"
                )
                await asyncio.sleep(0.1)
                body = await reader.readexactly(int(headers[b"Content-Length"]))
                self.bodies += 1
                if body.strip(b"."):
                    self.violations.append(body.strip(b".")[:60])
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            writer.close()


@pytest.mark.parametrize(
    "size", [1000, 20 * PROVABLY_UNSENT_LIMIT_BYTES, 80 * PROVABLY_UNSENT_LIMIT_BYTES]
)
@on_loop
async def test_connection_with_unsent_body_is_not_reused(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)
    monkeypatch.setattr(fleet_host_pool, "NON_REPEATABLE_IDLE_LIMIT_S", 1.0)
    early = await EarlyRejectingHost("i-early").start()
    assert isinstance(early, EarlyRejectingHost)
    limits = {"max_body_bytes": 200 * PROVABLY_UNSENT_LIMIT_BYTES}
    async with running_data_plane(respond(), limits=limits) as harness:
        harness.authority.publish(harness.snapshot(host_entry(early), limits=limits))
        for _ in range(3):
            async with harness.client() as client:
                assert (await client.send_request("/once/x", body=b"." * size)).status == 503
        await asyncio.sleep(0.4)
        assert early.violations == []
    early.down()


@pytest.mark.parametrize("kind", ["streaming", "idempotent"])
@on_loop
async def test_client_disconnect_closes_host_connection_promptly(kind: str) -> None:
    path = "/chat/x" if kind == "streaming" else "/safe/x"
    async with running_data_plane(hang) as harness:
        async with harness.client() as client:
            client.writer.write(request(path))
            await harness.hosts[0].arrivals.get()
        disconnected_at = asyncio.get_running_loop().time()
        await harness.hosts[0].closed.get()
        assert asyncio.get_running_loop().time() - disconnected_at < 0.3


# Faulty deciders, quotas and hosts.


@on_loop
async def test_attempt_at_host_of_another_service_is_not_sent() -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        harness.authority.publish(
            harness.snapshot(host_entry(harness.hosts[0], id="i-other", service="other"))
        )
        harness.decider.hosts = ["i-other"]
        assert (await client.send_request("/safe/x", X_Request_Deadline="300")).status == 503
        assert not harness.hosts[0].seen


class SlowDecider(FakeDecider):
    """Decider that may block for so long that the deadline passes."""

    pause_s = 0.0

    def handle_end(self, event: AttemptEnded) -> list[Action]:
        time.sleep(self.pause_s)
        return (
            [self.send(event.number)]
            if event.outcome in NEVER_RAN and self.sent[event.number] < 3
            else []
        )


@on_loop
async def test_no_attempt_is_sent_after_deadline_when_loop_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection to the second host is already open, so that a send would take no time."""
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)
    decider = SlowDecider()
    keep_alive = respond(b"ok", "200 OK", "Keep-Alive: timeout=9")
    async with (
        running_data_plane(respond_not_executed(), keep_alive, custom_decider=decider) as harness,
        harness.client() as client,
    ):
        assert (await client.send_request("/safe/x")).status == 200
        decider.pause_s = 0.3
        assert (await client.send_request("/safe/x", X_Request_Deadline="200")).status == 503
        await asyncio.sleep(0.1)
        assert len(harness.hosts[1].seen) == 1


class SilentDecider(FakeDecider):
    """Decider that returns no action after any attempt."""

    def handle_end(self, event: AttemptEnded) -> list[Action]:
        return []


@on_loop
async def test_interrupted_non_resumable_stream_ends_without_decider() -> None:
    async with (
        running_data_plane(stream(5, cut_after=2), custom_decider=SilentDecider()) as harness,
        harness.client() as client,
    ):
        started_at = asyncio.get_running_loop().time()
        response = await client.send_request("/plan/x")
        assert (response.complete, response.ids) == (False, [1, 2])
        assert asyncio.get_running_loop().time() - started_at < 1.0


@on_loop
async def test_duplicate_quota_decision_admits_request_once() -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:

        def decide_twice(
            tenant: object, amount: float, decide: Callable[[bool, float], None]
        ) -> None:
            decide(True, 0.0)
            decide(True, 0.0)
            asyncio.get_running_loop().call_soon(decide, True, 0.0)

        harness.quotas.admit = decide_twice  # type: ignore[method-assign]
        assert (await client.send_request("/once/x")).status == 200
        assert harness.decider.count(RequestArrived) == 1
        assert len(harness.hosts[0].seen) == 1


@on_loop
async def test_unrequested_bytes_close_idle_connection() -> None:
    async def send_unrequested_bytes(message: Message, writer: asyncio.StreamWriter) -> None:
        await respond(b"ok", "200 OK", "Keep-Alive: timeout=9")(message, writer)
        await asyncio.sleep(0.1)
        writer.write(b"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n")

    async with running_data_plane(send_unrequested_bytes) as harness, harness.client() as client:
        assert (await client.send_request("/once/x")).status == 200
        await asyncio.wait_for(
            harness.hosts[0].closed.get(), 0.35
        )  # long before the sweep of stale connections


class NonReadingHost(FakeHost):
    """Host that rejects long requests before their body and then stops reading the connection."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = {
                    k.lower(): v.strip()
                    for k, _, v in (x.partition(":") for x in head.split("\r\n"))
                }
                message = Message(head.split("\r\n")[0], headers, b"")
                keep_alive = "Keep-Alive: timeout=9"
                if int(headers["content-length"]) > PROVABLY_UNSENT_LIMIT_BYTES:
                    await respond_not_executed("503 Full", "X-Not-Executed: 1", keep_alive)(
                        message, writer
                    )
                    await asyncio.Event().wait()
                await respond(b"ok", "200 OK", keep_alive)(message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@on_loop
async def test_connection_with_unread_body_is_not_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)
    stuck = await NonReadingHost("i-stuck").start()
    limits = {"max_body_bytes": 200 * PROVABLY_UNSENT_LIMIT_BYTES}
    async with running_data_plane(respond(), limits=limits) as harness:
        harness.authority.publish(harness.snapshot(host_entry(stuck), limits=limits))
        async with harness.client() as client:
            assert (
                await client.send_request("/once/x", body=bytes(150 * PROVABLY_UNSENT_LIMIT_BYTES))
            ).status == 503
        async with harness.client() as client:
            assert (await client.send_request("/safe/x", X_Request_Deadline="1000")).status == 200
    stuck.down()


# Expired requests and the end of a drain.


@on_loop
async def test_expired_request_is_refused_without_quota_or_decider() -> None:
    async with running_data_plane(respond()) as harness, harness.client() as client:
        response = await client.send_request("/safe/x", X_Request_Deadline="0")
        assert (response.status, float(response.headers["retry-after"])) == (503, 0.0)
        assert harness.quotas.requested == []
        assert harness.decider.count(RequestArrived) == 0


@pytest.mark.parametrize("received_before_drain", [True, False])
@on_loop
async def test_drain_limits_deadline_of_open_and_new_requests(received_before_drain: bool) -> None:
    async with running_data_plane(hang) as harness, harness.client() as client:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if received_before_drain:
            client.writer.write(request("/safe/x"))
            await until(lambda: bool(harness.hosts[0].seen))
        now = loop.time()
        times = DrainTimes(now, now + PAUSE_S, now + PAUSE_S, now + PAUSE_S)
        harness.data_plane.driver.drain(times)
        if not received_before_drain:
            client.writer.write(request("/safe/x"))
        assert (await client.read_response()).status == 504
        assert loop.time() - started_at < 2.0  # the client's deadline is 5 s
