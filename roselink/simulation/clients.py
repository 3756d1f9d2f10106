"""Simulated operators and readers. What they are told goes into the world's history."""

from __future__ import annotations

import json

from roselink.coordination.effects import Confirmation, Conflict, NotNewer, SubmitOutcome, TakenOrder
from roselink.coordination.state import digest_of
from roselink.protocol.chain import ConfigurationOrder
from roselink.simulation.history import Change, Reading, Said
from roselink.simulation.world import Machine, World

SILENCE_S = 1.0  # a caller moves on after so long
TRIES = 12
KEYS = 5  # each configuration holds two of so many keys, by turns


def document_of(change: Change, padding: int = 0) -> bytes:
    """A change as it is sent."""
    tenant = {"name": change.text, "api_keys": sorted(change.keys)}
    told = {"generation": change.version, "tenants": [tenant], "padding": "x" * padding}
    return json.dumps(told).encode()


def order_of(change: Change, padding: int = 0) -> ConfigurationOrder:
    """A change as members take it."""
    document = document_of(change, padding)
    return ConfigurationOrder(change.base, change.version, document, digest_of(change.base, document))


def change_in(world: World, document: bytes | None) -> Change | None:
    """The change that a document came with."""
    if document is None:
        return None
    return world.changes[json.loads(document)["tenants"][0]["name"]]


def said(outcome: SubmitOutcome) -> Said:
    """What an outcome tells an operator."""
    if isinstance(outcome, TakenOrder):
        return Said.CONFIRMED
    return Said.REFUSED if isinstance(outcome, Conflict | NotNewer) else Said.UNCLEAR


class Operator:
    """Sends one change after the other, each again and again, to any member, until a clear answer."""

    def __init__(self, world: World, name: str, pause_s: float = 0.3) -> None:
        self.world, self.name, self.pause_s = world, name, pause_s
        self.base = self.count = 0
        self.stopped = False
        self.slowest_s = 0.0
        self._sent: list[tuple[Change, ConfigurationOrder]] = []
        world.after(world.random.uniform(0.5, 1.5), self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        draw = self.world.random
        if self._sent and draw.random() < 0.05:
            change, order = draw.choice(self._sent)  # an old one once more
        else:
            change = self._change()
            order = order_of(change, draw.randrange(300))
            self.world.digests[change.text] = order.digest
            self._sent.append((change, order))
        self._send(change, order, self.world.now, 0)

    def _change(self) -> Change:
        draw = self.world.random
        self.count += 1
        base = self.base + (draw.choice([3, 7]) if draw.random() < 0.03 else 0)
        version = max(1, base + draw.choice([1, 1, 2, 5]) - (4 if draw.random() < 0.05 else 0))
        keys = frozenset(f"key-{(version + turn) % KEYS}" for turn in range(2))
        change = Change(base, version, f"{self.name}-{self.count}", keys)
        self.world.changes[change.text] = change
        return change

    def _send(self, change: Change, order: ConfigurationOrder, began: float, tries: int) -> None:
        world = self.world
        up = world.up()
        if tries >= TRIES or not up:
            world.after(self.pause_s, self._next)
            return
        ended: list[bool] = []
        at_once = 2 if world.random.random() < 0.1 else 1
        for machine in world.random.sample(up, min(at_once, len(up))):
            self._ask(machine, change, order, began, tries, ended)

        def silence() -> None:
            if not ended:
                ended.append(True)
                self._send(change, order, began, tries + 1)

        world.after(SILENCE_S, silence)

    def _ask(
        self,
        machine: Machine,
        change: Change,
        order: ConfigurationOrder,
        began: float,
        tries: int,
        ended: list[bool],
    ) -> None:
        world = self.world
        call = world.history.order(change, world.now)

        def done(outcome: SubmitOutcome) -> None:
            call.ended, call.said = world.now, said(outcome)
            if isinstance(outcome, TakenOrder):
                world.note_taken(change.text, outcome.sequence)
            lost = world.random.random() < 0.05
            if ended or lost:
                return
            ended.append(True)
            self._answered(change, order, began, tries, outcome)

        machine.submit(order, done)

    def _answered(
        self, change: Change, order: ConfigurationOrder, began: float, tries: int, outcome: SubmitOutcome
    ) -> None:
        world = self.world
        if isinstance(outcome, TakenOrder):
            self.base = max(self.base, change.version)
            self.slowest_s = max(self.slowest_s, world.now - began)
            if world.random.random() < 0.1:
                self._send(change, order, world.now, tries + 1)
                return
        elif isinstance(outcome, Conflict | NotNewer):
            self.base = max(self.base, outcome.current)
        else:
            self._send(change, order, began, tries + 1)
            return
        world.after(world.random.uniform(0, self.pause_s), self._next)


class Reader:
    """Reads from any member, several at a time."""

    def __init__(self, world: World, pause_s: float = 0.08) -> None:
        self.world, self.pause_s = world, pause_s
        self.stopped = False
        world.after(world.random.uniform(0.5, 1.5), self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        self.world.after(self.world.random.uniform(0, 2 * self.pause_s), self._next)
        up = self.world.up()
        if not up:
            return
        began = self.world.now

        def done(shown: Confirmation | None) -> None:
            if shown is not None:
                change = change_in(self.world, shown.document)
                self.world.note_shown(shown.sequence, change.text if change is not None else None)
                self.world.history.readings.append(Reading(began, self.world.now, change))

        self.world.random.choice(up).read(done)
