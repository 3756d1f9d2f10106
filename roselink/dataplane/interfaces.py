"""Interfaces that the rest of the process implements for the data plane.

All calls are made on the event loop's thread.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.model.configuration import Tenant
    from roselink.model.fleet import Snapshot
    from roselink.routing.events_and_actions import Action, Event


class Decider(Protocol):
    """Chooses the host of each attempt and decides when to give up.

    For each request the driver passes, in this order: `RequestArrived`; then `FirstEvent` (once for
    each attempt whose events are relayed), `AttemptEnded` and `BudgetDecided` as they occur; then
    `RequestClosed` once. Each requested attempt ends with one `AttemptEnded`, which follows
    `RequestClosed` if closing the request cancelled the attempt.
    """

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions to perform."""
        ...


class Authority(Protocol):
    """The snapshot in force and whether its API keys may still be used."""

    def snapshot(self) -> Snapshot | None:
        """The snapshot in force; None before the first configuration."""
        ...

    def may_use_keys(self) -> bool:
        """Whether the API keys of the snapshot are confirmed as still valid."""
        ...

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call `callback` with the snapshot in force, if any, and with each new one."""
        ...


class Quotas(Protocol):
    """Quotas of the tenants, shared by all gateways."""

    def admit(self, tenant: Tenant, amount: float, decide: Callable[[bool, float], None]) -> None:
        """Request admission for `amount` requests or tokens.

        `decide(allowed, retry_after_s)` is called once, now or later.
        """
        ...

    def refund(self, tenant: Tenant, amount: float) -> None:
        """Return `amount` of an admitted request that has not run and never will."""
        ...


class SharedBudget(Protocol):
    """Retry budget per service, shared by all gateways."""

    def request_retry(self, service: str, decide: Callable[[bool], None]) -> None:
        """Request one retry; `decide(allowed)` is called once, now or later."""
        ...
