"""The state of a core of three members, compact enough for a model checker to keep thousands.

A state has the members with their disks, and all messages in flight. A step unpacks the machines
that it changes and packs them again; all other machines are shared between states. The clock stands
still. A process that ends loses the messages in flight to it. It restarts at once, unless it left:
then its machine is gone for good.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

from roselink.coordination.effects import (
    ChangeCommitted,
    Conflict,
    Effect,
    Persist,
    ReadDone,
    Send,
    StaleGeneration,
    Store,
    SubmitDone,
)
from roselink.coordination.member import Member, Start
from roselink.coordination.peer_status import PeerStatus
from roselink.coordination.views import plan
from roselink.protocol.chain import ConfigurationChange, Heartbeat
from roselink.protocol.records import decode, encode, record_number_of
from roselink.simulation.packing import RECORD_NUMBERS, PackedMachine, UnpackedMachine, pack, unpack

if TYPE_CHECKING:
    from collections.abc import Mapping

# The time of all steps, and a time by which all retry intervals have elapsed, in seconds.
NOW = 100.0
RETRANSMIT_TIME = NOW + 10.0
ADDRESSES = ("a:1", "b:1", "c:1")
# A process numbers its calls from its session number on; sessions differ by this many numbers.
CALLS_PER_PROCESS = 1000


class StepKind(Enum):
    """The kinds of steps.

    The number of all but `DELIVER`, `SAVE` and `END` is limited on each path.
    """

    DELIVER = "deliver"
    SAVE = "save"
    KILL = "kill"
    WIPE = "wipe"
    PROPOSE = "propose"
    RETRANSMIT = "again"
    READ = "read"
    LEAVE = "leave"
    END = "end"


@dataclass(frozen=True, slots=True, order=True)
class Message:
    """An encoded record in flight."""

    receiver: str
    number: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ClientKnowledge:
    """What clients have submitted and the results that they have received.

    Attributes:
        changes: the submitted changes, by the numbers of their calls.
        confirmed: the sequence numbers of confirmed changes, by digest.
        refused: the digests of refused changes.
        read_lower_bounds: the newest sequence number that was known before each read in flight
            started, by the number of the read.
        newest: the newest sequence number that was confirmed or returned by a read.
    """

    changes: tuple[tuple[int, ConfigurationChange], ...] = ()
    confirmed: tuple[tuple[bytes, int], ...] = ()
    refused: frozenset[bytes] = frozenset()
    read_lower_bounds: tuple[tuple[int, int], ...] = ()
    newest: int = 0


@dataclass(slots=True)
class System:
    """One state, modified by the methods for steps; call `copy` before a step to keep it.

    Attributes:
        machines: the packed machines, by address, without those that have left.
        messages: the messages in flight.
        step_counts: how often each kind of limited step has happened on the path to this state.
        client_knowledge: the calls and results of clients.
        tolerated: how many machines may be lost at once.
        ended: the addresses of the machines that have left.
    """

    machines: dict[str, PackedMachine] = field(default_factory=dict)
    messages: tuple[Message, ...] = ()
    step_counts: dict[StepKind, int] = field(default_factory=dict)
    client_knowledge: ClientKnowledge = field(default_factory=ClientKnowledge)
    tolerated: int = 1
    ended: frozenset[str] = frozenset()

    def copy(self) -> System:
        """An equal state, which shares the machines and messages."""
        return System(
            dict(self.machines),
            self.messages,
            dict(self.step_counts),
            self.client_knowledge,
            self.tolerated,
            self.ended,
        )

    def fingerprint(self) -> int:
        """Equal for states with the same behaviour-relevant content."""
        machines = tuple(
            (address, machine.fingerprint) for address, machine in self.machines.items()
        )
        counts = tuple(sorted((kind.value, count) for kind, count in self.step_counts.items()))
        return hash((tuple(sorted(self.messages)), machines, counts, self.client_knowledge))

    # --- steps

    def deliver(self, index: int) -> None:
        """Deliver the message with this index in `messages`."""
        message = self.messages[index]
        self.messages = self.messages[:index] + self.messages[index + 1 :]
        machine = unpack(self.machines[message.receiver])
        record = decode(message.number, message.payload)
        self._perform(message.receiver, machine, machine.member.receive(record, NOW))

    def save(self, address: str) -> None:
        """Make the oldest save of a machine durable."""
        machine = unpack(self.machines[address])
        save = machine.saves.pop(0)
        machine.disk[save.store] = save.payload
        self._perform(address, machine, machine.member.persisted(save.store, NOW))

    def restart(self, address: str, *, wiped: bool) -> None:
        """Restart a process, which loses its saves and the messages in flight to it.

        Args:
            address: the machine.
            wiped: whether the disk is lost too.
        """
        machine = unpack(self.machines[address])
        self.messages = tuple(message for message in self.messages if message.receiver != address)
        self._begin(address, {} if wiped else machine.disk, machine.starts + 1, bootstrap=False)

    def leave(self, address: str) -> None:
        """Have a process begin to leave; its machine will be gone for good."""
        machine = unpack(self.machines[address])
        self._perform(address, machine, machine.member.leave(NOW))

    def end(self, address: str) -> None:
        """End a process that has left, with its machine."""
        self.messages = tuple(message for message in self.messages if message.receiver != address)
        del self.machines[address]
        self.ended |= {address}

    def propose(self, address: str, without: str) -> None:
        """Have a member propose the view that it would propose if another member had failed."""
        machine = unpack(self.machines[address])
        member = machine.member
        if member.view is None or not member.acceptor.is_voter:
            return
        others = {
            each: unpack(packed).member for each, packed in self.machines.items() if each != without
        }
        others[address] = member
        wanted = plan(member.view, _membership_of(others), member.proposer.policy)
        if wanted is not None:
            member.proposer.propose(member.acceptor, member.view, wanted, NOW)
            self._perform(address, machine, member.collect_effects(NOW))

    def retransmit(self, address: str) -> None:
        """Have a member retransmit all messages without a reply."""
        machine = unpack(self.machines[address])
        member = machine.member
        member.chain.resend(RETRANSMIT_TIME)
        member.departure.advance(member.view, RETRANSMIT_TIME)
        if member.view is not None:
            member.pending_calls.view_changed(member.view, NOW)
        self._perform(address, machine, member.collect_effects(NOW))

    def submit(self, address: str, change: ConfigurationChange) -> None:
        """Have a client submit a change to a member."""
        machine = unpack(self.machines[address])
        number, effects = machine.member.submit(change, NOW)
        self.client_knowledge = replace(
            self.client_knowledge, changes=(*self.client_knowledge.changes, (number, change))
        )
        self._perform(address, machine, effects)

    def read(self, address: str) -> None:
        """Have a client read the newest configuration at a member."""
        machine = unpack(self.machines[address])
        number, effects = machine.member.read(NOW)
        lower_bounds = (
            *self.client_knowledge.read_lower_bounds,
            (number, self.client_knowledge.newest),
        )
        self.client_knowledge = replace(self.client_knowledge, read_lower_bounds=lower_bounds)
        self._perform(address, machine, effects)

    # --- parts of steps

    def begin(self) -> None:
        """Start all three machines for the first time."""
        for address in ADDRESSES:
            self._begin(address, {}, 1, bootstrap=True)

    def _begin(
        self, address: str, disk: dict[Store, bytes], starts: int, *, bootstrap: bool
    ) -> None:
        session = CALLS_PER_PROCESS * (len(ADDRESSES) * starts + ADDRESSES.index(address))
        complete = len(disk) == len(Store)
        acceptor_state = (
            decode(RECORD_NUMBERS[Store.ACCEPTOR], disk[Store.ACCEPTOR]) if complete else None
        )
        stored = decode(RECORD_NUMBERS[Store.STATE], disk[Store.STATE]) if complete else None
        start = Start(
            address=address,
            seeds=ADDRESSES,
            bootstrap=bootstrap,
            tolerated=self.tolerated,
            session=session,
            fresh_incarnation=session,
            acceptor_state=acceptor_state,
            state=stored,
        )
        machine = UnpackedMachine(Member(start, NOW), disk, starts=starts)
        self._perform(address, machine, machine.member.begin(NOW))

    def _perform(self, address: str, machine: UnpackedMachine, effects: list[Effect]) -> None:
        sent = []
        for effect in effects:
            if isinstance(effect, Send):
                if (
                    effect.to in ADDRESSES
                    and effect.to not in self.ended
                    and not isinstance(effect.message, Heartbeat)
                ):
                    sent.append(
                        Message(effect.to, record_number_of(effect.message), encode(effect.message))
                    )
            elif isinstance(effect, Persist):
                machine.saves.append(effect)
            elif isinstance(effect, SubmitDone):
                self._submit_ended(effect)
            elif isinstance(effect, ReadDone):
                self._read_ended(effect)
        self.messages = (*self.messages, *sent)
        self.machines[address] = pack(machine)

    def _submit_ended(self, done: SubmitDone) -> None:
        digest = dict(self.client_knowledge.changes)[done.number].digest
        confirmed = dict(self.client_knowledge.confirmed)
        if isinstance(done.outcome, ChangeCommitted):
            sequence = done.outcome.sequence
            assert digest not in self.client_knowledge.refused, "a refused change was confirmed"
            assert confirmed.setdefault(digest, sequence) == sequence, "one change, two sequences"
            self.client_knowledge = replace(
                self.client_knowledge,
                confirmed=tuple(sorted(confirmed.items())),
                newest=max(self.client_knowledge.newest, sequence),
            )
        elif isinstance(done.outcome, Conflict | StaleGeneration):
            assert digest not in confirmed, "a confirmed change was refused"
            self.client_knowledge = replace(
                self.client_knowledge, refused=self.client_knowledge.refused | {digest}
            )

    def _read_ended(self, done: ReadDone) -> None:
        lower_bounds = dict(self.client_knowledge.read_lower_bounds)
        lower_bound = lower_bounds.pop(done.number)
        newest = self.client_knowledge.newest
        if done.confirmation is not None:
            sequence = done.confirmation.sequence
            assert sequence >= lower_bound, "a read returned less than was known before it started"
            newest = max(newest, sequence)
        self.client_knowledge = replace(
            self.client_knowledge,
            read_lower_bounds=tuple(sorted(lower_bounds.items())),
            newest=newest,
        )


def _membership_of(members: Mapping[str, Member]) -> dict[str, PeerStatus]:
    """The status of these members if all are healthy and reach only each other."""
    reachable = frozenset(members)
    return {
        address: _peer_status_of(member, reachable - {address})
        for address, member in members.items()
    }


def _peer_status_of(member: Member, reachable: frozenset[str]) -> PeerStatus:
    view = member.view
    return PeerStatus(
        voter=member.voter,
        session=member.chain.session,
        epoch=view.epoch if view is not None else 0,
        state_epoch=member.chain.durable_epoch,
        participating=member.chain.participating,
        disk_ok=True,
        leaving=member.departure.requested,
        live=True,
        stable=True,
        since_heartbeat_s=0.0,
        reachable=reachable,
    )
