"""Random faults within tolerance on a simulated core, with an independent checker; timed paths."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from roselink.coordination.effects import ChangeCommitted, SubmitOutcome
from roselink.coordination.state import digest_of
from roselink.coordination.views import majority
from roselink.protocol.chain import ConfigurationChange
from roselink.simulation.cluster import Cluster
from roselink.simulation.faults import Fault, inject_fault, limit_processors, repair
from roselink.simulation.scenarios import (
    in_chain,
    read,
    run_bit_rot,
    run_fault_episodes,
    run_long_partition,
    run_overlapping_faults,
    run_processor_quota,
    run_rolling_repair,
    run_scenario_of_seed,
    run_split_brain,
)

if TYPE_CHECKING:
    from roselink.simulation.machine import Machine


def change_on(base: int, generation: int) -> ConfigurationChange:
    document = f"{base}-{generation}".encode()
    return ConfigurationChange(base, generation, document, digest_of(base, document))


def submit(
    cluster: Cluster, machine: Machine, command: ConfigurationChange, timeout_s: float = 4.0
) -> SubmitOutcome:
    outcomes: list[SubmitOutcome] = []
    machine.submit(command, outcomes.append)
    assert cluster.run_until(lambda: bool(outcomes), timeout_s)
    return outcomes[0]


def calm(machines: int = 3, tolerated: int = 1) -> Cluster:
    cluster = Cluster(1, machines, tolerated, min(machines, 3))
    assert cluster.run_until(lambda: cluster.active_tail() is not None, 4.0)
    cluster.run(3.0)
    return cluster


@pytest.mark.parametrize("machines", [1, 3, 4, 5])
def test_calm_core_takes_an_order_and_shows_it_everywhere(machines: int) -> None:
    cluster = calm(machines, 0 if machines == 1 else 1)
    first = change_on(0, 5)
    began = cluster.now
    assert submit(cluster, cluster.running_machines()[0], first) == ChangeCommitted(1)
    assert cluster.now - began < 0.2
    for machine in cluster.running_machines():
        began = cluster.now
        shown = read(cluster, machine)
        assert shown is not None
        assert (shown.generation, shown.document) == (5, first.document)
        assert cluster.now - began < 0.03
        assert submit(cluster, machine, first) == ChangeCommitted(1)


@pytest.mark.parametrize("seed", [0, 1, 3])
def test_a_large_core_that_starts_comes_together_in_a_few_views(seed: int) -> None:
    cluster = Cluster(seed, 9, 2, 3)
    cluster.run(6.0)
    tail = cluster.active_tail()
    assert tail is not None
    assert tail.member is not None
    assert tail.member.view is not None
    assert len(tail.member.view.chain) == 9
    assert tail.member.view.epoch <= 6  # 8 where each machine joins as soon as it may


@pytest.mark.parametrize("victim", [0, 1, 2])
@pytest.mark.parametrize(
    "fault", [Fault.KILL, Fault.FREEZE, Fault.ISOLATE, Fault.STALLED_DISK, Fault.FULL_DISK]
)
@pytest.mark.parametrize("by", [0, 1, 2])
def test_one_fault_delays_an_order_by_less_than_two_seconds(
    victim: int, fault: Fault, by: int
) -> None:
    cluster = calm()
    machines = list(cluster.machines.values())
    victim_machine = machines[victim]
    if by == victim and fault in (Fault.KILL, Fault.FREEZE, Fault.ISOLATE):
        return
    inject_fault(cluster, victim_machine, fault)
    began = cluster.now
    assert submit(cluster, machines[by], change_on(0, 5)) == ChangeCommitted(1)
    assert cluster.now - began < 1.5
    repair(cluster, victim_machine)
    assert cluster.run_until(lambda: in_chain(cluster, victim_machine), 2.5)


@pytest.mark.parametrize("machines", [3, 4])
@pytest.mark.parametrize("victim", [0, 1, 2])
def test_a_machine_that_lost_its_disk_is_back_in_time(machines: int, victim: int) -> None:
    cluster = calm(machines)
    victim_machine = list(cluster.machines.values())[victim]
    assert submit(cluster, victim_machine, change_on(0, 5)) == ChangeCommitted(1)
    victim_machine.kill()
    victim_machine.wipe()
    cluster.run(0.2)
    victim_machine.start()
    assert cluster.run_until(lambda: in_chain(cluster, victim_machine), 2.0)
    shown = read(cluster, victim_machine)
    assert shown is not None
    assert shown.generation == 5


@pytest.mark.parametrize("machines", [3, 4])
@pytest.mark.parametrize("victim", [0, 1, 2])
@pytest.mark.parametrize("after_s", [0.0, 1.0, 4.0])
def test_a_successor_takes_the_place_of_a_machine_that_is_gone(
    machines: int, victim: int, after_s: float
) -> None:
    cluster = calm(machines)
    victim_machine = list(cluster.machines.values())[victim]
    assert submit(cluster, victim_machine, change_on(0, 5)) == ChangeCommitted(1)
    victim_machine.kill()
    del cluster.machines[victim_machine.address]
    cluster.run(after_s)
    cluster.add("10.0.9.9:7500")
    successor = cluster.machines["10.0.9.9:7500"]
    assert cluster.run_until(lambda: in_chain(cluster, successor), 2.0)
    cluster.run(3.0)
    view = successor.member.view if successor.member else None
    assert view is not None
    assert {voter.address for voter in view.voters} == set(cluster.machines)


@pytest.mark.parametrize("machines", [3, 5])
def test_a_core_that_was_killed_whole_serves_again_with_two_thirds_of_it(machines: int) -> None:
    cluster = calm(machines)
    assert submit(cluster, cluster.running_machines()[0], change_on(0, 5)) == ChangeCommitted(1)
    for machine in cluster.machines.values():
        machine.kill()
    cluster.run(1.0)
    back = list(cluster.machines.values())[: machines // 2 + 1]
    for machine in back:
        machine.start()
    assert submit(cluster, back[0], change_on(5, 6)) == ChangeCommitted(2)
    assert submit(cluster, back[-1], change_on(0, 5)) == ChangeCommitted(1)


@pytest.mark.parametrize("machines", [3, 5])
@pytest.mark.parametrize("spread_s", [0.0, 0.1])
def test_a_core_that_was_killed_whole_is_active_soon_after_one_change_of_view(
    machines: int, spread_s: float
) -> None:
    cluster = calm(machines)
    assert submit(cluster, cluster.running_machines()[0], change_on(0, 5)) == ChangeCommitted(1)
    newest = cluster.running_machines()[0].member
    assert newest is not None
    assert newest.view is not None
    epoch = newest.view.epoch
    for machine in cluster.machines.values():
        machine.kill()
    cluster.run(1.0)
    for index, machine in enumerate(cluster.machines.values()):
        cluster.after(index * spread_s / machines, machine.start)
    began = cluster.now
    everyone = list(cluster.machines.values())
    assert cluster.run_until(lambda: all(in_chain(cluster, machine) for machine in everyone), 4.0)
    assert cluster.now - began < 0.35 + spread_s
    tail = cluster.active_tail()
    assert tail is not None
    assert tail.member is not None
    assert tail.member.view is not None
    assert tail.member.view.epoch == epoch + 1


def test_a_frozen_tail_confirms_nothing_old_when_it_wakes() -> None:
    cluster = calm()
    assert submit(cluster, cluster.running_machines()[0], change_on(0, 5)) == ChangeCommitted(1)
    tail = cluster.active_tail()
    assert tail is not None
    tail.freeze()
    assert submit(cluster, cluster.running_machines()[0], change_on(5, 6)) == ChangeCommitted(2)
    cluster.run(2.0)
    tail.deferred.clear()
    tail.resume()
    assert tail.member is not None
    assert tail.member.chain.is_tail
    shown = read(cluster, tail)
    assert shown is None or shown.generation == 6


def test_a_planned_leave_makes_a_gap_of_a_few_hundredths() -> None:
    cluster = calm()
    head = cluster.machines[cluster.seeds[0]]
    assert head.member is not None
    head.perform(head.member.leave(cluster.now))
    assert cluster.run_until(lambda: head.member is not None and head.member.has_left, 0.5)
    head.kill()
    began = cluster.now
    assert submit(cluster, cluster.running_machines()[0], change_on(0, 5)) == ChangeCommitted(1)
    assert cluster.now - began < 0.25


@pytest.mark.parametrize("seed", range(20))
def test_three_machines(seed: int) -> None:
    result = run_fault_episodes(seed, 3, 1, lossy=False)
    assert result.max_confirmation_latency_s < 4.0


@pytest.mark.parametrize("seed", range(100, 110))
def test_four_machines_on_lossy_links(seed: int) -> None:
    run_fault_episodes(seed, 4, 1, lossy=True)


@pytest.mark.parametrize("seed", range(200, 208))
def test_five_machines(seed: int) -> None:
    run_fault_episodes(seed, 5, 2, lossy=bool(seed % 2))


@pytest.mark.parametrize("seed", range(400, 403))
def test_eight_machines_of_which_three_are_seeds(seed: int) -> None:
    run_fault_episodes(seed, 8, 2, lossy=False, episodes=4)


@pytest.mark.parametrize("seed", range(300, 312))
def test_storms(seed: int) -> None:
    run_overlapping_faults(seed, 3 + seed % 3, 1)


def test_a_tail_that_gets_late_replies_shows_nothing_old() -> None:
    """A storm in which a tail confirmed reads before it had its view's state."""
    run_scenario_of_seed(20348)


def test_a_state_that_a_full_disk_refused_is_saved_once_there_is_room() -> None:
    """A storm after which the chain waited for ever for a save that nobody repeated."""
    run_scenario_of_seed(40040)


@pytest.mark.parametrize("seed", range(500, 508))
def test_a_member_cut_off_for_twenty_seconds(seed: int) -> None:
    run_long_partition(seed, 3 + seed % 2)


@pytest.mark.parametrize("seed", range(600, 608))
def test_one_repair_after_the_other(seed: int) -> None:
    run_rolling_repair(seed, 3 + seed % 2)


@pytest.mark.parametrize("seed", range(700, 706))
def test_halves_that_cannot_agree_and_losses_that_overlap(seed: int) -> None:
    run_split_brain(seed, 3 + seed % 3, 2 if seed % 3 == 2 else 1)


@pytest.mark.parametrize("seed", range(900, 906))
def test_faults_while_processors_have_quotas(seed: int) -> None:
    run_processor_quota(seed, 3 + seed % 3, 2 if seed % 3 == 2 else 1)


@pytest.mark.parametrize(("machines", "tolerated"), [(3, 1), (5, 2)])
@pytest.mark.parametrize("seed", range(3))
def test_a_quota_alone_has_nobody_suspected(seed: int, machines: int, tolerated: int) -> None:
    """A share of 0.08 stands still for up to 0.092 s of each tenth of a second."""
    cluster = Cluster(seed, machines, tolerated)
    limit_processors(cluster)
    cluster.run(6.0)
    tail = cluster.active_tail()
    assert tail is not None
    assert tail.member is not None
    view = tail.member.view
    cluster.run(20.0)
    assert cluster.active_tail() is tail
    assert tail.member.view == view


@pytest.mark.parametrize("machines", [6, 9])
@pytest.mark.parametrize("seed", range(10))
def test_a_core_that_starts_bears_two_losses_soon(seed: int, machines: int) -> None:
    """Well within the seconds for which the rules count a machine that starts as lost."""
    cluster = Cluster(seed, machines, 2, 3)

    def bears_two() -> bool:
        tail = cluster.active_tail()
        if tail is None or tail.member is None or tail.member.view is None:
            return False
        view = tail.member.view
        intact = [
            replica
            for replica in view.chain
            if (member := cluster.machines[replica.voter.address].member) is not None
            and member.chain.durable_epoch >= replica.since
        ]
        return len(view.voters) - 2 >= majority(view) and len(intact) >= 3

    assert cluster.run_until(bears_two, 1.3)


@pytest.mark.parametrize("seed", range(800, 803))
def test_records_that_rot_on_disks(seed: int) -> None:
    run_bit_rot(seed, 3 + seed % 3, 2 if seed % 3 == 2 else 1)


@pytest.mark.many_seeds
@pytest.mark.parametrize("seed", range(1000, 5000))
def test_many_days(seed: int) -> None:
    run_scenario_of_seed(seed)
