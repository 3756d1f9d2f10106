"""Costs of the decider by the number of hosts: requests, host replacements and memory.

A request is a stream on a route with session affinity: arrival, first event, end. A replacement is
a host list in which one host differs, and the first request to that host's service, which rebuilds
the service's hash ring.
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
from tools.measure import describe_machine, heap_bytes, print_fit, print_table, processor_us
from tools.synthetic_fleet import (
    MODEL_COUNT,
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

HOST_COUNTS = (60, 600, 3_000, 12_000)
REQUESTS = 3_000
REPLACEMENTS = 6
# Number of distinct prompts that requests share.
SHARED_PROMPTS = 500
# Numbers of hosts tracked for each prompt segment.
HOSTS_PER_SEGMENT = (1, 4, 16)
# Simulated time between two requests, in seconds: 28 requests per second.
REQUEST_INTERVAL_S = 0.035

REQUEST_FACTS = RequestFacts(
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
class DeciderCost:
    """Processor times in microseconds and heap size at one number of hosts."""

    hosts: int
    request_us: float
    replacement_us: float
    ring_us: float
    heap_bytes: int


class SimulatedLoad:
    """One decider that receives requests in simulated time."""

    def __init__(self, services: tuple[Service, ...]) -> None:
        """Create a decider without hosts."""
        self.decider = FleetDecider("zone-00", 1, 0.2, 10.0)
        self._services = services
        self._numbers = itertools.count(1)
        self._now = 0.0

    def update_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Replace the decider's list of hosts."""
        self.decider.handle(self._now, TopologyChanged(hosts, self._services))

    def request(self, service: str | None = None) -> None:
        """Handle one request from arrival to end.

        Raises:
            MeasurementError: the decider sent no attempt.
        """
        number = next(self._numbers)
        self._now += REQUEST_INTERVAL_S
        prompt_number = number * 7919 % SHARED_PROMPTS
        prompt_segments = (
            PromptSegment(f"{prompt_number % 20:08x}", 800),
            PromptSegment(f"s{prompt_number:07x}", 410),
        )
        facts = replace(
            REQUEST_FACTS,
            number=number,
            service=service or service_name(number % MODEL_COUNT),
            route=f"r-{number % 50}",
            arrived_at=self._now,
            deadline=self._now + 5.0,
            prompt=(*prompt_segments, PromptSegment(f"n{number:07x}", 250)),
        )
        actions = self.decider.handle(self._now, RequestArrived(facts))
        if not any(isinstance(action, SendAttempt) for action in actions):
            raise MeasurementError("request", actions)
        self.decider.handle(self._now + 0.01, FirstEvent(number, 0))
        ended = AttemptEnded(number, 0, Outcome.SUCCESS, 0.02, progressed=True)
        self.decider.handle(self._now + 0.02, ended)


def measure(count: int, requests: int, replacements: int) -> DeciderCost:
    """Measure the costs with `count` hosts."""
    services = make_configuration(1, 1).services
    hosts = make_hosts(count)
    load = SimulatedLoad(services)
    load.update_hosts(hosts)
    for _ in range(max(MODEL_COUNT, requests // 10)):
        load.request()
    request_us = processor_us(load.request, requests)
    host_lists = itertools.cycle(
        [replace_host(hosts, 0, start) for start in range(1, 2 * replacements)]
    )

    def replace_one() -> None:
        load.update_hosts(next(host_lists))
        load.request(service_name(0))

    replacement_us = processor_us(replace_one, replacements)
    # Different host ids, whose hashes are not cached yet.
    uncached_hosts = tuple(make_host(number, count % 65_000 + 500) for number in range(count))
    ids = [host.id for host in hosts if host.service == service_name(0)]
    return DeciderCost(
        count,
        request_us,
        replacement_us - request_us,
        processor_us(lambda: HashRing(ids), replacements),
        heap_bytes(lambda: _load_all_services(uncached_hosts, services)),
    )


def _load_all_services(hosts: tuple[Host, ...], services: tuple[Service, ...]) -> SimulatedLoad:
    load = SimulatedLoad(services)
    load.update_hosts(hosts)
    for number in range(MODEL_COUNT):
        load.request(service_name(number))
    return load


def prefix_cache_tracker_bytes(hosts_per_segment: int, prompt_segments: int) -> int:
    """Measure a `PrefixCacheTracker` of this many segments, each with this many hosts."""

    def build() -> PrefixCacheTracker:
        tracker = PrefixCacheTracker()
        host_ids = [make_host(number).id for number in range(hosts_per_segment)]
        for number in range(prompt_segments):
            for host_id in host_ids:
                tracker.record_prefill(
                    host_id, (PromptSegment(f"{number:08x}", 400),), float(number)
                )
        return tracker

    return heap_bytes(build)


def main(
    sizes: Sequence[int] = HOST_COUNTS,
    requests: int = REQUESTS,
    replacements: int = REPLACEMENTS,
    prompt_segments: int = MAX_TRACKED_SEGMENTS,
) -> list[DeciderCost]:
    """Measure and print each number of hosts, then the prefix cache tracker."""
    print(describe_machine())
    costs = [measure(count, requests, replacements) for count in sizes]
    rows = [
        (cost.hosts, cost.request_us, cost.replacement_us, cost.ring_us, cost.heap_bytes)
        for cost in costs
    ]
    print_table(
        "Decider",
        ("hosts", "request us", "replacement us", "hash ring of one service us", "heap bytes"),
        rows,
    )
    print_fit("request", "us", "host", [(cost.hosts, cost.request_us) for cost in costs])
    print_fit("replacement", "us", "host", [(cost.hosts, cost.replacement_us) for cost in costs])
    print_fit("memory", "bytes", "host", [(cost.hosts, cost.heap_bytes) for cost in costs])
    tracker_sizes = [
        (hosts_per_segment, prefix_cache_tracker_bytes(hosts_per_segment, prompt_segments))
        for hosts_per_segment in HOSTS_PER_SEGMENT
    ]
    print_table(
        "Full prefix cache tracker",
        ("hosts per segment", "segments", "bytes"),
        [(hosts_per_segment, prompt_segments, size) for hosts_per_segment, size in tracker_sizes],
    )
    print_fit(
        "prefix cache tracker",
        "bytes",
        "host per segment",
        [(hosts_per_segment, size) for hosts_per_segment, size in tracker_sizes],
    )
    return costs


if __name__ == "__main__":
    main()
