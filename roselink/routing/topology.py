"""The current hosts and services, with a record of each host while it is listed."""

from __future__ import annotations

from typing import NamedTuple

from roselink.model.fleet import Host, HostState
from roselink.routing.events_and_actions import PooledPayoffs, TopologyChanged
from roselink.routing.host_record import HostRecord, new_host_record
from roselink.routing.ready_hosts import ReadyHosts

# Lifetime of pooled payoffs that are not renewed, in seconds. A longer one bridges more lost
# updates; a shorter one drops outdated payoffs sooner.
POOLED_PAYOFFS_S = 2.0


class UnreportedOutcomes(NamedTuple):
    """Numbers of outcomes at one host, to be reported to the other gateways.

    Attributes:
        host: The host's id.
        in_time: Number of outcomes that met the target latency.
        missed: Number of outcomes that did not.
    """

    host: str
    in_time: int
    missed: int


class Topology:
    """The ready hosts of each service. Draining hosts keep their records, but are not ready."""

    def __init__(self) -> None:
        """Start without hosts and services."""
        self._hosts: dict[str, HostRecord] = {}
        self._ready: dict[str, ReadyHosts] = {}
        self._pooled_until = float("inf")

    def ready_hosts(self, service: str) -> ReadyHosts:
        """The ready hosts of a service; none for a service that is not listed."""
        return self._ready.setdefault(service, ReadyHosts())

    def replace(self, event: TopologyChanged) -> None:
        """Replace the list of hosts and services."""
        ready: dict[str, list[HostRecord]] = {service.name: [] for service in event.services}
        hosts: dict[str, HostRecord] = {}
        for spec in event.hosts:
            record = hosts[spec.id] = self._find_or_create_record(spec)
            if spec.state is HostState.READY:
                ready.setdefault(spec.service, []).append(record)
        self._hosts = hosts
        for service in self._ready.keys() - ready.keys():
            del self._ready[service]
        for service, members in ready.items():
            self.ready_hosts(service).replace(members)

    def set_pooled_payoffs(self, event: PooledPayoffs, now: float) -> None:
        """Set the payoffs pooled over all gateways; hosts that are not named get 1."""
        payoffs = dict(event.hosts)
        self._pooled_until = now + POOLED_PAYOFFS_S if payoffs else float("inf")
        for name, host in self._hosts.items():
            host.pooled_payoff = payoffs.get(name, 1.0)

    def expire_pooled_payoffs(self, now: float) -> None:
        """Reset the pooled payoffs if they were not renewed within `POOLED_PAYOFFS_S`."""
        if now > self._pooled_until:
            self.set_pooled_payoffs(PooledPayoffs(()), now)

    def take_unreported_outcomes(self) -> list[UnreportedOutcomes]:
        """Return and reset the numbers of outcomes since the last call, by host."""
        unreported = []
        for name, host in self._hosts.items():
            if host.unreported_in_time or host.unreported_missed:
                unreported.append(
                    UnreportedOutcomes(name, host.unreported_in_time, host.unreported_missed)
                )
                host.unreported_in_time = 0
                host.unreported_missed = 0
        return unreported

    def _find_or_create_record(self, spec: Host) -> HostRecord:
        record = self._hosts.get(spec.id)
        if record is None or record.spec.service != spec.service:
            return new_host_record(spec)
        record.spec = spec
        return record
