"""Checks at the end of a scenario that the core serves again: changes, and gateways with keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.coordination.effects import ChangeCommitted, Confirmation, SubmitOutcome
from roselink.simulation.clients import change_of, configuration_change_of
from roselink.simulation.exceptions import GatewayNotServingError, RejectedChangeError
from roselink.simulation.gateways import REVOKE_S, Gateway
from roselink.simulation.history import CallResult, Change

if TYPE_CHECKING:
    from collections.abc import Iterable

    from roselink.simulation.cluster import Cluster
    from roselink.simulation.machine import Machine

# The time for a change at a core without faults, in virtual seconds.
CHANGE_LIMIT_S = 4.0
# The time in which gateways have a change after its confirmation (`config_converge_ms`), in virtual
# seconds.
CONVERGENCE_LIMIT_S = 2.0


def check_service(
    cluster: Cluster, machine: Machine, newest: Confirmation, gateways: Iterable[Gateway]
) -> None:
    """Make one more change at a machine, and wait until every gateway uses it.

    Args:
        cluster: the cluster, without faults and without other changes in flight.
        machine: the machine that the change is submitted to.
        newest: the confirmed configuration, which the change is based on.
        gateways: the gateways.

    Raises:
        RejectedChangeError: the change was not confirmed.
        GatewayNotServingError: a gateway does not have the change, or may not use its keys.
    """
    change = _submit_final_change(cluster, machine, newest)
    for gateway in gateways:
        if not cluster.run_until(lambda each=gateway: _serves(each, change), CONVERGENCE_LIMIT_S):  # type: ignore[misc]
            raise GatewayNotServingError(gateway.name)


def _submit_final_change(cluster: Cluster, machine: Machine, newest: Confirmation) -> Change:
    before = change_of(cluster, newest.document)
    keys = frozenset() if before is None else before.keys
    change = Change(newest.generation, newest.generation + 1, "final", keys)
    message = configuration_change_of(change)
    cluster.changes[change.name] = change
    cluster.digests[change.name] = message.digest
    call = cluster.history.begin_call(change, cluster.now)
    outcomes: list[SubmitOutcome] = []
    machine.submit(message, outcomes.append)
    cluster.run_until(lambda: bool(outcomes), CHANGE_LIMIT_S)
    if not outcomes or not isinstance(outcomes[0], ChangeCommitted):
        raise RejectedChangeError(change)
    call.ended_at = cluster.now
    call.result = CallResult.CONFIRMED
    cluster.record_confirmed(change.name, outcomes[0].sequence)
    return change


def _serves(gateway: Gateway, change: Change) -> bool:
    """Whether a gateway uses the change's configuration, and may use its keys."""
    may_use_keys = gateway.puller.may_use_keys(gateway.cluster.now, REVOKE_S, strict=True)
    return gateway.in_force == change and may_use_keys
