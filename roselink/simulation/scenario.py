"""A simulated control plane with its clients, and the checks at the end of a scenario."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.coordination.state import find_in_history
from roselink.simulation.clients import Operator, Reader, change_of
from roselink.simulation.exceptions import (
    HostListRegressedError,
    InconsistentHistoryError,
    LostChangeError,
    NoActiveChainError,
    NothingConfirmedError,
    NotRecoveredError,
    ReadTimedOutError,
    RefusedChangeInForceError,
    UnconfirmedReadError,
)
from roselink.simulation.gateways import REVOKE_S, Gateway
from roselink.simulation.history import CallResult, HistoryChecker, Observation, Violation
from roselink.simulation.linearizability import is_linearizable, operations_of
from roselink.simulation.service_check import check_service

if TYPE_CHECKING:
    from roselink.coordination.effects import Confirmation
    from roselink.simulation.cluster import Cluster
    from roselink.simulation.machine import Machine

GATEWAY_COUNT = 3
# The time from the last fault to the checks, in virtual seconds.
SETTLING_S = 8.0


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Statistics of the clients in a scenario that passed.

    Attributes:
        confirmed: the number of calls whose change was confirmed.
        observations: the number of configurations that were returned as the newest.
        key_uses: the number of requests that gateways admitted with a key.
        max_confirmation_latency_s: the most seconds from a change's first send to its confirmation.
    """

    confirmed: int
    observations: int
    key_uses: int
    max_confirmation_latency_s: float


class Scenario:
    """A cluster with its clients, and the checks at the end of a scenario."""

    def __init__(self, cluster: Cluster) -> None:
        """Add two operators, two readers and three gateways to a cluster."""
        self.cluster = cluster
        self.operators = [Operator(cluster, name) for name in ("a", "b")]
        self.readers = [Reader(cluster) for _ in range(2)]
        self.gateways = [Gateway(cluster, f"gateway-{number}") for number in range(GATEWAY_COUNT)]

    def finish(self, settling_s: float = SETTLING_S) -> ScenarioResult:
        """Stop operators and readers, wait until the cluster has recovered, and check."""
        self.stop()
        self.cluster.run(settling_s)
        return self.check()

    def stop(self) -> None:
        """Have operators and readers start no more calls; gateways continue."""
        for operator in self.operators:
            operator.stopped = True
        for reader in self.readers:
            reader.stopped = True

    def check(self) -> ScenarioResult:
        """Check that the core serves, every member's state and the complete history.

        All faults must be repaired.

        Raises:
            ScenarioError: no chain is active, a machine did not recover, no change was confirmed
                or reached a gateway, a confirmed change is lost, a refused one is in force, a
                gateway's host list went back, or the history is impossible for one linearizable
                register.
        """
        cluster = self.cluster
        history = cluster.history
        if cluster.active_tail() is None:
            raise NoActiveChainError
        running = cluster.running_machines()
        for machine in running:
            if not in_chain(cluster, machine):
                raise NotRecoveredError(machine.address)
        newest = record_confirmed_read(cluster, running[0])
        check_service(cluster, running[0], newest, self.gateways)
        for machine in running:
            record_confirmed_read(cluster, machine)
            _check_state(cluster, machine)
        violations = tuple(HistoryChecker(history, REVOKE_S).violations())
        if violations:
            raise InconsistentHistoryError(violations)
        if not is_linearizable(operations_of(history)):
            raise InconsistentHistoryError((Violation("not linearizable", "no valid order"),))
        if any(gateway.host_list_regressions for gateway in self.gateways):
            raise HostListRegressedError
        confirmed = sum(call.result is CallResult.CONFIRMED for call in history.calls)
        if not (confirmed and history.key_uses):
            raise NothingConfirmedError
        max_latency_s = max(operator.max_confirmation_latency_s for operator in self.operators)
        return ScenarioResult(
            confirmed, len(history.observations), len(history.key_uses), max_latency_s
        )


def read(cluster: Cluster, machine: Machine, timeout_s: float = 4.0) -> Confirmation | None:
    """Read the configuration at one machine, and wait for the result.

    Raises:
        ReadTimedOutError: the read did not end within the time-out.
    """
    outcomes: list[Confirmation | None] = []
    machine.read(outcomes.append)
    if not cluster.run_until(lambda: bool(outcomes), timeout_s):
        raise ReadTimedOutError(machine.address)
    return outcomes[0]


def record_confirmed_read(cluster: Cluster, machine: Machine) -> Confirmation:
    """Read at one machine, and record the result in the history.

    Raises:
        UnconfirmedReadError: the read was not confirmed.
    """
    started_at = cluster.now
    confirmation = read(cluster, machine)
    if confirmation is None:
        raise UnconfirmedReadError(machine.address)
    change = change_of(cluster, confirmation.document)
    cluster.record_observed(confirmation.sequence, change.name if change is not None else None)
    cluster.history.observations.append(Observation(started_at, cluster.now, change))
    return confirmation


def in_chain(cluster: Cluster, machine: Machine) -> bool:
    """Whether a machine takes part in the active chain of the newest view."""
    tail = cluster.active_tail()
    member = machine.member
    if tail is None or member is None or tail.member is None:
        return False
    same_view = member.view is not None and member.view == tail.member.view
    return same_view and member.chain.participating and member.chain.active


def _check_state(cluster: Cluster, machine: Machine) -> None:
    """Check that a member's disk has all confirmed changes and no refused ones."""
    if machine.member is None:
        return
    state = machine.member.chain.durable
    for call in cluster.history.calls:
        name = call.change.name
        found = find_in_history(state, cluster.digests[name])
        in_force = found is not None and found[0] > 0
        kept = in_force and found is not None and found[1] == cluster.confirmed_sequences.get(name)
        if call.result is CallResult.CONFIRMED and not kept:
            raise LostChangeError(call.change)
        if call.result is CallResult.REFUSED and in_force:
            raise RefusedChangeInForceError(call.change)
