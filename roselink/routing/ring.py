"""A consistent-hash ring: every gateway finds the same hosts for a key; a lost host moves only its own keys.

Hashes are blake2b of the id, so they don't depend on the process. A lookup is a bisection and a short walk.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from functools import lru_cache
from hashlib import blake2b

MANY, VERY_MANY = 64, 1024  # hosts
POINTS, POINTS_OF_MANY, POINTS_OF_VERY_MANY = 128, 32, 8
IN_A_DIGEST = 8  # points that one digest of 64 bytes gives


class HashRing:
    """The hosts of one service by id. A larger fleet has fewer points a host: its shares are small anyway."""

    def __init__(self, ids: Iterable[str]) -> None:
        names = sorted(set(ids))
        count = len(names)
        each = POINTS if count <= MANY else POINTS_OF_MANY if count <= VERY_MANY else POINTS_OF_VERY_MANY
        pairs = sorted((point, place) for place, name in enumerate(names) for point in _points(name, each))
        self._names = names
        self._points = array("Q", (point for point, _ in pairs))
        self._places = array("L", (place for _, place in pairs))

    def __len__(self) -> int:
        return len(self._points)

    def walk(self, key: str) -> Iterator[str]:
        """Every host once, in the key's order."""
        size, seen = len(self._points), set()
        start = bisect_right(self._points, key_hash(key))
        for step in range(size):
            place = self._places[(start + step) % size]
            if place not in seen:
                seen.add(place)
                yield self._names[place]


def key_hash(key: str) -> int:
    """The place of a key on the ring."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8, person=b"key").digest(), "big")


def _points(name: str, each: int) -> array[int]:
    points = array("Q")
    for block in range(each // IN_A_DIGEST):
        points.extend(_block(name, block))
    return points


@lru_cache(maxsize=32768)
def _block(name: str, block: int) -> array[int]:
    return array("Q", blake2b(name.encode(), salt=block.to_bytes(2, "big"), person=b"host").digest())
