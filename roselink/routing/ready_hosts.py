"""The ready hosts of one service, as one gateway sees them: random draws, the ring, and rests."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import islice
from typing import TYPE_CHECKING

from roselink.routing.host_record import HostRecord
from roselink.routing.ring import HashRing

if TYPE_CHECKING:
    import random

DRAWS = 8  # random tries for a host that will do, before a scan
SCAN = 64  # hosts looked at in a row after that
REFUSED_SMOOTH = 0.1

Condition = Callable[[HostRecord], bool]


class ReadyHosts:
    """Hosts of one service. `refused_share`: of late outcomes, those that said the host was
    full.
    """

    def __init__(self) -> None:
        self.hosts: list[HostRecord] = []
        self.refused_share = 0.0
        self._by_id: dict[str, HostRecord] = {}
        self._ring: HashRing | None = None
        self._resting: list[HostRecord] = []

    def replace(self, hosts: list[HostRecord]) -> None:
        """Take a new list; the ring is built again only when other ids are in it."""
        by_id = {host.spec.id: host for host in hosts}
        if by_id.keys() != self._by_id.keys():
            self._ring = None
        self.hosts, self._by_id = hosts, by_id
        self._resting = [host for host in self._resting if host.spec.id in by_id]

    def count(self, refused: bool) -> None:
        """Learn how crowded the service is."""
        self.refused_share += (refused - self.refused_share) * REFUSED_SMOOTH

    def ranked(self, key: str, most: int) -> Iterator[HostRecord]:
        """The first hosts in a key's order, the same at every gateway that has the same list."""
        if self._ring is None:
            self._ring = HashRing(self._by_id)
        return (self._by_id[name] for name in islice(self._ring.walk(key), most))

    def draw(self, fits: Condition, randomness: random.Random) -> HostRecord | None:
        """A host drawn at random among those that fit, with a bounded number of looks."""
        count = len(self.hosts)
        for _ in range(min(DRAWS, count * 2)):
            host = self.hosts[int(randomness.random() * count)]
            if fits(host):
                return host
        start = int(randomness.random() * count)
        for step in range(min(SCAN, count)):
            host = self.hosts[(start + step) % count]
            if fits(host):
                return host
        return None

    def rest(self, host: HostRecord, now: float, sure: bool) -> bool:
        """Rest a host, unless no other of the service would be left.

        Of one that only fell silent (not `sure`), half are left: a crowd of slow hosts looks the
        same.
        """
        self._resting = [other for other in self._resting if other.rested_until > now]
        if host in self._resting:
            return False
        count = len(self.hosts)
        least = 1 if sure else max(1, (count + 1) // 2)
        if self._by_id.get(host.spec.id) is not host or count - len(self._resting) <= least:
            host.failures = 0
            return False
        host.rest(now)
        self._resting.append(host)
        return True
