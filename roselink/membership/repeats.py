"""The shared slack of repeats: owner's and asker's sides.

The rule adds `retry_slack` repeats of a service to those its requests earn, in any window, over all gateways.
The owner lends at most `LENT_PART` of it within any window. A new owner can't know what gateways that are
gone had drawn from the owner before it: in its first window it lends `FIRST_PART` at most, and counts in full
what askers report of the last window. Two moves of ownership within one window so stay under the slack.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from roselink.membership.roles import Roles
from roselink.protocol.ledger import RepeatAnswer, RepeatAsk, Used, Verdict

LENT_PART = 0.8
FIRST_PART = 0.1
REFUSAL_STANDS_S = 0.1  # an asker refuses by itself for so long after a refusal
KEY_PREFIX = "retry/"


class _Lent:
    """One service in this owner's term."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.own: deque[float] = deque()
        self.told: dict[tuple[str, int], deque[float]] = {}  # by asker: drawn from owners before


class RepeatLedger:
    """The owner's side for all services that this gateway owns."""

    def __init__(self, window_s: float, slack: float) -> None:
        self._window_s = window_s
        self._most, self._first = LENT_PART * slack, FIRST_PART * slack
        self._services: dict[str, _Lent] = {}

    def own(self, services: Iterable[str], now: float) -> None:
        """The services that this gateway owns from now on: terms begin and end."""
        owned = set(services)
        for service in [name for name in self._services if name not in owned]:
            del self._services[service]
        for service in owned - self._services.keys():
            self._services[service] = _Lent(now)

    def end_terms(self, silent_s: float) -> None:
        """This gateway's view was not confirmed for so long. Another owner lends `FIRST_PART` at most within
        half a window, so only longer gaps end the terms."""
        if silent_s >= self._window_s / 2:
            self._services.clear()

    def ask(self, ask: RepeatAsk, now: float) -> RepeatAnswer:
        """Decide; the caller has judged the token."""
        lent = self._services.get(ask.service)
        if lent is None:
            return RepeatAnswer(Verdict.NOT_YET, ask.token, False, 0.0)
        asker = (ask.asker, ask.incarnation)
        if asker not in lent.told:
            if ask.report is None:
                return RepeatAnswer(Verdict.REPORT_WANTED, ask.token, False, 0.0)
            lent.told[asker] = self._before_term(lent, ask.report, now)
        self._forget(lent, now)
        known = len(lent.own) + sum(len(times) for times in lent.told.values())
        in_first = now < lent.began_at + self._window_s
        allowed = known + 1 <= self._most and (not in_first or len(lent.own) + 1 <= self._first)
        if allowed:
            lent.own.append(now)
        return RepeatAnswer(Verdict.DECIDED, ask.token, allowed, 0.0 if allowed else REFUSAL_STANDS_S)

    def _before_term(self, lent: _Lent, report: tuple[Used, ...], now: float) -> deque[float]:
        times: list[float] = []
        for used in report:
            at = now - used.age_ms / 1000
            if at <= lent.began_at:
                times += [at] * round(used.amount)
        return deque(sorted(times))

    def _forget(self, lent: _Lent, now: float) -> None:
        for times in (lent.own, *lent.told.values()):
            while times and times[0] <= now - self._window_s:
                times.popleft()


@dataclass(frozen=True, slots=True)
class SendRepeatAsk:
    """Effect: put the ask to the owner at an address; the outcome goes to `RepeatClient.answered`."""

    number: int
    address: str
    ask: RepeatAsk


@dataclass(frozen=True, slots=True)
class RepeatDecided:
    """Effect: the answer to one `RepeatClient.ask`."""

    number: int
    allowed: bool


@dataclass(frozen=True, slots=True)
class RefreshRoster:
    """Effect: the owner's roster isn't ours: pull soon."""


RepeatEffect = SendRepeatAsk | RepeatDecided | RefreshRoster


class RepeatClient:
    """The asker's side: without an owner in reach, no."""

    def __init__(self, roles: Roles, window_s: float, slack: float) -> None:
        self._roles, self._window_s, self._slack = roles, window_s, slack
        self._open: dict[int, str] = {}
        self._drawn: dict[str, deque[float]] = {}
        self._refused_until: dict[str, float] = {}
        self._told: dict[str, int] = {}  # the token under which the owner has our report

    def ask(self, number: int, service: str, now: float) -> list[RepeatEffect]:
        """One repeat wants to draw on the slack; `number` is the caller's, unique."""
        if self._slack < 1 or now < self._refused_until.get(service, 0.0):
            return [RepeatDecided(number, False)]
        return self._send(number, service, now)

    def answered(self, number: int, answer: RepeatAnswer | None, now: float) -> list[RepeatEffect]:
        """The outcome of an ask. One whose answer never came is refused here, so it isn't drawn."""
        service = self._open.pop(number, None)
        if service is None:
            return []
        if answer is None:
            self._refused_until[service] = now + REFUSAL_STANDS_S
            return [RepeatDecided(number, False)]
        if answer.verdict is Verdict.DECIDED:
            self._told[service] = answer.token
            if answer.allowed:
                self._drawn.setdefault(service, deque()).append(now)
            else:
                self._refused_until[service] = now + answer.retry_after_s
            return [RepeatDecided(number, answer.allowed)]
        if answer.verdict is Verdict.REPORT_WANTED and self._told.pop(service, None) is not None:
            return self._send(number, service, now)
        return [RefreshRoster(), RepeatDecided(number, False)]

    def _send(self, number: int, service: str, now: float) -> list[RepeatEffect]:
        found = self._roles.find(KEY_PREFIX + service)
        if found is None:
            return [RepeatDecided(number, False)]
        self._open[number] = service
        report = None if self._told.get(service) == found.token else self._report(service, now)
        own = self._roles.own
        ask = RepeatAsk(service, found.token, own.name, own.incarnation, report)
        return [SendRepeatAsk(number, found.owner.address, ask)]

    def _report(self, service: str, now: float) -> tuple[Used, ...]:
        drawn = self._drawn.setdefault(service, deque())
        while drawn and drawn[0] <= now - self._window_s:
            drawn.popleft()
        return tuple(Used(int((now - at) * 1000), 1.0) for at in drawn)
