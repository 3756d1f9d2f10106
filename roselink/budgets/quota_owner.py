"""The owner's side of quotas: one exact token bucket a tenant, and who used how much.

A term begins when this gateway becomes the owner of a tenant. Each asker tells what its last answer
said of the bucket of the owner before, and what it admitted by itself since then: the newest such
answer and all of the latter together say how the bucket stands now. Where nobody knows, the term
starts at a part of the rule's allowance, for gateways that are gone may have used any amount.

An asker that falls silent may be cut off and admit at its recent rate by itself (`alone`): the
owner holds that much back from the others meanwhile. So does a new owner, for all use that it heard
of from the owner before and not from those who used it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.budgets.usage import (
    GRACE_FRACTION,
    START_FRACTION,
    QuotaLimit,
    QuotaRule,
    UsageWindow,
)
from roselink.protocol.budgets import (
    BucketLevel,
    QuotaReply,
    QuotaRequest,
    ReplyStatus,
    UsageSample,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from roselink.model.fleet import Member

UNREACHABLE_AFTER_S = 0.65  # askers with recent use are heard about twice as often (quota_client.KEEP_ALIVE_INTERVAL_S)
MAX_RESERVE_S = 3.0  # an asker admits by itself for no longer (alone.RECENT_RATE_S)
LEVEL_TRUSTED_S = 1.0  # a level that was heard so long ago may have been taken up by others since
START_CREDIT_S = 1.0  # the bonus comes within this time
LEASE_ABOVE_FRACTION = 0.5  # of the burst: tokens are lent ahead only from a bucket that is fuller
MAX_RETRY_AFTER_S = 2.0

Requester = tuple[str, int]


@dataclass(slots=True)
class _RequesterUsage:
    """What the owner knows of one asker. `rate`: its use a second when it was heard last."""

    usage: UsageWindow
    heard_at: float
    rate: float = 0.0

    def held_back(self, now: float) -> float:
        """What the asker may have admitted by itself since it fell silent."""
        silent = now - self.heard_at
        if silent <= UNREACHABLE_AFTER_S or silent > self.usage.window_s:
            return 0.0
        return self.rate * min(silent - UNREACHABLE_AFTER_S, MAX_RESERVE_S)


@dataclass(slots=True)
class _TenantBucket:
    """One tenant in this owner's term. `assumed` is where the owner before stood at a moment, and
    this term counts from it; `told_at` is when an asker heard the newest level of that owner.
    `bonus` is what a term that starts with nothing is still to gain, and `gained` what it has.
    `used` is what all had used by then, and `heard_used` what those used that were heard in this
    term.
    """

    limit: QuotaLimit
    term: int
    at: float
    level: float
    assumed: tuple[float, float]
    bonus: float = 0.0
    gained: float = 0.0
    used: float = 0.0
    heard_used: float = 0.0
    told_at: float = float("-inf")
    askers: dict[Requester, _RequesterUsage] = field(default_factory=dict)

    def refill(self, now: float) -> None:
        gain = min(self.bonus - self.gained, self.bonus * max(0.0, now - self.at) / START_CREDIT_S)
        self.gained += gain
        self.level = self._refilled(self.level + gain, max(0.0, now - self.at))
        self.at = max(self.at, now)

    def take(self, amount: float) -> None:
        self.level = min(self.limit.burst, self.level - amount)

    def count_from(self, known: BucketLevel, now: float) -> None:
        """Count from where the owner before stood, as an asker heard it; the newest such level
        stays. What an old one seems to have gained since, others may have taken: it counts as the
        bonus at most.
        """
        at = now - known.age_ms / 1000
        if known.term == self.term or at <= self.told_at:
            return
        level = self._refilled(known.level, now - at)
        if now - at > LEVEL_TRUSTED_S:
            self.bonus = min(self.bonus, max(level, self.gained))
            level = min(level, 0.0)
        else:
            self.level -= self.gained
            self.bonus = self.gained = 0.0
        self.level += level - self._refilled(self.assumed[0], now - self.assumed[1])
        self.level = min(self.limit.burst, self.level)
        self.assumed, self.told_at, self.used = (level, now), at, known.used

    def held_back(self, asker: _RequesterUsage, now: float) -> float:
        """What may have been admitted by gateways out of reach."""
        held = sum(record.held_back(now) for record in self.askers.values() if record is not asker)
        silent = now - self.told_at
        window_s = asker.usage.window_s
        if UNREACHABLE_AFTER_S < silent < window_s:
            unheard = max(0.0, self.used - self.heard_used) / window_s
            held += unheard * min(silent - UNREACHABLE_AFTER_S, MAX_RESERVE_S)
        return held

    def _refilled(self, level: float, after_s: float) -> float:
        return min(self.limit.burst, level + self.limit.rate_per_s * after_s)

    def adopt(self, limit: QuotaLimit, now: float) -> None:
        """A new limit: a higher burst is there at once, a lower one caps."""
        self.refill(now)
        self.level = min(limit.burst, self.level + max(0.0, limit.burst - self.limit.burst))
        self.limit = limit


class QuotaOwner:
    """The buckets of all tenants that this gateway owns. `incarnation` tells its terms from
    others'.
    """

    def __init__(self, rule: QuotaRule, incarnation: int) -> None:
        self._rule = rule
        self._next_term = incarnation
        self._limits: dict[str, QuotaLimit] = {}
        self._buckets: dict[str, _TenantBucket] = {}

    def configure(self, limits: Mapping[str, QuotaLimit], now: float) -> None:
        """Take over the limits of a configuration."""
        self._limits = dict(limits)
        for tenant in list(self._buckets):
            limit = limits.get(tenant)
            if limit is None or limit.rate_per_s <= 0:
                del self._buckets[tenant]
            elif limit != self._buckets[tenant].limit:
                self._buckets[tenant].adopt(limit, now)

    def own(self, tenants: Iterable[str], roster: Iterable[Member], now: float) -> None:
        """The tenants that this gateway owns from now on: terms begin and end. Nothing is held back
        for a process that started anew.
        """
        owned = {
            name for name in tenants if name in self._limits and self._limits[name].rate_per_s > 0
        }
        for tenant in [name for name in self._buckets if name not in owned]:
            del self._buckets[tenant]
        for tenant in sorted(owned - self._buckets.keys()):
            limit = self._limits[tenant]
            self._next_term += 1
            bonus = min(limit.burst, START_FRACTION * self._rule.allowance(limit))
            self._buckets[tenant] = _TenantBucket(
                limit, self._next_term, now, 0.0, (0.0, now), bonus
            )
        incarnations = {member.name: member.incarnation for member in roster}
        for bucket in self._buckets.values():
            for (name, incarnation), record in bucket.askers.items():
                if incarnations.get(name, incarnation) != incarnation:
                    record.rate = 0.0

    def end_terms(self) -> None:
        """This gateway's view was not confirmed for so long that another may have owned its
        tenants.
        """
        self._buckets.clear()

    def ask(self, ask: QuotaRequest, now: float) -> QuotaReply:
        """Decide; the caller has judged the token."""
        bucket = self._buckets.get(ask.tenant)
        if bucket is None:
            return QuotaReply(ReplyStatus.NOT_READY, ask.token)
        asker = (ask.asker, ask.incarnation)
        if asker not in bucket.askers and ask.report is None:
            return QuotaReply(ReplyStatus.REPORT_WANTED, ask.token)
        if ask.report is not None:
            usage = self._usage(ask.report, now)
            if asker not in bucket.askers:
                bucket.heard_used += usage.total(now)
            bucket.askers[asker] = _RequesterUsage(usage, now)
        record = bucket.askers[asker]
        bucket.refill(now)
        if ask.known is not None and ask.known.age_ms < self._rule.window_s * 1000:
            bucket.count_from(ask.known, now)
        bucket.take(ask.alone - ask.returned)
        if ask.returned:
            record.usage.add(now, -ask.returned)
        admitted, retry_after_s = self._decide(bucket, record, ask.amounts, now)
        ahead = self._lend(bucket, record, ask.ahead, now) if all(admitted) else 0.0
        record.heard_at = now
        record.rate = 0.0 if ask.leaving else record.usage.total(now) / self._rule.window_s
        used = self._used(bucket, now)
        share = max(0.0, min(1.0, record.usage.total(now) / used)) if used > 0 else 0.0
        return QuotaReply(
            ReplyStatus.DECIDED,
            ask.token,
            admitted,
            ahead,
            retry_after_s,
            share,
            bucket.term,
            bucket.level,
            used,
        )

    def _usage(self, report: tuple[UsageSample, ...], now: float) -> UsageWindow:
        usage = UsageWindow(self._rule.window_s)
        for used in report:
            usage.add(now - used.age_ms / 1000, used.amount)
        return usage

    def _decide(
        self, bucket: _TenantBucket, record: _RequesterUsage, amounts: tuple[float, ...], now: float
    ) -> tuple[tuple[bool, ...], float]:
        """Each amount that the bucket holds is admitted; one above the whole burst wants a full
        bucket.
        """
        grace = GRACE_FRACTION * self._rule.allowance(bucket.limit)
        held_back = bucket.held_back(record, now)
        decisions = []
        retry_after_s = 0.0
        for amount in amounts:
            missing = min(amount, bucket.limit.burst) - (bucket.level + grace - held_back)
            decisions.append(missing <= 0)
            if missing <= 0:
                bucket.take(amount)
                record.usage.add(now, amount)
            elif not retry_after_s:
                retry_after_s = min(MAX_RETRY_AFTER_S, missing / bucket.limit.rate_per_s)
        return tuple(decisions), retry_after_s

    def _lend(
        self, bucket: _TenantBucket, record: _RequesterUsage, wanted: float, now: float
    ) -> float:
        ahead = max(0.0, min(wanted, bucket.level - LEASE_ABOVE_FRACTION * bucket.limit.burst))
        if ahead > 0:
            bucket.take(ahead)
            record.usage.add(now, ahead)
        return ahead

    def _used(self, bucket: _TenantBucket, now: float) -> float:
        """What the askers used in the last window, but for those that left; forgets who used
        nothing.
        """
        for asker, record in list(bucket.askers.items()):
            if not record.usage.total(now) and now - record.heard_at > self._rule.window_s:
                del bucket.askers[asker]
        return sum(
            max(0.0, record.usage.total(now))
            for record in bucket.askers.values()
            if record.rate > 0
        )
