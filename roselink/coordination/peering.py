"""What a member knows of the other core machines from their heartbeats, and its own disk's health.
No I/O.

Times are seconds of the member's own clock. A machine is live while its heartbeats come and say
that it hears this one: a link that carries one way only counts as broken on both ends.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.coordination.views import PeerStatus
from roselink.protocol.chain import Heartbeat, Voter

if TYPE_CHECKING:
    from collections.abc import Iterable

SILENT_S = 0.45  # a machine that said nothing for so long is suspected
STEADY_S = 0.3  # a machine that has been live and well for so long may join a chain
FORGET_S = 10.0  # a machine that said nothing for so long is not known any more
START_GRACE_S = 1.5  # after the start of a whole new system, machines may be slow to come up
DISK_STUCK_S = 0.3  # a save that takes longer makes the disk unfit; and the time for its bytes
DISK_WELL_S = 0.2  # a save that takes no longer makes it fit again; the same
DISK_BYTES_S = 20e6  # the least that a healthy disk writes in a second


@dataclass(slots=True)
class _Known:
    heartbeat: Heartbeat
    heard_at: float
    well_since: float | None = None


@dataclass(slots=True)
class PeerTable:
    """The other machines by address."""

    own: Voter
    _known: dict[str, _Known] = field(default_factory=dict)
    _grace_until: float = 0.0

    def grace(self, now: float) -> None:
        """Count no machine as silent for a while: none may be up yet."""
        self._grace_until = now + START_GRACE_S

    def skip(self, seconds: float, now: float) -> None:
        """This process did not run for so long: silence in that time says nothing about others."""
        for known in self._known.values():
            known.heard_at = min(now, known.heard_at + seconds)

    def hear(self, heartbeat: Heartbeat, now: float) -> None:
        """Take a heartbeat."""
        address = heartbeat.sender.address
        known = self._known.get(address)
        if known is None or known.heartbeat.session != heartbeat.session:
            known = self._known[address] = _Known(heartbeat, now)
        if now - known.heard_at >= SILENT_S:
            known.well_since = None
        known.heartbeat, known.heard_at = heartbeat, now
        well = self._live(known, now) and heartbeat.disk_ok and not heartbeat.leaving
        if not well:
            known.well_since = None
        elif known.well_since is None:
            known.well_since = now

    def heard(self, now: float) -> tuple[str, ...]:
        """The addresses from which something came of late."""
        return tuple(
            sorted(a for a, known in self._known.items() if now - known.heard_at < SILENT_S)
        )

    def contacts(self, now: float) -> tuple[str, ...]:
        """The addresses of machines that spoke in the last seconds."""
        return tuple(a for a, known in self._known.items() if now - known.heard_at < FORGET_S)

    def settled(self, now: float, epoch: int) -> bool:
        """Whether a live member of the epoch's chain finds that chain whole."""
        return any(
            known.heartbeat.settled and known.heartbeat.epoch == epoch and self._live(known, now)
            for known in self._known.values()
        )

    def picture(
        self, now: float, own: PeerStatus, expected: Iterable[str]
    ) -> dict[str, PeerStatus]:
        """Every known machine as a plan needs it. `expected`: those that get the grace of a new
        system.
        """
        for address in [a for a, known in self._known.items() if now - known.heard_at >= FORGET_S]:
            del self._known[address]
        live = [known for known in self._known.values() if self._live(known, now)]
        elsewhere = {address for known in live for address in known.heartbeat.heard}
        pictured = {own.voter.address: own}
        for address, known in self._known.items():
            since_heartbeat_s = 0.0 if address in elsewhere else now - known.heard_at
            pictured[address] = self._picture(known, now, since_heartbeat_s)
        if now < self._grace_until:
            for address in expected:
                if address not in pictured:
                    pictured[address] = _awaited(address, own)
        return pictured

    def _picture(self, known: _Known, now: float, since_heartbeat_s: float) -> PeerStatus:
        said = known.heartbeat
        return PeerStatus(
            voter=said.sender,
            session=said.session,
            epoch=said.epoch,
            state_epoch=said.state_epoch,
            participating=said.participating,
            disk_ok=said.disk_ok,
            leaving=said.leaving,
            live=self._live(known, now),
            steady=known.well_since is not None and now - known.well_since >= STEADY_S,
            since_heartbeat_s=since_heartbeat_s,
            heard=frozenset(said.heard),
        )

    def _live(self, known: _Known, now: float) -> bool:
        return now - known.heard_at < SILENT_S and self.own.address in known.heartbeat.heard


def _awaited(address: str, own: PeerStatus) -> PeerStatus:
    """A machine that may be starting: taken as well, and as hearing everybody."""
    return PeerStatus(
        Voter(address, 0),
        0,
        0,
        1,
        False,
        True,
        False,
        True,
        True,
        0.0,
        own.heard | {own.voter.address},
    )


@dataclass(slots=True)
class _Save:
    """A save that was asked for. `began_at`: when it was the disk's turn to take it; `size` in
    bytes.
    """

    began_at: float
    size: int

    def within(self, limit_s: float, now: float) -> bool:
        """Whether it has taken no longer than the limit and the time for its bytes."""
        return now - self.began_at <= limit_s + self.size / DISK_BYTES_S


@dataclass(slots=True)
class DiskHealth:
    """Whether this machine's disk takes saves, judged by those that were asked of it."""

    fit: bool = True
    refusing: bool = False
    _saves: list[_Save] = field(default_factory=list)

    def began(self, now: float, size: int) -> None:
        """A save of so many bytes was asked for."""
        self._saves.append(_Save(now, size))

    def ended(self, now: float, well: bool) -> None:
        """The oldest save has ended."""
        save = self._saves.pop(0)
        if self._saves:
            self._saves[0].began_at = max(self._saves[0].began_at, now)
        self.refusing = not well
        if not well or not save.within(DISK_STUCK_S, now):
            self.fit = False
        elif save.within(DISK_WELL_S, now):
            self.fit = True

    def check(self, now: float) -> bool:
        """Whether the disk is fit now."""
        if self._saves and not self._saves[0].within(DISK_STUCK_S, now):
            self.fit = False
        return self.fit

    @property
    def idle(self) -> bool:
        """Whether no save is under way."""
        return not self._saves

    def skip(self, seconds: float, now: float) -> None:
        """This process did not run for so long."""
        for save in self._saves:
            save.began_at = min(now, save.began_at + seconds)
