"""Days of troubles on a simulated control plane, and the judgement at their end."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from roselink.coordination.state import find
from roselink.simulation.clients import Operator, Reader, change_in
from roselink.simulation.gateways import REVOKE_S, Gateway
from roselink.simulation.history import Judge, Reading, Said, Violation
from roselink.simulation.world import SAVE_S, Machine, World

if TYPE_CHECKING:
    from roselink.coordination.effects import Confirmation

SYNC_S = 4.0  # so long after its return a machine still counts as lost
GATEWAYS = 3
TROUBLES = (
    "kill",
    "power",
    "freeze",
    "isolate",
    "stall",
    "full",
    "slow",
    "wipe",
    "replace",
    "leave",
)
STORM = ("kill", "power", "freeze", "isolate", "stall", "full", "slow", "link", "gateways")
WHOLE = ("herd", "ruin", "link", "gateways")


class DayFailed(AssertionError):
    """A day ended otherwise than it must. `violations`: what was said that one register can't have
    said.
    """

    def __init__(self, why: str, violations: tuple[Violation, ...] = ()) -> None:
        super().__init__(why + "".join(f"\n  {each.rule}: {each.detail}" for each in violations))
        self.violations = violations


@dataclass(frozen=True, slots=True)
class Played:
    """What a day came to."""

    confirmed: int
    readings: int
    key_uses: int
    slowest_s: float


class Day:
    """A world with its callers."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.operators = [Operator(world, name) for name in ("a", "b")]
        self.readers = [Reader(world) for _ in range(2)]
        self.gateways = [Gateway(world, f"gateway-{number}") for number in range(GATEWAYS)]

    def stop(self) -> None:
        """No new orders and reads; gateways go on."""
        for operator in self.operators:
            operator.stopped = True
        for reader in self.readers:
            reader.stopped = True

    def judge(self) -> Played:
        """Once all is well: everything confirmed is there, at every member, and every answer was
        true.
        """
        world, history = self.world, self.world.history
        if world.active_tail() is None:
            raise DayFailed("no active chain at the end")
        for machine in world.up():
            if not in_chain(world, machine):
                raise DayFailed(f"{machine.address} did not come back")
            read_now(world, machine)
            _check_state(world, machine)
        violations = tuple(Judge(history, REVOKE_S).violations())
        if violations:
            raise DayFailed("the history has no explanation", violations)
        if any(gateway.lists_went_back for gateway in self.gateways):
            raise DayFailed("a gateway's list of hosts went back")
        confirmed = sum(call.said is Said.CONFIRMED for call in history.orders)
        if not (confirmed and history.key_uses):
            raise DayFailed("nothing was done at all")
        slowest_s = max(operator.slowest_s for operator in self.operators)
        return Played(confirmed, len(history.readings), len(history.key_uses), slowest_s)


def read(world: World, machine: Machine, most_s: float = 4.0) -> Confirmation | None:
    """A confirmed read by one machine, waited for."""
    got: list[Confirmation | None] = []
    machine.read(got.append)
    if not world.run_until(lambda: bool(got), most_s):
        raise DayFailed("a read did not end")
    return got[0]


def read_now(world: World, machine: Machine) -> None:
    """A read that has to be confirmed, noted in the history."""
    began = world.now
    shown = read(world, machine)
    if shown is None:
        raise DayFailed(f"{machine.address} can't confirm")
    change = change_in(world, shown.document)
    world.note_shown(shown.sequence, change.text if change is not None else None)
    world.history.readings.append(Reading(began, world.now, change))


def _check_state(world: World, machine: Machine) -> None:
    """What operators were told is what the member's disk holds."""
    if machine.member is None:
        return
    state = machine.member.chain.durable
    for call in world.history.orders:
        found = find(state, world.digests[call.change.text])
        in_force = found is not None and found[0] > 0
        kept = in_force and found is not None and found[1] == world.taken.get(call.change.text)
        if call.said is Said.CONFIRMED and not kept:
            raise DayFailed(f"a confirmed order is lost: {call.change}")
        if call.said is Said.REFUSED and in_force:
            raise DayFailed(f"a refused order came into force: {call.change}")


def harm(world: World, machine: Machine, trouble: str) -> None:
    """One trouble of one machine."""
    if trouble in ("kill", "power"):
        machine.kill(power=trouble == "power")
    elif trouble == "freeze":
        machine.freeze()
    elif trouble == "isolate":
        world.isolate(machine.address)
    elif trouble == "stall":
        machine.disk.stalled = True
    elif trouble == "full":
        machine.disk.full = True
    elif trouble == "slow":
        machine.disk.latency_s = 0.25


def mend(world: World, machine: Machine) -> None:
    """Its end."""
    if machine.member is None:
        machine.start()
    if machine.frozen:
        machine.thaw()
    world.heal()
    machine.disk.stalled = machine.disk.full = False
    machine.disk.latency_s = SAVE_S


def in_chain(world: World, machine: Machine) -> bool:
    """Whether a machine takes part in the newest view's active chain."""
    tail = world.active_tail()
    member = machine.member
    if tail is None or member is None or tail.member is None:
        return False
    same = member.view is not None and member.view == tail.member.view
    return same and member.chain.participating and member.chain.active


def trouble_day(seed: int, machines: int, tolerated: int, lossy: bool, episodes: int = 6) -> Played:
    """A day of troubles, one after the other or as many at once as are tolerated."""
    world = World(seed, machines, tolerated)
    if lossy:
        world.loss, world.doubled, world.late = 0.02, 0.05, 0.05
    day = Day(world)
    world.run(3.0)
    for episode in range(episodes):
        _episode(day, episode)
    day.stop()
    world.loss = 0.0
    world.run(8.0)
    return day.judge()


def storm_day(seed: int, machines: int, tolerated: int) -> Played:
    """A day on which any number of machines is killed, frozen or cut off at any time; disks
    stay.
    """
    world = World(seed, machines, tolerated)
    world.loss, world.doubled, world.late = 0.02, 0.05, 0.1
    day = Day(world)
    world.run(3.0)
    draw = world.random
    for _ in range(40):
        hurt = draw.choice(list(world.machines.values()))
        trouble = draw.choice(STORM)
        if trouble == "link":
            _link(world, hurt)
        elif trouble == "gateways":
            _hurt_gateway(day)
        elif hurt.up:
            harm(world, hurt, trouble)
            world.after(draw.choice([0.05, 0.3, 0.8, 2.0]), partial(mend, world, hurt))
        world.run(draw.choice([0.02, 0.1, 0.5, 1.0]))
    world.loss = 0.0
    world.run(3.0)
    for machine in world.machines.values():
        mend(world, machine)
    day.stop()
    world.run(12.0)
    return day.judge()


def long_cut_day(seed: int, machines: int = 3) -> Played:
    """A member is cut off for twenty seconds, both ways or one way, while gateways and operators
    reach it.
    """
    world = World(seed, machines, 1)
    day = Day(world)
    world.run(3.0)
    draw = world.random
    hurt = draw.choice(list(world.machines.values()))
    one_way, inwards = draw.random() < 0.4, draw.random() < 0.5
    for other in world.machines:
        if other != hurt.address:
            pair = (other, hurt.address) if inwards else (hurt.address, other)
            world.separate(*pair, one_way=one_way)
    if draw.random() < 0.5:
        world.seeds = (hurt.address, *(seed for seed in world.seeds if seed != hurt.address))
    world.run(draw.uniform(0, 10))
    _hurt_gateway(day)
    world.run(20.0)
    world.heal()
    world.run(6.0)
    day.stop()
    world.run(8.0)
    return day.judge()


def repair_day(seed: int, machines: int = 3) -> Played:
    """One machine after the other is replaced or wiped, the next as soon as the last counts as
    whole.
    """
    world = World(seed, machines, 1)
    day = Day(world)
    world.run(3.0)
    draw = world.random
    for number in range(6):
        hurt = draw.choice(world.up())
        trouble = draw.choice(("wipe", "replace", "leave", "planned"))
        if trouble == "planned":
            _replace_planned(world, hurt, f"10.1.0.{number + 1}:7500")
        else:
            _hurt(world, hurt, trouble, draw.choice([0.1, 1.0]), f"10.1.0.{number + 1}:7500")
        world.run(1.0 + SYNC_S)
    day.stop()
    world.run(8.0)
    return day.judge()


def halves_day(seed: int, machines: int, tolerated: int) -> Played:
    """The core falls into halves, whatever is tolerated, machines lose power in both, and losses
    overlap.

    No more disks are lost than is tolerated. Operators, readers and gateways reach both halves.
    """
    world = World(seed, machines, tolerated)
    day = Day(world)
    world.run(3.0 + SYNC_S)
    draw = world.random
    for _ in range(3):
        _halve(world)
        world.run(draw.uniform(1.0, 4.0))
        for hurt in draw.sample(world.up(), draw.randint(0, machines)):
            harm(world, hurt, draw.choice(("kill", "power", "freeze")))
        world.run(draw.choice([0.1, 1.0, 3.0]))
        for machine in list(world.machines.values()):
            mend(world, machine)
        if draw.random() < 0.5:
            world.run(8.0 + SYNC_S)
            _ruin(world)
            for gateway in day.gateways:
                gateway.start()
        world.run(8.0 + SYNC_S)
    day.stop()
    world.run(8.0)
    return day.judge()


def _halve(world: World) -> None:
    """Cut all links between two halves, drawn anew each time."""
    drawn = world.random.sample(list(world.machines), len(world.machines))
    half = len(drawn) // 2
    for left in drawn[:half]:
        for right in drawn[half:]:
            world.separate(left, right)


def day_of_seed(seed: int) -> Played:
    """One day of a kind, a size and links that follow from its seed."""
    machines = 3 + seed % 3
    tolerated = 2 if machines == 5 else 1
    if seed % 4 == 0:
        return storm_day(seed, machines, 1)
    if seed % 16 == 1:
        return long_cut_day(seed, machines)
    if seed % 16 == 3:
        return repair_day(seed, machines)
    if seed % 16 == 5:
        return halves_day(seed, machines, tolerated)
    return trouble_day(seed, machines, tolerated, lossy=bool(seed % 2))


def _episode(day: Day, episode: int) -> None:
    """Troubles within tolerance, and the time after which their machines count as lost no
    longer.
    """
    world = day.world
    draw = world.random
    trouble = draw.choice(TROUBLES + WHOLE)
    lasts = draw.choice([0.1, 0.4, 1.0, 3.0])
    if trouble == "herd":
        _herd(world, wiped=[])
    elif trouble == "ruin":
        _ruin(world)
    elif trouble == "gateways":
        _hurt_gateway(day)
    elif trouble == "link":
        _link(world, draw.choice(world.up()))
        world.after(lasts, world.heal)
    else:
        victims = draw.sample(world.up(), draw.randint(1, world.tolerated))
        for number, hurt in enumerate(victims):
            kind = trouble if number == 0 else draw.choice(TROUBLES)
            _hurt(world, hurt, kind, lasts, f"10.0.{number + 1}.{episode + 1}:7500")
            world.run(draw.choice([0.0, 0.0, 0.05, 0.5]))
    world.run(max(lasts, 1.0) + SYNC_S)


def _hurt(world: World, hurt: Machine, trouble: str, lasts: float, successor: str) -> None:
    draw = world.random
    if trouble == "wipe":
        hurt.kill()
        hurt.wipe()
    elif trouble == "replace":
        hurt.kill()
        del world.machines[hurt.address]
        world.after(lasts, partial(world.add, successor))
        return
    elif trouble == "leave":
        if hurt.member is not None:
            hurt.perform(hurt.member.leave(world.now))
        world.run(draw.uniform(0.0, 0.5))
        hurt.kill()
    else:
        harm(world, hurt, trouble)
    world.after(lasts, partial(mend, world, hurt))


def _replace_planned(world: World, hurt: Machine, successor: str) -> None:
    """The new one first, then the old one leaves, for good."""
    world.add(successor)
    world.run(world.random.uniform(0.2, 2.0))
    if hurt.member is not None:
        hurt.perform(hurt.member.leave(world.now))
    world.run_until(lambda: hurt.member is None or hurt.member.has_left, 1.5)
    hurt.kill()
    del world.machines[hurt.address]


def _hurt_gateway(day: Day) -> None:
    """A gateway starts anew, stands still, or loses its way to some members."""
    draw = day.world.random
    gateway = draw.choice(day.gateways)
    trouble = draw.choice(("restart", "freeze", "cut"))
    if trouble == "restart":
        gateway.start()
    elif trouble == "freeze":
        gateway.freeze(draw.choice([0.4, 2.0, REVOKE_S + 1.0]))
    else:
        for address in day.world.machines:
            if draw.random() < 0.7:
                day.world.separate(gateway.name, address, one_way=draw.random() < 0.5)
        day.world.after(draw.choice([0.5, 3.0]), day.world.heal)


def _herd(world: World, wiped: list[Machine]) -> None:
    """Every process ends, by a kill or a loss of power of all, and returns within a second."""
    power = world.random.random() < 0.5
    for machine in list(world.machines.values()):
        machine.kill(power)
        if machine in wiped:
            machine.wipe()
        world.after(world.random.uniform(0.05, 1.0), partial(mend, world, machine))


def _ruin(world: World) -> None:
    """Right after an acknowledgement, as many disks as are tolerated are lost, and all lose
    power.
    """
    before = world.history.newest_confirmed()
    world.run_until(lambda: world.history.newest_confirmed() > before, 3.0)
    _herd(world, world.random.sample(world.up(), world.tolerated))


def _link(world: World, hurt: Machine) -> None:
    others = [machine for machine in world.machines.values() if machine is not hurt]
    world.separate(hurt.address, world.random.choice(others).address, world.random.random() < 0.5)
