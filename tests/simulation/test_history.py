"""The history checker: what one register explains passes, and each kind of violation is named."""

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

ONE = Change(0, 1, "one", frozenset({"k"}))
TWO = Change(1, 2, "two")
RIVAL = Change(1, 2, "rival")
ALSO_ON_ONE = Change(1, 3, "another on 1")
THREE = Change(2, 3, "three")
LOST = Change(7, 9, "on what never was")


def sent(
    change: Change, started_at: float, ended_at: float, result: CallResult = CallResult.CONFIRMED
) -> ChangeCall:
    return ChangeCall(change, started_at, ended_at, result)


def rules(*events: ChangeCall | Observation | ConfigurationApplied | KeyUse) -> list[str]:
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


A = sent(ONE, 0, 1)


@pytest.mark.parametrize(
    "events",
    [
        (A, sent(TWO, 2, 3), Observation(4, 5, TWO)),
        (
            A,
            sent(TWO, 2, 6),
            Observation(3, 4, ONE),
            Observation(3, 4, TWO),
            Observation(5, 7, TWO),
        ),
        (A, sent(TWO, 2, 3, CallResult.UNKNOWN), Observation(4, 5, ONE), Observation(6, 7, TWO)),
        (A, sent(TWO, 2, 3, CallResult.UNKNOWN), sent(THREE, 4, 5), sent(TWO, 6, 7)),
        (
            A,
            sent(TWO, 2, 4),
            sent(RIVAL, 2, 4, CallResult.REFUSED),
            sent(RIVAL, 6, 7, CallResult.REFUSED),
        ),
        (A, sent(TWO, 2, 3), sent(ONE, 4, 5), sent(ALSO_ON_ONE, 4, 5, CallResult.REFUSED)),
        (sent(LOST, 0, 1, CallResult.REFUSED), Observation(2, 3, None)),
        (
            A,
            ConfigurationApplied("g", 1, 2, ONE),
            ConfigurationApplied("g", 2, 3, ONE),
            KeyUse("g", 9, "k"),
        ),
        (A, sent(TWO, 2, 3), KeyUse("g", 7.9, "k")),
        (
            A,
            sent(TWO, 2, 3),
            sent(Change(2, 3, "k again", frozenset({"k"})), 4, 5),
            KeyUse("g", 30, "k"),
        ),
    ],
)
def test_what_one_register_can_say(
    events: tuple[ChangeCall | Observation | ConfigurationApplied | KeyUse, ...],
) -> None:
    assert rules(*events) == []


@pytest.mark.parametrize(
    ("events", "rule"),
    [
        ((A, sent(TWO, 2, 3), sent(RIVAL, 2, 3)), "two changes under one number"),
        ((A, sent(TWO, 2, 3), sent(ALSO_ON_ONE, 2, 3)), "two changes on one base"),
        ((A, sent(TWO, 2, 3), sent(TWO, 4, 5, CallResult.REFUSED)), "a refused change is in force"),
        (
            (A, sent(RIVAL, 2, 3, CallResult.REFUSED), Observation(4, 5, RIVAL)),
            "a refused change is in force",
        ),
        ((A, sent(LOST, 2, 3)), "built on what never was"),
        ((A, Observation(2, 3, TWO), sent(TWO, 4, 5)), "shown before it was sent"),
        ((A, sent(TWO, 2, 3), Observation(4, 5, ONE)), "an old configuration was shown"),
        ((A, Observation(2, 3, None)), "an old configuration was shown"),
        (
            (A, sent(TWO, 2, 9), Observation(3, 4, TWO), Observation(5, 6, ONE)),
            "an old configuration was shown",
        ),
        (
            (A, sent(TWO, 2, 3), sent(THREE, 4, 5), sent(Change(3, 2, "back"), 6, 7)),
            "a change went back",
        ),
        ((A, sent(TWO, 2, 3, CallResult.REFUSED)), "a proper change was refused"),
        (
            (
                A,
                sent(TWO, 2, 3),
                ConfigurationApplied("g", 1, 4, TWO),
                ConfigurationApplied("g", 1, 5, ONE),
            ),
            "a gateway went back",
        ),
        ((A, sent(TWO, 2, 3), KeyUse("g", 8.1, "k")), "a removed key was used"),
    ],
)
def test_what_no_register_can_say(
    events: tuple[ChangeCall | Observation | ConfigurationApplied | KeyUse, ...], rule: str
) -> None:
    assert rule in rules(*events)
