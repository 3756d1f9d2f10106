"""Costs of a configuration by its routes: bytes, validation, and its use at a gateway."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.controller.chain_interface import ConfigurationChange, Confirmation
from roselink.controller.updates import parse_update_request, proposal_from_update
from roselink.controller.validation import ValidationFailure, ValidDocument, validate
from roselink.dataplane.route_table import RouteTable
from roselink.model.configuration import Configuration
from tools.exceptions import MeasurementError
from tools.measure import heap_bytes, machine, processor_us, show, show_line
from tools.synthetic_fleet import make_document

if TYPE_CHECKING:
    from collections.abc import Sequence

ROUTES = (10, 50, 200, 400)
TENANTS = 200
TIMES = 5


@dataclass(frozen=True, slots=True)
class Cost:
    """The costs of one configuration.

    Attributes:
        routes: how many routes it has.
        document_bytes: the size of its document.
        check_us: processor time of the validation at the core.
        update_us: processor time of an update of one route.
        update_memory: bytes on the heap of that update.
        read_us: processor time to parse the document at a gateway.
        table_us: processor time to build the gateway's route table.
        memory: bytes on the heap of that table.
    """

    routes: int
    document_bytes: int
    check_us: float
    update_us: float
    update_memory: int
    read_us: float
    table_us: float
    memory: int


def measure(routes: int, tenants: int, times: int) -> Cost:
    """Measure a document with so many routes and tenants.

    Raises:
        MeasurementError: the document is not valid.
    """
    body = json.dumps(make_document(routes, tenants), separators=(",", ":")).encode()
    checked = validate(body)
    if not isinstance(checked, ValidDocument):
        raise MeasurementError("validation", checked)
    configuration = Configuration.from_document(json.loads(body))
    return Cost(
        routes,
        len(body),
        processor_us(lambda: validate(body), times),
        processor_us(lambda: _updated(body), times),
        heap_bytes(lambda: _updated(body)),
        processor_us(lambda: Configuration.from_document(json.loads(body)), times),
        processor_us(lambda: RouteTable(configuration), times),
        heap_bytes(lambda: RouteTable(Configuration.from_document(json.loads(body)))),
    )


def _updated(body: bytes) -> ConfigurationChange:
    """Change one route by an update of items, merged into the document."""
    document = json.loads(body)
    generation = document["generation"]
    route = document["routes"][0] | {"timeout_ms": 1234}
    update = {"generation": generation + 1, "upsert": {"routes": [route]}}
    call = parse_update_request(generation, json.dumps(update).encode())
    if isinstance(call, ValidationFailure):
        raise MeasurementError("update", call)
    change = proposal_from_update(
        call.base, call.update, call.digest, Confirmation(1, 1, body, generation)
    )
    if isinstance(change, ValidationFailure):
        raise MeasurementError("update", change)
    return change


def main(routes: Sequence[int] = ROUTES, tenants: int = TENANTS, times: int = TIMES) -> None:
    """Measure and print."""
    print(machine())
    costs = [measure(count, tenants, times) for count in routes]
    columns = (
        "routes",
        "document bytes",
        "check us",
        "update us",
        "update heap",
        "read us",
        "table us",
        "heap bytes",
    )
    rows = [
        (
            c.routes,
            c.document_bytes,
            c.check_us,
            c.update_us,
            c.update_memory,
            c.read_us,
            c.table_us,
            c.memory,
        )
        for c in costs
    ]
    show(f"A configuration with {tenants} tenants", columns, rows)
    show_line("document", "bytes", "route", [(c.routes, c.document_bytes) for c in costs])
    show_line("check", "us", "route", [(c.routes, c.check_us) for c in costs])
    show_line("update", "us", "route", [(c.routes, c.update_us) for c in costs])
    show_line("read", "us", "route", [(c.routes, c.read_us) for c in costs])
    show_line("table", "us", "route", [(c.routes, c.table_us) for c in costs])


if __name__ == "__main__":
    main()
