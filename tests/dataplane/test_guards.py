"""What the data plane holds to whatever its decider says: the client's time, one run, whole
streams.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from roselink.dataplane import fleet_host_pool
from roselink.dataplane.fleet_host_connection import PROVABLY_UNSENT_LIMIT_BYTES
from roselink.dataplane.proxy_request import Headers, read_request
from roselink.http import host_pool
from roselink.routing.events_and_actions import Action, AttemptEnded, RequestArrived
from roselink.routing.outcome import NEVER_RAN, Outcome
from tests.dataplane.harness import (
    KEY,
    DataPlaneHarness,
    FakeDecider,
    event,
    head,
    host_line,
    plain,
    rejects,
    request,
    running_data_plane,
    sse,
    stream,
)
from tests.dataplane.harness import chunk as chunk_of
from tests.support.event_loop import on_loop, until
from tests.support.fake_hosts import Behaviour, FakeHost, hang
from tests.support.http_messages import Message, reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.dataplane.exchange import ClientResponse

PAUSE_S = 0.2
MARGIN_MS = 120  # for the machine that runs the test


class Greedy(FakeDecider):
    """Sends again at every end, and resumes whatever has begun."""

    def ended(self, told: AttemptEnded) -> list[Action]:
        self.out[told.number] -= 1
        if told.outcome is Outcome.SUCCESS or told.relayed or self.sent[told.number] > 4:
            return []
        return [self.send(told.number, told.progressed)]


def handed_ms(harness: DataPlaneHarness, host: int) -> int:
    return int(harness.hosts[host].seen[0].headers["x-request-deadline"])


# Time.


@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/plan/x", "/chat/x"])
@on_loop
async def test_each_host_is_handed_only_what_is_left(path: str) -> None:
    async def slowly(message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(PAUSE_S)
        await rejects()(message, writer)

    last = stream(2) if path in ("/plan/x", "/chat/x") else plain()
    async with running_data_plane(slowly, slowly, last) as harness, harness.client() as client:
        assert (await client.ask(path, X_Request_Deadline="1000")).status == 200
        told = [handed_ms(harness, host) for host in range(3)]
        for attempt, left_ms in enumerate(told):
            most = 1000 - attempt * PAUSE_S * 1000
            assert most - MARGIN_MS < left_ms < most


@pytest.mark.parametrize(
    ("path", "most"), [("/brief/x", 300), ("/safe/x", 15000), ("/chat/x", 15000)]
)
@on_loop
async def test_a_host_is_handed_no_more_than_its_route_allows(path: str, most: int) -> None:
    last = stream(2) if path == "/chat/x" else plain()
    async with running_data_plane(last) as harness, harness.client() as client:
        assert (await client.ask(path, X_Request_Deadline="60000")).status == 200
        assert most - MARGIN_MS < handed_ms(harness, 0) < most
        await client.ask(path, X_Request_Deadline=None)
        assert int(harness.hosts[0].seen[1].headers["x-request-deadline"]) < most


@on_loop
async def test_a_resumed_stream_is_handed_only_what_is_left() -> None:
    async def slowly(message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(PAUSE_S)
        await stream(4, cut_after=2)(message, writer)

    async with running_data_plane(slowly, stream(4)) as harness, harness.client() as client:
        assert (await client.ask("/chat/x", X_Request_Deadline="1000")).ids == [1, 2, 3, 4]
        assert handed_ms(harness, 1) < 1000 - PAUSE_S * 1000


@on_loop
async def test_nothing_is_sent_once_the_time_is_up() -> None:
    async def late(message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.3)
        await rejects()(message, writer)

    async with running_data_plane(late, plain()) as harness, harness.client() as client:
        assert (await client.ask("/safe/x", X_Request_Deadline="200")).status == 504
        await asyncio.sleep(0.3)
        assert not harness.hosts[1].seen


# No second run.


@pytest.mark.parametrize("path", ["/once/x", "/plan/x"])
@pytest.mark.parametrize("behave", [hang, plain(b"x", "500 Fault"), plain(stamp=False)])
@on_loop
async def test_what_may_have_run_is_sent_to_nobody_else_whatever_the_decider_says(
    path: str, behave: Behaviour
) -> None:
    decider = Greedy()
    decider.hedges = 1
    async with (
        running_data_plane(behave, plain(), by=decider) as harness,
        harness.client() as client,
    ):
        await client.ask(path, X_Request_Deadline="200")
        assert len(harness.hosts[0].seen) == 1
        assert not harness.hosts[1].seen


@on_loop
async def test_a_stream_that_may_not_resume_is_resumed_by_nobody_whatever_the_decider_says() -> (
    None
):
    async with (
        running_data_plane(stream(5, cut_after=2), stream(5), by=Greedy()) as harness,
        harness.client() as client,
    ):
        got = await client.ask("/plan/x")
        assert (got.whole, got.ids) == (False, [1, 2])
        assert not harness.hosts[1].seen


@on_loop
async def test_a_stream_without_ids_is_resumed_by_nobody() -> None:
    async def unnumbered(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(sse(message) + chunk_of(b"data: one\n\n"))
        await asyncio.sleep(0.03)
        writer.close()

    async with (
        running_data_plane(unnumbered, stream(3), by=Greedy()) as harness,
        harness.client() as client,
    ):
        got = await client.ask("/chat/x")
        assert (got.whole, got.body) == (False, b"data: one\n\n")
        assert not harness.hosts[1].seen


@on_loop
async def test_an_answer_that_has_begun_and_is_no_stream_is_begun_by_nobody_else() -> None:
    async def cut(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(head(message) + b"Content-Length: 900000\r\n\r\n" + bytes(400_000))
        await asyncio.sleep(0.05)
        writer.close()

    async with running_data_plane(cut, plain(), by=Greedy()) as harness, harness.client() as client:
        assert not (await client.ask("/safe/x")).whole
        assert not harness.hosts[1].seen


async def resets_unread(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Takes some of a request, and breaks off while the rest is being written."""
    await reader.read(1000)
    reset(writer)


@pytest.mark.parametrize(
    "size", [40 * PROVABLY_UNSENT_LIMIT_BYTES, 100 * PROVABLY_UNSENT_LIMIT_BYTES]
)
@on_loop
async def test_a_long_request_that_fails_while_it_is_written_may_have_run(size: int) -> None:
    listener = await asyncio.start_server(resets_unread, "127.0.0.1", 0, limit=1024)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    async with running_data_plane(
        plain(), plain(), limits={"max_body_bytes": 200 * PROVABLY_UNSENT_LIMIT_BYTES}
    ) as harness:
        breaking = host_line(harness.hosts[0], id="i-breaking", address=address)
        lines = (breaking, host_line(harness.hosts[1]))
        harness.authority.tell(
            harness.snapshot(*lines, limits={"max_body_bytes": 200 * PROVABLY_UNSENT_LIMIT_BYTES})
        )
        async with harness.client() as client:
            assert (await client.ask("/once/x", body=bytes(size))).status == 502
        assert not harness.hosts[1].seen
        assert [end.outcome for end in harness.decider.ends()] == [Outcome.RESET]
    listener.close()


# Clients that leave.


class GoneClient:
    """A client that has left, though the loop has not told so yet."""

    def __init__(self) -> None:
        self.answers: list[int] = []

    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        self.answers.append(status)

    def send_status(self, status: int, retry_after_s: float | None = None) -> None:
        self.answers.append(status)

    def send_head(self, status: int, headers: Headers, length: int | None) -> None:
        self.answers.append(status)

    def send_body(self, data: bytes) -> None: ...

    def send_end(self) -> None: ...

    def abort_response(self) -> None: ...

    def has_left(self) -> bool:
        return True

    def is_write_paused(self) -> bool:
        return False


@pytest.mark.parametrize("path", [b"/once/x", b"/safe/x", b"/chat/x"])
@pytest.mark.parametrize("warm", [False, True])
@on_loop
async def test_nothing_is_sent_for_a_client_that_has_left(path: bytes, warm: bool) -> None:
    async with running_data_plane(plain(b"ok", "200 OK", "Keep-Alive: timeout=9")) as harness:
        if warm:
            async with harness.client() as client:
                assert (await client.ask("/safe/x")).status == 200
        before = len(harness.hosts[0].seen)
        client_left: ClientResponse = GoneClient()
        headers = [
            (b"Host", b"ficu.example"),
            (b"X-Request-Id", b"left"),
            (b"Authorization", b"Bearer " + KEY.encode()),
        ]
        asked = read_request(b"POST", path, headers, b"", asyncio.get_running_loop().time())
        harness.data_plane.driver.accept(asked, client_left)
        await until(lambda: not harness.data_plane.driver.open_requests)
        await asyncio.sleep(0.05)
        assert len(harness.hosts[0].seen) == before
        assert harness.data_plane.driver.counts["departed"] == 1
        assert harness.quotas.given_back == [("huka", 200.0)]


# Streams without a gap.


@on_loop
async def test_a_resumed_stream_that_leaves_events_out_is_cut_off_before_them() -> None:
    async def skips(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(sse(message) + chunk_of(event(4)) + chunk_of(event(5)))
        writer.write(b"0\r\n\r\n")

    async with (
        running_data_plane(stream(5, cut_after=2), skips, skips) as harness,
        harness.client() as client,
    ):
        got = await client.ask("/chat/x")
        assert (got.whole, got.ids) == (False, [1, 2])
        spoilt = [end.outcome for end in harness.decider.ends()[1:]]
        assert spoilt
        assert set(spoilt) == {Outcome.RESET}  # and no success for a host that skipped


@pytest.mark.parametrize("settle", [0.0, 0.05])
@on_loop
async def test_bytes_that_come_right_behind_an_answer_reach_nobody(
    settle: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", settle)
    monkeypatch.setattr(fleet_host_pool, "NON_REPEATABLE_IDLE_LIMIT_S", 1.0)

    async def doubled(message: Message, writer: asyncio.StreamWriter) -> None:
        answered = head(message, "200 OK", "Keep-Alive: timeout=9") + b"Content-Length: 4\r\n\r\n"
        writer.write(answered + b"mine")
        await asyncio.sleep(0.01)
        writer.write(answered + b"more")

    async with running_data_plane(doubled) as harness, harness.client() as client:
        for _ in range(4):
            got = await client.ask("/once/x")
            assert (got.status, got.body) == (200, b"mine")
            await asyncio.sleep(0.03)


class EarlyHost(FakeHost):
    """Rejects a long request before its body has come, keeps the connection, and reads on later."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.wrong: list[bytes] = []
        self.bodies = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                top = await reader.readuntil(b"\r\n\r\n")
                if not top.startswith(b"POST /"):
                    self.wrong.append(top[:60])
                lines = dict(
                    line.split(b": ", 1) for line in top.split(b"\r\n")[1:] if b": " in line
                )
                answered = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nKeep-Alive: timeout=9\r\n"
                writer.write(
                    answered
                    + b"X-Request-Id: "
                    + lines[b"X-Request-Id"]
                    + b"\r\nContent-Length: 0\r\n\r\n"
                )
                await asyncio.sleep(0.1)
                body = await reader.readexactly(int(lines[b"Content-Length"]))
                self.bodies += 1
                if body.strip(b"."):
                    self.wrong.append(body.strip(b".")[:60])
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            writer.close()


@pytest.mark.parametrize(
    "size", [1000, 20 * PROVABLY_UNSENT_LIMIT_BYTES, 80 * PROVABLY_UNSENT_LIMIT_BYTES]
)
@on_loop
async def test_no_other_request_goes_where_the_rest_of_a_long_body_is_due(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)
    monkeypatch.setattr(fleet_host_pool, "NON_REPEATABLE_IDLE_LIMIT_S", 1.0)
    early = await EarlyHost("i-early").start()
    assert isinstance(early, EarlyHost)
    limits = {"max_body_bytes": 200 * PROVABLY_UNSENT_LIMIT_BYTES}
    async with running_data_plane(plain(), limits=limits) as harness:
        harness.authority.tell(harness.snapshot(host_line(early), limits=limits))
        for _ in range(3):
            async with harness.client() as client:
                assert (await client.ask("/once/x", body=b"." * size)).status == 503
        await asyncio.sleep(0.4)
        assert early.wrong == []
    early.down()


@pytest.mark.parametrize("kind", ["streaming", "idempotent"])
@on_loop
async def test_what_a_client_left_is_no_longer_worked_on(kind: str) -> None:
    path = "/chat/x" if kind == "streaming" else "/safe/x"
    async with running_data_plane(hang) as harness:
        async with harness.client() as client:
            client.writer.write(request(path))
            await harness.hosts[0].came.get()
        left_at = asyncio.get_running_loop().time()
        await harness.hosts[0].closed.get()
        assert asyncio.get_running_loop().time() - left_at < 0.3


# What the decider gets wrong.


@on_loop
async def test_a_request_goes_to_no_host_of_another_service() -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        harness.authority.tell(
            harness.snapshot(host_line(harness.hosts[0], id="i-other", service="other"))
        )
        harness.decider.hosts = ["i-other"]
        assert (await client.ask("/safe/x", X_Request_Deadline="300")).status == 503
        assert not harness.hosts[0].seen


class Slow(FakeDecider):
    """May think for so long about an end that the request's time passes."""

    pause_s = 0.0

    def ended(self, told: AttemptEnded) -> list[Action]:
        time.sleep(self.pause_s)
        return (
            [self.send(told.number)]
            if told.outcome in NEVER_RAN and self.sent[told.number] < 3
            else []
        )


@on_loop
async def test_nothing_is_sent_after_its_time_though_the_loop_was_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection to the second host is there already: a send would be a matter of no time at
    all.
    """
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)
    decider = Slow()
    keeps = plain(b"ok", "200 OK", "Keep-Alive: timeout=9")
    async with (
        running_data_plane(rejects(), keeps, by=decider) as harness,
        harness.client() as client,
    ):
        assert (await client.ask("/safe/x")).status == 200
        decider.pause_s = 0.3
        assert (await client.ask("/safe/x", X_Request_Deadline="200")).status == 503
        await asyncio.sleep(0.1)
        assert len(harness.hosts[1].seen) == 1


class Silent(FakeDecider):
    """Says nothing about any end."""

    def ended(self, told: AttemptEnded) -> list[Action]:
        return []


@on_loop
async def test_a_stream_that_may_not_resume_ends_with_its_host_at_once() -> None:
    async with (
        running_data_plane(stream(5, cut_after=2), by=Silent()) as harness,
        harness.client() as client,
    ):
        began = asyncio.get_running_loop().time()
        got = await client.ask("/plan/x")
        assert (got.whole, got.ids) == (False, [1, 2])
        assert asyncio.get_running_loop().time() - began < 1.0


@on_loop
async def test_a_quota_that_decides_twice_admits_once() -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:

        def twice(tenant: object, amount: float, decide: Callable[[bool, float], None]) -> None:
            decide(True, 0.0)
            decide(True, 0.0)
            asyncio.get_running_loop().call_soon(decide, True, 0.0)

        harness.quotas.admit = twice  # type: ignore[method-assign]
        assert (await client.ask("/once/x")).status == 200
        assert harness.decider.count(RequestArrived) == 1
        assert len(harness.hosts[0].seen) == 1


@on_loop
async def test_bytes_that_nobody_asked_for_end_the_connection() -> None:
    async def more(message: Message, writer: asyncio.StreamWriter) -> None:
        await plain(b"ok", "200 OK", "Keep-Alive: timeout=9")(message, writer)
        await asyncio.sleep(0.1)
        writer.write(b"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n")

    async with running_data_plane(more) as harness, harness.client() as client:
        assert (await client.ask("/once/x")).status == 200
        await asyncio.wait_for(
            harness.hosts[0].closed.get(), 0.35
        )  # long before it is swept as idle


class StuckHost(FakeHost):
    """Rejects a long request before its body has come, and never reads on there; serves other
    connections.
    """

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                top = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = {
                    k.lower(): v.strip()
                    for k, _, v in (x.partition(":") for x in top.split("\r\n"))
                }
                message = Message(top.split("\r\n")[0], lines, b"")
                keeps = "Keep-Alive: timeout=9"
                if int(lines["content-length"]) > PROVABLY_UNSENT_LIMIT_BYTES:
                    await rejects("503 Full", "X-Not-Executed: 1", keeps)(message, writer)
                    await asyncio.Event().wait()
                await plain(b"ok", "200 OK", keeps)(message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@on_loop
async def test_no_request_waits_behind_a_body_that_its_host_does_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_pool, "REUSE_DELAY_S", -1.0)
    stuck = await StuckHost("i-stuck").start()
    limits = {"max_body_bytes": 200 * PROVABLY_UNSENT_LIMIT_BYTES}
    async with running_data_plane(plain(), limits=limits) as harness:
        harness.authority.tell(harness.snapshot(host_line(stuck), limits=limits))
        async with harness.client() as client:
            assert (
                await client.ask("/once/x", body=bytes(150 * PROVABLY_UNSENT_LIMIT_BYTES))
            ).status == 503
        async with harness.client() as client:
            assert (await client.ask("/safe/x", X_Request_Deadline="1000")).status == 200
    stuck.down()


# Times that are over, and the end of a drain.


@on_loop
async def test_a_request_whose_time_is_over_when_it_comes_costs_nothing() -> None:
    async with running_data_plane(plain()) as harness, harness.client() as client:
        answer = await client.ask("/safe/x", X_Request_Deadline="0")
        assert (answer.status, float(answer.headers["retry-after"])) == (503, 0.0)
        assert harness.quotas.asked == []
        assert harness.decider.count(RequestArrived) == 0


@pytest.mark.parametrize("taken_before", [True, False])
@on_loop
async def test_what_is_open_in_a_drain_has_its_answer_when_that_ends(taken_before: bool) -> None:
    async with running_data_plane(hang) as harness, harness.client() as client:
        loop = asyncio.get_running_loop()
        began = loop.time()
        if taken_before:
            client.writer.write(request("/safe/x"))
            await until(lambda: bool(harness.hosts[0].seen))
        harness.data_plane.driver.drain(loop.time() + PAUSE_S)
        if not taken_before:
            client.writer.write(request("/safe/x"))
        assert (await client.answer()).status == 504
        assert loop.time() - began < 2.0  # the client gives five seconds
