"""Operators and readers of a simulated core, and a checker of what they were told that shares no code with
it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from roselink.coordination.effects import Confirmation, Conflict, NotNewer, SubmitOutcome, TakenOrder
from roselink.coordination.state import digest_of
from roselink.protocol.chain import ConfigurationOrder
from tests.coordination.simulation import World


@dataclass
class Told:
    """All that clients were told, checked as it comes."""

    documents: dict[int, bytes | None] = field(default_factory=lambda: {0: None})
    taken: dict[bytes, int] = field(default_factory=dict)
    taken_at: dict[int, bytes] = field(default_factory=dict)
    bases: dict[int, bytes] = field(default_factory=dict)
    refused: set[bytes] = field(default_factory=set)
    orders: dict[bytes, ConfigurationOrder] = field(default_factory=dict)
    newest_acknowledged: int = 0
    newest_read: int = 0
    slowest_s: float = 0.0
    reads: int = 0

    def order(self, order: ConfigurationOrder) -> None:
        self.orders[order.document] = order

    def settled(self, order: ConfigurationOrder, outcome: SubmitOutcome) -> None:
        digest = order.digest
        if isinstance(outcome, TakenOrder):
            assert digest not in self.refused, "a refused order was acknowledged"
            assert self.taken.setdefault(digest, outcome.sequence) == outcome.sequence
            assert self.taken_at.setdefault(outcome.sequence, digest) == digest, "two orders in one place"
            assert self.bases.setdefault(order.base, digest) == digest, "two orders on one base"
            shown = self.documents.setdefault(outcome.sequence, order.document)
            assert shown == order.document, "another document was shown under this sequence"
            self.newest_acknowledged = max(self.newest_acknowledged, outcome.sequence)
        elif isinstance(outcome, Conflict | NotNewer):
            assert digest not in self.taken, "an order that was taken was refused"
            self.refused.add(digest)
            assert order.document not in self.documents.values(), "a refused order was shown"

    def read(self, floor: tuple[int, int], shown: Confirmation) -> None:
        acknowledged, read = floor
        assert shown.sequence >= acknowledged, "a read is older than an acknowledged write"
        assert shown.sequence >= read, "a read went backwards"
        self.newest_read = max(self.newest_read, shown.sequence)
        self.reads += 1
        if shown.document is not None:
            order = self.orders[shown.document]
            assert order.generation == shown.generation
            assert order.digest not in self.refused, "a refused order is in force"
        before = self.documents.setdefault(shown.sequence, shown.document)
        assert before == shown.document, "two documents under one sequence"

    def floor(self) -> tuple[int, int]:
        """What a read that begins now may not fall short of."""
        return self.newest_acknowledged, self.newest_read


class Operator:
    """Sends one change after the other, each again and again to any member until a clear answer."""

    def __init__(self, world: World, told: Told, name: str, pause_s: float = 0.3) -> None:
        self.world, self.told, self.name, self.pause_s = world, told, name, pause_s
        self.base = 0
        self.count = 0
        self.stopped = False
        world.after(world.random.uniform(0.5, 1.5), self.next_order)

    def next_order(self) -> None:
        if self.stopped:
            return
        draw = self.world.random
        self.count += 1
        base = self.base + (draw.choice([3, 7]) if draw.random() < 0.03 else 0)
        generation = max(1, base + draw.choice([1, 1, 2, 5]) - (4 if draw.random() < 0.05 else 0))
        document = f"{self.name}-{self.count}-".encode() + b"x" * draw.randrange(300)
        order = ConfigurationOrder(base, generation, document, digest_of(base, document))
        self.told.order(order)
        self._send(order, self.world.now, 0)

    def _send(self, order: ConfigurationOrder, began: float, tries: int) -> None:
        world = self.world
        up = world.up()
        if tries >= 12 or not up:
            world.after(self.pause_s, self.next_order)
            return
        ended: list[bool] = []

        def done(outcome: SubmitOutcome) -> None:
            lost = world.random.random() < 0.05
            self.told.settled(order, outcome)
            if ended or lost:
                return
            ended.append(True)
            if isinstance(outcome, TakenOrder):
                self.base = max(self.base, order.generation)
                self.told.slowest_s = max(self.told.slowest_s, world.now - began)
                if world.random.random() < 0.1:
                    self._send(order, world.now, tries + 1)
                    return
            elif isinstance(outcome, Conflict | NotNewer):
                self.base = max(self.base, outcome.current)
            else:
                self._send(order, began, tries + 1)
                return
            world.after(world.random.uniform(0, self.pause_s), self.next_order)

        def silence() -> None:
            if not ended:
                ended.append(True)
                self._send(order, began, tries + 1)

        world.random.choice(up).submit(order, done)
        world.after(1.0, silence)


class Reader:
    """Reads from any member, several at a time."""

    def __init__(self, world: World, told: Told, pause_s: float = 0.08) -> None:
        self.world, self.told, self.pause_s = world, told, pause_s
        self.stopped = False
        world.after(world.random.uniform(0.5, 1.5), self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        self.world.after(self.world.random.uniform(0, 2 * self.pause_s), self._next)
        up = self.world.up()
        if not up:
            return
        floor = self.told.floor()

        def done(shown: Confirmation | None) -> None:
            if shown is not None:
                self.told.read(floor, shown)

        self.world.random.choice(up).read(done)
