"""Event streams without I/O: complete events, and resumed streams without gap or repeat.

An event ends with an empty line (WHATWG HTML, section 9.2.6). Ids are whole numbers that rise.
"""

from __future__ import annotations

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d{1,18})\r?$", re.MULTILINE)
# A line that is no comment.
_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
# Bytes of an end that may have come before.
_EVENT_END_OVERLAP = 2


class StreamEvent(NamedTuple):
    """One complete event as it came.

    `id`: None where it has none; `comment`: it has no field at all.
    """

    data: bytes
    id: int | None
    comment: bool


def read_event(data: bytes) -> StreamEvent:
    """The event in `data`, its empty line included."""
    found = _ID.search(data)
    return StreamEvent(
        data, int(found.group(1)) if found else None, not found and not _FIELD.search(data)
    )


class EventSplitter:
    """Cuts a body into complete events. `remainder`: the bytes behind the last whole one."""

    def __init__(self) -> None:
        """Start without a remainder."""
        self.remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """The events that `data` completes."""
        search_from = max(0, len(self.remainder) - _EVENT_END_OVERLAP)
        buffer = self.remainder + data
        events = []
        start = 0
        while found := _EVENT_END.search(buffer, search_from):
            events.append(read_event(buffer[start : found.end()]))
            start = search_from = found.end()
        self.remainder = buffer[start:]
        return events


class StreamProgress:
    """What of one response's stream went on to the client, over all its attempts."""

    def __init__(self, resume_from: int = 0) -> None:
        """`resume_from`: the client's own `Last-Event-Id`, 0 without one."""
        self.last_id: int | None = None
        self._resume_from = resume_from
        self._max_id_increment = 0  # the widest step from one id to the next
        # An event without id went on behind the last one with an id.
        self._has_event_without_id = False

    @property
    def resumable(self) -> bool:
        """Whether an id tells exactly what the client has."""
        return self.last_id is not None and not self._has_event_without_id

    def record_relayed(self, event: StreamEvent) -> None:
        """Note an event that goes on."""
        if event.id is None:
            self._has_event_without_id = self._has_event_without_id or not event.comment
            return
        previous_id = self._resume_from if self.last_id is None else self.last_id
        self._max_id_increment = max(self._max_id_increment, event.id - previous_id)
        self.last_id = event.id
        self._has_event_without_id = False

    def leaves_gap(self, event_id: int) -> bool:
        """Whether an event that is next in a resumed stream leaves some out."""
        return self.last_id is not None and event_id > self.last_id + max(1, self._max_id_increment)


class StreamFilter:
    """One attempt's stream on its way: what of it goes on.

    With `resumed`, events that the client has are left out, and a stream that leaves some out sets
    `gap`.
    """

    def __init__(self, progress: StreamProgress, *, resumed: bool) -> None:
        """Filter one attempt's stream; `resumed` if it takes up one that broke."""
        self._progress = progress
        self._resumed = resumed
        self._splitter = EventSplitter()
        self._skipping_known_events = (
            False  # in a resumed stream: behind an event that the client has
        )
        self._has_relayed_new_event = not resumed  # its first new event has gone on
        self._pending_comments: list[bytes] = []  # comments ahead of the first event
        self.gap = False
        self.relayed_content = False  # an event with content went on

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait for the rest of their event."""
        return len(self._splitter.remainder) + sum(map(len, self._pending_comments))

    def feed(self, data: bytes) -> bytes:
        """The complete events in `data` that go on now. Comments wait for the first event."""
        relayed = self._pending_comments
        for event in self._splitter.feed(data):
            if not self._is_relayed(event):
                if self.gap:
                    break
                continue
            self._progress.record_relayed(event)
            self.relayed_content = self.relayed_content or not event.comment
            relayed.append(event.data)
        if not self.relayed_content:
            return b""
        self._pending_comments = []
        return b"".join(relayed)

    def finish(self) -> bytes:
        """What is left at the proper end of the body."""
        rest = b"" if self._skipping_known_events or self.gap else self._splitter.remainder
        return b"".join(self._pending_comments) + rest

    @property
    def ends_within_event(self) -> bool:
        """Whether the body stops within an event."""
        return bool(self._splitter.remainder.strip())

    def _is_relayed(self, event: StreamEvent) -> bool:
        if not self._resumed:
            return True
        if event.id is None:
            return not self._skipping_known_events and (
                self._has_relayed_new_event or not event.comment
            )
        last_id = self._progress.last_id
        self._skipping_known_events = last_id is not None and event.id <= last_id
        if self._skipping_known_events:
            return False
        if not self._has_relayed_new_event and self._progress.leaves_gap(event.id):
            self.gap = True
            return False
        self._has_relayed_new_event = True
        return True
