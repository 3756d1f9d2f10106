"""The hosts of the snapshot in force, as the pool of connections knows them."""

from __future__ import annotations

from roselink.dataplane.fleet_host_pool import FleetHost, FleetHostPool
from roselink.model.fleet import Host, HostState, Snapshot

CONNECTIONS_LEAST = 4  # to each host
ROSTER_GUESS = 6  # gateways, where the roster is not known


class HostDirectory:
    """Hosts by their id."""

    def __init__(self, upstream: FleetHostPool) -> None:
        self._upstream = upstream
        self.hosts: dict[str, FleetHost] = {}
        self._lines: dict[str, Host] = {}  # of the snapshot before
        self._bounds: tuple[int, dict[str, int]] = (0, {})

    def update(self, snapshot: Snapshot) -> None:
        """Go by a snapshot. What drains or is gone gets nothing new; what runs there runs on. Hosts
        whose line is the very same as before, under the same bounds, are passed over.
        """
        gateways = len(snapshot.roster) or ROSTER_GUESS
        limits = {
            service.name: service.max_connections for service in snapshot.configuration.services
        }
        same_bounds = self._bounds == (gateways, limits)
        before, told = self._lines, {host.id: host for host in snapshot.hosts}
        self._lines, self._bounds = told, (gateways, limits)
        for name in [name for name in before if name not in told]:
            self._upstream.retire(self.hosts.pop(name))
        for name, line in told.items():
            if not (same_bounds and before.get(name) is line):
                self._take(line, max(CONNECTIONS_LEAST, limits.get(line.service, 0) // gateways))

    def _take(self, line: Host, most: int) -> None:
        current = self.hosts.get(line.id)
        if current is not None and (current.address, current.service) != (
            _address(line.address),
            line.service,
        ):
            del self.hosts[line.id]
            self._upstream.retire(current)
            current = None
        if current is None:
            current = self.hosts[line.id] = FleetHost(
                line.id, line.service, _address(line.address), most
            )
        current.connection_limit = most
        if line.state is HostState.READY:
            current.ready = True
        elif current.ready:
            self._upstream.retire(current)

    def any_ready(self) -> bool:
        """Whether some host takes requests."""
        return any(host.ready for host in self.hosts.values())


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
