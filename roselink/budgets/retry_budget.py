"""The retry budget that all gateways share for a service: the owner's and the requester's sides.

Beyond the retries that a service's requests earn, the rule allows `retry_slack` retries within any
window over all gateways. An owner grants at most `GRANTED_FRACTION` of it within any window. What
the previous owner granted last is unknown, since it may have been unreachable together with some of
the gateways. So a term grants at most `FIRST_WINDOW_FRACTION` in its first window, and nothing in
its first `START_DELAY_S`, because ownership changes often while a roster forms. Four changes of
ownership within one window stay below the slack.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.protocol.budgets import ReplyStatus, RetryBudgetReply, RetryBudgetRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from roselink.budgets.ownership import OwnershipView

GRANTED_FRACTION = 0.8
FIRST_WINDOW_FRACTION = 0.05
# Time at the start of a term in which nothing is granted.
START_DELAY_S = 0.5
# After a refusal, a requester refuses for this time without a request to the owner. A larger value
# saves requests, a smaller one uses a budget that is available again sooner.
REFUSAL_VALID_S = 0.1
KEY_PREFIX = "retry/"


class _Term:
    """This owner's term for one service: when it began, and when each retry was granted."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.granted_at: deque[float] = deque()


class RetryBudgetOwner:
    """The owner's side, for all services that this gateway owns."""

    def __init__(self, window_s: float, slack: float) -> None:
        """Start without services. `slack` is the number of retries in any `window_s` seconds."""
        self._window_s = window_s
        self._limit = GRANTED_FRACTION * slack
        self._first_window_limit = FIRST_WINDOW_FRACTION * slack
        self._terms: dict[str, _Term] = {}

    def set_owned(self, services: Iterable[str], now: float) -> None:
        """Begin terms of newly owned services and end those of services no longer owned."""
        owned = set(services)
        for service in [name for name in self._terms if name not in owned]:
            del self._terms[service]
        for service in owned - self._terms.keys():
            self._terms[service] = _Term(now)

    def end_terms(self, unconfirmed_s: float) -> None:
        """End all terms if this gateway's view was unconfirmed for a window or longer.

        Within less than a window another owner can have granted at most `FIRST_WINDOW_FRACTION`,
        for which the fractions leave room.
        """
        if unconfirmed_s >= self._window_s:
            self._terms.clear()

    def decide(self, request: RetryBudgetRequest, now: float) -> RetryBudgetReply:
        """Decide a request; the caller has checked its fencing token."""
        term = self._terms.get(request.service)
        if term is None:
            return RetryBudgetReply(ReplyStatus.NOT_READY, request.fencing_token, allowed=False)
        while term.granted_at and term.granted_at[0] <= now - self._window_s:
            term.granted_at.popleft()
        allowed = len(term.granted_at) + 1 <= self._window_limit(now - term.began_at)
        if allowed:
            term.granted_at.append(now)
        return RetryBudgetReply(
            ReplyStatus.DECIDED, request.fencing_token, allowed, 0.0 if allowed else REFUSAL_VALID_S
        )

    def _window_limit(self, age_s: float) -> float:
        """Return how many retries a term of this age may grant within a window."""
        if age_s < START_DELAY_S:
            return 0.0
        return self._first_window_limit if age_s < self._window_s else self._limit


@dataclass(frozen=True, slots=True)
class SendRetryBudgetRequest:
    """Effect: send a request to the owner; `RetryBudgetClient.handle_reply` takes the outcome."""

    number: int
    address: str
    request: RetryBudgetRequest


@dataclass(frozen=True, slots=True)
class RetryBudgetDecided:
    """Effect: the decision on one `RetryBudgetClient.request`."""

    number: int
    allowed: bool


@dataclass(frozen=True, slots=True)
class RefreshRoster:
    """Effect: pull soon, because the owner's roster differs from this gateway's."""


RetryBudgetEffect = SendRetryBudgetRequest | RetryBudgetDecided | RefreshRoster


class RetryBudgetClient:
    """The requester's side. Every retry is refused while the owner is unreachable."""

    def __init__(self, ownership: OwnershipView, slack: float) -> None:
        """Start without requests. A `slack` below 1 refuses every retry."""
        self._ownership = ownership
        self._slack = slack
        self._in_flight: dict[int, str] = {}
        self._refused_until: dict[str, float] = {}

    def request(self, number: int, service: str, now: float) -> list[RetryBudgetEffect]:
        """Request one retry to a service; `number` is the caller's unique number of it."""
        fenced_owner = self._ownership.find(KEY_PREFIX + service)
        refused = now < self._refused_until.get(service, 0.0)
        if self._slack < 1 or fenced_owner is None or refused or self._ownership.is_superseded:
            return [RetryBudgetDecided(number, allowed=False)]
        self._in_flight[number] = service
        request = RetryBudgetRequest(service, fenced_owner.fencing_token)
        return [SendRetryBudgetRequest(number, fenced_owner.owner.address, request)]

    def handle_reply(
        self, number: int, reply: RetryBudgetReply | None, now: float
    ) -> list[RetryBudgetEffect]:
        """Apply the owner's decision; without a reply (None) the retry is refused."""
        service = self._in_flight.pop(number, None)
        if service is None:
            return []
        if reply is None:
            self._refused_until[service] = now + REFUSAL_VALID_S
            return [RetryBudgetDecided(number, allowed=False)]
        if reply.status is not ReplyStatus.DECIDED:
            if reply.status is ReplyStatus.STALE_TOKEN:
                self._ownership.record_token(reply.fencing_token)
            return [RefreshRoster(), RetryBudgetDecided(number, allowed=False)]
        if not reply.allowed:
            self._refused_until[service] = now + reply.retry_after_s
        return [RetryBudgetDecided(number, reply.allowed)]
