"""Scenarios in which machines leave, join, restart and are lost at any distance of time.

The pause between two steps is drawn from 0 s upward. A model of what counts as lost keeps every
step within what the deployment tolerates, so a core that does not serve at the end is at fault.
"""

from __future__ import annotations

from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from roselink.coordination.voter_plan import MAX_VOTERS
from roselink.simulation.cluster import MAX_SEEDS, Cluster
from roselink.simulation.faults import RECOVERY_S
from roselink.simulation.loss_budget import Loss, LossBudget
from roselink.simulation.scenario import Scenario, ScenarioResult

if TYPE_CHECKING:
    from roselink.simulation.machine import Machine

# The number of steps of a scenario.
STEP_COUNT = 25
# The pauses between two steps, in seconds; mostly short.
PAUSES_S = (0.0, 0.0, 0.0, 0.01, 0.03, 0.1, 0.3, 0.6, 1.0, RECOVERY_S)
# How long a machine that returns, or is replaced after a loss, is away, in seconds.
ABSENCES_S = (0.05, 0.3, 1.0, 2.0)
# The time in which all machines form the first view and stop counting as lost, in seconds.
START_S = 3.0 + RECOVERY_S


class Step(Enum):
    """One step of a scenario."""

    # One or more machines are added; they count neither as lost nor as present until they have run
    # for `RECOVERY_S`.
    JOIN = "join"
    # One or more machines with successors are stopped for good.
    LEAVE = "leave"
    # A machine that has run for less than `RECOVERY_S`, and so counts as lost, is stopped for good.
    # Any number of them may be stopped, as long as no other machine is lost.
    LEAVE_EARLY = "leave early"
    # A machine is stopped, and returns with its disk.
    RESTART = "restart"
    # A machine is killed, and returns with its disk.
    KILL = "kill"
    # A machine loses power and its disk, and returns.
    WIPE = "wipe"
    # A machine is killed for good, and is replaced by an empty one.
    REPLACE = "replace"
    # All machines are stopped at once, and return with their disks.
    STOP_ALL = "stop all"


LOSSES = (Step.RESTART, Step.KILL, Step.WIPE, Step.REPLACE)


class MembershipChanges:
    """Draws steps that the deployment tolerates, and carries them out.

    Attributes:
        cluster: the cluster.
        base: the number of machines that the deployment has.
        budget: what counts as lost.
        steps: the steps so far, with the time of each in seconds.
    """

    def __init__(self, cluster: Cluster) -> None:
        """Take over a cluster whose machines have all run for `RECOVERY_S`."""
        self.cluster = cluster
        self.base = len(cluster.machines)
        self.budget = LossBudget(cluster.tolerated)
        self.steps: list[tuple[float, Step]] = []
        self._mature_at = dict.fromkeys(cluster.machines, cluster.now)
        self._spares: set[str] = set()
        self._stopping: set[str] = set()
        self._settled_at = cluster.now
        self._losses_from = cluster.now
        self._added = 0

    def take_step(self) -> None:
        """Draw one of the steps that are tolerated now, and carry it out."""
        possible = [step for step in Step if self._is_tolerated(step)]
        if not possible:
            return
        step = self.cluster.random.choice(possible)
        self.steps.append((self.cluster.now, step))
        self._carry_out(step)

    def _staying(self) -> list[Machine]:
        machines = self.cluster.machines.values()
        return [each for each in machines if each.running and each.address not in self._stopping]

    def _mature(self) -> list[Machine]:
        now = self.cluster.now
        return [each for each in self._staying() if self._mature_at[each.address] <= now]

    def _immature_spares(self) -> list[Machine]:
        mature = self._mature()
        return [
            each for each in self._staying() if each.address in self._spares and each not in mature
        ]

    def _surplus(self) -> int:
        """How many machines may leave, since successors have run for `RECOVERY_S`."""
        return len(self._mature()) + self.budget.active(self.cluster.now) - self.base

    def _places(self) -> int:
        """How many machines can be added so that, with successors to come, all can be voters."""
        return MAX_VOTERS - len(self.cluster.machines) - self.budget.active(self.cluster.now)

    def _is_tolerated(self, step: Step) -> bool:
        if self.cluster.now < self._settled_at:
            return False
        if step is Step.JOIN:
            return self._places() > 0
        if step is Step.LEAVE:
            return self._surplus() > 0
        if step is Step.LEAVE_EARLY:
            return bool(self._immature_spares()) and not self.budget.active(self.cluster.now)
        if step is Step.STOP_ALL:
            return not self._stopping and not self.budget.active(self.cluster.now)
        may_lose = self._losses_from <= self.cluster.now and bool(self._mature())
        return may_lose and self.budget.permits_loss(self.cluster.now)

    def _carry_out(self, step: Step) -> None:
        rng = self.cluster.random
        if step is Step.JOIN:
            for _ in range(rng.randint(1, self._places())):
                self._spares.add(self._add())
        elif step is Step.LEAVE:
            for machine in rng.sample(self._mature(), rng.randint(1, self._surplus())):
                self._leave(machine)
        elif step is Step.LEAVE_EARLY:
            self._losses_from = self.cluster.now + RECOVERY_S
            self._leave(rng.choice(self._immature_spares()))
        elif step is Step.STOP_ALL:
            self._stop_all()
        else:
            self._lose(rng.choice(self._mature()), step)

    def _add(self) -> str:
        self._added += 1
        address = f"10.1.0.{self._added}:7500"
        self.cluster.add(address)
        self._mature_at[address] = self.cluster.now + RECOVERY_S
        self._update_seeds()
        return address

    def _leave(self, machine: Machine) -> None:
        """Stop a machine, and remove it once its process has ended."""
        self._stopping.add(machine.address)
        machine.stop(partial(self._remove, machine))

    def _remove(self, machine: Machine) -> None:
        self._stopping.discard(machine.address)
        self._spares.discard(machine.address)
        del self.cluster.machines[machine.address]
        self._update_seeds()

    def _update_seeds(self) -> None:
        """Name machines that stay as seeds in the settings, which running processes read again."""
        self.cluster.seeds = tuple([each.address for each in self._staying()][:MAX_SEEDS])
        for machine in self.cluster.running_machines():
            if machine.member is not None:
                machine.member.set_seeds(self.cluster.seeds)

    def _lose(self, machine: Machine, step: Step) -> None:
        loss = self.budget.begin()
        self._spares.discard(machine.address)
        absence_s = self.cluster.random.choice(ABSENCES_S)
        if step is Step.RESTART:
            self._stopping.add(machine.address)
            machine.stop(
                lambda: self.cluster.after(absence_s, partial(self._return, machine, loss))
            )
            return
        machine.kill(power_loss=step is Step.WIPE)
        if step is Step.REPLACE:
            self._remove(machine)
            self.cluster.after(absence_s, partial(self._replace, loss))
            return
        if step is Step.WIPE:
            machine.wipe()
        self.cluster.after(absence_s, partial(self._return, machine, loss))

    def _return(self, machine: Machine, loss: Loss) -> None:
        self._stopping.discard(machine.address)
        machine.start()
        loss.ends_at = self._mature_at[machine.address] = self.cluster.now + RECOVERY_S

    def _replace(self, loss: Loss) -> None:
        loss.ends_at = self._mature_at[self._add()]

    def _stop_all(self) -> None:
        """Stop all machines; nothing else happens until they no longer count as lost."""
        self._settled_at = float("inf")
        machines = self._staying()
        for machine in machines:
            self._stopping.add(machine.address)
            machine.stop(partial(self._start_all_again, machines))

    def _start_all_again(self, machines: list[Machine]) -> None:
        if any(machine.member is not None for machine in machines):
            return
        for machine in machines:
            self._stopping.discard(machine.address)
            machine.start()
            self._mature_at[machine.address] = self.cluster.now + RECOVERY_S
        self._settled_at = self.cluster.now + RECOVERY_S


def run_membership_changes(seed: int, machines: int, tolerated: int) -> ScenarioResult:
    """Have machines leave, join, restart and be lost, in series and overlapping."""
    cluster = Cluster(seed, machines, tolerated)
    scenario = Scenario(cluster)
    cluster.run(START_S)
    changes = MembershipChanges(cluster)
    for _ in range(STEP_COUNT):
        changes.take_step()
        cluster.run(cluster.random.choice(PAUSES_S))
    cluster.run(max(ABSENCES_S) + RECOVERY_S)
    return scenario.finish()
