"""A simulated control plane: core members over a network, disks and a clock that are in memory
only.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

from roselink.controller.pull_effects import (
    ForwardedDeltaPull,
    ForwardToTail,
    PullEffect,
    RequestConfirmation,
    SendDeltaReply,
    SendReply,
)
from roselink.controller.pull_server import PullServer
from roselink.controller.storage import Storage, record_number
from roselink.coordination.effects import (
    Confirmation,
    Effect,
    Persist,
    ReadDone,
    Send,
    SubmitDone,
    SubmitOutcome,
    ViewChanged,
)
from roselink.coordination.member import TICK_S, Member, Start
from roselink.model.fleet import Host, HostState
from roselink.protocol.records import Record, decode, encode, record_number_of
from roselink.simulation.disk import FOLDER, Broken, MemoryFiles
from roselink.simulation.history import Change, History
from roselink.simulation.timeline import Timeline

if TYPE_CHECKING:
    from roselink.protocol.chain import ConfigurationChange
    from roselink.protocol.pull import DeltaPullRequest

SEEDS = 3  # that settings name
SAVE_S = 0.015
SAVE_STEPS = 14  # of a save on a disk, about
FORWARD_TIMEOUT_S = 0.4
LIST_EVERY_S = 0.3  # between readings of the platform's list
LIST_TAKES_S = 0.02

Replied = Callable[[Any], None]


@dataclass
class Disk:
    """Saves one after the other, through the real `Storage`."""

    files: MemoryFiles = field(default_factory=MemoryFiles)
    queue: list[Persist] = field(default_factory=list)
    latency_s: float = SAVE_S
    busy: bool = False
    stalled: bool = False

    @property
    def full(self) -> bool:
        """Whether it refuses every write."""
        return self.files.full

    @full.setter
    def full(self, full: bool) -> None:
        self.files.full = full


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
        self.storage = Storage(FOLDER, self.disk.files)
        self.pull_server = PullServer()
        self.pulls: dict[int, Replied] = {}

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return self.member is not None and not self.frozen

    def start(self, bootstrap: bool = False) -> None:
        """Begin a process on the disk as it is."""
        self.life += 1
        self.storage = Storage(FOLDER, self.disk.files)
        votes, state = self.storage.load()
        draw = self.world.random
        start = Start(
            address=self.address,
            seeds=self.world.seeds,
            bootstrap=bootstrap,
            tolerated=self.world.tolerated,
            session=draw.getrandbits(60) + 1,
            fresh_incarnation=draw.getrandbits(60) + 1,
            acceptor_state=votes,
            state=state,
        )
        self.member = Member(start, self.world.now)
        self.pull_server = PullServer()
        self.frozen = False
        self.perform(self.member.begin(self.world.now))
        self._tick(self.life)
        self._read_platform(self.life)

    def kill(self, power: bool = False) -> None:
        """The process ends at once, maybe in a save; with `power` what was not synced may be lost
        or torn.
        """
        self.life += 1
        self.member = None
        self.frozen = False
        self.held_up = []
        self.submits, self.reads, self.pulls = {}, {}, {}
        queue, self.disk.queue = self.disk.queue, []
        self.disk.busy = False
        if queue and not self.disk.stalled:
            self._break_off(queue[0])
        if power:
            self.disk.files.lose_power(self.world.random)

    def _break_off(self, save: Persist) -> None:
        files = self.disk.files
        files.fail(self.world.random.randint(1, SAVE_STEPS), Broken, on=True)
        try:
            self.storage.save(save.store, record_number(save.store), save.payload)
        except (Broken, OSError):
            pass  # left as it is
        finally:
            files.heal()

    def wipe(self) -> None:
        """The disk is lost; only while no process runs."""
        self.disk = Disk()

    def freeze(self) -> None:
        """The process stands still."""
        self.frozen = True

    def thaw(self) -> None:
        """It wakes, and finds what came meanwhile."""
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

    # --- what callers ask

    def submit(self, order: ConfigurationChange, done: Callable[[SubmitOutcome], None]) -> None:
        """Carry an order."""
        if self.member is None:
            raise AssertionError("no process")
        number, effects = self.member.submit(order, self.world.now)
        self.submits[number] = done
        self.perform(effects)

    def read(self, done: Callable[[Confirmation | None], None]) -> None:
        """Carry a confirmed read."""
        if self.member is None:
            raise AssertionError("no process")
        number, effects = self.member.read(self.world.now)
        self.reads[number] = done
        self.perform(effects)

    def take_pull(
        self, message: DeltaPullRequest | ForwardedDeltaPull, reply: Replied, _: Member
    ) -> list[Effect]:
        """Answer a gateway's pull, or one that another member sent on."""
        number = self.world.number()
        self.pulls[number] = reply
        forwarded = isinstance(message, ForwardedDeltaPull)
        self._serve(
            self.pull_server.pull_received(
                self.world.now, number, message.pull, forwarded=forwarded, delta=True
            )
        )
        return []

    # --- effects

    def perform(self, effects: list[Effect]) -> None:
        """Carry out what the member said."""
        for effect in effects:
            if isinstance(effect, Send):
                self.world.carry(self.address, effect)
            elif isinstance(effect, Persist):
                self.disk.queue.append(effect)
                self._save_next(self.life)
            elif isinstance(effect, SubmitDone):
                self.submits.pop(effect.number)(effect.outcome)
            elif isinstance(effect, ReadDone):
                self.reads.pop(effect.number)(effect.confirmation)
            elif isinstance(effect, ViewChanged):
                self._view_changed()

    def _view_changed(self) -> None:
        if self.member is None or self.member.view is None:
            return
        view = self.member.view
        host, _, port = view.chain[-1].voter.address.rpartition(":")
        cores = tuple(voter.address for voter in view.voters)
        is_tail = self.member.chain.is_tail
        self._serve(
            self.pull_server.view_changed(
                self.world.now, view.epoch, (host, int(port)), cores, is_tail=is_tail
            )
        )

    def _serve(self, effects: list[PullEffect]) -> None:
        for effect in effects:
            match effect:
                case RequestConfirmation(number):
                    self.read(partial(self._confirmed, number))
                case ForwardToTail(number, (host, port), message):
                    forwarded = partial(self._forwarded, self.life, number)
                    to = f"{host}:{port}"
                    self.world.call(self.address, to, message, FORWARD_TIMEOUT_S, forwarded)
                case SendReply(number, reply) | SendDeltaReply(number, reply):
                    answered = self.pulls.pop(number, None)
                    if answered is not None:
                        answered(reply)

    def _confirmed(self, number: int, confirmation: Confirmation | None) -> None:
        self._serve(self.pull_server.confirmation_received(self.world.now, number, confirmation))

    def _forwarded(self, life: int, number: int, reply: Any) -> None:
        def step(member: Member) -> list[Effect]:
            self._serve(self.pull_server.forward_completed(self.world.now, number, reply))
            return []

        self.run(life, step)

    def _read_platform(self, life: int) -> None:
        """The tail reads the list of hosts; which reading it was stands in the host's name."""
        if life != self.life or self.member is None:
            return
        self.world.after(LIST_EVERY_S, partial(self._read_platform, life))
        if self.frozen or not self.member.chain.is_tail or self.member.view is None:
            return
        hosts, epoch = self.world.listed_hosts(), self.member.view.epoch

        def listed(member: Member) -> list[Effect]:
            self._serve(self.pull_server.hosts_listed(self.world.now, epoch, hosts))
            return []

        self.world.after(LIST_TAKES_S, lambda: self.run(life, listed))

    # --- the disk

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
        save = self.disk.queue.pop(0)
        try:
            self.storage.save(save.store, record_number(save.store), save.payload)
        except OSError:
            self.run(life, lambda member: member.persist_failed(save.store, self.world.now))
        else:
            self.run(life, lambda member: member.persisted(save.store, self.world.now))
        self._save_next(life)

    def _tick(self, life: int) -> None:
        if life != self.life or self.member is None:
            return
        if not self.frozen:
            self.perform(self.member.tick(self.world.now))
        self.world.after(TICK_S, lambda: self._tick(life))


class World(Timeline):
    """Machines, links and time."""

    def __init__(
        self, seed: int, machines: int = 3, tolerated: int = 1, seeds: int = SEEDS
    ) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.tolerated = tolerated
        self._numbers = itertools.count(1)
        addresses = [f"10.0.0.{index + 1}:7500" for index in range(machines)]
        self.seeds = tuple(addresses[:seeds])
        self.machines = {address: Machine(self, address) for address in addresses}
        self.cut: set[tuple[str, str]] = set()
        self.loss = self.doubled = self.late = 0.0
        self.history = History()
        self.changes: dict[str, Change] = {}  # by their texts
        self.taken: dict[str, int] = {}  # the sequences of confirmed orders, by their texts
        self.shown: dict[int, str | None] = {0: None}  # the texts that were shown under sequences
        self.digests: dict[str, bytes] = {}  # of the orders that they were sent as
        for machine in self.machines.values():
            self.after(self.random.uniform(0, 0.3), partial(machine.start, bootstrap=True))

    def note_taken(self, text: str, sequence: int) -> None:
        """An order was confirmed in a place: always the same, and no other order's."""
        if self.taken.setdefault(text, sequence) != sequence:
            raise AssertionError("one order in two places")
        self.note_shown(sequence, text)

    def note_shown(self, sequence: int, text: str | None) -> None:
        """A configuration was shown under a sequence: always the same."""
        if self.shown.setdefault(sequence, text) != text:
            raise AssertionError("two configurations under one sequence")

    def number(self) -> int:
        """A number that nothing else has."""
        return next(self._numbers)

    # --- links

    def carry(self, sender: str, send: Send) -> None:
        """A message on its way: through the real codec, late, doubled or lost as the links are."""
        copies = 1 + (self.random.random() < self.doubled)
        for _ in range(copies):
            delay = self.delay()
            if delay is not None:
                number, payload = record_number_of(send.message), encode(send.message)
                self.after(delay, partial(self._arrive, sender, send.to, number, payload))

    def delay(self) -> float | None:
        """How long a message takes, or None when it is lost."""
        if self.random.random() < self.loss:
            return None
        delay = self.random.uniform(0.0002, 0.0014)
        return delay + (self.random.uniform(0.0, 0.4) if self.random.random() < self.late else 0.0)

    def _arrive(self, sender: str, to: str, number: int, payload: bytes) -> None:
        machine = self.machines.get(to)
        if machine is None or machine.member is None or (sender, to) in self.cut:
            return
        message = decode(number, payload)
        machine.run(machine.life, lambda member: member.receive(message, self.now))

    def call(
        self,
        sender: str,
        to: str,
        message: Record,
        timeout_s: float,
        done: Replied,
    ) -> None:
        """A call with one outcome: the reply, or None. A reply after the time-out reaches
        nobody.
        """
        payload = encode(message)
        number = record_number_of(message)
        open_call = [True]

        def finish(reply: Any) -> None:
            if open_call[0]:
                open_call[0] = False
                done(reply)

        def send_back(reply: Any) -> None:
            delay = self.delay()
            if delay is not None:
                self.after(delay, lambda: None if (to, sender) in self.cut else finish(reply))

        def arrive() -> None:
            machine = self.machines.get(to)
            if machine is not None and machine.member is not None and (sender, to) not in self.cut:
                machine.run(
                    machine.life, partial(machine.take_pull, decode(number, payload), send_back)
                )

        delay = self.delay()
        if delay is not None:
            self.after(delay, arrive)
        self.after(timeout_s, lambda: finish(None))

    def separate(self, left: str, right: str, one_way: bool = False) -> None:
        """Cut a link."""
        self.cut.add((left, right))
        if not one_way:
            self.cut.add((right, left))

    def isolate(self, address: str) -> None:
        """Cut a machine off from all other machines; gateways still reach it."""
        for other in self.machines:
            if other != address:
                self.separate(address, other)

    def heal(self) -> None:
        """All links carry again."""
        self.cut.clear()

    # --- machines

    def add(self, address: str) -> None:
        """A machine that is new to the system. Settings name machines that are there by then."""
        self.seeds = tuple(list(self.machines)[:SEEDS])
        machine = self.machines[address] = Machine(self, address)
        machine.start()

    def up(self) -> list[Machine]:
        """The machines whose processes run."""
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

    def listed_hosts(self) -> tuple[Host, ...]:
        """The platform's list just now: one host, named by the moment."""
        moment = f"{self.now:012.3f}"
        return (Host(moment, "model", "10.9.0.1:80", "z", "v1", 1, HostState.READY, 0.0, ("m",)),)
