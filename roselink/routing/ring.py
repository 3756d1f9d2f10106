"""Consistent hashing: all gateways map a key to the same hosts.

A lost host moves only its own keys, except where the number of points per host changes.

Each host has a number of points (virtual nodes) on a ring of 64-bit hashes, and a key's hosts are
those of the points that follow its hash (Karger et al., Consistent Hashing and Random Trees, STOC
1997). The ids of hosts and the keys are hashed with blake2b, which gives the same values in every
process. To look up the first hosts of a key takes a bisection and a few steps.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Largest numbers of hosts of a small and of a medium ring.
SMALL_RING_HOSTS = 64
MEDIUM_RING_HOSTS = 1024
# Points of each host by size of the ring. More points spread the keys more evenly, and cost memory
# and time to build.
SMALL_RING_POINTS = 128
MEDIUM_RING_POINTS = 32
LARGE_RING_POINTS = 8
# Points obtained from one digest of 64 bytes.
POINTS_PER_DIGEST = 8
# The low bits of a point are its host's index, which limits a ring to about a million hosts.
HOST_INDEX_BITS = 20
HOST_INDEX_MASK = (1 << HOST_INDEX_BITS) - 1


class HashRing:
    """A hash ring of one service's hosts.

    In a larger ring each host has fewer points, to save memory: an uneven spread matters less where
    each host has a small fraction of the keys.
    """

    def __init__(self, ids: Iterable[str]) -> None:
        """Build the ring from host ids; duplicates count once."""
        self._ids = sorted(set(ids))
        digests_per_host = _points_per_host(len(self._ids)) // POINTS_PER_DIGEST
        points: list[int] = []
        for index, host in enumerate(self._ids):
            for digest_index in range(digests_per_host):
                points += [point | index for point in _points_of_digest(host, digest_index)]
        points.sort()
        self._points = array("Q", points)

    def __len__(self) -> int:
        """The number of points."""
        return len(self._points)

    def walk(self, key: str) -> Iterator[str]:
        """All hosts, each once, in the order of their first points after the key's hash."""
        size = len(self._points)
        seen = set()
        start = bisect_right(self._points, key_hash(key))
        for step in range(size):
            index = self._points[(start + step) % size] & HOST_INDEX_MASK
            if index not in seen:
                seen.add(index)
                yield self._ids[index]


def key_hash(key: str) -> int:
    """The position of a key on the ring."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8, person=b"key").digest(), "big")


def _points_per_host(host_count: int) -> int:
    if host_count <= SMALL_RING_HOSTS:
        return SMALL_RING_POINTS
    return MEDIUM_RING_POINTS if host_count <= MEDIUM_RING_HOSTS else LARGE_RING_POINTS


@lru_cache(maxsize=16384)
def _points_of_digest(host: str, digest_index: int) -> tuple[int, ...]:
    """The points of a host from one of its digests, with the bits of the host's index zero."""
    digest = blake2b(host.encode(), salt=digest_index.to_bytes(2, "big"), person=b"host").digest()
    return tuple(
        int.from_bytes(digest[offset : offset + 8], "big") & ~HOST_INDEX_MASK
        for offset in range(0, 64, 8)
    )
