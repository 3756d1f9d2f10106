"""Messages for the tests of framing and connections."""

from __future__ import annotations

from dataclasses import dataclass

from roselink.protocol.records import record


@record(0xFF10)
@dataclass(frozen=True, slots=True)
class PingRequest:
    """A call with a text."""

    text: str


@record(0xFF11)
@dataclass(frozen=True, slots=True)
class PingReply:
    """The reply to a `PingRequest`."""

    text: str
