"""Drives quotas and the shared slack of repeats: both sides, over the peers' protocol.

Asks to this gateway itself take no detour over the network.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING, Any

from roselink.budgets import quota_client, retry_budget
from roselink.budgets.ownership import FRESH_S, Roles
from roselink.budgets.quota_client import QuotaClient, QuotaDecided, SendQuotaAsk
from roselink.budgets.quota_owner import QuotaLedger
from roselink.budgets.retry_budget import (
    RefreshRoster,
    RepeatClient,
    RepeatDecided,
    RepeatLedger,
    SendRepeatAsk,
)
from roselink.budgets.usage import Limit, QuotaRule
from roselink.protocol.budgets import (
    QuotaReply,
    QuotaRequest,
    ReplyStatus,
    RetryBudgetReply,
    RetryBudgetRequest,
)

if TYPE_CHECKING:
    from roselink.model.configuration import Tenant
    from roselink.model.fleet import Member, Snapshot
    from roselink.model.settings import Thresholds
    from roselink.protocol.peer_connection import Address, SendReply
    from roselink.protocol.peer_pool import PeerPool

log = logging.getLogger("roselink.budgets")

REPEAT_TIMEOUT_S = 0.1
SOONEST_WAKE_S = 0.002

DecideQuota = Callable[[bool, float], None]
DecideRepeat = Callable[[bool], None]
Effect = SendQuotaAsk | QuotaDecided | SendRepeatAsk | RepeatDecided | RefreshRoster


class BudgetService:
    """One gateway's part in all budgets; `refresh` is called when its roster seems old."""

    def __init__(
        self,
        own: Member,
        thresholds: Thresholds,
        pool: PeerPool,
        refresh: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        rule = QuotaRule(thresholds.quota_window_s, thresholds.quota_over, thresholds.quota_slack)
        window_s, slack = thresholds.retry_window_s, thresholds.retry_slack
        self._own, self._pool, self._refresh, self._clock = own, pool, refresh, clock
        self._roles = Roles(own)
        self._quotas, self._quota_client = (
            QuotaLedger(rule, own.incarnation),
            QuotaClient(self._roles, rule),
        )
        self._repeats, self._repeat_client = (
            RepeatLedger(window_s, slack),
            RepeatClient(self._roles, slack),
        )
        self._tenants: list[str] = []
        self._services: list[str] = []
        self._numbers = itertools.count(1)
        self._quota_waits: dict[int, DecideQuota] = {}
        self._repeat_waits: dict[int, DecideRepeat] = {}
        self._effects: deque[Effect] = deque()
        self._performing = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    def apply(self, snapshot: Snapshot) -> None:
        """A new snapshot is in force."""
        now = self._clock()
        limits = {
            tenant.name: Limit(tenant.rate_per_s, tenant.burst)
            for tenant in snapshot.configuration.tenants
        }
        self._roles.update(snapshot.vector.roster, snapshot.roster)
        self._quotas.configure(limits, now)
        self._tenants = list(limits)
        self._services = [service.name for service in snapshot.configuration.services]
        self._own_roles(now)
        self._perform(self._quota_client.configure(limits, now))

    def confirm(self, at: float) -> None:
        """What is in force was the newest after `at`."""
        now = self._clock()
        silent_s = self._roles.confirm(at, now)
        if silent_s >= FRESH_S:
            self._quotas.end_terms()
            self._repeats.end_terms(silent_s)
            self._own_roles(now)

    def admit(self, tenant: Tenant, amount: float, decide: DecideQuota) -> None:
        """Decide whether a request is within its tenant's quota: `decide(allowed, retry_after_s)`,
        once.
        """
        if tenant.rate_per_s <= 0:
            decide(True, 0.0)
            return
        number = next(self._numbers)
        self._quota_waits[number] = decide
        self._perform(self._quota_client.admit(number, tenant.name, amount, self._clock()))

    def give_back(self, tenant: Tenant, amount: float) -> None:
        """A request that was admitted has not run and never will."""
        self._quota_client.give_back(tenant.name, amount, self._clock())
        self._perform(())

    def ask(self, service: str, decide: DecideRepeat) -> None:
        """Decide whether one repeat may draw on the service's shared slack: `decide(allowed)`,
        once.
        """
        number = next(self._numbers)
        self._repeat_waits[number] = decide
        self._perform(self._repeat_client.ask(number, service, self._clock()))

    def handle(self, message: object, reply: SendReply) -> bool:
        """Answer a peer's ask; False for records of other kinds."""
        if isinstance(message, QuotaRequest):
            reply(self._own_quota(message))
        elif isinstance(message, RetryBudgetRequest):
            reply(self._own_repeat(message))
        else:
            return False
        return True

    def begin_drain(self) -> None:
        """This gateway takes no new requests, and admits none by itself any more."""
        self._quota_client.leaving = True

    def stop(self) -> None:
        """No more timers."""
        if self._timer is not None:
            self._timer.cancel()

    def _own_roles(self, now: float) -> None:
        tenants = self._owned(quota_client.KEY_PREFIX, self._tenants)
        self._quotas.own(tenants, self._roles.roster, now)
        self._repeats.own(self._owned(retry_budget.KEY_PREFIX, self._services), now)

    def _owned(self, prefix: str, names: Iterable[str]) -> list[str]:
        return [name for name in names if self._roles.owns(prefix + name)]

    def _own_quota(self, ask: QuotaRequest) -> QuotaReply:
        now = self._clock()
        status = self._judge(quota_client.KEY_PREFIX + ask.tenant, ask.token, now)
        if status is ReplyStatus.DECIDED:
            return self._quotas.ask(ask, now)
        return QuotaReply(status, self._roles.token)

    def _own_repeat(self, ask: RetryBudgetRequest) -> RetryBudgetReply:
        now = self._clock()
        status = self._judge(retry_budget.KEY_PREFIX + ask.service, ask.token, now)
        if status is ReplyStatus.DECIDED:
            return self._repeats.ask(ask, now)
        return RetryBudgetReply(status, self._roles.token, False)

    def _judge(self, key: str, token: int, now: float) -> ReplyStatus:
        status = self._roles.judge(key, token, now)
        if status is ReplyStatus.NOT_READY:
            self._refresh()
        return status

    def _perform(self, effects: Iterable[Effect]) -> None:
        self._effects.extend(effects)
        if self._performing:
            return
        self._performing = True
        try:
            while self._effects:
                effect = self._effects.popleft()
                try:
                    self._perform_one(effect)
                except (
                    Exception
                ):  # one request's fault must not keep the others from their decisions
                    log.exception("decision_not_taken")
        finally:
            self._performing = False
        self._schedule()

    def _perform_one(self, effect: Effect) -> None:
        match effect:
            case QuotaDecided(number, allowed, retry_after_s):
                self._quota_waits.pop(number)(allowed, retry_after_s)
            case RepeatDecided(number, allowed):
                self._repeat_waits.pop(number)(allowed)
            case SendQuotaAsk(call, address, ask, timeout_s):
                answered = partial(self._quota_answered, call)
                if address == self._own.address:
                    answered(self._own_quota(ask))
                else:
                    self._pool.call(_address(address), ask, timeout_s, answered)
            case SendRepeatAsk(number, address, repeat_ask):
                decided = partial(self._repeat_answered, number)
                if address == self._own.address:
                    decided(self._own_repeat(repeat_ask))
                else:
                    self._pool.call(_address(address), repeat_ask, REPEAT_TIMEOUT_S, decided)
            case RefreshRoster():
                self._refresh()

    def _quota_answered(self, call: int, answer: Any) -> None:
        known = answer if isinstance(answer, QuotaReply) else None
        self._perform(self._quota_client.answered(call, known, self._clock()))

    def _repeat_answered(self, number: int, answer: Any) -> None:
        known = answer if isinstance(answer, RetryBudgetReply) else None
        self._perform(self._repeat_client.answered(number, known, self._clock()))

    def _schedule(self) -> None:
        now = self._clock()
        due = self._quota_client.due_at(now)
        if self._timer is not None:
            if due >= self._timer_at:
                return
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer_at = due
            wait_s = max(SOONEST_WAKE_S, due - now)
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._perform(self._quota_client.wake(self._clock()))


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)
