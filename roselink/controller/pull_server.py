"""The state machine of the pull service in one core member. Sans I/O.

The tail of the active view replies; any other member forwards a pull to the tail, one hop only.
Every reply waits for a confirmation that was started after the pull arrived, so a gateway receives
all that was acknowledged before it sent the pull. Hosts, live gateways and payoffs are collected
again in every view, so a version of a newer view never has older content.

Inputs are methods with `now` in seconds of a monotonic clock; each returns its effects.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.controller.gateway_roster import GatewayLag, GatewayRoster, LivenessTimes
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
from roselink.controller.pull_replies import ReplyBuilder, unconfirmed_reply
from roselink.model.fleet import Host, VersionVector
from roselink.protocol.pull import DeltaPullReply, PullReply, PullRequest

if TYPE_CHECKING:
    from roselink.controller.chain_interface import Address, Confirmation

# A version of hosts or roster consists of the view's epoch and, in this many low bits, a counter.
EPOCH_SHIFT = 32


@dataclass(frozen=True, slots=True)
class _PendingPull:
    """A pull that awaits its reply. `delta`: it came as a `DeltaPullRequest`."""

    pull: PullRequest
    delta: bool


class PullServer:
    """The state of the pull service in one member."""

    def __init__(self, times: LivenessTimes | None = None) -> None:
        """Start without a view: every pull gets an unconfirmed reply."""
        self._epoch = 0
        self._is_tail = False
        self._tail: Address | None = None
        self._cores: tuple[str, ...] = ()
        self._pending: dict[int, _PendingPull] = {}
        self._roster = GatewayRoster(times or LivenessTimes())
        self._reply_builder = ReplyBuilder(self._roster)

    @property
    def versions(self) -> VersionVector:
        """The versions that this member has published in its view.

        The configuration's version is always 0 here; the chain has the real one.
        """
        return VersionVector(0, self._reply_builder.hosts.version, self._roster.version)

    def view_changed(
        self, now: float, epoch: int, tail: Address | None, cores: tuple[str, ...], *, is_tail: bool
    ) -> list[PullEffect]:
        """Handle a change of the active view, or of what is known of it.

        Pending pulls stay until their own read or call ends, at the latest at its time-out.

        Args:
            now: the time.
            epoch: the view's number.
            tail: the peer address of the view's tail, if one is known.
            cores: the peer addresses ("ip:port") of the core's members.
            is_tail: whether this member is the tail of the active view.
        """
        self._roster.input_received(now)
        self._tail = tail
        self._cores = cores
        if epoch == self._epoch and is_tail == self._is_tail:
            return []
        self._epoch = epoch
        self._is_tail = is_tail
        self._reply_builder.view_changed()
        self._roster.view_changed(now, is_tail=is_tail)
        return []

    def cores_changed(self, cores: tuple[str, ...]) -> None:
        """Handle a change of the core's members within a view."""
        self._cores = cores

    def pull_received(
        self,
        now: float,
        number: int,
        pull: PullRequest,
        *,
        forwarded: bool = False,
        delta: bool = False,
    ) -> list[PullEffect]:
        """Handle a pull.

        Args:
            now: the time.
            number: the driver's number for this pull.
            pull: the pull.
            forwarded: it came from another member, and must not be forwarded again.
            delta: it came as a `DeltaPullRequest`.
        """
        self._roster.input_received(now)
        if self._is_tail:
            self._roster.pull_received(now, pull)
            self._reply_builder.payoffs.add_report(now, pull.outcomes)
            self._pending[number] = _PendingPull(pull, delta)
            return [RequestConfirmation(number)]
        if forwarded or self._tail is None:
            return [unconfirmed_reply(number, self._cores, delta=delta)]
        self._pending[number] = _PendingPull(pull, delta)
        message = ForwardedDeltaPull(pull) if delta else ForwardedPull(pull)
        return [ForwardToTail(number, self._tail, message)]

    def forward_completed(
        self, now: float, number: int, reply: AnyReply | None
    ) -> list[PullEffect]:
        """Handle the tail's reply to a forwarded pull; None if there is none."""
        self._roster.input_received(now)
        pending = self._pending.pop(number, None)
        if pending is None:
            return []
        if pending.delta and isinstance(reply, DeltaPullReply):
            return [SendDeltaReply(number, reply)]
        if not pending.delta and isinstance(reply, PullReply):
            return [SendReply(number, reply)]
        return [unconfirmed_reply(number, self._cores, delta=pending.delta)]

    def confirmation_received(
        self, now: float, number: int, confirmation: Confirmation | None
    ) -> list[PullEffect]:
        """Handle the end of a confirmed read; None when nothing could be confirmed."""
        self._roster.input_received(now)
        pending = self._pending.pop(number, None)
        if pending is None:
            return []
        if confirmation is None or not self._is_tail or confirmation.epoch != self._epoch:
            return [unconfirmed_reply(number, self._cores, delta=pending.delta)]
        self._roster.publish(now, self._next_version)
        current = pending.pull.vector
        if pending.delta:
            reply = self._reply_builder.delta_reply(now, current, confirmation, self._cores)
            return [SendDeltaReply(number, reply)]
        return [
            SendReply(number, self._reply_builder.reply(now, current, confirmation, self._cores))
        ]

    def hosts_listed(self, now: float, epoch: int, hosts: tuple[Host, ...]) -> list[PullEffect]:
        """Publish a complete list of hosts, read in view `epoch` from its first page on."""
        self._roster.input_received(now)
        if not self._is_tail or epoch != self._epoch:
            return []
        self._reply_builder.hosts.publish(hosts, self._next_version)
        return []

    def lags(self, now: float) -> tuple[GatewayLag, ...]:
        """The gateways that pull from the tail, and how far behind each was at its last pull."""
        return self._roster.lags(now, self._reply_builder.hosts.version)

    def _next_version(self, version: int) -> int:
        return max(version, self._epoch << EPOCH_SHIFT) + 1
