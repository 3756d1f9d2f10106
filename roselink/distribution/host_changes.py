"""A gateway's configuration and list of hosts out of what a `DeltaPullReply` brings."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from roselink.protocol.pull import DeltaPullReply, HostChanges, HostList, PullReply
from roselink.protocol.records import RecordError, decode, record_number_of

if TYPE_CHECKING:
    from roselink.model.fleet import Host

_LIST = record_number_of(HostList(()))
_CHANGES = record_number_of(HostChanges(0, (), ()))


def expand_reply(reply: DeltaPullReply, held: int, hosts: tuple[Host, ...]) -> PullReply | None:
    """The reply with its whole document, and its whole list from the list held under a version;
    None if it can't be read, or its changes are from another version.
    """
    try:
        listed = _listed(reply, held, hosts)
        configuration = (
            None if reply.configuration is None else zlib.decompress(reply.configuration)
        )
    except (RecordError, zlib.error):
        return None
    if listed is None and reply.host_changes is not None:
        return None
    known = configuration, listed, reply.roster, reply.cores, reply.payoffs
    return PullReply(reply.confirmed, reply.vector, *known)


def _listed(reply: DeltaPullReply, held: int, hosts: tuple[Host, ...]) -> tuple[Host, ...] | None:
    if reply.host_list is not None:
        whole: HostList = decode(_LIST, reply.host_list)
        return whole.hosts
    if reply.host_changes is None:
        return None
    changes: HostChanges = decode(_CHANGES, reply.host_changes)
    return changed(hosts, changes) if changes.base == held else None


def changed(hosts: tuple[Host, ...], changes: HostChanges) -> tuple[Host, ...]:
    """The list after the changes, by id."""
    by_id = {host.id: host for host in hosts}
    for name in changes.removed:
        by_id.pop(name, None)
    by_id.update((host.id, host) for host in changes.updated)
    return tuple(sorted(by_id.values(), key=lambda host: host.id))
