"""Prefix-cache affinity: a request's affinity key, and the prompt tokens that a host would prefill.

A prompt is a sequence of segments; a host that has cached a segment and all segments before it
prefills none of them again. Affinity replaces the random draw: the two hosts that are compared are
the first two of the hash ring for the request's key, and the shared tokens that each would have to
prefill count as load. So the host with the longer cached prefix wins, unless its load exceeds the
other's by more than that. The first host of the ring (the key's home) is assumed to have
cached the shared segments even if this gateway has not sent them: the other gateways send them
there too.

The key is the last shared segment. The last segment of a prompt is either unique to the request or
belongs to its session; the rate at which a route's last segments recur distinguishes the two.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from roselink.routing.events_and_actions import PromptSegment, RequestFacts

# Bound on the prompt segments whose hosts are tracked.
MAX_TRACKED_SEGMENTS = 8192
# Bound on the hosts tracked for each of these segments.
MAX_HOSTS_PER_SEGMENT = 16
# Bound on the last segments that are kept to detect recurrence.
MAX_TRACKED_LAST_SEGMENTS = 2048
# Bound on the routes whose recurrence rate is kept.
MAX_TRACKED_ROUTES = 1024
# Time for which a host is assumed to cache a segment after its last use there, in seconds. A longer
# one trusts segments that were evicted; a shorter one charges for segments that are still cached.
CACHE_LIFETIME_S = 20.0
# Fraction of the shared tokens that the home host is assumed to have cached at least. A larger one
# keeps keys at their home, a smaller one at the host that this gateway has sent them to.
HOME_CACHED_FRACTION = 0.9
# Weight of the newest arrival in a route's recurrence rate (an exponential moving average). A
# larger one follows changes of the traffic sooner; a smaller one varies less.
RECURRENCE_SMOOTHING = 1 / 32
# Recurrence rate above which a route's last segments are taken to belong to sessions.
SESSION_RECURRENCE = 0.25


Value = TypeVar("Value")


@dataclass(slots=True)
class _LastSegmentRecurrence:
    """Rate at which a route's last segments recur, from 0 to 1."""

    recurrence: float = 0.0


class PrefixCacheTracker:
    """Tracks which hosts have probably cached which prompt segments; bounded."""

    def __init__(self) -> None:
        """Start with no segment tracked."""
        self._hosts_by_segment: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._recent_last_segments: OrderedDict[str, None] = OrderedDict()
        self._routes: OrderedDict[str, _LastSegmentRecurrence] = OrderedDict()

    def observe_arrival(self, facts: RequestFacts) -> None:
        """Update the recurrence rate of the route's last segments from an arrival."""
        if not facts.prompt:
            return
        route = self._routes.setdefault(facts.route, _LastSegmentRecurrence())
        last_id = facts.prompt[-1].id
        route.recurrence += (
            (last_id in self._recent_last_segments) - route.recurrence
        ) * RECURRENCE_SMOOTHING
        self._recent_last_segments[last_id] = None
        self._recent_last_segments.move_to_end(last_id)
        _evict_oldest(self._recent_last_segments, MAX_TRACKED_LAST_SEGMENTS)
        _evict_oldest(self._routes, MAX_TRACKED_ROUTES)

    def shared_segments(self, facts: RequestFacts) -> tuple[PromptSegment, ...]:
        """The leading segments that other requests share; the last of them is the affinity key."""
        segments = facts.prompt
        route = self._routes.get(facts.route)
        last_is_unique = len(segments) > 1 and (
            route is None or route.recurrence <= SESSION_RECURRENCE
        )
        return segments[:-1] if last_is_unique else segments

    def record_prefill(self, host: str, shared: tuple[PromptSegment, ...], now: float) -> None:
        """Record that a host has prefilled these segments, in order; `now` in seconds."""
        for segment in shared:
            hosts = self._hosts_by_segment.setdefault(segment.id, {})
            if len(hosts) >= MAX_HOSTS_PER_SEGMENT and host not in hosts:
                del hosts[min(hosts, key=hosts.__getitem__)]
            hosts[host] = now
            self._hosts_by_segment.move_to_end(segment.id)
        _evict_oldest(self._hosts_by_segment, MAX_TRACKED_SEGMENTS)

    def uncached_tokens(
        self, host: str, shared: tuple[PromptSegment, ...], now: float, *, is_home: bool
    ) -> float:
        """Shared tokens that a host is expected to have to prefill.

        Args:
            host: The host's id.
            shared: The shared segments, in order.
            now: The current time, in seconds.
            is_home: Whether the host is the first of the hash ring for the key.
        """
        cached = 0
        total = 0
        prefix_cached = True
        for segment in shared:
            total += segment.tokens
            prefilled_at = self._hosts_by_segment.get(segment.id, _NO_HOSTS).get(host)
            prefix_cached = (
                prefix_cached and prefilled_at is not None and now - prefilled_at < CACHE_LIFETIME_S
            )
            cached += segment.tokens * prefix_cached
        return total - max(cached, HOME_CACHED_FRACTION * total if is_home else 0.0)


_NO_HOSTS: dict[str, float] = {}


def _evict_oldest(table: OrderedDict[str, Value], size: int) -> None:
    while len(table) > size:
        table.popitem(last=False)
