"""The shared slack of repeats: owner's and asker's sides.

The rule adds `retry_slack` repeats of a service to those its requests earn, in any window, over all
gateways. An owner lends at most `GRANTED_FRACTION` of it within any window. Nobody can know what the owner
before lent until its end: it may have been cut off with some of the gateways. So a term lends
`FIRST_WINDOW_FRACTION` at most in its first window, and nothing at its very beginning, for owners pass fast
while a roster forms. Four moves of ownership within one window stay under the slack.
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
START_DELAY_S = 0.5  # from its beginning on a term lends nothing for so long
REFUSAL_VALID_S = 0.1  # an asker refuses by itself for so long after a refusal
KEY_PREFIX = "retry/"


class _Term:
    """One service in this owner's term."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.lent: deque[float] = deque()


class RetryBudgetOwner:
    """The owner's side for all services that this gateway owns."""

    def __init__(self, window_s: float, slack: float) -> None:
        self._window_s = window_s
        self._most, self._first = GRANTED_FRACTION * slack, FIRST_WINDOW_FRACTION * slack
        self._terms: dict[str, _Term] = {}

    def own(self, services: Iterable[str], now: float) -> None:
        """The services that this gateway owns from now on: terms begin and end."""
        owned = set(services)
        for service in [name for name in self._terms if name not in owned]:
            del self._terms[service]
        for service in owned - self._terms.keys():
            self._terms[service] = _Term(now)

    def end_terms(self, silent_s: float) -> None:
        """This gateway's view was not confirmed for so long. Another owner may have lent
        `FIRST_WINDOW_FRACTION` within less than a window, which the parts allow for; only a longer gap ends
        the terms.
        """
        if silent_s >= self._window_s:
            self._terms.clear()

    def ask(self, ask: RetryBudgetRequest, now: float) -> RetryBudgetReply:
        """Decide; the caller has judged the token."""
        term = self._terms.get(ask.service)
        if term is None:
            return RetryBudgetReply(ReplyStatus.NOT_READY, ask.token, False)
        while term.lent and term.lent[0] <= now - self._window_s:
            term.lent.popleft()
        allowed = len(term.lent) + 1 <= self._may_lend(now - term.began_at)
        if allowed:
            term.lent.append(now)
        return RetryBudgetReply(
            ReplyStatus.DECIDED, ask.token, allowed, 0.0 if allowed else REFUSAL_VALID_S
        )

    def _may_lend(self, age_s: float) -> float:
        """How many within a window, in a term so old."""
        if age_s < START_DELAY_S:
            return 0.0
        return self._first if age_s < self._window_s else self._most


@dataclass(frozen=True, slots=True)
class SendRetryBudgetRequest:
    """Effect: put the ask to the owner at an address; the outcome goes to
    `RetryBudgetClient.answered`.
    """

    number: int
    address: str
    ask: RetryBudgetRequest


@dataclass(frozen=True, slots=True)
class RetryBudgetDecided:
    """Effect: the answer to one `RetryBudgetClient.ask`."""

    number: int
    allowed: bool


@dataclass(frozen=True, slots=True)
class RefreshRoster:
    """Effect: the owner's roster isn't ours: pull soon."""


RetryBudgetEffect = SendRetryBudgetRequest | RetryBudgetDecided | RefreshRoster


class RetryBudgetClient:
    """The asker's side: without an owner in reach, no."""

    def __init__(self, roles: OwnershipView, slack: float) -> None:
        self._roles, self._slack = roles, slack
        self._open: dict[int, str] = {}
        self._refused_until: dict[str, float] = {}

    def ask(self, number: int, service: str, now: float) -> list[RetryBudgetEffect]:
        """One repeat wants to draw on the slack; `number` is the caller's, unique."""
        found = self._roles.find(KEY_PREFIX + service)
        if self._slack < 1 or found is None or now < self._refused_until.get(service, 0.0):
            return [RetryBudgetDecided(number, False)]
        self._open[number] = service
        return [
            SendRetryBudgetRequest(
                number, found.owner.address, RetryBudgetRequest(service, found.token)
            )
        ]

    def answered(
        self, number: int, answer: RetryBudgetReply | None, now: float
    ) -> list[RetryBudgetEffect]:
        """The outcome of an ask; without an answer, no."""
        service = self._open.pop(number, None)
        if service is None:
            return []
        if answer is None:
            self._refused_until[service] = now + REFUSAL_VALID_S
            return [RetryBudgetDecided(number, False)]
        if answer.status is not ReplyStatus.DECIDED:
            return [RefreshRoster(), RetryBudgetDecided(number, False)]
        if not answer.allowed:
            self._refused_until[service] = now + answer.retry_after_s
        return [RetryBudgetDecided(number, answer.allowed)]
