"""Drives `PeerSampling` over the peers' protocol, and passes on what it learns."""

from __future__ import annotations

import asyncio
import os
import random
import time
from typing import TYPE_CHECKING

from roselink.gossip.peer_sampling import (
    TIMEOUT_S,
    CoreAddressesLearned,
    Effect,
    NewerVersionLearned,
    PeerSampling,
    SendShuffleRequest,
)
from roselink.model.fleet import Member, Snapshot, VersionVector
from roselink.protocol.gossip import ShuffleReply, ShuffleRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from roselink.protocol.peer_connection import ReplySender
    from roselink.protocol.peer_pool import PeerPool

LOOK_S = 0.5  # between looks at whether an exchange is due


class PeerSamplingService:
    """One gateway's part. `add_core_hints` gets peer addresses of core members, `refresh` is called
    when something newer is known to exist.
    """

    def __init__(
        self,
        own: Member,
        pool: PeerPool,
        add_core_hints: Callable[[Iterable[str]], None],
        refresh: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._pool, self._hear_cores, self._refresh, self._clock = (
            pool,
            add_core_hints,
            refresh,
            clock,
        )
        self._machine = PeerSampling(own, random.Random(os.urandom(8)))
        self._vector = VersionVector()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to look; needs a running loop."""
        self._perform(self._machine.wake(self._clock()))
        self._timer = asyncio.get_running_loop().call_later(LOOK_S, self.start)

    def stop(self) -> None:
        """Exchange no more."""
        if self._timer is not None:
            self._timer.cancel()

    def apply(self, snapshot: Snapshot) -> None:
        """A new snapshot is in force."""
        self._vector = snapshot.vector
        self._machine.add_members(snapshot.roster)

    def confirm(self, at: float, cores: Iterable[str]) -> None:
        """A pull that was sent at `at` confirmed what is in force, and named the core's members."""
        self._machine.pull_confirmed(self._vector, tuple(cores), at)

    def handle(self, message: object, reply: ReplySender) -> bool:
        """Answer a peer's exchange; False for records of other kinds."""
        if not isinstance(message, ShuffleRequest):
            return False
        answer, effects = self._machine.request_received(message, self._clock())
        reply(answer)
        self._perform(effects)
        return True

    def _answered(self, answer: object) -> None:
        known = answer if isinstance(answer, ShuffleReply) else None
        self._perform(self._machine.reply_received(known, self._clock()))

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendShuffleRequest(address, shuffle):
                    host, _, port = address.rpartition(":")
                    self._pool.call((host, int(port)), shuffle, TIMEOUT_S, self._answered)
                case CoreAddressesLearned(cores):
                    self._hear_cores(cores)
                case NewerVersionLearned():
                    self._refresh()
