"""Checks that no proposal removes a live machine from the chain in the place of a stopped one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.simulation.exceptions import LiveMachineRemovedError

if TYPE_CHECKING:
    from roselink.coordination.effects import RemovalEvidence, ViewProposed
    from roselink.simulation.cluster import Cluster


def check_removals(cluster: Cluster, proposal: ViewProposed) -> None:
    """Check each machine that a proposal removes from the chain (L1 in `peer_table`).

    Raises:
        LiveMachineRemovedError: the proposer hears a machine, and removes it because of links to
            machines that have all stopped.
    """
    for evidence in proposal.removed:
        if _is_fit(evidence) and not any(
            _is_running(cluster, address) for address in evidence.broken_links
        ):
            raise LiveMachineRemovedError(evidence.address)


def _is_fit(evidence: RemovalEvidence) -> bool:
    is_eligible = evidence.live and evidence.disk_ok and not evidence.leaving
    return is_eligible and bool(evidence.broken_links)


def _is_running(cluster: Cluster, address: str) -> bool:
    machine = cluster.machines.get(address)
    return machine is not None and machine.running
