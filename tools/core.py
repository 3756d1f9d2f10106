"""Costs of the core, without network and disk waits: confirm rounds, heartbeats and writes.

A save is timed as processor time only, in a temporary folder; a machine's disk adds three syncs.
"""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.controller.storage import Storage, record_number
from roselink.coordination.effects import Effect, Send, Store
from roselink.coordination.reads import ReadRounds, WaitingRead
from roselink.coordination.state import HISTORY_LIMIT, apply_change, digest_of
from roselink.coordination.views import MAX_VOTERS
from roselink.protocol.chain import (
    ChainReplica,
    ConfigurationChange,
    ConfigurationState,
    ConfirmReply,
    Heartbeat,
    StoredState,
    View,
    Voter,
    Write,
)
from roselink.protocol.framing import FrameDecoder, FrameKind, encode_frame
from roselink.protocol.records import encode
from tools.exceptions import MeasurementError
from tools.measure import machine, processor_us, show, show_line
from tools.synthetic_fleet import make_cores

if TYPE_CHECKING:
    from collections.abc import Sequence

VOTERS = (3, 5, MAX_VOTERS)
CORES = (3, 9, 27, 54)
# The sizes of documents of 10, 200 and 400 routes with 200 tenants, in bytes.
DOCUMENTS = (36_640, 98_740, 164_100)
# The size of one entry of the history, in bytes.
HISTORY_ENTRY = 48
TIMES = 100
SAVES = 3


@dataclass(frozen=True, slots=True)
class MessageCost:
    """The cost of all messages of one round or heartbeat.

    Attributes:
        members: how many members.
        spent_us: processor time in microseconds.
        size: bytes of the messages.
    """

    members: int
    spent_us: float
    size: int


@dataclass(frozen=True, slots=True)
class WriteCost:
    """The cost of one write at one member of the chain, with a full history.

    Attributes:
        document: the size of the document, in bytes.
        carry_us: processor time to receive, apply and forward the write.
        save_us: processor time of the save.
        carried_bytes: the size of the message.
        saved_bytes: the size of the saved record.
    """

    document: int
    carry_us: float
    save_us: float
    carried_bytes: int
    saved_bytes: int


def round_cost(count: int, times: int) -> MessageCost:
    """Measure one confirm round at a tail with so many voters, their replies included.

    Raises:
        MeasurementError: the round did something else than sending.
    """
    voters = tuple(Voter(address, 1) for address in make_cores(count))
    view = View(1, voters, tuple(ChainReplica(voter, 1, 1) for voter in voters))
    sent: list[Effect] = []
    rounds = ReadRounds(voters[-1], sent.append)
    number = 0
    size = 0

    def confirm() -> None:
        nonlocal number, size
        number += 1
        sent.clear()
        rounds.request(
            WaitingRead(voters[-1].address, number, 0), view, float(number), is_active=True
        )
        size = 0
        for voter, effect in zip(voters, sent, strict=True):
            if not isinstance(effect, Send):
                raise MeasurementError("round", effect)
            size += len(encode_frame(FrameKind.NOTICE, 0, effect.message))
            reply = encode_frame(
                FrameKind.NOTICE, 0, ConfirmReply(voter, 1, number, is_newest=True)
            )
            size += len(reply)
            for _, _, message in FrameDecoder().feed(reply):
                rounds.on_reply(message)

    spent_us = processor_us(confirm, times)
    return MessageCost(count, spent_us, size)


def beat_cost(count: int, times: int) -> MessageCost:
    """Measure one heartbeat of a member to all others, and one from each of them.

    The bytes are those of the heartbeats that it sends.
    """
    beat = Heartbeat(
        sender=Voter(make_cores(1)[0], 1),
        session=1,
        epoch=1,
        state_epoch=1,
        sequence=1,
        participating=True,
        disk_ok=True,
        leaving=False,
        chain_is_complete=True,
        reachable=make_cores(count),
    )
    data = encode_frame(FrameKind.NOTICE, 0, beat)

    def beats() -> None:
        for _ in range(count - 1):
            encode_frame(FrameKind.NOTICE, 0, beat)
            FrameDecoder().feed(data)

    return MessageCost(count, processor_us(beats, times), (count - 1) * len(data))


def write_cost(document: int, saves: int) -> WriteCost:
    """Measure a write of a document that a member receives, saves and forwards."""
    body = b"x" * document
    change = ConfigurationChange(0, 5, body, digest_of(0, body))
    write = Write(Voter(make_cores(1)[0], 1), 1, 2, refused=False, change=change)
    data = encode_frame(FrameKind.NOTICE, 0, write)
    full = ConfigurationState(1, 1, b"", bytes(HISTORY_ENTRY * HISTORY_LIMIT))
    payload = encode(StoredState(1, apply_change(full, change, refused=False)))

    def carry() -> None:
        FrameDecoder().feed(data)
        encode(StoredState(1, apply_change(full, change, refused=False)))
        encode_frame(FrameKind.NOTICE, 0, write)

    with tempfile.TemporaryDirectory() as folder:
        storage = Storage(folder)
        storage.load()
        number = record_number(Store.STATE)
        save_us = processor_us(lambda: storage.save(Store.STATE, number, payload), saves)
    return WriteCost(document, processor_us(carry, saves), save_us, len(data), len(payload))


def main(
    voters: Sequence[int] = VOTERS,
    cores: Sequence[int] = CORES,
    documents: Sequence[int] = DOCUMENTS,
    times: int = TIMES,
    saves: int = SAVES,
) -> None:
    """Measure and print."""
    print(machine())
    rounds = [round_cost(count, times) for count in voters]
    show(
        "Confirm rounds",
        ("voters", "us", "bytes"),
        [(r.members, r.spent_us, r.size) for r in rounds],
    )
    show_line("round", "us", "voter", [(r.members, r.spent_us) for r in rounds])
    beats = [beat_cost(count, times) for count in cores]
    show(
        "Heartbeats",
        ("core members", "us", "bytes"),
        [(b.members, b.spent_us, b.size) for b in beats],
    )
    show_line("beat", "us", "core member", [(b.members, b.spent_us) for b in beats])
    writes = [write_cost(size, saves) for size in documents]
    columns = ("document bytes", "carry us", "save us", "carried bytes", "saved bytes")
    table = [(w.document, w.carry_us, w.save_us, w.carried_bytes, w.saved_bytes) for w in writes]
    show("A write at one member", columns, table)
    show_line("save", "us", "document byte", [(w.document, w.save_us) for w in writes])


if __name__ == "__main__":
    main()
