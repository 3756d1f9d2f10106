"""Costs of reading the platform's list of hosts, by their number: duration and processor time.

The reader's schedule runs in simulated time; each call has its response after `CALL_S`.
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
from tools.measure import machine, processor_us, show, show_line
from tools.synthetic_fleet import make_host

if TYPE_CHECKING:
    from collections.abc import Sequence

    from roselink.model.fleet import Host

HOSTS = (60, 600, 3_000, 12_000)
# Entries of one page.
PAGE = 50
# The rate of calls that the platform grants.
RATE_PER_S = 40.0
# The duration of one call, in seconds.
CALL_S = 0.003
TIMES = 30


@dataclass(frozen=True, slots=True)
class Cost:
    """The costs of one fleet's list.

    Attributes:
        hosts: how many hosts.
        calls: calls of one pass over the list.
        pass_s: the duration of a pass, in seconds.
        shown_s: from a host's end until the published list lacks it, at worst, in seconds.
        read_us: processor time to parse the pages of a pass, in microseconds.
    """

    hosts: int
    calls: int
    pass_s: float
    shown_s: float
    read_us: float


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


class Platform:
    """A list in pages, and one reader of it in simulated time."""

    def __init__(self, count: int) -> None:
        """Make a list of so many hosts, and start its reader."""
        self.hosts: list[Host] = [make_host(number) for number in range(count)]
        self.now = 0.0
        self.calls = 0
        self._reader = HostListReader(RATE_PER_S, random.Random(1))
        self._effects: list[ReaderEffect] = self._reader.start(0.0, 1)

    def next_list(self) -> tuple[Host, ...]:
        """Run until the reader publishes its next list."""
        while True:
            effects = self._effects
            self._effects = []
            listed = [effect for effect in effects if isinstance(effect, HostsListed)]
            for effect in effects:
                if isinstance(effect, Fetch):
                    self.calls += 1
                    self.now += CALL_S
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
        rest = first + PAGE
        return Page(
            tuple(self.hosts[first:rest]), (), str(rest) if rest < len(self.hosts) else None
        )


def measure(count: int, times: int) -> Cost:
    """Measure one fleet's list.

    The host whose end is timed is on the first page, and ends right after that was read.
    """
    platform = Platform(count)
    platform.next_list()
    began = platform.now
    calls = platform.calls
    platform.next_list()
    pass_s = platform.now - began
    calls = platform.calls - calls
    ended = platform.hosts.pop(0)
    began = platform.now
    while ended.id in {host.id for host in platform.next_list()}:
        pass
    body = json.dumps(
        {"instances": [_entry(number) for number in range(PAGE)], "next_page_token": None}
    ).encode()
    pages = -(-count // PAGE)
    return Cost(
        count,
        calls,
        pass_s,
        platform.now - began,
        pages * processor_us(lambda: parse_page(200, body), times),
    )


def main(sizes: Sequence[int] = HOSTS, times: int = TIMES) -> None:
    """Measure and print."""
    print(machine())
    costs = [measure(count, times) for count in sizes]
    columns = ("hosts", "calls a pass", "pass s", "absence shown s", "read us a pass")
    show(
        f"The platform's list, {PAGE} entries a page, {RATE_PER_S} calls a s told",
        columns,
        [(c.hosts, c.calls, c.pass_s, c.shown_s, c.read_us) for c in costs],
    )
    show_line("pass", "s", "host", [(c.hosts, c.pass_s) for c in costs])
    show_line("reading", "us", "host", [(c.hosts, c.read_us) for c in costs])


if __name__ == "__main__":
    main()
