"""Pool of connections to hosts: attempts use idle connections or open new ones."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from roselink.http.host_connection import Attempt, HostConnection, OnEnd, PooledHost, StillWanted
from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.http.descriptors import Descriptors

# Time between a response and the reuse of its connection, in seconds, so that surplus bytes right
# behind the response are noticed. A larger value opens more connections.
REUSE_DELAY_S = 0.02
# Fraction of the hosts' keep-alive time after which an idle connection is closed here: a host must
# not close it first.
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
        """Start without connections; `idle_s` is the hosts' keep-alive time, in seconds."""
        self._loop = loop
        self._descriptors = descriptors
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s * IDLE_FRACTION
        self._tasks: set[asyncio.Task[bool]] = set()
        self._idle: dict[HostConnection, None] = {}  # of all hosts, the longest idle first

    def start(
        self,
        host: PooledHost,
        request: bytes,
        timeout_s: float,
        done: OnEnd,
        still_wanted: StillWanted,
    ) -> Attempt:
        """Start an attempt.

        It uses the most recently used connection that has been idle for `REUSE_DELAY_S`: that one
        is the least likely to be closing and has no surplus bytes of the previous response.
        """
        attempt = Attempt(self._loop, host, timeout_s, done, still_wanted)
        self.launch(attempt, lambda: request)
        return attempt

    def launch(self, attempt: Attempt, request: Callable[[], bytes]) -> None:
        """Send an attempt; `request` is called right before the write."""
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
        """Whether this attempt may be sent on an idle connection."""
        return True

    def _may_connect(self, host: PooledHost) -> bool:
        """Whether one more connection to the host may be opened."""
        return True

    def now(self) -> float:
        """The loop's time, in seconds."""
        return self._loop.time()

    def call_after_connect_timeout(self, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Schedule a callback after the connect time-out.

        That is the time after which the settings consider the network stuck.
        """
        return self._loop.call_later(self._connect_timeout_s, callback)

    def _connect_ended(self, connection: HostConnection, task: asyncio.Task[bool]) -> None:
        """Release a connection whose connect failed or was cancelled.

        This is a callback, since a task cancelled before its first step runs no code of its own and
        would never release its descriptor. A connection that comes up in the loop iteration in
        which it times out or is cancelled has a transport that is closed only here.
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
        """Close the longest idle connection; whether there was one."""
        for connection in self._idle:
            connection.drop()
            self.forget(connection)
            return True
        return False

    async def _connect(
        self, attempt: Attempt, connection: HostConnection, request: Callable[[], bytes]
    ) -> bool:
        """Open a connection for an attempt; whether the attempt was sent on it."""
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
        """Keep a connection idle for the next attempt, unless its host is out of service."""
        if not connection.host.ready:
            connection.drop()
            return
        connection.idle_since = self._loop.time()
        connection.host.idle.append(connection)
        self._idle[connection] = None

    def forget(self, connection: HostConnection) -> None:
        """Remove a closed connection and release its descriptor, once."""
        connection.transport = None
        if connection.holds_descriptor:
            connection.holds_descriptor = False
            self._descriptors.used -= 1
            connection.host.open_count -= 1
        if self._idle.pop(connection, connection) is None:  # it was idle: the values are None
            connection.host.idle.remove(connection)

    def retire(self, host: PooledHost) -> None:
        """Take a host out of service, because it drains or is gone.

        Attempts whose first byte has not been sent are withdrawn.
        """
        host.ready = False
        for attempt in list(host.connecting):
            attempt.withdraw()
        host.drop_idle()

    def sweep(self) -> None:
        """Close connections that have been idle for too long.

        If the host closed first, a request in transit could meet the close.
        """
        idle_before = self._loop.time() - self._idle_s
        for connection in list(self._idle):
            if connection.idle_since > idle_before:
                break
            connection.drop()
