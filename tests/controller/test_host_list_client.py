"""The host list's client against a fake platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from roselink.controller.host_list_reader import ReaderTimes
from roselink.model.settings import PlatformSettings
from tests.controller.reactor import REACTOR, run_on_reactor
from tests.controller.test_host_list_reader import host_entry, page_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.model.fleet import Host


class FakePlatform:
    """A platform on a loopback socket, which serves pages by token.

    It gives no response to `calls_to_ignore` calls, and status 429 to `calls_to_reject` calls.
    """

    def __init__(self, pages: dict[str, bytes]) -> None:
        self.pages = pages
        self.requests: list[tuple[str, str]] = []
        self.connections = 0
        self.calls_to_reject = 0
        self.calls_to_ignore = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        return address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(self._response(head.split(b"\r\n")[0].decode().split()[1]))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _response(self, target: str) -> bytes:
        url = urlsplit(target)
        token = parse_qs(url.query).get("page_token", [""])[0]
        self.requests.append((url.path, token))
        if self.calls_to_ignore:
            self.calls_to_ignore -= 1
            return b""
        if self.calls_to_reject:
            self.calls_to_reject -= 1
            return b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
        content = self.pages[token]
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        return head.encode() + content

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()


async def read_lists(
    platform: FakePlatform,
    count: int,
    after_start: Callable[[Any], None] = lambda client: None,
    call_timeout_s: float = 5.0,
) -> list[tuple[int, list[str]]]:
    """Run a client until it has read `count` complete lists; return their epochs and host ids."""
    from roselink.controller.host_list_client import HostListClient  # noqa: PLC0415 - after the reactor

    lists: asyncio.Queue[tuple[int, tuple[Host, ...]]] = asyncio.Queue()
    settings = PlatformSettings(await platform.start(), 10_000.0, 0.0)
    client = HostListClient(
        REACTOR,
        settings,
        lambda epoch, hosts: lists.put_nowait((epoch, hosts)),
        times=ReaderTimes(
            interval_s=0.005, backoff_s=0.001, max_backoff_s=0.01, call_timeout_s=call_timeout_s
        ),
    )
    client.set_role(3)
    after_start(client)
    try:
        received = [await lists.get() for _ in range(count)]
    finally:
        closed = client.close()
        platform.stop()
        await closed.asFuture(asyncio.get_running_loop())
    return [(epoch, sorted(host.id for host in hosts)) for epoch, hosts in received]


def test_client_reads_all_pages_on_one_connection() -> None:
    platform = FakePlatform(
        {
            "": page_body(host_entry(id="i-1"), token="p 2&x"),
            "p 2&x": page_body(host_entry(id="i-2"), token=None),
        }
    )
    assert run_on_reactor(read_lists(platform, 3)) == [(3, ["i-1", "i-2"])] * 3
    assert platform.requests[:4] == [("/instances", ""), ("/instances", "p 2&x")] * 2
    assert platform.connections == 1


def test_client_retries_after_429_responses() -> None:
    platform = FakePlatform({"": page_body(host_entry())})
    platform.calls_to_reject = 3
    assert run_on_reactor(read_lists(platform, 1)) == [(3, ["i-1"])]
    assert len(platform.requests) >= 4


def test_client_times_out_a_call_without_a_response() -> None:
    platform = FakePlatform({"": page_body(host_entry())})
    platform.calls_to_ignore = 2
    assert run_on_reactor(read_lists(platform, 1, call_timeout_s=0.2)) == [(3, ["i-1"])]
    assert len(platform.requests) >= 3
    assert platform.connections >= 3


def test_client_restarts_in_a_new_view() -> None:
    platform = FakePlatform({"": page_body(host_entry())})
    lists = run_on_reactor(read_lists(platform, 2, lambda client: client.set_role(4)))
    assert lists == [(4, ["i-1"])] * 2


def test_client_makes_no_call_without_the_role() -> None:
    async def take_and_give_up_role() -> None:
        from roselink.controller.host_list_client import HostListClient  # noqa: PLC0415 - after the reactor

        settings = PlatformSettings(await platform.start(), 10_000.0, 0.0)
        client = HostListClient(REACTOR, settings, lambda epoch, hosts: None)
        client.set_role(3)
        client.set_role(None)
        await client.close().asFuture(asyncio.get_running_loop())
        platform.stop()

    platform = FakePlatform({"": page_body()})
    run_on_reactor(take_and_give_up_role())
    assert platform.requests == []
