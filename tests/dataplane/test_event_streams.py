"""Event streams without I/O: splitting, and resumption without gaps or duplicates."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roselink.dataplane.event_streams import EventSplitter, StreamFilter, StreamProgress, read_event


@pytest.mark.parametrize(
    ("body", "events", "remainder"),
    [
        (b"", [], b""),
        (b"data: a\n\n", [b"data: a\n\n"], b""),
        (b"data: a\r\n\r\nid: 1\r\n\r\n", [b"data: a\r\n\r\n", b"id: 1\r\n\r\n"], b""),
        (b"data: a\r\n\ndata: b\n\r\n", [b"data: a\r\n\n", b"data: b\n\r\n"], b""),
        (b"data: a\n", [], b"data: a\n"),
        (b"data: a\r\n\r", [], b"data: a\r\n\r"),
        (b"a: 1\n\n\nb: 2\n\n", [b"a: 1\n\n", b"\nb: 2\n\n"], b""),
        (b"a: 1\n\nhalf", [b"a: 1\n\n"], b"half"),
    ],
)
@pytest.mark.parametrize("step", [1, 2, 3, 100])
def test_splitter_returns_complete_events_for_any_chunking(
    body: bytes, events: list[bytes], remainder: bytes, step: int
) -> None:
    splitter, got = EventSplitter(), list[bytes]()
    for start in range(0, len(body), step):
        got += [event.data for event in splitter.feed(body[start : start + step])]
    assert (got, splitter.remainder) == (events, remainder)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from([b"id: 1", b"\n", b"\r\n", b"data: x", b"\r", b":"]), max_size=12),
    st.integers(1, 5),
)
def test_splitter_preserves_all_bytes(parts: list[bytes], step: int) -> None:
    body, splitter, got = b"".join(parts), EventSplitter(), b""
    for start in range(0, len(body), step):
        got += b"".join(event.data for event in splitter.feed(body[start : start + step]))
    assert got + splitter.remainder == body
    at_once = EventSplitter()
    assert b"".join(event.data for event in at_once.feed(body)) == got


@pytest.mark.parametrize(
    ("data", "number", "comment"),
    [
        (b"id: 12\ndata: x\n\n", 12, False),
        (b"versions: 3\nid:7\r\ndata: x\n\n", 7, False),
        (b"data: id: 9\n\n", None, False),
        (b"id: x\n\n", None, False),
        (b"id: 1 2\n\n", None, False),
        (b": id: 3\n\n", None, True),
        (b"\n\n", None, True),
    ],
)
def test_read_event_parses_id_and_comment(data: bytes, number: int | None, comment: bool) -> None:
    event = read_event(data)
    assert (event.id, event.comment) == (number, comment)


def numbered(*ids: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in ids)


UNNUMBERED, COMMENT = b"data: end\n\n", b": still there\n\n"


@pytest.mark.parametrize(
    ("before", "resumed", "relayed", "gap"),
    [
        (numbered(1, 2), numbered(3, 4), numbered(3, 4), False),
        (numbered(1, 2), numbered(1, 2, 3), numbered(3), False),
        (numbered(1, 2), numbered(4), b"", True),
        (numbered(1, 2), numbered(2, 4), b"", True),
        (numbered(1), numbered(3), b"", True),
        (numbered(5, 10), numbered(15, 18), numbered(15, 18), False),  # ids grow by 5
        (numbered(5, 10), numbered(12), numbered(12), False),  # a smaller step is no gap
        (numbered(5, 10), numbered(16), b"", True),
        (numbered(0, 1), numbered(2), numbered(2), False),
        (
            numbered(1, 2),
            numbered(3, 7),
            numbered(3, 7),
            False,
        ),  # only the gap before the first new event counts
        (numbered(1, 2), UNNUMBERED, UNNUMBERED, False),
        (numbered(1, 2), numbered(1) + UNNUMBERED + numbered(2, 3), numbered(3), False),
        (numbered(1, 2), COMMENT + numbered(3) + COMMENT, numbered(3) + COMMENT, False),
        (numbered(1, 2), b"", b"", False),
        (
            numbered(1, 2),
            numbered(1) + b"data: half",
            b"",
            False,
        ),  # remainder of an event that the client has received
        (numbered(1, 2), numbered(3) + b"data: half", numbered(3) + b"data: half", False),
    ],
)
@pytest.mark.parametrize("step", [1, 1000])
def test_resumed_stream_drops_duplicates_and_reports_gaps(
    before: bytes, resumed: bytes, relayed: bytes, gap: bool, step: int
) -> None:
    progress = StreamProgress()
    first = StreamFilter(progress, resumed=False)
    assert first.feed(before + b"id: 99\nhal") == before
    assert progress.resumable
    second, got = StreamFilter(progress, resumed=True), b""
    for start in range(0, len(resumed), step):
        got += second.feed(resumed[start : start + step])
    got += second.finish()
    assert (got, second.gap) == (relayed, gap)


@pytest.mark.parametrize(
    ("events", "resume_from", "resumable", "last"),
    [
        (b"", 0, False, None),
        (UNNUMBERED, 0, False, None),
        (numbered(1), 0, True, 1),
        (numbered(1) + COMMENT, 0, True, 1),
        (numbered(1) + UNNUMBERED, 0, False, 1),  # unknown whether the client has received it
        (numbered(1) + UNNUMBERED + numbered(2), 0, True, 2),
        (numbered(13, 14), 12, True, 14),
    ],
)
def test_progress_is_resumable_only_if_last_event_has_id(
    events: bytes, resume_from: int, resumable: bool, last: int | None
) -> None:
    progress = StreamProgress(resume_from)
    StreamFilter(progress, resumed=False).feed(events)
    assert (progress.resumable, progress.last_id) == (resumable, last)
    if resume_from:
        assert progress.leaves_gap(16)
        assert not progress.leaves_gap(15)


def test_comments_are_buffered_until_first_event() -> None:
    stream = StreamFilter(StreamProgress(), resumed=False)
    assert stream.feed(COMMENT) == b""
    assert (stream.buffered_bytes, stream.relayed_content) == (len(COMMENT), False)
    assert stream.feed(numbered(1) + b"id") == COMMENT + numbered(1)
    assert stream.ends_within_event
    assert stream.finish() == b"id"
