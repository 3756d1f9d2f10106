"""Costs of reading the platform's list of hosts, by their number: duration and processor time.

The reader's schedule runs in simulated time; each call has its response after `CALL_DURATION_S`.
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
# Entries of one page.
PAGE_SIZE = 50
# The rate of calls that the platform grants.
RATE_PER_S = 40.0
# The duration of one call, in seconds.
CALL_DURATION_S = 0.003
REPETITIONS = 30


@dataclass(frozen=True, slots=True)
class HostListCost:
    """The costs of one fleet's list.

    Attributes:
        hosts: how many hosts.
        calls: calls of one pass over the list.
        pass_s: the duration of a pass, in seconds.
        removal_delay_s: from a host's end until the published list lacks it, at worst, in seconds.
        parse_us: processor time to parse the pages of a pass, in microseconds.
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
    """A list in pages, and one reader of it in simulated time."""

    def __init__(self, count: int) -> None:
        """Make a list of so many hosts, and start its reader."""
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
    """Measure one fleet's list.

    The host whose end is timed is on the first page, and ends right after that was read.
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
    """Measure and print."""
    print(describe_machine())
    costs = [measure(count, repetitions) for count in sizes]
    columns = ("hosts", "calls a pass", "pass s", "absence shown s", "read us a pass")
    print_table(
        f"The platform's list, {PAGE_SIZE} entries a page, {RATE_PER_S} calls a s told",
        columns,
        [
            (cost.hosts, cost.calls, cost.pass_s, cost.removal_delay_s, cost.parse_us)
            for cost in costs
        ],
    )
    print_fit("pass", "s", "host", [(cost.hosts, cost.pass_s) for cost in costs])
    print_fit("reading", "us", "host", [(cost.hosts, cost.parse_us) for cost in costs])


if __name__ == "__main__":
    main()
