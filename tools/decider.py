"""Costs of the decider by the number of hosts: a request, a replaced host, and memory.

A request is a stream on a route with affinity: arrival, first event, end. A replacement is a new
list with one other host, and the first request to its service after it, which builds that service's
ring.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from roselink.routing.affinity import MAX_TRACKED_SEGMENTS, PrefixCacheTracker
from roselink.routing.events_and_actions import (
    AttemptEnded,
    FirstEvent,
    PromptSegment,
    RequestArrived,
    RequestFacts,
    SendAttempt,
    TopologyChanged,
)
from roselink.routing.fleet_decider import FleetDecider
from roselink.routing.outcome import Outcome
from roselink.routing.ring import HashRing
from tools.exceptions import MeasurementError
from tools.measure import heap_bytes, machine, processor_us, show, show_line
from tools.synthetic_fleet import (
    MODELS,
    make_configuration,
    make_host,
    make_hosts,
    replace_host,
    service_name,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from roselink.model.configuration import Service
    from roselink.model.fleet import Host

HOSTS = (60, 600, 3_000, 12_000)
REQUESTS = 3_000
CHANGES = 6
# How many different prompts requests share.
SUBJECTS = 500
# How many hosts are remembered for each part of a prompt.
HOLDERS = (1, 4, 16)
# Between two requests, in seconds: 28 a second.
REQUEST_INTERVAL_S = 0.035

FACTS = RequestFacts(
    number=0,
    route="r",
    service="",
    repeatable=True,
    streaming=True,
    arrived_at=0.0,
    deadline=0.0,
    target_latency_s=1.2,
    max_attempts=2,
    priority=0,
    affinity=True,
    prompt=(),
    tokens_in=1460,
    tokens_out=430,
)


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor time in microseconds, memory in bytes on the heap."""

    hosts: int
    request_us: float
    change_us: float
    ring_us: float
    memory: int


class Load:
    """Requests at one decider in simulated time."""

    def __init__(self, services: tuple[Service, ...]) -> None:
        """Make a decider that knows no hosts."""
        self.decider = FleetDecider("zone-00", 1, 0.2, 10.0)
        self._services = services
        self._numbers = itertools.count(1)
        self._now = 0.0

    def list_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Give the decider a new list of hosts."""
        self.decider.handle(self._now, TopologyChanged(hosts, self._services))

    def request(self, service: str | None = None) -> None:
        """Handle one request from its arrival to its end.

        Raises:
            MeasurementError: the decider sent no attempt.
        """
        number = next(self._numbers)
        self._now += REQUEST_INTERVAL_S
        subject = number * 7919 % SUBJECTS
        parts = (PromptSegment(f"{subject % 20:08x}", 800), PromptSegment(f"s{subject:07x}", 410))
        facts = replace(
            FACTS,
            number=number,
            service=service or service_name(number % MODELS),
            route=f"r-{number % 50}",
            arrived_at=self._now,
            deadline=self._now + 5.0,
            prompt=(*parts, PromptSegment(f"n{number:07x}", 250)),
        )
        sent = self.decider.handle(self._now, RequestArrived(facts))
        if not any(isinstance(action, SendAttempt) for action in sent):
            raise MeasurementError("request", sent)
        self.decider.handle(self._now + 0.01, FirstEvent(number, 0))
        ended = AttemptEnded(number, 0, Outcome.SUCCESS, 0.02, progressed=True)
        self.decider.handle(self._now + 0.02, ended)


def measure(count: int, requests: int, changes: int) -> Cost:
    """Measure the costs at one number of hosts."""
    services = make_configuration(1, 1).services
    hosts = make_hosts(count)
    load = Load(services)
    load.list_hosts(hosts)
    for _ in range(max(MODELS, requests // 10)):
        load.request()
    request_us = processor_us(load.request, requests)
    lists = itertools.cycle([replace_host(hosts, 0, start) for start in range(1, 2 * changes)])

    def change() -> None:
        load.list_hosts(next(lists))
        load.request(service_name(0))

    change_us = processor_us(change, changes)
    # Hosts whose hashes are not cached.
    fresh = tuple(make_host(number, count % 65_000 + 500) for number in range(count))
    ids = [host.id for host in hosts if host.service == service_name(0)]
    return Cost(
        count,
        request_us,
        change_us - request_us,
        processor_us(lambda: HashRing(ids), changes),
        heap_bytes(lambda: _filled(fresh, services)),
    )


def _filled(hosts: tuple[Host, ...], services: tuple[Service, ...]) -> Load:
    load = Load(services)
    load.list_hosts(hosts)
    for number in range(MODELS):
        load.request(service_name(number))
    return load


def prompt_memory(holders: int, parts: int) -> int:
    """Measure the bytes of a memory of prompts with so many hosts for each of its parts."""

    def build() -> PrefixCacheTracker:
        memory = PrefixCacheTracker()
        names = [make_host(number).id for number in range(holders)]
        for number in range(parts):
            for name in names:
                memory.record_prefill(name, (PromptSegment(f"{number:08x}", 400),), float(number))
        return memory

    return heap_bytes(build)


def main(
    sizes: Sequence[int] = HOSTS,
    requests: int = REQUESTS,
    changes: int = CHANGES,
    parts: int = MAX_TRACKED_SEGMENTS,
) -> list[Cost]:
    """Measure and print."""
    print(machine())
    costs = [measure(count, requests, changes) for count in sizes]
    rows = [(c.hosts, c.request_us, c.change_us, c.ring_us, c.memory) for c in costs]
    show(
        "Decider",
        ("hosts", "request us", "replacement us", "ring of 1 of 4 us", "heap bytes"),
        rows,
    )
    show_line("request", "us", "host", [(c.hosts, c.request_us) for c in costs])
    show_line("replacement", "us", "host", [(c.hosts, c.change_us) for c in costs])
    show_line("memory", "bytes", "host", [(c.hosts, c.memory) for c in costs])
    memories = [(holders, prompt_memory(holders, parts)) for holders in HOLDERS]
    show(
        "Memory of prompts, full",
        ("hosts a part", "parts", "bytes"),
        [(h, parts, b) for h, b in memories],
    )
    show_line(
        "memory of prompts", "bytes", "host a part", [(holders, size) for holders, size in memories]
    )
    return costs


if __name__ == "__main__":
    main()
