"""Machines that leave in order: in series, together, beside a loss, while another joins.

Each test guards against one failure: voters that had ended still counted, so that the core had no
majority again (docs/incidents/voters-that-left.md).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from roselink.coordination.effects import ChangeCommitted
from roselink.coordination.views import majority
from roselink.simulation.cluster import Cluster
from roselink.simulation.scenario import in_chain, read
from tests.simulation.test_scenarios import change_on, idle_cluster, submit

if TYPE_CHECKING:
    from roselink.protocol.chain import View
    from roselink.simulation.machine import Machine

# The time within which a machine that was started counts as lost (`sync_s`), in seconds.
SYNC_S = 4.0
# The time within which the core serves again, far below `recovery_s`, in seconds.
RECOVERY_LIMIT_S = 3.0


def add_successors(cluster: Cluster, count: int) -> list[Machine]:
    addresses = [f"10.1.0.{number + 1}:7500" for number in range(count)]
    for address in addresses:
        cluster.add(address)
    cluster.run(SYNC_S)
    return [cluster.machines[address] for address in addresses]


def stop_and_wait(cluster: Cluster, machine: Machine) -> None:
    """Stop a machine for good, and wait until its process has ended."""
    machine.stop()
    assert cluster.run_until(lambda: machine.member is None, 5.0)
    del cluster.machines[machine.address]


def newest_view(cluster: Cluster) -> View:
    tail = cluster.active_tail()
    assert tail is not None
    assert tail.member is not None
    assert tail.member.view is not None
    return tail.member.view


def assert_serves(cluster: Cluster, generation: int) -> None:
    """Every machine is in the chain, confirms a change and returns it; voters can be lost."""
    machines = cluster.running_machines()
    assert cluster.run_until(
        lambda: all(in_chain(cluster, machine) for machine in machines), RECOVERY_LIMIT_S
    )
    view = newest_view(cluster)
    running = {machine.address for machine in machines}
    live_voters = sum(voter.address in running for voter in view.voters)
    assert live_voters - cluster.tolerated >= majority(view)
    assert len(view.chain) > cluster.tolerated
    change = change_on(generation - 1, generation)
    assert isinstance(submit(cluster, machines[0], change), ChangeCommitted)
    for machine in machines:
        confirmation = read(cluster, machine)
        assert confirmation is not None
        assert confirmation.document == change.document


def started_core(machines: int, tolerated: int) -> tuple[Cluster, list[Machine]]:
    cluster = idle_cluster(machines, tolerated)
    for generation in (1, 2):
        submit(cluster, cluster.running_machines()[0], change_on(generation - 1, generation))
    return cluster, list(cluster.machines.values())


CORES = [(3, 1), (4, 1), (5, 2)]


@pytest.mark.parametrize(("machines", "tolerated"), CORES)
@pytest.mark.parametrize("gap_s", [0.0, 0.05, 0.3, 0.6])
def test_core_serves_after_all_machines_were_replaced_in_series(
    machines: int, tolerated: int, gap_s: float
) -> None:
    """The voters that had left were half of the voters: the core never had a majority again."""
    cluster, former = started_core(machines, tolerated)
    add_successors(cluster, min(machines, 9 - machines))
    for machine in former[: min(machines, 9 - machines)]:
        stop_and_wait(cluster, machine)
        cluster.run(gap_s)
    assert_serves(cluster, 3)


@pytest.mark.parametrize(("machines", "tolerated"), CORES)
def test_core_serves_after_machines_were_replaced_together(machines: int, tolerated: int) -> None:
    """All machines that leave at once are dropped from the voters before any of them ends."""
    cluster, former = started_core(machines, tolerated)
    leaving = former[: min(machines, 9 - machines)]
    add_successors(cluster, len(leaving))
    for machine in leaving:
        machine.stop()
    assert cluster.run_until(lambda: all(each.member is None for each in leaving), 5.0)
    for machine in leaving:
        del cluster.machines[machine.address]
    assert_serves(cluster, 3)


@pytest.mark.parametrize("loss_after_s", [-0.4, -0.1, 0.0, 0.02, 0.2, 0.45, 0.9])
@pytest.mark.parametrize("victim", [1, 2, 3])
def test_core_serves_after_a_replacement_beside_a_loss(loss_after_s: float, victim: int) -> None:
    """Of four voters one had left and one was lost: the other two were no majority."""
    cluster, former = started_core(3, 1)
    machines = [*former, *add_successors(cluster, 1)]
    if loss_after_s < 0:
        machines[victim].kill()
        cluster.run(-loss_after_s)
    stop_and_wait(cluster, machines[0])
    if loss_after_s >= 0:
        cluster.run(loss_after_s)
        machines[victim].kill()
    del cluster.machines[machines[victim].address]
    cluster.run(2.0)
    cluster.add("10.2.0.1:7500")
    cluster.run(SYNC_S)
    assert_serves(cluster, 3)


@pytest.mark.parametrize("machines", [3, 6])
@pytest.mark.parametrize("spread_s", [0.0, 0.05])
def test_core_that_is_stopped_as_a_whole_returns_with_its_disks(
    machines: int, spread_s: float
) -> None:
    """Voters are not dropped until none can agree: those that return with their disks decide."""
    cluster, former = started_core(machines, 1)
    for machine in former:
        machine.stop()
        cluster.run(spread_s)
    assert cluster.run_until(lambda: not cluster.running_machines(), 5.0)
    for machine in former:
        machine.start()
    assert_serves(cluster, 3)


@pytest.mark.parametrize("joining_for_s", [0.0, 0.2, 0.4, 1.0])
def test_core_serves_after_a_machine_left_while_another_joined(joining_for_s: float) -> None:
    """The machine that joins takes the place of the one that leaves among the voters."""
    cluster, former = started_core(3, 1)
    cluster.add("10.1.0.1:7500")
    cluster.run(joining_for_s)
    stop_and_wait(cluster, former[0])
    cluster.run(SYNC_S)
    assert len(newest_view(cluster).voters) == 3
    former[1].kill()
    cluster.run(1.0)
    former[1].start()
    assert_serves(cluster, 3)


def test_voters_that_stay_know_the_view_before_a_process_ends() -> None:
    """The machine that decided a view without itself was the only one to know it, and ended."""
    for seed in range(30):
        cluster = Cluster(seed, 4, 1)
        cluster.run(SYNC_S)
        leaving = next(iter(cluster.machines.values()))
        leaving.stop()
        cluster.run_until(lambda machine=leaving: machine.member is None, 5.0)  # type: ignore[misc]
        for machine in cluster.machines.values():
            machine.kill(power_loss=True)
        stored = [machine.storage.load()[0] for machine in list(cluster.machines.values())[1:]]
        views = [record.view for record in stored if record is not None and record.view is not None]
        newest = max(views, key=lambda view: view.epoch)
        assert leaving.address not in {voter.address for voter in newest.voters}
        assert sum(view.epoch == newest.epoch for view in views) >= majority(newest)
