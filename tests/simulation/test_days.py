"""Random troubles within tolerance on a simulated core against an independent checker; timed calm
paths.
"""

from __future__ import annotations

import pytest

from roselink.coordination.effects import ChangeCommitted, SubmitOutcome
from roselink.coordination.state import digest_of
from roselink.protocol.chain import ConfigurationChange
from roselink.simulation.days import (
    day_of_seed,
    halves_day,
    harm,
    in_chain,
    long_cut_day,
    mend,
    read,
    repair_day,
    storm_day,
    trouble_day,
)
from roselink.simulation.world import Machine, World


def order_on(base: int, generation: int) -> ConfigurationChange:
    document = f"{base}-{generation}".encode()
    return ConfigurationChange(base, generation, document, digest_of(base, document))


def submit(
    world: World, machine: Machine, order: ConfigurationChange, most_s: float = 4.0
) -> SubmitOutcome:
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
    assert submit(world, world.up()[0], first) == ChangeCommitted(1)
    assert world.now - began < 0.2
    for machine in world.up():
        began = world.now
        shown = read(world, machine)
        assert shown is not None and (shown.generation, shown.document) == (5, first.document)
        assert world.now - began < 0.03
        assert submit(world, machine, first) == ChangeCommitted(1)


@pytest.mark.parametrize("seed", [0, 1, 3])
def test_a_large_core_that_starts_comes_together_in_a_few_views(seed: int) -> None:
    world = World(seed, 9, 2, 3)
    world.run(6.0)
    tail = world.active_tail()
    assert tail is not None and tail.member is not None and tail.member.view is not None
    assert len(tail.member.view.chain) == 9
    assert tail.member.view.epoch <= 6  # 8 where each machine joins as soon as it may


@pytest.mark.parametrize("victim", [0, 1, 2])
@pytest.mark.parametrize("trouble", ["kill", "freeze", "isolate", "stall", "full"])
@pytest.mark.parametrize("by", [0, 1, 2])
def test_one_trouble_delays_an_order_by_less_than_two_seconds(
    victim: int, trouble: str, by: int
) -> None:
    world = calm()
    machines = list(world.machines.values())
    hurt = machines[victim]
    if by == victim and trouble in ("kill", "freeze", "isolate"):
        return
    harm(world, hurt, trouble)
    began = world.now
    assert submit(world, machines[by], order_on(0, 5)) == ChangeCommitted(1)
    assert world.now - began < 1.5
    mend(world, hurt)
    assert world.run_until(lambda: in_chain(world, hurt), 2.5)


@pytest.mark.parametrize("machines", [3, 4])
@pytest.mark.parametrize("victim", [0, 1, 2])
def test_a_machine_that_lost_its_disk_is_back_in_time(machines: int, victim: int) -> None:
    world = calm(machines)
    hurt = list(world.machines.values())[victim]
    assert submit(world, hurt, order_on(0, 5)) == ChangeCommitted(1)
    hurt.kill()
    hurt.wipe()
    world.run(0.2)
    hurt.start()
    assert world.run_until(lambda: in_chain(world, hurt), 2.0)
    shown = read(world, hurt)
    assert shown is not None and shown.generation == 5


@pytest.mark.parametrize("machines", [3, 4])
@pytest.mark.parametrize("victim", [0, 1, 2])
@pytest.mark.parametrize("after_s", [0.0, 1.0, 4.0])
def test_a_successor_takes_the_place_of_a_machine_that_is_gone(
    machines: int, victim: int, after_s: float
) -> None:
    world = calm(machines)
    hurt = list(world.machines.values())[victim]
    assert submit(world, hurt, order_on(0, 5)) == ChangeCommitted(1)
    hurt.kill()
    del world.machines[hurt.address]
    world.run(after_s)
    world.add("10.0.9.9:7500")
    successor = world.machines["10.0.9.9:7500"]
    assert world.run_until(lambda: in_chain(world, successor), 2.0)
    world.run(3.0)
    view = successor.member.view if successor.member else None
    assert view is not None
    assert {voter.address for voter in view.voters} == set(world.machines)


@pytest.mark.parametrize("machines", [3, 5])
def test_a_core_that_was_killed_whole_serves_again_with_two_thirds_of_it(machines: int) -> None:
    world = calm(machines)
    assert submit(world, world.up()[0], order_on(0, 5)) == ChangeCommitted(1)
    for machine in world.machines.values():
        machine.kill()
    world.run(1.0)
    back = list(world.machines.values())[: machines // 2 + 1]
    for machine in back:
        machine.start()
    assert submit(world, back[0], order_on(5, 6)) == ChangeCommitted(2)
    assert submit(world, back[-1], order_on(0, 5)) == ChangeCommitted(1)


@pytest.mark.parametrize("machines", [3, 5])
@pytest.mark.parametrize("spread_s", [0.0, 0.1])
def test_a_core_that_was_killed_whole_is_active_soon_after_one_change_of_view(
    machines: int, spread_s: float
) -> None:
    world = calm(machines)
    assert submit(world, world.up()[0], order_on(0, 5)) == ChangeCommitted(1)
    newest = world.up()[0].member
    assert newest is not None and newest.view is not None
    epoch = newest.view.epoch
    for machine in world.machines.values():
        machine.kill()
    world.run(1.0)
    for place, machine in enumerate(world.machines.values()):
        world.after(place * spread_s / machines, machine.start)
    began = world.now
    everyone = list(world.machines.values())
    assert world.run_until(lambda: all(in_chain(world, machine) for machine in everyone), 4.0)
    assert world.now - began < 0.35 + spread_s
    tail = world.active_tail()
    assert tail is not None and tail.member is not None and tail.member.view is not None
    assert tail.member.view.epoch == epoch + 1


def test_a_frozen_tail_confirms_nothing_old_when_it_wakes() -> None:
    world = calm()
    assert submit(world, world.up()[0], order_on(0, 5)) == ChangeCommitted(1)
    tail = world.active_tail()
    assert tail is not None
    tail.freeze()
    assert submit(world, world.up()[0], order_on(5, 6)) == ChangeCommitted(2)
    world.run(2.0)
    tail.held_up.clear()
    tail.thaw()
    assert tail.member is not None and tail.member.chain.is_tail
    shown = read(world, tail)
    assert shown is None or shown.generation == 6


def test_a_planned_leave_makes_a_gap_of_a_few_hundredths() -> None:
    world = calm()
    head = world.machines[world.seeds[0]]
    assert head.member is not None
    head.perform(head.member.leave(world.now))
    assert world.run_until(lambda: head.member is not None and head.member.has_left, 0.5)
    head.kill()
    began = world.now
    assert submit(world, world.up()[0], order_on(0, 5)) == ChangeCommitted(1)
    assert world.now - began < 0.25


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


@pytest.mark.parametrize("seed", range(400, 403))
def test_eight_machines_of_which_three_are_seeds(seed: int) -> None:
    trouble_day(seed, 8, 2, lossy=False, episodes=4)


@pytest.mark.parametrize("seed", range(300, 312))
def test_storms(seed: int) -> None:
    storm_day(seed, 3 + seed % 3, 1)


@pytest.mark.parametrize("seed", range(500, 508))
def test_a_member_cut_off_for_twenty_seconds(seed: int) -> None:
    long_cut_day(seed, 3 + seed % 2)


@pytest.mark.parametrize("seed", range(600, 608))
def test_one_repair_after_the_other(seed: int) -> None:
    repair_day(seed, 3 + seed % 2)


@pytest.mark.parametrize("seed", range(700, 706))
def test_halves_that_cannot_agree_and_losses_that_overlap(seed: int) -> None:
    halves_day(seed, 3 + seed % 3, 2 if seed % 3 == 2 else 1)


@pytest.mark.many_seeds
@pytest.mark.parametrize("seed", range(1000, 5000))
def test_many_days(seed: int) -> None:
    day_of_seed(seed)
