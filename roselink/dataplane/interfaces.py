"""What the data plane is given by the rest of the process.

All calls are made on the loop's thread.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.model.configuration import Tenant
    from roselink.model.fleet import Snapshot
    from roselink.routing.events_and_actions import Action, Event


class Decider(Protocol):
    """Which host gets which attempt, and when to give up.

    The driver feeds it, in this order for each request: `RequestArrived`; then `FirstEvent` (of
    each attempt whose events go on, once), `AttemptEnded` and `BudgetDecided` as they come;
    `RequestClosed` once. Each attempt that was requested ends with one `AttemptEnded`, also one
    called off by the close, behind `RequestClosed`.
    """

    def handle(self, now: float, event: Event) -> list[Action]:
        """Give the decider one event; the actions that it asks for."""
        ...


class Authority(Protocol):
    """What is in force here, and whether this gateway may still go by it."""

    def snapshot(self) -> Snapshot | None:
        """What is in force here; None before the first configuration."""
        ...

    def may_use_keys(self) -> bool:
        """Whether the keys of the snapshot are confirmed to be still held."""
        ...

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call `callback` with the snapshot in force, if any, and with each new one."""
        ...


class Quotas(Protocol):
    """The tenants' quotas over all gateways."""

    def admit(self, tenant: Tenant, amount: float, decide: Callable[[bool, float], None]) -> None:
        """Request `amount` requests or tokens.

        `decide(allowed, retry_after_s)` is called once, maybe later.
        """
        ...

    def refund(self, tenant: Tenant, amount: float) -> None:
        """A request that was admitted for `amount` has not run and never will."""
        ...


class SharedBudget(Protocol):
    """The repeats that all gateways share, by service."""

    def request_retry(self, service: str, decide: Callable[[bool], None]) -> None:
        """Ask for one repeat; `decide(allowed)` is called once, now or later."""
        ...
