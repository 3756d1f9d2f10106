"""The parts of a gateway process that other modules bring, as the assembly uses them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from roselink.model.configuration import Tenant
from roselink.model.fleet import Snapshot


class Authority(Protocol):
    """What is in force, and whether keys may be used."""

    def snapshot(self) -> Snapshot | None: ...

    def may_use_keys(self) -> bool: ...

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None: ...


class Quotas(Protocol):
    """Decisions on tenants' quotas: `decide(allowed, retry_after_s)` is called once."""

    def admit(self, tenant: Tenant, amount: float, decide: Callable[[bool, float], None]) -> None: ...


class SharedBudget(Protocol):
    """Decisions on repeats beyond what a service's requests earn: `decide(allowed)` is called once."""

    def ask(self, service: str, decide: Callable[[bool], None]) -> None: ...


class DataPlane(Protocol):
    """What carries the traffic."""

    async def start(self) -> None: ...

    def pool_payoffs(self, payoffs: tuple[tuple[str, float], ...]) -> None: ...

    def begin_drain(self) -> None: ...

    async def drained(self) -> None: ...

    def stop(self) -> None: ...

    def status_line(self) -> str: ...
