"""Links between simulated machines and gateways: delay, loss, duplication and partitions."""

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

# Called once with the reply to a pull, or with None after its time-out.
ReplyHandler = Callable[[PullReply | DeltaPullReply | None], None]

# The bounds of a message's random delay, and the maximum extra delay of a late one, in seconds.
MIN_DELAY_S = 0.0002
MAX_DELAY_S = 0.0014
MAX_EXTRA_DELAY_S = 0.4


class Network:
    """Delivers messages and calls, encoded by the real codec, depending on the state of the links.

    Attributes:
        blocked_links: the links that deliver nothing, as (sender, receiver).
        loss_rate: the fraction of messages that are lost.
        duplication_rate: the fraction of messages that are sent twice.
        extra_delay_rate: the fraction of messages with an extra delay, so that others overtake.
    """

    def __init__(
        self, scheduler: Scheduler, rng: random.Random, machines: Mapping[str, Machine]
    ) -> None:
        """Connect the machines in a mapping, which may change later; no link is blocked."""
        self._scheduler = scheduler
        self._random = rng
        self._machines = machines
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.extra_delay_rate = 0.0

    def send(self, sender: str, send: Send) -> None:
        """Send a message to a machine; it may be lost, duplicated or late."""
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
        """Send a call; `done` is called once, with the reply or with None after the time-out.

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
        """Block the link between two addresses, or only the direction from sender to receiver."""
        self.blocked_links.add((sender, receiver))
        if not one_way:
            self.blocked_links.add((receiver, sender))

    def isolate(self, address: str) -> None:
        """Block the links between a machine and all others; gateways still reach it."""
        for other in self._machines:
            if other != address:
                self.block_link(address, other)

    def restore_links(self) -> None:
        """Unblock all links."""
        self.blocked_links.clear()

    def _delay_s(self) -> float | None:
        """The random delay of a message, in seconds; None if the message is lost."""
        if self._random.random() < self.loss_rate:
            return None
        delay = self._random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        if self._random.random() < self.extra_delay_rate:
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
        """The receiver of a message, if it has a process and the link is not blocked."""
        machine = self._machines.get(receiver)
        if machine is None or machine.member is None or (sender, receiver) in self.blocked_links:
            return None
        return machine
