"""Simulated gateways: the real pull state machine, and the API keys that they accept."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from roselink.distribution.pull_state_machine import (
    ApplySnapshot,
    PullStateMachine,
    SendPull,
    SnapshotConfirmed,
)
from roselink.distribution.pull_state_machine import Effect as PullEffect
from roselink.model.fleet import Member, Snapshot
from roselink.protocol.pull import DeltaPullRequest
from roselink.simulation.history import Change, ConfigurationApplied, KeyUse, Observation

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.protocol.pull import DeltaPullReply, PullReply
    from roselink.simulation.cluster import Cluster

# How long a gateway may use a removed key, in seconds; a fleet's setting is `revoke_ms`.
REVOKE_S = 5.0
# The interval between two requests with the same key, in seconds.
KEY_USE_INTERVAL_S = 0.1


class Gateway:
    """One gateway without its data plane.

    Attributes:
        name: the gateway's name and address.
        process_number: counts its processes; a step scheduled by an earlier process is dropped.
        frozen_until: the virtual time until which the process is frozen, in seconds.
        in_force: the change whose configuration the process uses.
        newest_host_list: the id of the newest host list that the process has applied.
        host_list_regressions: how often it applied an older host list after a newer one.
    """

    def __init__(self, cluster: Cluster, name: str) -> None:
        """Create a gateway, and start its process."""
        self.cluster = cluster
        self.name = name
        self.process_number = 0
        self.frozen_until = 0.0
        self.in_force: Change | None = None
        self.newest_host_list = ""
        self.host_list_regressions = 0
        self.start()

    def start(self) -> None:
        """Start a process that only knows its seeds."""
        self.process_number += 1
        rng = self.cluster.random
        seeds = [_address(seed) for seed in self.cluster.seeds]
        member = Member(self.name, f"{self.name}:7500", rng.getrandbits(50))
        self.puller = PullStateMachine(member, seeds, random.Random(rng.getrandbits(50)))
        self.puller.serving = True
        self.in_force = None
        self.newest_host_list = ""
        self._wake(self.process_number)
        self._use_keys(self.process_number)

    def freeze(self, seconds: float) -> None:
        """Suspend the process for a time, in seconds."""
        self.frozen_until = self.cluster.now + seconds

    def _run(self, process_number: int, step: Callable[[], None]) -> None:
        """Run a step of the process with this number, now or when it resumes."""
        if process_number != self.process_number:
            return
        if self.cluster.now < self.frozen_until:
            self.cluster.after(
                self.frozen_until - self.cluster.now, lambda: self._run(process_number, step)
            )
            return
        step()

    def _wake(self, process_number: int) -> None:
        self._run(process_number, lambda: self._perform(self.puller.wake(self.cluster.now)))

    def _reply_received(
        self, process_number: int, call: int, reply: PullReply | DeltaPullReply | None
    ) -> None:
        self._run(
            process_number,
            lambda: self._perform(self.puller.reply_received(call, reply, self.cluster.now)),
        )

    def _perform(self, effects: list[PullEffect]) -> None:
        for effect in effects:
            match effect:
                case SendPull(call, (host, port), pull, timeout_s):
                    handle_reply = partial(self._reply_received, self.process_number, call)
                    self.cluster.network.call(
                        self.name, f"{host}:{port}", DeltaPullRequest(pull), timeout_s, handle_reply
                    )
                case ApplySnapshot(snapshot):
                    self._apply(snapshot)
                case SnapshotConfirmed(at):
                    self.cluster.history.observations.append(
                        Observation(at, self.cluster.now, self.in_force)
                    )
        if not self.puller.in_flight:
            wait_s = max(0.001, self.puller.due_at - self.cluster.now)
            self.cluster.after(wait_s, partial(self._wake, self.process_number))

    def _apply(self, snapshot: Snapshot) -> None:
        newest_route = snapshot.configuration.routes[0]
        self.in_force = self.cluster.changes[newest_route.hostname]
        self.cluster.history.applied.append(
            ConfigurationApplied(self.name, self.process_number, self.cluster.now, self.in_force)
        )
        for host in snapshot.hosts:
            self.host_list_regressions += host.id < self.newest_host_list
            self.newest_host_list = host.id

    def _use_keys(self, process_number: int) -> None:
        if process_number != self.process_number:
            return
        self.cluster.after(KEY_USE_INTERVAL_S, partial(self._use_keys, process_number))
        now = self.cluster.now
        snapshot = self.puller.snapshot
        if now < self.frozen_until or snapshot is None:
            return
        if self.puller.may_use_keys(now, REVOKE_S, strict=True):
            keys = [key for tenant in snapshot.configuration.tenants for key in tenant.api_keys]
            self.cluster.history.key_uses += [KeyUse(self.name, now, key) for key in keys]


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
