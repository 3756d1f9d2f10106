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

B2. Whatever a gateway that is cut off admits locally at its recent rate is reserved by the owner
    that decides for the others, also if that gateway was the owner itself.

  Argument. If another gateway was the owner, it has this one's usage, and reserves for it while it
  lasts; its successor reserves the part of the total usage that nobody has reported, once any
  requester has reported the total, and hands that part on to its own successor in its replies. If
  this gateway was the owner, only requesters that it replied
  to know the total. So it admits locally no more than the rate that it had itself at its last reply
  to a requester with recent usage, which sends keep-alives and thus reports that reply to the new
  owner. If there was no such reply in the last `KNOWN_FOR_S`, nobody knows of the usage, and it
  admits nothing on its account (`rate_known_to_others`).

B3. A tenant that is removed and added again is granted no more than one that stayed.

  Argument. Its owner keeps the bucket for a window, and continues it as after a change of the limit
  (B1). Afterwards nothing that it was granted before lies in the same window as the start credit of
  a new bucket. A new owner begins with the start credit, as for any tenant.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.budgets.tenant_bucket import RequesterId, RequesterUsage, TenantBucket
from roselink.budgets.usage import (
    OVERDRAFT_FRACTION,
    START_FRACTION,
    QuotaLimit,
    QuotaRule,
    RecentMaximum,
    UsageWindow,
)
from roselink.protocol.budgets import (
    QuotaReply,
    QuotaRequest,
    ReplyStatus,
    UsageSample,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from roselink.model.fleet import Member

# Fraction of the burst that leases leave in the bucket. A larger value leaves more for the other
# gateways, a smaller one saves quota requests.
LEASE_MIN_LEVEL_FRACTION = 0.5
# For how long after a reply to another requester that requester reports the usage to a new owner in
# time for its reservation (B2). It exceeds the time for which ownership lasts without confirmation,
# with the keep-alive interval.
KNOWN_FOR_S = 2.0
# Upper bound of the `retry_after_s` of a refused amount.
MAX_RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class _RemovedTenant:
    """The bucket of a tenant that the configuration no longer limits, and since when."""

    bucket: TenantBucket
    removed_at: float


class QuotaOwner:
    """Decides quota requests by the buckets of all tenants that this gateway owns."""

    def __init__(self, rule: QuotaRule, incarnation: int, name: str = "") -> None:
        """Start without tenants.

        Terms count up from `incarnation`, a random number, so that those of different owners and
        processes differ. `name` is that of this gateway.
        """
        self._rule = rule
        self._own_id: RequesterId = (name, incarnation)
        self._last_term = incarnation
        self._limits: dict[str, QuotaLimit] = {}
        self._buckets: dict[str, TenantBucket] = {}
        self._removed: dict[str, _RemovedTenant] = {}

    def configure(self, limits: Mapping[str, QuotaLimit], now: float) -> None:
        """Apply the limits of a configuration, by tenant."""
        self._limits = dict(limits)
        self._forget_removed(now)
        for tenant in list(self._buckets):
            limit = limits.get(tenant)
            if limit is None or limit.rate_per_s <= 0:
                self._removed[tenant] = _RemovedTenant(self._buckets.pop(tenant), now)
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
            self._buckets[tenant] = self._bucket_of_new_term(tenant, self._limits[tenant], now)
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
        self._removed.clear()

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
        self._note_known_rate(bucket, requester_id, requester, now)
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
            recent_usage=usage + bucket.inherited_usage(now),
        )

    def rate_known_to_others(self, tenant: str, now: float) -> float:
        """This gateway's usage per second that a new owner would learn of from others (B2)."""
        bucket = self._buckets.get(tenant)
        if bucket is None or now - bucket.own_rate_known_at > KNOWN_FOR_S:
            return 0.0
        return bucket.own_rate_per_s

    def _note_known_rate(
        self, bucket: TenantBucket, replied_to: RequesterId, requester: RequesterUsage, now: float
    ) -> None:
        """Note what a reply tells another requester of this gateway's own usage (B2)."""
        if replied_to == self._own_id or requester.rate_per_s <= 0:
            return
        own = bucket.requesters.get(self._own_id)
        bucket.own_rate_per_s = 0.0 if own is None else own.rate_per_s
        bucket.own_rate_known_at = now

    def _forget_removed(self, now: float) -> None:
        """Forget tenants that were removed longer ago than a window."""
        for tenant, removed in list(self._removed.items()):
            if now - removed.removed_at >= self._rule.window_s:
                del self._removed[tenant]

    def _bucket_of_new_term(self, tenant: str, limit: QuotaLimit, now: float) -> TenantBucket:
        """The bucket of a newly owned tenant; that of a tenant that returns is continued (B3)."""
        self._forget_removed(now)
        removed = self._removed.pop(tenant, None)
        if removed is None:
            return self._new_bucket(limit, now)
        removed.bucket.change_limit(limit, now)
        return removed.bucket

    def _new_bucket(self, limit: QuotaLimit, now: float) -> TenantBucket:
        self._last_term += 1
        return TenantBucket(
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
        bucket: TenantBucket,
        requester_id: RequesterId,
        report: tuple[UsageSample, ...] | None,
        now: float,
    ) -> RequesterUsage:
        """Return a requester's usage, replaced by its report if there is one."""
        if report is not None:
            usage = self._window_from_report(report, now)
            if requester_id not in bucket.requesters:
                bucket.reported_usage += usage.total(now)
            bucket.requesters[requester_id] = RequesterUsage(usage, now)
        return bucket.requesters[requester_id]

    def _window_from_report(self, report: tuple[UsageSample, ...], now: float) -> UsageWindow:
        usage = UsageWindow(self._rule.window_s)
        for sample in report:
            usage.add(now - sample.age_ms / 1000, sample.amount)
        return usage

    def _admit_amounts(
        self,
        bucket: TenantBucket,
        requester: RequesterUsage,
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
        self, bucket: TenantBucket, requester: RequesterUsage, wanted: float, now: float
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

    def _expire_and_sum_usage(self, bucket: TenantBucket, now: float) -> float:
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
