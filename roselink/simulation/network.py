"""Links between simulated machines and gateways: delays, losses, duplicates and partitions."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from roselink.protocol.pull import DeltaPullReply, PullReply
from roselink.protocol.records import Record, decode, encode, record_number_of

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from roselink.coordination.effects import Send
    from roselink.simulation.machine import Machine
    from roselink.simulation.scheduler import Scheduler

# Handles the outcome of a pull, once: the reply, or None without one in time.
ReplyHandler = Callable[[PullReply | DeltaPullReply | None], None]

# The delay of a message, in seconds: uniform between these; of a late one, up to so much more.
MIN_DELAY_S = 0.0002
MAX_DELAY_S = 0.0014
MAX_EXTRA_DELAY_S = 0.4


class Network:
    """Carries messages and calls through the real codec, by the state of the links.

    Attributes:
        cut_links: the links that carry nothing, as (sender, receiver).
        loss: the fraction of messages that are lost.
        duplication: the fraction of messages that arrive twice.
        lateness: the fraction of messages that are delayed much longer, and overtaken.
    """

    def __init__(
        self, scheduler: Scheduler, rng: random.Random, machines: Mapping[str, Machine]
    ) -> None:
        """Connect machines, which may come and go in their mapping; all links carry."""
        self._scheduler = scheduler
        self._random = rng
        self._machines = machines
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.late_rate = 0.0

    def send(self, sender: str, send: Send) -> None:
        """Send a message to a machine: late, twice or not at all, as the links are."""
        copies = 1 + (self._random.random() < self.duplication_rate)
        for _ in range(copies):
            delay = self._delay_s()
            if delay is not None:
                number = record_number_of(send.message)
                payload = encode(send.message)
                self._scheduler.after(
                    delay, partial(self._deliver, sender, send.to, number, payload)
                )

    def call(
        self,
        sender: str,
        receiver: str,
        message: Record,
        timeout_s: float,
        done: ReplyHandler,
    ) -> None:
        """Send a call, which ends once: with the reply, or with None after the time-out.

        A reply after the time-out is dropped.
        """
        payload = encode(message)
        number = record_number_of(message)
        pending = [True]

        def finish(reply: PullReply | DeltaPullReply | None) -> None:
            if pending[0]:
                pending[0] = False
                done(reply)

        def send_reply(reply: PullReply | DeltaPullReply | None) -> None:
            delay = self._delay_s()
            if delay is not None:
                self._scheduler.after(
                    delay,
                    lambda: None if (receiver, sender) in self.blocked_links else finish(reply),
                )

        def arrive() -> None:
            machine = self._reachable_machine(sender, receiver)
            if machine is not None:
                handle = partial(machine.handle_pull, decode(number, payload), send_reply)
                machine.run(machine.process_number, handle)

        delay = self._delay_s()
        if delay is not None:
            self._scheduler.after(delay, arrive)
        self._scheduler.after(timeout_s, lambda: finish(None))

    def block_link(self, sender: str, receiver: str, *, one_way: bool = False) -> None:
        """Cut the link between two addresses, or only that from the sender to the receiver."""
        self.blocked_links.add((sender, receiver))
        if not one_way:
            self.blocked_links.add((receiver, sender))

    def isolate(self, address: str) -> None:
        """Cut a machine off from all other machines; gateways still reach it."""
        for other in self._machines:
            if other != address:
                self.block_link(address, other)

    def restore_links(self) -> None:
        """Have all links carry again."""
        self.blocked_links.clear()

    def _delay_s(self) -> float | None:
        """How long a message takes, in seconds, or None when it is lost."""
        if self._random.random() < self.loss_rate:
            return None
        delay = self._random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        if self._random.random() < self.late_rate:
            delay += self._random.uniform(0.0, MAX_EXTRA_DELAY_S)
        return delay

    def _deliver(self, sender: str, receiver: str, number: int, payload: bytes) -> None:
        machine = self._reachable_machine(sender, receiver)
        if machine is not None:
            message = decode(number, payload)
            machine.run(
                machine.process_number, lambda member: member.receive(message, self._scheduler.now)
            )

    def _reachable_machine(self, sender: str, receiver: str) -> Machine | None:
        """The machine that a message reaches, if it has a process and the link carries."""
        machine = self._machines.get(receiver)
        if machine is None or machine.member is None or (sender, receiver) in self.blocked_links:
            return None
        return machine
