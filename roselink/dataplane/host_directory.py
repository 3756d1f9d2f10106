"""The hosts of the snapshot in force, as the connection pool uses them."""

from __future__ import annotations

from roselink.dataplane.fleet_host_pool import FleetHost, FleetHostPool
from roselink.model.fleet import Host, HostState, Snapshot

# Minimum of the connection limit per host, however many gateways share the service's limit.
MIN_CONNECTIONS_PER_HOST = 4
# Number of gateways that is assumed while the roster is unknown.
DEFAULT_GATEWAY_COUNT = 6


class HostDirectory:
    """Hosts by their id."""

    def __init__(self, host_pool: FleetHostPool) -> None:
        """Start without hosts."""
        self._host_pool = host_pool
        self.hosts: dict[str, FleetHost] = {}
        self._previous: dict[str, Host] = {}  # in the previous snapshot
        self._limit_inputs: tuple[int, dict[str, int]] = (0, {})

    def update(self, snapshot: Snapshot) -> None:
        """Apply a snapshot.

        Hosts that are draining or removed get no new requests; open requests continue. Hosts with
        an identical entry under the same limits are skipped.
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
        """Whether any host takes requests."""
        return any(host.ready for host in self.hosts.values())


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
