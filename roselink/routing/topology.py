"""The hosts and services now in force, and what is known of each host while it stays listed."""

from __future__ import annotations

from roselink.model.fleet import Host
from roselink.model.fleet import HostState as ListedState
from roselink.routing.decisions import TopologyChanged
from roselink.routing.host_state import HostState, fresh_state
from roselink.routing.pool import Pool


class Topology:
    """One pool of ready hosts for each service. Draining hosts are remembered, and in no pool."""

    def __init__(self) -> None:
        self._hosts: dict[str, HostState] = {}
        self._pools: dict[str, Pool] = {}

    def pool(self, service: str) -> Pool:
        """The hosts of a service; an empty pool for one that nobody told of."""
        return self._pools.setdefault(service, Pool())

    def replace(self, event: TopologyChanged) -> None:
        """Take the new list, whole."""
        ready: dict[str, list[HostState]] = {service.name: [] for service in event.services}
        hosts: dict[str, HostState] = {}
        for spec in event.hosts:
            known = hosts[spec.id] = self._known(spec)
            if spec.state is ListedState.READY:
                ready.setdefault(spec.service, []).append(known)
        self._hosts = hosts
        for service in self._pools.keys() - ready.keys():
            del self._pools[service]
        for service, members in ready.items():
            self.pool(service).replace(members)

    def _known(self, spec: Host) -> HostState:
        known = self._hosts.get(spec.id)
        if known is None or known.spec.service != spec.service:
            return fresh_state(spec)
        known.spec = spec
        return known
