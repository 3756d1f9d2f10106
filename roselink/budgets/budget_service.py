"""Runs the owner and the requester side of one gateway's budgets over the internal protocol.

Requests for keys that this gateway owns are decided in the process, without the network.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

from roselink.budgets import quota_client, retry_budget
from roselink.budgets.ownership import CONFIRMATION_VALID_S, OwnershipView
from roselink.budgets.quota_client import QuotaClient, QuotaDecided, SendQuotaRequest
from roselink.budgets.quota_owner import QuotaOwner
from roselink.budgets.retry_budget import (
    RefreshRoster,
    RetryBudgetClient,
    RetryBudgetDecided,
    RetryBudgetOwner,
    SendRetryBudgetRequest,
)
from roselink.budgets.usage import QuotaLimit, QuotaRule
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
    from roselink.protocol.peer_connection import Address, ReplySender
    from roselink.protocol.peer_pool import PeerPool

log = logging.getLogger("roselink.budgets")

# Time-out of a retry budget request; without a reply the retry is refused. A larger value delays
# retries when an owner is unreachable, a smaller one refuses them when it is only slow.
RETRY_BUDGET_TIMEOUT_S = 0.1
# Shortest delay of the timer. A smaller value wakes the event loop more often, a larger one delays
# local decisions and keep-alives.
MIN_WAKE_DELAY_S = 0.002

# Called with whether a request is admitted, and after how many seconds a refused one may be sent
# again.
DecideQuota = Callable[[bool, float], None]
# Called with whether a retry is allowed.
DecideRetry = Callable[[bool], None]
Effect = (
    SendQuotaRequest | QuotaDecided | SendRetryBudgetRequest | RetryBudgetDecided | RefreshRoster
)


class BudgetService:
    """Quotas and retry budgets of one gateway, as owner and as requester."""

    def __init__(
        self,
        own: Member,
        thresholds: Thresholds,
        pool: PeerPool,
        refresh: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without a snapshot.

        Args:
            own: this gateway.
            thresholds: the limits of both budget rules, from the settings.
            pool: sends requests to other gateways.
            refresh: called when this gateway's roster may be outdated.
            clock: returns the monotonic time in seconds.
        """
        rule = QuotaRule(thresholds.quota_window_s, thresholds.quota_over, thresholds.quota_slack)
        window_s = thresholds.retry_window_s
        slack = thresholds.retry_slack
        self._own = own
        self._pool = pool
        self._refresh = refresh
        self._clock = clock
        self._ownership = OwnershipView(own)
        self._quota_owner = QuotaOwner(rule, own.incarnation, own.name)
        self._quota_client = QuotaClient(
            self._ownership, rule, self._quota_owner.rate_known_to_others
        )
        self._retry_owner = RetryBudgetOwner(window_s, slack)
        self._retry_client = RetryBudgetClient(self._ownership, slack)
        self._tenants: list[str] = []
        self._services: list[str] = []
        self._request_numbers = itertools.count(1)
        self._quota_callbacks: dict[int, DecideQuota] = {}
        self._retry_callbacks: dict[int, DecideRetry] = {}
        self._effects: deque[Effect] = deque()
        self._performing = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    def apply(self, snapshot: Snapshot) -> None:
        """Apply the limits and the roster of a new snapshot."""
        now = self._clock()
        limits = {
            tenant.name: QuotaLimit(tenant.rate_per_s, tenant.burst)
            for tenant in snapshot.configuration.tenants
        }
        self._ownership.update(snapshot.vector.roster, snapshot.roster)
        self._quota_owner.configure(limits, now)
        self._tenants = list(limits)
        self._services = [service.name for service in snapshot.configuration.services]
        self._update_owned(now)
        self._perform(self._quota_client.configure(limits))

    def confirm(self, at: float) -> None:
        """Record a confirmation that the snapshot in force was still the newest one after `at`."""
        now = self._clock()
        unconfirmed_s = self._ownership.confirm(at, now)
        if unconfirmed_s >= CONFIRMATION_VALID_S:
            self._quota_owner.end_terms()
            self._retry_owner.end_terms(unconfirmed_s)
            self._update_owned(now)

    def admit(self, tenant: Tenant, amount: float, decide: DecideQuota) -> None:
        """Decide whether a request is within its tenant's quota; `decide` is called once."""
        if tenant.rate_per_s <= 0:
            decide(True, 0.0)  # noqa: FBT003 - a Callable takes no keywords
            return
        number = next(self._request_numbers)
        self._quota_callbacks[number] = decide
        self._perform(self._quota_client.admit(number, tenant.name, amount, self._clock()))

    def refund(self, tenant: Tenant, amount: float) -> None:
        """Refund the amount of an admitted request that has not run and will not run."""
        self._quota_client.refund(tenant.name, amount, self._clock())
        self._perform(())

    def request_retry(self, service: str, decide: DecideRetry) -> None:
        """Decide whether a retry may draw on its service's budget; `decide` is called once."""
        number = next(self._request_numbers)
        self._retry_callbacks[number] = decide
        self._perform(self._retry_client.request(number, service, self._clock()))

    def handle(self, message: object, reply: ReplySender) -> bool:
        """Reply to a peer's request; return False for records of other kinds."""
        if isinstance(message, QuotaRequest):
            reply(self._decide_quota(message))
        elif isinstance(message, RetryBudgetRequest):
            reply(self._decide_retry(message))
        else:
            return False
        return True

    def begin_drain(self) -> None:
        """Report this gateway as draining: it takes no new requests, so owners reserve nothing."""
        self._quota_client.draining = True

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _update_owned(self, now: float) -> None:
        tenants = self._owned(quota_client.KEY_PREFIX, self._tenants)
        self._quota_owner.set_owned(tenants, self._ownership.roster, now)
        self._retry_owner.set_owned(self._owned(retry_budget.KEY_PREFIX, self._services), now)

    def _owned(self, prefix: str, names: Iterable[str]) -> list[str]:
        return [name for name in names if self._ownership.owns(prefix + name)]

    def _decide_quota(self, request: QuotaRequest) -> QuotaReply:
        now = self._clock()
        key = quota_client.KEY_PREFIX + request.tenant
        status = self._check_request(key, request.fencing_token, now)
        if status is ReplyStatus.DECIDED:
            return self._quota_owner.decide(request, now)
        return QuotaReply(status, self._ownership.newest_token)

    def _decide_retry(self, request: RetryBudgetRequest) -> RetryBudgetReply:
        now = self._clock()
        key = retry_budget.KEY_PREFIX + request.service
        status = self._check_request(key, request.fencing_token, now)
        if status is ReplyStatus.DECIDED:
            return self._retry_owner.decide(request, now)
        return RetryBudgetReply(status, self._ownership.newest_token, allowed=False)

    def _check_request(self, key: str, fencing_token: int, now: float) -> ReplyStatus:
        status = self._ownership.check_request(key, fencing_token, now)
        if status is ReplyStatus.NOT_READY:
            self._refresh()
        return status

    def _perform(self, effects: Iterable[Effect]) -> None:
        """Perform effects in order, including those that they cause, then set the timer."""
        self._effects.extend(effects)
        if self._performing:
            return
        self._performing = True
        try:
            while self._effects:
                effect = self._effects.popleft()
                try:
                    self._perform_one(effect)
                # An exception in one callback must not prevent the remaining decisions.
                except Exception:
                    log.exception("decision_failed")
        finally:
            self._performing = False
        self._schedule()

    def _perform_one(self, effect: Effect) -> None:
        match effect:
            case QuotaDecided(number, allowed, retry_after_s):
                self._quota_callbacks.pop(number)(allowed, retry_after_s)
            case RetryBudgetDecided(number, allowed):
                self._retry_callbacks.pop(number)(allowed)
            case SendQuotaRequest(call, address, request, timeout_s):
                quota_done = partial(self._handle_quota_reply, call)
                if address == self._own.address:
                    quota_done(self._decide_quota(request))
                else:
                    self._pool.call(_address(address), request, timeout_s, quota_done)
            case SendRetryBudgetRequest(number, address, retry_request):
                retry_done = partial(self._handle_retry_reply, number)
                if address == self._own.address:
                    retry_done(self._decide_retry(retry_request))
                else:
                    self._pool.call(
                        _address(address), retry_request, RETRY_BUDGET_TIMEOUT_S, retry_done
                    )
            case RefreshRoster():
                self._refresh()

    def _handle_quota_reply(self, call: int, reply: object) -> None:
        """Process a reply; a record of another type counts as a failed request."""
        valid_reply = reply if isinstance(reply, QuotaReply) else None
        self._perform(self._quota_client.handle_reply(call, valid_reply, self._clock()))

    def _handle_retry_reply(self, number: int, reply: object) -> None:
        """Process a reply; a record of another type counts as a failed request."""
        valid_reply = reply if isinstance(reply, RetryBudgetReply) else None
        self._perform(self._retry_client.handle_reply(number, valid_reply, self._clock()))

    def _schedule(self) -> None:
        """Set the timer for the quota client's next deadline unless it is already set earlier."""
        now = self._clock()
        wake_at = self._quota_client.next_wake_at(now)
        if self._timer is not None:
            if wake_at >= self._timer_at:
                return
            self._timer.cancel()
            self._timer = None
        if wake_at < float("inf"):
            self._timer_at = wake_at
            delay_s = max(MIN_WAKE_DELAY_S, wake_at - now)
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._perform(self._quota_client.wake(self._clock()))


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)
