"""Requests that come before this gateway has its first configuration and its first host.

A client that is refused comes back once or twice; where all gateways have started together, the core too, it
is refused again before any of them can say more. So requests wait here, for a part of their client's time,
and are decided in the order in which they came as soon as there is something to decide by. This ends for good
with the first configuration that comes with a host.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from roselink.dataplane.admission import DEFAULT_DEADLINE_S
from roselink.dataplane.exchange import ClientAnswer, Exchange
from roselink.dataplane.requests import ProxyRequest

WAIT_MOST_S = 1.0
WAIT_PART = 1 / 3  # of the client's time: what is left is worth another try elsewhere

Decide = Callable[[ProxyRequest, ClientAnswer], Exchange | None]


class Arrival:
    """One request that waits. `exchange`: what became of it; None while it waits, and if it was refused."""

    def __init__(self, request: ProxyRequest, client: ClientAnswer) -> None:
        self.request, self.client = request, client
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None

    def client_ready(self) -> None:
        """The client takes parts again."""
        if self.exchange is not None:
            self.exchange.client_ready()


class Arrivals:
    """All that wait, in order. `decide` admits or refuses one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, decide: Decide) -> None:
        self._loop, self._decide = loop, decide
        self._waiting: dict[Arrival, None] = {}
        self.over = False  # nothing waits any more
        self.body_bytes = 0  # of all that wait

    def add(self, request: ProxyRequest, client: ClientAnswer) -> Arrival:
        """Have a request wait."""
        arrival = Arrival(request, client)
        self._waiting[arrival] = None
        self.body_bytes += len(request.body)
        time_s = DEFAULT_DEADLINE_S if request.deadline_s is None else request.deadline_s
        until = request.since + min(WAIT_MOST_S, WAIT_PART * time_s)
        arrival.timer = self._loop.call_at(until, self._end, arrival)
        return arrival

    def end(self) -> None:
        """Decide all that wait, and whatever comes from now on at once."""
        self.over = True
        for arrival in list(self._waiting):
            self._end(arrival)

    def forget(self, arrival: Arrival) -> Exchange | None:
        """It waits no more: its client has gone, or it is decided. Returns what has become of it, if it was
        admitted."""
        if arrival in self._waiting:
            del self._waiting[arrival]
            self.body_bytes -= len(arrival.request.body)
        if arrival.timer is not None:
            arrival.timer.cancel()
            arrival.timer = None
        return arrival.exchange

    def _end(self, arrival: Arrival) -> None:
        if arrival not in self._waiting:
            return  # its client left while others were decided
        self.forget(arrival)
        arrival.exchange = self._decide(arrival.request, arrival.client)
