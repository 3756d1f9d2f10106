"""The hosts of the snapshot in force, as the pool of connections knows them."""

from __future__ import annotations

from roselink.dataplane.fleet_host_pool import FleetHost, FleetHostPool
from roselink.model.fleet import Host, HostState, Snapshot

# To each host.
MIN_CONNECTIONS_PER_HOST = 4
# Gateways, where the roster is not known.
DEFAULT_GATEWAY_COUNT = 6


class HostDirectory:
    """Hosts by their id."""

    def __init__(self, host_pool: FleetHostPool) -> None:
        """Start without hosts."""
        self._host_pool = host_pool
        self.hosts: dict[str, FleetHost] = {}
        self._previous: dict[str, Host] = {}  # of the snapshot before
        self._limit_inputs: tuple[int, dict[str, int]] = (0, {})

    def update(self, snapshot: Snapshot) -> None:
        """Go by a snapshot.

        What drains or is gone gets nothing new; what runs there runs on. Hosts whose entry is the
        very same as before, under the same bounds, are passed over.
        """
        gateways = len(snapshot.roster) or DEFAULT_GATEWAY_COUNT
        limits = {
            service.name: service.max_connections for service in snapshot.configuration.services
        }
        same_limits = self._limit_inputs == (gateways, limits)
        previous = self._previous
        listed = {host.id: host for host in snapshot.hosts}
        self._previous = listed
        self._limit_inputs = (gateways, limits)
        for name in [name for name in previous if name not in listed]:
            self._host_pool.retire(self.hosts.pop(name))
        for name, entry in listed.items():
            if not (same_limits and previous.get(name) is entry):
                self._apply_host(
                    entry, max(MIN_CONNECTIONS_PER_HOST, limits.get(entry.service, 0) // gateways)
                )

    def _apply_host(self, entry: Host, connection_limit: int) -> None:
        current = self.hosts.get(entry.id)
        if current is not None and (current.address, current.service) != (
            _address(entry.address),
            entry.service,
        ):
            del self.hosts[entry.id]
            self._host_pool.retire(current)
            current = None
        if current is None:
            current = self.hosts[entry.id] = FleetHost(
                entry.id, entry.service, _address(entry.address), connection_limit
            )
        current.connection_limit = connection_limit
        if entry.state is HostState.READY:
            current.ready = True
        elif current.ready:
            self._host_pool.retire(current)

    def any_ready(self) -> bool:
        """Whether some host takes requests."""
        return any(host.ready for host in self.hosts.values())


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
