"""Singleton roles, sharded by key over the live gateways, under a fencing token.

The owner of a key is the member with the highest hash of key and name. The token is the roster's
version. An owner serves only asks under its own token, and only while its own view was confirmed
lately: another may own the key as soon as the core has missed this gateway for longer.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

from roselink.protocol.budgets import ReplyStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from roselink.model.fleet import Member

CONFIRMATION_VALID_S = 1.0  # an owner acts for so long after its newest confirmed pull was sent


@dataclass(frozen=True, slots=True)
class FencedOwner:
    """Who owns a key, under which token."""

    owner: Member
    token: int


def rendezvous_owner(key: str, roster: Iterable[Member]) -> Member | None:
    """The owner by rendezvous hashing; None of an empty roster."""
    return max(roster, key=lambda member: (_weight(key, member.name), member.name), default=None)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


class OwnershipView:
    """One gateway's view of all roles."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.token = 0
        self.roster: tuple[Member, ...] = ()
        self._confirmed_at = float("-inf")
        self._owners: dict[str, Member | None] = {}

    @property
    def size(self) -> int:
        """How many gateways are live; 1 at least."""
        return max(1, len(self.roster))

    def update(self, token: int, roster: tuple[Member, ...]) -> bool:
        """Take over a roster; an older one changes nothing. Returns whether it is new."""
        if token <= self.token:
            return False
        self.token, self.roster = token, roster
        self._owners.clear()
        return True

    def confirm(self, at: float, now: float) -> float:
        """The view in force was the newest after `at`. Returns for how long it had not been
        confirmed, in seconds; from `CONFIRMATION_VALID_S` on another may have owned this gateway's roles
        meanwhile.
        """
        silent_s = now - self._confirmed_at
        self._confirmed_at = max(self._confirmed_at, at)
        return silent_s

    def find(self, key: str) -> FencedOwner | None:
        """The owner of a key as far as known here."""
        if key not in self._owners:
            self._owners[key] = rendezvous_owner(key, self.roster)
        owner = self._owners[key]
        return None if owner is None else FencedOwner(owner, self.token)

    def owns(self, key: str) -> bool:
        """Whether this process owns the key under its token (fresh or not)."""
        found = self.find(key)
        return found is not None and found.owner == self.own

    def fresh(self, now: float) -> bool:
        """Whether this gateway's view was confirmed lately."""
        return now - self._confirmed_at < CONFIRMATION_VALID_S

    def judge(self, key: str, token: int, now: float) -> ReplyStatus:
        """Whether this gateway may decide, as owner, what is asked under a token
        (`ReplyStatus.DECIDED`).
        """
        if token < self.token:
            return ReplyStatus.STALE_TOKEN
        if token > self.token or not self.fresh(now):
            return ReplyStatus.NOT_READY
        return ReplyStatus.DECIDED if self.owns(key) else ReplyStatus.NOT_OWNER
