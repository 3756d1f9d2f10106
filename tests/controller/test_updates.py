"""Updates of items: parsing, merging, proposing and resubmission."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from roselink.controller.updates import (
    Update,
    UpdateRequest,
    digest_of_update,
    merge,
    parse_update,
    parse_update_request,
    proposal_from_update,
    submit_update,
)
from roselink.controller.validation import ValidationFailure
from roselink.coordination.effects import (
    ChangeCommitted,
    Confirmation,
    Conflict,
    OutcomeUnknown,
    SubmitOutcome,
)
from roselink.coordination.state import (
    EMPTY,
    HISTORY_LIMIT,
    ValidationKind,
    apply_change,
    digest_of,
    validate,
)
from roselink.protocol.chain import ConfigurationChange, ConfigurationState
from tests.controller.test_validation import document, route, second_route, service, tenant

BASE = document()  # of generation 7
THIRD_ROUTE = route(name="r-3", path_prefix="/three/")


def update_body(generation: Any = 9, **fields: Any) -> bytes:
    return json.dumps({"generation": generation, **fields}).encode()


def update(body: bytes) -> Update:
    result = parse_update(body)
    assert isinstance(result, Update), result
    return result


def confirmation(content: dict[str, Any] | None) -> Confirmation:
    if content is None:
        return Confirmation(1, 0, None, 0)
    return Confirmation(1, 4, json.dumps(content).encode(), content["generation"])


MERGES: dict[str, tuple[dict[str, Any], dict[str, Any]]] = {
    "no change": ({}, {}),
    "an added item": (
        {"upsert": {"routes": [THIRD_ROUTE]}},
        {"routes": [route(), second_route(), THIRD_ROUTE]},
    ),
    "an item replaced in its position": (
        {"upsert": {"routes": [route(timeout_ms=1)]}},
        {"routes": [route(timeout_ms=1), second_route()]},
    ),
    "an item replaced, not merged": (
        {"upsert": {"tenants": [{"name": "t-1", "api_keys": ["k"]}]}},
        {"tenants": [{"name": "t-1", "api_keys": ["k"]}]},
    ),
    "a removed item": ({"remove": {"routes": ["r-2"]}}, {"routes": [route()]}),
    "one item added and one removed": (
        {"upsert": {"routes": [THIRD_ROUTE]}, "remove": {"routes": ["r-1"]}},
        {"routes": [second_route(), THIRD_ROUTE]},
    ),
    "an item removed from another section": (
        {
            "upsert": {"routes": [route(), second_route(service="model")]},
            "remove": {"services": ["records"]},
        },
        {"routes": [route(), second_route(service="model")], "services": [service()]},
    ),
    "removal of an absent name": ({"remove": {"routes": ["r-old"]}}, {}),
    "the same name in two sections": (
        {"upsert": {"services": [service(name="r-2")]}, "remove": {"routes": ["r-2"]}},
        {
            "routes": [route()],
            "services": [service(), service(name="records", engine=None), service(name="r-2")],
        },
    ),
    "limits replaced, not merged": (
        {"upsert": {"limits": {"max_body_bytes": 1}}},
        {"limits": {"max_body_bytes": 1}},
    ),
    "a new section": ({"upsert": {"walls": [{"name": "w"}]}}, {"walls": [{"name": "w"}]}),
    "a new object": ({"upsert": {"note": {"by": "x"}}}, {"note": {"by": "x"}}),
    "null fields": ({"upsert": None, "remove": None}, {}),
    "all tenants removed": ({"remove": {"tenants": ["t-1"]}}, {"tenants": []}),
}


@pytest.mark.parametrize("case", MERGES)
def test_merge(case: str) -> None:
    fields, changed = MERGES[case]
    base = document(note_of_base={"kept": True})
    base["services"][1].pop("engine", None)
    expected = copy.deepcopy(base) | changed | {"generation": 9}
    for each in expected["services"]:
        if each.get("engine") is None:
            each.pop("engine", None)
    before = copy.deepcopy(base)
    assert merge(base, update(update_body(**fields))) == expected
    assert base == before


MALFORMED_UPDATES: dict[str, tuple[bytes, str]] = {
    "not JSON": (b'{"generation":', ""),
    "not an object": (b"[]", ""),
    "no generation": (b"{}", "generation"),
    "generation 0": (update_body(0), "generation"),
    "generation true": (update_body(True), "generation"),
    "generation is a fraction": (update_body(1.5), "generation"),
    "upsert is a list": (update_body(upsert=[1]), "upsert"),
    "remove is a list": (update_body(remove=["r-1"]), "remove"),
    "items are a number": (update_body(upsert={"routes": 3}), "upsert.routes"),
    "an item without a name": (
        update_body(upsert={"routes": [{"hostname": "a"}]}),
        "upsert.routes[0]",
    ),
    "an item with an empty name": (
        update_body(upsert={"routes": [{"name": ""}]}),
        "upsert.routes[0]",
    ),
    "an item that is text": (update_body(upsert={"routes": ["r-1"]}), "upsert.routes[0]"),
    "the same item twice": (
        update_body(upsert={"routes": [THIRD_ROUTE, THIRD_ROUTE]}),
        "upsert.routes[1].name",
    ),
    "an item both upserted and removed": (
        update_body(upsert={"routes": [THIRD_ROUTE]}, remove={"routes": ["r-3"]}),
        "upsert.routes[0].name",
    ),
    "names to remove from an object": (
        update_body(upsert={"limits": {}}, remove={"limits": ["max_body_bytes"]}),
        "remove.limits",
    ),
    "names that are text": (update_body(remove={"routes": "r-1"}), "remove.routes"),
    "a name that is a number": (update_body(remove={"routes": [1]}), "remove.routes[0]"),
    "generation as a section": (update_body(upsert={"generation": {}}), "upsert.generation"),
    "generation as a section to remove from": (
        update_body(remove={"generation": []}),
        "remove.generation",
    ),
}


@pytest.mark.parametrize("case", MALFORMED_UPDATES)
def test_malformed_update_is_rejected_with_its_path(case: str) -> None:
    body, path = MALFORMED_UPDATES[case]
    result = parse_update(body)
    assert isinstance(result, ValidationFailure)
    assert result.faults[0].path == path
    assert isinstance(parse_update_request(7, body), ValidationFailure)


INVALID_RESULTS: dict[str, tuple[dict[str, Any], str]] = {
    "a route without its service": (
        {"remove": {"services": ["records"]}},
        "routes[0].traffic_split[1].service",
    ),
    "a duplicate hostname and prefix": (
        {"upsert": {"routes": [route(name="r-9")]}},
        "routes[2].path_prefix",
    ),
    "weights add up to 0": (
        {"upsert": {"routes": [route(traffic_split=[{"service": "model", "weight": 0}])]}},
        "routes[0].traffic_split",
    ),
    "timeout 0": ({"upsert": {"routes": [route(timeout_ms=0)]}}, "routes[0].timeout_ms"),
    "a key of two tenants": (
        {"upsert": {"tenants": [tenant(name="t-2")]}},
        "tenants[1].api_keys[0]",
    ),
    "a section that is not a list": ({"upsert": {"limits": [{"name": "l"}]}}, "limits"),
    "names to remove from an object of the base": (
        {"remove": {"limits": ["max_body_bytes"]}},
        "limits",
    ),
    "a limit below 0": ({"upsert": {"limits": {"max_body_bytes": -1}}}, "limits.max_body_bytes"),
}


@pytest.mark.parametrize("case", INVALID_RESULTS)
def test_update_with_an_invalid_result_is_rejected_with_its_path(case: str) -> None:
    fields, path = INVALID_RESULTS[case]
    result = proposal_from_update(7, update(update_body(**fields)), b"digest", confirmation(BASE))
    assert isinstance(result, ValidationFailure)
    assert result.faults[0].path == path


def test_references_of_an_update_are_validated_after_the_merge() -> None:
    fields = {
        "upsert": {
            "routes": [
                route(name="r-4", path_prefix="/four/", traffic_split=None, service="records")
            ]
        }
    }
    result = proposal_from_update(7, update(update_body(**fields)), b"digest", confirmation(BASE))
    assert isinstance(result, ConfigurationChange)
    assert [each["name"] for each in json.loads(result.document)["routes"]] == ["r-1", "r-2", "r-4"]
    assert (result.base, result.generation, result.digest) == (7, 9, b"digest")


def test_lone_surrogate_in_an_unknown_field_is_preserved() -> None:
    with_surrogate = update(b'{"generation":9,"upsert":{"notes":[{"name":"n","text":"\\ud800"}]}}')
    result = proposal_from_update(7, with_surrogate, b"digest", confirmation(BASE))
    assert isinstance(result, ConfigurationChange)
    assert json.loads(result.document)["notes"] == [{"name": "n", "text": "\ud800"}]


def test_deep_nesting_does_not_raise() -> None:
    for depth in range(800, 1000):
        body = b'{"generation":9,"upsert":{"note":{"deep":%s%s}}}' % (b"[" * depth, b"]" * depth)
        parsed = parse_update(body)
        if isinstance(parsed, Update):
            proposal_from_update(7, parsed, b"digest", confirmation(BASE))


def test_update_on_an_empty_configuration() -> None:
    first = update(
        update_body(upsert={"routes": [second_route()], "services": [service(name="records")]})
    )
    result = proposal_from_update(0, first, b"digest", confirmation(None))
    assert isinstance(result, ConfigurationChange)
    assert json.loads(result.document)["routes"] == [second_route()]


@pytest.mark.parametrize("base", [3, 8])
def test_change_on_another_base_has_no_document(base: int) -> None:
    result = proposal_from_update(base, update(update_body()), b"digest", confirmation(BASE))
    assert result == ConfigurationChange(base, 9, b"", b"digest")


def test_digests_differ_by_base_body_and_kind() -> None:
    digests = {
        digest_of_update(7, b"{}"),
        digest_of_update(8, b"{}"),
        digest_of_update(7, b"{} "),
        digest_of(7, b"{}"),
    }
    assert len(digests) == 4
    assert digest_of_update(7, b"{}") in digests


class CoreHarness:
    """The replicated state, which decides each change at once.

    `confirm` returns the state from before `concurrent_calls`, which it executes.
    """

    def __init__(self) -> None:
        document_bytes = json.dumps(BASE).encode()
        self.state = apply_change(
            EMPTY,
            ConfigurationChange(0, 7, document_bytes, digest_of(0, document_bytes)),
            refused=False,
        )
        self.confirmable = True
        self.concurrent_calls: list[UpdateRequest | ConfigurationChange] = []

    def confirm(self, done: Any) -> None:
        state_read = self.state
        concurrent_calls, self.concurrent_calls = self.concurrent_calls, []
        for request in concurrent_calls:
            self.execute(request)
        done(_confirmation_of(state_read) if self.confirmable else None)

    def submit(self, change: ConfigurationChange, done: Any) -> None:
        validation = validate(self.state, change)
        outcome: SubmitOutcome = Conflict(validation.value)
        if validation.kind in (ValidationKind.APPEND, ValidationKind.COMMITTED):
            outcome = ChangeCommitted(validation.value)
        if validation.kind is ValidationKind.DOCUMENT_MISSING:
            outcome = OutcomeUnknown()
        if validation.kind in (ValidationKind.APPEND, ValidationKind.REFUSE_PERMANENTLY):
            self.state = apply_change(
                self.state, change, refused=validation.kind is ValidationKind.REFUSE_PERMANENTLY
            )
        done(outcome)

    def execute(
        self, request: UpdateRequest | ConfigurationChange
    ) -> SubmitOutcome | ValidationFailure:
        outcomes: list[SubmitOutcome | ValidationFailure] = []
        if isinstance(request, ConfigurationChange):
            self.submit(request, outcomes.append)
        else:
            submit_update(request, self.confirm, self.submit, outcomes.append)
        (outcome,) = outcomes
        return outcome

    def route_names(self) -> list[str]:
        return [each["name"] for each in json.loads(self.state.document)["routes"]]


def _confirmation_of(state: ConfigurationState) -> Confirmation:
    return Confirmation(1, state.sequence, state.document or None, state.generation)


def update_request(base: int, generation: int, **fields: Any) -> UpdateRequest:
    result = parse_update_request(base, update_body(generation, **fields))
    assert isinstance(result, UpdateRequest)
    return result


def route_update(base: int, generation: int, name: str) -> UpdateRequest:
    return update_request(
        base, generation, upsert={"routes": [route(name=name, path_prefix=f"/{name}/")]}
    )


def replacement(base: int, generation: int) -> ConfigurationChange:
    document_bytes = json.dumps(document(generation=generation)).encode()
    return ConfigurationChange(base, generation, document_bytes, digest_of(base, document_bytes))


def test_resubmitted_update_is_applied_once() -> None:
    core = CoreHarness()
    first = route_update(7, 9, "new")
    assert core.execute(first) == ChangeCommitted(2)
    assert core.execute(first) == ChangeCommitted(2)
    assert core.route_names() == ["r-1", "r-2", "new"]
    assert core.execute(route_update(9, 12, "newer")) == ChangeCommitted(3)
    assert core.execute(first) == ChangeCommitted(2)
    assert core.route_names() == ["r-1", "r-2", "new", "newer"]


def test_second_change_on_one_base_conflicts() -> None:
    core = CoreHarness()
    assert core.execute(route_update(7, 9, "new")) == ChangeCommitted(2)
    assert core.execute(route_update(7, 10, "other")) == Conflict(9)
    assert core.execute(replacement(7, 11)) == Conflict(9)
    core = CoreHarness()
    assert core.execute(replacement(7, 9)) == ChangeCommitted(2)
    assert core.execute(route_update(7, 10, "other")) == Conflict(9)
    assert core.route_names() == ["r-1", "r-2"]


def test_change_committed_between_read_and_submit_causes_a_conflict() -> None:
    core = CoreHarness()
    core.concurrent_calls = [replacement(7, 9)]
    assert core.execute(route_update(7, 10, "other")) == Conflict(9)
    assert core.route_names() == ["r-1", "r-2"]


def test_update_submitted_at_two_members_at_once_is_applied_once() -> None:
    core = CoreHarness()
    core.concurrent_calls = [route_update(7, 9, "new")]
    assert core.execute(route_update(7, 9, "new")) == ChangeCommitted(2)
    assert core.route_names() == ["r-1", "r-2", "new"]


def test_base_committed_after_the_read_gives_an_unknown_outcome_and_a_retry_succeeds() -> None:
    core = CoreHarness()
    core.concurrent_calls = [replacement(7, 9)]
    early = route_update(9, 12, "early")
    assert core.execute(early) == OutcomeUnknown()
    assert core.execute(early) == ChangeCommitted(3)


def test_update_on_a_future_base_stays_rejected() -> None:
    core = CoreHarness()
    early = route_update(9, 12, "early")
    assert core.execute(early) == Conflict(7)
    assert core.execute(replacement(7, 9)) == ChangeCommitted(3)
    assert core.execute(early) == Conflict(9)


def test_resubmitted_update_is_recognised_within_the_history_limit() -> None:
    core = CoreHarness()
    first = route_update(7, 8, "new")
    assert core.execute(first) == ChangeCommitted(2)
    for number in range(8, 8 + HISTORY_LIMIT - 1):
        change = ConfigurationChange(
            number, number + 1, core.state.document, digest_of(number, b"")
        )
        core.state = apply_change(core.state, change, refused=False)
    assert core.execute(first) == ChangeCommitted(2)
    core.state = apply_change(core.state, replacement(core.state.generation, 99_999), refused=False)
    # The digest is no longer in the history: the base is too old, as for any other change.
    assert core.execute(first) == Conflict(99_999)


def test_unconfirmed_read_gives_an_unknown_outcome() -> None:
    core = CoreHarness()
    core.confirmable = False
    assert core.execute(route_update(7, 9, "new")) == OutcomeUnknown()


def test_invalid_result_is_not_submitted() -> None:
    core = CoreHarness()
    assert isinstance(
        core.execute(update_request(7, 9, remove={"services": ["records"]})), ValidationFailure
    )
    assert core.state.sequence == 1
