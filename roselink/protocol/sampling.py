"""Records between gateways that exchange parts of their views of who lives."""

from __future__ import annotations

from dataclasses import dataclass

from roselink.model.fleet import Member, VersionVector
from roselink.protocol.records import record


@record(128)
@dataclass(frozen=True, slots=True)
class Seen:
    """A gateway as one heard of it; `age`: exchanges since its own word."""

    member: Member
    age: int


@record(129)
@dataclass(frozen=True, slots=True)
class News:
    """What the teller has in force, and the core's peer addresses as it learned them `age_ms`
    ago.
    """

    vector: VersionVector
    cores: tuple[str, ...]
    age_ms: int


@record(130)
@dataclass(frozen=True, slots=True)
class Shuffle:
    """Part of the sender's view, itself among it; the answer is a `Shuffled` of as many entries at
    most.
    """

    entries: tuple[Seen, ...]
    news: News


@record(131)
@dataclass(frozen=True, slots=True)
class Shuffled:
    """Part of the answerer's view."""

    entries: tuple[Seen, ...]
    news: News
