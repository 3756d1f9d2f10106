"""Runs a `PeerSampling`: calls over a `PeerPool`, a timer, and callbacks for learned facts."""

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
    from roselink.protocol.records import Record

# Interval of the checks whether an exchange is due.
CHECK_INTERVAL_S = 0.5


class PeerSamplingService:
    """Peer sampling of one gateway over the internal protocol."""

    def __init__(
        self,
        own: Member,
        pool: PeerPool,
        add_core_hints: Callable[[Iterable[str]], None],
        pull_soon: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the service; it is idle until `start`.

        Args:
            own: this gateway.
            pool: connections to peers.
            add_core_hints: called with core addresses ("ip:port") received from peers.
            pull_soon: called when a peer has a newer version in force.
            clock: returns the monotonic time in seconds.
        """
        self._pool = pool
        self._add_core_hints = add_core_hints
        self._pull_soon = pull_soon
        self._clock = clock
        self._machine = PeerSampling(own, random.Random(os.urandom(8)))
        self._vector = VersionVector()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check for a due exchange now and at each interval; needs a running event loop."""
        self._perform(self._machine.wake(self._clock()))
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Start no more exchanges."""
        if self._timer is not None:
            self._timer.cancel()

    def apply(self, snapshot: Snapshot) -> None:
        """Apply the versions and the roster of a new snapshot."""
        self._vector = snapshot.vector
        self._machine.add_members(snapshot.roster)

    def confirm(self, at: float, cores: Iterable[str]) -> None:
        """Record that a pull sent at `at` confirmed the versions in force.

        `cores` are the core members ("ip:port") in its reply.
        """
        self._machine.pull_confirmed(self._vector, tuple(cores), at)

    def handle(self, message: Record, reply: ReplySender) -> bool:
        """Reply to a peer's shuffle request; return False for records of other types."""
        if not isinstance(message, ShuffleRequest):
            return False
        shuffle_reply, effects = self._machine.request_received(message, self._clock())
        reply(shuffle_reply)
        self._perform(effects)
        return True

    def _reply_received(self, message: Record | None) -> None:
        reply = message if isinstance(message, ShuffleReply) else None
        self._perform(self._machine.reply_received(reply, self._clock()))

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendShuffleRequest(address, shuffle):
                    host, _, port = address.rpartition(":")
                    self._pool.call((host, int(port)), shuffle, TIMEOUT_S, self._reply_received)
                case CoreAddressesLearned(cores):
                    self._add_core_hints(cores)
                case NewerVersionLearned():
                    self._pull_soon()
