"""Watches the list of hosts, for as long as the gateway runs, and turns what it tells into a
`ServerList`.

The last list stands whatever happens to the watch: a fleet that runs is not given up because nobody
tells of it. A list that makes no sense is not taken in part; the watch starts again from the last
version understood.
"""

from __future__ import annotations

import asyncio
import errno
import hashlib
import ipaddress
import json
import logging
import math
import os
import socket
import zlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import httptools

from roselink.balancer.interface import ListKind, Server, ServerList, State
from roselink.gateway.config import Config, ConfigError, read_address
from roselink.gateway.framing import Framer, Malformed
from roselink.gateway.pacing import ANSWER_S, SILENCE_S, CallPacing, Cause
from roselink.http.address import Address

log = logging.getLogger("roselink.gateway.discovery")

STATES = {"up": State.READY, "draining": State.DRAINING, "removed": State.GONE}
CONNECT_S = 1.0
PUSHED_ANSWER_S = (
    0.6  # for either where lists are pushed: there is no queue, and what is told counts at once
)
LIST_LIMIT = (
    1024 * 1024
)  # some thousands of hosts; parsed it takes several times as much of a small memory
BARE_LIMIT = (
    64 * 1024
)  # bytes that bring nothing of a list: a head or a chunk's extension without end

Update = Callable[[ServerList, dict[int, str], dict[int, Address]], None]


def server_number(name: str) -> int:
    """The module's number for a host: the same at every gateway, after a restart too."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest())


class _Answer:
    """What one call brings. Each has a parser and a framer of its own: nothing left of one call can
    mix with what the next one brings.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._framer = Framer(LIST_LIMIT)
        self._body: list[bytes] = []
        self._bare = 0
        self._error: Malformed | None = None
        self.status = 0
        self.ended = False

    def feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._error = Malformed(f"not HTTP: {error}")
        if self.status not in (0, 200):
            raise Malformed(f"status {self.status}")

    def values(self, fed: int) -> Iterator[bytes]:
        """What the last `fed` bytes brought, up to what makes no sense: a list before that counts
        as told.
        """
        body = b"".join(self._body)
        self._body.clear()
        self._bare = 0 if body else self._bare + fed
        if self._bare > BARE_LIMIT:
            raise Malformed("an answer without end that brings no list")
        yield from self._framer.feed(body)
        if self._error is not None:
            raise self._error
        if self.ended and self._framer.within:
            raise Malformed("an answer that ends within a list")

    # Callbacks of the parser.

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self.ended = True


async def _connect(connection: socket.socket, address: Address) -> None:
    """Connect a socket that does not block. (The loop's own call has threads resolve what is an
    address.)
    """
    error = connection.connect_ex(address)
    if error == errno.EINPROGRESS:
        loop, up = asyncio.get_running_loop(), asyncio.Event()
        loop.add_writer(connection, up.set)
        try:
            await up.wait()
        finally:
            loop.remove_writer(connection)
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


class ReservedSocket:
    """The descriptor of the calls. The socket of the next call is made in the very turn in which
    the one before is closed: clients that take every descriptor there is find none in between.
    """

    def __init__(self) -> None:
        self._next: socket.socket | None = self._made()

    @staticmethod
    def _made() -> socket.socket:
        made = socket.socket()
        made.setblocking(False)
        return made

    def take(self) -> socket.socket:
        taken, self._next = self._next or self._made(), None
        return taken

    def replace(self, used: socket.socket) -> None:
        """Close one at once, whatever the loop still holds of it, and make the next."""
        os.close(used.detach())
        if self._next is None:
            self._next = self._made()


class Discovery:
    """One watch after another."""

    def __init__(self, config: Config, update: Update) -> None:
        self.address, self._update = config.discovery, update
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._kinds = {name: i for i, name in enumerate(config.kinds)}
        self._generation = 0
        self._listed = False  # whether there is a list to serve by
        self._whole_due = False  # the version held is another discovery's
        self._watching = self._told = (
            False  # whether the call under way is a watch by now, and told a list
        )
        self._task: asyncio.Task[None] | None = None
        self._reserve = ReservedSocket()
        settings = config.settings
        self._connect_s = CONNECT_S if settings.discovery_asks else PUSHED_ANSWER_S
        self._answer_s = ANSWER_S if settings.discovery_asks else PUSHED_ANSWER_S
        self._pacing = CallPacing(
            settings.balancers, settings.discovery_asks, settings.ask_within_us / 1e6, config.seed
        )

    def start_from(self, known: Mapping[str, Any]) -> None:
        """Serve by the list as this gateway last had it until discovery's first answer."""
        if known:
            try:
                self._take(known, ListKind.CACHED)
            except Malformed as error:
                raise ConfigError(f"known: {error}") from None

    def start_paced(self) -> None:
        """Begin to watch at the fleet's pace; with no list to serve by there is no time to lose."""
        self._start(self._wait_s(Cause.START) if self._listed else 0.0)

    def _start(self, wait_s: float) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run(wait_s))

    def _wait_s(self, cause: Cause, took_s: float = 0.0) -> float:
        return self._pacing.wait_s(cause, asyncio.get_running_loop().time(), took_s)

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def follow(self, address: Address) -> None:
        """Watch another discovery from now on; the list held stands until its first answer.

        The old watch takes no step more, so that nothing left in its buffers can undo what the new
        one tells. Generations of two discoveries cannot be compared: the new one is asked for its
        whole list. (Changes from version 0 on are no substitute: they leave out what was there at
        version 0.)
        """
        self.address, self._whole_due = address, True
        if self._task is not None:
            self.stop()
            self._start(self._wait_s(Cause.MOVED))

    async def _run(self, wait_s: float) -> None:
        """Watch for ever; a broken, silent or malformed watch is begun again at the fleet's
        pace.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(wait_s)
            self._watching = self._told = False
            begun = loop.time()
            try:
                await self._watch()
                cause, reason = Cause.ENDED, "ended"
            except TimeoutError:
                cause = Cause.SILENT if self._watching else Cause.UNANSWERED
                reason = cause.value
            except Malformed as error:
                cause, reason = Cause.ENDED if self._told else Cause.REFUSED, str(error)
            except OSError as error:
                cause, reason = Cause.ENDED, str(error) or type(error).__name__
            except Exception:
                # With no watch a drain would go unheard while all else seems well: no fault may end
                # it.
                log.exception("the watch of hosts failed")
                cause, reason = Cause.REFUSED, "a fault of ours"
            if not self._watching and cause is not Cause.UNANSWERED:
                cause = Cause.FAILED
            took_s = loop.time() - begun
            wait_s = self._wait_s(cause, took_s)
            log.warning(
                "watch of hosts lost: %s after %.2f s; again in %.2f s", reason, took_s, wait_s
            )

    async def _watch(self) -> None:
        """One watch until its connection ends."""
        if self._whole_due:
            await self._ask("/discovery/hosts")
            if self._whole_due:
                raise Malformed("no list")
        await self._ask(f"/discovery/hosts?watch=1&from={self._generation}", watch=True)

    async def _ask(self, target: str, watch: bool = False) -> None:
        """Take each list of an answer as it comes.

        A sign of life is a whole list or an empty line between two, nothing less: bytes that
        trickle in, or an answer that stalls half way, tell nothing and must not keep a dead watch.
        """
        loop, answer, connection = asyncio.get_running_loop(), _Answer(), self._reserve.take()
        try:
            try:
                async with asyncio.timeout(self._connect_s):
                    await _connect(connection, self.address)
                    host = f"{self.address[0]}:{self.address[1]}"
                    call = f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n"
                    await loop.sock_sendall(connection, call.encode())
            except TimeoutError:
                raise ConnectionError("no connection in time") from None
            silent_at = loop.time() + self._answer_s
            while not answer.ended:
                async with asyncio.timeout_at(silent_at):
                    data = await loop.sock_recv(connection, 65536)
                if not data:
                    break
                begun = answer.status
                answer.feed(data)
                if answer.status and not begun:
                    self._watching = watch
                    silent_at = loop.time() + SILENCE_S
                for value in answer.values(len(data)):
                    silent_at = loop.time() + SILENCE_S
                    if value:
                        self._take_value(value)
        finally:
            self._reserve.replace(connection)

    def _take_value(self, value: bytes) -> None:
        try:
            data = json.loads(value)
        except ValueError:
            raise Malformed(f"not JSON: {value[:60]!r}") from None
        reset = data.get("reset", False)
        if not isinstance(reset, bool):
            raise Malformed(f"reset: needs true or false, not {reset!r}")
        whole = reset or self._whole_due
        self._take(data, ListKind.FULL if whole else ListKind.CHANGES)
        self._whole_due, self._told = False, True

    def _take(self, data: Mapping[str, Any], kind: ListKind) -> None:
        generation, entries = data.get("generation"), data.get("instances")
        if type(generation) is not int or generation < 0 or not isinstance(entries, list):
            raise Malformed("generation or instances missing or unusable")
        servers: list[Server] = []
        names: dict[int, str] = {}
        addresses: dict[int, Address] = {}
        for entry in entries:
            server, name, address = self._entry(entry)
            servers.append(server)
            names[server.id] = name
            if address is not None:
                addresses[server.id] = address
        self._generation, self._listed = generation, True
        shown = ", ".join(f"{names[s.id]} ({s.id}) {s.state.name.lower()}" for s in servers)
        log.info("list %d (%s): %s", generation, kind.name.lower(), shown[:2000] or "nothing")
        self._update(ServerList(kind, tuple(servers), generation), names, addresses)

    def _entry(self, entry: Any) -> tuple[Server, str, Address | None]:
        """One line of a list; one that makes no sense is refused, and its whole list with it."""
        try:
            name, state = entry["instanceId"], STATES[entry["lifecycle"]]
            if not isinstance(name, str) or not name:
                raise ValueError("instanceId: needs a name")
            address = (
                None if state is State.GONE else read_address(entry.get("hostPort"), "hostPort")
            )
            if address is not None and not (ipaddress.IPv4Address(address[0]) and address[1]):
                raise ValueError("hostPort: needs a port above 0")
            server = Server(
                id=server_number(name),
                state=state,
                zone=self._zone(entry.get("zone")),
                cell=_whole(entry, "cell"),
                kind=self._kinds.get(entry.get("machineType"), -1),
                hint=_weight(entry),
                started_us=_whole(entry, "startedAtMs") * 1000,
            )
        except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
            raise Malformed(f"an entry cannot be read: {error!r}") from None
        return server, name, address

    def _zone(self, name: Any) -> int:
        """The module's number of a zone. Those that the settings do not name differ from one
        another too: as one zone their hosts would count as dropping each other's repeats.
        """
        if name is None:
            return -1
        if not isinstance(name, str):
            raise ValueError(f"zone: needs a name, not {name!r}")
        return self._zones.get(name, -2 - zlib.crc32(name.encode()))


def _whole(entry: Mapping[str, Any], key: str) -> int:
    value = entry.get(key) or 0
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or value < 0:
        raise ValueError(f"{key}: needs a whole number from 0, not {value!r}")
    return value


def _weight(entry: Mapping[str, Any]) -> float:
    value = entry.get("weight")
    if value is None:
        return 1.0
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"weight: needs a number from 0, not {value!r}")
    return float(value) or 1.0
