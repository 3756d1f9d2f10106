"""Server-sent event streams, without I/O: splitting, and resumption without gaps or duplicates.

An event ends with an empty line (WHATWG HTML, section 9.2.6). Ids are increasing integers.
"""

from __future__ import annotations

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d{1,18})\r?$", re.MULTILINE)
# The start of a line that is not a comment.
_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
# Bytes of an event's end that may already be in the remainder.
_EVENT_END_OVERLAP = 2


class StreamEvent(NamedTuple):
    """One complete event, unmodified.

    `id`: None if absent; `comment`: the event has no fields, only comments or empty lines.
    """

    data: bytes
    id: int | None
    comment: bool


def read_event(data: bytes) -> StreamEvent:
    """Parse `data`, one complete event with its empty line."""
    found = _ID.search(data)
    return StreamEvent(
        data, int(found.group(1)) if found else None, not found and not _FIELD.search(data)
    )


class EventSplitter:
    """Splits a body into complete events. `remainder`: the bytes after the last complete one."""

    def __init__(self) -> None:
        """Start without a remainder."""
        self.remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes."""
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
    """What the client has received of one response's stream, over all attempts."""

    def __init__(self, resume_from: int = 0) -> None:
        """`resume_from`: the client's own `Last-Event-Id`, 0 without one."""
        self.last_id: int | None = None
        self._resume_from = resume_from
        self._max_id_increment = 0  # largest difference between consecutive ids
        # An event without an id was relayed after the last one with an id.
        self._has_event_without_id = False

    @property
    def resumable(self) -> bool:
        """Whether the last id identifies exactly what the client has received."""
        return self.last_id is not None and not self._has_event_without_id

    def record_relayed(self, event: StreamEvent) -> None:
        """Record an event that is relayed."""
        if event.id is None:
            self._has_event_without_id = self._has_event_without_id or not event.comment
            return
        previous_id = self._resume_from if self.last_id is None else self.last_id
        self._max_id_increment = max(self._max_id_increment, event.id - previous_id)
        self.last_id = event.id
        self._has_event_without_id = False

    def leaves_gap(self, event_id: int) -> bool:
        """Whether resuming with this event would skip events.

        Ids may increase in steps, so a step up to the largest one seen is no gap.
        """
        return self.last_id is not None and event_id > self.last_id + max(1, self._max_id_increment)


class StreamFilter:
    """Selects the events of one attempt's stream that are relayed.

    With `resumed`, events that the client has already received are dropped, and a stream that skips
    events sets `gap`.
    """

    def __init__(self, progress: StreamProgress, *, resumed: bool) -> None:
        """Filter one attempt's stream; `resumed` if it continues an interrupted one."""
        self._progress = progress
        self._resumed = resumed
        self._splitter = EventSplitter()
        # In a resumed stream: the latest id belongs to an event that the client has received.
        self._skipping_known_events = False
        # Always True if the stream is not resumed.
        self._has_relayed_new_event = not resumed
        self._pending_comments: list[bytes] = []  # comments before the first event
        self.gap = False
        self.relayed_content = False  # an event with fields was relayed

    @property
    def buffered_bytes(self) -> int:
        """Bytes of incomplete events and of buffered comments."""
        return len(self._splitter.remainder) + sum(map(len, self._pending_comments))

    def feed(self, data: bytes) -> bytes:
        """Return the complete events to relay; comments are buffered until the first event."""
        relayable = self._pending_comments
        for event in self._splitter.feed(data):
            if not self._is_relayed(event):
                if self.gap:
                    break
                continue
            self._progress.record_relayed(event)
            self.relayed_content = self.relayed_content or not event.comment
            relayable.append(event.data)
        if not self.relayed_content:
            return b""
        self._pending_comments = []
        return b"".join(relayable)

    def finish(self) -> bytes:
        """Return the remaining bytes to relay at the regular end of the body."""
        rest = b"" if self._skipping_known_events or self.gap else self._splitter.remainder
        return b"".join(self._pending_comments) + rest

    @property
    def ends_within_event(self) -> bool:
        """Whether the body ends in the middle of an event."""
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
