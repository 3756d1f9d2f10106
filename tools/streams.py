"""Event streams: what cutting, noting and passing on costs per event, without sockets, framing or
timers.

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

EVENTS_A_READ = (1, 4, 16, 64)
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
    """Reads of so many events each."""
    stream = StreamFilter(StreamProgress(), resumed=False)
    data = [
        b"".join(event(at * events + place + 1) for place in range(events)) for at in range(reads)
    ]
    left = itertools.cycle(
        data
    )  # an event that comes again costs the same: this stream was not resumed
    read_us = processor_us(lambda: stream.feed(next(left)), reads)
    return Cost(events, read_us, read_us / events)


def main(sizes: Sequence[int] = EVENTS_A_READ, reads: int = READS) -> None:
    """Measure and print."""
    print(machine())
    costs = [measure(count, reads) for count in sizes]
    rows = [(c.events, c.read_us, c.event_us) for c in costs]
    show("Event streams, cut and passed on", ("events a read", "read us", "event us"), rows)
    show_line("read", "us", "event", [(c.events, c.read_us) for c in costs])


if __name__ == "__main__":
    main()
