"""Random troubles on a simulated core, within its tolerance, and the check at the end of a day of them."""

from __future__ import annotations

from functools import partial

from roselink.coordination.effects import Confirmation
from roselink.coordination.state import find
from tests.coordination.clients import Operator, Reader, Told
from tests.coordination.simulation import Machine, World

SYNC_S = 4.0  # so long after its return a machine still counts as lost


def read(world: World, machine: Machine, most_s: float = 4.0) -> Confirmation | None:
    """A confirmed read by one machine, waited for."""
    got: list[Confirmation | None] = []
    machine.read(got.append)
    assert world.run_until(lambda: bool(got), most_s)
    return got[0]


def harm(world: World, machine: Machine, trouble: str) -> None:
    if trouble == "kill":
        machine.kill()
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
    if machine.member is None:
        machine.start()
    if machine.frozen:
        machine.thaw()
    world.heal()
    machine.disk.stalled = machine.disk.full = False
    machine.disk.latency_s = 0.015


def in_chain(world: World, machine: Machine) -> bool:
    tail = world.active_tail()
    member = machine.member
    if tail is None or member is None or tail.member is None:
        return False
    same = member.view is not None and member.view == tail.member.view
    return same and member.chain.taking_part and member.chain.active


TROUBLES = ("kill", "freeze", "isolate", "stall", "full", "slow", "wipe", "replace", "leave")
WHOLE = ("herd", "ruin", "link")


def trouble_day(seed: int, machines: int, tolerated: int, lossy: bool, episodes: int = 6) -> Told:
    """A day of troubles, one after the other or as many at once as are tolerated."""
    world = World(seed, machines, tolerated)
    if lossy:
        world.loss, world.doubled, world.late = 0.02, 0.05, 0.05
    told, stop = _clients(world)
    world.run(3.0)
    for episode in range(episodes):
        _episode(world, told, episode)
    stop()
    world.loss = 0.0
    world.run(8.0)
    check_end(world, told)
    return told


def storm_day(seed: int, machines: int, tolerated: int) -> Told:
    """A day on which any number of machines is killed, frozen or cut off at any time; disks stay."""
    world = World(seed, machines, tolerated)
    world.loss, world.doubled, world.late = 0.02, 0.05, 0.1
    told, stop = _clients(world)
    world.run(3.0)
    draw = world.random
    for _ in range(40):
        hurt = draw.choice(list(world.machines.values()))
        trouble = draw.choice(("kill", "freeze", "isolate", "stall", "full", "slow", "link"))
        if trouble == "link":
            _link(world, hurt)
        elif hurt.up:
            harm(world, hurt, trouble)
            world.after(draw.choice([0.05, 0.3, 0.8, 2.0]), partial(mend, world, hurt))
        world.run(draw.choice([0.02, 0.1, 0.5, 1.0]))
    world.loss = 0.0
    world.run(3.0)
    for machine in world.machines.values():
        mend(world, machine)
    stop()
    world.run(12.0)
    check_end(world, told)
    return told


def _clients(world: World) -> tuple[Told, partial[None]]:
    told = Told()
    clients: list[Operator | Reader] = [Operator(world, told, name) for name in ("a", "b")]
    clients += [Reader(world, told) for _ in range(2)]

    def stop() -> None:
        for client in clients:
            client.stopped = True

    return told, partial(stop)


def _episode(world: World, told: Told, episode: int) -> None:
    """Troubles within tolerance, and the time after which their machines count as lost no longer."""
    draw = world.random
    trouble = draw.choice(TROUBLES + WHOLE)
    lasts = draw.choice([0.1, 0.4, 1.0, 3.0])
    if trouble == "herd":
        _herd(world, wiped=[])
    elif trouble == "ruin":
        _ruin(world, told)
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
    if trouble == "wipe":
        hurt.kill()
        hurt.wipe()
    elif trouble == "replace":
        hurt.kill()
        del world.machines[hurt.address]
        world.after(lasts, partial(world.add, successor))
        return
    elif trouble == "leave":
        assert hurt.member is not None
        hurt.perform(hurt.member.leave(world.now))
        world.run(world.random.uniform(0.0, 0.5))
        hurt.kill()
    else:
        harm(world, hurt, trouble)
    world.after(lasts, partial(mend, world, hurt))


def _herd(world: World, wiped: list[Machine]) -> None:
    """Every process is killed, and returns within a second."""
    for machine in list(world.machines.values()):
        machine.kill()
        if machine in wiped:
            machine.wipe()
        world.after(world.random.uniform(0.05, 1.0), partial(mend, world, machine))


def _ruin(world: World, told: Told) -> None:
    """Right after an acknowledgement, as many disks as are tolerated are lost, and all lose power."""
    before = told.newest_acknowledged
    world.run_until(lambda: told.newest_acknowledged > before, 3.0)
    _herd(world, world.random.sample(world.up(), world.tolerated))


def _link(world: World, hurt: Machine) -> None:
    others = [machine for machine in world.machines.values() if machine is not hurt]
    world.separate(hurt.address, world.random.choice(others).address, world.random.random() < 0.5)


def check_end(world: World, told: Told) -> None:
    """Once all is well, everything acknowledged is there, at every member, and nothing that was refused."""
    tail = world.active_tail()
    assert tail is not None, "no active chain at the end"
    assert told.taken, "no order was taken at all"
    for machine in world.up():
        assert in_chain(world, machine), "a machine did not come back"
        shown = read(world, machine)
        assert shown is not None
        told.read(told.floor(), shown)
        assert machine.member is not None
        state = machine.member.chain.durable
        for digest, sequence in told.taken.items():
            found = find(state, digest)
            kept = found is not None and found[1] == sequence and found[0] > 0
            assert kept, "an acknowledged order is lost"
        for digest in told.refused:
            found = find(state, digest)
            assert found is None or found[0] == 0, "a refused order came into force"
