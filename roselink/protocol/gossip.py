"""Records between gateways that shuffle their partial views of the fleet (peer sampling).

The exchange is the enhanced shuffling of CYCLON (Voulgaris, Gavidia and van Steen: "CYCLON:
Inexpensive Membership Management for Unstructured P2P Overlays", 2005): entries carry an age, and
each side sends a random subset of its view.
"""

from __future__ import annotations

from dataclasses import dataclass

from roselink.model.fleet import Member, VersionVector
from roselink.protocol.records import record


@record(128)
@dataclass(frozen=True, slots=True)
class ViewEntry:
    """A gateway in a partial view; `age` is the number of exchanges since it sent this entry."""

    member: Member
    age: int


@record(129)
@dataclass(frozen=True, slots=True)
class GossipDigest:
    """The versions in use at the sender, and the core's peer addresses ("ip:port").

    The addresses are those of a confirmed pull `age_ms` milliseconds ago.
    """

    vector: VersionVector
    cores: tuple[str, ...]
    age_ms: int


@record(130)
@dataclass(frozen=True, slots=True)
class ShuffleRequest:
    """A subset of the sender's view, including the sender.

    The `ShuffleReply` never has more entries.
    """

    entries: tuple[ViewEntry, ...]
    digest: GossipDigest


@record(131)
@dataclass(frozen=True, slots=True)
class ShuffleReply:
    """A subset of the receiver's view."""

    entries: tuple[ViewEntry, ...]
    digest: GossipDigest
