"""Decodes the configuration and the host list of a `DeltaPullReply`."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from roselink.protocol.exceptions import RecordError
from roselink.protocol.pull import DeltaPullReply, HostChanges, HostList, PullReply
from roselink.protocol.records import decode_as

if TYPE_CHECKING:
    from roselink.model.fleet import Host


def expand_reply(
    reply: DeltaPullReply, hosts_version: int, hosts: tuple[Host, ...]
) -> PullReply | None:
    """Return the reply with the full document and the full host list.

    Args:
        reply: the reply of the core.
        hosts_version: the version of the gateway's host list.
        hosts: that list, to which the reply's changes are applied.

    Returns:
        None if the reply can't be decoded or its changes are based on another version.
    """
    try:
        new_hosts = _decode_hosts(reply, hosts_version, hosts)
        configuration = (
            None if reply.configuration is None else zlib.decompress(reply.configuration)
        )
    except (RecordError, zlib.error):
        return None
    if new_hosts is None and reply.host_changes is not None:
        return None
    return PullReply(
        reply.confirmed,
        reply.vector,
        configuration,
        new_hosts,
        reply.roster,
        reply.cores,
        reply.payoffs,
    )


def _decode_hosts(
    reply: DeltaPullReply, hosts_version: int, hosts: tuple[Host, ...]
) -> tuple[Host, ...] | None:
    if reply.host_list is not None:
        return decode_as(HostList, reply.host_list).hosts
    if reply.host_changes is None:
        return None
    changes = decode_as(HostChanges, reply.host_changes)
    return apply_host_changes(hosts, changes) if changes.base == hosts_version else None


def apply_host_changes(hosts: tuple[Host, ...], changes: HostChanges) -> tuple[Host, ...]:
    """Return the host list after the changes, sorted by id."""
    by_id = {host.id: host for host in hosts}
    for host_id in changes.removed:
        by_id.pop(host_id, None)
    by_id.update((host.id, host) for host in changes.updated)
    return tuple(sorted(by_id.values(), key=lambda host: host.id))
