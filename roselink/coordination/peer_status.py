"""What plans of views are made from: the status of each known machine, and the policy.

No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.protocol.chain import Voter


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The status of one core machine at the time of a plan.

    Attributes:
        voter: its identity.
        session: identifies its process.
        epoch: the epoch of the newest view that it knows.
        state_epoch: the epoch of the state on its disk.
        participating: whether it participates in the chain of `epoch`.
        disk_ok: whether its disk completes saves in time.
        leaving: whether its process is about to end.
        live: whether it and the planner receive each other's heartbeats.
        stable: whether it has been live and eligible for long enough to join.
        since_heartbeat_s: the time since its last heartbeat; 0 while a live machine reports it
            as reachable.
        reachable: the addresses from which it reports that it receives heartbeats.
        broken_links: the addresses from which it has received no heartbeats for so long that the
            link counts as broken; other links that are not reachable are in doubt.
        silent_s: the time since its last heartbeat to the planner.
    """

    voter: Voter
    session: int
    epoch: int
    state_epoch: int
    participating: bool
    disk_ok: bool
    leaving: bool
    live: bool
    stable: bool
    since_heartbeat_s: float
    reachable: frozenset[str]
    broken_links: frozenset[str] = frozenset()
    silent_s: float = 0.0

    @property
    def eligible(self) -> bool:
        """Whether it can be in a chain."""
        return self.live and self.disk_ok and not self.leaving


@dataclass(frozen=True, slots=True)
class ViewPolicy:
    """The parameters of plans.

    Attributes:
        tolerated: how many machines may be lost at once.
        absence_timeout_s: a voter without a heartbeat for this time is replaced by a joiner, or
            removed while more than `2 * tolerated + 1` voters remain, so that a majority needs
            fewer live voters. It may join again like any other machine.
    """

    tolerated: int
    absence_timeout_s: float = 0.45
