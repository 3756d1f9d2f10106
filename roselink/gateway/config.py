"""Reads and validates a gateway's configuration: `GW_*` variables and the JSON file.

All validation happens here, so that a gateway that has started has every value it needs.
"""

from __future__ import annotations

import json
import socket
import zlib
from contextlib import contextmanager
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING, Any

from roselink.balancer.settings_reader import read_settings
from roselink.gateway.exceptions import ConfigError

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from roselink.balancer.interface import Settings
    from roselink.http.address import Address

PORT_COUNT = 65536
MICROSECONDS_PER_S = 1e6


class ReservedDescriptor:
    """Reserves a descriptor, so that a file can be opened when clients use all others."""

    def __init__(self) -> None:
        """Opens a socket that occupies the descriptor."""
        self._reserved = socket.socket()

    @contextmanager
    def released(self) -> Iterator[None]:
        """Frees the descriptor within a `with` block, which must not await."""
        self._reserved.close()
        try:
            yield
        finally:
            self._reserved = socket.socket()


@dataclass(frozen=True, slots=True)
class Config:
    """One gateway's configuration.

    Attributes:
        name: The gateway's name in its log.
        listen: The address for clients.
        discovery: The address of discovery.
        seed: Seed of the balancer and of the jitter of discovery calls.
        sockets: How many descriptors the process may have.
        known: The last host list that this gateway received; empty for none.
        settings: The balancer's settings.
        tenants: Names of the tenants, in the order of the settings.
        kinds: Names of the machine types, in the order of the settings.
        zones: Names of the zones, in the order of the settings.
        connect_timeout_s: Time-out to connect to a host.
        idle_s: Keep-alive time-out of connections to hosts.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: Mapping[str, Any]
    settings: Settings
    tenants: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    connect_timeout_s: float
    idle_s: float


def read_address(text: str | None, field: str) -> Address:
    """Parses an address of the form `host:port`.

    Raises:
        ConfigError: The text has another form; the error names `field`.
    """
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) < PORT_COUNT):
        raise ConfigError(field, f"needs address:port, not {text!r}")
    return host, int(port)


def _typed_value(
    data: Mapping[str, Any], key: str, expected: type[Any], field: str, default: Any = None
) -> Any:
    value = data.get(key)
    if value is None:
        value = default
    if value is None:
        raise ConfigError(field, "missing")
    if not isinstance(value, expected) or isinstance(value, bool):
        raise ConfigError(field, f"needs {expected.__name__}, not {type(value).__name__}")
    return value


def _positive_integer(data: Mapping[str, Any], key: str, field: str, default: int) -> int:
    value: int = _typed_value(data, key, int, field, default)
    if value <= 0:
        raise ConfigError(field, "must be above 0")
    return value


def _read_timeout_s(limits: Mapping[str, Any], key: str, *, default_us: int) -> float:
    """Reads a time-out, which the settings give in microseconds."""
    return _positive_integer(limits, key, f"settings.limits.{key}", default_us) / MICROSECONDS_PER_S


def _read_names(data: Mapping[str, Any], key: str) -> tuple[str, ...]:
    names = _typed_value(data, key, list, f"settings.{key}", [])
    return tuple(str(name.get("name")) if isinstance(name, dict) else str(name) for name in names)


def _parse_seed(value: Any) -> int:
    """Parses a hexadecimal seed; other values are accepted and seed by their checksum."""
    text = str(value)
    try:
        return int(text, 16)
    except ValueError:
        return zlib.crc32(text.encode())


def load(environment: Mapping[str, str]) -> Config:
    """Loads the configuration that the environment variables name.

    Raises:
        ConfigError: The configuration is invalid.
    """
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG", "missing")
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
    except OSError as error:
        raise ConfigError("GW_CONFIG", f"cannot read {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError("GW_CONFIG", f"{path} is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError("GW_CONFIG", f"{path} holds no JSON object")
    raw_settings = _typed_value(data, "settings", dict, "settings")
    limits = _typed_value(raw_settings, "limits", dict, "settings.limits", {})
    try:
        settings = read_settings(raw_settings)
    except (ValueError, TypeError) as error:
        raise ConfigError("settings", str(error)) from None
    return Config(
        name=str(environment.get("GW_NAME") or data.get("name") or "gateway"),
        listen=read_address(environment.get("GW_LISTEN") or data.get("listen"), "GW_LISTEN"),
        discovery=read_address(
            environment.get("GW_DISCOVERY") or data.get("discovery"), "GW_DISCOVERY"
        ),
        seed=_parse_seed(data.get("seed", 0)),
        sockets=_positive_integer(
            _typed_value(data, "limits", dict, "limits", {}), "sockets", "limits.sockets", 1024
        ),
        known=_typed_value(data, "known", dict, "known", {}),
        settings=settings,
        tenants=_read_names(raw_settings, "orgs"),
        kinds=_read_names(raw_settings, "models"),
        zones=_read_names(raw_settings, "zones"),
        connect_timeout_s=_read_timeout_s(limits, "connect_timeout", default_us=1_000_000),
        idle_s=_read_timeout_s(limits, "conn_idle", default_us=15_000_000),
    )


def reload(environment: Mapping[str, str]) -> Config:
    """Reads the file again and ignores `GW_DISCOVERY`, so that the file's `discovery` applies.

    The environment is that of the start and cannot change; the file can.

    Raises:
        ConfigError: The configuration is invalid.
    """
    return load({name: value for name, value in environment.items() if name != "GW_DISCOVERY"})


def changed_fields(old: Config, new: Config) -> list[str]:
    """Names of the fields that differ and that a reload does not apply."""
    # A reload applies `discovery`; the seed and the known list matter at a start only.
    reloadable = {"discovery", "known", "seed"}
    names = [field.name for field in fields(Config) if field.name not in reloadable]
    return [name for name in names if getattr(old, name) != getattr(new, name)]
