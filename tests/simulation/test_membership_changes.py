"""Machines that leave, join, restart and are lost at any distance, and what counts as lost."""

from __future__ import annotations

import itertools

import pytest

from roselink.simulation.cluster import Cluster
from roselink.simulation.faults import RECOVERY_S
from roselink.simulation.loss_budget import LossBudget
from roselink.simulation.membership_changes import (
    LOSSES,
    START_S,
    MembershipChanges,
    Step,
    run_membership_changes,
)


@pytest.mark.parametrize("seed", range(12))
def test_core_serves_after_overlapping_membership_changes(seed: int) -> None:
    """A core whose machines were replaced in series had no majority again."""
    run_membership_changes(seed, 3 + seed % 3, 2 if seed % 3 == 2 else 1)


def test_losses_count_until_they_end() -> None:
    budget = LossBudget(1)
    loss = budget.begin()
    assert not budget.permits_loss(100.0)
    loss.ends_at = 104.0
    assert not budget.permits_loss(103.9)
    assert budget.permits_loss(104.0)
    assert budget.active(104.0) == 0


@pytest.mark.parametrize("seed", range(3))
def test_steps_stay_within_what_is_tolerated(seed: int) -> None:
    cluster = Cluster(seed, 3, 1)
    cluster.run(START_S)
    changes = MembershipChanges(cluster)
    for _ in range(60):
        changes.take_step()
        cluster.run(cluster.random.choice((0.0, 0.1, 1.0)))
        assert changes.budget.active(cluster.now) <= cluster.tolerated
    losses = [time for time, step in changes.steps if step in LOSSES]
    assert losses
    assert all(later - earlier >= RECOVERY_S for earlier, later in itertools.pairwise(losses))
    assert {step for _, step in changes.steps} > {Step.JOIN, Step.LEAVE}
