"""The core without a network or a disk's waits: confirm rounds, heartbeats, and writes down the chain.

A save is timed as processor time only, in a temporary folder; a machine's disk adds three syncs.
"""

from __future__ import annotations

import tempfile
from collections.abc import Sequence
from dataclasses import dataclass

from experiments.measure import machine, processor_us, show, show_line
from experiments.shapes import make_cores
from roselink.control.effects import Effect, Send, Store
from roselink.control.reads import ReadRounds, Waiting
from roselink.control.state import HISTORY_LIMIT, apply, digest_of
from roselink.control.storage import Storage, record_number
from roselink.protocol.chain import (
    ConfigurationOrder,
    ConfigurationState,
    ConfirmAnswer,
    Heartbeat,
    Link,
    StoredState,
    View,
    Voter,
    Write,
)
from roselink.protocol.peers import FrameReader, frame
from roselink.protocol.records import encode

CORES = (3, 9, 27, 54)
DOCUMENTS = (36_640, 98_740, 164_100)  # bytes; of 10, 200 and 400 routes with 200 tenants
HISTORY_ENTRY = 48  # bytes
TIMES = 100
SAVES = 3
NOTICE = 2


@dataclass(frozen=True, slots=True)
class RoundCost:
    """One confirm round at the tail, and one beat of a member: to all, and all theirs."""

    cores: int
    round_us: float
    round_bytes: int
    beat_us: float
    beat_bytes: int


@dataclass(frozen=True, slots=True)
class WriteCost:
    """One write at one member of the chain, with a full history."""

    document: int
    carry_us: float
    save_us: float
    carried_bytes: int
    saved_bytes: int


def round_cost(cores: int, times: int) -> RoundCost:
    """A tail with so many voters."""
    voters = tuple(Voter(address, 1) for address in make_cores(cores))
    view = View(1, voters, tuple(Link(voter, 1, 1) for voter in voters))
    sent: list[Effect] = []
    rounds = ReadRounds(voters[-1], sent.append)
    number, size = 0, 0

    def confirm() -> None:
        nonlocal number, size
        number += 1
        sent.clear()
        rounds.ask(Waiting(voters[-1].address, number, 0), view, True, float(number))
        size = 0
        for voter, effect in zip(voters, sent, strict=True):
            if not isinstance(effect, Send):
                raise RuntimeError("a round only sends")
            size += len(frame(NOTICE, 0, effect.message))
            answer = frame(NOTICE, 0, ConfirmAnswer(voter, 1, number, True))
            size += len(answer)
            for _, _, message in FrameReader().feed(answer):
                rounds.answer(message)

    beat = Heartbeat(voters[0], 1, 1, 1, 1, True, True, False, True, tuple(make_cores(cores)))
    beat_frame = frame(NOTICE, 0, beat)

    def beats() -> None:
        for _ in range(cores - 1):
            frame(NOTICE, 0, beat)
            FrameReader().feed(beat_frame)

    round_us = processor_us(confirm, times, 3)
    return RoundCost(cores, round_us, size, processor_us(beats, times, 3), (cores - 1) * len(beat_frame))


def write_cost(document: int, saves: int) -> WriteCost:
    """A document of so many bytes goes on from one member to the next, and to a disk."""
    body = b"x" * document
    order = ConfigurationOrder(0, 5, body, digest_of(0, body))
    write = Write(Voter(make_cores(1)[0], 1), 1, 2, False, order)
    data = frame(NOTICE, 0, write)
    full = ConfigurationState(1, 1, b"", bytes(HISTORY_ENTRY * HISTORY_LIMIT))
    payload = encode(StoredState(1, apply(full, order, False)))

    def carry() -> None:
        FrameReader().feed(data)
        encode(StoredState(1, apply(full, order, False)))
        frame(NOTICE, 0, write)

    with tempfile.TemporaryDirectory() as folder:
        storage = Storage(folder)
        storage.load()
        number = record_number(Store.STATE)
        save_us = processor_us(lambda: storage.save(Store.STATE, number, payload), saves, 3)
    return WriteCost(document, processor_us(carry, saves, 3), save_us, len(data), len(payload))


def main(
    cores: Sequence[int] = CORES,
    documents: Sequence[int] = DOCUMENTS,
    times: int = TIMES,
    saves: int = SAVES,
) -> None:
    """Measure and print."""
    print(machine())
    rounds = [round_cost(count, times) for count in cores]
    columns = ("core members", "round us", "round bytes", "beat us", "beat bytes sent")
    rows = [(r.cores, r.round_us, r.round_bytes, r.beat_us, r.beat_bytes) for r in rounds]
    show("Confirm rounds and heartbeats", columns, rows)
    show_line("round", "us", "core member", [(r.cores, r.round_us) for r in rounds])
    show_line("beat", "us", "core member", [(r.cores, r.beat_us) for r in rounds])
    writes = [write_cost(size, saves) for size in documents]
    columns = ("document bytes", "carry us", "save us", "carried bytes", "saved bytes")
    table = [(w.document, w.carry_us, w.save_us, w.carried_bytes, w.saved_bytes) for w in writes]
    show("A write at one member", columns, table)
    show_line("save", "us", "document byte", [(w.document, w.save_us) for w in writes])


if __name__ == "__main__":
    main()
