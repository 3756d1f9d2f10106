"""Costs of event streams: splitting, recording and forwarding, without sockets and timers.

Each read of the socket returns a number of events of one stream. One event per read is the usual
case, since a model generates tokens one by one.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.dataplane.event_streams import StreamFilter, StreamProgress
from tools.measure import describe_machine, print_fit, print_table, processor_us

if TYPE_CHECKING:
    from collections.abc import Sequence

EVENTS_PER_READ = (1, 4, 16, 64)
READ_COUNT = 2_000


@dataclass(frozen=True, slots=True)
class StreamCost:
    """Processor times of one read and of each of its events, in microseconds."""

    events: int
    read_us: float
    event_us: float


def make_event(number: int) -> bytes:
    """Return an event with a few tokens."""
    return b"id: %d\ndata: token token token token token %d\n\n" % (number, number)


def measure(events: int, reads: int) -> StreamCost:
    """Measure reads that return `events` events each."""
    stream = StreamFilter(StreamProgress(), resumed=False)
    data = [
        b"".join(make_event(read * events + index + 1) for index in range(events))
        for read in range(reads)
    ]
    # Since the stream is not resumed, a repeated event costs the same as a new one.
    repeated_reads = itertools.cycle(data)
    read_us = processor_us(lambda: stream.feed(next(repeated_reads)), reads)
    return StreamCost(events, read_us, read_us / events)


def main(sizes: Sequence[int] = EVENTS_PER_READ, reads: int = READ_COUNT) -> None:
    """Measure and print each number of events per read."""
    print(describe_machine())
    costs = [measure(count, reads) for count in sizes]
    rows = [(cost.events, cost.read_us, cost.event_us) for cost in costs]
    print_table(
        "Event streams, split and forwarded", ("events per read", "read us", "event us"), rows
    )
    print_fit("read", "us", "event", [(cost.events, cost.read_us) for cost in costs])


if __name__ == "__main__":
    main()
