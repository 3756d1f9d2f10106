"""Random troubles within tolerance on a simulated core against an independent checker; timed calm paths."""

from __future__ import annotations

from functools import partial

import pytest

from roselink.control.effects import Confirmation, SubmitOutcome, TakenOrder
from roselink.control.state import digest_of, find
from roselink.protocol.chain import ConfigurationOrder
from tests.control.clients import Operator, Reader, Told
from tests.control.simulation import Machine, World


def order_on(base: int, generation: int) -> ConfigurationOrder:
    document = f"{base}-{generation}".encode()
    return ConfigurationOrder(base, generation, document, digest_of(base, document))


def submit(world: World, machine: Machine, order: ConfigurationOrder, most_s: float = 4.0) -> SubmitOutcome:
    got: list[SubmitOutcome] = []
    machine.submit(order, got.append)
    assert world.run_until(lambda: bool(got), most_s)
    return got[0]


def read(world: World, machine: Machine, most_s: float = 4.0) -> Confirmation | None:
    got: list[Confirmation | None] = []
    machine.read(got.append)
    assert world.run_until(lambda: bool(got), most_s)
    return got[0]


def calm(machines: int = 3, tolerated: int = 1) -> World:
    world = World(1, machines, tolerated, min(machines, 3))
    assert world.run_until(lambda: world.active_tail() is not None, 4.0)
    world.run(3.0)
    return world


@pytest.mark.parametrize("machines", [1, 3, 4, 5])
def test_calm_core_takes_an_order_and_shows_it_everywhere(machines: int) -> None:
    world = calm(machines, 0 if machines == 1 else 1)
    first = order_on(0, 5)
    began = world.now
    assert submit(world, world.up()[0], first) == TakenOrder(1)
    assert world.now - began < 0.2
    for machine in world.up():
        began = world.now
        shown = read(world, machine)
        assert shown is not None and (shown.generation, shown.document) == (5, first.document)
        assert world.now - began < 0.03
        assert submit(world, machine, first) == TakenOrder(1)


@pytest.mark.parametrize("victim", [0, 1, 2])
@pytest.mark.parametrize("trouble", ["kill", "freeze", "isolate", "stall", "full"])
@pytest.mark.parametrize("by", [0, 1, 2])
def test_one_trouble_delays_an_order_by_less_than_two_seconds(victim: int, trouble: str, by: int) -> None:
    world = calm()
    machines = list(world.machines.values())
    hurt = machines[victim]
    if by == victim and trouble in ("kill", "freeze", "isolate"):
        return
    harm(world, hurt, trouble)
    began = world.now
    assert submit(world, machines[by], order_on(0, 5)) == TakenOrder(1)
    assert world.now - began < 1.5
    mend(world, hurt, trouble)
    assert world.run_until(lambda: in_chain(world, hurt), 2.5)


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


def mend(world: World, machine: Machine, trouble: str) -> None:
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


TROUBLES = ("kill", "freeze", "isolate", "stall", "full", "slow", "wipe", "replace", "herd", "link", "leave")


def trouble_day(seed: int, machines: int, tolerated: int, lossy: bool, episodes: int = 7) -> Told:
    world = World(seed, machines, tolerated)
    if lossy:
        world.loss, world.doubled, world.late = 0.02, 0.05, 0.05
    told = Told()
    operators = [Operator(world, told, name) for name in ("a", "b")]
    readers = [Reader(world, told) for _ in range(2)]
    world.run(3.0)
    for episode in range(episodes):
        run_episode(world, seed, episode)
    for client in (*operators, *readers):
        client.stopped = True
    world.loss = 0.0
    world.run(14.0)
    check_end(world, told)
    return told


def run_episode(world: World, seed: int, episode: int) -> None:
    """One trouble within tolerance, and the time after which its machine counts no longer as lost."""
    draw = world.random
    trouble = draw.choice(TROUBLES)
    hurt = draw.choice(world.up())
    lasts = draw.choice([0.1, 0.4, 1.0, 3.0])
    if trouble == "herd":
        for machine in world.up():
            machine.kill()
            world.after(draw.uniform(0.05, 1.0), machine.start)
    elif trouble == "wipe":
        hurt.kill()
        hurt.wipe()
        world.after(lasts, hurt.start)
    elif trouble == "replace":
        hurt.kill()
        del world.machines[hurt.address]
        address = f"10.0.1.{episode + 1}:7500"
        world.after(lasts, partial(world.add, address))
    elif trouble == "link":
        other = draw.choice([machine for machine in world.up() if machine is not hurt])
        world.separate(hurt.address, other.address, one_way=draw.random() < 0.5)
        world.after(lasts, world.heal)
    elif trouble == "leave":
        assert hurt.member is not None
        hurt.perform(hurt.member.leave(world.now))
        world.run(draw.uniform(0.0, 0.5))
        hurt.kill()
        world.after(lasts, hurt.start)
    else:
        harm(world, hurt, trouble)
        world.after(lasts, lambda: mend(world, hurt, trouble))
    world.run(lasts + 4.0)


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


@pytest.mark.parametrize("seed", range(24))
def test_three_machines(seed: int) -> None:
    told = trouble_day(seed, 3, 1, lossy=False)
    assert told.slowest_s < 8.0


@pytest.mark.parametrize("seed", range(100, 112))
def test_four_machines_on_lossy_links(seed: int) -> None:
    trouble_day(seed, 4, 1, lossy=True)


@pytest.mark.parametrize("seed", range(200, 212))
def test_five_machines(seed: int) -> None:
    trouble_day(seed, 5, 2, lossy=bool(seed % 2))
