"""What a member tells the others by heartbeats, and the picture of the core that it plans by. No
I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.coordination.effects import Emit, Send
from roselink.coordination.views import PeerStatus, whole
from roselink.protocol.chain import Heartbeat, View, Voter

if TYPE_CHECKING:
    from roselink.coordination.chain import ChainMember
    from roselink.coordination.peering import DiskHealth, PeerTable

HEARTBEAT_S = 0.1
GREETING_S = (
    0.02  # between a heartbeat and one that answers a machine which has not heard this one yet
)
SILENT_BEATS = 3  # a machine that says nothing gets one heartbeat in so many


@dataclass(slots=True)
class HeartbeatSender:
    """This member among the others. `seeds`: addresses to speak to whatever the view says."""

    voter: Voter
    session: int
    seeds: tuple[str, ...]
    chain: ChainMember
    peers: PeerTable
    disk: DiskHealth
    emit: Emit
    leaving: bool = False
    _beat_at: float = float("-inf")
    _beats: int = 0

    def leave(self) -> None:
        """Have the next heartbeat say, at once, that this member ends."""
        self.leaving = True
        self._beat_at = float("-inf")

    def greet(self, view: View | None, now: float) -> None:
        """A machine speaks that has not heard this one: tell it at once, and not with the next
        heartbeat.
        """
        if now - self._beat_at >= GREETING_S:
            self._beat_at = float("-inf")
            self.beat(view, now)

    def own(self, view: View | None, now: float) -> PeerStatus:
        """This member as the others see it."""
        return PeerStatus(
            voter=self.voter,
            session=self.session,
            epoch=view.epoch if view is not None else 0,
            state_epoch=self.chain.durable_epoch,
            participating=self.chain.participating,
            disk_ok=self.disk.fit,
            leaving=self.leaving,
            live=True,
            steady=True,
            since_heartbeat_s=0.0,
            heard=frozenset(self.peers.heard(now)),
        )

    def picture(self, view: View | None, now: float) -> dict[str, PeerStatus]:
        """Every known machine. In the first view, those that may still be starting count as
        well.
        """
        expected = view.chain if view is not None and view.epoch == 1 else ()
        return self.peers.picture(
            now, self.own(view, now), [link.voter.address for link in expected]
        )

    def contacts(self, view: View | None, now: float) -> list[str]:
        """Whom to speak to: seeds, voters, and whoever speaks."""
        voters = view.voters if view is not None else ()
        known = (*self.seeds, *(voter.address for voter in voters), *self.peers.contacts(now))
        return [address for address in dict.fromkeys(known) if address != self.voter.address]

    def beat(self, view: View | None, now: float) -> None:
        """Send heartbeats if they are due."""
        if now - self._beat_at < HEARTBEAT_S * 0.9:
            return
        self._beat_at = now
        self._beats += 1
        own = self.own(view, now)
        beat = Heartbeat(
            sender=self.voter,
            session=own.session,
            epoch=own.epoch,
            state_epoch=own.state_epoch,
            sequence=self.chain.durable.sequence,
            participating=own.participating,
            disk_ok=own.disk_ok,
            leaving=own.leaving,
            settled=self._settled(view, now),
            heard=tuple(sorted(own.heard)),
        )
        speaking = self.peers.contacts(now)
        for address in self.contacts(view, now):
            if address in speaking or self._beats % SILENT_BEATS == 1:
                self.emit(Send(address, beat))

    def _settled(self, view: View | None, now: float) -> bool:
        """Whether this member takes part in a chain that is whole and well."""
        if view is None or not self.chain.participating:
            return False
        picture = self.picture(view, now)
        known = [picture.get(link.voter.address) for link in view.chain]
        return all(peer is not None and peer.fit for peer in known) and whole(view, picture)
