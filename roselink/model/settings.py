"""The settings file of one process: read and checked once, before anything starts.

Unknown keys are passed over. Every fault names its key; `SettingsError` carries them all.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

ENVIRONMENT_VARIABLE = "ROSELINK_BOOT"
DEFAULT_PATH = "/etc/roselink/boot.json"

Address = tuple[str, int]


class SettingsError(Exception):
    """The settings can't work; `faults` has one line a key."""

    code = 2

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class Resources:
    """What a process may use. `memory_mb`: past it the process is killed; `max_fds`: all its
    descriptors.
    """

    cpu_share: float
    cpu_cores: int
    memory_mb: float
    max_fds: int
    bandwidth_mbps: float
    disk_mb: float


@dataclass(frozen=True, slots=True)
class Thresholds:
    """The figures of the rules, in the units of their names (milliseconds or seconds)."""

    contact_ms: float = 3000
    ack_ms: float = 4000
    sync_s: float = 4
    drain_ms: float = 3000
    grace_s: float = 8
    config_converge_ms: float = 2000
    downgrade_slack_ms: float = 250
    max_skew_ms: float = 5000
    revocation_strict: bool = True
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    quota_window_s: float = 8
    quota_over: float = 0.1
    quota_slack: float = 0
    recovery_s: float = 12
    pass_ms: float = 120
    reuse_after_s: float = 2
    seed_staleness_s: float = 3


@dataclass(frozen=True, slots=True)
class Platform:
    """Where the list of hosts is asked for, and how often all processes together may ask, a
    second.
    """

    address: Address
    rate_per_s: float
    max_lag_ms: float


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """All that one process is told before its first step."""

    node_name: str
    role: str
    ip: str
    zone: str
    region: str
    bind: Mapping[str, Address]
    port_range: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool
    counts_for_quorum: bool
    resources: Resources
    data_dir: str | None
    heartbeat_ms: float
    tolerated_nodes: int
    thresholds: Thresholds
    platform: Platform | None

    @property
    def peer_port(self) -> int:
        """The port for what roselink's processes say to each other: the same on every machine."""
        return self.port_range[0]

    def seed_peers(self) -> tuple[Address, ...]:
        """The seeds' addresses for peers (their `admin` addresses stand in the file)."""
        return tuple((host, self.peer_port) for host, _ in self.seeds)


def load_settings(path: str) -> ProcessSettings:
    """The settings in a file; raises `SettingsError`."""
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from None
    except ValueError as error:
        raise SettingsError([f"{path}: is not JSON: {error}"]) from None
    return read_settings(document)


def read_settings(document: object) -> ProcessSettings:
    """The settings in a document; raises `SettingsError` with every fault."""
    reader = _Reader(document)
    settings = _read(reader)
    if reader.faults:
        raise SettingsError(reader.faults)
    return settings


class _Reader:
    """Takes typed values by key, and collects the faults."""

    def __init__(self, document: object, path: str = "", faults: list[str] | None = None) -> None:
        self.faults: list[str] = [] if faults is None else faults
        self._path = path
        if not isinstance(document, Mapping):
            self.faults.append(f"{path or 'settings'}: must be an object")
            document = {}
        self._document = document

    def _fault(self, key: str, why: str) -> None:
        self.faults.append(f"{self._path}{key}: {why}")

    def text(self, key: str, default: str | None = None) -> str:
        value = self._document.get(key, default)
        if not isinstance(value, str) or not value:
            self._fault(key, "missing" if value is None else "must be text")
            return ""
        return value

    def number(self, key: str, default: float | None = None, least: float = 0.0) -> float:
        value = self._document.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._fault(key, "missing" if value is None else "must be a number")
            return least
        if not least <= value < float("inf"):
            self._fault(key, f"must be {least:g} at least")
            return least
        return float(value)

    def flag(self, key: str, default: bool) -> bool:
        value = self._document.get(key, default)
        if not isinstance(value, bool):
            self._fault(key, "must be true or false")
            return default
        return value

    def optional(self, key: str) -> Any:
        return self._document.get(key)

    def part(self, key: str, required: bool = True) -> _Reader:
        value = self._document.get(key)
        if value is None and not required:
            value = {}
        return _Reader(value, f"{self._path}{key}.", self.faults)

    def address(self, key: str, value: object) -> Address:
        host, colon, port = str(value).rpartition(":")
        if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
            self._fault(key, f"needs address:port, not {value!r}")
            return "", 0
        return host, int(port)

    def addresses(self, key: str) -> tuple[Address, ...]:
        value = self._document.get(key)
        if not isinstance(value, list):
            self._fault(key, "must be a list")
            return ()
        return tuple(self.address(key, item) for item in value)

    def items(self) -> list[tuple[str, Any]]:
        return list(self._document.items())


def _read(reader: _Reader) -> ProcessSettings:
    bind = reader.part("bind")
    return ProcessSettings(
        node_name=reader.text("node_name"),
        role=reader.text("role", "unnamed"),
        ip=reader.text("ip"),
        zone=reader.text("zone", "-"),
        region=reader.text("region", "-"),
        bind={name: bind.address(name, value) for name, value in bind.items()},
        port_range=_port_range(reader),
        seeds=reader.addresses("seeds"),
        bootstrap=reader.flag("bootstrap", False),
        counts_for_quorum=reader.flag("counts_for_quorum", False),
        resources=_resources(reader.part("limits")),
        data_dir=reader.text("data_dir") if reader.optional("data_dir") is not None else None,
        heartbeat_ms=reader.number("heartbeat_ms", 1000),
        tolerated_nodes=int(reader.part("fault_tolerance", required=False).number("nodes", 1)),
        thresholds=_thresholds(reader.part("thresholds", required=False)),
        platform=_platform(reader),
    )


def _port_range(reader: _Reader) -> tuple[int, int]:
    value = reader.optional("port_range")
    if (
        not isinstance(value, list)
        or len(value) != 2
        or not all(isinstance(port, int) and 0 <= port < 65536 for port in value)
        or value[0] > value[1]
    ):
        reader.faults.append("port_range: must be two ports, the lower first")
        return 0, 0
    return value[0], value[1]


def _resources(limits: _Reader) -> Resources:
    return Resources(
        cpu_share=limits.number("cpu_share", 1.0),
        cpu_cores=int(limits.number("cpu_cores", 1)),
        memory_mb=limits.number("memory_mb", 256),
        max_fds=int(limits.number("max_fds", 1024, least=256)),
        bandwidth_mbps=limits.number("bandwidth_mbps", 1000.0),
        disk_mb=limits.number("disk_mb", 0),
    )


def _thresholds(reader: _Reader) -> Thresholds:
    defaults = Thresholds()
    values: dict[str, Any] = {}
    for name in Thresholds.__slots__:
        default = getattr(defaults, name)
        values[name] = (
            reader.flag(name, default)
            if isinstance(default, bool)
            else reader.number(name, default)
        )
    return Thresholds(**values)


def _platform(reader: _Reader) -> Platform | None:
    if reader.optional("cloud_api") is None:
        return None
    part = reader.part("cloud_api")
    return Platform(
        address=part.address("address", part.optional("address")),
        rate_per_s=part.number("rate_per_s", 1.0),
        max_lag_ms=part.number("max_lag_ms", 0),
    )
