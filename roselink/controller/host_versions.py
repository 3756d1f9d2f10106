"""The list of hosts at the tail: its versions, and the changes from one to the next. Sans I/O.

What goes to gateways is encoded once, however many of them request it.
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

# Number of deltas that are kept. With a larger value a gateway that lags further still gets changes
# instead of the complete list, at the cost of memory.
MAX_DELTAS = 64
# Above this ratio of changes to the list's length the complete list is sent instead.
MAX_CHANGED_FRACTION = 0.5


_Fingerprint = tuple[str | int | bool | tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class _Delta:
    """The changes from the version `base_version` to the next one."""

    base_version: int
    removed: tuple[str, ...]
    updated: tuple[Host, ...]


class HostVersions:
    """The newest list and its versions.

    Attributes:
        hosts: the newest list, sorted by id; None before the first.
        version: its version; 0 before the first.
    """

    def __init__(self) -> None:
        """Start without a list."""
        self.hosts: tuple[Host, ...] | None = None
        self.version = 0
        self._fingerprints: dict[str, _Fingerprint] = {}
        self._deltas: deque[_Delta] = deque(maxlen=MAX_DELTAS)
        self._encoded_list: bytes | None = None
        self._encoded_changes: dict[int, bytes | None] = {}

    def publish(self, hosts: tuple[Host, ...], next_version: Callable[[int], int]) -> None:
        """Publish a list, in any order; a new version if a host was added, changed or removed.

        Args:
            hosts: the complete list.
            next_version: returns the version that follows the given one.
        """
        ordered = tuple(sorted(hosts, key=lambda host: host.id))
        fingerprints = {host.id: _fingerprint(host) for host in ordered}
        if self.hosts is not None:
            removed = tuple(
                host_id for host_id in self._fingerprints if host_id not in fingerprints
            )
            updated = tuple(
                host for host in ordered if self._fingerprints.get(host.id) != fingerprints[host.id]
            )
            if not removed and not updated:
                return
            self._deltas.append(_Delta(self.version, removed, updated))
        self.hosts = ordered
        self._fingerprints = fingerprints
        self.version = next_version(self.version)
        self._encoded_list = None
        self._encoded_changes = {}

    def encoded_list(self) -> bytes | None:
        """The newest list, encoded as a `HostList`; None before the first."""
        if self._encoded_list is None and self.hosts is not None:
            self._encoded_list = encode(HostList(self.hosts))
        return self._encoded_list

    def encoded_changes(self, base_version: int) -> bytes | None:
        """The changes since an older version, encoded as `HostChanges`.

        None if they are unknown, or too many in comparison with the complete list.
        """
        if base_version not in self._encoded_changes:
            self._encoded_changes[base_version] = self._encode_merged(base_version)
        return self._encoded_changes[base_version]

    def _encode_merged(self, base_version: int) -> bytes | None:
        latest: dict[str, Host | None] = {}
        base_found = False
        for delta in self._deltas:
            base_found = base_found or delta.base_version == base_version
            if base_found:
                latest.update(dict.fromkeys(delta.removed))
                latest.update((host.id, host) for host in delta.updated)
        if (
            not base_found
            or self.hosts is None
            or len(latest) > MAX_CHANGED_FRACTION * len(self.hosts)
        ):
            return None
        removed = tuple(host_id for host_id, host in latest.items() if host is None)
        updated = tuple(host for host in latest.values() if host is not None)
        return encode(HostChanges(base_version, removed, updated))


def _fingerprint(host: Host) -> _Fingerprint:
    """The fields whose change makes a new version; of the warm-up time only whether any is left."""
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
