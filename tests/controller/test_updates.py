"""Updates of items: how they are read, merged, and made orders, also when they come again."""

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
from tests.controller.test_validation import document, route, second, service, tenant

BASE = document()  # of generation 7
OTHER = route(name="r-3", path_prefix="/three/")


def bytes_of(generation: Any = 9, **parts: Any) -> bytes:
    return json.dumps({"generation": generation, **parts}).encode()


def update(body: bytes) -> Update:
    got = parse_update(body)
    assert isinstance(got, Update), got
    return got


def confirmed(whole: dict[str, Any] | None) -> Confirmation:
    if whole is None:
        return Confirmation(1, 0, None, 0)
    return Confirmation(1, 4, json.dumps(whole).encode(), whole["generation"])


MERGED: dict[str, tuple[dict[str, Any], dict[str, Any]]] = {
    "nothing": ({}, {}),
    "an item more": ({"upsert": {"routes": [OTHER]}}, {"routes": [route(), second(), OTHER]}),
    "an item in its place": (
        {"upsert": {"routes": [route(timeout_ms=1)]}},
        {"routes": [route(timeout_ms=1), second()]},
    ),
    "an item replaced whole": (
        {"upsert": {"tenants": [{"name": "t-1", "api_keys": ["k"]}]}},
        {"tenants": [{"name": "t-1", "api_keys": ["k"]}]},
    ),
    "an item less": ({"remove": {"routes": ["r-2"]}}, {"routes": [route()]}),
    "one more and one less": (
        {"upsert": {"routes": [OTHER]}, "remove": {"routes": ["r-1"]}},
        {"routes": [second(), OTHER]},
    ),
    "less of another section": (
        {
            "upsert": {"routes": [route(), second(service="model")]},
            "remove": {"services": ["records"]},
        },
        {"routes": [route(), second(service="model")], "services": [service()]},
    ),
    "a name to remove that is not there": ({"remove": {"routes": ["r-old"]}}, {}),
    "the same name in two sections": (
        {"upsert": {"services": [service(name="r-2")]}, "remove": {"routes": ["r-2"]}},
        {
            "routes": [route()],
            "services": [service(), service(name="records", engine=None), service(name="r-2")],
        },
    ),
    "limits are replaced whole": (
        {"upsert": {"limits": {"max_body_bytes": 1}}},
        {"limits": {"max_body_bytes": 1}},
    ),
    "a section that is new": ({"upsert": {"walls": [{"name": "w"}]}}, {"walls": [{"name": "w"}]}),
    "an object that is new": ({"upsert": {"note": {"by": "x"}}}, {"note": {"by": "x"}}),
    "null parts": ({"upsert": None, "remove": None}, {}),
    "all tenants": ({"remove": {"tenants": ["t-1"]}}, {"tenants": []}),
}


@pytest.mark.parametrize("case", MERGED)
def test_a_merge(case: str) -> None:
    parts, changed = MERGED[case]
    base = document(note_of_base={"kept": True})
    base["services"][1].pop("engine", None)
    expected = copy.deepcopy(base) | changed | {"generation": 9}
    for each in expected["services"]:
        if each.get("engine") is None:
            each.pop("engine", None)
    before = copy.deepcopy(base)
    assert merge(base, update(bytes_of(**parts))) == expected
    assert base == before


UNREADABLE: dict[str, tuple[bytes, str]] = {
    "no JSON": (b'{"generation":', ""),
    "no object": (b"[]", ""),
    "no generation": (b"{}", "generation"),
    "generation 0": (bytes_of(0), "generation"),
    "generation true": (bytes_of(True), "generation"),
    "generation is a fraction": (bytes_of(1.5), "generation"),
    "upsert is a list": (bytes_of(upsert=[1]), "upsert"),
    "remove is a list": (bytes_of(remove=["r-1"]), "remove"),
    "items of a number": (bytes_of(upsert={"routes": 3}), "upsert.routes"),
    "an item without a name": (
        bytes_of(upsert={"routes": [{"hostname": "a"}]}),
        "upsert.routes[0]",
    ),
    "an item with an empty name": (bytes_of(upsert={"routes": [{"name": ""}]}), "upsert.routes[0]"),
    "an item that is text": (bytes_of(upsert={"routes": ["r-1"]}), "upsert.routes[0]"),
    "an item twice": (bytes_of(upsert={"routes": [OTHER, OTHER]}), "upsert.routes[1].name"),
    "an item in both parts": (
        bytes_of(upsert={"routes": [OTHER]}, remove={"routes": ["r-3"]}),
        "upsert.routes[0].name",
    ),
    "names of a section that is an object": (
        bytes_of(upsert={"limits": {}}, remove={"limits": ["max_body_bytes"]}),
        "remove.limits",
    ),
    "names that are text": (bytes_of(remove={"routes": "r-1"}), "remove.routes"),
    "a name that is a number": (bytes_of(remove={"routes": [1]}), "remove.routes[0]"),
    "generation as a section": (bytes_of(upsert={"generation": {}}), "upsert.generation"),
    "generation as names": (bytes_of(remove={"generation": []}), "remove.generation"),
}


@pytest.mark.parametrize("case", UNREADABLE)
def test_an_update_that_cannot_be_read(case: str) -> None:
    body, path = UNREADABLE[case]
    got = parse_update(body)
    assert isinstance(got, ValidationFailure)
    assert got.faults[0].path == path
    assert isinstance(parse_update_request(7, body), ValidationFailure)


INVALID: dict[str, tuple[dict[str, Any], str]] = {
    "a route of no service": (
        {"remove": {"services": ["records"]}},
        "routes[0].traffic_split[1].service",
    ),
    "a host and prefix twice": (
        {"upsert": {"routes": [route(name="r-9")]}},
        "routes[2].path_prefix",
    ),
    "no weight": (
        {"upsert": {"routes": [route(traffic_split=[{"service": "model", "weight": 0}])]}},
        "routes[0].traffic_split",
    ),
    "no timeout": ({"upsert": {"routes": [route(timeout_ms=0)]}}, "routes[0].timeout_ms"),
    "a key of two tenants": (
        {"upsert": {"tenants": [tenant(name="t-2")]}},
        "tenants[1].api_keys[0]",
    ),
    "a section that is no list": ({"upsert": {"limits": [{"name": "l"}]}}, "limits"),
    "names of an object": ({"remove": {"limits": ["max_body_bytes"]}}, "limits"),
    "a bad limit": ({"upsert": {"limits": {"max_body_bytes": -1}}}, "limits.max_body_bytes"),
}


@pytest.mark.parametrize("case", INVALID)
def test_an_update_whose_result_is_invalid(case: str) -> None:
    parts, path = INVALID[case]
    got = proposal_from_update(7, update(bytes_of(**parts)), b"digest", confirmed(BASE))
    assert isinstance(got, ValidationFailure)
    assert got.faults[0].path == path


def test_an_update_that_is_valid_only_once_merged() -> None:
    by_itself = {
        "upsert": {
            "routes": [
                route(name="r-4", path_prefix="/four/", traffic_split=None, service="records")
            ]
        }
    }
    got = proposal_from_update(7, update(bytes_of(**by_itself)), b"digest", confirmed(BASE))
    assert isinstance(got, ConfigurationChange)
    assert [each["name"] for each in json.loads(got.document)["routes"]] == ["r-1", "r-2", "r-4"]
    assert (got.base, got.generation, got.digest) == (7, 9, b"digest")


def test_half_a_character_in_an_unknown_field_goes_on_as_it_came() -> None:
    odd = update(b'{"generation":9,"upsert":{"notes":[{"name":"n","text":"\\ud800"}]}}')
    got = proposal_from_update(7, odd, b"digest", confirmed(BASE))
    assert isinstance(got, ConfigurationChange)
    assert json.loads(got.document)["notes"] == [{"name": "n", "text": "\ud800"}]


def test_no_depth_of_nesting_raises() -> None:
    for depth in range(800, 1000):
        body = b'{"generation":9,"upsert":{"note":{"deep":%s%s}}}' % (b"[" * depth, b"]" * depth)
        read = parse_update(body)
        if isinstance(read, Update):
            proposal_from_update(7, read, b"digest", confirmed(BASE))


def test_an_update_on_nothing() -> None:
    first = update(bytes_of(upsert={"routes": [second()], "services": [service(name="records")]}))
    got = proposal_from_update(0, first, b"digest", confirmed(None))
    assert isinstance(got, ConfigurationChange)
    assert json.loads(got.document)["routes"] == [second()]


@pytest.mark.parametrize("base", [3, 8])
def test_where_the_base_is_not_in_place_there_is_no_document(base: int) -> None:
    got = proposal_from_update(base, update(bytes_of()), b"digest", confirmed(BASE))
    assert got == ConfigurationChange(base, 9, b"", b"digest")


def test_names_of_updates() -> None:
    names = {
        digest_of_update(7, b"{}"),
        digest_of_update(8, b"{}"),
        digest_of_update(7, b"{} "),
        digest_of(7, b"{}"),
    }
    assert len(names) == 4
    assert digest_of_update(7, b"{}") in names


class Core:
    """The replicated state, judged at once; `confirm` shows a state that others may have changed
    since.
    """

    def __init__(self) -> None:
        whole = json.dumps(BASE).encode()
        self.state = apply_change(
            EMPTY, ConfigurationChange(0, 7, whole, digest_of(0, whole)), refused=False
        )
        self.confirmable = True
        self.meanwhile: list[UpdateRequest | ConfigurationChange] = []

    def confirm(self, done: Any) -> None:
        shown = self.state
        meanwhile, self.meanwhile = self.meanwhile, []
        for each in meanwhile:
            self.take(each)
        done(_shown(shown) if self.confirmable else None)

    def submit(self, order: ConfigurationChange, done: Any) -> None:
        verdict = validate(self.state, order)
        outcome: SubmitOutcome = Conflict(verdict.value)
        if verdict.kind in (ValidationKind.APPEND, ValidationKind.COMMITTED):
            outcome = ChangeCommitted(verdict.value)
        if verdict.kind is ValidationKind.DOCUMENT_MISSING:
            outcome = OutcomeUnknown()
        if verdict.kind in (ValidationKind.APPEND, ValidationKind.REFUSE_PERMANENTLY):
            self.state = apply_change(
                self.state, order, refused=verdict.kind is ValidationKind.REFUSE_PERMANENTLY
            )
        done(outcome)

    def take(self, call: UpdateRequest | ConfigurationChange) -> SubmitOutcome | ValidationFailure:
        outcomes: list[SubmitOutcome | ValidationFailure] = []
        if isinstance(call, ConfigurationChange):
            self.submit(call, outcomes.append)
        else:
            submit_update(call, self.confirm, self.submit, outcomes.append)
        (outcome,) = outcomes
        return outcome

    def names(self) -> list[str]:
        return [each["name"] for each in json.loads(self.state.document)["routes"]]


def _shown(state: ConfigurationState) -> Confirmation:
    return Confirmation(1, state.sequence, state.document or None, state.generation)


def call(base: int, generation: int, **parts: Any) -> UpdateRequest:
    got = parse_update_request(base, bytes_of(generation, **parts))
    assert isinstance(got, UpdateRequest)
    return got


def adding(base: int, generation: int, name: str) -> UpdateRequest:
    return call(base, generation, upsert={"routes": [route(name=name, path_prefix=f"/{name}/")]})


def replacing(base: int, generation: int) -> ConfigurationChange:
    whole = json.dumps(document(generation=generation)).encode()
    return ConfigurationChange(base, generation, whole, digest_of(base, whole))


def test_an_update_comes_into_force_once() -> None:
    core = Core()
    first = adding(7, 9, "new")
    assert core.take(first) == ChangeCommitted(2)
    assert core.take(first) == ChangeCommitted(2)
    assert core.names() == ["r-1", "r-2", "new"]
    assert core.take(adding(9, 12, "newer")) == ChangeCommitted(3)
    assert core.take(first) == ChangeCommitted(2)
    assert core.names() == ["r-1", "r-2", "new", "newer"]


def test_two_changes_on_one_base() -> None:
    core = Core()
    assert core.take(adding(7, 9, "new")) == ChangeCommitted(2)
    assert core.take(adding(7, 10, "other")) == Conflict(9)
    assert core.take(replacing(7, 11)) == Conflict(9)
    core = Core()
    assert core.take(replacing(7, 9)) == ChangeCommitted(2)
    assert core.take(adding(7, 10, "other")) == Conflict(9)
    assert core.names() == ["r-1", "r-2"]


def test_another_change_is_taken_between_the_reading_and_the_order() -> None:
    core = Core()
    core.meanwhile = [replacing(7, 9)]
    assert core.take(adding(7, 10, "other")) == Conflict(9)
    assert core.names() == ["r-1", "r-2"]


def test_an_update_is_taken_at_two_members_at_once() -> None:
    core = Core()
    core.meanwhile = [adding(7, 9, "new")]
    assert core.take(adding(7, 9, "new")) == ChangeCommitted(2)
    assert core.names() == ["r-1", "r-2", "new"]


def test_a_base_that_comes_into_place_only_after_the_reading() -> None:
    core = Core()
    core.meanwhile = [replacing(7, 9)]
    early = adding(9, 12, "early")
    assert core.take(early) == OutcomeUnknown()
    assert core.take(early) == ChangeCommitted(3)


def test_an_update_on_a_base_to_come_stays_refused() -> None:
    core = Core()
    early = adding(9, 12, "early")
    assert core.take(early) == Conflict(7)
    assert core.take(replacing(7, 9)) == ChangeCommitted(3)
    assert core.take(early) == Conflict(9)


def test_an_update_that_comes_again_after_many_others() -> None:
    core = Core()
    first = adding(7, 8, "new")
    assert core.take(first) == ChangeCommitted(2)
    for number in range(8, 8 + HISTORY_LIMIT - 1):
        order = ConfigurationChange(number, number + 1, core.state.document, digest_of(number, b""))
        core.state = apply_change(core.state, order, refused=False)
    assert core.take(first) == ChangeCommitted(2)
    core.state = apply_change(core.state, replacing(core.state.generation, 99_999), refused=False)
    assert core.take(first) == Conflict(99_999)  # forgotten, and refused as any on an older version


def test_what_cannot_be_confirmed_is_not_settled() -> None:
    core = Core()
    core.confirmable = False
    assert core.take(adding(7, 9, "new")) == OutcomeUnknown()


def test_an_invalid_result_reaches_nobody() -> None:
    core = Core()
    assert isinstance(core.take(call(7, 9, remove={"services": ["records"]})), ValidationFailure)
    assert core.state.sequence == 1
