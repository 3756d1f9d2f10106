"""What the assembly of a gateway process uses of the decider and of the data plane."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence


class Decider(Protocol):
    """The decisions on each request: host choice, retries and hedges."""

    def take_unreported_outcomes(self) -> Sequence[tuple[str, int, int]]:
        """Return the outcomes since the last call, for the other gateways.

        Each entry has a host, how many attempts succeeded in time, and how many did not.
        """
        ...


class DataPlane(Protocol):
    """Carries the traffic of one gateway, from its listeners to the hosts."""

    async def start(self) -> None:
        """Listen for clients.

        Raises:
            OSError: an address cannot be bound.
        """
        ...

    def pool_payoffs(self, payoffs: tuple[tuple[str, float], ...]) -> None:
        """Take over the payoffs (0 to 1) of hosts over all gateways."""
        ...

    def begin_drain(self) -> None:
        """Take no new requests."""
        ...

    async def drained(self) -> None:
        """Return when no request is in flight any more."""
        ...

    def stop(self) -> None:
        """Close all connections."""
        ...

    def status_line(self) -> str:
        """Return the counters since the start, as `key=value` for the log."""
        ...
