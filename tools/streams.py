"""Costs of event streams: splitting, recording and forwarding, without sockets and timers.

One read of the socket brings a number of events of one stream. A read that brings one event is the
usual case where a model makes tokens one by one.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.dataplane.event_streams import StreamFilter, StreamProgress
from tools.measure import machine, processor_us, show, show_line

if TYPE_CHECKING:
    from collections.abc import Sequence

EVENTS_PER_READ = (1, 4, 16, 64)
READS = 2_000


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of one read, and of each of its events, in microseconds."""

    events: int
    read_us: float
    event_us: float


def event(number: int) -> bytes:
    """One event of some tokens."""
    return b"id: %d\ndata: token token token token token %d\n\n" % (number, number)


def measure(events: int, reads: int) -> Cost:
    """Measure reads of so many events each."""
    stream = StreamFilter(StreamProgress(), resumed=False)
    data = [
        b"".join(event(read * events + index + 1) for index in range(events))
        for read in range(reads)
    ]
    # A repeated event costs the same as a new one, since this stream was not resumed.
    reads_in_turn = itertools.cycle(data)
    read_us = processor_us(lambda: stream.feed(next(reads_in_turn)), reads)
    return Cost(events, read_us, read_us / events)


def main(sizes: Sequence[int] = EVENTS_PER_READ, reads: int = READS) -> None:
    """Measure and print."""
    print(machine())
    costs = [measure(count, reads) for count in sizes]
    rows = [(c.events, c.read_us, c.event_us) for c in costs]
    show("Event streams, cut and passed on", ("events a read", "read us", "event us"), rows)
    show_line("read", "us", "event", [(c.events, c.read_us) for c in costs])


if __name__ == "__main__":
    main()
