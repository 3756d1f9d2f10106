"""The list of hosts at the tail: its versions, and what changed from one to the next. No I/O, no
clock.

What goes to gateways is encoded once, however many of them ask for it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.protocol.pull import HostChanges, HostList
from roselink.protocol.records import encode

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.model.fleet import Host

MOST_STEPS = 64  # versions back from the newest for which changes are known
MOST_PART = 0.5  # of the list's length: more changes than that go as the whole list


@dataclass(frozen=True, slots=True)
class _Step:
    """From the version `before` to the next one."""

    before: int
    gone: tuple[str, ...]
    put: tuple[Host, ...]


class HostVersions:
    """The newest list and its version; 0 while there is none."""

    def __init__(self) -> None:
        self.hosts: tuple[Host, ...] | None = None
        self.version = 0
        self._identities: dict[str, tuple[object, ...]] = {}
        self._steps: deque[_Step] = deque(maxlen=MOST_STEPS)
        self._whole: bytes | None = None
        self._changes: dict[int, bytes | None] = {}

    def publish(self, hosts: tuple[Host, ...], next_version: Callable[[int], int]) -> None:
        """Take a list in any order. It is a new version if a host in it is another one than
        before.
        """
        ordered = tuple(sorted(hosts, key=lambda host: host.id))
        identities = {host.id: _identity(host) for host in ordered}
        if self.hosts is not None:
            gone = tuple(name for name in self._identities if name not in identities)
            put = tuple(
                host for host in ordered if self._identities.get(host.id) != identities[host.id]
            )
            if not gone and not put:
                return
            self._steps.append(_Step(self.version, gone, put))
        self.hosts, self._identities = ordered, identities
        self.version = next_version(self.version)
        self._whole, self._changes = None, {}

    def whole(self) -> bytes | None:
        """The newest list, encoded as a `HostList`; None while there is none."""
        if self._whole is None and self.hosts is not None:
            self._whole = encode(HostList(self.hosts))
        return self._whole

    def since(self, held: int) -> bytes | None:
        """What changed from an older version, encoded as `HostChanges`; None where only the whole
        list will do.
        """
        if held not in self._changes:
            self._changes[held] = self._merged(held)
        return self._changes[held]

    def _merged(self, held: int) -> bytes | None:
        latest: dict[str, Host | None] = {}
        known = False
        for step in self._steps:
            known = known or step.before == held
            if known:
                latest.update(dict.fromkeys(step.gone))
                latest.update((host.id, host) for host in step.put)
        if not known or self.hosts is None or len(latest) > MOST_PART * len(self.hosts):
            return None
        gone = tuple(name for name, host in latest.items() if host is None)
        put = tuple(host for host in latest.values() if host is not None)
        return encode(HostChanges(held, gone, put))


def _identity(host: Host) -> tuple[object, ...]:
    """What makes a host another one to a gateway: all but how much of its warm-up is left."""
    return (
        host.id,
        host.service,
        host.address,
        host.zone,
        host.generation,
        host.capacity,
        host.state,
        host.warmup_left_ms > 0,
        host.models,
    )
