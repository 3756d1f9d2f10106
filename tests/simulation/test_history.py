"""The history checker: valid histories pass, and each kind of violation is reported."""

from __future__ import annotations

import pytest

from roselink.simulation.history import (
    CallResult,
    Change,
    ChangeCall,
    ConfigurationApplied,
    History,
    HistoryChecker,
    KeyUse,
    Observation,
)

V1 = Change(0, 1, "one", frozenset({"k"}))
V2 = Change(1, 2, "two")
OTHER_V2 = Change(1, 2, "conflicting 2")
V3_ON_V1 = Change(1, 3, "3 on 1")
V3 = Change(2, 3, "three")
UNKNOWN_BASE = Change(7, 9, "on an unknown base")


def call(
    change: Change, started_at: float, ended_at: float, result: CallResult = CallResult.CONFIRMED
) -> ChangeCall:
    return ChangeCall(change, started_at, ended_at, result)


def violated_rules(*events: ChangeCall | Observation | ConfigurationApplied | KeyUse) -> list[str]:
    history = History()
    for event in events:
        if isinstance(event, ChangeCall):
            history.calls.append(event)
        elif isinstance(event, Observation):
            history.observations.append(event)
        elif isinstance(event, ConfigurationApplied):
            history.applied.append(event)
        else:
            history.key_uses.append(event)
    return [violation.rule for violation in HistoryChecker(history, revoke_s=5.0).violations()]


FIRST_CALL = call(V1, 0, 1)


@pytest.mark.parametrize(
    "events",
    [
        (FIRST_CALL, call(V2, 2, 3), Observation(4, 5, V2)),
        (
            FIRST_CALL,
            call(V2, 2, 6),
            Observation(3, 4, V1),
            Observation(3, 4, V2),
            Observation(5, 7, V2),
        ),
        (
            FIRST_CALL,
            call(V2, 2, 3, CallResult.UNKNOWN),
            Observation(4, 5, V1),
            Observation(6, 7, V2),
        ),
        (FIRST_CALL, call(V2, 2, 3, CallResult.UNKNOWN), call(V3, 4, 5), call(V2, 6, 7)),
        (
            FIRST_CALL,
            call(V2, 2, 4),
            call(OTHER_V2, 2, 4, CallResult.REFUSED),
            call(OTHER_V2, 6, 7, CallResult.REFUSED),
        ),
        (FIRST_CALL, call(V2, 2, 3), call(V1, 4, 5), call(V3_ON_V1, 4, 5, CallResult.REFUSED)),
        (call(UNKNOWN_BASE, 0, 1, CallResult.REFUSED), Observation(2, 3, None)),
        (
            FIRST_CALL,
            ConfigurationApplied("g", 1, 2, V1),
            ConfigurationApplied("g", 2, 3, V1),
            KeyUse("g", 9, "k"),
        ),
        (FIRST_CALL, call(V2, 2, 3), KeyUse("g", 7.9, "k")),
        (
            FIRST_CALL,
            call(V2, 2, 3),
            call(Change(2, 3, "with k again", frozenset({"k"})), 4, 5),
            KeyUse("g", 30, "k"),
        ),
    ],
)
def test_history_of_one_register_has_no_violations(
    events: tuple[ChangeCall | Observation | ConfigurationApplied | KeyUse, ...],
) -> None:
    assert violated_rules(*events) == []


@pytest.mark.parametrize(
    ("events", "rule"),
    [
        ((FIRST_CALL, call(V2, 2, 3), call(OTHER_V2, 2, 3)), "two changes with one version"),
        ((FIRST_CALL, call(V2, 2, 3), call(V3_ON_V1, 2, 3)), "two changes on one base"),
        (
            (FIRST_CALL, call(V2, 2, 3), call(V2, 4, 5, CallResult.REFUSED)),
            "a refused change is in force",
        ),
        (
            (FIRST_CALL, call(OTHER_V2, 2, 3, CallResult.REFUSED), Observation(4, 5, OTHER_V2)),
            "a refused change is in force",
        ),
        ((FIRST_CALL, call(UNKNOWN_BASE, 2, 3)), "invalid base version"),
        ((FIRST_CALL, Observation(2, 3, V2), call(V2, 4, 5)), "returned before it was sent"),
        ((FIRST_CALL, call(V2, 2, 3), Observation(4, 5, V1)), "a stale configuration was returned"),
        ((FIRST_CALL, Observation(2, 3, None)), "a stale configuration was returned"),
        (
            (FIRST_CALL, call(V2, 2, 9), Observation(3, 4, V2), Observation(5, 6, V1)),
            "a stale configuration was returned",
        ),
        (
            (FIRST_CALL, call(V2, 2, 3), call(V3, 4, 5), call(Change(3, 2, "lower"), 6, 7)),
            "a change lowered the version",
        ),
        ((FIRST_CALL, call(V2, 2, 3, CallResult.REFUSED)), "a valid change was refused"),
        (
            (
                FIRST_CALL,
                call(V2, 2, 3),
                ConfigurationApplied("g", 1, 4, V2),
                ConfigurationApplied("g", 1, 5, V1),
            ),
            "a gateway applied an older configuration",
        ),
        ((FIRST_CALL, call(V2, 2, 3), KeyUse("g", 8.1, "k")), "a removed key was accepted"),
    ],
)
def test_impossible_result_is_reported_by_its_rule(
    events: tuple[ChangeCall | Observation | ConfigurationApplied | KeyUse, ...], rule: str
) -> None:
    assert rule in violated_rules(*events)
