"""The requester's side of quotas: batches requests to the owner and bounds how long they wait.

One quota request for each tenant is in flight; amounts that arrive meanwhile are sent with the next
one. A gateway with recent usage sends at least a keep-alive every `KEEP_ALIVE_INTERVAL_S`, by which
the owner knows that it is reachable. While the owner is unreachable, requests are decided locally
(`local_admission`).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from roselink.budgets.deadline_index import NEVER, DeadlineIndex
from roselink.budgets.local_admission import LocalAdmission
from roselink.budgets.quota_client_state import InFlightRequest, PendingAmount, TenantState
from roselink.budgets.retry_budget import RefreshRoster
from roselink.budgets.usage import (
    LOCAL_FRACTION,
    MIN_LOCAL_FRACTION,
    QuotaLimit,
    QuotaRule,
    UsageWindow,
)
from roselink.protocol.budgets import BucketLevel, QuotaReply, QuotaRequest, ReplyStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from roselink.budgets.ownership import OwnershipView

KEY_PREFIX = "quota/"
# Time-out of a quota request. A larger value delays local decisions when the owner is unreachable;
# a smaller one decides locally when the owner is only slow.
REQUEST_TIMEOUT_S = 0.15
# Shortest time-out, for amounts that already waited for a quota request that failed.
MIN_REQUEST_TIMEOUT_S = 0.03
# A request that has waited for this time is decided locally.
MAX_WAIT_S = 0.2
# A failure within this time counts as a broken connection: the request is resent once, immediately.
CONNECTION_FAILURE_S = 0.05
# Delay of the next request after a reply without a decision, while the rosters differ.
RETRY_INTERVAL_S = 0.03
# Interval of requests to an owner that doesn't reply.
PROBE_INTERVAL_S = 0.1
# Interval of keep-alives. Above tenant_bucket.UNREACHABLE_AFTER_S the owner would reserve for
# reachable gateways; a smaller value sends more requests.
KEEP_ALIVE_INTERVAL_S = 0.4
# How long leased tokens may be used. A larger value saves requests and withholds the unused tokens
# from the other gateways for longer.
LEASE_DURATION_S = 0.3
# A lease covers the usage of this time at the recent rate; less than a typical request's amount is
# not requested. A larger value saves requests and withholds more from the other gateways.
LEASE_AHEAD_S = 0.25
# The `retry_after_s` of a request that is refused locally.
LOCAL_RETRY_AFTER_S = 0.3
# Newest amount's weight in the moving average: larger adapts faster, smaller smooths more.
TYPICAL_AMOUNT_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class SendQuotaRequest:
    """Effect: send a request to the owner; `QuotaClient.handle_reply` takes the outcome."""

    call: int
    address: str
    request: QuotaRequest
    timeout_s: float


@dataclass(frozen=True, slots=True)
class QuotaDecided:
    """Effect: the decision on one request, and after how long a refused one may be sent again."""

    number: int
    allowed: bool
    retry_after_s: float


Effect = SendQuotaRequest | QuotaDecided | RefreshRoster


class QuotaClient:
    """Decides the requests of all tenants at one gateway, by the owners or locally."""

    def __init__(
        self,
        ownership: OwnershipView,
        rule: QuotaRule,
        rate_known_to_others: Callable[[str, float], float],
    ) -> None:
        """Start without tenants.

        Args:
            ownership: who owns which tenant.
            rule: the rule of all quotas.
            rate_known_to_others: the usage per second at this gateway, of a tenant that it owns
                itself, that other gateways know at this time (`QuotaOwner`).
        """
        self._rate_known_to_others = rate_known_to_others
        self.draining = False
        self._ownership = ownership
        self._rule = rule
        self._tenants: dict[str, TenantState] = {}
        self._deadlines = DeadlineIndex()
        self._calls: dict[int, str] = {}
        self._last_call = 0

    def configure(self, limits: Mapping[str, QuotaLimit]) -> list[Effect]:
        """Apply the limits of a configuration; tenants without a limit are always admitted."""
        effects: list[Effect] = []
        for name in list(self._tenants):
            limit = limits.get(name)
            if limit is not None and limit.rate_per_s > 0:
                self._tenants[name].limit = limit
                continue
            effects += self._remove(name)
        for name, limit in limits.items():
            if limit.rate_per_s > 0 and name not in self._tenants:
                window_s = self._rule.window_s
                self._tenants[name] = TenantState(
                    limit, UsageWindow(window_s), LocalAdmission(window_s)
                )
        return effects

    def _remove(self, tenant: str) -> list[Effect]:
        """Remove a tenant and admit its pending requests."""
        removed = self._tenants.pop(tenant)
        self._deadlines.set(tenant, NEVER)
        sent = removed.in_flight.amounts if removed.in_flight is not None else []
        return [_admitted(entry.number) for entry in [*sent, *removed.pending]]

    def admit(self, number: int, tenant: str, amount: float, now: float) -> list[Effect]:
        """Decide a request; `QuotaDecided` is returned once, by this call or by a later one.

        The caller's unique `number` identifies the request, which uses `amount` of the tenant's
        quota; `now` is in seconds.
        """
        state = self._tenants.get(tenant)
        if state is None:
            return [_admitted(number)]
        effects = self._admit(number, tenant, state, amount, now)
        self._update_deadline(tenant, state, now)
        return effects

    def _admit(
        self, number: int, tenant: str, state: TenantState, amount: float, now: float
    ) -> list[Effect]:
        if state.typical_amount:
            state.typical_amount += TYPICAL_AMOUNT_WEIGHT * (amount - state.typical_amount)
        else:
            state.typical_amount += amount
        _expire_lease(state, now)
        if not state.pending and state.lease >= amount > 0:
            state.lease -= amount
            state.usage.add(now, amount)
            return [_admitted(number)]
        entry = PendingAmount(number, amount, now + MAX_WAIT_S)
        if state.local.active:
            return [self._decide_locally(state, entry, now), *self._send_if_due(tenant, state, now)]
        state.pending.append(entry)
        return self._send_if_due(tenant, state, now)

    def refund(self, tenant: str, amount: float, now: float) -> None:
        """Refund the amount of an admitted request that has not run and will not run."""
        state = self._tenants.get(tenant)
        if state is not None:
            state.usage.add(now, -amount)
            state.returned += amount
            self._update_deadline(tenant, state, now)

    def handle_reply(self, call: int, reply: QuotaReply | None, now: float) -> list[Effect]:
        """Process the outcome of a quota request: the owner's reply, or None if there was none."""
        tenant = self._calls.pop(call, "")
        state = self._tenants.get(tenant)
        if state is None or state.in_flight is None or state.in_flight.call != call:
            return []
        effects = self._handle_reply(tenant, state, state.in_flight, reply, now)
        self._update_deadline(tenant, state, now)
        return effects

    def _handle_reply(
        self,
        tenant: str,
        state: TenantState,
        completed: InFlightRequest,
        reply: QuotaReply | None,
        now: float,
    ) -> list[Effect]:
        state.in_flight = None
        if reply is not None and reply.status is ReplyStatus.DECIDED:
            decided = _apply_decisions(state, completed, reply, now)
            return decided + self._send_if_due(tenant, state, now)
        state.pending.extendleft(reversed(completed.amounts))
        effects: list[Effect] = []
        if reply is None:
            state.failures += 1
            if state.failures > 1 or now - completed.sent_at > CONNECTION_FAILURE_S:
                state.not_before = now + PROBE_INTERVAL_S
                effects = self._switch_to_local(tenant, state, now)
        elif reply.status is ReplyStatus.REPORT_WANTED and state.reported_token:
            state.reported_token = 0
        else:
            if reply.status is ReplyStatus.STALE_TOKEN:
                self._ownership.record_token(reply.fencing_token)
            state.not_before = now + RETRY_INTERVAL_S
            effects.append(RefreshRoster())
        return effects + self._send_if_due(tenant, state, now)

    def wake(self, now: float) -> list[Effect]:
        """Decide requests locally whose wait is over; send the quota requests that are due."""
        effects: list[Effect] = []
        for tenant in self._deadlines.pop_due(now):
            state = self._tenants[tenant]
            if state.pending and state.pending[0].deadline <= now:
                effects += self._switch_to_local(tenant, state, now)
            _expire_lease(state, now)
            effects += self._send_if_due(tenant, state, now)
            self._update_deadline(tenant, state, now)
        return effects

    def next_wake_at(self, now: float) -> float:
        """Return when `wake` is due, `now` or later; infinity for never."""
        return max(now, self._deadlines.earliest())

    def _update_deadline(self, tenant: str, state: TenantState, now: float) -> None:
        """Update when `wake` is due for a tenant whose state has changed; it may be too early."""
        self._deadlines.set(tenant, self._deadline(state, now))

    def _deadline(self, state: TenantState, now: float) -> float:
        deadline = state.pending[0].deadline if state.pending else NEVER
        if state.in_flight is not None:
            return deadline
        if state.pending:
            return min(deadline, state.not_before)
        next_send_at = max(state.not_before, _keep_alive_at(state))
        if not _needs_keep_alive(state, now):
            # The total may be 0 because refunds cancel usage, and change once that has expired.
            next_send_at = max(next_send_at, state.usage.oldest_expires_at())
        return min(deadline, next_send_at)

    def _send_if_due(self, tenant: str, state: TenantState, now: float) -> list[Effect]:
        """Send the next quota request if one is due and none is in flight."""
        if state.in_flight is not None or now < state.not_before:
            return []
        if not state.pending and (not _needs_keep_alive(state, now) or now < _keep_alive_at(state)):
            return []
        if self._ownership.is_superseded:
            # A refused token is not used again: pending amounts wait for the next roster.
            state.not_before = now + RETRY_INTERVAL_S
            return []
        fenced_owner = self._ownership.find(KEY_PREFIX + tenant)
        if fenced_owner is None:
            state.not_before = now + PROBE_INTERVAL_S
            return self._switch_to_local(tenant, state, now)
        amounts = list(state.pending)
        state.pending = deque()
        self._last_call += 1
        self._calls[self._last_call] = tenant
        to_self = fenced_owner.owner == self._ownership.own
        state.in_flight = InFlightRequest(
            self._last_call, now, amounts, state.admitted_locally, to_self
        )
        state.last_sent_at = now
        request = self._make_request(tenant, fenced_owner.fencing_token, state, amounts, now)
        earliest = min((entry.deadline for entry in amounts), default=float("inf"))
        timeout_s = max(MIN_REQUEST_TIMEOUT_S, min(REQUEST_TIMEOUT_S, earliest - now))
        return [SendQuotaRequest(self._last_call, fenced_owner.owner.address, request, timeout_s)]

    def _make_request(
        self,
        tenant: str,
        fencing_token: int,
        state: TenantState,
        amounts: list[PendingAmount],
        now: float,
    ) -> QuotaRequest:
        report = None
        last_level = None
        if state.reported_token != fencing_token or state.local.active:
            report = state.usage.report(now)
            if state.last_level is not None:
                level, received_at = state.last_level
                last_level = replace(level, age_ms=int((now - received_at) * 1000))
        returned = state.returned
        state.returned = 0.0
        return QuotaRequest(
            tenant,
            fencing_token,
            self._ownership.own.name,
            self._ownership.own.incarnation,
            tuple(entry.amount for entry in amounts),
            self._lease_wanted(state, now) if amounts else 0.0,
            returned,
            state.admitted_locally,
            self.draining,
            last_level,
            report,
        )

    def _lease_wanted(self, state: TenantState, now: float) -> float:
        wanted = LEASE_AHEAD_S * state.usage.total(now) / self._rule.window_s - state.lease
        return wanted if wanted >= state.typical_amount else 0.0

    def _switch_to_local(self, tenant: str, state: TenantState, now: float) -> list[Effect]:
        """Decide pending requests locally, and new ones too until an owner replies."""
        if not state.local.active:
            rate = max(0.0, state.usage.total(now)) / self._rule.window_s
            if state.owned_here:
                rate = min(rate, self._rate_known_to_others(tenant, now))
            reserved = state.reported_token != 0 and not self.draining
            state.local.begin(rate, now, reserved=reserved)
        pending = state.pending
        state.pending = deque()
        return [self._decide_locally(state, entry, now) for entry in pending]

    def _decide_locally(self, state: TenantState, entry: PendingAmount, now: float) -> QuotaDecided:
        fraction = max(
            state.usage_fraction * LOCAL_FRACTION, MIN_LOCAL_FRACTION / self._ownership.size
        )
        unreserved_limit = fraction * self._rule.allowance(state.limit)
        if not state.local.admit(entry.amount, unreserved_limit, now):
            return QuotaDecided(entry.number, allowed=False, retry_after_s=LOCAL_RETRY_AFTER_S)
        state.usage.add(now, entry.amount)
        state.admitted_locally += entry.amount
        return _admitted(entry.number)


def _admitted(number: int) -> QuotaDecided:
    return QuotaDecided(number, allowed=True, retry_after_s=0.0)


def _needs_keep_alive(state: TenantState, now: float) -> bool:
    """Whether the owner must be informed of this gateway's usage by keep-alives."""
    return bool(state.returned or state.lease or state.usage.total(now))


def _keep_alive_at(state: TenantState) -> float:
    """Return when the next keep-alive is due, or the next probe of an unreachable owner."""
    return state.last_sent_at + (PROBE_INTERVAL_S if state.local.active else KEEP_ALIVE_INTERVAL_S)


def _expire_lease(state: TenantState, now: float) -> None:
    """Return the unused rest of a lease that has expired."""
    if state.lease and now >= state.lease_expires_at:
        state.returned += state.lease
        state.lease = 0.0


def _apply_decisions(
    state: TenantState, completed: InFlightRequest, reply: QuotaReply, now: float
) -> list[Effect]:
    """Apply an owner's decisions to the tenant's state; return the effects."""
    state.local.end()
    state.failures = 0
    state.reported_token = reply.fencing_token
    state.owned_here = completed.to_self
    state.usage_fraction = reply.usage_fraction
    state.admitted_locally -= completed.reported_locally
    state.last_level = BucketLevel(reply.term, reply.level, reply.recent_usage, 0), now
    effects: list[Effect] = []
    for entry, admitted in zip(completed.amounts, reply.admitted, strict=False):
        if admitted:
            state.usage.add(now, entry.amount)
        effects.append(
            QuotaDecided(entry.number, admitted, 0.0 if admitted else reply.retry_after_s)
        )
    if reply.lease_granted > 0:
        state.lease += reply.lease_granted
        state.lease_expires_at = completed.sent_at + LEASE_DURATION_S
    return effects
