"""Which gateways are live, as the tail of the core's chain infers it from their pulls. Without I/O.

A pull is also a gateway's heartbeat. The roster is the sorted list of the live gateways that may
own quotas and retry budgets (`serving`); each change of it makes a new version. `now` is in seconds
of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.model.fleet import Member, VersionVector
    from roselink.protocol.pull import PullRequest

# Former incarnations that are remembered of each gateway, so that their delayed pulls are ignored.
MAX_FORMER_INCARNATIONS = 8


@dataclass(frozen=True, slots=True)
class LivenessTimes:
    """Bounds of failure detection, in seconds.

    Attributes:
        gateway_timeout_s: a gateway that has not pulled for longer is dropped. A larger value
            keeps a dead gateway in the roster for longer; a smaller one drops slow gateways.
        collection_s: how long a new view's tail waits for pulls before its first roster. A larger
            value delays the roster; with a smaller one it may lack live gateways.
        stall_s: a longer time without any input means that this core process itself was stalled;
            it does not count as silence of the gateways.
    """

    gateway_timeout_s: float = 1.2
    collection_s: float = 0.6
    stall_s: float = 0.6


@dataclass(frozen=True, slots=True)
class GatewayLag:
    """A gateway as the tail sees it, for the status page, whose JSON has these field names.

    Attributes:
        name: the gateway's name.
        address: its address for peers, "ip:port".
        serving: whether it may own quotas and retry budgets.
        silent_s: seconds since its last pull.
        configuration: the version of the configuration that it had at its last pull.
        hosts: the newest version of the host list minus its version, at least 0; about 2**32 per
            view if its version is of an earlier one.
        roster: the same for the roster.
    """

    name: str
    address: str
    serving: bool
    silent_s: float
    configuration: int
    hosts: int
    roster: int


@dataclass(slots=True)
class _Gateway:
    """What the tail knows of a gateway from its newest pull."""

    member: Member
    serving: bool
    last_pull_at: float
    vector: VersionVector
    former_incarnations: deque[int] = field(
        default_factory=lambda: deque(maxlen=MAX_FORMER_INCARNATIONS)
    )


class GatewayRoster:
    """The gateways that pull, and the published roster with its version.

    Attributes:
        members: the published roster; None until the view's first one is published.
        version: the roster's version; 0 until the view's first one is published.
    """

    def __init__(self, times: LivenessTimes) -> None:
        """Start without gateways."""
        self.members: tuple[Member, ...] | None = None
        self.version = 0
        self._times = times
        self._gateways: dict[str, _Gateway] = {}
        self._collect_until = 0.0
        self._last_input_at = 0.0

    def input_received(self, now: float) -> None:
        """Note an input of any kind, before it is handled.

        If it is the first for longer than `stall_s`, this core process could not receive pulls in
        that time: it does not count as silence of the gateways.
        """
        gap_s = now - self._last_input_at
        self._last_input_at = now
        if gap_s > self._times.stall_s:
            for gateway in self._gateways.values():
                gateway.last_pull_at += gap_s

    def view_changed(self, now: float, *, is_tail: bool) -> None:
        """Start a view without a roster.

        A tail waits `collection_s` for pulls and adds them to the gateways that it knows; another
        member forgets them.
        """
        self.members = None
        self.version = 0
        self._collect_until = now + self._times.collection_s
        if not is_tail:
            self._gateways.clear()

    def pull_received(self, now: float, pull: PullRequest) -> None:
        """Count a pull as its gateway's heartbeat, unless it is from a former incarnation."""
        member = pull.member
        known = self._gateways.get(member.name)
        if known is None:
            self._gateways[member.name] = _Gateway(member, pull.serving, now, pull.vector)
            return
        if member.incarnation != known.member.incarnation:
            if member.incarnation in known.former_incarnations:
                return
            known.former_incarnations.append(known.member.incarnation)
        known.member = member
        known.serving = pull.serving
        known.last_pull_at = now
        known.vector = pull.vector

    def publish(self, now: float, next_version: Callable[[int], int]) -> None:
        """Drop the gateways that timed out, and publish the roster if it has changed.

        Nothing is published before the collection time is over.

        Args:
            now: the time.
            next_version: returns the version that follows the given one.
        """
        expired = [
            name
            for name, gateway in self._gateways.items()
            if now - gateway.last_pull_at > self._times.gateway_timeout_s
        ]
        for name in expired:
            del self._gateways[name]
        if now < self._collect_until:
            return
        serving = [gateway.member for gateway in self._gateways.values() if gateway.serving]
        members = tuple(sorted(serving, key=lambda member: member.name))
        if members != self.members:
            self.members = members
            self.version = next_version(self.version)

    def lags(self, now: float, hosts_version: int) -> tuple[GatewayLag, ...]:
        """How far behind each gateway was at its last pull, for all not yet dropped, by name."""
        return tuple(
            GatewayLag(
                gateway.member.name,
                gateway.member.address,
                gateway.serving,
                round(now - gateway.last_pull_at, 3),
                gateway.vector.configuration,
                max(0, hosts_version - gateway.vector.hosts),
                max(0, self.version - gateway.vector.roster),
            )
            for gateway in sorted(self._gateways.values(), key=lambda gateway: gateway.member.name)
        )
