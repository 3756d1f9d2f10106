"""Every order of a few steps of the real state machines: breadth first, each state once.

A step delivers one message (any of them: links may reorder; one that is never delivered is lost),
ends a save, ends a process with or without its disk, has a member propose another view or send
again what has no answer, or begins a read. Each state is judged by what must hold in every one.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from roselink.coordination.state import find
from roselink.protocol.chain import ConfigurationState, Decided, StoredState, Sync, View, Voter
from roselink.protocol.records import decode, record_number_of_class
from roselink.simulation.system import PackedMachine, System, Trouble, stored_state, stored_votes

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

_TELL_VIEWS = frozenset((record_number_of_class(Decided), record_number_of_class(Sync)))


class StepKind(Enum):
    """What may happen next."""

    DELIVER = "deliver"
    SAVE = "save"
    KILL = "kill"
    WIPE = "wipe"
    PROPOSE = "propose"
    AGAIN = "again"
    READ = "read"


@dataclass(frozen=True, slots=True)
class Step:
    """One step: of a machine, or of a message by its place; `without`: whom a proposed view leaves
    out.
    """

    kind: StepKind
    machine: str
    message: int = -1
    without: str = ""


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far a search goes, and how often each trouble may come on one path."""

    depth: int
    states: int
    kills: int = 1
    wipes: int = 0
    proposals: int = 1
    sent_again: int = 0
    reads: int = 1


@dataclass(frozen=True, slots=True)
class Found:
    """What a search came to. `whole`: every path of that depth was walked."""

    states: int
    steps: int
    depth: int
    seconds: float
    whole: bool


class Broken(AssertionError):
    """A state in which something does not hold, and the steps that lead there."""

    def __init__(self, why: str, path: tuple[Step, ...]) -> None:
        super().__init__(why + "".join(f"\n  {step}" for step in path))
        self.path = path


def search(system: System, bounds: Bounds) -> Found:
    """Walk all orders of steps from a state; raises `Broken`."""
    began = time.monotonic()
    seen = {system.mark()}
    level: list[tuple[System, tuple[Step, ...]]] = [(system, ())]
    depth = taken = 0
    while level and depth < bounds.depth:
        following: list[tuple[System, tuple[Step, ...]]] = []
        for state, path in level:
            for step in steps(state, bounds):
                if len(seen) >= bounds.states:
                    return Found(len(seen), taken, depth, time.monotonic() - began, False)
                taken += 1
                changed = after(state, step, path)
                mark = changed.mark()
                if mark not in seen:
                    seen.add(mark)
                    following.append((changed, (*path, step)))
        level = following
        depth += 1
    return Found(len(seen), taken, depth, time.monotonic() - began, True)


def steps(system: System, bounds: Bounds) -> Iterator[Step]:
    """All that may happen next."""
    for place, message in enumerate(system.messages):
        if message not in system.messages[:place]:
            yield Step(StepKind.DELIVER, message.to, place)
    for address, machine in system.machines.items():
        if machine.saving:
            yield Step(StepKind.SAVE, address)
        if _may(system, Trouble.KILL, bounds.kills):
            yield Step(StepKind.KILL, address)
        if _may(system, Trouble.WIPE, bounds.wipes):
            yield Step(StepKind.WIPE, address)
        if _may(system, Trouble.PROPOSE, bounds.proposals):
            for other in ("", *(each for each in system.machines if each != address)):
                yield Step(StepKind.PROPOSE, address, without=other)
        if _may(system, Trouble.AGAIN, bounds.sent_again):
            yield Step(StepKind.AGAIN, address)
        if _may(system, Trouble.READ, bounds.reads):
            yield Step(StepKind.READ, address)


def _may(system: System, trouble: Trouble, most: int) -> bool:
    return system.spent.get(trouble, 0) < most


def after(system: System, step: Step, path: tuple[Step, ...] = ()) -> System:
    """The state that a step leads to, judged; raises `Broken`."""
    changed = system.copy()
    try:
        take(changed, step)
        judge(changed)
    except AssertionError as error:
        raise Broken(str(error), (*path, step)) from error
    return changed


def take(system: System, step: Step) -> None:
    """Change a state by one step."""
    match step.kind:
        case StepKind.DELIVER:
            system.deliver(step.message)
            return
        case StepKind.SAVE:
            system.save(step.machine)
            return
        case StepKind.KILL | StepKind.WIPE:
            system.restart(step.machine, wiped=step.kind is StepKind.WIPE)
        case StepKind.PROPOSE:
            system.propose(step.machine, step.without)
        case StepKind.AGAIN:
            system.send_again(step.machine)
        case StepKind.READ:
            system.read(step.machine)
    trouble = Trouble(step.kind.value)
    system.spent[trouble] = system.spent.get(trouble, 0) + 1


# --- what must hold


def judge(system: System) -> None:
    """Raise AssertionError when a state holds what no state may."""
    views = _views(system)
    _judge_heads(system)
    _judge_confirmed(system, views[max(views)])
    _judge_refused(system)


def _views(system: System) -> dict[int, View]:
    """Every view that someone follows or tells of, by its epoch: there is one an epoch."""
    views: dict[int, View] = {}
    told = [machine.view for machine in system.machines.values() if machine.view is not None]
    told += [decode(m.number, m.payload).view for m in system.messages if m.number in _TELL_VIEWS]
    for view in told:
        assert views.setdefault(view.epoch, view) == view, "two views in one epoch"
    return views


def _judge_heads(system: System) -> None:
    """No two processes head the same epoch."""
    heads = [m.view.epoch for m in system.machines.values() if m.heads and m.view is not None]
    assert len(set(heads)) == len(heads), "two heads in one epoch"


def _judge_confirmed(system: System, newest: View) -> None:
    """Each confirmed order has its own place, and is on the disk of whoever may head the next
    view.
    """
    places = [sequence for _, sequence in system.told.taken]
    assert len(set(places)) == len(places), "two orders in one place"
    for link in newest.chain:
        stored = _stored(system.machines[link.voter.address], link.voter)
        if stored is None or stored.epoch < link.since:
            continue  # not intact
        for digest, _ in system.told.taken:
            assert _in_force(stored.state, digest), "a possible head lacks a confirmed order"


def _judge_refused(system: System) -> None:
    for digest in system.told.refused:
        for machine in system.machines.values():
            held = ConfigurationState(0, 0, b"", machine.durable)
            assert not _in_force(held, digest), "a refused order is in force"


def _in_force(state: ConfigurationState, digest: bytes) -> bool:
    found = find(state, digest)
    return found is not None and found[0] > 0


def _stored(machine: PackedMachine, voter: Voter) -> StoredState | None:
    """The state on a disk, if it still belongs to this voter."""
    if not (machine.votes and machine.state):
        return None
    return stored_state(machine.state) if stored_votes(machine.votes).voter == voter else None


def walk(system: System, bounds: Bounds, draw: random.Random) -> System:
    """One path of drawn steps, as long as the bounds are deep; where it ends. Raises `Broken`."""
    state = system
    path: tuple[Step, ...] = ()
    for _ in range(bounds.depth):
        possible = list(steps(state, bounds))
        if not possible:
            break
        step = draw.choice(possible)
        state = after(state, step, path)
        path = (*path, step)
    return state
