"""Reads the balancer's settings from the operators' JSON object."""

from __future__ import annotations

import math
from enum import Enum
from typing import Any, TypeVar, overload

from roselink.balancer.exceptions import SettingsError
from roselink.balancer.interface import Effect, Group, Route, Settings

JsonObject = dict[str, Any]
Choice = TypeVar("Choice", bound=Enum)


def read_settings(data: JsonObject) -> Settings:
    """Returns the settings; unknown keys are ignored, absent ones get defaults.

    Raises:
        SettingsError: A value is invalid; the error names its key.
    """
    limits = _object(data, "limits")
    guarantees = _object(data, "guarantees")
    objectives = _object(data, "objective_mix")
    prices = _object(data, "prices")
    return Settings(
        routes=tuple(_route(route) for route in _objects(data, "lanes")),
        balancers=_integer(data, "balancers", 1),
        number=_integer(data, "my_number", 0),
        zone=_integer(data, "zone", 0),
        discovery_asks=data.get("discovery") == "ask",
        tenant_quotas_per_s=tuple(
            _number(tenant, "quota_per_s", 0.0, prefix="orgs[].")
            for tenant in _objects(data, "orgs")
        ),
        over_quota_worth=_number(data, "over_share_worth", 1.0),
        max_attempts=_integer(limits, "attempts_cap", 3, prefix="limits."),
        parallel_tries=bool(limits.get("parallel_tries")),
        cancelling=bool(limits.get("cancelling")),
        probing=bool(limits.get("probing")),
        retry_after=bool(limits.get("retry_after")),
        max_retry_after_us=_number(limits, "max_retry_after", 0, prefix="limits."),
        ask_within_us=_number(guarantees, "ask_within", 10_000_000, prefix="guarantees."),
        drain_grace_us=_number(guarantees, "drain_grace", 0, prefix="guarantees."),
        cold_us=_number(guarantees, "cold", 0, prefix="guarantees."),
        cold_from=_number(guarantees, "cold_from", 1.0, prefix="guarantees."),
        fall_multiple=_number(guarantees, "fall_multiple", 1.0, prefix="guarantees."),
        fall_window_us=_number(guarantees, "tip_after", 1_000_000, prefix="guarantees."),
        answer_slack_us=_number(guarantees, "answer_slack", 0, prefix="guarantees."),
        price_cross_zone=_number(prices, "cross_zone", 0.0, prefix="prices."),
        warm_keys=bool(_object(data, "specifics").get("warm_keys")),
        clients_mark_repeats=bool(_object(data, "clients").get("marks_retry")),
        hints_are_sizes=data.get("weight_kind") in ("nominal", "rough"),
        weight_whole=_number(objectives, "whole", 1.0, prefix="objective_mix."),
        weight_worst_class=_number(objectives, "worst_class", 0.0, prefix="objective_mix."),
    )


def _route(route: JsonObject) -> Route:
    if not route.get("semantics"):
        raise SettingsError("lanes[].semantics", "missing")
    if route.get("deadline") is None:
        raise SettingsError("lanes[].deadline", "missing")
    aim_us = route.get("goal_time")
    return Route(
        name=str(route.get("name") or ""),
        effect=_choice(route["semantics"], Effect, "lanes[].semantics"),
        aim_us=None if aim_us is None else _number(route, "goal_time", 0, prefix="lanes[]."),
        deadline_us=_number(route, "deadline", 0, prefix="lanes[]."),
        worth=_number(route, "importance", 1.0, prefix="lanes[]."),
        late_worth=_number(route, "late_worth", 0.0, prefix="lanes[]."),
        group=_choice(route.get("group") or "all", Group, "lanes[].group"),
        memory_span_us=_number(route, "memory_span", 0, prefix="lanes[]."),
        stream=bool(route.get("stream")),
        aim_stretch=_number(route, "aim_stretch", 0.0, prefix="lanes[]."),
    )


def _object(data: JsonObject, key: str) -> JsonObject:
    value = data.get(key)
    if value is not None and not isinstance(value, dict):
        raise SettingsError(key, f"must be an object, not {value!r}")
    return value or {}


def _objects(data: JsonObject, key: str) -> list[JsonObject]:
    value = data.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise SettingsError(key, "must be a list of objects")
    return value


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _integer(data: JsonObject, key: str, default: int, prefix: str = "") -> int:
    value = data.get(key)
    if value is None:
        return default
    if not _is_integer(value):
        raise SettingsError(f"{prefix}{key}", f"must be an integer, not {value!r}")
    return int(value)


@overload
def _number(data: JsonObject, key: str, default: int, prefix: str = ...) -> int: ...
@overload
def _number(data: JsonObject, key: str, default: float, prefix: str = ...) -> float: ...
def _number(data: JsonObject, key: str, default: float, prefix: str = "") -> float:
    """Returns a finite number of the type in the JSON, also where the default is an int."""
    value = data.get(key)
    if value is None:
        return default
    if _is_integer(value) or (isinstance(value, float) and math.isfinite(value)):
        return value  # type: ignore[no-any-return]
    raise SettingsError(f"{prefix}{key}", f"must be a finite number, not {value!r}")


def _choice(value: str, choices: type[Choice], field: str) -> Choice:
    try:
        return choices(value)
    except ValueError:
        known = ", ".join(str(choice.value) for choice in choices)
        raise SettingsError(field, f"must be one of {known}, not {value!r}") from None
