"""Forwarding of requests to hosts and of responses to clients."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from roselink.gateway.engine import ClientRequest
from tests.support.event_loop import on_loop
from tests.support.fake_hosts import hang, send_bytes, serve_ok
from tests.support.gateway_harness import running_gateway
from tests.support.http_messages import Message, response

if TYPE_CHECKING:
    from tests.support.gateway_clients import Client


async def read_to_end(client: Client) -> bytes:
    """Read until the gateway closes the connection."""
    return await client.reader.read()


VALID_HEADERS = b"Request-Id: z\r\nTenant: acme\r\nRequest-Timeout-Ms: 900\r\n"


@on_loop
async def test_a_request_is_forwarded_unchanged_and_its_response_returned() -> None:
    async with (
        running_gateway(
            send_bytes(response(b"seat 7", "200 OK", "Content-Type: text/seat"))
        ) as harness,
        harness.client() as client,
    ):
        got = await client.request(
            "/seat-checkout/k%201?x=1", b"take", Idempotency_Key="abc", Work_Hint="900"
        )
        seen = harness.hosts[0].seen[0]
        assert (got.status, got.body, got.headers["content-type"]) == (200, b"seat 7", "text/seat")
        assert (seen.start_line, seen.body) == ("POST /seat-checkout/k%201?x=1 HTTP/1.1", b"take")
        assert seen.headers["idempotency-key"] == "abc"
        assert seen.headers["work-hint"] == "900"
        assert 0 < int(seen.headers["request-timeout-ms"]) < 9000
        assert (await client.request()).status == 200  # on the same client connection


@on_loop
async def test_hop_by_hop_headers_are_not_forwarded() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        await client.request(Connection="keep-alive", TE="trailers")
        assert not {"connection", "te"} & set(harness.hosts[0].seen[0].headers)


@on_loop
async def test_pipelined_requests_get_responses_in_order() -> None:
    """The gateway must not drop a pipelined request, which it has already received."""

    async def echo(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(response(message.start_line.split()[1].encode()))

    async with running_gateway(echo) as harness, harness.client() as client:
        for number in range(60):
            client.send(f"/status-check/k{number}")
        got = [(await client.receive()).body for _ in range(60)]
        assert got == [b"/status-check/k%d" % number for number in range(60)]


@on_loop
async def test_a_drain_serves_pipelined_requests() -> None:
    """`Connection: close` on the first response would drop the requests that were already
    received.
    """
    async with running_gateway(hang) as harness, harness.client() as client:
        client.send()
        client.send()
        await harness.hosts[0].arrivals.get()
        harness.gateway.server.draining = True
        harness.hosts[0].behave = serve_ok
        harness.hosts[0].writers[0].write(response(b"first"))
        first, second = await client.receive(), await client.receive()
        assert (first.body, first.headers["connection"]) == (b"first", "keep-alive")
        assert (second.status, second.headers["connection"]) == (200, "close")
        assert await read_to_end(client) == b""


@on_loop
async def test_an_upgrade_is_declined() -> None:
    """The connection closes after one response, since the parser accepts no more data on it."""
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        head = b"GET /status-check/k HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n"
        client.writer.write(head + VALID_HEADERS + b"\r\n")
        got = await client.receive()
        assert (got.status, got.headers["connection"]) == (200, "close")
        assert await read_to_end(client) == b""


@on_loop
async def test_a_body_of_the_limit_is_served() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        assert (await client.request("/audit/k", b"x" * 65536)).status == 200
        assert len(harness.hosts[0].seen[0].body) == 65536


@on_loop
async def test_a_chunked_request_is_forwarded_with_a_content_length() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        head = b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + VALID_HEADERS + b"\r\n"
        client.writer.write(head + b"3\r\nabc\r\n0\r\n\r\n")
        assert (await client.receive()).status == 200
        assert harness.hosts[0].seen[0].body == b"abc"


@on_loop
async def test_a_trailer_is_not_taken_as_a_header() -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        head = b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + VALID_HEADERS + b"\r\n"
        client.writer.write(head + b"3\r\nabc\r\n0\r\nRequest-Id: other\r\nX: y\r\n\r\n")
        assert (await client.receive()).status == 200
        seen = harness.hosts[0].seen[0].headers
        assert (seen["request-id"], "x" in seen) == ("z", False)


@on_loop
async def test_margins_shrink_for_a_short_client_timeout() -> None:
    """The margins before the deadline are scaled down: fixed ones would leave no time for an
    attempt.
    """
    async with running_gateway(hang) as harness:
        before = asyncio.get_running_loop().time()
        request = ClientRequest(
            "hurry", 0, 0, None, before + 0.030, False, None, b"GET / HTTP/1.1\r\n", b""
        )
        opened = harness.gateway.engine.accept(request, lambda reply: None, lambda: False)
        assert before + 0.022 < opened.attempt_deadline < request.expires


@pytest.mark.parametrize("tenant", ["stranger", None])
@on_loop
async def test_an_unknown_tenant_is_served_as_over_its_quota(tenant: str | None) -> None:
    async with running_gateway(serve_ok) as harness, harness.client() as client:
        assert (await client.request(Tenant=tenant)).status == 200
        assert not harness.gateway.engine._balancer.quotas.take(-1)
