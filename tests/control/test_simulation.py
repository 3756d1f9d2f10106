"""Random troubles within tolerance on a simulated core against an independent checker; timed calm paths."""

from __future__ import annotations

import pytest

from roselink.control.effects import SubmitOutcome, TakenOrder
from roselink.control.state import digest_of
from roselink.protocol.chain import ConfigurationOrder
from tests.control.simulation import Machine, World
from tests.control.troubles import harm, in_chain, mend, read, storm_day, trouble_day


def order_on(base: int, generation: int) -> ConfigurationOrder:
    document = f"{base}-{generation}".encode()
    return ConfigurationOrder(base, generation, document, digest_of(base, document))


def submit(world: World, machine: Machine, order: ConfigurationOrder, most_s: float = 4.0) -> SubmitOutcome:
    got: list[SubmitOutcome] = []
    machine.submit(order, got.append)
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
    mend(world, hurt)
    assert world.run_until(lambda: in_chain(world, hurt), 2.5)


@pytest.mark.parametrize("seed", range(20))
def test_three_machines(seed: int) -> None:
    told = trouble_day(seed, 3, 1, lossy=False)
    assert told.slowest_s < 4.0


@pytest.mark.parametrize("seed", range(100, 110))
def test_four_machines_on_lossy_links(seed: int) -> None:
    trouble_day(seed, 4, 1, lossy=True)


@pytest.mark.parametrize("seed", range(200, 208))
def test_five_machines(seed: int) -> None:
    trouble_day(seed, 5, 2, lossy=bool(seed % 2))


@pytest.mark.parametrize("seed", range(300, 312))
def test_storms(seed: int) -> None:
    storm_day(seed, 3 + seed % 3, 1)


@pytest.mark.many_seeds
@pytest.mark.parametrize("seed", range(1000, 1400))
def test_many_days(seed: int) -> None:
    if seed % 4 == 0:
        storm_day(seed, 3 + seed % 3, 1)
    else:
        machines = 3 + seed % 3
        trouble_day(seed, machines, 2 if machines == 5 else 1, lossy=bool(seed % 2))
