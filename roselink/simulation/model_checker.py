"""An explicit-state model checker for the real state machines.

It explores every order of a few steps, breadth first, and visits each state once. A step delivers
one message (any of them, since links may reorder; an undelivered one counts as lost), completes a
save, restarts a process with or without its disk, has a member propose another view or retransmit
unanswered messages, or starts a read. A process that has left may end for good. The invariants are
checked in each state.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.coordination.state import find_in_history
from roselink.coordination.views import majority
from roselink.protocol.chain import ConfigurationState, Decided, StoredState, Sync, View, Voter
from roselink.protocol.records import decode, record_number_of_class
from roselink.simulation.exceptions import InvariantViolatedError
from roselink.simulation.packing import PackedMachine, stored_acceptor_state, stored_state
from roselink.simulation.system_state import StepKind, System

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

# The record numbers of messages that carry a decided view.
_VIEW_RECORDS = frozenset((record_number_of_class(Decided), record_number_of_class(Sync)))


@dataclass(frozen=True, slots=True)
class ModelStep:
    """One step.

    Attributes:
        kind: the kind of the step.
        machine: the address of the machine that the step changes.
        message: the index of the delivered message.
        without: the address that a proposed view excludes; empty for none.
    """

    kind: StepKind
    machine: str
    message: int = -1
    without: str = ""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of an exploration, and of the steps of some kinds on one path.

    Attributes:
        depth: the maximum length of a path, in steps.
        states: the maximum number of states.
        kills: the maximum number of restarts that keep the disk, on one path.
        wipes: the maximum number of restarts that lose the disk, on one path.
        proposals: the maximum number of proposed views, on one path.
        retransmissions: the maximum number of retransmissions, on one path.
        reads: the maximum number of reads that steps start, on one path.
        leaves: the maximum number of processes that leave, on one path.
    """

    depth: int
    states: int
    kills: int = 1
    wipes: int = 0
    proposals: int = 1
    retransmissions: int = 0
    reads: int = 1
    leaves: int = 0

    @property
    def limits(self) -> dict[StepKind, int]:
        """The maximum number of steps on one path, for each limited kind."""
        return {
            StepKind.KILL: self.kills,
            StepKind.WIPE: self.wipes,
            StepKind.PROPOSE: self.proposals,
            StepKind.RETRANSMIT: self.retransmissions,
            StepKind.READ: self.reads,
            StepKind.LEAVE: self.leaves,
        }


@dataclass(frozen=True, slots=True)
class Exploration:
    """The extent of an exploration.

    Attributes:
        states: the number of distinct states.
        steps: the number of steps, those that led to a known state included.
        depth: the number of levels that were explored completely.
        seconds: the duration of the exploration.
        complete: whether all paths of that depth were explored; False if the exploration stopped at
            `Bounds.states` states.
    """

    states: int
    steps: int
    depth: int
    seconds: float
    complete: bool


def explore(system: System, bounds: Bounds) -> Exploration:
    """Explore all orders of steps from an initial state.

    Raises:
        InvariantViolatedError: an invariant does not hold in a state.
    """
    began = time.monotonic()
    seen = {system.fingerprint()}
    level: list[tuple[System, tuple[ModelStep, ...]]] = [(system, ())]
    depth = 0
    step_count = 0
    while level and depth < bounds.depth:
        next_level: list[tuple[System, tuple[ModelStep, ...]]] = []
        for state, path in level:
            for step in possible_steps(state, bounds):
                if len(seen) >= bounds.states:
                    return Exploration(
                        states=len(seen),
                        steps=step_count,
                        depth=depth,
                        seconds=time.monotonic() - began,
                        complete=False,
                    )
                step_count += 1
                changed = state_after(state, step, path)
                fingerprint = changed.fingerprint()
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    next_level.append((changed, (*path, step)))
        level = next_level
        depth += 1
    return Exploration(
        states=len(seen),
        steps=step_count,
        depth=depth,
        seconds=time.monotonic() - began,
        complete=True,
    )


def possible_steps(system: System, bounds: Bounds) -> Iterator[ModelStep]:
    """All steps that are possible in a state; equal messages give one step."""
    for index, message in enumerate(system.messages):
        if message not in system.messages[:index]:
            yield ModelStep(StepKind.DELIVER, message.receiver, index)
    limited = [
        kind for kind, limit in bounds.limits.items() if system.step_counts.get(kind, 0) < limit
    ]
    for address, machine in system.machines.items():
        if machine.saving:
            yield ModelStep(StepKind.SAVE, address)
        if machine.has_left:
            yield ModelStep(StepKind.END, address)
        for kind in limited:
            if kind is StepKind.PROPOSE:
                for other in ("", *(each for each in system.machines if each != address)):
                    yield ModelStep(kind, address, without=other)
            else:
                yield ModelStep(kind, address)


def state_after(system: System, step: ModelStep, path: tuple[ModelStep, ...] = ()) -> System:
    """The state after a step.

    Raises:
        InvariantViolatedError: an invariant does not hold in that state.
    """
    changed = system.copy()
    try:
        apply_step(changed, step)
        check_invariants(changed)
    except AssertionError as error:
        raise InvariantViolatedError(str(error), (*path, step)) from error
    return changed


def apply_step(system: System, step: ModelStep) -> None:
    """Apply a step to a state, in place."""
    match step.kind:
        case StepKind.DELIVER:
            system.deliver(step.message)
            return
        case StepKind.SAVE:
            system.save(step.machine)
            return
        case StepKind.END:
            system.end(step.machine)
            return
        case StepKind.KILL | StepKind.WIPE:
            system.restart(step.machine, wiped=step.kind is StepKind.WIPE)
        case StepKind.PROPOSE:
            system.propose(step.machine, step.without)
        case StepKind.RETRANSMIT:
            system.retransmit(step.machine)
        case StepKind.READ:
            system.read(step.machine)
        case StepKind.LEAVE:
            system.leave(step.machine)
    system.step_counts[step.kind] = system.step_counts.get(step.kind, 0) + 1


# --- invariants


def check_invariants(system: System) -> None:
    """Check the invariants of a state.

    Raises:
        AssertionError: an invariant does not hold.
    """
    views = _views(system)
    _check_heads(system)
    newest = views[max(views)]
    _check_confirmed(system, newest)
    _check_departures(system)
    _check_refused(system, newest)


def _views(system: System) -> dict[int, View]:
    """The views that members follow or messages carry, by epoch; check that each epoch has one."""
    views: dict[int, View] = {}
    known_views = [machine.view for machine in system.machines.values() if machine.view is not None]
    known_views += [
        decode(m.number, m.payload).view for m in system.messages if m.number in _VIEW_RECORDS
    ]
    for view in known_views:
        assert views.setdefault(view.epoch, view) == view, "two views in one epoch"
    return views


def _check_heads(system: System) -> None:
    """Check that no two processes are the head of one epoch's chain."""
    heads = [m.view.epoch for m in system.machines.values() if m.is_head and m.view is not None]
    assert len(set(heads)) == len(heads), "two heads in one epoch"


def _check_confirmed(system: System, newest: View) -> None:
    """Check that confirmed changes have distinct sequences and are on each possible next head."""
    sequences = [sequence for _, sequence in system.client_knowledge.confirmed]
    assert len(set(sequences)) == len(sequences), "two changes have one sequence number"
    for replica in newest.chain:
        machine = system.machines.get(replica.voter.address)
        stored = None if machine is None else _stored(machine, replica.voter)
        if stored is None or stored.epoch < replica.since:
            continue  # a replica whose state is not intact can't become the head
        for digest, _ in system.client_knowledge.confirmed:
            assert _in_force(stored.state, digest), "a possible head lacks a confirmed change"


def _check_departures(system: System) -> None:
    """Check that the machines that are left can agree on views, and can head a chain."""
    if not system.ended:
        return
    known = [machine.view for machine in system.machines.values() if machine.view is not None]
    newest = max(known, key=lambda view: view.epoch)
    present = sum(voter.address in system.machines for voter in newest.voters)
    assert present >= majority(newest), "the voters that are left are no majority"
    intact = 0
    for replica in newest.chain:
        machine = system.machines.get(replica.voter.address)
        stored = None if machine is None else _stored(machine, replica.voter)
        intact += stored is not None and stored.epoch >= replica.since
    assert intact > system.tolerated, "fewer disks than may be lost have the state"


def _check_refused(system: System, newest: View) -> None:
    """Check that no refused change is in force at any member of the newest view's chain.

    A former member may have a write on disk that was never acknowledged. It serves nobody, and gets
    the state of the chain before it is intact again (V2 in `coordination.views`).
    """
    for digest in system.client_knowledge.refused:
        for address, machine in system.machines.items():
            if not _is_in_chain(newest, address):
                continue
            state = ConfigurationState(0, 0, b"", machine.durable_history)
            assert not _in_force(state, digest), "a refused change is in force"


def _is_in_chain(view: View, address: str) -> bool:
    return any(replica.voter.address == address for replica in view.chain)


def _in_force(state: ConfigurationState, digest: bytes) -> bool:
    found = find_in_history(state, digest)
    return found is not None and found[0] > 0


def _stored(machine: PackedMachine, voter: Voter) -> StoredState | None:
    """The configuration state on a disk, if the disk still belongs to this voter."""
    if not (machine.acceptor_state and machine.state):
        return None
    return (
        stored_state(machine.state)
        if stored_acceptor_state(machine.acceptor_state).voter == voter
        else None
    )


def random_walk(system: System, bounds: Bounds, rng: random.Random) -> System:
    """The state at the end of a random path of at most `bounds.depth` steps.

    Raises:
        InvariantViolatedError: an invariant does not hold on the path.
    """
    state = system
    path: tuple[ModelStep, ...] = ()
    for _ in range(bounds.depth):
        possible = list(possible_steps(state, bounds))
        if not possible:
            break
        step = rng.choice(possible)
        state = state_after(state, step, path)
        path = (*path, step)
    return state
