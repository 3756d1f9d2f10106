"""The owner's side of quotas: one exact token bucket a tenant, and who used how much.

A term begins when this gateway becomes the owner of a tenant. It then knows nothing, and each asker's first
ask brings what that gateway admitted in the last window; the bucket is replayed over it. What gateways that
are gone had used stays unknown: the level at the start of a term is capped by a part of the rule's
allowance.

An asker that falls silent may be cut off and admit at its recent rate by itself (`quota_client`): the owner
holds that much back from the others meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from roselink.membership.usage import GRACE_PART, START_PART, Event, Limit, QuotaRule, Usage, replay
from roselink.membership.usage import SLOT_S as _TOLERANCE_S
from roselink.protocol.ledger import QuotaAnswer, QuotaAsk, Used, Verdict

SILENT_S = 0.8  # askers with recent use are heard about twice as often (quota_client.SIGN_OF_LIFE_S)
HELD_BACK_S = 3.0  # an asker admits by itself for no longer (quota_client.ALONE_S)
AHEAD_ABOVE = 0.5  # of the burst: tokens are lent ahead only from a bucket that is fuller
RETRY_AFTER_MOST_S = 2.0

Asker = tuple[str, int]


@dataclass(slots=True)
class _Record:
    """What the owner knows of one asker. `rate`: its use a second when it was heard last."""

    usage: Usage
    heard_at: float
    rate: float = 0.0

    def held_back(self, now: float) -> float:
        """What the asker may have admitted by itself since it fell silent."""
        silent = now - self.heard_at
        if silent <= SILENT_S or silent > self.usage.window_s:
            return 0.0
        return self.rate * min(silent - SILENT_S, HELD_BACK_S)


@dataclass(slots=True)
class _Bucket:
    """One tenant in this owner's term."""

    limit: Limit
    began_at: float
    at: float
    level: float
    askers: dict[Asker, _Record] = field(default_factory=dict)

    def refill(self, now: float) -> None:
        self.level = min(self.limit.burst, self.level + self.limit.rate_per_s * max(0.0, now - self.at))
        self.at = max(self.at, now)

    def adopt(self, limit: Limit, now: float) -> None:
        """A new limit: a higher burst is there at once, a lower one caps."""
        self.refill(now)
        self.level = min(limit.burst, self.level + max(0.0, limit.burst - self.limit.burst))
        self.limit = limit


class QuotaLedger:
    """The buckets of all tenants that this gateway owns."""

    def __init__(self, rule: QuotaRule) -> None:
        self._rule = rule
        self._limits: dict[str, Limit] = {}
        self._buckets: dict[str, _Bucket] = {}

    def configure(self, limits: Mapping[str, Limit], now: float) -> None:
        """Take over the limits of a configuration."""
        self._limits = dict(limits)
        for tenant in list(self._buckets):
            limit = limits.get(tenant)
            if limit is None or limit.rate_per_s <= 0:
                del self._buckets[tenant]
            elif limit != self._buckets[tenant].limit:
                self._buckets[tenant].adopt(limit, now)

    def own(self, tenants: Iterable[str], now: float) -> None:
        """The tenants that this gateway owns from now on: terms begin and end."""
        owned = {name for name in tenants if name in self._limits and self._limits[name].rate_per_s > 0}
        for tenant in [name for name in self._buckets if name not in owned]:
            del self._buckets[tenant]
        for tenant in owned - self._buckets.keys():
            limit = self._limits[tenant]
            self._buckets[tenant] = _Bucket(limit, now, now, self._first_level(limit))

    def ask(self, ask: QuotaAsk, now: float) -> QuotaAnswer:
        """Decide; the caller has judged the token."""
        bucket = self._buckets.get(ask.tenant)
        if bucket is None:
            return QuotaAnswer(Verdict.NOT_YET, ask.token, (), 0.0, 0.0, 0.0)
        bucket.refill(now)
        asker = (ask.asker, ask.incarnation)
        record = bucket.askers.get(asker)
        if record is None:
            if ask.report is None:
                return QuotaAnswer(Verdict.REPORT_WANTED, ask.token, (), 0.0, 0.0, 0.0)
            record = bucket.askers[asker] = _Record(Usage(self._rule.window_s), now)
        if ask.report is not None:
            self._merge(bucket, record, ask.report, now)
        if ask.returned > 0:
            bucket.level = min(bucket.limit.burst, bucket.level + ask.returned)
            record.usage.add(now, -ask.returned)
        admitted, retry_after_s = self._decide(bucket, record, ask.amounts, now)
        ahead = self._lend(bucket, record, ask.ahead, now) if all(admitted) else 0.0
        record.heard_at, record.rate = now, record.usage.total(now) / self._rule.window_s
        share = self._share(bucket, record, now)
        return QuotaAnswer(Verdict.DECIDED, ask.token, admitted, ahead, retry_after_s, share)

    def _first_level(self, limit: Limit) -> float:
        return min(limit.burst, START_PART * self._rule.allowance(limit))

    def _decide(
        self, bucket: _Bucket, record: _Record, amounts: tuple[float, ...], now: float
    ) -> tuple[tuple[bool, ...], float]:
        """Each amount that the bucket holds is admitted; one above the whole burst wants a full bucket."""
        grace = GRACE_PART * self._rule.allowance(bucket.limit)
        held_back = sum(other.held_back(now) for other in bucket.askers.values() if other is not record)
        decisions = []
        retry_after_s = 0.0
        for amount in amounts:
            missing = min(amount, bucket.limit.burst) - (bucket.level + grace - held_back)
            decisions.append(missing <= 0)
            if missing <= 0:
                bucket.level -= amount
                record.usage.add(now, amount)
            elif not retry_after_s:
                retry_after_s = min(RETRY_AFTER_MOST_S, missing / bucket.limit.rate_per_s)
        return tuple(decisions), retry_after_s

    def _lend(self, bucket: _Bucket, record: _Record, wanted: float, now: float) -> float:
        ahead = max(0.0, min(wanted, bucket.level - AHEAD_ABOVE * bucket.limit.burst))
        if ahead > 0:
            bucket.level -= ahead
            record.usage.add(now, ahead)
        return ahead

    def _share(self, bucket: _Bucket, record: _Record, now: float) -> float:
        totals = {asker: entry.usage.total(now) for asker, entry in bucket.askers.items()}
        for asker, entry in list(bucket.askers.items()):
            if entry is not record and not totals[asker] and now - entry.heard_at > self._rule.window_s:
                del bucket.askers[asker]
        whole = sum(totals.values())
        return max(0.0, min(1.0, record.usage.total(now) / whole)) if whole > 0 else 0.0

    def _merge(self, bucket: _Bucket, record: _Record, report: tuple[Used, ...], now: float) -> None:
        """Add what the asker used and this owner didn't know; the level never rises by it."""
        missing = _missing(record.usage, report, now)
        if not missing:
            return
        for at, amount in missing:
            record.usage.add(at, amount)
        events = [event for entry in bucket.askers.values() for event in entry.usage.events(now)]
        level, begin = bucket.limit.burst, now - self._rule.window_s
        if bucket.began_at > begin:
            level = replay(events, level, begin, bucket.began_at, bucket.limit)
            level, begin = min(level, self._first_level(bucket.limit)), bucket.began_at
        bucket.level = min(bucket.level, replay(events, level, begin, now, bucket.limit))


def _missing(known: Usage, report: tuple[Used, ...], now: float) -> list[Event]:
    """What a report tells beyond what is known, newest first. Known use counts a slot earlier too: the two
    sides cut their slots at different moments."""
    events = known.events(now)
    told = found = 0.0
    missing: list[Event] = []
    for used in sorted(report, key=lambda entry: entry.age_ms):
        at = now - used.age_ms / 1000
        if used.age_ms < 0 or now - at >= known.window_s:
            continue
        told += used.amount
        counted = sum(amount for when, amount in events if when > at - _TOLERANCE_S)
        if told - counted > found:
            missing.append((at, told - counted - found))
            found = told - counted
    return missing
