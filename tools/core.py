"""Processor time and message sizes of the core: confirm rounds, heartbeats and writes.

Network and disk waits are excluded: a save into a temporary directory counts with its processor
time only, and on a real disk three syncs add to it.
"""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.controller.storage import Storage, record_number
from roselink.coordination.effects import Effect, Send, Store
from roselink.coordination.reads import ReadRounds, WaitingRead
from roselink.coordination.state import HISTORY_LIMIT, apply_change, digest_of
from roselink.coordination.voter_plan import MAX_VOTERS
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
from tools.measure import describe_machine, print_fit, print_table, processor_us
from tools.synthetic_fleet import make_core_addresses

if TYPE_CHECKING:
    from collections.abc import Sequence

VOTER_COUNTS = (3, 5, MAX_VOTERS)
CORE_SIZES = (3, 9, 27, 54)
# Sizes of documents with 10, 200 and 400 routes and 200 tenants, in bytes.
DOCUMENT_SIZES = (36_640, 98_740, 164_100)
# Size of one history entry.
HISTORY_ENTRY_BYTES = 48
REPETITIONS = 100
SAVES = 3


@dataclass(frozen=True, slots=True)
class MessageCost:
    """Cost of all messages of one confirm round or heartbeat.

    Attributes:
        members: number of members that take part.
        cpu_us: processor time, in microseconds.
        message_bytes: total size of the messages.
    """

    members: int
    cpu_us: float
    message_bytes: int


@dataclass(frozen=True, slots=True)
class WriteCost:
    """Cost of one write at one member of the chain, with a full history.

    Attributes:
        document_bytes: size of the document.
        forward_us: processor time to receive, apply and forward the write.
        save_us: processor time of the save.
        message_bytes: size of the message.
        record_bytes: size of the saved record.
    """

    document_bytes: int
    forward_us: float
    save_us: float
    message_bytes: int
    record_bytes: int


def confirm_round_cost(count: int, repetitions: int) -> MessageCost:
    """Measure one confirm round at a tail with `count` voters, including their replies.

    Raises:
        MeasurementError: the round had an effect other than sending.
    """
    voters = tuple(Voter(address, 1) for address in make_core_addresses(count))
    view = View(1, voters, tuple(ChainReplica(voter, 1, 1) for voter in voters))
    sent: list[Effect] = []
    rounds = ReadRounds(voters[-1], sent.append)
    number = 0
    message_bytes = 0

    def confirm() -> None:
        nonlocal number, message_bytes
        number += 1
        sent.clear()
        rounds.request(
            WaitingRead(voters[-1].address, number, 0), view, float(number), is_active=True
        )
        message_bytes = 0
        for voter, effect in zip(voters, sent, strict=True):
            if not isinstance(effect, Send):
                raise MeasurementError("confirmation", effect)
            message_bytes += len(encode_frame(FrameKind.NOTICE, 0, effect.message))
            reply = encode_frame(
                FrameKind.NOTICE, 0, ConfirmReply(voter, 1, number, is_newest=True)
            )
            message_bytes += len(reply)
            for _, _, message in FrameDecoder().feed(reply):
                rounds.on_reply(message)

    cpu_us = processor_us(confirm, repetitions)
    return MessageCost(count, cpu_us, message_bytes)


def heartbeat_cost(count: int, repetitions: int) -> MessageCost:
    """Measure a member that sends a heartbeat to all others and receives one from each.

    `message_bytes` counts only the heartbeats that it sends.
    """
    heartbeat = Heartbeat(
        sender=Voter(make_core_addresses(1)[0], 1),
        session=1,
        epoch=1,
        state_epoch=1,
        sequence=1,
        participating=True,
        disk_ok=True,
        leaving=False,
        chain_is_complete=True,
        reachable=make_core_addresses(count),
    )
    data = encode_frame(FrameKind.NOTICE, 0, heartbeat)

    def heartbeats() -> None:
        for _ in range(count - 1):
            encode_frame(FrameKind.NOTICE, 0, heartbeat)
            FrameDecoder().feed(data)

    return MessageCost(count, processor_us(heartbeats, repetitions), (count - 1) * len(data))


def write_cost(document_bytes: int, saves: int) -> WriteCost:
    """Measure a member that receives, saves and forwards the write of a document."""
    document = b"x" * document_bytes
    change = ConfigurationChange(0, 5, document, digest_of(0, document))
    write = Write(Voter(make_core_addresses(1)[0], 1), 1, 2, refused=False, change=change)
    data = encode_frame(FrameKind.NOTICE, 0, write)
    full_state = ConfigurationState(1, 1, b"", bytes(HISTORY_ENTRY_BYTES * HISTORY_LIMIT))
    payload = encode(StoredState(1, apply_change(full_state, change, refused=False)))

    def forward() -> None:
        FrameDecoder().feed(data)
        encode(StoredState(1, apply_change(full_state, change, refused=False)))
        encode_frame(FrameKind.NOTICE, 0, write)

    with tempfile.TemporaryDirectory() as folder:
        storage = Storage(folder)
        storage.load()
        number = record_number(Store.STATE)
        save_us = processor_us(lambda: storage.save(Store.STATE, number, payload), saves)
    return WriteCost(document_bytes, processor_us(forward, saves), save_us, len(data), len(payload))


def main(
    voters: Sequence[int] = VOTER_COUNTS,
    core_sizes: Sequence[int] = CORE_SIZES,
    document_sizes: Sequence[int] = DOCUMENT_SIZES,
    repetitions: int = REPETITIONS,
    saves: int = SAVES,
) -> None:
    """Measure and print all three costs."""
    print(describe_machine())
    rounds = [confirm_round_cost(count, repetitions) for count in voters]
    print_table(
        "Confirm rounds",
        ("voters", "us", "bytes"),
        [(cost.members, cost.cpu_us, cost.message_bytes) for cost in rounds],
    )
    print_fit("confirm round", "us", "voter", [(cost.members, cost.cpu_us) for cost in rounds])
    heartbeats = [heartbeat_cost(count, repetitions) for count in core_sizes]
    print_table(
        "Heartbeats",
        ("core members", "us", "bytes"),
        [(cost.members, cost.cpu_us, cost.message_bytes) for cost in heartbeats],
    )
    print_fit(
        "heartbeat", "us", "core member", [(cost.members, cost.cpu_us) for cost in heartbeats]
    )
    writes = [write_cost(size, saves) for size in document_sizes]
    columns = ("document bytes", "forward us", "save us", "message bytes", "record bytes")
    table = [
        (cost.document_bytes, cost.forward_us, cost.save_us, cost.message_bytes, cost.record_bytes)
        for cost in writes
    ]
    print_table("A write at one member", columns, table)
    print_fit(
        "save", "us", "document byte", [(cost.document_bytes, cost.save_us) for cost in writes]
    )


if __name__ == "__main__":
    main()
