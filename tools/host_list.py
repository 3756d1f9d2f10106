"""Costs of reading the platform's host list by the number of hosts: duration and processor time.

The reader's schedule runs in simulated time; the response to a call arrives after
`CALL_DURATION_S`.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.controller.host_list_reader import (
    Fetch,
    HostListReader,
    HostsListed,
    Page,
    ReaderEffect,
    SetTimer,
    parse_page,
)
from tools.measure import describe_machine, print_fit, print_table, processor_us
from tools.synthetic_fleet import make_host

if TYPE_CHECKING:
    from collections.abc import Sequence

    from roselink.model.fleet import Host

HOST_COUNTS = (60, 600, 3_000, 12_000)
# Entries per page.
PAGE_SIZE = 50
# Calls per second that the platform permits.
RATE_PER_S = 40.0
# Duration of one call, in seconds.
CALL_DURATION_S = 0.003
REPETITIONS = 30


@dataclass(frozen=True, slots=True)
class HostListCost:
    """Costs of reading the list of one fleet.

    Attributes:
        hosts: number of hosts.
        calls: number of calls of one pass over the list.
        pass_s: duration of a pass, in seconds.
        removal_delay_s: longest time from a host's removal until a published list omits it, in
            seconds.
        parse_us: processor time to parse all pages of a pass, in microseconds.
    """

    hosts: int
    calls: int
    pass_s: float
    removal_delay_s: float
    parse_us: float


def _entry(number: int) -> dict[str, object]:
    host = make_host(number)
    return {
        "id": host.id,
        "service": host.service,
        "address": host.address,
        "zone": host.zone,
        "generation": host.generation,
        "capacity": host.capacity,
        "state": "ready",
        "warmup_left_ms": 0,
        "stage": "dual",
        "models": [{"name": "m", "generation": 1, "adapters": []}],
    }


class SimulatedPlatform:
    """A platform that serves its host list in pages to one reader, in simulated time."""

    def __init__(self, count: int) -> None:
        """Create a list of `count` hosts and start its reader."""
        self.hosts: list[Host] = [make_host(number) for number in range(count)]
        self.now = 0.0
        self.calls = 0
        self._reader = HostListReader(RATE_PER_S, random.Random(1))
        self._effects: list[ReaderEffect] = self._reader.start(0.0, 1)

    def read_next_list(self) -> tuple[Host, ...]:
        """Run until the reader publishes its next list."""
        while True:
            effects = self._effects
            self._effects = []
            listed = [effect for effect in effects if isinstance(effect, HostsListed)]
            for effect in effects:
                if isinstance(effect, Fetch):
                    self.calls += 1
                    self.now += CALL_DURATION_S
                    self._effects += self._reader.fetch_completed(
                        self.now, effect.number, self._page(effect.page_token)
                    )
                elif isinstance(effect, SetTimer):
                    self.now = max(self.now, effect.at)
                    self._effects += self._reader.timer_expired(self.now)
            if listed:
                return listed[-1].hosts

    def _page(self, token: str | None) -> Page:
        first = int(token or 0)
        end = first + PAGE_SIZE
        return Page(tuple(self.hosts[first:end]), (), str(end) if end < len(self.hosts) else None)


def measure(count: int, repetitions: int) -> HostListCost:
    """Measure a list of `count` hosts.

    The removed host is on the first page and is removed right after that page has been read, which
    makes the delay longest.
    """
    platform = SimulatedPlatform(count)
    platform.read_next_list()
    started_at = platform.now
    calls = platform.calls
    platform.read_next_list()
    pass_s = platform.now - started_at
    calls = platform.calls - calls
    removed_host = platform.hosts.pop(0)
    started_at = platform.now
    while removed_host.id in {host.id for host in platform.read_next_list()}:
        pass
    body = json.dumps(
        {"instances": [_entry(number) for number in range(PAGE_SIZE)], "next_page_token": None}
    ).encode()
    pages = -(-count // PAGE_SIZE)
    return HostListCost(
        count,
        calls,
        pass_s,
        platform.now - started_at,
        pages * processor_us(lambda: parse_page(200, body), repetitions),
    )


def main(sizes: Sequence[int] = HOST_COUNTS, repetitions: int = REPETITIONS) -> None:
    """Measure and print each number of hosts."""
    print(describe_machine())
    costs = [measure(count, repetitions) for count in sizes]
    columns = ("hosts", "calls per pass", "pass s", "removal delay s", "parse us per pass")
    print_table(
        f"The platform's list, {PAGE_SIZE} entries per page, {RATE_PER_S} calls per s permitted",
        columns,
        [
            (cost.hosts, cost.calls, cost.pass_s, cost.removal_delay_s, cost.parse_us)
            for cost in costs
        ],
    )
    print_fit("pass", "s", "host", [(cost.hosts, cost.pass_s) for cost in costs])
    print_fit("parsing", "us", "host", [(cost.hosts, cost.parse_us) for cost in costs])


if __name__ == "__main__":
    main()
