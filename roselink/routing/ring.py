"""A consistent-hash ring: every gateway finds the same hosts for a key; a lost host moves only its
own keys.

Hashes are blake2b of the id, so they don't depend on the process. A lookup is a bisection and a
short walk.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MANY, VERY_MANY = 64, 1024  # hosts
POINTS, POINTS_OF_MANY, POINTS_OF_VERY_MANY = 128, 32, 8
IN_A_DIGEST = 8  # points that one digest of 64 bytes gives
PLACE_BITS = 20  # the low bits of a point tell its host: a million at most
PLACES = (1 << PLACE_BITS) - 1


class HashRing:
    """The hosts of one service by id. A larger fleet has fewer points a host: its shares are small
    anyway.
    """

    def __init__(self, ids: Iterable[str]) -> None:
        self._names = names = sorted(set(ids))
        count = len(names)
        each = (
            POINTS
            if count <= MANY
            else POINTS_OF_MANY
            if count <= VERY_MANY
            else POINTS_OF_VERY_MANY
        )
        points: list[int] = []
        for place, name in enumerate(names):
            for block in range(each // IN_A_DIGEST):
                points += [point | place for point in _block(name, block)]
        points.sort()
        self._points = array("Q", points)

    def __len__(self) -> int:
        return len(self._points)

    def walk(self, key: str) -> Iterator[str]:
        """Every host once, in the key's order."""
        size, seen = len(self._points), set()
        start = bisect_right(self._points, key_hash(key))
        for step in range(size):
            place = self._points[(start + step) % size] & PLACES
            if place not in seen:
                seen.add(place)
                yield self._names[place]


def key_hash(key: str) -> int:
    """The place of a key on the ring."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8, person=b"key").digest(), "big")


@lru_cache(maxsize=16384)
def _block(name: str, block: int) -> tuple[int, ...]:
    """Eight of a host's points, with the bits for its place left empty."""
    digest = blake2b(name.encode(), salt=block.to_bytes(2, "big"), person=b"host").digest()
    return tuple(int.from_bytes(digest[at : at + 8], "big") & ~PLACES for at in range(0, 64, 8))
