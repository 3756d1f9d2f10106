"""Simulated operators and readers, whose calls are recorded in the cluster's history."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from roselink.controller.updates import UpdateRequest, parse_update_request, submit_update
from roselink.controller.validation import ValidationFailure
from roselink.coordination.effects import (
    ChangeCommitted,
    Confirmation,
    Conflict,
    OutcomeUnknown,
    StaleGeneration,
    SubmitOutcome,
)
from roselink.coordination.state import digest_of
from roselink.protocol.chain import ConfigurationChange
from roselink.simulation.exceptions import ChangeNotValidError
from roselink.simulation.history import CallResult, Change, Observation

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.simulation.cluster import Cluster
    from roselink.simulation.machine import Machine

# An operator resends a change after this time without a response, in seconds.
RESPONSE_TIMEOUT_S = 1.0
# After this many attempts an operator gives up a change and continues with its next one.
MAX_ATTEMPTS = 12
# The fraction of changes that are sent as updates of items.
UPDATE_FRACTION = 0.5
SERVICE = "model"
# The number of API keys; each configuration has two of them, in rotation.
KEY_COUNT = 5
# The fraction of calls that operators send to two members at once.
CONCURRENT_FRACTION = 0.1
# The fraction of responses that operators do not receive.
LOST_RESPONSE_FRACTION = 0.05
# The fraction of calls in which an operator resends one of its earlier changes.
REPEAT_FRACTION = 0.05
# The fractions of changes whose base version may not exist, and whose own version may be no higher
# than the base.
UNKNOWN_BASE_FRACTION = 0.03
OLD_VERSION_FRACTION = 0.05
# The fraction of confirmed changes that are sent once more.
CONFIRMED_REPEAT_FRACTION = 0.1


def document_of(change: Change, padding: int = 0) -> bytes:
    """Encode a change as a full configuration document.

    Its only route has the same name in all changes; the change's name is the route's host name.

    Args:
        change: the change.
        padding: the size of a setting that only varies the document's length, in bytes.
    """
    document = _items(change) | {
        "generation": change.version,
        "services": [{"name": SERVICE}],
        "padding": "x" * padding,
    }
    return json.dumps(document).encode()


def update_of(change: Change, missing_route: int) -> bytes:
    """Encode a change as an update of items, which also removes a nonexistent route."""
    update = {
        "generation": change.version,
        "upsert": _items(change),
        "remove": {"routes": [f"gone-{missing_route}"]},
    }
    return json.dumps(update).encode()


def _items(change: Change) -> dict[str, Any]:
    route = {"name": "newest", "hostname": change.name, "path_prefix": "/", "kind": "idempotent"}
    tenant = {"name": "tenant", "api_keys": sorted(change.keys)}
    return {"routes": [route | {"service": SERVICE}], "tenants": [tenant]}


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change in the form in which its operator sends it, byte for byte the same in each attempt.

    Attributes:
        change: the change.
        message: the request, which has a full document or an update of items.
    """

    change: Change
    message: ConfigurationChange | UpdateRequest

    def send(
        self, machine: Machine, done: Callable[[SubmitOutcome | ValidationFailure], None]
    ) -> None:
        """Send the change to a member."""
        if isinstance(self.message, ConfigurationChange):
            machine.submit(self.message, done)
            return
        process_number = machine.process_number

        def submit(change: ConfigurationChange, done: Callable[[SubmitOutcome], None]) -> None:
            if machine.process_number == process_number:
                machine.submit(change, done)

        submit_update(self.message, machine.read, submit, done)


def configuration_change_of(change: Change, padding: int = 0) -> ConfigurationChange:
    """The request that replaces the configuration by a change's full document."""
    document = document_of(change, padding)
    return ConfigurationChange(
        change.base, change.version, document, digest_of(change.base, document)
    )


def update_request_of(change: Change, missing_route: int) -> UpdateRequest:
    """The request that makes a change by an update of items.

    Raises:
        ChangeNotValidError: the controller's validation refuses it.
    """
    request = parse_update_request(change.base, update_of(change, missing_route))
    if isinstance(request, ValidationFailure):
        raise ChangeNotValidError(change, request)
    return request


def change_of(cluster: Cluster, document: bytes | None) -> Change | None:
    """The change that a document encodes; None for no document."""
    if document is None:
        return None
    return cluster.changes[json.loads(document)["routes"][0]["hostname"]]


def result_of(outcome: SubmitOutcome | ValidationFailure) -> CallResult:
    """What an operator knows about its change after an outcome."""
    if isinstance(outcome, ChangeCommitted):
        return CallResult.CONFIRMED
    refused = isinstance(outcome, Conflict | StaleGeneration | ValidationFailure)
    return CallResult.REFUSED if refused else CallResult.UNKNOWN


class Operator:
    """Sends changes one at a time to random members, and resends each until its result is known.

    Attributes:
        name: the name of the operator.
        pause_s: the longest pause between two changes, in seconds.
        base: the highest version that the operator knows to be in force.
        count: how many changes it has made.
        stopped: whether it starts no more changes.
        max_confirmation_latency_s: the longest time from the first send of a change to its
            confirmation, in seconds.
    """

    def __init__(self, cluster: Cluster, name: str, pause_s: float = 0.3) -> None:
        """Schedule the first change."""
        self.cluster = cluster
        self.name = name
        self.pause_s = pause_s
        self.base = 0
        self.count = 0
        self.stopped = False
        self.max_confirmation_latency_s = 0.0
        self._sent: list[ChangeRequest] = []
        cluster.after(cluster.random.uniform(0.5, 1.5), self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        rng = self.cluster.random
        if self._sent and rng.random() < REPEAT_FRACTION:
            request = rng.choice(self._sent)
        else:
            change = self._change()
            update = change.base > 0 and rng.random() < UPDATE_FRACTION
            size = rng.randrange(300)
            message = (
                update_request_of(change, size) if update else configuration_change_of(change, size)
            )
            self.cluster.digests[change.name] = message.digest
            request = ChangeRequest(change, message)
            self._sent.append(request)
        self._send(request, self.cluster.now, 0)

    def _change(self) -> Change:
        rng = self.cluster.random
        self.count += 1
        base = self.base + (rng.choice([3, 7]) if rng.random() < UNKNOWN_BASE_FRACTION else 0)
        version = max(
            1, base + rng.choice([1, 1, 2, 5]) - (4 if rng.random() < OLD_VERSION_FRACTION else 0)
        )
        keys = frozenset(f"key-{(version + turn) % KEY_COUNT}" for turn in range(2))
        change = Change(base, version, f"{self.name}-{self.count}", keys)
        self.cluster.changes[change.name] = change
        return change

    def _send(self, request: ChangeRequest, started_at: float, attempts: int) -> None:
        cluster = self.cluster
        running = cluster.running_machines()
        if attempts >= MAX_ATTEMPTS or not running:
            cluster.after(self.pause_s, self._next)
            return
        completed: list[bool] = []
        recipients = 2 if cluster.random.random() < CONCURRENT_FRACTION else 1
        for machine in cluster.random.sample(running, min(recipients, len(running))):
            self._call(machine, request, started_at, attempts, completed)

        def time_out() -> None:
            if not completed:
                completed.append(True)
                self._send(request, started_at, attempts + 1)

        cluster.after(RESPONSE_TIMEOUT_S, time_out)

    def _call(
        self,
        machine: Machine,
        request: ChangeRequest,
        started_at: float,
        attempts: int,
        completed: list[bool],
    ) -> None:
        cluster = self.cluster
        change = request.change
        call = cluster.history.begin_call(change, cluster.now)

        def done(outcome: SubmitOutcome | ValidationFailure) -> None:
            call.ended_at = cluster.now
            call.result = result_of(outcome)
            if isinstance(outcome, ChangeCommitted):
                cluster.record_confirmed(change.name, outcome.sequence)
            lost = cluster.random.random() < LOST_RESPONSE_FRACTION
            if completed or lost:
                return
            completed.append(True)
            self._respond(request, started_at, attempts, outcome)

        request.send(machine, done)

    def _respond(
        self,
        request: ChangeRequest,
        started_at: float,
        attempts: int,
        outcome: SubmitOutcome | ValidationFailure,
    ) -> None:
        cluster = self.cluster
        change = request.change
        if isinstance(outcome, ChangeCommitted):
            self.base = max(self.base, change.version)
            self.max_confirmation_latency_s = max(
                self.max_confirmation_latency_s, cluster.now - started_at
            )
            if cluster.random.random() < CONFIRMED_REPEAT_FRACTION:
                self._send(request, cluster.now, attempts + 1)
                return
        elif isinstance(outcome, Conflict | StaleGeneration):
            self.base = max(self.base, outcome.current)
        elif isinstance(outcome, OutcomeUnknown):
            self._send(request, started_at, attempts + 1)
            return
        cluster.after(cluster.random.uniform(0, self.pause_s), self._next)


class Reader:
    """Reads the configuration at random members; several reads may be in flight at once."""

    def __init__(self, cluster: Cluster, pause_s: float = 0.08) -> None:
        """Schedule the first read; the mean interval of reads is `pause_s` seconds."""
        self.cluster = cluster
        self.pause_s = pause_s
        self.stopped = False
        cluster.after(cluster.random.uniform(0.5, 1.5), self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        self.cluster.after(self.cluster.random.uniform(0, 2 * self.pause_s), self._next)
        running = self.cluster.running_machines()
        if not running:
            return
        started_at = self.cluster.now

        def done(confirmation: Confirmation | None) -> None:
            if confirmation is not None:
                change = change_of(self.cluster, confirmation.document)
                name = change.name if change is not None else None
                self.cluster.record_observed(confirmation.sequence, name)
                self.cluster.history.observations.append(
                    Observation(started_at, self.cluster.now, change)
                )

        self.cluster.random.choice(running).read(done)
