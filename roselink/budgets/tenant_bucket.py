"""The token bucket of one tenant at its quota's owner, and what it reserves for others.

What holds for it, with the arguments: B1 and B2 in `quota_owner`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.budgets.usage import QuotaLimit, RecentMaximum, UsageWindow
    from roselink.protocol.budgets import BucketLevel

# A requester counts as unreachable this long after its last quota request. One with recent usage
# sends at least every quota_client.KEEP_ALIVE_INTERVAL_S; the difference tolerates a late one. A
# smaller value reserves for requesters that are only slow, a larger one reserves later.
UNREACHABLE_AFTER_S = 0.65
# A reservation grows for at most this time: the longest time for which a requester admits locally
# on account of its recent rate (local_admission.RECENT_RATE_S).
MAX_RESERVE_S = 3.0
# Up to this age, a reported level counts with the refill since then. The refill of an older one may
# have been used by other gateways.
LEVEL_VALID_S = 1.0
# A new term receives its start credit evenly over this time.
START_CREDIT_S = 1.0

# Name and incarnation of a gateway process.
RequesterId = tuple[str, int]


@dataclass(slots=True)
class RequesterUsage:
    """One requester as the owner knows it: its usage, and its rate at its last quota request."""

    usage: UsageWindow
    last_request_at: float
    rate_per_s: float = 0.0

    def reserved(self, now: float) -> float:
        """Return the amount that the requester may have admitted locally while unreachable."""
        request_age_s = now - self.last_request_at
        if request_age_s <= UNREACHABLE_AFTER_S or request_age_s > self.usage.window_s:
            return 0.0
        return self.rate_per_s * min(request_age_s - UNREACHABLE_AFTER_S, MAX_RESERVE_S)


@dataclass(slots=True)
class TenantBucket:
    """The token bucket of one tenant in this owner's term.

    `recent_burst` is the greatest burst in force in the last window. `level` assumes that the
    previous owner's bucket had `baseline_level` at `baseline_at`; a newer report corrects that
    assumption. `previous_level_at` is when a requester received that owner's newest known
    level; `previous_usage` is the usage of all gateways in the window that ended then, as that
    owner counted it, and `reported_usage` the usage that requesters have reported in this term.
    `start_credit` is the credit that the bucket receives unless a level no older than
    `LEVEL_VALID_S` is reported, and `credit_gained` the part of it received so far.
    """

    limit: QuotaLimit
    recent_burst: RecentMaximum
    term: int
    updated_at: float
    level: float
    baseline_level: float
    baseline_at: float
    start_credit: float = 0.0
    credit_gained: float = 0.0
    previous_usage: float = 0.0
    reported_usage: float = 0.0
    previous_level_at: float = float("-inf")
    # This gateway's own rate at its last reply to another requester, and the time of that reply.
    own_rate_per_s: float = 0.0
    own_rate_known_at: float = float("-inf")
    requesters: dict[RequesterId, RequesterUsage] = field(default_factory=dict)

    def refill(self, now: float) -> None:
        """Add the amount and the start credit gained since the last update."""
        elapsed_s = max(0.0, now - self.updated_at)
        gain = min(
            self.start_credit - self.credit_gained, self.start_credit * elapsed_s / START_CREDIT_S
        )
        self.credit_gained += gain
        self.level = self._refilled(self.level + gain, elapsed_s)
        self.updated_at = max(self.updated_at, now)

    def take(self, amount: float) -> None:
        """Remove an amount; a negative one is added, up to the burst."""
        self.level = min(self.limit.burst, self.level - amount)

    def adopt_level(self, previous: BucketLevel, now: float) -> None:
        """Base the level on one that a previous owner sent to a requester.

        It is ignored if a newer one is known or it is from this term. One older than
        `LEVEL_VALID_S` counts as at most 0 and only limits the start credit, since other gateways
        may have used the rest.
        """
        received_at = now - previous.age_ms / 1000
        if previous.term == self.term or received_at <= self.previous_level_at:
            return
        level = self._refilled(previous.level, now - received_at)
        if now - received_at > LEVEL_VALID_S:
            self.start_credit = min(self.start_credit, max(level, self.credit_gained))
            level = min(level, 0.0)
        else:
            self.level -= self.credit_gained
            self.start_credit = 0.0
            self.credit_gained = 0.0
        self.level += level - self._refilled(self.baseline_level, now - self.baseline_at)
        self.level = min(self.limit.burst, self.level)
        self.baseline_level = level
        self.baseline_at = now
        self.previous_level_at = received_at
        self.previous_usage = previous.recent_usage

    def reserved_for_others(self, requester: RequesterUsage, now: float) -> float:
        """Return the amount that other, unreachable gateways may have admitted locally.

        This includes gateways that only the previous owner knew.
        """
        reserved = sum(
            other.reserved(now) for other in self.requesters.values() if other is not requester
        )
        level_age_s = now - self.previous_level_at
        window_s = requester.usage.window_s
        if UNREACHABLE_AFTER_S < level_age_s < window_s:
            unreported_per_s = self._unreported_usage() / window_s
            reserved += unreported_per_s * min(level_age_s - UNREACHABLE_AFTER_S, MAX_RESERVE_S)
        return reserved

    def inherited_usage(self, now: float) -> float:
        """Return the usage for which a successor has to reserve in place of this owner (B2).

        It is that of gateways that only the previous owner knew, while they may admit locally.
        """
        is_due = now - self.previous_level_at < UNREACHABLE_AFTER_S + MAX_RESERVE_S
        return self._unreported_usage() if is_due else 0.0

    def _unreported_usage(self) -> float:
        return max(0.0, self.previous_usage - self.reported_usage)

    def change_limit(self, limit: QuotaLimit, now: float) -> None:
        """Apply a new limit: a lower burst caps the level.

        What a burst adds to the greatest one of the last window is available immediately (B1).
        """
        self.refill(now)
        added = max(0.0, limit.burst - self.recent_burst.maximum(now))
        self.recent_burst.set(limit.burst, now)
        self.level = min(limit.burst, self.level + added)
        self.limit = limit

    def _refilled(self, level: float, after_s: float) -> float:
        return min(self.limit.burst, level + self.limit.rate_per_s * after_s)
