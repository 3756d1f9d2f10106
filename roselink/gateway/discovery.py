"""Watches discovery for as long as the gateway runs and passes each list on as a `ServerList`.

The last list stays in force whatever happens to the watch: an outage of discovery must not take
running hosts out of service. A malformed list is rejected as a unit, and the watch restarts from
the last version applied.
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
# Time-out of a connection attempt and of a response's head in push mode, where discovery has no
# queue of calls and a gateway is expected to act on a change at once.
PUSHED_TIMEOUT_S = 0.6
CONNECT_TIMED_OUT = "no connection in time"
# Largest number of bytes read at a time.
READ_SIZE = 65536
# Characters of a host list that are logged.
MAX_LOGGED_CHARS = 2000

Update = Callable[[ServerList, dict[int, str], dict[int, Address]], None]


class Discovery:
    """Keeps one watch of discovery open and restarts it when it ends."""

    def __init__(self, config: Config, update: Update) -> None:
        """Prepares a watch without starting it; `update` is called with each list."""
        self.address = config.discovery
        self._update = update
        self._reader = HostListReader(config)
        self._generation = 0
        # Whether any host list is in force.
        self._has_list = False
        # Whether the list in force came from another discovery, so that changes do not apply to it.
        self._needs_full_list = False
        # Whether the current call has become a watch, and whether it has delivered a list.
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
        """Applies the list that this gateway last had, to serve until discovery responds.

        Raises:
            ConfigError: The list is malformed.
        """
        if known:
            try:
                self._apply(known, ListKind.CACHED)
            except MalformedListError as error:
                raise ConfigError("known", str(error)) from None

    def start_paced(self) -> None:
        """Starts the watch after a paced delay, or at once if there is no host list."""
        self._start(self._wait_s(Cause.START) if self._has_list else 0.0)

    def _start(self, wait_s: float) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run(wait_s))

    def _wait_s(self, cause: Cause, took_s: float = 0.0) -> float:
        return self._pacing.wait_s(cause, asyncio.get_running_loop().time(), took_s)

    def stop(self) -> None:
        """Cancels the watch."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def switch_to(self, address: Address) -> None:
        """Watches another discovery; the current list stays in force until its first response.

        The old watch is cancelled first, so that data left in its buffers cannot overwrite a list
        of the new one. Generations of two discoveries cannot be compared, so the full list is
        requested. (Changes since version 0 would leave out the hosts of version 0 itself.)
        """
        self.address = address
        self._needs_full_list = True
        if self._task is not None:
            self.stop()
            self._start(self._wait_s(Cause.MOVED))

    async def _run(self, wait_s: float) -> None:
        """Restarts the watch after a paced delay whenever it ends, until cancelled."""
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
                # Without a watch, drained hosts would stay in use unnoticed: no error may end the
                # loop.
                log.exception("host list watch failed")
                cause = Cause.MALFORMED
                reason = "internal error"
            if not self._watching and cause is not Cause.UNANSWERED:
                cause = Cause.FAILED
            took_s = loop.time() - started_at
            wait_s = self._wait_s(cause, took_s)
            log.warning(
                "host list watch ended: %s after %.2f s; retry in %.2f s", reason, took_s, wait_s
            )

    async def _watch(self) -> None:
        """Runs one watch until its connection ends."""
        if self._needs_full_list:
            await self._call("/discovery/hosts")
            if self._needs_full_list:
                raise MalformedListError(reason="the response has no host list")
        await self._call(f"/discovery/hosts?watch=1&from={self._generation}", watch=True)

    async def _call(self, target: str, *, watch: bool = False) -> None:
        """Applies each list of a response as it arrives.

        Only a complete list, or an empty line between two, counts as a keep-alive. Bytes that
        trickle in, or a response that stalls within a list, must not keep a dead watch open.
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
            raise MalformedListError(reason=f"reset: expected a boolean, got {reset!r}")
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
            "host list %d applied (%s): %s",
            hosts.generation,
            kind.name.lower(),
            description[:MAX_LOGGED_CHARS] or "nothing",
        )
        servers = ServerList(kind, hosts.servers, hosts.generation)
        self._update(servers, hosts.names, hosts.addresses)
