"""The operator's configuration as typed values.

`roselink.controller.validation` validates the document that they are read from.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


class RouteKind(Enum):
    """Whether a route's requests may run twice, and whether their responses are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a fraction of a route's traffic, in proportion to `weight`."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route, selected by hostname and the longest matching path prefix.

    Times are in milliseconds; 0 stands for none. Requests of a `public` route need no API key.
    """

    name: str
    hostname: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    target_latency_ms: float
    priority: int
    max_attempts: int
    public: bool
    session_affinity: bool
    resumable: bool
    gap_aim_ms: float
    split: tuple[WeightedService, ...]

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.resumable
        )


@dataclass(frozen=True, slots=True)
class Engine:
    """The capacity of a model service's hosts: concurrent requests, and KV cache in tokens."""

    capacity: int
    kv_capacity: int


@dataclass(frozen=True, slots=True)
class Service:
    """One service.

    Attributes:
        name: its name.
        health_check: the path of its hosts' health check.
        max_connections: bound on the connections to each of its hosts.
        engine: its hosts' capacity, if it is a model service.
    """

    name: str
    health_check: str
    max_connections: int
    engine: Engine | None


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant: keys, priority (0 is highest) and quota; `rate_per_s` 0 sets no limit.

    `unit`: whether the quota counts "tokens" or requests. `plain_tokens`: what a request that
    doesn't declare its tokens is charged if `unit` is "tokens".
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int
    unit: str
    plain_tokens: int
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of client requests: sizes, header time-out and idle time-out."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One complete configuration. `generation` is the operator's number for it."""

    generation: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    tenants: tuple[Tenant, ...]

    @staticmethod
    def from_document(document: Mapping[str, Any]) -> Configuration:
        """Read a document that has been validated; unknown fields are ignored."""
        limits = document.get("limits") or {}
        defaults = Limits()
        return Configuration(
            generation=int(document["generation"]),
            routes=tuple(_route(entry) for entry in document.get("routes") or ()),
            services=tuple(_service(entry) for entry in document.get("services") or ()),
            limits=Limits(
                int(_number_or(limits, "max_header_bytes", defaults.max_header_bytes)),
                int(_number_or(limits, "max_body_bytes", defaults.max_body_bytes)),
                float(_number_or(limits, "header_timeout_ms", defaults.header_timeout_ms)),
                float(_number_or(limits, "idle_timeout_ms", defaults.idle_timeout_ms)),
            ),
            tenants=tuple(_tenant(entry) for entry in document.get("tenants") or ()),
        )


def _number_or(entry: Mapping[str, Any], field: str, default: float) -> float:
    value = entry.get(field)
    return default if value is None else float(value)


def _route(entry: Mapping[str, Any]) -> Route:
    split = entry.get("traffic_split") or [{"service": entry["service"], "weight": 1}]
    return Route(
        name=str(entry["name"]),
        hostname=str(entry["hostname"]).lower(),
        path_prefix=str(entry["path_prefix"]),
        kind=RouteKind(entry["kind"]),
        timeout_ms=float(entry.get("timeout_ms") or 0),
        target_latency_ms=float(entry.get("target_latency_ms") or 0),
        priority=int(entry.get("priority") or 0),
        max_attempts=max(1, int(entry.get("max_attempts") or 1)),
        public=bool(entry.get("public")),
        session_affinity=bool(entry.get("session_affinity")),
        resumable=bool(entry.get("resumable")),
        gap_aim_ms=float(entry.get("gap_aim_ms") or 0),
        split=tuple(
            WeightedService(str(target["service"]), float(target["weight"])) for target in split
        ),
    )


def _service(entry: Mapping[str, Any]) -> Service:
    engine = entry.get("engine")
    return Service(
        name=str(entry["name"]),
        health_check=str(entry.get("health_check") or "/healthz"),
        max_connections=int(entry.get("max_connections") or 0),
        engine=Engine(int(engine.get("capacity") or 0), int(engine.get("kv_capacity") or 0))
        if engine
        else None,
    )


def _tenant(entry: Mapping[str, Any]) -> Tenant:
    return Tenant(
        name=str(entry["name"]),
        api_keys=tuple(str(key) for key in entry.get("api_keys") or ()),
        priority=int(entry.get("priority") or 0),
        unit=str(entry.get("unit") or "requests"),
        plain_tokens=int(entry.get("plain_tokens") or 1),
        rate_per_s=float(entry.get("rate_per_s") or 0),
        burst=float(entry.get("burst") or 0),
    )
