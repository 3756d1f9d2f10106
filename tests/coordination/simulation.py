"""A simulated core: members over a network, disks and a clock that are in memory only, from one seed."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from roselink.coordination.effects import (
    Confirmation,
    Effect,
    Persist,
    ReadDone,
    Send,
    Store,
    SubmitDone,
    SubmitOutcome,
)
from roselink.coordination.member import TICK_S, Member, Start
from roselink.protocol.chain import ConfigurationOrder
from roselink.protocol.records import decode, encode, number_of

SAVE_S = 0.015
RECORDS = {Store.VOTES: 33, Store.STATE: 36}


@dataclass
class Disk:
    """Saves one after the other; a save counts whole or not at all."""

    held: dict[Store, bytes] = field(default_factory=dict)
    queue: list[tuple[Store, bytes]] = field(default_factory=list)
    latency_s: float = SAVE_S
    busy: bool = False
    stalled: bool = False
    full: bool = False


class Machine:
    """One core machine: its disk outlives its processes."""

    def __init__(self, world: World, address: str) -> None:
        self.world, self.address = world, address
        self.disk = Disk()
        self.member: Member | None = None
        self.life = 0
        self.frozen = False
        self.held_up: list[Callable[[], None]] = []
        self.submits: dict[int, Callable[[SubmitOutcome], None]] = {}
        self.reads: dict[int, Callable[[Confirmation | None], None]] = {}

    @property
    def up(self) -> bool:
        return self.member is not None and not self.frozen

    def start(self, bootstrap: bool = False) -> None:
        self.life += 1
        held = self.disk.held
        votes = decode(RECORDS[Store.VOTES], held[Store.VOTES]) if Store.VOTES in held else None
        state = decode(RECORDS[Store.STATE], held[Store.STATE]) if Store.STATE in held else None
        draw = self.world.random
        start = Start(
            address=self.address,
            seeds=self.world.seeds,
            bootstrap=bootstrap,
            tolerated=self.world.tolerated,
            session=draw.getrandbits(60) + 1,
            fresh_incarnation=draw.getrandbits(60) + 1,
            votes=votes,
            state=state,
        )
        self.member = Member(start, self.world.now)
        self.frozen = False
        self.perform(self.member.begin(self.world.now))
        self._tick(self.life)

    def kill(self) -> None:
        """The process ends at once; a save under way may have ended just before."""
        self.life += 1
        self.member = None
        self.frozen = False
        self.held_up = []
        self.submits, self.reads = {}, {}
        queue, self.disk.queue = self.disk.queue, []
        self.disk.busy = False
        if queue and not self.disk.stalled and not self.disk.full and self.world.random.random() < 0.5:
            self.disk.held[queue[0][0]] = queue[0][1]

    def wipe(self) -> None:
        """Only while no process runs."""
        self.disk = Disk()

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        self.frozen = False
        held_up, self.held_up = self.held_up, []
        for step in held_up:
            step()

    def run(self, life: int, step: Callable[[Member], list[Effect]]) -> None:
        """One input of the process of that life, now or when it wakes."""
        if life != self.life or self.member is None:
            return
        if self.frozen:
            self.held_up.append(lambda: self.run(life, step))
            return
        self.perform(step(self.member))

    def submit(self, order: ConfigurationOrder, done: Callable[[SubmitOutcome], None]) -> None:
        assert self.member is not None
        number, effects = self.member.submit(order, self.world.now)
        self.submits[number] = done
        self.perform(effects)

    def read(self, done: Callable[[Confirmation | None], None]) -> None:
        assert self.member is not None
        number, effects = self.member.read(self.world.now)
        self.reads[number] = done
        self.perform(effects)

    def perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.world.carry(self.address, effect)
            elif isinstance(effect, Persist):
                self.disk.queue.append((effect.store, effect.payload))
                self._save_next(self.life)
            elif isinstance(effect, SubmitDone):
                self.submits.pop(effect.number)(effect.outcome)
            elif isinstance(effect, ReadDone):
                self.reads.pop(effect.number)(effect.confirmation)

    def _save_next(self, life: int) -> None:
        if self.disk.queue and not self.disk.busy:
            self.disk.busy = True
            latency = self.disk.latency_s * self.world.random.uniform(0.7, 1.5)
            self.world.after(latency, lambda: self._saved(life))

    def _saved(self, life: int) -> None:
        if life != self.life:
            return
        if self.disk.stalled:
            self.world.after(0.05, lambda: self._saved(life))
            return
        self.disk.busy = False
        store, payload = self.disk.queue.pop(0)
        if self.disk.full:
            self.run(life, lambda member: member.persist_failed(store, self.world.now))
        else:
            self.disk.held[store] = payload
            self.run(life, lambda member: member.persisted(store, self.world.now))
        self._save_next(life)

    def _tick(self, life: int) -> None:
        if life != self.life or self.member is None:
            return
        if not self.frozen:
            self.perform(self.member.tick(self.world.now))
        self.world.after(TICK_S, lambda: self._tick(life))


class World:
    """Machines, links and time."""

    def __init__(self, seed: int, machines: int = 3, tolerated: int = 1, seeds: int = 3) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        self.tolerated = tolerated
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        addresses = [f"10.0.0.{index + 1}:7500" for index in range(machines)]
        self.seeds = tuple(addresses[:seeds])
        self.machines = {address: Machine(self, address) for address in addresses}
        self.cut: set[tuple[str, str]] = set()
        self.loss = self.doubled = self.late = 0.0
        for machine in self.machines.values():
            self.after(self.random.uniform(0, 0.3), partial(machine.start, bootstrap=True))

    def after(self, seconds: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._order), step))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, step = heapq.heappop(self._events)
            step()
        self.now = until

    def run_until(self, reached: Callable[[], bool], most_s: float) -> bool:
        """Run until something holds; False if it doesn't within the time."""
        until = self.now + most_s
        while not reached():
            if self.now >= until:
                return False
            self.run(0.01)
        return True

    def carry(self, sender: str, send: Send) -> None:
        """A message on its way: through the real codec, late, doubled or lost as the links are."""
        copies = 1 + (self.random.random() < self.doubled)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = self.random.uniform(0.0002, 0.0014)
            if self.random.random() < self.late:
                delay += self.random.uniform(0.0, 0.4)
            number, payload = number_of(send.message), encode(send.message)
            self.after(delay, partial(self._arrive, sender, send.to, number, payload))

    def _arrive(self, sender: str, to: str, number: int, payload: bytes) -> None:
        machine = self.machines.get(to)
        if machine is None or machine.member is None or (sender, to) in self.cut:
            return
        message = decode(number, payload)
        machine.run(machine.life, lambda member: member.receive(message, self.now))

    def separate(self, left: str, right: str, one_way: bool = False) -> None:
        self.cut.add((left, right))
        if not one_way:
            self.cut.add((right, left))

    def isolate(self, address: str) -> None:
        for other in self.machines:
            if other != address:
                self.separate(address, other)

    def heal(self) -> None:
        self.cut.clear()

    def add(self, address: str) -> None:
        """A machine that is new to the system."""
        machine = self.machines[address] = Machine(self, address)
        machine.start()

    def up(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.up]

    def active_tail(self) -> Machine | None:
        """The tail of the newest view that any running member knows, once that is active."""
        running = [machine for machine in self.up() if machine.member and machine.member.view]
        if not running:
            return None
        newest = max(m.member.view.epoch for m in running if m.member and m.member.view)
        for machine in running:
            member = machine.member
            if member and member.view and member.view.epoch == newest and member.chain.is_tail:
                return machine
        return None
