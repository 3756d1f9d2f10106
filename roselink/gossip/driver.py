"""Drives `Sampling` over the peers' protocol, and passes on what it learns."""

from __future__ import annotations

import asyncio
import os
import random
import time
from typing import TYPE_CHECKING

from roselink.gossip.peer_sampling import (
    TIMEOUT_S,
    CoresHeard,
    Effect,
    NewerHeard,
    Sampling,
    SendShuffle,
)
from roselink.model.fleet import Member, Snapshot, VersionVector
from roselink.protocol.sampling import Shuffle, Shuffled

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from roselink.protocol.peers import PeerPool, Reply

LOOK_S = 0.5  # between looks at whether an exchange is due


class Sampler:
    """One gateway's part. `hear_cores` gets peer addresses of core members, `refresh` is called
    when something newer is known to exist.
    """

    def __init__(
        self,
        own: Member,
        pool: PeerPool,
        hear_cores: Callable[[Iterable[str]], None],
        refresh: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._pool, self._hear_cores, self._refresh, self._clock = pool, hear_cores, refresh, clock
        self._machine = Sampling(own, random.Random(os.urandom(8)))
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
        self._machine.know(snapshot.roster)

    def confirm(self, at: float, cores: Iterable[str]) -> None:
        """A pull that was sent at `at` confirmed what is in force, and named the core's members."""
        self._machine.confirmed(self._vector, tuple(cores), at)

    def handle(self, message: object, reply: Reply) -> bool:
        """Answer a peer's exchange; False for records of other kinds."""
        if not isinstance(message, Shuffle):
            return False
        answer, effects = self._machine.asked(message, self._clock())
        reply(answer)
        self._perform(effects)
        return True

    def _answered(self, answer: object) -> None:
        known = answer if isinstance(answer, Shuffled) else None
        self._perform(self._machine.answered(known, self._clock()))

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendShuffle(address, shuffle):
                    host, _, port = address.rpartition(":")
                    self._pool.call((host, int(port)), shuffle, TIMEOUT_S, self._answered)
                case CoresHeard(cores):
                    self._hear_cores(cores)
                case NewerHeard():
                    self._refresh()
