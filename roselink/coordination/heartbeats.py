"""A member's heartbeats, and the membership snapshot that it plans views from. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.coordination.effects import Emit, Send
from roselink.coordination.peer_status import PeerStatus
from roselink.coordination.views import chain_is_complete
from roselink.protocol.chain import Heartbeat, View, Voter

if TYPE_CHECKING:
    from roselink.coordination.chain import ChainMember
    from roselink.coordination.disk_health import DiskHealth
    from roselink.coordination.peer_table import PeerTable

# Interval between two heartbeats of a member.
HEARTBEAT_INTERVAL_S = 0.1

# A heartbeat is due after this fraction of the interval, because ticks are not exactly on time.
DUE_FRACTION = 0.9

# Minimum time between a heartbeat and an early one, which is sent to a machine that does not list
# this one as reachable yet.
EARLY_HEARTBEAT_INTERVAL_S = 0.02

# A machine that sends no heartbeats gets only every n-th heartbeat of this member.
UNREACHABLE_PEER_PERIOD = 3


@dataclass(slots=True)
class HeartbeatSender:
    """Sends this member's heartbeats to the others.

    Attributes:
        voter: this member.
        session: identifies its process.
        seeds: addresses that get heartbeats in every view.
        chain: its replica.
        peers: the other machines, by their heartbeats.
        disk: its disk's health.
        emit: called with each effect.
        leaving: whether its process is about to end.
    """

    voter: Voter
    session: int
    seeds: tuple[str, ...]
    chain: ChainMember
    peers: PeerTable
    disk: DiskHealth
    emit: Emit
    leaving: bool = False
    _sent_at: float = float("-inf")
    _heartbeat_count: int = 0

    def leave(self) -> None:
        """Report in the next heartbeat, which is due at once, that this process is about to end."""
        self.leaving = True
        self._sent_at = float("-inf")

    def send_early(self, view: View | None, now: float) -> None:
        """Send heartbeats early, for a machine that doesn't list this one as reachable."""
        if now - self._sent_at >= EARLY_HEARTBEAT_INTERVAL_S:
            self._sent_at = float("-inf")
            self.send_due(view, now)

    def own_status(self, view: View | None, now: float) -> PeerStatus:
        """This member's status as the others see it."""
        return PeerStatus(
            voter=self.voter,
            session=self.session,
            epoch=view.epoch if view is not None else 0,
            state_epoch=self.chain.durable_epoch,
            participating=self.chain.participating,
            disk_ok=self.disk.healthy,
            leaving=self.leaving,
            live=True,
            stable=True,
            since_heartbeat_s=0.0,
            reachable=frozenset(self.peers.reachable(now)),
        )

    def snapshot(self, view: View | None, now: float) -> dict[str, PeerStatus]:
        """The status of every known machine, by address.

        In the first view, replicas whose processes may still be starting count as live too.
        """
        expected = view.chain if view is not None and view.epoch == 1 else ()
        return self.peers.snapshot(
            now, self.own_status(view, now), [replica.voter.address for replica in expected]
        )

    def contacts(self, view: View | None, now: float) -> list[str]:
        """The addresses that get heartbeats: seeds, voters, and senders of heartbeats."""
        voters = view.voters if view is not None else ()
        addresses = (*self.seeds, *(voter.address for voter in voters), *self.peers.contacts(now))
        return [address for address in dict.fromkeys(addresses) if address != self.voter.address]

    def send_due(self, view: View | None, now: float) -> None:
        """Send heartbeats if they are due."""
        if now - self._sent_at < HEARTBEAT_INTERVAL_S * DUE_FRACTION:
            return
        self._sent_at = now
        self._heartbeat_count += 1
        status = self.own_status(view, now)
        heartbeat = Heartbeat(
            sender=self.voter,
            session=status.session,
            epoch=status.epoch,
            state_epoch=status.state_epoch,
            sequence=self.chain.durable.sequence,
            participating=status.participating,
            disk_ok=status.disk_ok,
            leaving=status.leaving,
            chain_is_complete=self._reports_complete_chain(view, now),
            reachable=tuple(sorted(status.reachable)),
        )
        known_senders = self.peers.contacts(now)
        for address in self.contacts(view, now):
            if address in known_senders or self._heartbeat_count % UNREACHABLE_PEER_PERIOD == 1:
                self.emit(Send(address, heartbeat))

    def _reports_complete_chain(self, view: View | None, now: float) -> bool:
        """Whether this member participates in a chain that is complete and eligible."""
        if view is None or not self.chain.participating:
            return False
        snapshot = self.snapshot(view, now)
        statuses = [snapshot.get(replica.voter.address) for replica in view.chain]
        return all(peer is not None and peer.eligible for peer in statuses) and chain_is_complete(
            view, snapshot
        )
