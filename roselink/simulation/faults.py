"""Faults that scenarios inject into a simulated cluster, and their repair."""

from __future__ import annotations

from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from roselink.simulation.gateways import REVOKE_S
from roselink.simulation.machine import (
    QUOTA_PERIOD_S,
    SAVE_LATENCY_S,
    STOP_LIMIT_S,
    STOP_POLL_S,
    ProcessorQuota,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from roselink.simulation.cluster import Cluster
    from roselink.simulation.gateways import Gateway
    from roselink.simulation.machine import Machine

# How long after its restart a machine still counts as lost, in seconds.
RECOVERY_S = 4.0
# The latency of a save on a slow disk, in seconds.
SLOW_SAVE_S = 0.25
# The bounds of a random processor quota, as fractions of a core.
QUOTA_FRACTION_RANGE = (0.08, 0.6)
# After all processes ended, each restarts at a random time within this limit, in seconds.
RESTART_SPREAD_S = 1.0


class Fault(Enum):
    """A fault of one machine or of the cluster."""

    KILL = "kill"
    POWER_LOSS = "power"
    FREEZE = "freeze"
    ISOLATE = "isolate"
    STALLED_DISK = "stall"
    FULL_DISK = "full"
    SLOW_DISK = "slow"
    WIPED_DISK = "wipe"
    REPLACEMENT = "replace"
    LEAVE = "leave"
    # The new machine joins before the old one leaves permanently.
    PLANNED_REPLACEMENT = "planned"
    LINK = "link"
    GATEWAY = "gateways"
    # All processes end at once and restart.
    RESTART_OF_ALL = "herd"
    # The tolerated number of disks is lost right after a commit.
    LOST_DISKS = "ruin"


MACHINE_FAULTS = (
    Fault.KILL,
    Fault.POWER_LOSS,
    Fault.FREEZE,
    Fault.ISOLATE,
    Fault.STALLED_DISK,
    Fault.FULL_DISK,
    Fault.SLOW_DISK,
    Fault.WIPED_DISK,
    Fault.REPLACEMENT,
    Fault.LEAVE,
)
CLUSTER_FAULTS = (Fault.RESTART_OF_ALL, Fault.LOST_DISKS, Fault.LINK, Fault.GATEWAY)


def inject_fault(cluster: Cluster, machine: Machine, fault: Fault) -> None:
    """Inject a fault that `repair` can end into a machine's process, links or disk."""
    if fault in (Fault.KILL, Fault.POWER_LOSS):
        machine.kill(power_loss=fault is Fault.POWER_LOSS)
    elif fault is Fault.FREEZE:
        machine.freeze()
    elif fault is Fault.ISOLATE:
        cluster.network.isolate(machine.address)
    elif fault is Fault.STALLED_DISK:
        machine.disk.stalled = True
    elif fault is Fault.FULL_DISK:
        machine.disk.full = True
    elif fault is Fault.SLOW_DISK:
        machine.disk.latency_s = SLOW_SAVE_S


def repair(cluster: Cluster, machine: Machine) -> None:
    """End all faults of a machine, and restore all links of the cluster."""
    if machine.member is None:
        machine.start()
    if machine.frozen:
        machine.resume()
    cluster.network.restore_links()
    machine.disk.stalled = False
    machine.disk.full = False
    machine.disk.latency_s = SAVE_LATENCY_S


def limit_processors(cluster: Cluster) -> None:
    """Give each machine a random processor quota; the periods are not aligned."""
    rng = cluster.random
    for machine in cluster.machines.values():
        busy_s = QUOTA_PERIOD_S * rng.uniform(*QUOTA_FRACTION_RANGE)
        machine.quota = ProcessorQuota(busy_s, rng.uniform(0.0, QUOTA_PERIOD_S))


def inject_and_repair(
    cluster: Cluster, victim: Machine, fault: Fault, duration_s: float, successor: str
) -> None:
    """Inject a fault into one machine, and schedule its repair or replacement.

    Args:
        cluster: the cluster of the machine.
        victim: the machine.
        fault: one of `MACHINE_FAULTS`.
        duration_s: the time until the repair, in seconds.
        successor: the address of the replacement machine.
    """
    rng = cluster.random
    if fault is Fault.WIPED_DISK:
        victim.kill()
        victim.wipe()
    elif fault is Fault.REPLACEMENT:
        victim.kill()
        del cluster.machines[victim.address]
        cluster.after(duration_s, partial(cluster.add, successor))
        return
    elif fault is Fault.LEAVE:
        if victim.member is not None:
            victim.perform(victim.member.leave(cluster.now))
        cluster.run(rng.uniform(0.0, 0.5))
        victim.kill()
    else:
        inject_fault(cluster, victim, fault)
    cluster.after(duration_s, partial(repair, cluster, victim))


def replace_as_planned(cluster: Cluster, victim: Machine, successor: str) -> None:
    """Add the successor first, then have the old machine leave permanently."""
    cluster.add(successor)
    cluster.run(cluster.random.uniform(0.2, 2.0))
    victim.stop()
    cluster.run_until(lambda: victim.member is None, STOP_LIMIT_S + STOP_POLL_S)
    del cluster.machines[victim.address]


def inject_gateway_fault(cluster: Cluster, gateways: Sequence[Gateway]) -> None:
    """Restart or freeze a random gateway, or block its links to some machines."""
    rng = cluster.random
    gateway = rng.choice(gateways)
    fault = rng.choice((Fault.KILL, Fault.FREEZE, Fault.LINK))
    if fault is Fault.KILL:
        gateway.start()
    elif fault is Fault.FREEZE:
        gateway.freeze(rng.choice([0.4, 2.0, REVOKE_S + 1.0]))
    else:
        for address in cluster.machines:
            if rng.random() < 0.7:
                cluster.network.block_link(gateway.name, address, one_way=rng.random() < 0.5)
        cluster.after(rng.choice([0.5, 3.0]), cluster.network.restore_links)


def restart_all(cluster: Cluster, wiped: Sequence[Machine] = ()) -> None:
    """Kill all processes, or have all machines lose power, and schedule their restarts.

    Args:
        cluster: the cluster.
        wiped: the machines whose disks are lost.
    """
    power_loss = cluster.random.random() < 0.5
    for machine in list(cluster.machines.values()):
        machine.kill(power_loss=power_loss)
        if machine in wiped:
            machine.wipe()
        delay_s = cluster.random.uniform(0.05, RESTART_SPREAD_S)
        cluster.after(delay_s, partial(repair, cluster, machine))


def lose_disks_after_commit(cluster: Cluster) -> None:
    """Lose the tolerated number of disks, and all processes, right after a commit."""
    before = cluster.history.newest_confirmed()
    cluster.run_until(lambda: cluster.history.newest_confirmed() > before, 3.0)
    restart_all(cluster, cluster.random.sample(cluster.running_machines(), cluster.tolerated))


def block_random_link(cluster: Cluster, victim: Machine) -> None:
    """Block the link from a machine to a random other one, in one or both directions."""
    others = [machine for machine in cluster.machines.values() if machine is not victim]
    other = cluster.random.choice(others)
    one_way = cluster.random.random() < 0.5
    cluster.network.block_link(victim.address, other.address, one_way=one_way)


def partition_in_halves(cluster: Cluster) -> None:
    """Partition the machines into two random halves."""
    shuffled = cluster.random.sample(list(cluster.machines), len(cluster.machines))
    half = len(shuffled) // 2
    for address in shuffled[:half]:
        for other in shuffled[half:]:
            cluster.network.block_link(address, other)
