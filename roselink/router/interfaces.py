"""The data plane as the assembly of a gateway process uses it."""

from __future__ import annotations

from typing import Protocol


class DataPlane(Protocol):
    """What carries the traffic."""

    async def start(self) -> None: ...

    def pool_payoffs(self, payoffs: tuple[tuple[str, float], ...]) -> None: ...

    def begin_drain(self) -> None: ...

    async def drained(self) -> None: ...

    def stop(self) -> None: ...

    def status_line(self) -> str: ...
