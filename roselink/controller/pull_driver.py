"""The driver of the pull service: receives its records and carries out the server's effects."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from roselink.controller.pull_effects import (
    AnyReply,
    ForwardedDeltaPull,
    ForwardedPull,
    ForwardToTail,
    PullEffect,
    RequestConfirmation,
    SendDeltaReply,
    SendReply,
)
from roselink.controller.pull_server import PullServer
from roselink.protocol.pull import DeltaPullReply, DeltaPullRequest, PullReply, PullRequest

if TYPE_CHECKING:
    from roselink.controller.chain_interface import Address, Confirmation, ReplicatedChain
    from roselink.controller.gateway_roster import GatewayLag, LivenessTimes
    from roselink.model.fleet import Host, VersionVector

# Time-out of a call that forwards a pull to the tail.
FORWARD_TIMEOUT_S = 0.4

PullReplySender = Callable[[AnyReply], None]


class PeerCaller(Protocol):
    """The part of `PeerPool` that the driver uses."""

    def call(
        self,
        address: Address,
        message: ForwardedPull | ForwardedDeltaPull,
        timeout_s: float,
        done: Callable[[object], None],
    ) -> None:
        """Send a call; `done` gets the reply, or None within `timeout_s`."""


class PullDriver:
    """Replies to the pulls that one member receives."""

    def __init__(
        self,
        chain: ReplicatedChain,
        pool: PeerCaller,
        times: LivenessTimes | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the driver; it follows the chain after `start`.

        Args:
            chain: the replicated chain.
            pool: the connections to the other members.
            times: bounds of the gateways' liveness.
            clock: a monotonic clock, in seconds.
        """
        self._chain = chain
        self._pool = pool
        self._clock = clock
        self._server = PullServer(times)
        self._reply_senders: dict[int, PullReplySender] = {}
        self._pull_numbers = itertools.count(1)

    def start(self) -> None:
        """Start following the chain's view."""
        self._chain.on_view_change(self.view_changed)
        self.view_changed()

    def view_changed(self) -> None:
        """Pass the chain's view to the pull server."""
        chain = self._chain
        self._apply(
            self._server.view_changed(
                self._clock(),
                chain.epoch,
                chain.tail,
                chain.core_addresses(),
                is_tail=chain.is_tail,
            )
        )

    def handle(self, peer: Address, message: object, reply: PullReplySender) -> bool:
        """Handle a record of the pull service; False for any other."""
        if isinstance(message, PullRequest):
            self._receive(message, reply, forwarded=False)
        elif isinstance(message, ForwardedPull):
            self._receive(message.pull, reply, forwarded=True)
        elif isinstance(message, DeltaPullRequest):
            self._receive(message.pull, reply, forwarded=False, delta=True)
        elif isinstance(message, ForwardedDeltaPull):
            self._receive(message.pull, reply, forwarded=True, delta=True)
        else:
            return False
        return True

    def hosts_listed(self, epoch: int, hosts: tuple[Host, ...]) -> None:
        """Publish a complete list of hosts that was read in view `epoch`."""
        self._apply(self._server.hosts_listed(self._clock(), epoch, hosts))

    @property
    def versions(self) -> VersionVector:
        """The versions that this member has published."""
        return self._server.versions

    def lags(self) -> tuple[GatewayLag, ...]:
        """The gateways that pull from the tail, for the status page."""
        return self._server.lags(self._clock())

    def _receive(
        self, pull: PullRequest, reply: PullReplySender, *, forwarded: bool, delta: bool = False
    ) -> None:
        number = next(self._pull_numbers)
        self._reply_senders[number] = reply
        self._server.cores_changed(self._chain.core_addresses())
        self._apply(
            self._server.pull_received(
                self._clock(), number, pull, forwarded=forwarded, delta=delta
            )
        )

    def _apply(self, effects: list[PullEffect]) -> None:
        for effect in effects:
            match effect:
                case RequestConfirmation(number):
                    self._chain.confirm(self._confirmation_callback(number))
                case ForwardToTail(number, tail, message):
                    self._pool.call(
                        tail, message, FORWARD_TIMEOUT_S, self._forward_reply_callback(number)
                    )
                case SendReply(number, reply):
                    self._reply_senders.pop(number)(reply)
                case SendDeltaReply(number, delta_reply):
                    self._reply_senders.pop(number)(delta_reply)

    def _confirmation_callback(self, number: int) -> Callable[[Confirmation | None], None]:
        def done(confirmation: Confirmation | None) -> None:
            self._apply(self._server.confirmation_received(self._clock(), number, confirmation))

        return done

    def _forward_reply_callback(self, number: int) -> Callable[[object], None]:
        def done(received: object) -> None:
            reply = received if isinstance(received, PullReply | DeltaPullReply) else None
            self._apply(self._server.forward_completed(self._clock(), number, reply))

        return done
