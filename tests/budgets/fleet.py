"""A simulated fleet of gateways: the real state machines on a simulated clock and network.

Of the core only the roster is simulated: a gateway that has not pulled for `CORE_TIMEOUT_S` is
removed, but a pause longer than `CORE_PAUSE_S` in which the core received no pull at all is not
counted. All decisions are recorded for the checks, which share no code with the state machines.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

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
from roselink.model.fleet import Member
from roselink.protocol.budgets import (
    QuotaReply,
    QuotaRequest,
    ReplyStatus,
    RetryBudgetReply,
    RetryBudgetRequest,
)

if TYPE_CHECKING:
    from roselink.budgets.usage import QuotaLimit, QuotaRule

PULL_S = 0.2
CORE_TIMEOUT_S = 1.2
CORE_PAUSE_S = 0.6
LINK_S = 0.0014
Callback = Callable[[], None]


@dataclass
class Decision:
    """The decision on one request, as its client observes it."""

    tenant: str
    gateway: int
    amount: float
    arrived_at: float
    decided_at: float
    allowed: bool
    retry_after_s: float


@dataclass
class Fleet:
    """The simulated network, core and gateways, and the recorded decisions."""

    size: int
    seed: int
    limits: dict[str, QuotaLimit]
    rule: QuotaRule
    services: tuple[str, ...] = ()
    slack: float = 0.0
    retry_window_s: float = 10.0
    now: float = 100.0
    decisions: list[Decision] = field(default_factory=list)
    retries: list[tuple[float, str]] = field(default_factory=list)
    requests_sent: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self._events: list[tuple[float, int, Callback]] = []
        self._last_event_number = 0
        self.version = 0
        self.roster: tuple[Member, ...] = ()
        self.last_pulls: dict[Member, float] = {}
        self.last_pull = self.now
        self.blocked_links: set[frozenset[int]] = set()  # pairs of gateways; -1 is the core
        self.gateways = [Gateway(self, index) for index in range(self.size)]
        for gateway in self.gateways:
            gateway.start()

    def at(self, when: float, callback: Callback) -> None:
        self._last_event_number += 1
        heapq.heappush(self._events, (max(when, self.now), self._last_event_number, callback))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until

    def reachable(self, one: int, other: int) -> bool:
        return frozenset((one, other)) not in self.blocked_links

    def pull(self, member: Member, *, serving: bool) -> None:
        """Process a pull at the core and remove gateways whose pulls have stopped."""
        pause_s = self.now - self.last_pull
        self.last_pull = self.now
        if pause_s > CORE_PAUSE_S:
            self.last_pulls = {known: at + pause_s for known, at in self.last_pulls.items()}
        self.last_pulls[member] = self.now if serving else float("-inf")
        live = [known for known, at in self.last_pulls.items() if self.now - at < CORE_TIMEOUT_S]
        newest: dict[str, Member] = {known.name: known for known in live}
        roster = tuple(sorted(newest.values(), key=lambda known: known.name))
        if roster != self.roster:
            self.version += 1
            self.roster = roster

    def call(
        self,
        caller: Gateway,
        address: str,
        request: Any,
        timeout_s: float,
        done: Callable[[Any], None],
    ) -> None:
        """Call a gateway as `PeerPool.call` does: `done` runs once, at the caller."""
        self.requests_sent += 1
        incarnation = caller.incarnation
        callee = self.gateways[int(address)]
        in_flight = True

        def complete(reply: Any) -> None:
            nonlocal in_flight
            if in_flight and caller.incarnation == incarnation:
                in_flight = False
                done(reply)

        def send_reply(reply: Any) -> None:
            if self.reachable(caller.index, callee.index):
                caller.when_awake(self.now + LINK_S, lambda: complete(reply))

        def deliver() -> None:
            if callee.alive:
                send_reply(callee.serve(request))
            else:
                send_reply(None)

        caller.when_awake(self.now + timeout_s, lambda: complete(None))
        if caller is callee:
            complete(callee.serve(request))
        elif self.reachable(caller.index, callee.index):
            callee.when_awake(self.now + LINK_S, deliver)


class Gateway:
    """One gateway: its state machines and whether its process runs."""

    def __init__(self, fleet: Fleet, index: int) -> None:
        self.fleet = fleet
        self.index = index
        self.incarnation = 0
        self.alive = False
        self.frozen_until = 0.0
        self.serving = True

    def start(self) -> None:
        fleet = self.fleet
        self.incarnation += 1
        self.alive = True
        self.serving = True
        self.member = Member(
            f"edge-{self.index}", str(self.index), 1_000_000 * (100 * self.incarnation + self.index)
        )
        self.ownership = OwnershipView(self.member)
        self.quota_owner = QuotaOwner(fleet.rule, self.member.incarnation, self.member.name)
        self.client = QuotaClient(self.ownership, fleet.rule, self.quota_owner.rate_known_to_others)
        self.retry_owner = RetryBudgetOwner(fleet.retry_window_s, fleet.slack)
        self.retry_client = RetryBudgetClient(self.ownership, fleet.slack)
        self._requests: dict[int, tuple[str, float, float]] = {}
        self._retries: dict[int, str] = {}
        self._last_request_number = 0
        self._wake_at = float("inf")
        self.configure(fleet.limits)
        self.later(fleet.rng.random() * 0.05, self.pull)

    def drain(self) -> None:
        """Drain as after SIGTERM: the gateway leaves the roster and owns no keys."""
        self.serving = False
        self.client.draining = True
        self.pull(schedule_next=False)

    def crash(self) -> None:
        """Crash: all state is lost."""
        self.alive = False
        self.incarnation += 1

    def when_awake(self, when: float, callback: Callback) -> None:
        def run_when_awake() -> None:
            if self.fleet.now < self.frozen_until:
                self.fleet.at(self.frozen_until, run_when_awake)
            else:
                callback()

        self.fleet.at(when, run_when_awake)

    def later(self, delay_s: float, callback: Callback) -> None:
        incarnation = self.incarnation

        def run_when_awake() -> None:
            if self.incarnation == incarnation:
                callback()

        self.when_awake(self.fleet.now + delay_s, run_when_awake)

    def configure(self, limits: dict[str, QuotaLimit]) -> None:
        self.quota_owner.configure(limits, self.fleet.now)
        self.perform(self.client.configure(limits))

    def pull(self, *, schedule_next: bool = True) -> None:
        fleet = self.fleet
        sent_at = fleet.now
        if fleet.reachable(self.index, -1):
            fleet.pull(self.member, serving=self.serving)
            version, roster = fleet.version, fleet.roster
            self.later(2 * LINK_S, lambda: self.pull_reply_received(version, roster, sent_at))
        if schedule_next:
            self.later(PULL_S * fleet.rng.uniform(0.8, 1.2), self.pull)

    def pull_reply_received(self, version: int, roster: tuple[Member, ...], sent_at: float) -> None:
        now = self.fleet.now
        self.ownership.update(version, roster)
        unconfirmed_s = self.ownership.confirm(sent_at, now)
        if unconfirmed_s >= CONFIRMATION_VALID_S:
            self.quota_owner.end_terms()
            self.retry_owner.end_terms(unconfirmed_s)
        tenants = [
            name
            for name in self.fleet.limits
            if self.ownership.owns(quota_client.KEY_PREFIX + name)
        ]
        self.quota_owner.set_owned(tenants, roster, now)
        services = [
            name
            for name in self.fleet.services
            if self.ownership.owns(retry_budget.KEY_PREFIX + name)
        ]
        self.retry_owner.set_owned(services, now)

    def serve(self, request: Any) -> Any:
        now = self.fleet.now
        if isinstance(request, QuotaRequest):
            status = self.ownership.check_request(
                quota_client.KEY_PREFIX + request.tenant, request.fencing_token, now
            )
            if status is ReplyStatus.DECIDED:
                return self.quota_owner.decide(request, now)
            return QuotaReply(status, self.ownership.fencing_token)
        assert isinstance(request, RetryBudgetRequest)
        status = self.ownership.check_request(
            retry_budget.KEY_PREFIX + request.service, request.fencing_token, now
        )
        if status is ReplyStatus.DECIDED:
            return self.retry_owner.decide(request, now)
        return RetryBudgetReply(status, self.ownership.fencing_token, allowed=False)

    def request(self, tenant: str, amount: float) -> None:
        """Send a client's request; it is lost if the process has ended."""
        incarnation = self.incarnation
        arrived_at = self.fleet.now

        def arrive() -> None:
            if self.incarnation == incarnation and self.alive:
                self._last_request_number += 1
                self._requests[self._last_request_number] = (tenant, amount, arrived_at)
                self.perform(
                    self.client.admit(self._last_request_number, tenant, amount, self.fleet.now)
                )

        self.when_awake(self.fleet.now, arrive)

    def retry(self, service: str) -> None:
        if self.alive and self.fleet.now >= self.frozen_until:
            self._last_request_number += 1
            self._retries[self._last_request_number] = service
            self.perform(
                self.retry_client.request(self._last_request_number, service, self.fleet.now)
            )

    def perform(self, effects: Iterable[Any]) -> None:
        fleet = self.fleet
        for effect in effects:
            match effect:
                case QuotaDecided(number, allowed, retry_after_s):
                    tenant, amount, arrived_at = self._requests.pop(number)
                    fleet.decisions.append(
                        Decision(
                            tenant,
                            self.index,
                            amount,
                            arrived_at,
                            fleet.now,
                            allowed,
                            retry_after_s,
                        )
                    )
                case RetryBudgetDecided(number, allowed):
                    service = self._retries.pop(number)
                    if allowed:
                        fleet.retries.append((fleet.now, service))
                case SendQuotaRequest(call, address, quota_request, timeout_s):
                    fleet.call(self, address, quota_request, timeout_s, self._quota_done(call))
                case SendRetryBudgetRequest(number, address, retry_request):
                    fleet.call(self, address, retry_request, 0.1, self._retry_done(number))
                case RefreshRoster():
                    self.later(0.05, lambda: self.pull(schedule_next=False))
        self._schedule()

    def _quota_done(self, call: int) -> Callable[[Any], None]:
        return lambda reply: self.perform(self.client.handle_reply(call, reply, self.fleet.now))

    def _retry_done(self, number: int) -> Callable[[Any], None]:
        return lambda reply: self.perform(
            self.retry_client.handle_reply(number, reply, self.fleet.now)
        )

    def _schedule(self) -> None:
        due = self.client.next_wake_at(self.fleet.now)
        if due < self._wake_at:
            self._wake_at = due
            self.later(max(0.001, due - self.fleet.now), self._wake)

    def _wake(self) -> None:
        self._wake_at = float("inf")
        self.perform(self.client.wake(self.fleet.now))
