"""Replies to pulls: each part of the published state that the gateway lacks.

The replies to `PullRequest` carry the complete list of hosts; those to `DeltaPullRequest` carry
encoded changes and a compressed configuration, each encoded once for all gateways.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from roselink.controller.host_versions import HostVersions
from roselink.controller.payoffs import PayoffPool
from roselink.controller.pull_effects import SendDeltaReply, SendReply
from roselink.model.fleet import VersionVector
from roselink.protocol.pull import DeltaPullReply, PullReply

if TYPE_CHECKING:
    from roselink.controller.chain_interface import Confirmation
    from roselink.controller.gateway_roster import GatewayRoster

# zlib's fastest level; documents are so repetitive that a higher one costs time and saves little.
COMPRESSION_LEVEL = 1


class ReplyBuilder:
    """Builds replies from the hosts and payoffs of this view, the roster and a confirmed read.

    Attributes:
        hosts: the list of hosts and its versions in this view.
        payoffs: the payoffs that gateways reported in this view.
    """

    def __init__(self, roster: GatewayRoster) -> None:
        """Start without hosts; the roster is only read."""
        self.hosts = HostVersions()
        self.payoffs = PayoffPool()
        self._roster = roster
        self._compressed_sequence: int | None = None
        self._compressed_document = b""

    def view_changed(self) -> None:
        """Discard the hosts and payoffs of the former view."""
        self.hosts = HostVersions()
        self.payoffs = PayoffPool()

    def reply(
        self, now: float, current: VersionVector, confirmation: Confirmation, cores: tuple[str, ...]
    ) -> PullReply:
        """The reply to a `PullRequest` of a gateway that has the versions `current`."""
        return PullReply(
            confirmed=True,
            vector=self._version_vector(confirmation),
            configuration=_newer_document(current, confirmation),
            hosts=self.hosts.hosts if self.hosts.version > current.hosts else None,
            roster=self._roster.members if self._roster.version > current.roster else None,
            cores=cores,
            payoffs=self.payoffs.encoded(now),
        )

    def delta_reply(
        self, now: float, current: VersionVector, confirmation: Confirmation, cores: tuple[str, ...]
    ) -> DeltaPullReply:
        """The reply to a `DeltaPullRequest` of a gateway that has the versions `current`."""
        has_newer_hosts = self.hosts.version > current.hosts
        changes = self.hosts.encoded_changes(current.hosts) if has_newer_hosts else None
        return DeltaPullReply(
            confirmed=True,
            vector=self._version_vector(confirmation),
            configuration=self._newer_document_compressed(current, confirmation),
            host_list=self.hosts.encoded_list() if has_newer_hosts and changes is None else None,
            host_changes=changes,
            roster=self._roster.members if self._roster.version > current.roster else None,
            cores=cores,
            payoffs=self.payoffs.encoded(now),
        )

    def _newer_document_compressed(
        self, current: VersionVector, confirmation: Confirmation
    ) -> bytes | None:
        document = _newer_document(current, confirmation)
        if document is None:
            return None
        if self._compressed_sequence != confirmation.sequence:
            self._compressed_sequence = confirmation.sequence
            self._compressed_document = zlib.compress(document, COMPRESSION_LEVEL)
        return self._compressed_document

    def _version_vector(self, confirmation: Confirmation) -> VersionVector:
        return VersionVector(confirmation.sequence, self.hosts.version, self._roster.version)


def unconfirmed_reply(
    number: int, cores: tuple[str, ...], *, delta: bool
) -> SendReply | SendDeltaReply:
    """The reply if nothing was confirmed, after which the gateway pulls from another member."""
    if delta:
        reply = DeltaPullReply(
            confirmed=False,
            vector=VersionVector(),
            configuration=None,
            host_list=None,
            host_changes=None,
            roster=None,
            cores=cores,
        )
        return SendDeltaReply(number, reply)
    nothing = PullReply(
        confirmed=False,
        vector=VersionVector(),
        configuration=None,
        hosts=None,
        roster=None,
        cores=cores,
    )
    return SendReply(number, nothing)


def _newer_document(current: VersionVector, confirmation: Confirmation) -> bytes | None:
    return confirmation.document if confirmation.sequence != current.configuration else None
