"""Prompt caches of hosts: which key a request's hosts are found by, and what a host would have to
read.

A prompt comes in parts; a host that keeps a part and all before it reads neither again. How
affinity shapes the draw: the two hosts that are compared are the first two of the ring for the
request's key, in place of two random ones, and each is charged the shared tokens that it would have
to read as if they were requests in flight. So the host that keeps more wins, unless it is more
loaded by that much. The first of the ring (its home) is taken to keep the shared parts though this
gateway has not sent them: the others send them there too.

The key is the last shared part. The last part of a prompt is the request's own, or its session's: a
route's last parts tell, by how many of them come again.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from roselink.routing.events_and_actions import PromptPart, RequestFacts

KEPT_PARTS = 8192  # parts whose hosts are remembered
KEPT_LASTS = 2048  # last parts remembered, to see which come again
KEPT_ROUTES = 1024
KEEPS_S = 20.0  # a host is taken to keep a part for this long after its last use there
HOME_KEEPS = 0.9  # part of the shared tokens that the home is taken to keep, with nothing known
AGAIN_SMOOTH = 1 / 32
SESSION_SHARE = 0.25  # a route's last parts are its sessions' when more than this share comes again


Value = TypeVar("Value")


@dataclass(slots=True)
class _Route:
    again: float = 0.0  # share of last parts that were seen before


class PrefixMemory:
    """What this gateway has seen of prompt parts, and of the hosts that read them; bounded."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._lasts: OrderedDict[str, None] = OrderedDict()
        self._routes: OrderedDict[str, _Route] = OrderedDict()

    def see(self, facts: RequestFacts) -> None:
        """Learn from an arrival whether its route's last parts come again."""
        if not facts.prompt:
            return
        route = self._routes.setdefault(facts.route, _Route())
        last = facts.prompt[-1].id
        route.again += ((last in self._lasts) - route.again) * AGAIN_SMOOTH
        self._lasts[last] = None
        self._lasts.move_to_end(last)
        _bound(self._lasts, KEPT_LASTS)
        _bound(self._routes, KEPT_ROUTES)

    def shared(self, facts: RequestFacts) -> tuple[PromptPart, ...]:
        """The parts that other requests share; the last of them is the key."""
        parts = facts.prompt
        route = self._routes.get(facts.route)
        own_last = len(parts) > 1 and (route is None or route.again <= SESSION_SHARE)
        return parts[:-1] if own_last else parts

    def read_by(self, host: str, shared: tuple[PromptPart, ...], now: float) -> None:
        """A host has read these parts, in order."""
        for part in shared:
            holders = self._holders.setdefault(part.id, {})
            if len(holders) >= 16 and host not in holders:
                del holders[min(holders, key=holders.__getitem__)]
            holders[host] = now
            self._holders.move_to_end(part.id)
        _bound(self._holders, KEPT_PARTS)

    def to_read(self, host: str, shared: tuple[PromptPart, ...], home: bool, now: float) -> float:
        """Shared tokens that a host is expected to have to read."""
        kept, total, leading = 0, 0, True
        for part in shared:
            total += part.tokens
            read_at = self._holders.get(part.id, _NOBODY).get(host)
            leading = leading and read_at is not None and now - read_at < KEEPS_S
            kept += part.tokens * leading
        return total - max(kept, HOME_KEEPS * total if home else 0.0)


_NOBODY: dict[str, float] = {}


def _bound(table: OrderedDict[str, Value], most: int) -> None:
    while len(table) > most:
        table.popitem(last=False)
