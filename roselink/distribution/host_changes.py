"""A gateway's configuration and list of hosts out of what a `ChangesReply` brings."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from roselink.protocol.pull import ChangesReply, HostChanges, HostList, PullReply
from roselink.protocol.records import RecordError, decode, number_of

if TYPE_CHECKING:
    from roselink.model.fleet import Host

_LIST = number_of(HostList(()))
_CHANGES = number_of(HostChanges(0, (), ()))


def completed(reply: ChangesReply, held: int, hosts: tuple[Host, ...]) -> PullReply | None:
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


def _listed(reply: ChangesReply, held: int, hosts: tuple[Host, ...]) -> tuple[Host, ...] | None:
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
    for name in changes.gone:
        by_id.pop(name, None)
    by_id.update((host.id, host) for host in changes.put)
    return tuple(sorted(by_id.values(), key=lambda host: host.id))
