"""Costs of a configuration by its number of routes: size, validation, updates, use at a gateway."""

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
from tools.measure import describe_machine, heap_bytes, print_fit, print_table, processor_us
from tools.synthetic_fleet import make_document

if TYPE_CHECKING:
    from collections.abc import Sequence

ROUTE_COUNTS = (10, 50, 200, 400)
TENANT_COUNT = 200
REPETITIONS = 5


@dataclass(frozen=True, slots=True)
class ConfigurationCost:
    """The costs of one configuration.

    Attributes:
        routes: number of routes.
        document_bytes: size of the document.
        validate_us: processor time of validation at the core.
        update_us: processor time of an update of one route.
        update_heap_bytes: heap size of the result of that update.
        parse_us: processor time to parse the document at a gateway.
        route_table_us: processor time to build the gateway's route table.
        route_table_heap_bytes: heap size of that table.
    """

    routes: int
    document_bytes: int
    validate_us: float
    update_us: float
    update_heap_bytes: int
    parse_us: float
    route_table_us: float
    route_table_heap_bytes: int


def measure(routes: int, tenants: int, repetitions: int) -> ConfigurationCost:
    """Measure a document with the given numbers of routes and tenants.

    Raises:
        MeasurementError: the document is not valid.
    """
    body = json.dumps(make_document(routes, tenants), separators=(",", ":")).encode()
    validated = validate(body)
    if not isinstance(validated, ValidDocument):
        raise MeasurementError("validation", validated)
    configuration = Configuration.from_document(json.loads(body))
    return ConfigurationCost(
        routes,
        len(body),
        processor_us(lambda: validate(body), repetitions),
        processor_us(lambda: _apply_update(body), repetitions),
        heap_bytes(lambda: _apply_update(body)),
        processor_us(lambda: Configuration.from_document(json.loads(body)), repetitions),
        processor_us(lambda: RouteTable(configuration), repetitions),
        heap_bytes(lambda: RouteTable(Configuration.from_document(json.loads(body)))),
    )


def _apply_update(body: bytes) -> ConfigurationChange:
    """Merge an update of one route into the document."""
    document = json.loads(body)
    generation = document["generation"]
    route = document["routes"][0] | {"timeout_ms": 1234}
    update = {"generation": generation + 1, "upsert": {"routes": [route]}}
    request = parse_update_request(generation, json.dumps(update).encode())
    if isinstance(request, ValidationFailure):
        raise MeasurementError("update", request)
    change = proposal_from_update(
        request.base, request.update, request.digest, Confirmation(1, 1, body, generation)
    )
    if isinstance(change, ValidationFailure):
        raise MeasurementError("update", change)
    return change


def main(
    routes: Sequence[int] = ROUTE_COUNTS,
    tenants: int = TENANT_COUNT,
    repetitions: int = REPETITIONS,
) -> None:
    """Measure and print each number of routes."""
    print(describe_machine())
    costs = [measure(count, tenants, repetitions) for count in routes]
    columns = (
        "routes",
        "document bytes",
        "validate us",
        "update us",
        "update heap bytes",
        "parse us",
        "route table us",
        "route table heap bytes",
    )
    rows = [
        (
            cost.routes,
            cost.document_bytes,
            cost.validate_us,
            cost.update_us,
            cost.update_heap_bytes,
            cost.parse_us,
            cost.route_table_us,
            cost.route_table_heap_bytes,
        )
        for cost in costs
    ]
    print_table(f"A configuration with {tenants} tenants", columns, rows)
    print_fit("document", "bytes", "route", [(cost.routes, cost.document_bytes) for cost in costs])
    print_fit("validate", "us", "route", [(cost.routes, cost.validate_us) for cost in costs])
    print_fit("update", "us", "route", [(cost.routes, cost.update_us) for cost in costs])
    print_fit("parse", "us", "route", [(cost.routes, cost.parse_us) for cost in costs])
    print_fit("route table", "us", "route", [(cost.routes, cost.route_table_us) for cost in costs])


if __name__ == "__main__":
    main()
