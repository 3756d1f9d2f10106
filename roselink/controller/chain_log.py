"""The log events of one core member's chain: views, proposals, leaves, majorities, its disk."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from roselink.controller.quorum_monitor import QuorumEvent, QuorumMonitor
from roselink.controller.startup_log import log
from roselink.coordination.effects import RecordDamaged, ViewProposed

if TYPE_CHECKING:
    from roselink.coordination.member import Member
    from roselink.protocol.chain import View

# Damaged records that one process finds before it logs that the disk should be replaced.
UNTRUSTED_AFTER_DAMAGES = 2


class ChainLog:
    """Logs what happens to one member, each view and each loss of the majority once."""

    def __init__(self) -> None:
        """Start without a view."""
        self._logged_epoch = 0
        self._quorum_monitor = QuorumMonitor()

    def view_changed(self, view: View, *, is_tail: bool) -> None:
        """Log each agreed view once, and at its tail the activation of its chain."""
        if view.epoch != self._logged_epoch:
            self._logged_epoch = view.epoch
            chain = [replica.voter.address for replica in view.chain]
            log.info("view_changed", epoch=view.epoch, chain=chain, voters=len(view.voters))
        if is_tail:
            log.info("chain_activated", epoch=view.epoch)

    def note(self, effect: ViewProposed | RecordDamaged) -> None:
        """Log an effect that has no other consequence."""
        if isinstance(effect, ViewProposed):
            log.info(
                "view_proposed",
                epoch=effect.view.epoch,
                chain=[replica.voter.address for replica in effect.view.chain],
                removed=[asdict(evidence) for evidence in effect.removed],
            )
            return
        log.warning("disk_record_damaged", record=effect.store.value, times=effect.times)
        if effect.times >= UNTRUSTED_AFTER_DAMAGES:
            log.error("disk_untrusted", times=effect.times)

    def left(self, member: Member) -> None:
        """Log the view in which this process ends, and whether it is still a voter there."""
        view = member.view
        voters = () if view is None else view.voters
        log.info(
            "chain_left",
            epoch=0 if view is None else view.epoch,
            left=member.has_left,
            is_voter=member.voter in voters,
            voters=[voter.address for voter in voters],
        )

    def quorum(self, member: Member, now: float) -> None:
        """Log when too few voters of the view are reachable for a majority, and when enough are."""
        if member.view is None:
            return
        reachable = {member.voter.address, *member.peers.reachable(now)}
        event = self._quorum_monitor.update(member.view, reachable, now)
        if event is QuorumEvent.LOST:
            voters = [voter.address for voter in member.view.voters]
            missing = [address for address in voters if address not in reachable]
            log.warning(
                "majority_unreachable", epoch=member.view.epoch, voters=voters, missing=missing
            )
        elif event is QuorumEvent.REGAINED:
            log.info("majority_reachable", epoch=member.view.epoch)
