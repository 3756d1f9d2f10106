"""The initial states of the model checker, and the steps that construct them."""

from __future__ import annotations

from roselink.coordination.state import digest_of
from roselink.protocol.chain import Accept, Accepted, ConfigurationChange, Prepare, Promise
from roselink.protocol.records import Record, record_number_of_class
from roselink.simulation.system_state import System


def change_on(base: int, generation: int, text: str = "") -> ConfigurationChange:
    """A change with a small document on a base generation."""
    document = f"{base}-{generation}-{text}".encode()
    return ConfigurationChange(base, generation, document, digest_of(base, document))


def run_to_quiescence(system: System, *, unreachable: str = "") -> None:
    """Complete saves and deliver messages, saves first, until none is left.

    Args:
        system: the state, which is modified.
        unreachable: the address to which no messages are delivered; empty for none.
    """
    while True:
        saving = [address for address, machine in system.machines.items() if machine.saving]
        deliverable = [
            index
            for index, message in enumerate(system.messages)
            if message.receiver != unreachable
        ]
        if saving:
            system.save(saving[0])
        elif deliverable:
            system.deliver(deliverable[0])
        else:
            return


def idle_system() -> System:
    """An active chain of three members, with no messages in flight."""
    system = System()
    system.begin()
    run_to_quiescence(system)
    return system


def deliver_only(system: System, *records: type[Record]) -> None:
    """Complete saves and deliver messages of some record types; others stay in flight."""
    numbers = {record_number_of_class(record) for record in records}
    while True:
        saving = [address for address, machine in system.machines.items() if machine.saving]
        deliverable = [
            index for index, message in enumerate(system.messages) if message.number in numbers
        ]
        if saving:
            system.save(saving[0])
        elif deliverable:
            system.deliver(deliverable[0])
        else:
            return


def view_accepted() -> System:
    """Two of three members have accepted a view without the tail, and none knows it as decided."""
    system = idle_system()
    system.propose("a:1", without="c:1")
    deliver_only(system, Prepare, Promise, Accept)
    return system


def view_decided() -> System:
    """Only the proposer knows that the view without the tail is decided."""
    system = view_accepted()
    deliver_only(system, Accepted)
    return system


def members_leaving() -> System:
    """Two of three members leave; only one of them knows that a view without them is decided.

    No loss is tolerated, so that one voter suffices.
    """
    system = System(tolerated=0)
    system.begin()
    run_to_quiescence(system)
    system.leave("a:1")
    system.leave("b:1")
    system.propose("b:1", without="")
    deliver_only(system, Prepare, Promise, Accept, Accepted)
    return system


def member_joining() -> System:
    """The tail lost its disk, and the view that adds it again has just been decided."""
    system = idle_system()
    system.submit("a:1", change_on(0, 3))
    run_to_quiescence(system)
    system.restart("c:1", wiped=True)
    run_to_quiescence(system)
    system.propose("a:1", without="")
    deliver_only(system, Prepare, Promise, Accept, Accepted)
    return system


def member_partitioned(address: str) -> System:
    """The other members have formed a view without one, and have confirmed a change in it."""
    system = idle_system()
    proposer = "b:1" if address == "a:1" else "a:1"
    system.propose(proposer, without=address)
    run_to_quiescence(system, unreachable=address)
    system.submit(proposer, change_on(0, 3))
    run_to_quiescence(system, unreachable=address)
    return system


def two_proposers() -> System:
    """Two members propose different views at the same time."""
    system = idle_system()
    system.propose("a:1", without="c:1")
    system.propose("b:1", without="a:1")
    return system
