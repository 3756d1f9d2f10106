"""Simulated gateways: the real pull machine over the simulated links, and the keys that they let
through.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING, Any

from roselink.distribution.pull_state_machine import (
    ApplySnapshot,
    PullStateMachine,
    SendPull,
    SnapshotConfirmed,
)
from roselink.distribution.pull_state_machine import Effect as PullEffect
from roselink.model.fleet import Member, Snapshot
from roselink.protocol.pull import DeltaPullRequest
from roselink.simulation.history import Change, InForce, KeyUse, Reading

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.simulation.world import World

REVOKE_S = 5.0
USE_EVERY_S = 0.1  # a request with each key


class Gateway:
    """One gateway without its data plane."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.life = 0
        self.frozen_until = 0.0
        self.in_force: Change | None = None
        self.newest_list = ""
        self.lists_went_back = 0
        self.start()

    def start(self) -> None:
        """Begin a process that knows nothing but its seeds."""
        self.life += 1
        draw = self.world.random
        seeds = [_address(seed) for seed in self.world.seeds]
        member = Member(self.name, f"{self.name}:7500", draw.getrandbits(50))
        self.puller = PullStateMachine(member, seeds, random.Random(draw.getrandbits(50)))
        self.puller.serving = True
        self.in_force, self.newest_list = None, ""
        self._wake(self.life)
        self._use_keys(self.life)

    def freeze(self, seconds: float) -> None:
        """Stand still for a time."""
        self.frozen_until = self.world.now + seconds

    def _run(self, life: int, step: Callable[[], None]) -> None:
        """A step of this life, now or when the process wakes."""
        if life != self.life:
            return
        if self.world.now < self.frozen_until:
            self.world.after(self.frozen_until - self.world.now, lambda: self._run(life, step))
            return
        step()

    def _wake(self, life: int) -> None:
        self._run(life, lambda: self._perform(self.puller.wake(self.world.now)))

    def _answered(self, life: int, call: int, reply: Any) -> None:
        self._run(
            life, lambda: self._perform(self.puller.reply_received(call, reply, self.world.now))
        )

    def _perform(self, effects: list[PullEffect]) -> None:
        for effect in effects:
            match effect:
                case SendPull(call, (host, port), pull, timeout_s):
                    answered = partial(self._answered, self.life, call)
                    self.world.call(
                        self.name, f"{host}:{port}", DeltaPullRequest(pull), timeout_s, answered
                    )
                case ApplySnapshot(snapshot):
                    self._apply(snapshot)
                case SnapshotConfirmed(at):
                    self.world.history.readings.append(Reading(at, self.world.now, self.in_force))
        if not self.puller.in_flight:
            wait_s = max(0.001, self.puller.due_at - self.world.now)
            self.world.after(wait_s, partial(self._wake, self.life))

    def _apply(self, snapshot: Snapshot) -> None:
        newest = snapshot.configuration.routes[0]
        self.in_force = self.world.changes[newest.hostname]
        self.world.history.in_force.append(
            InForce(self.name, self.life, self.world.now, self.in_force)
        )
        for host in snapshot.hosts:
            self.lists_went_back += host.id < self.newest_list
            self.newest_list = host.id

    def _use_keys(self, life: int) -> None:
        if life != self.life:
            return
        self.world.after(USE_EVERY_S, partial(self._use_keys, life))
        now = self.world.now
        snapshot = self.puller.snapshot
        if now < self.frozen_until or snapshot is None:
            return
        if self.puller.may_use_keys(now, REVOKE_S, strict=True):
            keys = [key for tenant in snapshot.configuration.tenants for key in tenant.api_keys]
            self.world.history.key_uses += [KeyUse(self.name, now, key) for key in keys]


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
