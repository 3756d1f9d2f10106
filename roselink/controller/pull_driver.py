"""The driver of the pull service: records in, confirmed reads and calls to the tail out."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from roselink.controller.pull_server import (
    Answer,
    AnswerChanges,
    Confirm,
    Forward,
    ForwardedChangesPull,
    ForwardedPull,
    GatewayLag,
    PullEffect,
    PullServer,
    PullTimes,
)
from roselink.protocol.pull import DeltaPullReply, DeltaPullRequest, PullReply, PullRequest

if TYPE_CHECKING:
    from roselink.controller.chain_interface import Address, Confirmation, ReplicatedChain
    from roselink.model.fleet import Host, VersionVector

FORWARD_TIMEOUT_S = 0.4

Reply = Callable[[Any], None]


class Caller(Protocol):
    """What the service needs of a `PeerPool`."""

    def call(
        self, address: Address, message: object, timeout_s: float, done: Callable[[Any], None]
    ) -> None:
        """Send a call; `done` gets the answer, or None."""


class PullDriver:
    """Answers the pulls that come to one member."""

    def __init__(
        self,
        node: ReplicatedChain,
        pool: Caller,
        times: PullTimes | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node, self._pool, self._clock = node, pool, clock
        self._desk = PullServer(times)
        self._replies: dict[int, Reply] = {}
        self._numbers = itertools.count(1)

    def start(self) -> None:
        """Begin to follow the node's view."""
        self._node.on_view(self.view_changed)
        self.view_changed()

    def view_changed(self) -> None:
        """Take over the node's view."""
        node = self._node
        self._apply(
            self._desk.view_changed(
                self._clock(), node.epoch, node.is_tail, node.tail, node.core_addresses()
            )
        )

    def handle(self, peer: Address, message: object, reply: Reply) -> bool:
        """Take a record of the pull service; False for any other."""
        if isinstance(message, PullRequest):
            self._take(message, reply, forwarded=False)
        elif isinstance(message, ForwardedPull):
            self._take(message.pull, reply, forwarded=True)
        elif isinstance(message, DeltaPullRequest):
            self._take(message.pull, reply, forwarded=False, changes=True)
        elif isinstance(message, ForwardedChangesPull):
            self._take(message.pull, reply, forwarded=True, changes=True)
        else:
            return False
        return True

    def hosts_listed(self, epoch: int, hosts: tuple[Host, ...]) -> None:
        """Publish a whole list of hosts that was read in view `epoch`."""
        self._apply(self._desk.hosts_listed(self._clock(), epoch, hosts))

    @property
    def versions(self) -> VersionVector:
        """The versions that this member has published."""
        return self._desk.versions

    def lags(self) -> tuple[GatewayLag, ...]:
        """The gateways heard by the tail, for people."""
        return self._desk.lags(self._clock())

    def _take(
        self, pull: PullRequest, reply: Reply, forwarded: bool, changes: bool = False
    ) -> None:
        number = next(self._numbers)
        self._replies[number] = reply
        self._desk.cores_changed(self._node.core_addresses())
        self._apply(self._desk.pull(self._clock(), number, pull, forwarded, changes))

    def _apply(self, effects: list[PullEffect]) -> None:
        for effect in effects:
            match effect:
                case Confirm(number):
                    self._node.confirm(self._when_confirmed(number))
                case Forward(number, tail, message):
                    self._pool.call(tail, message, FORWARD_TIMEOUT_S, self._when_forwarded(number))
                case Answer(number, answer):
                    self._replies.pop(number)(answer)
                case AnswerChanges(number, changes):
                    self._replies.pop(number)(changes)

    def _when_confirmed(self, number: int) -> Callable[[Confirmation | None], None]:
        def done(confirmation: Confirmation | None) -> None:
            self._apply(self._desk.confirmed(self._clock(), number, confirmation))

        return done

    def _when_forwarded(self, number: int) -> Callable[[Any], None]:
        def done(answer: Any) -> None:
            reply = answer if isinstance(answer, PullReply | DeltaPullReply) else None
            self._apply(self._desk.forwarded(self._clock(), number, reply))

        return done
