"""The pull server's effects, and the records with which a member forwards a pull to the tail."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.protocol.pull import DeltaPullReply, PullReply, PullRequest
from roselink.protocol.records import record

if TYPE_CHECKING:
    from roselink.controller.chain_interface import Address


@record(64)
@dataclass(frozen=True, slots=True)
class ForwardedPull:
    """A pull that a member forwards to the tail, which replies to it as to any pull.

    It is never forwarded again.
    """

    pull: PullRequest


@record(65)
@dataclass(frozen=True, slots=True)
class ForwardedDeltaPull:
    """A `DeltaPullRequest` that a member forwards to the tail, like a `ForwardedPull`."""

    pull: PullRequest


@dataclass(frozen=True, slots=True)
class RequestConfirmation:
    """Start a confirmed read; `confirmation_received` gets the result with this number."""

    number: int


@dataclass(frozen=True, slots=True)
class ForwardToTail:
    """Call the tail; `forward_completed` gets the reply, or None, with this number."""

    number: int
    tail: Address
    message: ForwardedPull | ForwardedDeltaPull


@dataclass(frozen=True, slots=True)
class SendReply:
    """The reply to the pull that came with this number."""

    number: int
    reply: PullReply


@dataclass(frozen=True, slots=True)
class SendDeltaReply:
    """The reply to the `DeltaPullRequest` that came with this number."""

    number: int
    reply: DeltaPullReply


AnyReply = PullReply | DeltaPullReply
PullEffect = RequestConfirmation | ForwardToTail | SendReply | SendDeltaReply
