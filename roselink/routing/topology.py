"""The hosts and services now in force, and what is known of each host while it stays listed."""

from __future__ import annotations

from roselink.model.fleet import Host, HostState
from roselink.routing.events_and_actions import PooledPayoffs, TopologyChanged
from roselink.routing.host_record import HostRecord, new_host_record
from roselink.routing.ready_hosts import ReadyHosts

POOLED_S = 2.0  # payoffs over all gateways hold for so long


class Topology:
    """One pool of ready hosts for each service. Draining hosts are remembered, and in no pool."""

    def __init__(self) -> None:
        self._hosts: dict[str, HostRecord] = {}
        self._pools: dict[str, ReadyHosts] = {}
        self._pooled_until = float("inf")

    def pool(self, service: str) -> ReadyHosts:
        """The hosts of a service; an empty pool for one that nobody told of."""
        return self._pools.setdefault(service, ReadyHosts())

    def replace(self, event: TopologyChanged) -> None:
        """Take the new list, whole."""
        ready: dict[str, list[HostRecord]] = {service.name: [] for service in event.services}
        hosts: dict[str, HostRecord] = {}
        for spec in event.hosts:
            known = hosts[spec.id] = self._known(spec)
            if spec.state is HostState.READY:
                ready.setdefault(spec.service, []).append(known)
        self._hosts = hosts
        for service in self._pools.keys() - ready.keys():
            del self._pools[service]
        for service, members in ready.items():
            self.pool(service).replace(members)

    def pool_payoffs(self, event: PooledPayoffs, now: float) -> None:
        """Take over the payoffs over all gateways; hosts not named have the best."""
        payoffs = dict(event.hosts)
        self._pooled_until = now + POOLED_S if payoffs else float("inf")
        for name, host in self._hosts.items():
            host.pooled = payoffs.get(name, 1.0)

    def forget_pooled(self, now: float) -> None:
        """Payoffs over all gateways end when they are not told anew."""
        if now > self._pooled_until:
            self.pool_payoffs(PooledPayoffs(()), now)

    def untold(self) -> list[tuple[str, int, int]]:
        """Hosts with outcomes since the last call: id, served within the aim, missed."""
        told = []
        for name, host in self._hosts.items():
            if host.served_untold or host.missed_untold:
                told.append((name, host.served_untold, host.missed_untold))
                host.served_untold = host.missed_untold = 0
        return told

    def _known(self, spec: Host) -> HostRecord:
        known = self._hosts.get(spec.id)
        if known is None or known.spec.service != spec.service:
            return new_host_record(spec)
        known.spec = spec
        return known
