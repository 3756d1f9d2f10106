"""A simulated control plane: core machines over a network, in virtual time, from one seed."""

from __future__ import annotations

import itertools
import random
from functools import partial

from roselink.model.fleet import Host, HostState
from roselink.simulation.exceptions import SequenceConflictError
from roselink.simulation.history import Change, History
from roselink.simulation.machine import Machine
from roselink.simulation.network import Network
from roselink.simulation.scheduler import Scheduler

# How many machines are named as seeds in the settings.
MAX_SEEDS = 3
# Each machine starts at a random time within this offset, in seconds.
MAX_START_OFFSET_S = 0.3


class Cluster(Scheduler):
    """Machines, their network, and the history of all clients.

    Attributes:
        random: the only source of randomness, so that the same seed gives the same run.
        tolerated: how many machines the core may lose at a time.
        seeds: the addresses of the seeds in the settings.
        machines: the core machines, by address.
        network: the links between them, and to the gateways.
        history: the calls of all clients.
        changes: all configuration changes, by name.
        digests: the digests under which the changes were submitted, by name.
        confirmed_sequences: the sequence numbers of confirmed changes, by name.
        observed_names: the names of the changes that reads returned, by sequence number.
    """

    def __init__(
        self, seed: int, machines: int = 3, tolerated: int = 1, seeds: int = MAX_SEEDS
    ) -> None:
        """Create a core of `machines` machines, which all start within `MAX_START_OFFSET_S`."""
        super().__init__()
        self.random = random.Random(seed)
        self.tolerated = tolerated
        self._numbers = itertools.count(1)
        addresses = [f"10.0.0.{index + 1}:7500" for index in range(machines)]
        self.seeds = tuple(addresses[:seeds])
        self.machines = {address: Machine(self, address) for address in addresses}
        self.network = Network(self, self.random, self.machines)
        self.history = History()
        self.changes: dict[str, Change] = {}
        self.digests: dict[str, bytes] = {}
        self.confirmed_sequences: dict[str, int] = {}
        self.observed_names: dict[int, str | None] = {0: None}
        for machine in self.machines.values():
            delay = self.random.uniform(0, MAX_START_OFFSET_S)
            self.after(delay, partial(machine.start, bootstrap=True))

    def record_confirmed(self, name: str, sequence: int) -> None:
        """Record that a change was confirmed with a sequence number.

        Raises:
            SequenceConflictError: it was confirmed with another sequence number before, or another
                change has this one.
        """
        if self.confirmed_sequences.setdefault(name, sequence) != sequence:
            raise SequenceConflictError(sequence, name)
        self.record_observed(sequence, name)

    def record_observed(self, sequence: int, name: str | None) -> None:
        """Record that a configuration was returned with a sequence number.

        Raises:
            SequenceConflictError: another configuration was returned with that number before.
        """
        if self.observed_names.setdefault(sequence, name) != name:
            raise SequenceConflictError(sequence, name)

    def next_number(self) -> int:
        """A number that is unique in this cluster."""
        return next(self._numbers)

    def add(self, address: str) -> None:
        """Start a new machine; the settings now name the first of the present machines as seeds."""
        self.seeds = tuple(list(self.machines)[:MAX_SEEDS])
        machine = Machine(self, address)
        self.machines[address] = machine
        machine.start()

    def running_machines(self) -> list[Machine]:
        """The machines whose processes run."""
        return [machine for machine in self.machines.values() if machine.running]

    def active_tail(self) -> Machine | None:
        """The machine that is the tail of the newest view that a running member knows, if any."""
        running = [m for m in self.running_machines() if m.member and m.member.view]
        if not running:
            return None
        newest = max(m.member.view.epoch for m in running if m.member and m.member.view)
        for machine in running:
            member = machine.member
            if member and member.view and member.view.epoch == newest and member.chain.is_tail:
                return machine
        return None

    def listed_hosts(self) -> tuple[Host, ...]:
        """The platform's current host list: one host, whose id is the current time."""
        now = f"{self.now:012.3f}"
        return (Host(now, "model", "10.9.0.1:80", "z", "v1", 1, HostState.READY, 0.0, ("m",)),)
