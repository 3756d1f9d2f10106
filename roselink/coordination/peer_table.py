"""The other core machines as a member knows them from their heartbeats. No I/O, no clock.

Times are seconds of the member's own clock. A machine is live while its heartbeats arrive and list
this one as reachable: a link that works in one direction only counts as broken at both ends.

L1. A plan removes no live machine from the chain because of a machine that has stopped.

  Argument. A planner removes a machine for one of two reasons: the machine is not live at the
  planner itself, or a link between it and another live machine is broken. Only the second can hit
  the wrong one of two machines. When a machine X stops, its last heartbeats to the planner P and to
  a third machine A were sent in one step. A reports the link to X as broken `SUSPECT_TIMEOUT_S`
  after it got its own, and P suspects X as long after the one that P got. Their messages differ by
  less than `LINK_TIMEOUT_S` in delay, so P suspects X before the link has been reported as broken
  for that time, and from then on X is not live, and its links don't matter. Until then P takes the
  link for intact and plans nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.coordination.peer_status import PeerStatus
from roselink.protocol.chain import Heartbeat, Voter

if TYPE_CHECKING:
    from collections.abc import Iterable

# A machine is suspected after this time without a heartbeat. A smaller value replaces a failed
# machine sooner; a larger one suspects fewer machines that are only slow.
SUSPECT_TIMEOUT_S = 0.45

# A link between two other machines counts as broken once one of them has reported so for this time.
# A smaller value replaces a machine with a broken link sooner; with a larger one messages may be
# late by more before a live machine is removed in the place of one that has stopped (L1).
LINK_TIMEOUT_S = 0.45

# A machine that has been live and eligible for this time is stable, and may join a chain. A larger
# value keeps unreliable machines out; with a smaller one a machine joins sooner.
STABLE_AFTER_S = 0.3

# A machine is removed from the table after this time without a heartbeat.
FORGET_AFTER_S = 10.0

# Time after the start of a new system in which machines that have not sent a heartbeat yet count as
# live.
START_GRACE_S = 1.5


@dataclass(slots=True)
class _KnownPeer:
    heartbeat: Heartbeat
    first_heartbeat_at: float
    last_heartbeat_at: float
    eligible_since: float | None = None
    # The machines that it listed as reachable before, with the time of the first heartbeat since
    # then that doesn't.
    lost_links: dict[str, float] = field(default_factory=dict)

    def record(self, heartbeat: Heartbeat, now: float) -> None:
        """Take over a heartbeat of the same process."""
        for address in self.heartbeat.reachable:
            if address not in heartbeat.reachable:
                self.lost_links[address] = now
        for address in heartbeat.reachable:
            self.lost_links.pop(address, None)
        self.heartbeat = heartbeat
        self.last_heartbeat_at = now

    def broken_links(self, addresses: Iterable[str], now: float) -> frozenset[str]:
        """Those of the machines that it has not reached for `LINK_TIMEOUT_S` (L1)."""
        return frozenset(
            address
            for address in addresses
            if address not in self.heartbeat.reachable
            and now - self.lost_links.get(address, self.first_heartbeat_at) >= LINK_TIMEOUT_S
        )


@dataclass(slots=True)
class PeerTable:
    """The other machines, by peer address, with the newest heartbeat of each."""

    voter: Voter
    _known: dict[str, _KnownPeer] = field(default_factory=dict)
    _grace_until: float = 0.0

    def start_grace(self, now: float) -> None:
        """Suspect no machine for `START_GRACE_S`, as the others may not be running yet."""
        self._grace_until = now + START_GRACE_S

    def discount_pause(self, pause_s: float, now: float) -> None:
        """Exclude a time during which this process didn't run from the age of heartbeats."""
        for known in self._known.values():
            known.last_heartbeat_at = min(now, known.last_heartbeat_at + pause_s)
            known.first_heartbeat_at = min(now, known.first_heartbeat_at + pause_s)
            for address, lost_at in known.lost_links.items():
                known.lost_links[address] = min(now, lost_at + pause_s)

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a received heartbeat."""
        address = heartbeat.sender.address
        known = self._known.get(address)
        if known is None or known.heartbeat.session != heartbeat.session:
            known = _KnownPeer(heartbeat, now, now)
            self._known[address] = known
        if now - known.last_heartbeat_at >= SUSPECT_TIMEOUT_S:
            known.eligible_since = None
        known.record(heartbeat, now)
        eligible = self._is_live(known, now) and heartbeat.disk_ok and not heartbeat.leaving
        if not eligible:
            known.eligible_since = None
        elif known.eligible_since is None:
            known.eligible_since = now

    def reachable(self, now: float) -> tuple[str, ...]:
        """The addresses with a heartbeat in the last `SUSPECT_TIMEOUT_S`, sorted."""
        return tuple(
            sorted(
                address
                for address, known in self._known.items()
                if now - known.last_heartbeat_at < SUSPECT_TIMEOUT_S
            )
        )

    def contacts(self, now: float) -> tuple[str, ...]:
        """The addresses with a heartbeat in the last `FORGET_AFTER_S`."""
        return tuple(
            address
            for address, known in self._known.items()
            if now - known.last_heartbeat_at < FORGET_AFTER_S
        )

    def reports_complete_chain(self, now: float, epoch: int) -> bool:
        """Whether a live member of the epoch's chain reports that chain as complete."""
        return any(
            known.heartbeat.chain_is_complete
            and known.heartbeat.epoch == epoch
            and self._is_live(known, now)
            for known in self._known.values()
        )

    def snapshot(
        self, now: float, own_status: PeerStatus, expected: Iterable[str]
    ) -> dict[str, PeerStatus]:
        """The status of every known machine by address, as input for `views.plan`.

        Args:
            now: seconds of the member's clock.
            own_status: this member's own status.
            expected: addresses that count as live during the grace time of a new system.
        """
        for address in [
            address
            for address, known in self._known.items()
            if now - known.last_heartbeat_at >= FORGET_AFTER_S
        ]:
            del self._known[address]
        live = [known for known in self._known.values() if self._is_live(known, now)]
        reachable_by_others = {address for known in live for address in known.heartbeat.reachable}
        statuses = {own_status.voter.address: own_status}
        for address, known in self._known.items():
            since_heartbeat_s = (
                0.0 if address in reachable_by_others else now - known.last_heartbeat_at
            )
            statuses[address] = self._status(known, now, since_heartbeat_s)
        if now < self._grace_until:
            for address in expected:
                if address not in statuses:
                    statuses[address] = _expected_status(address, own_status)
        return statuses

    def _addresses(self) -> Iterable[str]:
        return (self.voter.address, *self._known)

    def _status(self, known: _KnownPeer, now: float, since_heartbeat_s: float) -> PeerStatus:
        heartbeat = known.heartbeat
        return PeerStatus(
            voter=heartbeat.sender,
            session=heartbeat.session,
            epoch=heartbeat.epoch,
            state_epoch=heartbeat.state_epoch,
            participating=heartbeat.participating,
            disk_ok=heartbeat.disk_ok,
            leaving=heartbeat.leaving,
            live=self._is_live(known, now),
            stable=known.eligible_since is not None
            and now - known.eligible_since >= STABLE_AFTER_S,
            since_heartbeat_s=since_heartbeat_s,
            reachable=frozenset(heartbeat.reachable),
            broken_links=known.broken_links(self._addresses(), now),
            silent_s=now - known.last_heartbeat_at,
        )

    def _is_live(self, known: _KnownPeer, now: float) -> bool:
        return (
            now - known.last_heartbeat_at < SUSPECT_TIMEOUT_S
            and self.voter.address in known.heartbeat.reachable
        )


def _expected_status(address: str, own_status: PeerStatus) -> PeerStatus:
    """The assumed status of a machine that may be starting: eligible, stable, fully connected."""
    return PeerStatus(
        voter=Voter(address, 0),
        session=0,
        epoch=0,
        state_epoch=1,
        participating=False,
        disk_ok=True,
        leaving=False,
        live=True,
        stable=True,
        since_heartbeat_s=0.0,
        reachable=own_status.reachable | {own_status.voter.address},
    )
