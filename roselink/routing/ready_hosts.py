"""The ready hosts of one service, as one gateway sees them: random draws, the ring, ejections."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import islice
from typing import TYPE_CHECKING

from roselink.routing.host_record import HostRecord
from roselink.routing.ring import HashRing

if TYPE_CHECKING:
    import random

# Random draws for a host that satisfies a predicate, before a scan.
MAX_DRAWS = 8
# Hosts that the scan then checks in a row.
MAX_SCANNED = 64
# Weight of the newest outcome in the rejection rate.
REJECTION_SMOOTHING = 0.1

HostPredicate = Callable[[HostRecord], bool]


class ReadyHosts:
    """Ready hosts of one service.

    Attributes:
        hosts: All of them, those that are ejected included.
        rejection_rate: Fraction of recent outcomes by which a host rejected the attempt as full.
    """

    def __init__(self) -> None:
        """Start with no host."""
        self.hosts: list[HostRecord] = []
        self.rejection_rate = 0.0
        self._by_id: dict[str, HostRecord] = {}
        self._ring: HashRing | None = None
        self._ejected: list[HostRecord] = []

    def replace(self, hosts: list[HostRecord]) -> None:
        """Take a new list; the ring is built again only when the set of ids changed."""
        by_id = {host.spec.id: host for host in hosts}
        if by_id.keys() != self._by_id.keys():
            self._ring = None
        self.hosts = hosts
        self._by_id = by_id
        self._ejected = [host for host in self._ejected if host.spec.id in by_id]

    def record_outcome(self, *, rejected: bool) -> None:
        """Learn from one outcome how crowded the service is."""
        self.rejection_rate += (rejected - self.rejection_rate) * REJECTION_SMOOTHING

    def ranked(self, key: str, limit: int) -> Iterator[HostRecord]:
        """The first hosts in a key's order, the same at every gateway that has the same list."""
        if self._ring is None:
            self._ring = HashRing(self._by_id)
        return (self._by_id[host] for host in islice(self._ring.walk(key), limit))

    def draw(self, predicate: HostPredicate, rng: random.Random) -> HostRecord | None:
        """Draw a host that satisfies a predicate at random; the number of checks is bounded.

        Returns:
            None if none was found, though one may exist among more hosts than are checked.
        """
        count = len(self.hosts)
        for _ in range(min(MAX_DRAWS, count * 2)):
            host = self.hosts[int(rng.random() * count)]
            if predicate(host):
                return host
        start = int(rng.random() * count)
        for step in range(min(MAX_SCANNED, count)):
            host = self.hosts[(start + step) % count]
            if predicate(host):
                return host
        return None

    def eject(self, host: HostRecord, now: float, *, certain: bool) -> bool:
        """Eject a host, unless too few of the service would be left.

        Args:
            host: The host.
            now: Seconds.
            certain: Whether it surely failed; then one other host must be left. Of hosts that only
                did not respond, half must be left: an overloaded service looks the same.

        Returns:
            Whether it was ejected.
        """
        self._ejected = [other for other in self._ejected if other.ejected_until > now]
        if host in self._ejected:
            return False
        count = len(self.hosts)
        min_remaining = 1 if certain else max(1, (count + 1) // 2)
        is_listed = self._by_id.get(host.spec.id) is host
        if not is_listed or count - len(self._ejected) <= min_remaining:
            host.consecutive_failures = 0
            return False
        host.eject(now)
        self._ejected.append(host)
        return True
