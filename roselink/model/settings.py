"""The settings file of one process, read and validated before anything starts.

Unknown keys are ignored. Every fault names its key; `SettingsError` has all of them.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from roselink.exceptions import RoselinkError

ENVIRONMENT_VARIABLE = "ROSELINK_BOOT"
DEFAULT_PATH = "/etc/roselink/boot.json"
MAX_PORT = 65535
PORT_RANGE_LENGTH = 2

Address = tuple[str, int]


class ModelError(RoselinkError):
    """Base of the model's errors."""

    code = "MDL-000"


class SettingsError(ModelError):
    """The settings are invalid.

    Attributes:
        faults: one line for each fault, beginning with the key.
    """

    code = "MDL-001"

    def __init__(self, faults: list[str]) -> None:
        """Build the message from all faults."""
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class Resources:
    """The resource limits of a process.

    Attributes:
        cpu_share: the fraction of the cores' time that it may use.
        cpu_cores: the number of cores.
        memory_mb: the memory limit; the process is killed beyond it.
        max_fds: the limit of open file descriptors.
        bandwidth_mbps: the network bandwidth.
        disk_mb: the disk space.
    """

    cpu_share: float
    cpu_cores: int
    memory_mb: float
    max_fds: int
    bandwidth_mbps: float
    disk_mb: float


@dataclass(frozen=True, slots=True)
class Thresholds:
    """The operators' thresholds, in the units of their names (milliseconds or seconds).

    Only these are used; the others are only read and validated.

    Attributes:
        grace_s: the time that a process has to shut down after SIGTERM.
        revocation_strict: whether a gateway without a recent confirmed pull refuses API keys.
        revoke_ms: the time within which the removal of an API key must take effect.
        retry_budget_ratio: the retries per first send that all gateways may make in any window.
        retry_window_s: that window.
        retry_slack: the retries that they may make in it beyond the ratio.
        quota_window_s: the window of `quota_over` and `quota_slack`.
        quota_over: the fraction by which usage may exceed a tenant's limit in any such window.
        quota_slack: the additional amount by which it may.
    """

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
class PlatformSettings:
    """The platform's API for the list of hosts.

    Attributes:
        address: the API's address.
        rate_per_s: calls per second that all processes together may make.
        max_lag_ms: the maximum lag of its list behind the hosts' states.
    """

    address: Address
    rate_per_s: float
    max_lag_ms: float


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """All settings of one process."""

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
    platform: PlatformSettings | None

    @property
    def peer_port(self) -> int:
        """The port of the protocol between roselink's processes, the same on every machine."""
        return self.port_range[0]

    def seed_peers(self) -> tuple[Address, ...]:
        """The peer addresses of the seeds; the file has their `admin` addresses."""
        return tuple((host, self.peer_port) for host, _ in self.seeds)


def load_settings(path: str) -> ProcessSettings:
    """Read the settings from a file.

    Raises:
        SettingsError: the file cannot be read, or its settings are invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from None
    except ValueError as error:
        raise SettingsError([f"{path}: is not JSON: {error}"]) from None
    return read_settings(document)


def read_settings(document: object) -> ProcessSettings:
    """Read the settings from a parsed document.

    Raises:
        SettingsError: the settings are invalid; it has all faults.
    """
    reader = _SectionReader(document)
    settings = _read_process_settings(reader)
    if reader.faults:
        raise SettingsError(reader.faults)
    return settings


class _SectionReader:
    """Reads the typed values of one section, and collects the faults of all sections."""

    def __init__(self, document: object, path: str = "", faults: list[str] | None = None) -> None:
        """Read from `document`; `path` is the prefix of its keys in the faults."""
        self.faults: list[str] = [] if faults is None else faults
        self._path = path
        if not isinstance(document, Mapping):
            self.faults.append(f"{path or 'settings'}: must be an object")
            document = {}
        self._document = document

    def _add_fault(self, key: str, reason: str) -> None:
        self.faults.append(f"{self._path}{key}: {reason}")

    def text(self, key: str, default: str | None = None) -> str:
        value = self._document.get(key, default)
        if not isinstance(value, str) or not value:
            self._add_fault(key, "missing" if value is None else "must be text")
            return ""
        return value

    def number(self, key: str, default: float | None = None, minimum: float = 0.0) -> float:
        value = self._document.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._add_fault(key, "missing" if value is None else "must be a number")
            return minimum
        if not minimum <= value < float("inf"):
            self._add_fault(key, f"must be {minimum:g} at least")
            return minimum
        return float(value)

    def boolean(self, key: str, *, default: bool) -> bool:
        value = self._document.get(key, default)
        if not isinstance(value, bool):
            self._add_fault(key, "must be true or false")
            return default
        return value

    def optional(self, key: str) -> Any:
        return self._document.get(key)

    def section(self, key: str, *, required: bool = True) -> _SectionReader:
        value = self._document.get(key)
        if value is None and not required:
            value = {}
        return _SectionReader(value, f"{self._path}{key}.", self.faults)

    def address(self, key: str, value: object) -> Address:
        host, colon, port = str(value).rpartition(":")
        if not (
            colon and host and port.isascii() and port.isdigit() and 0 <= int(port) <= MAX_PORT
        ):
            self._add_fault(key, f"needs address:port, not {value!r}")
            return "", 0
        return host, int(port)

    def addresses(self, key: str) -> tuple[Address, ...]:
        value = self._document.get(key)
        if not isinstance(value, list):
            self._add_fault(key, "must be a list")
            return ()
        return tuple(self.address(key, item) for item in value)

    def items(self) -> list[tuple[str, Any]]:
        return list(self._document.items())


def _read_process_settings(reader: _SectionReader) -> ProcessSettings:
    bind = reader.section("bind")
    return ProcessSettings(
        node_name=reader.text("node_name"),
        role=reader.text("role", "unnamed"),
        ip=reader.text("ip"),
        zone=reader.text("zone", "-"),
        region=reader.text("region", "-"),
        bind={name: bind.address(name, value) for name, value in bind.items()},
        port_range=_port_range(reader),
        seeds=reader.addresses("seeds"),
        bootstrap=reader.boolean("bootstrap", default=False),
        counts_for_quorum=reader.boolean("counts_for_quorum", default=False),
        resources=_resources(reader.section("limits")),
        data_dir=reader.text("data_dir") if reader.optional("data_dir") is not None else None,
        heartbeat_ms=reader.number("heartbeat_ms", 1000),
        tolerated_nodes=int(reader.section("fault_tolerance", required=False).number("nodes", 1)),
        thresholds=_thresholds(reader.section("thresholds", required=False)),
        platform=_platform(reader),
    )


def _port_range(reader: _SectionReader) -> tuple[int, int]:
    value = reader.optional("port_range")
    if (
        not isinstance(value, list)
        or len(value) != PORT_RANGE_LENGTH
        or not all(isinstance(port, int) and 0 <= port <= MAX_PORT for port in value)
        or value[0] > value[1]
    ):
        reader.faults.append("port_range: must be two ports, the lower first")
        return 0, 0
    return value[0], value[1]


def _resources(limits: _SectionReader) -> Resources:
    return Resources(
        cpu_share=limits.number("cpu_share", 1.0),
        cpu_cores=int(limits.number("cpu_cores", 1)),
        memory_mb=limits.number("memory_mb", 256),
        max_fds=int(limits.number("max_fds", 1024, minimum=256)),
        bandwidth_mbps=limits.number("bandwidth_mbps", 1000.0),
        disk_mb=limits.number("disk_mb", 0),
    )


def _thresholds(reader: _SectionReader) -> Thresholds:
    defaults = Thresholds()
    values: dict[str, Any] = {}
    for name in Thresholds.__slots__:
        default = getattr(defaults, name)
        values[name] = (
            reader.boolean(name, default=default)
            if isinstance(default, bool)
            else reader.number(name, default)
        )
    return Thresholds(**values)


def _platform(reader: _SectionReader) -> PlatformSettings | None:
    if reader.optional("cloud_api") is None:
        return None
    section = reader.section("cloud_api")
    return PlatformSettings(
        address=section.address("address", section.optional("address")),
        rate_per_s=section.number("rate_per_s", 1.0),
        max_lag_ms=section.number("max_lag_ms", 0),
    )
