"""Connection pool for the hosts of the fleet, with a connection limit per host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.dataplane.fleet_host_connection import FleetAttempt, FleetHostConnection
from roselink.http.host_connection import Attempt, HostConnection, PooledHost
from roselink.http.host_pool import HostPool

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.http.address import Address
    from roselink.http.descriptors import Descriptors

CONNECT_TIMEOUT_S = 0.25
# Non-repeatable requests use no connection that was idle for longer: its host may have dropped it,
# and a request that fails there counts as possibly run. A larger value reuses more connections; a
# smaller one opens more.
NON_REPEATABLE_IDLE_LIMIT_S = 0.15


class FleetHost(PooledHost):
    """One host of the snapshot.

    Attributes:
        service: the service to which it belongs.
        connection_limit: maximum number of connections from this gateway.
    """

    def __init__(self, name: str, service: str, address: Address, connection_limit: int) -> None:
        """Start without connections."""
        super().__init__(name, address)
        self.service = service
        self.connection_limit = connection_limit


class FleetHostPool(HostPool):
    """Connections to all hosts of the fleet."""

    def __init__(self, loop: asyncio.AbstractEventLoop, descriptors: Descriptors) -> None:
        """Start without hosts."""
        super().__init__(loop, descriptors, CONNECT_TIMEOUT_S, 0.0)

    def _new_connection(self, host: PooledHost) -> HostConnection:
        return FleetHostConnection(self, host)

    def _may_carry(self, attempt: Attempt, connection: HostConnection) -> bool:
        assert isinstance(attempt, FleetAttempt)
        assert isinstance(connection, FleetHostConnection)
        if connection.stale():
            return True  # the pool takes it out and drops it
        if connection.has_carried(attempt.request_id):
            return False
        fresh = self.now() - connection.idle_since <= NON_REPEATABLE_IDLE_LIMIT_S
        return fresh or not attempt.non_repeatable

    def _may_connect(self, host: PooledHost) -> bool:
        assert isinstance(host, FleetHost)
        if host.open_count >= host.connection_limit and host.idle:
            connection = host.idle[0]  # not reusable yet, or the pool would have used it
            connection.drop()
            self.forget(connection)
        return host.open_count < host.connection_limit

    def begin(self, attempt: FleetAttempt, request: Callable[[], bytes]) -> None:
        """Start an attempt; `request` is called for the bytes right before the write."""
        self.launch(attempt, request)

    def sweep(self) -> None:
        """Close stale idle connections."""
        for connection in list(self._idle):
            if connection.stale():
                connection.drop()
