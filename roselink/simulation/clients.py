"""Simulated operators and readers. What they are told goes into the world's history."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from roselink.controller.updates import UpdateRequest, parse_update_request, submit_update
from roselink.controller.validation import ValidationFailure
from roselink.coordination.effects import (
    ChangeCommitted,
    Confirmation,
    Conflict,
    OutcomeUnknown,
    StaleGeneration,
    SubmitOutcome,
)
from roselink.coordination.state import digest_of
from roselink.protocol.chain import ConfigurationChange
from roselink.simulation.history import Change, Reading, Said

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.simulation.world import Machine, World

SILENCE_S = 1.0  # a caller moves on after so long
TRIES = 12
UPDATES = 0.5  # of the changes are sent as updates of items
SERVICE = "model"
KEYS = 5  # each configuration holds two of so many keys, by turns


def document_of(change: Change, padding: int = 0) -> bytes:
    """A change as it is sent whole. Its only route has the same name in all changes; its text is
    the host.
    """
    told = _items(change) | {
        "generation": change.version,
        "services": [{"name": SERVICE}],
        "padding": "x" * padding,
    }
    return json.dumps(told).encode()


def update_of(change: Change, gone: int) -> bytes:
    """The same change as an update of items, which also removes a route that isn't there."""
    told = {
        "generation": change.version,
        "upsert": _items(change),
        "remove": {"routes": [f"gone-{gone}"]},
    }
    return json.dumps(told).encode()


def _items(change: Change) -> dict[str, Any]:
    route = {"name": "newest", "hostname": change.text, "path_prefix": "/", "kind": "idempotent"}
    tenant = {"name": "tenant", "api_keys": sorted(change.keys)}
    return {"routes": [route | {"service": SERVICE}], "tenants": [tenant]}


@dataclass(frozen=True, slots=True)
class Sending:
    """A change as its operator sends it, whole or as an update, each time with the same bytes."""

    change: Change
    order: ConfigurationChange | UpdateRequest

    def to(
        self, machine: Machine, done: Callable[[SubmitOutcome | ValidationFailure], None]
    ) -> None:
        """Have a member carry it."""
        if isinstance(self.order, ConfigurationChange):
            machine.submit(self.order, done)
            return
        life = machine.life

        def submit(order: ConfigurationChange, then: Callable[[SubmitOutcome], None]) -> None:
            if machine.life == life:
                machine.submit(order, then)

        submit_update(self.order, machine.read, submit, done)


def order_of(change: Change, padding: int = 0) -> ConfigurationChange:
    """A change as members take it."""
    document = document_of(change, padding)
    return ConfigurationChange(
        change.base, change.version, document, digest_of(change.base, document)
    )


def update_call_of(change: Change, gone: int) -> UpdateRequest:
    """A change as members take an update."""
    call = parse_update_request(change.base, update_of(change, gone))
    if isinstance(call, ValidationFailure):
        raise AssertionError(str(call))
    return call


def change_in(world: World, document: bytes | None) -> Change | None:
    """The change that a document came with."""
    if document is None:
        return None
    return world.changes[json.loads(document)["routes"][0]["hostname"]]


def said(outcome: SubmitOutcome | ValidationFailure) -> Said:
    """What an outcome tells an operator."""
    if isinstance(outcome, ChangeCommitted):
        return Said.CONFIRMED
    return (
        Said.REFUSED
        if isinstance(outcome, Conflict | StaleGeneration | ValidationFailure)
        else Said.UNCLEAR
    )


class Operator:
    """Sends one change after the other, each again and again, to any member, until a clear
    answer.
    """

    def __init__(self, world: World, name: str, pause_s: float = 0.3) -> None:
        self.world, self.name, self.pause_s = world, name, pause_s
        self.base = self.count = 0
        self.stopped = False
        self.slowest_s = 0.0
        self._sent: list[Sending] = []
        world.after(world.random.uniform(0.5, 1.5), self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        draw = self.world.random
        if self._sent and draw.random() < 0.05:
            sending = draw.choice(self._sent)  # an old one once more
        else:
            change = self._change()
            updates = change.base > 0 and draw.random() < UPDATES
            size = draw.randrange(300)
            order = update_call_of(change, size) if updates else order_of(change, size)
            self.world.digests[change.text] = order.digest
            sending = Sending(change, order)
            self._sent.append(sending)
        self._send(sending, self.world.now, 0)

    def _change(self) -> Change:
        draw = self.world.random
        self.count += 1
        base = self.base + (draw.choice([3, 7]) if draw.random() < 0.03 else 0)
        version = max(1, base + draw.choice([1, 1, 2, 5]) - (4 if draw.random() < 0.05 else 0))
        keys = frozenset(f"key-{(version + turn) % KEYS}" for turn in range(2))
        change = Change(base, version, f"{self.name}-{self.count}", keys)
        self.world.changes[change.text] = change
        return change

    def _send(self, sending: Sending, began: float, tries: int) -> None:
        world = self.world
        up = world.up()
        if tries >= TRIES or not up:
            world.after(self.pause_s, self._next)
            return
        ended: list[bool] = []
        at_once = 2 if world.random.random() < 0.1 else 1
        for machine in world.random.sample(up, min(at_once, len(up))):
            self._ask(machine, sending, began, tries, ended)

        def silence() -> None:
            if not ended:
                ended.append(True)
                self._send(sending, began, tries + 1)

        world.after(SILENCE_S, silence)

    def _ask(
        self,
        machine: Machine,
        sending: Sending,
        began: float,
        tries: int,
        ended: list[bool],
    ) -> None:
        world, change = self.world, sending.change
        call = world.history.order(change, world.now)

        def done(outcome: SubmitOutcome | ValidationFailure) -> None:
            call.ended, call.said = world.now, said(outcome)
            if isinstance(outcome, ChangeCommitted):
                world.note_taken(change.text, outcome.sequence)
            lost = world.random.random() < 0.05
            if ended or lost:
                return
            ended.append(True)
            self._answered(sending, began, tries, outcome)

        sending.to(machine, done)

    def _answered(
        self, sending: Sending, began: float, tries: int, outcome: SubmitOutcome | ValidationFailure
    ) -> None:
        world, change = self.world, sending.change
        if isinstance(outcome, ChangeCommitted):
            self.base = max(self.base, change.version)
            self.slowest_s = max(self.slowest_s, world.now - began)
            if world.random.random() < 0.1:
                self._send(sending, world.now, tries + 1)
                return
        elif isinstance(outcome, Conflict | StaleGeneration):
            self.base = max(self.base, outcome.current)
        elif isinstance(outcome, OutcomeUnknown):
            self._send(sending, began, tries + 1)
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
