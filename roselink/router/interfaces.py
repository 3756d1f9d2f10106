"""Interfaces of the decider and the data plane that the gateway process uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence


class Decider(Protocol):
    """The decisions on each request: host choice, retries and hedges."""

    def take_unreported_outcomes(self) -> Sequence[tuple[str, int, int]]:
        """Return the outcomes since the last call, to report them to the other gateways.

        Each entry has a host, its number of attempts within the target latency, and of others.
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

    def set_pooled_payoffs(self, payoffs: tuple[tuple[str, float], ...]) -> None:
        """Set the payoffs (0 to 1) of hosts, pooled over all gateways."""
        ...

    def begin_drain(self) -> None:
        """Stop accepting new requests."""
        ...

    async def drained(self) -> None:
        """Return once no request is in flight."""
        ...

    def stop(self) -> None:
        """Close all connections."""
        ...

    def status_line(self) -> str:
        """Return the counters since the start, as `key=value` pairs for the log."""
        ...
