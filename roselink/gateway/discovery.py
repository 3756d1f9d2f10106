"""Watches the list of hosts for as long as the gateway runs, and hands each on as a `ServerList`.

The last list stays in force whatever happens to the watch: a running fleet is not given up because
discovery is unreachable. A malformed list is not taken in part; the watch starts again from the
last version understood.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from roselink.balancer.interface import ListKind, ServerList
from roselink.gateway.discovery_response import DiscoveryResponse
from roselink.gateway.exceptions import ConfigError, MalformedListError
from roselink.gateway.host_list import HostListReader
from roselink.gateway.pacing import RESPONSE_TIMEOUT_S, WATCH_TIMEOUT_S, CallPacing, Cause
from roselink.gateway.reserved_socket import ReservedSocket, connect
from roselink.http.address import Address

if TYPE_CHECKING:
    from roselink.gateway.config import Config

log = logging.getLogger("roselink.gateway.discovery")

CONNECT_TIMEOUT_S = 1.0
# Time-out to connect, and of a response's head, where lists are pushed: there is no queue, and a
# change counts as known at once.
PUSHED_TIMEOUT_S = 0.6
CONNECT_TIMED_OUT = "no connection in time"
# Bytes read at a time.
READ_SIZE = 65536
# Characters of a list that the log shows.
MAX_LOGGED_CHARS = 2000

Update = Callable[[ServerList, dict[int, str], dict[int, Address]], None]


class Discovery:
    """One watch after another."""

    def __init__(self, config: Config, update: Update) -> None:
        """A watch that has not begun; `update` gets each list."""
        self.address = config.discovery
        self._update = update
        self._reader = HostListReader(config)
        self._generation = 0
        # Whether there is a list to serve by.
        self._has_list = False
        # Whether the list in force is another discovery's, so that a full list is needed.
        self._needs_full_list = False
        # Whether the present call is a watch by now, and whether it brought a list.
        self._watching = False
        self._received_list = False
        self._task: asyncio.Task[None] | None = None
        self._reserved_socket = ReservedSocket()
        settings = config.settings
        self._connect_timeout_s = PUSHED_TIMEOUT_S
        self._response_timeout_s = PUSHED_TIMEOUT_S
        if settings.discovery_asks:
            self._connect_timeout_s = CONNECT_TIMEOUT_S
            self._response_timeout_s = RESPONSE_TIMEOUT_S
        self._pacing = CallPacing(
            settings.balancers,
            settings.ask_within_us / 1e6,
            config.seed,
            polls=settings.discovery_asks,
        )

    def start_from(self, known: Mapping[str, Any]) -> None:
        """Serves by the list as this gateway last had it until discovery's first response.

        Raises:
            ConfigError: The list is malformed.
        """
        if known:
            try:
                self._apply(known, ListKind.CACHED)
            except MalformedListError as error:
                raise ConfigError("known", str(error)) from None

    def start_paced(self) -> None:
        """Begins to watch at the fleet's pace, or at once with no list to serve by."""
        self._start(self._wait_s(Cause.START) if self._has_list else 0.0)

    def _start(self, wait_s: float) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run(wait_s))

    def _wait_s(self, cause: Cause, took_s: float = 0.0) -> float:
        return self._pacing.wait_s(cause, asyncio.get_running_loop().time(), took_s)

    def stop(self) -> None:
        """Ends the watch."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def switch_to(self, address: Address) -> None:
        """Watches another discovery from now on; the list stays in force until its first response.

        The old watch takes no step more, so that nothing left in its buffers can undo what the new
        one sends. Generations of two discoveries cannot be compared: the full list is requested
        from the new one. (Changes from version 0 on are no substitute: they leave out what was
        there at version 0.)
        """
        self.address = address
        self._needs_full_list = True
        if self._task is not None:
            self.stop()
            self._start(self._wait_s(Cause.MOVED))

    async def _run(self, wait_s: float) -> None:
        """Watches for ever; a watch that ends is begun again at the fleet's pace."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(wait_s)
            self._watching = False
            self._received_list = False
            started_at = loop.time()
            try:
                await self._watch()
                cause = Cause.ENDED
                reason = "ended"
            except TimeoutError:
                cause = Cause.UNRESPONSIVE if self._watching else Cause.UNANSWERED
                reason = cause.value
            except MalformedListError as error:
                cause = Cause.ENDED if self._received_list else Cause.MALFORMED
                reason = error.reason
            except OSError as error:
                cause = Cause.ENDED
                reason = str(error) or type(error).__name__
            except Exception:
                # With no watch a drain would go unnoticed while all else seems well: no fault may
                # end it.
                log.exception("the watch of hosts failed")
                cause = Cause.MALFORMED
                reason = "a fault of ours"
            if not self._watching and cause is not Cause.UNANSWERED:
                cause = Cause.FAILED
            took_s = loop.time() - started_at
            wait_s = self._wait_s(cause, took_s)
            log.warning(
                "watch of hosts lost: %s after %.2f s; again in %.2f s", reason, took_s, wait_s
            )

    async def _watch(self) -> None:
        """One watch until its connection ends."""
        if self._needs_full_list:
            await self._call("/discovery/hosts")
            if self._needs_full_list:
                raise MalformedListError(reason="no list")
        await self._call(f"/discovery/hosts?watch=1&from={self._generation}", watch=True)

    async def _call(self, target: str, *, watch: bool = False) -> None:
        """Takes each list of a response as it comes.

        A keep-alive is a complete list or an empty line between two, nothing less: bytes that
        trickle in, or a response that stalls half way, must not keep a dead watch.
        """
        loop = asyncio.get_running_loop()
        response = DiscoveryResponse()
        connection = self._reserved_socket.take()
        try:
            try:
                async with asyncio.timeout(self._connect_timeout_s):
                    await connect(connection, self.address)
                    host = f"{self.address[0]}:{self.address[1]}"
                    request = f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n"
                    await loop.sock_sendall(connection, request.encode())
            except TimeoutError:
                raise ConnectionError(CONNECT_TIMED_OUT) from None
            expires_at = loop.time() + self._response_timeout_s
            while not response.ended:
                async with asyncio.timeout_at(expires_at):
                    data = await loop.sock_recv(connection, READ_SIZE)
                if not data:
                    break
                previous_status = response.status
                response.feed(data)
                if response.status and not previous_status:
                    self._watching = watch
                    expires_at = loop.time() + WATCH_TIMEOUT_S
                for value in response.values(len(data)):
                    expires_at = loop.time() + WATCH_TIMEOUT_S
                    if value:
                        self._apply_value(value)
        finally:
            self._reserved_socket.replace(connection)

    def _apply_value(self, value: bytes) -> None:
        try:
            data = json.loads(value)
        except ValueError:
            raise MalformedListError(reason=f"not JSON: {value[:60]!r}") from None
        reset = data.get("reset", False)
        if not isinstance(reset, bool):
            raise MalformedListError(reason=f"reset: needs true or false, not {reset!r}")
        full = reset or self._needs_full_list
        self._apply(data, ListKind.FULL if full else ListKind.CHANGES)
        self._needs_full_list = False
        self._received_list = True

    def _apply(self, data: Mapping[str, Any], kind: ListKind) -> None:
        hosts = self._reader.read(data)
        self._generation = hosts.generation
        self._has_list = True
        description = ", ".join(
            f"{hosts.names[server.id]} ({server.id}) {server.state.name.lower()}"
            for server in hosts.servers
        )
        log.info(
            "list %d (%s): %s",
            hosts.generation,
            kind.name.lower(),
            description[:MAX_LOGGED_CHARS] or "nothing",
        )
        servers = ServerList(kind, hosts.servers, hosts.generation)
        self._update(servers, hosts.names, hosts.addresses)
