"""Scenarios: each injects faults into a simulated control plane, then checks its history."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from roselink.coordination.scrub import INTERVAL_FACTOR_RANGE, MIN_INTERVAL_FACTOR, READ_INTERVAL_S
from roselink.simulation.cluster import Cluster
from roselink.simulation.faults import (
    CLUSTER_FAULTS,
    MACHINE_FAULTS,
    RECOVERY_S,
    RESTART_SPREAD_S,
    Fault,
    block_random_link,
    inject_and_repair,
    inject_fault,
    inject_gateway_fault,
    limit_processors,
    lose_disks_after_commit,
    partition_in_halves,
    repair,
    replace_as_planned,
    restart_all,
)
from roselink.simulation.membership_changes import run_membership_changes
from roselink.simulation.scenario import Scenario, ScenarioResult

if TYPE_CHECKING:
    from collections.abc import Callable

# The time in which all machines form the first view, in virtual seconds.
FIRST_VIEW_S = 3.0
# The time in which the scrub reads each record of every member, in virtual seconds.
SCRUB_S = 2 * (MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE) * READ_INTERVAL_S + 1.0
OVERLAPPING_FAULTS = (
    Fault.KILL,
    Fault.POWER_LOSS,
    Fault.FREEZE,
    Fault.ISOLATE,
    Fault.STALLED_DISK,
    Fault.FULL_DISK,
    Fault.SLOW_DISK,
    Fault.LINK,
    Fault.GATEWAY,
)
# The fractions of messages that lossy links lose, duplicate and delay.
LOSS_RATE = 0.02
DUPLICATION_RATE = 0.05
EXTRA_DELAY_RATE = 0.05
OVERLAPPING_FAULTS_EXTRA_DELAY_RATE = 0.1
OVERLAPPING_FAULT_COUNT = 40


def run_fault_episodes(
    seed: int, machines: int, tolerated: int, *, lossy: bool, episodes: int = 6
) -> ScenarioResult:
    """Inject faults in sequence, or up to the tolerated number at the same time."""
    cluster = Cluster(seed, machines, tolerated)
    network = cluster.network
    if lossy:
        network.loss_rate = LOSS_RATE
        network.duplication_rate = DUPLICATION_RATE
        network.extra_delay_rate = EXTRA_DELAY_RATE
    return _run_episodes(cluster, episodes)


def run_processor_quota(seed: int, machines: int, tolerated: int) -> ScenarioResult:
    """Inject the faults of `run_fault_episodes` while each machine has a processor quota."""
    cluster = Cluster(seed, machines, tolerated)
    limit_processors(cluster)
    return _run_episodes(cluster, episodes=6)


def _run_episodes(cluster: Cluster, episodes: int) -> ScenarioResult:
    scenario = Scenario(cluster)
    cluster.run(FIRST_VIEW_S)
    for episode in range(episodes):
        _run_episode(scenario, episode)
    cluster.network.loss_rate = 0.0
    return scenario.finish()


def run_overlapping_faults(seed: int, machines: int, tolerated: int) -> ScenarioResult:
    """Kill, freeze or partition any number of machines at any time; no disk is lost."""
    cluster = Cluster(seed, machines, tolerated)
    network = cluster.network
    network.loss_rate = LOSS_RATE
    network.duplication_rate = DUPLICATION_RATE
    network.extra_delay_rate = OVERLAPPING_FAULTS_EXTRA_DELAY_RATE
    scenario = Scenario(cluster)
    cluster.run(FIRST_VIEW_S)
    rng = cluster.random
    for _ in range(OVERLAPPING_FAULT_COUNT):
        victim = rng.choice(list(cluster.machines.values()))
        fault = rng.choice(OVERLAPPING_FAULTS)
        if fault is Fault.LINK:
            block_random_link(cluster, victim)
        elif fault is Fault.GATEWAY:
            inject_gateway_fault(cluster, scenario.gateways)
        elif victim.running:
            inject_fault(cluster, victim, fault)
            duration_s = rng.choice([0.05, 0.3, 0.8, 2.0])
            cluster.after(duration_s, partial(repair, cluster, victim))
        cluster.run(rng.choice([0.02, 0.1, 0.5, 1.0]))
    network.loss_rate = 0.0
    cluster.run(3.0)
    for machine in cluster.machines.values():
        repair(cluster, machine)
    return scenario.finish(12.0)


def run_long_partition(seed: int, machines: int = 3) -> ScenarioResult:
    """Partition a member for twenty seconds, in one or both directions; all clients reach it."""
    cluster = Cluster(seed, machines, 1)
    scenario = Scenario(cluster)
    cluster.run(FIRST_VIEW_S)
    rng = cluster.random
    victim = rng.choice(list(cluster.machines.values()))
    one_way = rng.random() < 0.4
    inbound = rng.random() < 0.5
    for other in cluster.machines:
        if other != victim.address:
            link = (other, victim.address) if inbound else (victim.address, other)
            cluster.network.block_link(*link, one_way=one_way)
    if rng.random() < 0.5:
        others = [address for address in cluster.seeds if address != victim.address]
        cluster.seeds = (victim.address, *others)
    cluster.run(rng.uniform(0, 10))
    inject_gateway_fault(cluster, scenario.gateways)
    cluster.run(20.0)
    cluster.network.restore_links()
    cluster.run(6.0)
    return scenario.finish()


def run_rolling_repair(seed: int, machines: int = 3) -> ScenarioResult:
    """Replace or wipe machines one at a time, each as soon as the previous one has recovered."""
    cluster = Cluster(seed, machines, 1)
    scenario = Scenario(cluster)
    cluster.run(FIRST_VIEW_S)
    rng = cluster.random
    kinds = (Fault.WIPED_DISK, Fault.REPLACEMENT, Fault.LEAVE, Fault.PLANNED_REPLACEMENT)
    for number in range(6):
        victim = rng.choice(cluster.running_machines())
        fault = rng.choice(kinds)
        successor = f"10.1.0.{number + 1}:7500"
        if fault is Fault.PLANNED_REPLACEMENT:
            replace_as_planned(cluster, victim, successor)
        else:
            inject_and_repair(cluster, victim, fault, rng.choice([0.1, 1.0]), successor)
        cluster.run(1.0 + RECOVERY_S)
    return scenario.finish()


def run_split_brain(seed: int, machines: int, tolerated: int) -> ScenarioResult:
    """Partition the core into halves, and inject overlapping faults into both.

    At most the tolerated number of disks is lost. Operators, readers and gateways reach both.
    """
    cluster = Cluster(seed, machines, tolerated)
    scenario = Scenario(cluster)
    cluster.run(FIRST_VIEW_S + RECOVERY_S)
    rng = cluster.random
    for _ in range(3):
        partition_in_halves(cluster)
        cluster.run(rng.uniform(1.0, 4.0))
        for victim in rng.sample(cluster.running_machines(), rng.randint(0, machines)):
            fault = rng.choice((Fault.KILL, Fault.POWER_LOSS, Fault.FREEZE))
            inject_fault(cluster, victim, fault)
        cluster.run(rng.choice([0.1, 1.0, 3.0]))
        for machine in list(cluster.machines.values()):
            repair(cluster, machine)
        if rng.random() < 0.5:
            cluster.run(8.0 + RECOVERY_S)
            lose_disks_after_commit(cluster)
            for gateway in scenario.gateways:
                gateway.start()
        cluster.run(8.0 + RECOVERY_S)
    return scenario.finish()


def run_bit_rot(seed: int, machines: int, tolerated: int) -> ScenarioResult:
    """Corrupt records on the disks of running members, in sequence and together with lost disks.

    A corrupted copy that the scrub has not found yet counts as a lost disk; together no more than
    the tolerated number are lost.
    """
    cluster = Cluster(seed, machines, tolerated)
    scenario = Scenario(cluster)
    cluster.run(FIRST_VIEW_S + RECOVERY_S)
    rng = cluster.random
    for machine in list(cluster.machines.values()):
        machine.disk.files.flip_random_bit(rng)
        cluster.run(rng.uniform(SCRUB_S, SCRUB_S + 5.0))
    restart_all(cluster)
    cluster.run(RESTART_SPREAD_S + RECOVERY_S)
    victims = rng.sample(cluster.running_machines(), tolerated)
    wiped = rng.randint(0, tolerated)
    for victim in victims[wiped:]:
        victim.disk.files.flip_random_bit(rng)
    cluster.run(rng.choice([0.0, 0.1, 1.0]))
    restart_all(cluster, victims[:wiped])
    cluster.run(RESTART_SPREAD_S + RECOVERY_S)
    return scenario.finish()


# Scenarios by the seed modulo 16; seeds with other remainders run `run_fault_episodes`.
_SCENARIO_OF_REMAINDER: dict[int, Callable[[int, int, int], ScenarioResult]] = {
    1: lambda seed, machines, _: run_long_partition(seed, machines),
    3: lambda seed, machines, _: run_rolling_repair(seed, machines),
    5: run_split_brain,
    7: run_bit_rot,
    9: run_processor_quota,
    11: run_membership_changes,
}


def run_scenario_of_seed(seed: int) -> ScenarioResult:
    """Run a scenario whose kind, number of machines and links are derived from the seed."""
    machines = 3 + seed % 3
    tolerated = 2 if machines == 5 else 1
    if seed % 4 == 0:
        return run_overlapping_faults(seed, machines, 1)
    if (scenario := _SCENARIO_OF_REMAINDER.get(seed % 16)) is not None:
        return scenario(seed, machines, tolerated)
    return run_fault_episodes(seed, machines, tolerated, lossy=bool(seed % 2))


def _run_episode(scenario: Scenario, episode: int) -> None:
    """Inject tolerated faults, and wait until the machines have recovered."""
    cluster = scenario.cluster
    rng = cluster.random
    fault = rng.choice(MACHINE_FAULTS + CLUSTER_FAULTS)
    duration_s = rng.choice([0.1, 0.4, 1.0, 3.0])
    if fault is Fault.RESTART_OF_ALL:
        restart_all(cluster)
    elif fault is Fault.LOST_DISKS:
        lose_disks_after_commit(cluster)
    elif fault is Fault.GATEWAY:
        inject_gateway_fault(cluster, scenario.gateways)
    elif fault is Fault.LINK:
        block_random_link(cluster, rng.choice(cluster.running_machines()))
        cluster.after(duration_s, cluster.network.restore_links)
    else:
        victims = rng.sample(cluster.running_machines(), rng.randint(1, cluster.tolerated))
        for number, victim in enumerate(victims):
            kind = fault if number == 0 else rng.choice(MACHINE_FAULTS)
            successor = f"10.0.{number + 1}.{episode + 1}:7500"
            inject_and_repair(cluster, victim, kind, duration_s, successor)
            cluster.run(rng.choice([0.0, 0.0, 0.05, 0.5]))
    cluster.run(max(duration_s, 1.0) + RECOVERY_S)
