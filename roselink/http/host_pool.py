"""The pool of connections to hosts: attempts start on idle connections or on new ones."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from roselink.http.host_connection import Attempt, HostConnection, OnEnd, PooledHost, StillWanted
from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.http.descriptors import Descriptors

# after a response, before its connection is used again: time for what comes right behind it
REUSE_DELAY_S = 0.02
# part of the hosts' idle time after which a connection is dropped: they must never be first
IDLE_FRACTION = 0.5


class HostPool:
    """Starts attempts on pooled connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        connect_timeout_s: float,
        idle_s: float,
    ) -> None:
        """Start without connections; `idle_s` is how long hosts keep idle ones, in seconds."""
        self._loop = loop
        self._descriptors = descriptors
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s * IDLE_FRACTION
        self._tasks: set[asyncio.Task[bool]] = set()
        self._idle: dict[HostConnection, None] = {}  # all hosts' idle ones, the longest idle first

    def start(
        self,
        host: PooledHost,
        request: bytes,
        timeout_s: float,
        done: OnEnd,
        still_wanted: StillWanted,
    ) -> Attempt:
        """Begin an attempt.

        It goes to the connection used last that has rested for `REUSE_DELAY_S`: that one is the
        least likely to be closing and brings nothing that belongs to the response before.
        """
        attempt = Attempt(self._loop, host, timeout_s, done, still_wanted)
        self.launch(attempt, lambda: request)
        return attempt

    def launch(self, attempt: Attempt, request: Callable[[], bytes]) -> None:
        """Send what `request` returns right before the write."""
        host = attempt.host
        reusable_before = attempt.started_at - REUSE_DELAY_S
        for connection in reversed(host.idle.copy()):
            if connection.idle_since > reusable_before or not self._may_carry(attempt, connection):
                continue
            host.idle.remove(connection)
            self._idle.pop(connection, None)
            if connection.closing():
                continue
            if connection.stale() or connection.has_unread():
                connection.drop()
                continue
            connection.send(attempt, request())
            return
        if not host.ready or not self._may_connect(host) or not self._free_descriptor():
            self._loop.call_soon(attempt.withdraw)
            return
        host.connecting.add(attempt)
        self._descriptors.used += 1
        host.open_count += 1
        connection = self._new_connection(host)
        attempt.task = self._loop.create_task(self._connect(attempt, connection, request))
        self._tasks.add(attempt.task)
        attempt.task.add_done_callback(partial(self._connect_ended, connection))

    def _new_connection(self, host: PooledHost) -> HostConnection:
        return HostConnection(self, host)

    def _may_carry(self, attempt: Attempt, connection: HostConnection) -> bool:
        """Whether an idle connection may carry this attempt."""
        return True

    def _may_connect(self, host: PooledHost) -> bool:
        """Whether the host takes one more connection from here."""
        return True

    def now(self) -> float:
        """The loop's time, in seconds."""
        return self._loop.time()

    def call_after_connect_timeout(self, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call back after the connect time-out.

        That is the settings' own measure of a network that is stuck.
        """
        return self._loop.call_later(self._connect_timeout_s, callback)

    def _connect_ended(self, connection: HostConnection, task: asyncio.Task[bool]) -> None:
        """The connect is over.

        In a callback, since a task cancelled before its first step runs no line of its own, and its
        descriptor would count for ever. One that came up in the turn in which its time was up, or
        it was called off, has a transport that nobody else would close.
        """
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is not None or not task.result():
            connection.drop()
            self.forget(connection)

    def _free_descriptor(self) -> bool:
        if self._descriptors.spare() <= 0:
            self.drop_oldest_idle()
        return self._descriptors.spare() > 0

    def drop_oldest_idle(self) -> bool:
        """Free one descriptor for someone who needs it."""
        for connection in self._idle:
            connection.drop()
            self.forget(connection)
            return True
        return False

    async def _connect(
        self, attempt: Attempt, connection: HostConnection, request: Callable[[], bytes]
    ) -> bool:
        """Bring up a connection for an attempt; whether it is in use."""
        host = attempt.host
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._loop.create_connection(lambda: connection, *host.address)
        except (OSError, TimeoutError):
            attempt.finish(Outcome.CONNECT_FAILED)
            return False
        still_wanted = not attempt.is_over and host.ready and attempt.still_wanted()
        host.connecting.discard(attempt)
        if not still_wanted or connection.closing():
            attempt.finish(Outcome.CONNECT_FAILED if still_wanted else Outcome.MOOT)
            return False
        connection.send(attempt, request())
        return True

    def release(self, connection: HostConnection) -> None:
        """Keep a connection for the next attempt, unless its host takes none."""
        if not connection.host.ready:
            connection.drop()
            return
        connection.idle_since = self._loop.time()
        connection.host.idle.append(connection)
        self._idle[connection] = None

    def forget(self, connection: HostConnection) -> None:
        """A connection has ended. Its descriptor counts until then, once."""
        connection.transport = None
        if connection.holds_descriptor:
            connection.holds_descriptor = False
            self._descriptors.used -= 1
            connection.host.open_count -= 1
        if self._idle.pop(connection, connection) is None:
            connection.host.idle.remove(connection)

    def retire(self, host: PooledHost) -> None:
        """Take a host out of service.

        It drains or is gone: attempts whose first byte has not gone out are withdrawn.
        """
        host.ready = False
        for attempt in list(host.connecting):
            attempt.withdraw()
        host.drop_idle()

    def sweep(self) -> None:
        """Close what has been idle for long.

        The host must not be first to close, or a request would cross its close.
        """
        idle_before = self._loop.time() - self._idle_s
        for connection in list(self._idle):
            if connection.idle_since > idle_before:
                break
            connection.drop()
