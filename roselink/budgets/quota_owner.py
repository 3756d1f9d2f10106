"""The owner's side of quotas: a token bucket per tenant, and the usage per requester.

A term begins when this gateway becomes the owner of a tenant. Each requester reports the previous
owner's bucket level, as in its last reply, and the amount that it has admitted locally since then.
The newest such level and the sum of the local admissions give the current level. Until a level is
known, the bucket starts empty and receives, besides its refill, only a start credit, a fraction of
the allowance (`QuotaRule`): gateways that have left cannot report, and may have used any amount.

B1. Whatever limits follow each other in a term, in any window the bucket gains at most the greatest
    burst in force in that window plus the refill at the limits' rates, beside its start credit.

  Proof. Let the window be (x, x + W] with changes of the limit at t1 < t2 < ... in it, and let m(t)
  be the greatest burst in force in (t - W, t]. The level at x is at most the burst in force then,
  b0. The change at ti to burst bi adds max(0, bi - m(ti)). As x >= ti - W, m(ti) is at least each
  of b0, ..., b(i-1): the additions are at most the increases of the running maximum of b0, b1,
  ..., so b0 and all additions together are at most the greatest of them. Nothing else but refill
  and start credit raises the level: what requesters return was taken before, and a level that they
  report is that of the previous owner's bucket, in place of the assumed one.

A requester that sends no quota requests may be unreachable and admit amounts locally at its recent
rate (`local_admission`): the owner reserves that amount and withholds it from the others. A new
owner does the same for usage that the previous owner counted and no requester has reported yet.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.budgets.usage import (
    OVERDRAFT_FRACTION,
    START_FRACTION,
    QuotaLimit,
    QuotaRule,
    RecentMaximum,
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
# Fraction of the burst that leases leave in the bucket. A larger value leaves more for the other
# gateways, a smaller one saves quota requests.
LEASE_MIN_LEVEL_FRACTION = 0.5
# Upper bound of the `retry_after_s` of a refused amount.
MAX_RETRY_AFTER_S = 2.0

# Name and incarnation of a gateway process.
RequesterId = tuple[str, int]


@dataclass(slots=True)
class _RequesterUsage:
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
class _TenantBucket:
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
    requesters: dict[RequesterId, _RequesterUsage] = field(default_factory=dict)

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

    def reserved_for_others(self, requester: _RequesterUsage, now: float) -> float:
        """Return the amount that other, unreachable gateways may have admitted locally.

        This includes gateways that only the previous owner knew.
        """
        reserved = sum(
            other.reserved(now) for other in self.requesters.values() if other is not requester
        )
        level_age_s = now - self.previous_level_at
        window_s = requester.usage.window_s
        if UNREACHABLE_AFTER_S < level_age_s < window_s:
            unreported_per_s = max(0.0, self.previous_usage - self.reported_usage) / window_s
            reserved += unreported_per_s * min(level_age_s - UNREACHABLE_AFTER_S, MAX_RESERVE_S)
        return reserved

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


class QuotaOwner:
    """Decides quota requests by the buckets of all tenants that this gateway owns."""

    def __init__(self, rule: QuotaRule, incarnation: int) -> None:
        """Start without tenants.

        Terms count up from `incarnation`, a random number, so that those of different owners and
        processes differ.
        """
        self._rule = rule
        self._last_term = incarnation
        self._limits: dict[str, QuotaLimit] = {}
        self._buckets: dict[str, _TenantBucket] = {}

    def configure(self, limits: Mapping[str, QuotaLimit], now: float) -> None:
        """Apply the limits of a configuration, by tenant."""
        self._limits = dict(limits)
        for tenant in list(self._buckets):
            limit = limits.get(tenant)
            if limit is None or limit.rate_per_s <= 0:
                del self._buckets[tenant]
            elif limit != self._buckets[tenant].limit:
                self._buckets[tenant].change_limit(limit, now)

    def set_owned(self, tenants: Iterable[str], roster: Iterable[Member], now: float) -> None:
        """Begin terms of newly owned tenants and end those of tenants no longer owned.

        Ends the reservations for gateways that have restarted since these were made.
        """
        owned = {
            name for name in tenants if name in self._limits and self._limits[name].rate_per_s > 0
        }
        for tenant in [name for name in self._buckets if name not in owned]:
            del self._buckets[tenant]
        for tenant in sorted(owned - self._buckets.keys()):
            self._buckets[tenant] = self._new_bucket(self._limits[tenant], now)
        incarnations = {member.name: member.incarnation for member in roster}
        for bucket in self._buckets.values():
            for (name, incarnation), requester in bucket.requesters.items():
                if incarnations.get(name, incarnation) != incarnation:
                    requester.rate_per_s = 0.0

    def end_terms(self) -> None:
        """End all terms.

        Called when this gateway's ownership was unconfirmed for so long that others may have owned
        its tenants.
        """
        self._buckets.clear()

    def decide(self, request: QuotaRequest, now: float) -> QuotaReply:
        """Decide a quota request; the caller has checked its fencing token."""
        bucket = self._buckets.get(request.tenant)
        if bucket is None:
            return QuotaReply(ReplyStatus.NOT_READY, request.fencing_token)
        requester_id = (request.requester, request.incarnation)
        if requester_id not in bucket.requesters and request.usage_report is None:
            return QuotaReply(ReplyStatus.REPORT_WANTED, request.fencing_token)
        requester = self._update_requester(bucket, requester_id, request.usage_report, now)
        bucket.refill(now)
        if (
            request.last_level is not None
            and request.last_level.age_ms < self._rule.window_s * 1000
        ):
            bucket.adopt_level(request.last_level, now)
        bucket.take(request.admitted_locally - request.returned)
        if request.returned:
            requester.usage.add(now, -request.returned)
        admitted, retry_after_s = self._admit_amounts(bucket, requester, request.amounts, now)
        lease = (
            self._grant_lease(bucket, requester, request.lease_wanted, now)
            if all(admitted)
            else 0.0
        )
        requester.last_request_at = now
        requester.rate_per_s = (
            0.0 if request.draining else requester.usage.total(now) / self._rule.window_s
        )
        usage = self._expire_and_sum_usage(bucket, now)
        ratio = max(0.0, min(1.0, requester.usage.total(now) / usage)) if usage > 0 else 0.0
        return QuotaReply(
            ReplyStatus.DECIDED,
            request.fencing_token,
            admitted,
            lease_granted=lease,
            retry_after_s=retry_after_s,
            usage_fraction=ratio,
            term=bucket.term,
            level=bucket.level,
            recent_usage=usage,
        )

    def _new_bucket(self, limit: QuotaLimit, now: float) -> _TenantBucket:
        self._last_term += 1
        return _TenantBucket(
            limit,
            RecentMaximum(self._rule.window_s, limit.burst),
            self._last_term,
            updated_at=now,
            level=0.0,
            baseline_level=0.0,
            baseline_at=now,
            start_credit=min(limit.burst, START_FRACTION * self._rule.allowance(limit)),
        )

    def _update_requester(
        self,
        bucket: _TenantBucket,
        requester_id: RequesterId,
        report: tuple[UsageSample, ...] | None,
        now: float,
    ) -> _RequesterUsage:
        """Return a requester's usage, replaced by its report if there is one."""
        if report is not None:
            usage = self._window_from_report(report, now)
            if requester_id not in bucket.requesters:
                bucket.reported_usage += usage.total(now)
            bucket.requesters[requester_id] = _RequesterUsage(usage, now)
        return bucket.requesters[requester_id]

    def _window_from_report(self, report: tuple[UsageSample, ...], now: float) -> UsageWindow:
        usage = UsageWindow(self._rule.window_s)
        for sample in report:
            usage.add(now - sample.age_ms / 1000, sample.amount)
        return usage

    def _admit_amounts(
        self,
        bucket: _TenantBucket,
        requester: _RequesterUsage,
        amounts: tuple[float, ...],
        now: float,
    ) -> tuple[tuple[bool, ...], float]:
        """Admit each amount covered by the level plus the overdraft minus the reservation.

        Of an amount above the burst, only the burst must be covered.

        Returns:
            A decision for each amount, and the seconds after which the first refused one may be
            requested again.
        """
        overdraft = OVERDRAFT_FRACTION * self._rule.allowance(bucket.limit)
        reserved = bucket.reserved_for_others(requester, now)
        decisions = []
        retry_after_s = 0.0
        for amount in amounts:
            missing = min(amount, bucket.limit.burst) - (bucket.level + overdraft - reserved)
            decisions.append(missing <= 0)
            if missing <= 0:
                bucket.take(amount)
                requester.usage.add(now, amount)
            elif not retry_after_s:
                retry_after_s = min(MAX_RETRY_AFTER_S, missing / bucket.limit.rate_per_s)
        return tuple(decisions), retry_after_s

    def _grant_lease(
        self, bucket: _TenantBucket, requester: _RequesterUsage, wanted: float, now: float
    ) -> float:
        """Grant at most `wanted` as a lease; return the amount.

        `LEASE_MIN_LEVEL_FRACTION` of the burst stays in the bucket.
        """
        granted = max(
            0.0, min(wanted, bucket.level - LEASE_MIN_LEVEL_FRACTION * bucket.limit.burst)
        )
        if granted > 0:
            bucket.take(granted)
            requester.usage.add(now, granted)
        return granted

    def _expire_and_sum_usage(self, bucket: _TenantBucket, now: float) -> float:
        """Return the usage in the last window of requesters that may admit locally.

        These are neither draining nor restarted since their last quota request. Requesters that
        have had neither usage nor a quota request in the window are removed.
        """
        for requester_id, requester in list(bucket.requesters.items()):
            if (
                not requester.usage.total(now)
                and now - requester.last_request_at > self._rule.window_s
            ):
                del bucket.requesters[requester_id]
        return sum(
            max(0.0, requester.usage.total(now))
            for requester in bucket.requesters.values()
            if requester.rate_per_s > 0
        )
