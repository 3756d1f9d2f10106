"""The asker's side of quotas: requests wait for the owner's decision, together, for a bounded time.

One ask a tenant is under way; what arrives meanwhile goes with the next. A gateway that had use
lately is heard by the owner every `KEEP_ALIVE_INTERVAL_S`. Without an owner in reach requests are decided
here (`alone`).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from roselink.budgets.deadline_index import NEVER, DeadlineIndex
from roselink.budgets.local_admission import LocalAdmission
from roselink.budgets.retry_budget import RefreshRoster
from roselink.budgets.usage import (
    LOCAL_FRACTION,
    NEWCOMER_FRACTION,
    QuotaLimit,
    QuotaRule,
    UsageWindow,
)
from roselink.protocol.budgets import BucketLevel, QuotaReply, QuotaRequest, ReplyStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from roselink.budgets.ownership import OwnershipView

KEY_PREFIX = "quota/"
REQUEST_TIMEOUT_S = 0.15
MIN_REQUEST_TIMEOUT_S = 0.03  # for requests that waited behind an ask that failed
MAX_WAIT_S = 0.2  # a request waits no longer for a decision
FAST_FAILURE_S = 0.05  # a connection that broke; asked again at once, one time
RETRY_INTERVAL_S = 0.03  # after an answer that decided nothing
PROBE_INTERVAL_S = 0.1  # between asks of an owner that doesn't answer
KEEP_ALIVE_INTERVAL_S = 0.4
LEASE_DURATION_S = 0.3
LEASE_AHEAD_S = 0.25  # of recent use is asked for ahead, where that is a request's worth
LOCAL_RETRY_AFTER_S = 0.3


@dataclass(frozen=True, slots=True)
class SendQuotaRequest:
    """Effect: put the ask to the owner; `QuotaClient.answered` wants the outcome under this
    number.
    """

    call: int
    address: str
    ask: QuotaRequest
    timeout_s: float


@dataclass(frozen=True, slots=True)
class QuotaDecided:
    """Effect: the decision on one request. `retry_after_s`: when a refused one may come again."""

    number: int
    allowed: bool
    retry_after_s: float


Effect = SendQuotaRequest | QuotaDecided | RefreshRoster


@dataclass(slots=True)
class _PendingAmount:
    number: int
    amount: float
    until: float


@dataclass(slots=True)
class _InFlightRequest:
    """The ask under way."""

    call: int
    sent_at: float
    asked: list[_PendingAmount]
    unknown: float


@dataclass(slots=True)
class _TenantState:
    limit: QuotaLimit
    used: UsageWindow
    alone: LocalAdmission
    waiting: deque[_PendingAmount] = field(default_factory=deque)
    open: _InFlightRequest | None = None
    asked_at: float = float("-inf")
    not_before: float = 0.0
    failures: int = 0
    told: int = 0  # the token under which the owner has our report
    unknown: float = 0.0  # admitted here since an owner last answered
    known: tuple[BucketLevel, float] | None = None  # an owner's level, and when we heard it
    lease: float = 0.0
    lease_until: float = 0.0
    returned: float = 0.0
    share: float = 0.0
    typical: float = 0.0  # size of a request


class QuotaClient:
    """Decisions on requests of all tenants, at one gateway."""

    def __init__(self, roles: OwnershipView, rule: QuotaRule) -> None:
        self.leaving = False
        self._roles, self._rule = roles, rule
        self._tenants: dict[str, _TenantState] = {}
        self._due_times = DeadlineIndex()
        self._calls: dict[int, str] = {}
        self._last_call = 0

    def configure(self, limits: Mapping[str, QuotaLimit], now: float) -> list[Effect]:
        """Take over the limits of a configuration."""
        effects: list[Effect] = []
        for name in list(self._tenants):
            limit = limits.get(name)
            if limit is not None and limit.rate_per_s > 0:
                self._tenants[name].limit = limit
                continue
            gone = self._tenants.pop(name)
            self._due_times.put(name, NEVER)
            asked = gone.open.asked if gone.open is not None else []
            effects += [QuotaDecided(entry.number, True, 0.0) for entry in [*asked, *gone.waiting]]
        for name, limit in limits.items():
            if limit.rate_per_s > 0 and name not in self._tenants:
                window_s = self._rule.window_s
                self._tenants[name] = _TenantState(
                    limit, UsageWindow(window_s), LocalAdmission(window_s)
                )
        return effects

    def admit(self, number: int, tenant: str, amount: float, now: float) -> list[Effect]:
        """One request; `number` is the caller's, unique. `QuotaDecided` comes once, perhaps at
        once.
        """
        state = self._tenants.get(tenant)
        if state is None:
            return [QuotaDecided(number, True, 0.0)]
        effects = self._admit(number, tenant, state, amount, now)
        self._plan(tenant, state, now)
        return effects

    def _admit(
        self, number: int, tenant: str, state: _TenantState, amount: float, now: float
    ) -> list[Effect]:
        state.typical += 0.1 * (amount - state.typical) if state.typical else amount
        self._end_lease(state, now)
        if not state.waiting and state.lease >= amount > 0:
            state.lease -= amount
            state.used.add(now, amount)
            return [QuotaDecided(number, True, 0.0)]
        entry = _PendingAmount(number, amount, now + MAX_WAIT_S)
        if state.alone.under_way:
            return [self._decide_alone(state, entry, now), *self._pump(tenant, state, now)]
        state.waiting.append(entry)
        return self._pump(tenant, state, now)

    def give_back(self, tenant: str, amount: float, now: float) -> None:
        """A request that was admitted did not run and won't."""
        state = self._tenants.get(tenant)
        if state is not None:
            state.used.add(now, -amount)
            state.returned += amount
            self._plan(tenant, state, now)

    def answered(self, call: int, answer: QuotaReply | None, now: float) -> list[Effect]:
        """The outcome of an ask: the owner's answer, or None."""
        tenant = self._calls.pop(call, "")
        state = self._tenants.get(tenant)
        if state is None or state.open is None or state.open.call != call:
            return []
        effects = self._answered(tenant, state, state.open, answer, now)
        self._plan(tenant, state, now)
        return effects

    def _answered(
        self,
        tenant: str,
        state: _TenantState,
        ended: _InFlightRequest,
        answer: QuotaReply | None,
        now: float,
    ) -> list[Effect]:
        state.open = None
        if answer is not None and answer.status is ReplyStatus.DECIDED:
            return self._decided(state, ended, answer, now) + self._pump(tenant, state, now)
        state.waiting.extendleft(reversed(ended.asked))
        effects: list[Effect] = []
        if answer is None:
            state.failures += 1
            if state.failures > 1 or now - ended.sent_at > FAST_FAILURE_S:
                state.not_before = now + PROBE_INTERVAL_S
                effects = self._go_alone(state, now)
        elif answer.status is ReplyStatus.REPORT_WANTED and state.told:
            state.told = 0
        else:
            state.not_before = now + RETRY_INTERVAL_S
            effects.append(RefreshRoster())
        return effects + self._pump(tenant, state, now)

    def wake(self, now: float) -> list[Effect]:
        """Time has passed: what waited too long is decided here, and due asks go out."""
        effects: list[Effect] = []
        for tenant in self._due_times.due(now):
            state = self._tenants[tenant]
            if state.waiting and state.waiting[0].until <= now:
                effects += self._go_alone(state, now)
            self._end_lease(state, now)
            effects += self._pump(tenant, state, now)
            self._plan(tenant, state, now)
        return effects

    def due_at(self, now: float) -> float:
        """When `wake` is due next after `now`, or at once; infinity for never."""
        due = self._due_times.first()
        return max(now, due)

    def _plan(self, tenant: str, state: _TenantState, now: float) -> None:
        """Note when a tenant is due, after any change to its state; what is noted is never too
        late.
        """
        self._due_times.put(tenant, self._due(state, now))

    def _due(self, state: _TenantState, now: float) -> float:
        due = state.waiting[0].until if state.waiting else NEVER
        if state.open is None:
            if state.waiting:
                due = min(due, state.not_before)
            elif state.returned or state.lease or abs(state.used.total(now)) > 0:
                due = min(due, max(state.not_before, self._next_sign(state)))
            else:
                # What was given back may outweigh what is left of the use, once some of it is old.
                due = min(
                    due, max(state.not_before, self._next_sign(state), state.used.leaves_at())
                )
        return due

    def _next_sign(self, state: _TenantState) -> float:
        return state.asked_at + (
            PROBE_INTERVAL_S if state.alone.under_way else KEEP_ALIVE_INTERVAL_S
        )

    def _pump(self, tenant: str, state: _TenantState, now: float) -> list[Effect]:
        """The next ask, if one is due and none is under way."""
        if state.open is not None or now < state.not_before:
            return []
        if not state.waiting:
            lately = state.returned or state.lease or state.used.total(now)
            if not lately or now < self._next_sign(state):
                return []
        found = self._roles.find(KEY_PREFIX + tenant)
        if found is None:
            state.not_before = now + PROBE_INTERVAL_S
            return self._go_alone(state, now)
        asked, state.waiting = list(state.waiting), deque()
        self._last_call += 1
        self._calls[self._last_call] = tenant
        state.open = _InFlightRequest(self._last_call, now, asked, state.unknown)
        state.asked_at = now
        ask = self._ask(tenant, found.token, state, now)
        soonest = min((entry.until for entry in asked), default=float("inf"))
        timeout_s = max(MIN_REQUEST_TIMEOUT_S, min(REQUEST_TIMEOUT_S, soonest - now))
        return [SendQuotaRequest(self._last_call, found.owner.address, ask, timeout_s)]

    def _ask(self, tenant: str, token: int, state: _TenantState, now: float) -> QuotaRequest:
        assert state.open is not None
        asked = state.open.asked
        report, known = None, None
        if state.told != token or state.alone.under_way:
            report = state.used.report(now)
            if state.known is not None:
                heard, at = state.known
                known = replace(heard, age_ms=int((now - at) * 1000))
        returned, state.returned = state.returned, 0.0
        return QuotaRequest(
            tenant,
            token,
            self._roles.own.name,
            self._roles.own.incarnation,
            tuple(entry.amount for entry in asked),
            self._ahead(state, now) if asked else 0.0,
            returned,
            state.unknown,
            self.leaving,
            known,
            report,
        )

    def _ahead(self, state: _TenantState, now: float) -> float:
        wanted = LEASE_AHEAD_S * state.used.total(now) / self._rule.window_s - state.lease
        return wanted if wanted >= state.typical else 0.0

    def _decided(
        self, state: _TenantState, ended: _InFlightRequest, answer: QuotaReply, now: float
    ) -> list[Effect]:
        state.alone.end()
        state.failures, state.told, state.share = 0, answer.token, answer.share
        state.unknown -= ended.unknown
        state.known = BucketLevel(answer.term, answer.level, answer.used, 0), now
        effects: list[Effect] = []
        for entry, admitted in zip(ended.asked, answer.admitted, strict=False):
            if admitted:
                state.used.add(now, entry.amount)
            effects.append(
                QuotaDecided(entry.number, admitted, 0.0 if admitted else answer.retry_after_s)
            )
        if answer.ahead > 0:
            state.lease += answer.ahead
            state.lease_until = ended.sent_at + LEASE_DURATION_S
        return effects

    def _end_lease(self, state: _TenantState, now: float) -> None:
        """What is left of a lease goes back."""
        if state.lease and now >= state.lease_until:
            state.returned += state.lease
            state.lease = 0.0

    def _go_alone(self, state: _TenantState, now: float) -> list[Effect]:
        if not state.alone.under_way:
            rate = max(0.0, state.used.total(now)) / self._rule.window_s
            state.alone.begin(rate, state.told != 0 and not self.leaving, now)
        waiting, state.waiting = state.waiting, deque()
        return [self._decide_alone(state, entry, now) for entry in waiting]

    def _decide_alone(self, state: _TenantState, entry: _PendingAmount, now: float) -> QuotaDecided:
        part = max(state.share * LOCAL_FRACTION, NEWCOMER_FRACTION / self._roles.size)
        most = part * self._rule.allowance(state.limit)
        if not state.alone.admit(entry.amount, most, now):
            return QuotaDecided(entry.number, False, LOCAL_RETRY_AFTER_S)
        state.used.add(now, entry.amount)
        state.unknown += entry.amount
        return QuotaDecided(entry.number, True, 0.0)
