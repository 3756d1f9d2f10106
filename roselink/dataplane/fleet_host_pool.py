"""The pool of connections to the hosts of the fleet: each host takes so many and no more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.dataplane.fleet_host_connection import FleetAttempt, FleetHostConnection
from roselink.http.host_connection import Attempt, Host, HostConnection
from roselink.http.host_pool import HostPool

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from roselink.http.address import Address
    from roselink.http.descriptors import Descriptors

CONNECT_TIMEOUT_S = 0.25
# A host may have forgotten what rested longer: a request sent there counts as run.
ONCE_IDLE_S = 0.15


class FleetHost(Host):
    """One host of the snapshot. `most`: connections that this gateway may hold to it."""

    def __init__(self, name: str, service: str, address: Address, most: int) -> None:
        super().__init__(name, address)
        self.service, self.most = service, most


class FleetHostPool(HostPool):
    """The pool of all hosts."""

    def __init__(self, loop: asyncio.AbstractEventLoop, descriptors: Descriptors) -> None:
        super().__init__(loop, descriptors, CONNECT_TIMEOUT_S, 0.0)

    def _new_connection(self, host: Host) -> HostConnection:
        return FleetHostConnection(self, host)

    def _suits(self, attempt: Attempt, connection: HostConnection) -> bool:
        once = isinstance(attempt, FleetAttempt) and attempt.once
        fresh = self.now() - connection.idle_since <= ONCE_IDLE_S
        return not once or fresh or connection.stale()  # a stale one is taken out and dropped

    def _may_connect(self, host: Host) -> bool:
        assert isinstance(host, FleetHost)
        if host.open >= host.most and host.idle:
            connection = host.idle[0]  # not settled yet, or it would have been used
            connection.drop()
            self.forget(connection)
        return host.open < host.most

    def begin(self, attempt: FleetAttempt, request: Callable[[], bytes]) -> None:
        """Start an attempt; `request` is asked right before the write."""
        self.launch(attempt, request)

    def sweep(self) -> None:
        for connection in list(self._idle):
            if connection.stale():
                connection.drop()
