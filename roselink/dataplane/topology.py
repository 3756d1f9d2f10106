"""The hosts of the snapshot in force, as the pool of connections knows them."""

from __future__ import annotations

from roselink.dataplane.upstream import FleetHost, FleetUpstream
from roselink.model.fleet import HostState, Snapshot

CONNECTIONS_LEAST = 4  # to each host
ROSTER_GUESS = 6  # gateways, where the roster is not known


class HostDirectory:
    """Hosts by their id."""

    def __init__(self, upstream: FleetUpstream) -> None:
        self._upstream = upstream
        self.hosts: dict[str, FleetHost] = {}

    def update(self, snapshot: Snapshot) -> None:
        """Go by a snapshot. What drains or is gone gets nothing new; what runs there runs on."""
        gateways = len(snapshot.roster) or ROSTER_GUESS
        limits = {service.name: service.max_connections for service in snapshot.configuration.services}
        told = {host.id: host for host in snapshot.hosts}
        for name, host in list(self.hosts.items()):
            line = told.get(name)
            if line is None or _address(line.address) != host.address or line.service != host.service:
                del self.hosts[name]
                self._upstream.retire(host)
        for name, line in told.items():
            most = max(CONNECTIONS_LEAST, limits.get(line.service, 0) // gateways)
            current = self.hosts.get(name)
            if current is None:
                current = self.hosts[name] = FleetHost(name, line.service, _address(line.address), most)
            current.most = most
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
