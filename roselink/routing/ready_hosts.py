"""The ready hosts of one service, as one gateway sees them: random draws, hash ring, ejections."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import islice
from typing import TYPE_CHECKING

from roselink.routing.host_record import HostRecord
from roselink.routing.ring import HashRing

if TYPE_CHECKING:
    import random

# Random draws before falling back to a linear scan.
MAX_DRAWS = 8
# Bound on the hosts that the scan checks.
MAX_SCANNED = 64
# Weight of the newest outcome in the rejection rate (an exponential moving average). A larger one
# reacts to overload sooner; a smaller one varies less.
REJECTION_SMOOTHING = 0.1

HostPredicate = Callable[[HostRecord], bool]


class ReadyHosts:
    """The ready hosts of one service.

    Attributes:
        hosts: All ready hosts, including ejected ones.
        rejection_rate: Moving average of the fraction of attempts that hosts rejected as full.
    """

    def __init__(self) -> None:
        """Start without hosts."""
        self.hosts: list[HostRecord] = []
        self.rejection_rate = 0.0
        self._by_id: dict[str, HostRecord] = {}
        self._ring: HashRing | None = None
        self._ejected: list[HostRecord] = []

    def replace(self, hosts: list[HostRecord]) -> None:
        """Replace the list; the hash ring is rebuilt only if the set of ids has changed."""
        by_id = {host.spec.id: host for host in hosts}
        if by_id.keys() != self._by_id.keys():
            self._ring = None
        self.hosts = hosts
        self._by_id = by_id
        self._ejected = [host for host in self._ejected if host.spec.id in by_id]

    def record_outcome(self, *, rejected: bool) -> None:
        """Update the rejection rate from one outcome."""
        self.rejection_rate += (rejected - self.rejection_rate) * REJECTION_SMOOTHING

    def ranked(self, key: str, limit: int) -> Iterator[HostRecord]:
        """The first hosts in a key's ring order; equal at all gateways that have the same list."""
        if self._ring is None:
            self._ring = HashRing(self._by_id)
        return (self._by_id[host] for host in islice(self._ring.walk(key), limit))

    def draw(self, predicate: HostPredicate, rng: random.Random) -> HostRecord | None:
        """Draw a random host that satisfies the predicate, with a bounded number of checks.

        Returns:
            None if no checked host satisfies it; in a large service not all hosts are checked.
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
        """Eject a host, unless too few hosts of the service would remain.

        Args:
            host: The host.
            now: The current time, in seconds.
            certain: Whether the failure is certain; then one host must remain. If the host merely
                did not respond, half of the hosts must remain, since an overloaded service looks
                the same.

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
