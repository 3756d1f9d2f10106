"""Three members with their disks and all messages under way, as values that a search can keep by
thousands.

A step opens the machines that it concerns, changes them, and packs them again; all others are
shared between states. Time does not pass. A process that ends loses what was under way to it and
begins anew at once.
"""

from __future__ import annotations

import pickle
from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING, Any

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
from roselink.coordination.state import digest_of
from roselink.coordination.views import PeerStatus, plan
from roselink.protocol.chain import (
    Accept,
    Accepted,
    AcceptorState,
    ConfigurationChange,
    Heartbeat,
    Prepare,
    Promise,
    StoredState,
    View,
)
from roselink.protocol.records import (
    Record,
    decode,
    encode,
    record_number_of,
    record_number_of_class,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

RECORDS = {Store.ACCEPTOR: 33, Store.STATE: 36}
NOW = 100.0
LATER = NOW + 10.0  # when whatever had no answer is sent again
ADDRESSES = ("a:1", "b:1", "c:1")
CALLS_A_LIFE = 1000  # calls of one process are numbered from its session on

_names_of: dict[type[Any], tuple[str, ...]] = {}
_values: dict[type[Any], bool] = {}


class Trouble(Enum):
    """What may come only so often on one path."""

    KILL = "kill"
    WIPE = "wipe"
    PROPOSE = "propose"
    AGAIN = "again"
    READ = "read"


@dataclass(frozen=True, slots=True, order=True)
class Message:
    """A record under way, as it goes on the wire."""

    to: str
    number: int
    payload: bytes


@dataclass(slots=True)
class Machine:
    """One machine, opened: its process, its disk, and the saves that were asked of it."""

    member: Member
    disk: dict[Store, bytes]
    saves: list[Persist] = field(default_factory=list)
    lives: int = 1


@dataclass(frozen=True, slots=True)
class PackedMachine:
    """One machine, packed. `mark` is equal for machines that differ in nothing that matters."""

    data: bytes
    mark: int
    view: View | None
    heads: bool
    saving: bool
    votes: bytes
    state: bytes
    durable: bytes  # the history that the process takes for durable


@dataclass(frozen=True, slots=True)
class Told:
    """What callers know. `floors`: of reads under way, the newest sequence told before they
    began.
    """

    orders: tuple[tuple[int, ConfigurationChange], ...] = ()
    taken: tuple[tuple[bytes, int], ...] = ()
    refused: frozenset[bytes] = frozenset()
    floors: tuple[tuple[int, int], ...] = ()
    newest: int = 0


@dataclass(slots=True)
class System:
    """One state. Changed only by its methods, each on a copy."""

    machines: dict[str, PackedMachine] = field(default_factory=dict)
    messages: tuple[Message, ...] = ()
    spent: dict[Trouble, int] = field(default_factory=dict)
    told: Told = field(default_factory=Told)

    def copy(self) -> System:
        """Another one; machines and messages are values."""
        return System(dict(self.machines), self.messages, dict(self.spent), self.told)

    def mark(self) -> int:
        """Equal for states that differ in nothing that matters."""
        machines = tuple(machine.mark for machine in self.machines.values())
        spent = tuple(sorted((trouble.value, times) for trouble, times in self.spent.items()))
        return hash((tuple(sorted(self.messages)), machines, spent, self.told))

    # --- steps

    def deliver(self, place: int) -> None:
        """One message arrives."""
        message = self.messages[place]
        self.messages = self.messages[:place] + self.messages[place + 1 :]
        machine = _opened(self.machines[message.to])
        record = decode(message.number, message.payload)
        self._perform(message.to, machine, machine.member.receive(record, NOW))

    def save(self, address: str) -> None:
        """The oldest save of a machine is durable."""
        machine = _opened(self.machines[address])
        save = machine.saves.pop(0)
        machine.disk[save.store] = save.payload
        self._perform(address, machine, machine.member.persisted(save.store, NOW))

    def restart(self, address: str, wiped: bool) -> None:
        """A process ends and begins anew: its saves and messages to it are lost, and its disk if
        `wiped`.
        """
        machine = _opened(self.machines[address])
        self.messages = tuple(message for message in self.messages if message.to != address)
        self._begin(address, {} if wiped else machine.disk, machine.lives + 1, bootstrap=False)

    def propose(self, address: str, without: str) -> None:
        """A member proposes what it would if one of the others were silent."""
        machine = _opened(self.machines[address])
        member = machine.member
        if member.view is None or not member.acceptor.is_voter:
            return
        others = {
            each: _opened(packed).member
            for each, packed in self.machines.items()
            if each != without
        }
        others[address] = member
        wanted = plan(member.view, _picture(others), member.proposer.policy)
        if wanted is not None:
            member.proposer.propose(member.acceptor, member.view, wanted, NOW)
            self._perform(address, machine, member.collect_effects(NOW))

    def send_again(self, address: str) -> None:
        """A member sends what had no answer."""
        machine = _opened(self.machines[address])
        member = machine.member
        member.chain.resend(LATER)
        if member.view is not None:
            member.pending_calls.view_changed(member.view, NOW)
        self._perform(address, machine, member.collect_effects(NOW))

    def submit(self, address: str, order: ConfigurationChange) -> None:
        """A caller sends an order to a member."""
        machine = _opened(self.machines[address])
        number, effects = machine.member.submit(order, NOW)
        self.told = _with(self.told, orders=(*self.told.orders, (number, order)))
        self._perform(address, machine, effects)

    def read(self, address: str) -> None:
        """A caller asks a member for the newest configuration."""
        machine = _opened(self.machines[address])
        number, effects = machine.member.read(NOW)
        self.told = _with(self.told, floors=(*self.told.floors, (number, self.told.newest)))
        self._perform(address, machine, effects)

    # --- what steps are made of

    def begin(self) -> None:
        """All three start for the first time."""
        for address in ADDRESSES:
            self._begin(address, {}, 1, bootstrap=True)

    def _begin(self, address: str, disk: dict[Store, bytes], lives: int, bootstrap: bool) -> None:
        number = CALLS_A_LIFE * (len(ADDRESSES) * lives + ADDRESSES.index(address))
        whole = len(disk) == len(Store)
        votes = decode(RECORDS[Store.ACCEPTOR], disk[Store.ACCEPTOR]) if whole else None
        stored = decode(RECORDS[Store.STATE], disk[Store.STATE]) if whole else None
        start = Start(address, ADDRESSES, bootstrap, 1, number, number, votes, stored)
        machine = Machine(Member(start, NOW), disk, lives=lives)
        self._perform(address, machine, machine.member.begin(NOW))

    def _perform(self, address: str, machine: Machine, effects: list[Effect]) -> None:
        sent = []
        for effect in effects:
            if isinstance(effect, Send):
                if effect.to in ADDRESSES and not isinstance(effect.message, Heartbeat):
                    sent.append(
                        Message(effect.to, record_number_of(effect.message), encode(effect.message))
                    )
            elif isinstance(effect, Persist):
                machine.saves.append(effect)
            elif isinstance(effect, SubmitDone):
                self._order_ended(effect)
            elif isinstance(effect, ReadDone):
                self._read_ended(effect)
        self.messages = (*self.messages, *sent)
        self.machines[address] = _packed(machine)

    def _order_ended(self, done: SubmitDone) -> None:
        order = dict(self.told.orders)[done.number]
        taken = dict(self.told.taken)
        if isinstance(done.outcome, ChangeCommitted):
            sequence = done.outcome.sequence
            assert order.digest not in self.told.refused, "a refused order was confirmed"
            assert taken.setdefault(order.digest, sequence) == sequence, "one order in two places"
            newest = max(self.told.newest, sequence)
            self.told = _with(self.told, taken=tuple(sorted(taken.items())), newest=newest)
        elif isinstance(done.outcome, Conflict | StaleGeneration):
            assert order.digest not in taken, "a confirmed order was refused"
            self.told = _with(self.told, refused=self.told.refused | {order.digest})

    def _read_ended(self, done: ReadDone) -> None:
        floors = dict(self.told.floors)
        floor = floors.pop(done.number)
        newest = self.told.newest
        if done.confirmation is not None:
            shown = done.confirmation.sequence
            assert shown >= floor, "a read is older than what was told before it began"
            newest = max(newest, shown)
        self.told = _with(self.told, floors=tuple(sorted(floors.items())), newest=newest)


def _with(told: Told, **changes: Any) -> Told:
    known = {part.name: getattr(told, part.name) for part in fields(told)}
    return Told(**(known | changes))


def _opened(packed: PackedMachine) -> Machine:
    machine: Machine = pickle.loads(packed.data)
    return machine


def _packed(machine: Machine) -> PackedMachine:
    member = machine.member
    return PackedMachine(
        data=pickle.dumps(machine, protocol=pickle.HIGHEST_PROTOCOL),
        mark=hash((_frozen(member), _frozen(machine.disk), _frozen(machine.saves), machine.lives)),
        view=member.view,
        heads=member.chain.is_head,
        saving=bool(machine.saves),
        votes=machine.disk.get(Store.ACCEPTOR, b""),
        state=machine.disk.get(Store.STATE, b""),
        durable=member.chain.durable.history,
    )


def _picture(members: Mapping[str, Member]) -> dict[str, PeerStatus]:
    """These members, all well, hearing each other and nobody else."""
    heard = frozenset(members)
    return {address: _seen(member, heard - {address}) for address, member in members.items()}


def _seen(member: Member, heard: frozenset[str]) -> PeerStatus:
    view = member.view
    return PeerStatus(
        voter=member.voter,
        session=member.chain.session,
        epoch=view.epoch if view is not None else 0,
        state_epoch=member.chain.durable_epoch,
        participating=member.chain.participating,
        disk_ok=True,
        leaving=False,
        live=True,
        steady=True,
        since_heartbeat_s=0.0,
        reachable=heard,
    )


@lru_cache(maxsize=4096)
def stored_state(data: bytes) -> StoredState:
    """The state record on a disk."""
    stored: StoredState = decode(RECORDS[Store.STATE], data)
    return stored


@lru_cache(maxsize=4096)
def stored_votes(data: bytes) -> AcceptorState:
    """The votes on a disk."""
    votes: AcceptorState = decode(RECORDS[Store.ACCEPTOR], data)
    return votes


def _field_names(kind: type[Any]) -> tuple[str, ...]:
    names = _names_of.get(kind)
    if names is None:
        names = _names_of[kind] = tuple(part.name for part in fields(kind))
    return names


def _is_value(kind: type[Any]) -> bool:
    """Whether its objects never change and have a hash of what they hold."""
    known = _values.get(kind)
    if known is None:
        parameters = getattr(kind, "__dataclass_params__", None)
        frozen = parameters is not None and bool(parameters.frozen)
        known = _values[kind] = frozen or issubclass(kind, (int, str, bytes, type(None), Enum))
    return known


def _frozen(value: Any) -> Any:
    """A hashable copy of a machine's parts; what is called, and times, left out."""
    kind = type(value)
    if _is_value(kind):
        return value
    if kind is float or callable(value):
        return None
    if kind is list or kind is tuple:
        return tuple([_frozen(each) for each in value])
    if kind is dict:
        return tuple([(key, _frozen(each)) for key, each in value.items()])
    if kind is set:
        return frozenset(value)
    if kind is Member:
        parts = (
            value.acceptor,
            value.reply_gate,
            value.chain,
            value.proposer,
            value.reads,
            value.sequencer,
            value.pending_calls,
        )
        return tuple([_frozen(part) for part in parts])
    if is_dataclass(value):
        return tuple([_frozen(getattr(value, name)) for name in _field_names(kind)])
    raise AssertionError(f"{kind.__name__} has no place in a state")


# --- where a search begins


def order_on(base: int, generation: int, text: str = "") -> ConfigurationChange:
    """A small order."""
    document = f"{base}-{generation}-{text}".encode()
    return ConfigurationChange(base, generation, document, digest_of(base, document))


def settle(system: System, held_up: str = "") -> None:
    """Take steps, saves first, until nothing is under way but what goes to a machine that is held
    up.
    """
    while True:
        saving = [address for address, machine in system.machines.items() if machine.saving]
        due = [place for place, message in enumerate(system.messages) if message.to != held_up]
        if saving:
            system.save(saving[0])
        elif due:
            system.deliver(due[0])
        else:
            return


def calm_system() -> System:
    """A chain of three that is active, with nothing under way."""
    system = System()
    system.begin()
    settle(system)
    return system


def settle_only(system: System, *records: type[Record]) -> None:
    """The same, but all messages of other records stay under way."""
    numbers = {record_number_of_class(record) for record in records}
    while True:
        saving = [address for address, machine in system.machines.items() if machine.saving]
        due = [place for place, message in enumerate(system.messages) if message.number in numbers]
        if saving:
            system.save(saving[0])
        elif due:
            system.deliver(due[0])
        else:
            return


def view_accepted() -> System:
    """Two of three have accepted a view without the tail, and nobody knows that it is decided."""
    system = calm_system()
    system.propose("a:1", without="c:1")
    settle_only(system, Prepare, Promise, Accept)
    return system


def view_decided() -> System:
    """The proposer knows of the view without the tail; all others are still to hear of it."""
    system = view_accepted()
    settle_only(system, Accepted)
    return system


def member_joining() -> System:
    """The tail's disk was lost, and the view that takes it in again has just been decided."""
    system = calm_system()
    system.submit("a:1", order_on(0, 3))
    settle(system)
    system.restart("c:1", wiped=True)
    settle(system)
    system.propose("a:1", without="")
    settle_only(system, Prepare, Promise, Accept, Accepted)
    return system


def left_behind(address: str) -> System:
    """The others have gone on without a member, and confirmed an order; it has not heard of that
    yet.
    """
    system = calm_system()
    proposer = "b:1" if address == "a:1" else "a:1"
    system.propose(proposer, without=address)
    settle(system, held_up=address)
    system.submit(proposer, order_on(0, 3))
    settle(system, held_up=address)
    return system


def two_proposers() -> System:
    """Two members propose different views at once."""
    system = calm_system()
    system.propose("a:1", without="c:1")
    system.propose("b:1", without="a:1")
    return system
