"""Ownership of keys, distributed over the live gateways and protected by a fencing token.

The owner of a key is the member with the highest hash of key and name: rendezvous hashing (Thaler
and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on
Networking 6(1), 1998). The fencing token is the roster's version. An owner serves only requests
under its own token, and only while its view is confirmed. If the control plane has received no pull
for longer, it may have removed this gateway, and another one may own the key.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

from roselink.protocol.budgets import ReplyStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from roselink.model.fleet import Member

# How long an owner may act after it sent its newest confirmed pull, in seconds. A larger value than
# the core's `gateway_timeout_s` permits two owners of one key at once; a smaller one makes owners
# refuse requests after fewer failed pulls.
CONFIRMATION_VALID_S = 1.0


@dataclass(frozen=True, slots=True)
class FencedOwner:
    """The owner of a key and the fencing token under which it owns it."""

    owner: Member
    fencing_token: int


def rendezvous_owner(key: str, roster: Iterable[Member]) -> Member | None:
    """Return the owner of a key by rendezvous hashing; None if the roster is empty."""
    return max(roster, key=lambda member: (_weight(key, member.name), member.name), default=None)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


class OwnershipView:
    """One gateway's view of the owners of all keys, under one roster."""

    def __init__(self, own: Member) -> None:
        """Start without a roster. `own` is this process."""
        self.own = own
        self.fencing_token = 0
        # The highest token that any gateway is known to use; that roster version is in force.
        self.newest_token = 0
        self.roster: tuple[Member, ...] = ()
        self._confirmed_at = float("-inf")
        self._owners: dict[str, Member | None] = {}

    @property
    def size(self) -> int:
        """Number of live gateways, at least 1."""
        return max(1, len(self.roster))

    def update(self, fencing_token: int, roster: tuple[Member, ...]) -> bool:
        """Adopt a roster if its token is newer; return whether it was adopted."""
        if fencing_token <= self.fencing_token:
            return False
        self.fencing_token = fencing_token
        self.record_token(fencing_token)
        self.roster = roster
        self._owners.clear()
        return True

    def record_token(self, fencing_token: int) -> None:
        """Record a token that another gateway uses; it invalidates all lower ones."""
        self.newest_token = max(self.newest_token, fencing_token)

    @property
    def is_superseded(self) -> bool:
        """Whether another gateway has used a higher token than that of the roster in force here."""
        return self.fencing_token < self.newest_token

    def confirm(self, at: float, now: float) -> float:
        """Record a confirmation that the view in force was still the newest one after `at`.

        Returns:
            For how long the view had been unconfirmed, in seconds. If `CONFIRMATION_VALID_S` or
            longer, another gateway may have owned this one's keys in that time.
        """
        unconfirmed_s = now - self._confirmed_at
        self._confirmed_at = max(self._confirmed_at, at)
        return unconfirmed_s

    def find(self, key: str) -> FencedOwner | None:
        """Return the owner of a key under the roster in force; None without a roster."""
        if key not in self._owners:
            self._owners[key] = rendezvous_owner(key, self.roster)
        owner = self._owners[key]
        return None if owner is None else FencedOwner(owner, self.fencing_token)

    def owns(self, key: str) -> bool:
        """Return whether this process owns the key under its roster, confirmed or not."""
        fenced_owner = self.find(key)
        return fenced_owner is not None and fenced_owner.owner == self.own

    def is_confirmed(self, now: float) -> bool:
        """Return whether this gateway's view was confirmed recently enough to act as owner."""
        return now - self._confirmed_at < CONFIRMATION_VALID_S

    def check_request(self, key: str, fencing_token: int, now: float) -> ReplyStatus:
        """Return `DECIDED` if this gateway may decide a request, else the reason why it may not."""
        self.record_token(fencing_token)
        if fencing_token < self.newest_token:
            return ReplyStatus.STALE_TOKEN
        if self.is_superseded or not self.is_confirmed(now):
            return ReplyStatus.NOT_READY
        return ReplyStatus.DECIDED if self.owns(key) else ReplyStatus.NOT_OWNER
