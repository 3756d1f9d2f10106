"""Changes and reads that a member's own callers have requested."""

from __future__ import annotations

from roselink.coordination.effects import Confirmation, Effect, ReadDone, Send
from roselink.coordination.pending_calls import PendingCalls
from roselink.coordination.views import first_view
from roselink.protocol.chain import (
    ReadReply,
    ReadRequest,
    Voter,
)

A, B, C = (Voter(name, 0) for name in "abc")


def test_late_older_reply_does_not_replace_the_newest_document() -> None:
    effects: list[Effect] = []
    calls = PendingCalls(B, effects.append)
    view = first_view("abc")
    calls.read(1, view, 0.0)
    calls.read(2, view, 0.0)
    calls.on_read_reply(ReadReply(2, 1, 6, 7, b"six"))
    calls.on_read_reply(ReadReply(1, 1, 4, 5, b"four"))
    assert ReadDone(1, Confirmation(1, 4, b"four", 5)) in effects
    effects.clear()
    calls.read(3, view, 0.1)
    assert [e.message for e in effects if isinstance(e, Send)] == [ReadRequest(B, 3, 6)]


def test_reply_without_document_returns_the_document_of_its_sequence() -> None:
    """A reply about an older sequence must not return the newer document that is cached."""
    effects: list[Effect] = []
    calls = PendingCalls(B, effects.append)
    view = first_view("abc")
    calls.read(1, view, 0.0)
    calls.on_read_reply(ReadReply(1, 1, 4, 5, b"four"))
    calls.read(2, view, 0.1)
    calls.read(3, view, 0.1)
    calls.on_read_reply(ReadReply(3, 1, 6, 7, b"six"))
    effects.clear()
    calls.on_read_reply(ReadReply(2, 1, 4, 5, None))
    assert effects == []
    calls.advance(view, 0.5)
    assert [e.message for e in effects if isinstance(e, Send)] == [ReadRequest(B, 2, 6)]
    effects.clear()
    calls.on_read_reply(ReadReply(2, 1, 6, 7, None))
    assert effects == [ReadDone(2, Confirmation(1, 6, b"six", 7))]
