"""Applies server lists to the balancer's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.interface import ListKind, Server, ServerList, State
from roselink.balancer.server_state import ServerState

if TYPE_CHECKING:
    from roselink.balancer.kind_speeds import KindSpeeds
    from roselink.balancer.slow_start import SlowStart
    from roselink.balancer.state import BalancerState


class ServerTable:
    """Keeps the servers of `BalancerState` up to date with the server lists.

    These are all servers by id, the ready ones (`candidates`), and those of them in slow start
    (`cold`).
    """

    def __init__(self, state: BalancerState, speeds: KindSpeeds, slow_start: SlowStart) -> None:
        """Keeps the state to update, and the modules that learn of new servers and kinds."""
        self._state = state
        self._speeds = speeds
        self._slow_start = slow_start

    def update(self, event: ServerList) -> None:
        """Applies changes, or a full or cached list, which replaces all servers.

        The caller handles failed calls: a list of that kind would remove all servers.
        """
        state = self._state
        if event.kind is not ListKind.CHANGES:
            state.servers = {
                server.id: state.servers[server.id]
                for server in event.servers
                if server.id in state.servers
            }
        for server in event.servers:
            self._update_server(server)
        # Rule 3 (`decider`): from this event on, a server that is draining or gone is no candidate.
        ready = [server for server in state.servers.values() if server.spec.state is State.READY]
        state.candidates = sorted(ready, key=lambda server: server.sort_key)
        state.cold = [server for server in state.candidates if self._slow_start.is_cold(server)]

    def _update_server(self, spec: Server) -> None:
        """Applies one entry of a list.

        A server that is gone is removed; a new or restarted one gets a new `ServerState`.
        """
        servers = self._state.servers
        existing = servers.get(spec.id)
        self._speeds.add(spec.kind)
        if spec.state is State.GONE:
            servers.pop(spec.id, None)
        elif existing is None or (spec.started_us or 0) > (existing.spec.started_us or 0):
            servers[spec.id] = ServerState(spec)
            self._slow_start.start(servers[spec.id])
        else:
            existing.spec = spec
